//! One member: its process, cores, queue, table of connections and copy of the log.

use crate::copy::{Copy, Keeping};
use crate::interface::Query;
use crate::plan::{Machine, Warming};
use crate::{Micros, SECOND};
use std::collections::VecDeque;

/// A query on a core.
pub(crate) struct Running {
    pub(crate) query: Query,
    pub(crate) ticket: u64,
    left: f64,
    /// The position of the data that it sees.
    pub(crate) seen: Micros,
}

/// A read that waits for its member to catch up.
pub(crate) struct Behind {
    pub(crate) query: Query,
    pub(crate) ticket: u64,
    pub(crate) until: Micros,
}

pub(crate) struct Node {
    pub(crate) set: usize,
    pub(crate) zone: usize,
    /// The address: another member may take it later.
    pub(crate) place: usize,
    pub(crate) machine: Machine,
    pub(crate) running: Vec<Running>,
    pub(crate) queue: VecDeque<Query>,
    pub(crate) behind: Vec<Behind>,
    /// Queries and probes that came while it stood still.
    pub(crate) unread: Vec<Query>,
    pub(crate) unread_probes: Vec<u64>,
    pub(crate) connections: usize,
    pub(crate) copy: Copy,
    pub(crate) ship: Micros,
    /// When its process started; 0 for long ago. While it is cold, what reached it lately.
    pub(crate) started: Micros,
    pushed: VecDeque<(Micros, f64)>,
    pushed_sum: f64,
    /// Troubles that hold now: dead, standing still, draining; the products of those that slow it.
    pub(crate) down: u32,
    pub(crate) frozen: u32,
    pub(crate) draining: u32,
    /// Down by a step of flapping, standing still by one of its pauses.
    pub(crate) flapping: bool,
    pub(crate) paused: bool,
    pub(crate) fallen: bool,
    pub(crate) gone: bool,
    pub(crate) slow: f64,
    pub(crate) slow_apply: f64,
    pub(crate) squeeze: f64,
    pub(crate) lost: f64,
    pub(crate) resets: f64,
    /// Work of probes that the next query pays for.
    pub(crate) debt: f64,
    pub(crate) report: (Micros, bool),
    settled: Micros,
    rate: f64,
}

impl Node {
    pub(crate) fn new(set: usize, zone: usize, place: usize, machine: Machine) -> Node {
        let rate = machine.speed;
        Node {
            set,
            zone,
            place,
            machine,
            running: Vec::new(),
            queue: VecDeque::new(),
            behind: Vec::new(),
            unread: Vec::new(),
            unread_probes: Vec::new(),
            connections: 0,
            copy: Copy::default(),
            ship: 0,
            started: 0,
            pushed: VecDeque::new(),
            pushed_sum: 0.0,
            down: 0,
            frozen: 0,
            draining: 0,
            flapping: false,
            paused: false,
            fallen: false,
            gone: false,
            slow: 1.0,
            slow_apply: 1.0,
            squeeze: 1.0,
            lost: 0.0,
            resets: 0.0,
            debt: 0.0,
            report: (0, false),
            settled: 0,
            rate,
        }
    }

    pub(crate) fn alive(&self) -> bool {
        self.down == 0 && !self.fallen && !self.gone
    }

    pub(crate) fn works(&self) -> bool {
        self.alive() && self.frozen == 0
    }

    pub(crate) fn cold(&self, now: Micros, warming: &Warming) -> bool {
        self.started > 0 && now - self.started < warming.over
    }

    /// Work that one core does in a microsecond under what holds at `now`.
    pub(crate) fn speed(&self, now: Micros, warming: &Warming) -> f64 {
        let warmth = if self.started > 0 { warming.part(now - self.started) } else { 1.0 };
        if self.works() { self.machine.speed * warmth / self.slow } else { 0.0 }
    }

    /// How its copy is kept. Applying shares the cores with the queries; nothing is applied while a query blocks it.
    pub(crate) fn keeping(&self, live: bool, blocked: bool) -> Keeping {
        let (cores, busy) = (self.machine.cores as f64, self.running.len() as f64);
        let share = (cores / (busy + 1.0)).min(1.0);
        let rate = if blocked || !self.works() { 0.0 } else { self.rate * share / self.slow_apply };
        Keeping { ship: self.ship, live: live && self.works(), rate }
    }

    /// Brings the running queries up to date and takes on the speed of now. Returns the tickets with their times.
    pub(crate) fn rate_again(
        &mut self,
        now: Micros,
        warming: &Warming,
        mut ticket: impl FnMut() -> u64,
    ) -> Vec<(Micros, u64)> {
        let past = (now - self.settled) as f64 * self.rate;
        (self.settled, self.rate) = (now, self.speed(now, warming));
        let mut due = Vec::new();
        for running in &mut self.running {
            running.left = (running.left - past).max(0.0);
            running.ticket = ticket();
            if self.rate > 0.0 {
                due.push((now + (running.left / self.rate).ceil() as Micros, running.ticket));
            }
        }
        due
    }

    /// Puts a query on a free core. Returns when it is done, if the core moves.
    pub(crate) fn run(&mut self, now: Micros, query: Query, seen: Micros, ticket: u64) -> Option<Micros> {
        let past = (now - self.settled) as f64 * self.rate;
        self.settled = now;
        self.running.iter_mut().for_each(|r| r.left = (r.left - past).max(0.0));
        let left = query.work + std::mem::take(&mut self.debt);
        self.running.push(Running { query, ticket, left, seen });
        (self.rate > 0.0).then(|| now + ((left / self.rate).ceil() as Micros).max(1))
    }

    /// A query needs a free core and, for what it reads, the right data.
    pub(crate) fn has_core(&self) -> bool {
        self.running.len() < self.machine.cores
    }

    /// Counts work that reaches a cold member. True if that pushes it over.
    pub(crate) fn push(&mut self, now: Micros, work: f64, warming: &Warming) -> bool {
        if !self.cold(now, warming) {
            self.pushed.clear();
            self.pushed_sum = 0.0;
            return false;
        }
        self.pushed.push_back((now, work));
        self.pushed_sum += work;
        while let Some((_, work)) = self.pushed.front().copied().filter(|p| p.0 <= now - warming.span) {
            self.pushed_sum -= work;
            self.pushed.pop_front();
        }
        let part = warming.part(now - self.started);
        let can = self.machine.cores as f64 * self.machine.speed * part * warming.span as f64;
        self.pushed_sum > warming.multiple * can
    }

    /// The process is gone, with all that it held.
    pub(crate) fn clear(&mut self, now: Micros) {
        self.running.clear();
        self.queue.clear();
        self.behind.clear();
        self.unread.clear();
        self.unread_probes.clear();
        self.pushed.clear();
        (self.pushed_sum, self.debt, self.connections, self.settled) = (0.0, 0.0, 0, now);
    }

    /// How many queries it holds.
    pub(crate) fn held(&self) -> usize {
        self.running.len() + self.queue.len() + self.behind.len() + self.unread.len()
    }

    pub(crate) fn connections_most(&self) -> usize {
        ((self.machine.connections as f64 * self.squeeze) as usize).max(1)
    }

    /// True if a query has been withdrawn that waited; a running one only if `stops`.
    pub(crate) fn withdraw(&mut self, job: u64, stops: bool) -> Option<Query> {
        let at = |q: &Query| q.job == job;
        if let Some(i) = self.queue.iter().position(at) {
            return self.queue.remove(i);
        }
        if let Some(i) = self.unread.iter().position(at) {
            return Some(self.unread.remove(i));
        }
        if let Some(i) = self.behind.iter().position(|b| at(&b.query)) {
            return Some(self.behind.remove(i).query);
        }
        let i = self.running.iter().position(|r| at(&r.query)).filter(|_| stops)?;
        Some(self.running.remove(i).query)
    }
}

/// How often a cold member's speed is looked at again.
pub(crate) const WARM_STEP: Micros = SECOND / 4;
