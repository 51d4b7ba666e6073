//! A fleet under told time: links that lose, delay and are cut one way, instances that stop, die and come back.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use nanorand::{Rng, WyRand};
use vetchkeel_membership::{
    Change, Decision, Instance, Membership, Name, Plan, Standing, Start, Tenths, wire,
};

pub const SECOND: Tenths = 10_000;

pub struct World {
    pub now: Tenths,
    pub nodes: Vec<Node>,
    pub plan: Plan,
    /// Lost messages of a hundred.
    pub lost: u32,
    /// Messages from the first to the second do not come.
    pub cut: BTreeSet<(usize, usize)>,
    pub bytes: u64,
    pub datagrams: u64,
    pub changes: Vec<(Tenths, usize, Change)>,
    pub chance: WyRand,
    net: BTreeMap<(Tenths, u64), (usize, Vec<u8>)>,
    wakes: BTreeSet<(Tenths, usize)>,
    sent: u64,
}

pub struct Node {
    pub instance: Instance,
    pub membership: Option<Membership>,
    pub stopped_until: Tenths,
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
            Node { instance, membership: None, stopped_until: 0, wake: None }
        };
        World {
            now: 0,
            nodes: (0..count).map(node).collect(),
            plan: Plan::default(),
            lost: 0,
            cut: BTreeSet::new(),
            bytes: 0,
            datagrams: 0,
            changes: Vec::new(),
            chance: WyRand::new_seed(seed),
            net: BTreeMap::new(),
            wakes: BTreeSet::new(),
            sent: 0,
        }
    }

    /// All of them, started within a second and left alone for `calm`.
    pub fn whole(count: usize, seed: u64, calm: Tenths) -> World {
        let mut world = World::new(count, seed);
        for at in 0..count {
            let later = world.chance.generate_range(0..SECOND as u64) as Tenths / count as Tenths;
            world.run(later);
            world.start(at, 1_000 + world.now as u64);
        }
        world.run(calm);
        world
    }

    /// Starts one whose wall clock shows `clock`; its seeds are the first three and one by chance.
    pub fn start(&mut self, at: usize, clock: u64) {
        let by_chance = self.chance.generate_range(0..self.nodes.len());
        let seeds = [address(0), address(1), address(2), address(by_chance)];
        self.nodes[at].instance.start = Start { at: clock, count: 0 };
        let seed = self.chance.generate();
        let instance = self.nodes[at].instance.clone();
        let membership = Membership::new(self.plan, instance, &seeds, self.now, seed).expect("a good plan");
        self.nodes[at].membership = Some(membership);
        self.pull(at);
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at].membership = None;
        self.sleep(at, None);
    }

    pub fn stop(&mut self, at: usize, length: Tenths) {
        self.nodes[at].stopped_until = self.now + length;
        self.sleep(at, Some(self.now + length));
    }

    /// Cuts both ways between those for whom `side` differs.
    pub fn part(&mut self, side: impl Fn(usize) -> bool) {
        let count = self.nodes.len();
        let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        self.cut.extend(pairs.filter(|(from, to)| side(*from) != side(*to)));
    }

    pub fn run(&mut self, length: Tenths) {
        self.run_until(length, |_| false);
    }

    /// Goes on for `length`, or until `done` (asked every 10 ms). The time it took, if done.
    pub fn run_until(&mut self, length: Tenths, done: impl Fn(&World) -> bool) -> Option<Tenths> {
        let (from, end) = (self.now, self.now + length);
        let mut asked = self.now;
        loop {
            let message = self.net.first_key_value().map(|(key, _)| key.0);
            let wake = self.wakes.first().map(|(at, _)| *at);
            let next = message.into_iter().chain(wake).min().unwrap_or(end).max(self.now);
            if next >= asked + 100 {
                asked = next;
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
        if self.now < self.nodes[to].stopped_until {
            // It waits in the socket, which holds so many.
            let until = self.nodes[to].stopped_until;
            if self.net.iter().filter(|(key, (at, _))| key.0 == until && *at == to).count() < 200 {
                self.net.insert((until, number), (to, bytes));
            }
            return;
        }
        let message = wire::decode(&bytes).expect("what was sent can be read");
        if let Some(membership) = &mut self.nodes[to].membership {
            membership.heard(self.now, &message);
        }
        // What waits in the socket is heard before anything is decided.
        let more = self.net.iter().take_while(|(key, _)| key.0 <= self.now).any(|(_, (at, _))| *at == to);
        if !more {
            self.pull(to);
        }
    }

    fn pull(&mut self, at: usize) {
        if self.now < self.nodes[at].stopped_until {
            return self.sleep(at, Some(self.nodes[at].stopped_until));
        }
        let Some(mut membership) = self.nodes[at].membership.take() else { return self.sleep(at, None) };
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
        self.sleep(at, wake);
    }

    fn sleep(&mut self, at: usize, until: Option<Tenths>) {
        if let Some(old) = self.nodes[at].wake.take() {
            self.wakes.remove(&(old, at));
        }
        if let Some(until) = until {
            self.wakes.insert((until, at));
        }
        self.nodes[at].wake = until;
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        // Also the headers of IP and UDP.
        self.bytes += bytes.len() as u64 + 28;
        self.datagrams += 1;
        self.sent += 1;
        let to = usize::from(to.port()) - 7_000;
        if self.cut.contains(&(from, to)) || self.chance.generate_range(0..100u32) < self.lost {
            return;
        }
        let base = if from % 3 == to % 3 { 3 } else { 10 };
        let late = base + self.chance.generate_range(0..base as u64) as Tenths;
        self.net.insert((self.now + late, self.sent), (to, bytes));
    }

    /// How `by` sees `at`, in its present life.
    pub fn sees(&self, by: usize, at: usize) -> Option<&Standing> {
        let membership = self.nodes[by].membership.as_ref()?;
        let seen = membership.view().find(|seen| seen.instance.name == self.nodes[at].instance.name)?;
        let lives =
            self.nodes[at].membership.as_ref().map_or(self.nodes[at].instance.start, |own| own.me().start);
        (seen.instance.start == lives).then_some(seen.standing)
    }

    pub fn live(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|at| self.nodes[*at].membership.is_some()).collect()
    }

    /// Does every live one see every other live one in its present life?
    pub fn agreed(&self) -> bool {
        let live = self.live();
        live.iter().all(|by| {
            let Some(membership) = self.nodes[*by].membership.as_ref() else { return false };
            let there = membership.view().filter(|seen| seen.standing.is_there()).count();
            there >= live.len() - 1
                && live.iter().all(|at| at == by || self.sees(*by, *at).is_some_and(Standing::is_there))
        })
    }

    /// Has every live one heard that `at` is gone?
    pub fn known_gone(&self, at: usize) -> bool {
        self.live().iter().all(|by| {
            let seen = self.nodes[*by].membership.as_ref().and_then(|membership| membership.seen(&name(at)));
            seen.is_none_or(|standing| !standing.is_there())
        })
    }
}
