//! Messages and bytes by duty, and each router's bytes by the second.

use crate::percentile::nearest_rank;

/// What a router's control bytes are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    List,
    Membership,
    Signals,
    Configuration,
}

impl Duty {
    pub const ALL: [Duty; 4] = [Duty::List, Duty::Membership, Duty::Signals, Duty::Configuration];

    pub fn name(self) -> &'static str {
        match self {
            Duty::List => "list",
            Duty::Membership => "membership",
            Duty::Signals => "signals",
            Duty::Configuration => "configuration",
        }
    }
}

/// Messages and bytes one way or both. Bytes count the headers below as well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

impl Traffic {
    pub fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

/// What all routers sent and heard.
pub struct Tally {
    sent: [Traffic; 4],
    heard: [Traffic; 4],
    /// The second that runs, by router and duty.
    running: Vec<[u32; 4]>,
    /// Seconds that are over: by duty, and all duties at once.
    over: [Vec<u32>; 5],
}

/// Bytes a second of one router, sent and heard, over all seconds of all routers that ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rates {
    pub mean: u64,
    pub p50: u64,
    pub p99: u64,
    pub most: u64,
}

impl Tally {
    pub fn new(routers: usize) -> Tally {
        Tally {
            sent: Default::default(),
            heard: Default::default(),
            running: vec![[0; 4]; routers],
            over: Default::default(),
        }
    }

    pub fn sent(&mut self, router: usize, duty: Duty, bytes: usize) {
        self.sent[duty as usize].add(bytes as u64);
        self.count(router, duty, bytes);
    }

    pub fn heard(&mut self, router: usize, duty: Duty, bytes: usize) {
        self.heard[duty as usize].add(bytes as u64);
        self.count(router, duty, bytes);
    }

    fn count(&mut self, router: usize, duty: Duty, bytes: usize) {
        let running = &mut self.running[router][duty as usize];
        *running = running.saturating_add(bytes as u32);
    }

    /// A second is over; `runs` says who ran in it.
    pub fn end_second(&mut self, runs: impl Fn(usize) -> bool) {
        for (router, running) in self.running.iter_mut().enumerate() {
            let bytes = std::mem::take(running);
            if !runs(router) {
                continue;
            }
            for (over, bytes) in self.over.iter_mut().zip(bytes) {
                over.push(bytes);
            }
            self.over[4].push(bytes.iter().fold(0, |sum, bytes| sum.saturating_add(*bytes)));
        }
    }

    /// All that was sent and heard for a duty.
    pub fn traffic(&self, duty: Duty) -> (Traffic, Traffic) {
        (self.sent[duty as usize], self.heard[duty as usize])
    }

    /// Bytes a second of one router for a duty; of all duties at once if none is named.
    pub fn rates(&self, duty: Option<Duty>) -> Rates {
        let mut seconds = self.over[duty.map_or(4, |duty| duty as usize)].clone();
        seconds.sort_unstable();
        let sum: u64 = seconds.iter().map(|bytes| u64::from(*bytes)).sum();
        Rates {
            mean: sum / seconds.len().max(1) as u64,
            p50: nearest_rank(&seconds, 0.5).unwrap_or(0).into(),
            p99: nearest_rank(&seconds, 0.99).unwrap_or(0).into(),
            most: seconds.last().copied().unwrap_or(0).into(),
        }
    }
}
