//! What the signals that routers share cost one instance: the real state machines over links with told time. Processor
//! time is the real code's, with reading and writing the messages; only time and links are simulated.

use crate::catalogue::{Means, Measure, Play, measured};
use crate::processor;
use crate::table::Kind;
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;
use vetchkeel_shared::budgets::{Budget, Rate, Terms};
use vetchkeel_shared::counts::Counts;
use vetchkeel_shared::judgements::{Judgements, Output, QuorumFraction, Rules};
use vetchkeel_shared::wire::{self, Decision, Message};
use vetchkeel_shared::{Name, Start, Tenths};

const SECOND: Tenths = 10_000;
const STEP: Tenths = 100;
const WARM: Tenths = 10 * SECOND;
const WINDOW: Tenths = 5 * SECOND;
/// Headers of IP and UDP.
const HEADERS: u64 = 28;
/// Topics to which every router adds once a second.
const TOPICS: u16 = 4;
/// A budget's lenders, and its tokens a second: half as many as statements come in all.
const LENDERS: usize = 20;
const TOKENS_EACH: i64 = 1_786;
/// Instances. Of budgets fewer: a lender's work grows with their square.
const INSTANCES: [usize; 5] = [100, 250, 500, 1_000, 2_100];
const BORROWERS: [usize; 5] = [50, 100, 150, 200, 300];

const fn simulated(name: &'static str, unit: &'static str) -> Measure {
    Measure { kind: Kind::Simulated, ..measured(name, unit, "instance") }
}

pub static COUNTS: Play = Play {
    measures: &[
        simulated("shared.counts.cpu.instance", "seconds"),
        simulated("shared.counts.bytes.instance", "bytes a second"),
    ],
    sizes: &INSTANCES,
    run: counts,
    processes: false,
};

pub static JUDGEMENTS: Play = Play {
    measures: &[
        simulated("shared.judgements.cpu.instance", "seconds"),
        simulated("shared.judgements.bytes.instance", "bytes a second"),
    ],
    sizes: &INSTANCES,
    run: judgements,
    processes: false,
};

pub static BUDGETS: Play = Play {
    measures: &[
        simulated("shared.budgets.cpu.instance", "seconds"),
        simulated("shared.budgets.bytes.instance", "bytes a second"),
        simulated("shared.budgets.cpu.lender.instance", "seconds"),
        Measure {
            per: "pair of instances",
            counted: |instances| (instances * instances) as f64,
            ..simulated("shared.budgets.cpu.lender.pair", "seconds")
        },
    ],
    sizes: &BORROWERS,
    run: budgets,
    processes: false,
};

/// One instance's part of what is shared.
trait Shares {
    /// What its router does in this step.
    fn act(&mut self, now: Tenths);
    fn heard(&mut self, now: Tenths, message: &Message);
    fn next(&mut self, now: Tenths) -> Option<Decision>;
}

/// Processor time and bytes of one instance in one second.
struct Cost {
    processor: f64,
    bytes: f64,
    /// Of one of the first [`LENDERS`].
    first: f64,
}

type OnWay = (Tenths, u64, usize, Vec<u8>);

struct World<T> {
    parts: Vec<T>,
    /// When it comes, its number, to whom.
    on_way: BinaryHeap<Reverse<OnWay>>,
    number: u64,
    chance: WyRand,
    bytes: u64,
    /// Of the first, and of the others.
    spent: [Duration; 2],
}

fn names(count: usize) -> Result<Vec<Name>, String> {
    (0..count).map(|at| Name::new(&format!("router-{at:04}")).map_err(|e| format!("{e:?}"))).collect()
}

/// The number in a name of [`names`].
fn index(name: &Name) -> Result<usize, String> {
    let digits = name.as_str().strip_prefix("router-").and_then(|n| n.parse().ok());
    digits.ok_or_else(|| format!("expected a router's name, found {}", name.as_str()))
}

impl<T: Shares> World<T> {
    fn new(parts: Vec<T>, seed: u64) -> World<T> {
        let (on_way, chance) = (BinaryHeap::new(), WyRand::new_seed(seed));
        World { parts, on_way, number: 0, chance, bytes: 0, spent: [Duration::ZERO; 2] }
    }

    fn run(&mut self, from: Tenths, to: Tenths) -> Result<(), String> {
        for now in (from..to).step_by(STEP as usize) {
            while self.on_way.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
                let Some(Reverse((_, _, to, bytes))) = self.on_way.pop() else { break };
                let began = processor::of_thread();
                let message: Message = wire::decode(&bytes).map_err(|e| format!("{e:?}"))?;
                self.parts[to].heard(now, &message);
                self.spent[usize::from(to >= LENDERS)] += processor::of_thread() - began;
            }
            let first = LENDERS.min(self.parts.len());
            self.decide(now, 0..first, 0)?;
            self.decide(now, first..self.parts.len(), 1)?;
        }
        Ok(())
    }

    fn decide(&mut self, now: Tenths, range: std::ops::Range<usize>, of: usize) -> Result<(), String> {
        let (mut sent, began) = (Vec::new(), processor::of_thread());
        for part in &mut self.parts[range] {
            part.act(now);
            while let Some(Decision::Send { to, message }) = part.next(now) {
                sent.push((to, wire::encode(&message).map_err(|e| format!("{e:?}"))?));
            }
        }
        self.spent[of] += processor::of_thread() - began;
        for (to, bytes) in sent {
            self.bytes += bytes.len() as u64 + HEADERS;
            self.number += 1;
            let late = 3 + self.chance.generate_range(0..17u64) as Tenths;
            self.on_way.push(Reverse((now + late, self.number, index(&to)?, bytes)));
        }
        Ok(())
    }

    /// After the warm-up, a window.
    fn cost(mut self) -> Result<Cost, String> {
        self.run(0, WARM)?;
        (self.bytes, self.spent) = (0, [Duration::ZERO; 2]);
        self.run(WARM, WARM + WINDOW)?;
        let (seconds, count) = ((WINDOW / SECOND) as f64, self.parts.len() as f64);
        let [first, others] = self.spent.map(|spent| spent.as_secs_f64());
        Ok(Cost {
            processor: (first + others) / seconds / count,
            bytes: self.bytes as f64 / seconds / count,
            first: first / seconds / (LENDERS as f64).min(count),
        })
    }
}

/// Is it time for what happens once in `every`, for the instance of this seed?
fn due(now: Tenths, every: Tenths, seed: u64) -> bool {
    now / STEP % (every / STEP) == seed as Tenths % (every / STEP)
}

struct Counting(Counts, u64);

impl Shares for Counting {
    fn act(&mut self, now: Tenths) {
        if due(now, SECOND, self.1) {
            (0..TOPICS).for_each(|topic| _ = self.0.add(now, topic.into(), 1));
        }
    }

    fn heard(&mut self, now: Tenths, message: &Message) {
        self.0.handle_message(now, message);
    }

    fn next(&mut self, now: Tenths) -> Option<Decision> {
        self.0.next_decision(now)
    }
}

/// Every router adds to the same few topics once a second.
fn counts(_: &Means, count: usize, run: u32) -> Result<Vec<f64>, String> {
    let names = names(count)?;
    let all: BTreeSet<Name> = names.iter().cloned().collect();
    let part = |(at, name): (usize, Name)| {
        let seed = at as u64 + u64::from(run) * 10_000;
        let mut counts = Counts::new(name, Start::default(), 10 * SECOND, SECOND / 4, 0, seed);
        counts.set_live(all.clone());
        Counting(counts, seed)
    };
    let parts = names.into_iter().enumerate().map(part).collect();
    let cost = World::new(parts, u64::from(run) + 1).cost()?;
    Ok(vec![cost.processor, cost.bytes])
}

struct Judging(Judgements, Name, u64);

impl Shares for Judging {
    fn act(&mut self, now: Tenths) {
        if due(now, 5 * SECOND, self.2) {
            self.0.judge(now, &self.1, 1, true);
        }
    }

    fn heard(&mut self, now: Tenths, message: &Message) {
        self.0.handle_message(now, message);
    }

    fn next(&mut self, now: Tenths) -> Option<Decision> {
        loop {
            match self.0.next_decision(now)? {
                Output::Send(decision) => return Some(decision),
                Output::Down(..) | Output::Recovered(..) => {}
            }
        }
    }
}

/// One member is down: every router holds that against it and says so again each 5 s.
fn judgements(_: &Means, count: usize, run: u32) -> Result<Vec<f64>, String> {
    let names = names(count)?;
    let all: BTreeSet<Name> = names.iter().cloned().collect();
    let member = Name::new("db-00700").map_err(|e| format!("{e:?}"))?;
    let quorum = QuorumFraction { numerator: 1, denominator: 2 };
    let rules =
        Rules { quorum, judgement_ttl: 10 * SECOND, departed_ttl: 60 * SECOND, gossip_interval: SECOND / 4 };
    let part = |(at, name): (usize, Name)| {
        let seed = at as u64 + u64::from(run) * 10_000;
        let judging = Judgements::new(name, Start::default(), rules, 0, seed);
        let mut judging = judging.map_err(|e| e.to_string())?;
        judging.set_live(0, all.clone());
        judging.observe_incarnation(&member, 1);
        Ok(Judging(judging, member.clone(), seed))
    };
    let parts: Result<Vec<Judging>, String> = names.into_iter().enumerate().map(part).collect();
    let cost = World::new(parts?, u64::from(run) + 1).cost()?;
    Ok(vec![cost.processor, cost.bytes])
}

struct Spending(Budget, i64);

impl Shares for Spending {
    fn act(&mut self, now: Tenths) {
        // Two in three of what it may have evenly, in whole tokens.
        self.1 += TOKENS_EACH * 2 / 3 * STEP;
        let tokens = self.1 / SECOND;
        self.1 -= tokens * SECOND;
        self.0.take(now, tokens as u32);
    }

    fn heard(&mut self, now: Tenths, message: &Message) {
        self.0.handle_message(now, message);
    }

    fn next(&mut self, now: Tenths) -> Option<Decision> {
        self.0.next_decision(now)
    }
}

/// One budget over all, lent by [`LENDERS`], loans of 1.5 s.
fn budgets(_: &Means, count: usize, run: u32) -> Result<Vec<f64>, String> {
    let names = names(count)?;
    let total = TOKENS_EACH * 1_000 * count as Rate;
    let terms = Terms::split_evenly(1, total, &names, LENDERS, 20, 15_000).map_err(|e| e.to_string())?;
    let part = |(at, name): (usize, Name)| {
        let seed = at as u64 + u64::from(run) * 10_000;
        Spending(Budget::new(terms.clone(), name, Start::default(), 0, seed), 0)
    };
    let parts = names.into_iter().enumerate().map(part).collect();
    let cost = World::new(parts, u64::from(run) + 1).cost()?;
    Ok(vec![cost.processor, cost.bytes, cost.first, cost.first])
}
