//! What the routers of a fleet share over the membership's view. Each part is a state machine of its own without I/O:
//! times are told, decisions are pulled, and equal events give equal decisions.
//!
//! [`budgets`]: tokens a second for the whole fleet, never passed.

pub mod budgets;
pub mod wire;

pub use vetchkeel_membership::{Name, Start, Tenths};
