//! Time as an interval. A host passes in its clock readings and the answers of other sources about the time, and gets
//! an interval that contains the true time, as long as no more sources are faulty than assumed and the monotonic clock
//! stays within its drift. If the time cannot be bounded, no interval is returned. The crate performs no I/O and reads
//! no clock.
//!
//! Sources: Marzullo, "Maintaining the time in a distributed system" (1984); the clock selection of RFC 5905, 11.2.1;
//! Cristian, "Probabilistic clock synchronization" (1989); the published account of TrueTime (OSDI 2012).

mod agree;
mod clock;
mod interval;

pub use agree::{Agreement, agree};
pub use clock::{Assumptions, Clock, ClockEvent, SampleError};
pub use interval::{Anchor, Interval, Moment, Reading, SECOND, Sample, SourceId, Tenths, drift_allowance};

#[cfg(test)]
mod tests;
