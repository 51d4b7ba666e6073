//! What the membership costs one instance: the real state machines over links with told time. Processor time and memory
//! are the real code's; only time and links are simulated.

use crate::catalogue::{Means, Measure, Play, measured};
use crate::table::Kind;
use crate::{allocated, processor};
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;
use vetchkeel_membership::{Decision, Instance, Membership, Name, Plan, Start, Tenths, wire};

const SECOND: Tenths = 10_000;
/// From the start of all within a second to the window, and the window.
const START: Tenths = 30 * SECOND;
const WINDOW: Tenths = 30 * SECOND;
/// Instances whose processor time is measured.
const SAMPLED: usize = 20;
/// Headers of IP and UDP.
const HEADERS: u64 = 28;
const PORT: usize = 7_000;

const fn simulated(name: &'static str, unit: &'static str) -> Measure {
    Measure { kind: Kind::Simulated, ..measured(name, unit, "instance") }
}

pub static MEMBERSHIP: Play = Play {
    measures: &[
        simulated("membership.cpu.instance", "seconds"),
        simulated("membership.bytes.instance", "bytes a second"),
        simulated("membership.memory.instance", "bytes"),
        simulated("membership.cpu.start.instance", "seconds"),
        simulated("membership.bytes.start.instance", "bytes"),
    ],
    sizes: &[100, 200, 300, 400, 500],
    run: fleet,
    processes: false,
};

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Wake(usize),
    Come(usize, Vec<u8>),
}

struct World {
    now: Tenths,
    instances: Vec<Option<Membership>>,
    /// When each is to be woken; others in the queue are out of date.
    wakes: Vec<Option<Tenths>>,
    queue: BinaryHeap<Reverse<(Tenths, u64, Happens)>>,
    number: u64,
    chance: WyRand,
    bytes: u64,
    /// Of the sampled instances together.
    spent: Duration,
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], (PORT + at) as u16))
}

impl World {
    fn new(count: usize, seed: u64) -> World {
        World {
            now: 0,
            instances: (0..count).map(|_| None).collect(),
            wakes: vec![None; count],
            queue: BinaryHeap::new(),
            number: 0,
            chance: WyRand::new_seed(seed),
            bytes: 0,
            spent: Duration::ZERO,
        }
    }

    /// Started with three seeds and one by chance.
    fn start(&mut self, at: usize) -> Result<(), String> {
        let name = |text: &str| Name::new(text).map_err(|e| format!("{e:?}"));
        let zone = name(&format!("zone-{:02}", at % crate::list::ZONES))?;
        let instance = Instance {
            name: name(&format!("router-{at:04}"))?,
            start: Start { at: 1_000 + self.now as u64, count: 0 },
            address: address(at),
            zone: Some(zone),
        };
        let by_chance = self.chance.generate_range(0..self.instances.len());
        let seeds = [address(0), address(1), address(2), address(by_chance)];
        let seed = self.chance.generate();
        let made = Membership::new(Plan::default(), instance, &seeds, self.now, seed);
        self.instances[at] = Some(made.map_err(|e| e.to_string())?);
        self.pull(at)
    }

    fn put(&mut self, at: Tenths, what: Happens) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, what)));
    }

    fn sampled(&self, at: usize) -> bool {
        at.is_multiple_of((self.instances.len() / SAMPLED).max(1))
    }

    fn pull(&mut self, at: usize) -> Result<(), String> {
        let Some(mut membership) = self.instances[at].take() else { return Ok(()) };
        let from = processor::of_thread();
        let mut sent = Vec::new();
        while let Some(decision) = membership.next_decision(self.now) {
            if let Decision::Send { to, message } = decision {
                sent.push((to, wire::encode(&message).map_err(|e| format!("{e:?}"))?));
            }
        }
        let wake = membership.wake_at();
        if self.sampled(at) {
            self.spent += processor::of_thread() - from;
        }
        self.instances[at] = Some(membership);
        sent.into_iter().for_each(|(to, bytes)| self.send(to, bytes));
        if self.wakes[at] != wake {
            self.wakes[at] = wake;
            wake.into_iter().for_each(|time| self.put(time.max(self.now), Happens::Wake(at)));
        }
        Ok(())
    }

    /// 0.3 to 2 ms on the way; nothing is lost.
    fn send(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        self.bytes += bytes.len() as u64 + HEADERS;
        let late = 3 + self.chance.generate_range(0..17u64) as Tenths;
        self.put(self.now + late, Happens::Come(usize::from(to.port()) - PORT, bytes));
    }

    fn come(&mut self, at: usize, bytes: &[u8]) -> Result<(), String> {
        let sampled = self.sampled(at);
        let Some(membership) = &mut self.instances[at] else { return Ok(()) };
        let from = processor::of_thread();
        let message = wire::decode(bytes).map_err(|e| format!("{e:?}"))?;
        membership.handle_message(self.now, &message);
        if sampled {
            self.spent += processor::of_thread() - from;
        }
        self.pull(at)
    }

    fn run(&mut self, length: Tenths) -> Result<(), String> {
        let end = self.now + length;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, what))) = self.queue.pop() else { break };
            self.now = at;
            match what {
                Happens::Wake(who) if self.wakes[who].is_some_and(|wake| wake <= at) => {
                    self.wakes[who] = None;
                    self.pull(who)?;
                }
                Happens::Wake(_) => {}
                Happens::Come(who, bytes) => self.come(who, &bytes)?,
            }
        }
        self.now = end;
        Ok(())
    }

    /// How many of those there see all others.
    fn complete(&self) -> usize {
        let sees_all = |m: &&Membership| {
            m.view().filter(|seen| seen.liveness.is_present()).count() >= self.instances.len() - 1
        };
        self.instances.iter().flatten().filter(sees_all).count()
    }

    /// Bytes that the sampled instances hold each: what is free once they are gone.
    fn memory(&mut self) -> f64 {
        let sampled: Vec<usize> = (0..self.instances.len()).filter(|at| self.sampled(*at)).collect();
        let before = allocated::held();
        sampled.iter().for_each(|at| self.instances[*at] = None);
        (before - allocated::held()) as f64 / sampled.len() as f64
    }
}

fn fleet(_: &Means, count: usize, run: u32) -> Result<Vec<f64>, String> {
    let mut world = World::new(count, u64::from(run) + 1);
    for at in 0..count {
        let gap = world.chance.generate_range(0..2 * SECOND as u64 / count as u64) as Tenths;
        world.run(gap)?;
        world.start(at)?;
    }
    world.run(START)?;
    let sampled = (0..count).filter(|at| world.sampled(*at)).count() as f64;
    let (start, start_bytes) = (world.spent.as_secs_f64() / sampled, world.bytes as f64 / count as f64);
    let complete = world.complete();
    if complete < count {
        return Err(format!("{complete} of {count} instances see all after the start"));
    }
    (world.spent, world.bytes) = (Duration::ZERO, 0);
    world.run(WINDOW)?;
    let seconds = (WINDOW / SECOND) as f64;
    let (spent, bytes) = (world.spent.as_secs_f64() / sampled, world.bytes as f64 / count as f64);
    Ok(vec![spent / seconds, bytes / seconds, world.memory(), start, start_bytes])
}
