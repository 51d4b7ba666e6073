//! Which members each router talks to and probes. Every router works out its own subset from what all are told alike
//! (the routers' numbers, the members, the rule), so that they agree without talk. No I/O, no clock, no chance.

mod fair;
mod own;
mod score;
mod set;
mod share;
mod told;
mod weight;
mod whole;

pub use own::{Own, Subsets};
pub use told::{MEMBERS_MOST, Member, ROUTERS_MOST, Refused, Role, Router, Rule, SET_MOST, numbered};
pub use whole::{Subset, fleet, subset};

#[cfg(test)]
mod tests;
