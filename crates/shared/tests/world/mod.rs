//! Simulates routers of a fleet with simulated time and a schedule of faults drawn from a seed, and audits the rate
//! that they may spend and the tokens that they spend.

#![allow(dead_code)]

use std::collections::BTreeMap;

use nanorand::{Rng, WyRand};
use vetchkeel_shared::budgets::{Budget, Rate, Terms};
use vetchkeel_shared::wire::{self, Decision, Message};
use vetchkeel_shared::{Name, Start, Tenths};

/// Fault rates of a simulation, and one bug that can be injected.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Lost messages per hundred.
    pub loss_percent: u32,
    /// Duplicated messages per hundred.
    pub duplicate_percent: u32,
    /// Messages arrive after 1 to this.
    pub max_delay: Tenths,
    /// Per 10,000 steps and router: the router is killed and restarts after a while.
    pub kill_rate: u32,
    /// Per 10,000 steps and router: the router is suspended for up to two loans, then resumes.
    pub suspend_rate: u32,
    /// Per 10,000 steps: which directions between two routers are cut is drawn anew.
    pub partitions: u32,
    /// Clocks drift by up to this many parts per million.
    pub drift_ppm: i64,
    /// Injected bug: a router that starts behaves as if it had started long ago, and so lends at once.
    pub skip_quiet_period: bool,
}

/// All faults together.
pub const ALL: Faults = Faults {
    loss_percent: 20,
    duplicate_percent: 20,
    max_delay: 60_000,
    kill_rate: 20,
    suspend_rate: 20,
    partitions: 30,
    drift_ppm: 50_000,
    skip_quiet_period: false,
};

/// Results of the audit of one simulation.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Maximum of the summed rates that the routers may spend, above the budget (negative: below).
    pub excess: Rate,
    /// Maximum number of tokens spent in any interval, above what the budget and the buckets allow (negative: below),
    /// in thousandths.
    pub token_excess: i64,
    /// Mean fraction of the budget that could be spent, in thousandths.
    pub mean_used: i64,
    /// Bytes sent by all routers.
    pub bytes: u64,
    /// The rate that each router may spend at the end.
    pub shares: Vec<Rate>,
    /// Number of kills and suspensions injected.
    pub faults_injected: u32,
}

/// A simulated network.
pub struct Net {
    in_flight: BTreeMap<(Tenths, u64), (usize, Vec<u8>)>,
    sent: u64,
    pub bytes: u64,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay: Tenths,
    pub partitions: Vec<Vec<bool>>,
    pub chance: WyRand,
}

impl Net {
    pub fn new(count: usize, seed: u64, faults: Faults) -> Net {
        Net {
            in_flight: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            loss_percent: faults.loss_percent,
            duplicate_percent: faults.duplicate_percent,
            max_delay: faults.max_delay,
            partitions: vec![vec![false; count]; count],
            chance: WyRand::new_seed(seed),
        }
    }

    pub fn send(&mut self, now: Tenths, from: usize, to: usize, message: &Message) {
        let bytes = wire::encode(message).expect("the message fits");
        for _ in 0..1 + u32::from(self.chance.generate_range(0..100u32) < self.duplicate_percent) {
            self.bytes += bytes.len() as u64;
            self.sent += 1;
            if self.partitions[from][to] || self.chance.generate_range(0..100u32) < self.loss_percent {
                continue;
            }
            // Most messages arrive soon, some very late.
            let most =
                if self.chance.generate_range(0..4u32) == 0 { self.max_delay } else { self.max_delay / 20 };
            let latency = 1 + self.chance.generate_range(0..=most.max(1) as u64) as i64;
            self.in_flight.insert((now + latency, self.sent), (to, bytes.clone()));
        }
    }

    /// Removes the next message that has arrived.
    pub fn receive(&mut self, now: Tenths) -> Option<(usize, Message)> {
        let entry = self.in_flight.first_entry().filter(|entry| entry.key().0 <= now)?;
        let (to, bytes) = entry.remove();
        Some((to, wire::decode(&bytes).expect("a sent message can be decoded")))
    }

    /// Keeps the message in the socket's buffer until `until`.
    fn defer(&mut self, until: Tenths, to: usize, message: &Message) {
        self.sent += 1;
        self.in_flight.insert((until, self.sent), (to, wire::encode(message).expect("the message fits")));
    }
}

struct Router {
    name: Name,
    offset: Tenths,
    drift_ppm: i64,
    budget: Option<Budget>,
    restart_at: Tenths,
    suspended_until: Tenths,
    starts: u32,
    wants: Rate,
    pending: i64,
}

impl Router {
    fn clock(&self, now: Tenths) -> Tenths {
        self.offset + now + now * self.drift_ppm / 1_000_000
    }
}

const STEP: Tenths = 200;

/// Simulates `length` of time. `wants` gives the demand of router `i` per second; if `None`, demand is random.
pub fn simulate(
    seed: u64,
    terms: &Terms,
    faults: Faults,
    length: Tenths,
    wants: Option<&dyn Fn(usize) -> Rate>,
) -> Audit {
    let mut chance = WyRand::new_seed(seed);
    let names: Vec<Name> = terms.allotments().keys().cloned().collect();
    let mut routers: Vec<Router> = names
        .iter()
        .map(|name| Router {
            name: name.clone(),
            offset: chance.generate_range(0..1_000_000u64) as i64,
            drift_ppm: if faults.drift_ppm == 0 {
                0
            } else {
                chance.generate_range(0..=2 * faults.drift_ppm as u64) as i64 - faults.drift_ppm
            },
            budget: None,
            restart_at: 0,
            suspended_until: 0,
            starts: 0,
            wants: 0,
            pending: 0,
        })
        .collect();
    let mut net = Net::new(routers.len(), seed, faults);
    let mut audit = Audit { excess: Rate::MIN, token_excess: i64::MIN, ..Audit::default() };
    let (mut spent, mut lowest, mut mean_used, mut steps) = (0i64, i64::MAX, 0i64, 0i64);
    // A fast clock gives its router more tokens per second; the auditor measures by true time.
    let allowed = terms.total() + terms.total() * faults.drift_ppm / 1_000_000;
    let slack = allowed * terms.depth() / 10_000 + 1_000 * routers.len() as i64;
    for now in (0..length).step_by(STEP as usize) {
        let occurs = |chance: &mut WyRand, of: u32| chance.generate_range(0..10_000u32) < of;
        if occurs(&mut chance, faults.partitions) {
            let part = chance.generate_range(0..60u32);
            net.partitions
                .iter_mut()
                .flatten()
                .for_each(|way| *way = chance.generate_range(0..100u32) < part);
        }
        for router in &mut routers {
            if wants.is_none() && occurs(&mut chance, 100) {
                router.wants = terms.total() * [0, 0, 1, 2, 4, 8][chance.generate_range(0..6usize)] / 4;
            }
            if occurs(&mut chance, faults.kill_rate) {
                router.budget = None;
                router.restart_at = now + chance.generate_range(0..2 * terms.lender_duration() as u64) as i64;
                audit.faults_injected += 1;
            }
            if occurs(&mut chance, faults.suspend_rate) {
                router.suspended_until =
                    now + chance.generate_range(0..2 * terms.lender_duration() as u64) as i64;
                audit.faults_injected += 1;
            }
            if router.budget.is_none() && router.restart_at <= now {
                router.starts += 1;
                router.pending = 0;
                let start = Start { at: 0, count: router.starts };
                let clock =
                    router.clock(now) - if faults.skip_quiet_period { terms.lender_duration() } else { 0 };
                router.budget = Some(Budget::new(
                    terms.clone(),
                    router.name.clone(),
                    start,
                    clock,
                    seed + u64::from(router.starts),
                ));
            }
        }
        while let Some((to, message)) = net.receive(now) {
            let router = &mut routers[to];
            if now < router.suspended_until {
                net.defer(router.suspended_until, to, &message);
                continue;
            }
            let clock = router.clock(now);
            if let Some(budget) = &mut router.budget {
                budget.handle_message(clock, &message);
            }
        }
        for (at, router) in routers.iter_mut().enumerate() {
            if now < router.suspended_until {
                continue;
            }
            let (clock, name) = (router.clock(now), router.name.clone());
            let want = wants.map_or(router.wants, |wants| wants(at));
            let Some(mut budget) = router.budget.take() else { continue };
            router.pending += want * STEP / 10_000;
            while router.pending >= 1_000 {
                router.pending -= 1_000;
                spent += if budget.take(clock, 1) { 1_000 } else { 0 };
            }
            while let Some(Decision::Send { to, message }) = budget.next_decision(clock) {
                assert_eq!(message.from, name);
                net.send(
                    now,
                    at,
                    names.iter().position(|name| *name == to).expect("a router of the terms"),
                    &message,
                );
            }
            router.budget = Some(budget);
        }
        let share =
            |router: &Router| router.budget.as_ref().map_or(0, |budget| budget.share(router.clock(now)));
        let sum: Rate = routers.iter().map(share).sum();
        audit.excess = audit.excess.max(sum - terms.total());
        mean_used += sum * 1_000 / terms.total().max(1);
        steps += 1;
        // Covers every interval that ends now: the minimum of (spent - allowed) so far is the value at its start.
        let above = spent - allowed * now / 10_000;
        lowest = lowest.min(above);
        audit.token_excess = audit.token_excess.max(above - lowest - slack);
        audit.shares = routers.iter().map(share).collect();
    }
    audit.mean_used = mean_used / steps.max(1);
    audit.bytes = net.bytes;
    audit
}

/// The names of `count` routers.
pub fn names(count: usize) -> Vec<Name> {
    (0..count).map(|at| Name::new(&format!("router-{at:03}")).expect("short")).collect()
}

/// Terms for a budget of `total` thousandths per second over `count` routers, `lenders` of them lenders, with loans of
/// 1.5 s and clocks that drift by at most `drift_ppm` parts per million (50,000 for 5%).
pub fn terms(total: Rate, count: usize, lenders: usize, drift_ppm: i64) -> Terms {
    let even = Terms::split_evenly(1, total, &names(count), lenders, 20, 15_000).expect("good terms");
    Terms::new(1, total, even.allotments().clone(), 15_000, drift_ppm, 1_000).expect("good terms")
}
