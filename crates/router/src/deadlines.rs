//! All deadlines, in one ordered structure: each entry has at most one time.

use crate::keys::{ClientKey, ConnKey};
use std::collections::{BTreeMap, BTreeSet};
use vetchkeel::Tenths;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The module has decisions due.
    Wake,
    /// The time limit of the work on a node connection.
    Work(ConnKey),
    /// The time limit of a dial.
    Dial(ConnKey),
    /// The end of an idle connection's keep-alive time.
    Idle(ConnKey),
    /// The time limit for a client to read its answers or to close.
    Client(ClientKey),
    /// The time limit for a client's first query, or for the rest of a message that has begun.
    Message(ClientKey),
    /// Retries of system calls on connections that failed transiently.
    RetryClient(ClientKey),
    RetryConn(ConnKey),
    RetryWatch,
    /// Clients may be waiting to be accepted.
    Accept,
    /// The time limit for the watch to open or to send something.
    Watch,
    /// The time limit for the first member list after a start.
    Start,
    /// Steps of stopping: the listener closes; open commands are answered; the remaining clients are closed.
    Stop,
    FinalAnswers,
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

    /// Removes and returns the earliest deadline that is due by now.
    pub fn take(&mut self, now: Tenths) -> Option<Due> {
        let (_, due) = *self.ordered.first().filter(|(at, _)| *at <= now)?;
        self.clear(due);
        Some(due)
    }
}

#[cfg(test)]
mod tests;
