//! Deterministic subsetting: which members each router connects to and probes. Every router computes its own subset
//! from the same inputs (the routers' numbers, the members, the rule), so routers agree without communication. No I/O,
//! no clock, no randomness.

mod fair;
mod own;
mod score;
mod set;
mod share;
mod told;
mod weight;
mod whole;

pub use own::{OwnSubset, Subsets};
pub use told::{
    InputError, MAX_MEMBERS, MAX_ROUTERS, MAX_SET_MEMBERS, Member, Role, Router, Rule, numbered_routers,
};
pub use whole::{Subset, fleet, subset};

#[cfg(test)]
mod tests;
