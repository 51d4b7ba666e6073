//! What the routers of a fleet share over the membership's view. Each part is a state machine of its own without I/O:
//! times are told, decisions are pulled, and equal events give equal decisions.
//!
//! - [`budgets`]: tokens a second for the whole fleet, never passed.
//! - [`counts`]: how often something happened lately, over all routers, and how old the answer is.
//! - [`judgements`]: what routers hold against a database member, and when that counts for all.
//! - [`turns`]: who does next what only one should do.

pub mod budgets;
pub mod counts;
pub mod judgements;
mod spread;
pub mod turns;
pub mod wire;

pub use vetchkeel_membership::{Name, Start, Tenths};
