//! Signals shared between the routers of a fleet, on top of the membership view. Each module is a state machine of its
//! own without I/O: the host passes in the time and messages and polls for decisions, and equal inputs give equal
//! decisions.
//!
//! - [`budgets`]: a limit in tokens per second for the whole fleet that is never exceeded.
//! - [`counts`]: recent event counts over all routers, with the age of the data.
//! - [`judgements`]: failure evidence of routers against a database member, and when a quorum marks it down.
//! - [`turns`]: which router acts next where only one should, such as for a probe.

pub mod budgets;
pub mod counts;
pub mod judgements;
mod spread;
pub mod turns;
pub mod wire;

pub use vetchkeel_membership::{Name, Start, Tenths};
