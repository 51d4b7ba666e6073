//! Embargo: no edge serves a bulletin before its release, whatever fails. A publisher orders the schedules of its office,
//! grants leases on them and says of each change whether it holds everywhere; an edge opens a bulletin only while it holds
//! a lease and the earliest possible time has passed the release. Nothing here performs I/O or reads a clock: messages,
//! moments and what was written are told, decisions are pulled.
//!
//! Sources: Gray and Cheriton, "Leases" (SOSP 1989); fencing by epoch as in chain replication and its kin; the wait for a
//! clock's uncertainty as in the published account of Spanner (OSDI 2012).

mod crowd;
mod edge;
mod gate;
mod publisher;
mod record;
mod words;

pub use crowd::{Budget, Crowd};
pub use edge::{Answer, Edge, EdgeTerms};
pub use gate::{Gate, GateDecision, GateTerms};
pub use publisher::{Change, Outcome, Publisher, PublisherDecision, PublisherTerms, Reason, Wish};
pub use record::{Entry, Record, Write};
pub use words::*;

#[cfg(test)]
mod tests;
