//! Reasons for closing connections, counted by name and logged.

use crate::ending::Cause;
use std::collections::BTreeMap;
use std::fmt::{self, Debug, Display};

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientClose {
    /// The client closed the connection or shut down its sending side.
    Left,
    /// The connection was reset or failed.
    Broken,
    /// The connection carried a cancel request only.
    Cancelled,
    /// The router shut down its side and the client has closed.
    Ended,
    /// The client did not read its answers, or did not close after the router's shutdown, in time.
    Overdue,
    /// Its descriptor was needed for another connection.
    GaveWay,
    /// A panic occurred while it was served.
    Panicked,
    ProcessEnds,
}

impl ClientClose {
    /// True if the router chose to close, so that no command may be unanswered.
    pub fn is_closed_by_router(self) -> bool {
        matches!(
            self,
            ClientClose::GaveWay | ClientClose::Overdue | ClientClose::Panicked | ClientClose::ProcessEnds
        )
    }
}

/// Why a connection to a member is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberClose {
    /// The dispatch or probe on it ended in a way that closes the connection.
    Attempt(Cause),
    /// The maximum idle time is over.
    Idle,
    /// The member closed it, or sent something, while it was idle.
    EndedIdle,
    /// Connections to the member, or to this address, are no longer kept.
    LetGo,
    /// Its descriptor was needed for another connection.
    GaveWay,
}

impl MemberClose {
    /// True if the member closed or reset the connection.
    pub fn is_by_member(self) -> bool {
        self == MemberClose::Attempt(Cause::Broken)
    }
}

/// Counts by reason.
#[derive(Debug)]
pub struct Tally<T>(BTreeMap<T, u64>);

impl<T> Default for Tally<T> {
    fn default() -> Tally<T> {
        Tally(BTreeMap::new())
    }
}

impl<T: Ord> Tally<T> {
    pub fn add(&mut self, reason: T) {
        *self.0.entry(reason).or_default() += 1;
    }

    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}

impl<T: Debug + Ord> Display for Tally<T> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "total={}", self.total())?;
        self.0.iter().try_for_each(|(reason, count)| write!(f, " {reason:?}={count}"))
    }
}
