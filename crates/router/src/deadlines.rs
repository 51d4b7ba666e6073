//! All deadlines, in one ordered structure: each matter has one time at most.

use crate::keys::{ClientKey, ConnKey};
use std::collections::{BTreeMap, BTreeSet};
use vetchkeel::Tenths;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The module wants to be asked.
    Wake,
    /// The limit of what a node's connection carries.
    Work(ConnKey),
    /// A dial that must have led to an open connection.
    Dial(ConnKey),
    /// The end of a connection that is kept for later.
    Idle(ConnKey),
    /// A client that does not read its answers or close.
    Client(ClientKey),
    /// A client whose first query, or whose message that has begun, does not come.
    Message(ClientKey),
    /// A system call on a connection failed for a moment: it is made again.
    RetryClient(ClientKey),
    RetryConn(ConnKey),
    RetryWatch,
    /// Clients wait to be accepted.
    Accept,
    /// The watch is silent or does not open.
    Watch,
    /// A start that waits for the member list.
    Start,
    /// Steps of stopping: the listener closes; what is still owed is answered; whoever has not closed is closed.
    Stop,
    Last,
    End,
}

#[derive(Debug, Default)]
pub struct Deadlines {
    ordered: BTreeSet<(Tenths, Due)>,
    times: BTreeMap<Due, Tenths>,
}

impl Deadlines {
    pub fn set(&mut self, due: Due, at: Tenths) {
        if let Some(before) = self.times.insert(due, at) {
            self.ordered.remove(&(before, due));
        }
        self.ordered.insert((at, due));
    }

    pub fn clear(&mut self, due: Due) {
        if let Some(at) = self.times.remove(&due) {
            self.ordered.remove(&(at, due));
        }
    }

    pub fn time(&self, due: Due) -> Option<Tenths> {
        self.times.get(&due).copied()
    }

    pub fn first(&self) -> Option<Tenths> {
        self.ordered.first().map(|(at, _)| *at)
    }

    /// The earliest that is due by now; it is taken out.
    pub fn take(&mut self, now: Tenths) -> Option<Due> {
        let (_, due) = *self.ordered.first().filter(|(at, _)| *at <= now)?;
        self.clear(due);
        Some(due)
    }
}

#[cfg(test)]
mod tests;
