//! Which instances of the fleet are there.

mod identity;

pub use identity::{BadName, Name, Start};

/// A time, or a length of time, in tenths of a millisecond.
pub type Tenths = i64;
