//! Scale tests: a fleet of a told size, a schedule of steps and faults, and what reached whom by when.
//!
//! [`schedule`], [`file`], [`arrivals`], [`tally`] and [`report`] perform no I/O: times are told, in tenths of a
//! millisecond since the play began. Two players carry a schedule out: [`simulated`] in one process under told time with
//! one seed, [`loopback`] with real processes. Both print the same [`report::Report`].

pub mod arrivals;
pub mod file;
pub mod list;
pub mod loopback;
mod memory;
pub mod percentile;
pub mod report;
pub mod schedule;
pub mod simulated;
pub mod tally;
mod told;

/// A time, or a length of time, in tenths of a millisecond.
pub type Tenths = i64;

/// One second.
pub const SECOND: Tenths = 10_000;

#[cfg(test)]
mod tests;
