//! Members as they behave, not as they are programmed: sets of a primary and replicas on machines with cores, queues
//! and tables of connections, a log sent late and applied on one thread, elections, cold starts, zones with delay, a list
//! that comes late, and troubles on a timeline. Nothing performs I/O, the time is told and all chance comes from one
//! seed: equal calls give equal results.
//!
//! Tell [`Members`] what reaches them ([`Members::query`], [`Members::dial`], [`Members::probe`] and so on), then pull
//! [`Members::next_said`] until there is none, and come back at [`Members::wake_at`]. [`Traffic`] says which command
//! comes in when. Times are microseconds from the start of the run, work is microseconds of one core at speed 1.

mod agenda;
mod copy;
mod draw;
mod interface;
mod list;
mod members;
mod node;
mod plan;
mod traffic;
mod trouble;
mod troubling;
mod ways;

pub use agenda::Agenda;
pub use draw::{Dice, Draw, dice};
pub use interface::{Dialled, Ended, Happened, Needs, Query, Report, Said, Verdict};
pub use list::{Phase, Row, Sheet};
pub use members::Members;
pub use plan::*;
pub use traffic::{Arrival, Rhythm, Traffic, TrafficPlan};
pub use trouble::{Kind, On, Trouble};

/// A time, or a length of time, in microseconds.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;

#[cfg(test)]
mod tests;
