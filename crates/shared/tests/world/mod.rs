//! Routers of a fleet under told time with a schedule of faults drawn from a seed, and an auditor that adds up what they
//! may spend and what they spent.

#![allow(dead_code)]

use std::collections::BTreeMap;

use nanorand::{Rng, WyRand};
use vetchkeel_shared::budgets::{Budget, Rate, Terms};
use vetchkeel_shared::wire::{self, Decision, Message};
use vetchkeel_shared::{Name, Start, Tenths};

/// What may go wrong, and a fault that may be planted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Per hundred messages.
    pub lost: u32,
    /// Per hundred messages.
    pub doubled: u32,
    /// A message comes within 1 to this.
    pub delay: Tenths,
    /// Per 10,000 steps and router: it is killed, and comes back after a while.
    pub killed: u32,
    /// Per 10,000 steps and router: it is stopped for up to two loans, and goes on.
    pub stopped: u32,
    /// Per 10,000 steps: each way between two routers is cut or not, anew.
    pub cut: u32,
    /// Clocks run up to that many millionths fast or slow.
    pub drift: i64,
    /// Planted: a router that starts takes itself to have started long ago.
    pub no_quiet: bool,
}

/// All faults at once.
pub const ALL: Faults = Faults {
    lost: 20,
    doubled: 20,
    delay: 60_000,
    killed: 20,
    stopped: 20,
    cut: 30,
    drift: 50_000,
    no_quiet: false,
};

/// What the auditor found.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Most that all together might spend a second, above the budget (negative: below).
    pub over: Rate,
    /// Most tokens spent in any span above what the budget and the buckets allow (negative: below), thousandths.
    pub tokens_over: i64,
    /// Mean part of the budget that could be spent, thousandths.
    pub used: i64,
    /// Bytes sent by all.
    pub bytes: u64,
    /// What each might spend at the end.
    pub shares: Vec<Rate>,
    /// Kills and stops that happened.
    pub blows: u32,
}

/// Messages on their way.
pub struct Net {
    on_way: BTreeMap<(Tenths, u64), (usize, Vec<u8>)>,
    sent: u64,
    pub bytes: u64,
    pub lost: u32,
    pub doubled: u32,
    pub delay: Tenths,
    pub cut: Vec<Vec<bool>>,
    pub chance: WyRand,
}

impl Net {
    pub fn new(count: usize, seed: u64, faults: Faults) -> Net {
        Net {
            on_way: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            lost: faults.lost,
            doubled: faults.doubled,
            delay: faults.delay,
            cut: vec![vec![false; count]; count],
            chance: WyRand::new_seed(seed),
        }
    }

    pub fn send(&mut self, now: Tenths, from: usize, to: usize, message: &Message) {
        let bytes = wire::encode(message).expect("it fits");
        for _ in 0..1 + u32::from(self.chance.generate_range(0..100u32) < self.doubled) {
            self.bytes += bytes.len() as u64;
            self.sent += 1;
            if self.cut[from][to] || self.chance.generate_range(0..100u32) < self.lost {
                continue;
            }
            // Most come soon; some very late.
            let most = if self.chance.generate_range(0..4u32) == 0 { self.delay } else { self.delay / 20 };
            let late = 1 + self.chance.generate_range(0..=most.max(1) as u64) as i64;
            self.on_way.insert((now + late, self.sent), (to, bytes.clone()));
        }
    }

    /// The next that has come.
    pub fn come(&mut self, now: Tenths) -> Option<(usize, Message)> {
        let entry = self.on_way.first_entry().filter(|entry| entry.key().0 <= now)?;
        let (to, bytes) = entry.remove();
        Some((to, wire::decode(&bytes).expect("what was sent can be read")))
    }

    /// It waits in the socket until then.
    fn put_back(&mut self, until: Tenths, to: usize, message: &Message) {
        self.sent += 1;
        self.on_way.insert((until, self.sent), (to, wire::encode(message).expect("it fits")));
    }
}

struct Router {
    name: Name,
    offset: Tenths,
    drift: i64,
    budget: Option<Budget>,
    back_at: Tenths,
    stopped_until: Tenths,
    starts: u32,
    wants: Rate,
    owed: i64,
}

impl Router {
    fn clock(&self, now: Tenths) -> Tenths {
        self.offset + now + now * self.drift / 1_000_000
    }
}

const STEP: Tenths = 200;

/// Plays `length` of time. `wants` says what router `i` asks for a second at a time; none draws it.
pub fn play(
    seed: u64,
    terms: &Terms,
    faults: Faults,
    length: Tenths,
    wants: Option<&dyn Fn(usize) -> Rate>,
) -> Audit {
    let mut chance = WyRand::new_seed(seed);
    let names: Vec<Name> = terms.seats().keys().cloned().collect();
    let mut routers: Vec<Router> = names
        .iter()
        .map(|name| Router {
            name: name.clone(),
            offset: chance.generate_range(0..1_000_000u64) as i64,
            drift: if faults.drift == 0 {
                0
            } else {
                chance.generate_range(0..=2 * faults.drift as u64) as i64 - faults.drift
            },
            budget: None,
            back_at: 0,
            stopped_until: 0,
            starts: 0,
            wants: 0,
            owed: 0,
        })
        .collect();
    let mut net = Net::new(routers.len(), seed, faults);
    let mut audit = Audit { over: Rate::MIN, tokens_over: i64::MIN, ..Audit::default() };
    let (mut spent, mut least, mut used, mut steps) = (0i64, i64::MAX, 0i64, 0i64);
    // A clock that runs fast brings its router more a second; the auditor's second is the true one.
    let allowed = terms.total() + terms.total() * faults.drift / 1_000_000;
    let slack = allowed * terms.depth() / 10_000 + 1_000 * routers.len() as i64;
    for now in (0..length).step_by(STEP as usize) {
        let hit = |chance: &mut WyRand, of: u32| chance.generate_range(0..10_000u32) < of;
        if hit(&mut chance, faults.cut) {
            let part = chance.generate_range(0..60u32);
            net.cut.iter_mut().flatten().for_each(|way| *way = chance.generate_range(0..100u32) < part);
        }
        for router in &mut routers {
            if wants.is_none() && hit(&mut chance, 100) {
                router.wants = terms.total() * [0, 0, 1, 2, 4, 8][chance.generate_range(0..6usize)] / 4;
            }
            if hit(&mut chance, faults.killed) {
                router.budget = None;
                router.back_at = now + chance.generate_range(0..2 * terms.lent_for() as u64) as i64;
                audit.blows += 1;
            }
            if hit(&mut chance, faults.stopped) {
                router.stopped_until = now + chance.generate_range(0..2 * terms.lent_for() as u64) as i64;
                audit.blows += 1;
            }
            if router.budget.is_none() && router.back_at <= now {
                router.starts += 1;
                router.owed = 0;
                let start = Start { at: 0, count: router.starts };
                let clock = router.clock(now) - if faults.no_quiet { terms.lent_for() } else { 0 };
                router.budget = Some(Budget::new(
                    terms.clone(),
                    router.name.clone(),
                    start,
                    clock,
                    seed + u64::from(router.starts),
                ));
            }
        }
        while let Some((to, message)) = net.come(now) {
            let router = &mut routers[to];
            if now < router.stopped_until {
                net.put_back(router.stopped_until, to, &message);
                continue;
            }
            let clock = router.clock(now);
            if let Some(budget) = &mut router.budget {
                budget.heard(clock, &message);
            }
        }
        for (at, router) in routers.iter_mut().enumerate() {
            if now < router.stopped_until {
                continue;
            }
            let (clock, name) = (router.clock(now), router.name.clone());
            let want = wants.map_or(router.wants, |wants| wants(at));
            let Some(mut budget) = router.budget.take() else { continue };
            router.owed += want * STEP / 10_000;
            while router.owed >= 1_000 {
                router.owed -= 1_000;
                spent += if budget.take(clock, 1) { 1_000 } else { 0 };
            }
            while let Some(Decision::Send { to, message }) = budget.next_decision(clock) {
                assert_eq!(message.from, name);
                net.send(now, at, names.iter().position(|name| *name == to).expect("a seat"), &message);
            }
            router.budget = Some(budget);
        }
        let share =
            |router: &Router| router.budget.as_ref().map_or(0, |budget| budget.share(router.clock(now)));
        let sum: Rate = routers.iter().map(share).sum();
        audit.over = audit.over.max(sum - terms.total());
        used += sum * 1_000 / terms.total().max(1);
        steps += 1;
        // Any span up to now: the least of (spent - allowed) before it is what it began with.
        let above = spent - allowed * now / 10_000;
        least = least.min(above);
        audit.tokens_over = audit.tokens_over.max(above - least - slack);
        audit.shares = routers.iter().map(share).collect();
    }
    audit.used = used / steps.max(1);
    audit.bytes = net.bytes;
    audit
}

/// `count` names.
pub fn names(count: usize) -> Vec<Name> {
    (0..count).map(|at| Name::new(&format!("router-{at:03}")).expect("short")).collect()
}

/// A budget of `total` thousandths a second over `count` routers, `lenders` of them, loans of 1.5 s, clocks 5% off.
pub fn terms(total: Rate, count: usize, lenders: usize, drift: i64) -> Terms {
    let even = Terms::even(1, total, &names(count), lenders, 20, 15_000).expect("good terms");
    Terms::new(1, total, even.seats().clone(), 15_000, drift, 1_000).expect("good terms")
}
