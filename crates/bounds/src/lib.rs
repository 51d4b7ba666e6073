//! Time as an interval. A host tells its clock's readings and what others answered about the time; it is told back an
//! interval that holds the true time, as long as no more sources lie than was said and the monotonic clock keeps to its
//! drift. What can't be bounded is not guessed: there is no interval then. Nothing performs I/O or reads a clock.
//!
//! Sources: Marzullo, "Maintaining the time in a distributed system" (1984); the clock selection of RFC 5905, 11.2.1;
//! Cristian, "Probabilistic clock synchronization" (1989); the published account of TrueTime (OSDI 2012).

mod agree;
mod clock;
mod interval;

pub use agree::{Agreement, agree};
pub use clock::{Clock, Refused, Terms, Told};
pub use interval::{Anchor, Interval, Moment, Reading, SECOND, Sample, SourceId, Tenths, widening};

#[cfg(test)]
mod tests;
