//! Why connections are closed: typed reasons, counted by name and logged.

use crate::ending::Cause;
use std::collections::BTreeMap;
use std::fmt::{self, Debug, Display};

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientClose {
    /// It has closed or shut its sending side.
    Left,
    /// It was reset, or the system says that it is broken.
    Broken,
    /// It asked for the end of another client's command, and that was all.
    Cancelled,
    /// It was told the end and has closed.
    Ended,
    /// It did not read its answers, or did not close once it was told the end.
    Overdue,
    /// Its descriptor was wanted for another.
    GaveWay,
    /// A panic while it was served.
    Panicked,
    ProcessEnds,
}

impl ClientClose {
    /// Whether it was this side's choice, so that nothing may be owed.
    pub fn is_ours(self) -> bool {
        matches!(
            self,
            ClientClose::GaveWay | ClientClose::Overdue | ClientClose::Panicked | ClientClose::ProcessEnds
        )
    }
}

/// Why a connection to a member is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberClose {
    /// What it carried ended it.
    Attempt(Cause),
    /// It has idled for as long as one may.
    Idle,
    /// It ended, or sent something, while it idled.
    EndedIdle,
    /// Connections to the member are not kept, or not to this address any more.
    LetGo,
    /// Its descriptor was wanted for another.
    GaveWay,
}

/// How often each reason came.
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
