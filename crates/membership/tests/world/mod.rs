//! A simulated fleet with a simulated clock: links that lose or delay messages or are cut in one direction, instances
//! that pause, die and restart.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use nanorand::{Rng, WyRand};
use vetchkeel_membership::{
    Change, Decision, Instance, Liveness, Membership, Name, Plan, Start, Tenths, wire,
};

pub const SECOND: Tenths = 10_000;

pub struct World {
    pub now: Tenths,
    pub nodes: Vec<Node>,
    pub plan: Plan,
    /// Percentage of lost messages.
    pub loss_percent: u32,
    /// Links that are cut: messages from the first to the second instance are lost.
    pub cut_links: BTreeSet<(usize, usize)>,
    pub bytes: u64,
    pub datagrams: u64,
    pub changes: Vec<(Tenths, usize, Change)>,
    pub rng: WyRand,
    net: BTreeMap<(Tenths, u64), (usize, Vec<u8>)>,
    wakes: BTreeSet<(Tenths, usize)>,
    sent: u64,
}

pub struct Node {
    pub instance: Instance,
    pub membership: Option<Membership>,
    pub paused_until: Tenths,
    wake: Option<Tenths>,
}

pub fn name(at: usize) -> Name {
    Name::new(&format!("router-{at:03}")).expect("short")
}

pub fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + at as u16))
}

impl World {
    /// `count` instances in three zones, none of them started.
    pub fn new(count: usize, seed: u64) -> World {
        let node = |at: usize| {
            let zone = Name::new(["east", "west", "north"][at % 3]).ok();
            let instance = Instance { name: name(at), start: Start::default(), address: address(at), zone };
            Node { instance, membership: None, paused_until: 0, wake: None }
        };
        World {
            now: 0,
            nodes: (0..count).map(node).collect(),
            plan: Plan::default(),
            loss_percent: 0,
            cut_links: BTreeSet::new(),
            bytes: 0,
            datagrams: 0,
            changes: Vec::new(),
            rng: WyRand::new_seed(seed),
            net: BTreeMap::new(),
            wakes: BTreeSet::new(),
            sent: 0,
        }
    }

    /// `count` instances, all started within a second, followed by `calm` without any fault.
    pub fn all_started(count: usize, seed: u64, calm: Tenths) -> World {
        let mut world = World::new(count, seed);
        for at in 0..count {
            let later = world.rng.generate_range(0..SECOND as u64) as Tenths / count as Tenths;
            world.run(later);
            world.start(at, 1_000 + world.now as u64);
        }
        world.run(calm);
        world
    }

    /// Starts an instance whose wall clock shows `clock`. Its seeds are the first three instances and a random one.
    pub fn start(&mut self, at: usize, clock: u64) {
        let by_chance = self.rng.generate_range(0..self.nodes.len());
        let seeds = [address(0), address(1), address(2), address(by_chance)];
        self.nodes[at].instance.start = Start { at: clock, count: 0 };
        let seed = self.rng.generate();
        let instance = self.nodes[at].instance.clone();
        let membership = Membership::new(self.plan, instance, &seeds, self.now, seed).expect("a valid plan");
        self.nodes[at].membership = Some(membership);
        self.pull(at);
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at].membership = None;
        self.set_wake(at, None);
    }

    pub fn pause(&mut self, at: usize, length: Tenths) {
        self.nodes[at].paused_until = self.now + length;
        self.set_wake(at, Some(self.now + length));
    }

    /// Cuts both directions between instances for which `side` differs.
    pub fn partition(&mut self, side: impl Fn(usize) -> bool) {
        let count = self.nodes.len();
        let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        self.cut_links.extend(pairs.filter(|(from, to)| side(*from) != side(*to)));
    }

    pub fn run(&mut self, length: Tenths) {
        self.run_until(length, |_| false);
    }

    /// Runs for `length`, or until `done` (checked every 10 ms) holds. Returns the time that took, if `done` held.
    pub fn run_until(&mut self, length: Tenths, done: impl Fn(&World) -> bool) -> Option<Tenths> {
        let (from, end) = (self.now, self.now + length);
        let mut checked_at = self.now;
        loop {
            let message = self.net.first_key_value().map(|(key, _)| key.0);
            let wake = self.wakes.first().map(|(at, _)| *at);
            let next = message.into_iter().chain(wake).min().unwrap_or(end).max(self.now);
            if next >= checked_at + 100 {
                checked_at = next;
                if done(self) {
                    return Some(self.now - from);
                }
            }
            if next > end {
                self.now = end;
                return None;
            }
            self.now = next;
            if message.is_some_and(|at| at <= next) {
                self.deliver();
            } else if let Some(at) = self.wakes.first().map(|(_, at)| *at) {
                self.pull(at);
            } else {
                return None;
            }
        }
    }

    fn deliver(&mut self) {
        let Some(((_, number), (to, bytes))) = self.net.pop_first() else { return };
        if self.nodes[to].membership.is_none() {
            return;
        }
        if self.now < self.nodes[to].paused_until {
            // The message waits in the socket buffer, which holds 200 messages.
            let until = self.nodes[to].paused_until;
            if self.net.iter().filter(|(key, (at, _))| key.0 == until && *at == to).count() < 200 {
                self.net.insert((until, number), (to, bytes));
            }
            return;
        }
        let message = wire::decode(&bytes).expect("what was sent can be read");
        if let Some(membership) = &mut self.nodes[to].membership {
            membership.handle_message(self.now, &message);
        }
        // All messages in the socket buffer are handled before any decision.
        let more = self.net.iter().take_while(|(key, _)| key.0 <= self.now).any(|(_, (at, _))| *at == to);
        if !more {
            self.pull(to);
        }
    }

    fn pull(&mut self, at: usize) {
        if self.now < self.nodes[at].paused_until {
            return self.set_wake(at, Some(self.nodes[at].paused_until));
        }
        let Some(mut membership) = self.nodes[at].membership.take() else { return self.set_wake(at, None) };
        while let Some(decision) = membership.next_decision(self.now) {
            match decision {
                Decision::Send { to, message } => {
                    let bytes = wire::encode(&message).expect("it fits");
                    self.send(at, to, bytes);
                }
                Decision::Tell(change) => self.changes.push((self.now, at, change)),
            }
        }
        let wake = membership.wake_at();
        self.nodes[at].membership = Some(membership);
        self.set_wake(at, wake);
    }

    fn set_wake(&mut self, at: usize, until: Option<Tenths>) {
        if let Some(old) = self.nodes[at].wake.take() {
            self.wakes.remove(&(old, at));
        }
        if let Some(until) = until {
            self.wakes.insert((until, at));
        }
        self.nodes[at].wake = until;
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        // Includes the IP and UDP headers.
        self.bytes += bytes.len() as u64 + 28;
        self.datagrams += 1;
        self.sent += 1;
        let to = usize::from(to.port()) - 7_000;
        if self.cut_links.contains(&(from, to)) || self.rng.generate_range(0..100u32) < self.loss_percent {
            return;
        }
        let base = if from % 3 == to % 3 { 3 } else { 10 };
        let delay = base + self.rng.generate_range(0..base as u64) as Tenths;
        self.net.insert((self.now + delay, self.sent), (to, bytes));
    }

    /// State of `at` in the view of `by`, if that view has its current start.
    pub fn liveness_seen(&self, by: usize, at: usize) -> Option<&Liveness> {
        let membership = self.nodes[by].membership.as_ref()?;
        let seen = membership.view().find(|seen| seen.instance.name == self.nodes[at].instance.name)?;
        let current_start =
            self.nodes[at].membership.as_ref().map_or(self.nodes[at].instance.start, |own| own.me().start);
        (seen.instance.start == current_start).then_some(seen.liveness)
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|at| self.nodes[*at].membership.is_some()).collect()
    }

    /// True if every running instance sees every other running one as present, with its current start.
    pub fn converged(&self) -> bool {
        let running = self.running();
        running.iter().all(|by| {
            let Some(membership) = self.nodes[*by].membership.as_ref() else { return false };
            let there = membership.view().filter(|seen| seen.liveness.is_present()).count();
            there >= running.len() - 1
                && running
                    .iter()
                    .all(|at| at == by || self.liveness_seen(*by, *at).is_some_and(Liveness::is_present))
        })
    }

    /// True if no running instance has `at` as present in its view.
    pub fn gone_for_all(&self, at: usize) -> bool {
        self.running().iter().all(|by| {
            let seen =
                self.nodes[*by].membership.as_ref().and_then(|membership| membership.liveness_of(&name(at)));
            seen.is_none_or(|liveness| !liveness.is_present())
        })
    }
}
