//! What the configuration costs a router and a control machine: the real state machines and messages over links with told
//! time. Processor time and memory are the real code's; only time and links are simulated, and nothing is lost. One control
//! machine, its own only keeper, serves all routers: votes and reports between machines are not in it.

use crate::catalogue::{Means, Measure, Play, measured};
use crate::table::Kind;
use crate::{allocated, processor};
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use vetchkeel_configuration::{
    Action, Decision, Document, Edit, Machine, Message, Name, Plan, Subscriber, Tenths, Version, wire,
};

const SECOND: Tenths = 10_000;
/// One change in so long: 6,400 a day. Words that go between changes are counted with them.
const EVERY: Tenths = 135_000;
const CHANGES: usize = 4;
/// One way.
const LATE: Tenths = 100;
/// Headers of IP and TCP, and the link's.
const HEADERS: u64 = 60;
/// Bytes of the settings where their size is not what is played.
const SETTINGS: usize = 40_000;
/// Bytes of one setting, name and value.
const SETTING: usize = 200;

const fn simulated(name: &'static str, unit: &'static str, per: &'static str) -> Measure {
    Measure { kind: Kind::Simulated, ..measured(name, unit, per) }
}

pub static MACHINE: Play = Play {
    measures: &[
        simulated("configuration.machine.cpu.router", "seconds", "router"),
        simulated("configuration.machine.bytes.router", "bytes", "router"),
        simulated("configuration.machine.memory.router", "bytes", "router"),
    ],
    sizes: &[25, 50, 105, 210, 420],
    run: machine,
    processes: false,
};

pub static CHANGE: Play = Play {
    measures: &[
        simulated("configuration.cpu.change", "seconds", "change"),
        simulated("configuration.bytes.change", "bytes", "change"),
    ],
    sizes: &[4, 8, 12, 16, 20],
    run: changes,
    processes: false,
};

pub static DOCUMENT: Play = Play {
    measures: &[
        simulated("configuration.memory.document", "bytes", "byte of settings"),
        simulated("configuration.bytes.whole", "bytes", "byte of settings"),
    ],
    sizes: &[10_000, 20_000, 30_000, 40_000, 50_000],
    run: document,
    processes: false,
};

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Who {
    Machine,
    Router(usize),
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Wake(Who),
    Come(Who, Who, Vec<u8>),
}

struct World {
    now: Tenths,
    machine: Machine,
    routers: Vec<Subscriber>,
    queue: BinaryHeap<Reverse<(Tenths, u64, Happens)>>,
    number: u64,
    /// Out of the machine and into it, and the same of the first router.
    bytes: u64,
    first_bytes: u64,
    /// Of the machine, and of the first router.
    spent: Duration,
    first_spent: Duration,
}

fn name(text: &str) -> Result<Name, String> {
    Name::new(text).map_err(|e| format!("{e:?}"))
}

fn router(at: usize) -> Result<Name, String> {
    name(&format!("router-{at:04}"))
}

fn plan() -> Plan {
    Plan { places: 1_024, names: 4_096, ..Plan::default() }
}

/// Settings of so many bytes that hardly compress.
fn settings(bytes: usize, seed: u64) -> Vec<Edit> {
    let mut chance = WyRand::new_seed(seed);
    let mut value = || (0..SETTING - 10).map(|_| char::from(chance.generate_range(33..127u8))).collect();
    let edit = |at: usize, value: String| Edit { name: format!("group-{at:04}"), value: Some(value) };
    (0..bytes / SETTING).map(|at| edit(at, value())).collect()
}

impl World {
    /// All have the settings.
    fn whole(routers: usize, bytes: usize, seed: u64) -> Result<World, String> {
        let me = name("control-01")?;
        let bad = |e: vetchkeel_configuration::BadPlan| e.to_string();
        let (machines, keepers) = (vec![me.clone()], vec![me.clone()]);
        let machine = Machine::new(plan(), me.clone(), machines, keepers, None, |_| Ok(()), 0, seed);
        let one = |at: usize| {
            let seed = seed.wrapping_mul(1_000_003) + at as u64;
            Subscriber::new(plan(), router(at)?, 1, None, vec![me.clone()], 0, seed).map_err(bad)
        };
        let mut world = World {
            now: 0,
            machine: machine.map_err(bad)?,
            routers: (0..routers).map(one).collect::<Result<_, String>>()?,
            queue: BinaryHeap::new(),
            number: 0,
            bytes: 0,
            first_bytes: 0,
            spent: Duration::ZERO,
            first_spent: Duration::ZERO,
        };
        (0..routers).map(Who::Router).chain([Who::Machine]).try_for_each(|who| world.pull(who))?;
        world.run(10 * SECOND)?;
        for part in settings(bytes, seed).chunks(50) {
            world.publish(part.to_vec())?;
            world.run(20 * SECOND)?;
        }
        Ok(world)
    }

    fn publish(&mut self, edits: Vec<Edit>) -> Result<(), String> {
        self.machine.publish(self.now, edits).map_err(|e| e.to_string())?;
        self.pull(Who::Machine)
    }

    fn put(&mut self, at: Tenths, what: Happens) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, what)));
    }

    fn send(&mut self, from: Who, to: Who, bytes: Vec<u8>) {
        let size = bytes.len() as u64 + HEADERS;
        self.bytes += size;
        let first = [from, to].contains(&Who::Router(0));
        self.first_bytes += if first { size } else { 0 };
        self.put(self.now + LATE, Happens::Come(from, to, bytes));
    }

    fn pull(&mut self, who: Who) -> Result<(), String> {
        let from = processor::of_thread();
        let mut sent: Vec<(Who, Message)> = Vec::new();
        let wake = match who {
            Who::Machine => {
                while let Some(order) = self.machine.next_decision(self.now) {
                    if let Action::Send { to, message } = order {
                        let at = to.as_str().strip_prefix("router-").and_then(|n| n.parse().ok());
                        sent.extend(at.map(|at: usize| (Who::Router(at), message)));
                    }
                }
                self.machine.wake_at()
            }
            Who::Router(at) => {
                while let Some(decision) = self.routers[at].next_decision(self.now) {
                    match decision {
                        Decision::Send { message, .. } => sent.push((Who::Machine, message)),
                        Decision::Apply { version, .. } => self.routers[at].applied(self.now, version),
                        Decision::Notify(_) => {}
                    }
                }
                self.routers[at].wake_at()
            }
        };
        let coded =
            |(to, message): (Who, Message)| Ok((to, wire::encode(&message).map_err(|e| format!("{e:?}"))?));
        let sent: Vec<(Who, Vec<u8>)> = sent.into_iter().map(coded).collect::<Result<_, String>>()?;
        self.spend(who, processor::of_thread() - from);
        sent.into_iter().for_each(|(to, bytes)| self.send(who, to, bytes));
        wake.into_iter().for_each(|at| self.put(at.max(self.now + 1), Happens::Wake(who)));
        Ok(())
    }

    fn spend(&mut self, who: Who, spent: Duration) {
        match who {
            Who::Machine => self.spent += spent,
            Who::Router(0) => self.first_spent += spent,
            Who::Router(_) => {}
        }
    }

    fn come(&mut self, from: Who, to: Who, bytes: &[u8]) -> Result<(), String> {
        let began = processor::of_thread();
        let message = wire::decode(bytes).map_err(|e| format!("{e:?}"))?;
        match (from, to) {
            (Who::Router(at), _) => self.machine.handle_message(self.now, &router(at)?, message),
            (_, Who::Router(at)) => self.routers[at].handle_message(self.now, &name("control-01")?, message),
            _ => {}
        }
        self.spend(to, processor::of_thread() - began);
        self.pull(to)
    }

    fn run(&mut self, length: Tenths) -> Result<(), String> {
        let end = self.now + length;
        // A wake that others have overtaken finds nothing due; one for each time is enough.
        let mut last: BTreeMap<Who, Tenths> = BTreeMap::new();
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, what))) = self.queue.pop() else { break };
            self.now = at;
            match what {
                Happens::Wake(who) if last.insert(who, at) == Some(at) => {}
                Happens::Wake(who) => self.pull(who)?,
                Happens::Come(from, to, bytes) => self.come(from, to, &bytes)?,
            }
        }
        self.now = end;
        Ok(())
    }

    /// So many changes of one setting, each in its time, from counts at nothing.
    fn change(&mut self, count: usize) -> Result<(), String> {
        (self.bytes, self.first_bytes) = (0, 0);
        (self.spent, self.first_spent) = (Duration::ZERO, Duration::ZERO);
        for number in 0..count {
            let value = Some(format!("{number:0190}"));
            self.publish(vec![Edit { name: "group-0000".into(), value }])?;
            self.run(EVERY)?;
        }
        let newest = self.machine.version();
        let behind = self.routers.iter().filter(|router| router.in_force() != newest).count();
        if behind > 0 || newest == Version::NONE {
            return Err(format!("{behind} of {} routers are not at {newest:?}", self.routers.len()));
        }
        Ok(())
    }
}

fn machine(_: &Means, routers: usize, run: u32) -> Result<Vec<f64>, String> {
    let mut world = World::whole(routers, SETTINGS, u64::from(run) + 1)?;
    world.change(CHANGES)?;
    let each = CHANGES as f64;
    let needs = [world.spent.as_secs_f64() / each, world.bytes as f64 / each];
    let before = allocated::held();
    drop(world.machine);
    Ok(vec![needs[0], needs[1], (before - allocated::held()) as f64])
}

fn changes(_: &Means, count: usize, run: u32) -> Result<Vec<f64>, String> {
    let mut world = World::whole(10, SETTINGS, u64::from(run) + 1)?;
    world.change(count)?;
    Ok(vec![world.first_spent.as_secs_f64(), world.first_bytes as f64])
}

fn document(_: &Means, bytes: usize, run: u32) -> Result<Vec<f64>, String> {
    let edits = settings(bytes, u64::from(run) + 1);
    let before = allocated::held();
    let held = Document::default().changed(&edits).map_err(|e| e.to_string())?;
    let kept = Some((Version { epoch: 1, number: 1 }, held));
    let machines = vec![name("control-01")?];
    let one = Subscriber::new(plan(), router(0)?, 1, kept, machines, 0, 1).map_err(|e| e.to_string())?;
    let memory = (allocated::held() - before) as f64;
    drop(one);
    // One that starts with nothing beside one that has all: the whole copy, and the asks for it.
    let mut world = World::whole(2, bytes, u64::from(run) + 1)?;
    let fresh = Subscriber::new(plan(), router(0)?, 2, None, vec![name("control-01")?], world.now, 7);
    world.routers[0] = fresh.map_err(|e| e.to_string())?;
    world.first_bytes = 0;
    world.pull(Who::Router(0))?;
    world.run(30 * SECOND)?;
    if world.routers[0].in_force() != world.machine.version() {
        return Err("the whole copy has not come in 30 s".into());
    }
    Ok(vec![memory, world.first_bytes as f64])
}
