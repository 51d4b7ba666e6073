//! A set's log, and how far a member's copy of it is. The log comes late and is applied on one thread, one entry after
//! the other. Copies are brought up to date when they are looked at.

use crate::Micros;
use std::collections::VecDeque;

/// Entries older than this are only kept for copies that are behind them.
pub(crate) const KEPT: Micros = 30 * crate::SECOND;

#[derive(Clone, Copy, Debug)]
struct Commit {
    at: Micros,
    /// Work of applying it.
    work: f64,
}

/// The commits of a set in their order.
#[derive(Debug, Default)]
pub(crate) struct Log {
    commits: VecDeque<Commit>,
    /// The number of the first one held.
    first: u64,
}

impl Log {
    pub(crate) fn commit(&mut self, at: Micros, work: f64) {
        self.commits.push_back(Commit { at, work });
        while self.commits.front().is_some_and(|c| c.at < at - KEPT) {
            self.commits.pop_front();
            self.first += 1;
        }
    }

    fn get(&self, number: u64) -> Option<&Commit> {
        self.commits.get(number.checked_sub(self.first)? as usize)
    }

    /// The number of the first commit after `at`.
    pub(crate) fn after(&self, at: Micros) -> u64 {
        self.first + self.commits.partition_point(|c| c.at <= at) as u64
    }

    /// Drops what came after `at`: the member that takes over never got it. Returns how many commits are lost.
    pub(crate) fn cut_after(&mut self, at: Micros) -> usize {
        let keep = self.commits.partition_point(|c| c.at <= at);
        let lost = self.commits.len() - keep;
        self.commits.truncate(keep);
        lost
    }
}

/// How far one member has got.
#[derive(Clone, Debug, Default)]
pub(crate) struct Copy {
    /// The first commit that is not applied, and the work done on it.
    next: u64,
    done: f64,
    /// All commits up to here have been received.
    pub(crate) heard: Micros,
    /// Up to when the above is worked out.
    at: Micros,
}

/// The conditions under which a copy has been kept since it was last looked at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Keeping {
    /// From commit until it is here.
    pub(crate) ship: Micros,
    /// The set has a primary, and its log gets here.
    pub(crate) live: bool,
    /// Work done in a microsecond by the one thread.
    pub(crate) rate: f64,
}

impl Copy {
    /// A copy that holds all up to `position`.
    pub(crate) fn at(log: &Log, position: Micros, now: Micros) -> Copy {
        Copy { next: log.after(position), done: 0.0, heard: position, at: now }
    }

    pub(crate) fn settle(&mut self, now: Micros, log: &Log, keeping: Keeping) {
        if keeping.live {
            self.heard = self.heard.max(now - keeping.ship);
        }
        let mut at = self.at;
        self.at = now;
        self.next = self.next.max(log.first);
        while let Some(commit) = log.get(self.next).filter(|c| c.at <= self.heard && keeping.rate > 0.0) {
            let start = at.max(commit.at + if keeping.live { keeping.ship } else { 0 });
            let needs = (commit.work - self.done) / keeping.rate;
            let left = (now - start) as f64;
            if needs > left {
                self.done += left.max(0.0) * keeping.rate;
                break;
            }
            (at, self.next, self.done) = (start + needs as Micros, self.next + 1, 0.0);
        }
    }

    /// The log was cut: what this copy had beyond its end is dropped with it.
    pub(crate) fn caught_up_with(&mut self, log: &Log) {
        let end = log.first + log.commits.len() as u64;
        if self.next > end {
            (self.next, self.done) = (end, 0.0);
        }
    }

    /// A time up to which all commits are applied, as far as it was settled.
    pub(crate) fn position(&self, log: &Log) -> Micros {
        log.get(self.next).map_or(self.heard, |c| self.heard.min(c.at - 1))
    }

    /// About how long it takes to get to `position`: None where it does not move.
    pub(crate) fn until(&self, position: Micros, log: &Log, keeping: Keeping) -> Option<Micros> {
        if keeping.rate <= 0.0 || (!keeping.live && self.heard < position) {
            return None;
        }
        let end = log.after(position);
        let behind: f64 = (self.next..end).filter_map(|n| log.get(n)).map(|c| c.work).sum();
        let wait = (position + keeping.ship - self.at).max(0);
        Some(wait.max(((behind - self.done) / keeping.rate) as Micros).max(100))
    }
}
