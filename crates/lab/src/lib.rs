//! Experiments: a fleet, a load and troubles against the real router, simulated or on loopback, audited and measured.

pub mod clients;
pub mod decider;
pub mod experiment;
pub mod loopback;
pub mod result;
mod ring;
pub mod runner;
pub mod setup;
pub mod sim;
pub mod tally;
pub mod told;

pub use vetchkeel_operator::micros_of;

#[cfg(test)]
mod tests;

use setup::Setup;

/// The figures of the rules, as the auditor needs them.
pub fn figures(setup: &Setup) -> vetchkeel_audit::Figures {
    let plan = &setup.plan;
    vetchkeel_audit::Figures {
        answer_slack: setup.permits.answer_slack,
        order_slack: 0,
        drain_grace: plan.list.drain_grace,
        cold_start_capacity: plan.warming.from,
        cold_duration: plan.warming.over,
        multiple: plan.warming.multiple,
        span: plan.warming.span,
    }
}
