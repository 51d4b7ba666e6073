//! A soak of real routers on loopback under troubles that overlap, judged by what passed at clients, members and agents
//! and by the routers' own checks. One seed, one course of troubles.
//!
//!     SOAK_SEEDS=1..51 SOAK_ROUTERS=24 SOAK_SECONDS=30 cargo test --release -p vetchkeel-router --test soak
//!
//! `SOAK_PROGRAM` plays another build's router. `SOAK_KEEP` keeps the routers' logs; with `VETCHKEEL_LOG=all` these name every command.

mod agents;
mod clients;
#[path = "../common/mod.rs"]
mod common;
mod ledger;
mod members;
mod proxy;
mod routers;
mod troubles;

use agents::Agent;
use clients::Clients;
use ledger::{Ledger, Outcome};
use members::{MEMBERS, Member};
use routers::Router;
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed};
use std::thread;
use std::time::Duration;
use troubles::World;

const CLIENTS: usize = 5;
/// How old a bounded read's data may be, in milliseconds; one by the seed.
const BOUNDS: [u64; 4] = [500, 300, 200, 120];
/// One seed in so many has a crowd of idle clients.
const CROWD_ONE_IN: u64 = 5;
/// After the last trouble all is well again within this, and stays so for the next.
const RECOVERS: Duration = Duration::from_secs(6);
const WELL: Duration = Duration::from_secs(2);
/// Of the commands of that time, so many in a hundred are served.
const SERVED_LEAST: u64 = 97;

fn number(name: &str, or: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(or)
}

fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1..3".into());
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS as in 1..20");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Plays one seed; what broke a rule.
fn play(seed: u64, count: usize, span: Duration) -> Vec<String> {
    let bound = Duration::from_millis(BOUNDS[seed as usize % BOUNDS.len()]);
    let crowded = seed.is_multiple_of(CROWD_ONE_IN);
    let ledger = Arc::new(Ledger::new(bound, crowded));
    let version = Arc::new(AtomicU32::new(1));
    let members: Vec<_> = (0..MEMBERS).map(|number| Member::start(number, ledger.clone())).collect();
    let start = |number| {
        let agent = Agent::start(number, &members, &version, &ledger);
        Router::start(number, seed, agent, ledger.clone())
    };
    let routers: Vec<Arc<Router>> = (0..count).map(start).collect();
    let (ends, leaves) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let mut threads = Vec::new();
    for (router, client) in routers.iter().flat_map(|r| (0..CLIENTS).map(move |client| (r, client))) {
        let name = format!("s{seed}r{}c{client}", router.number);
        let of_it = seed * 10_000 + (router.number * CLIENTS + client) as u64;
        let (ends, leaves) = (ends.clone(), leaves.clone());
        let clients = Clients { router: router.clone(), ledger: ledger.clone(), name, ends, leaves };
        threads.push(thread::spawn(move || clients.run(of_it)));
    }
    let watched = (routers.clone(), ends.clone());
    threads.push(thread::spawn(move || {
        while !watched.1.load(Relaxed) {
            watched.0.iter().for_each(|router| router.check());
            thread::sleep(Duration::from_millis(50));
        }
    }));
    thread::sleep(Duration::from_secs(1));
    if crowded {
        threads.extend(routers.iter().map(|router| clients::crowd(router.clone(), ends.clone())));
    }
    let held_sends = troubles::held_sends(seed);
    let changing = Default::default();
    let world = World { routers: routers.clone(), members, version, leaves, held_sends, changing };
    world.play(seed, span);
    thread::sleep(RECOVERS);
    let before = ledger.outcomes();
    thread::sleep(WELL);
    let after = ledger.outcomes();
    ends.store(true, Relaxed);
    threads.into_iter().for_each(|thread| thread.join().expect("no panic"));
    thread::scope(|scope| routers.iter().for_each(|router| _ = scope.spawn(|| router.stop())));
    let of = |outcome| after.get(&outcome).unwrap_or(&0) - before.get(&outcome).unwrap_or(&0);
    let served = of(Outcome::Served);
    let all = served + of(Outcome::Refused) + of(Outcome::Failed);
    println!("seed {seed}: {:?}; at the end {served} of {all} served", ledger.outcomes());
    let mut violations = ledger.violations();
    violations.extend(routers.iter().flat_map(|router| router.own_violations()));
    if served * 100 < all * SERVED_LEAST || all == 0 {
        violations.push(format!("not well at the end: {served} of {all} served"));
    }
    violations
}

/// A course whose short waits are refused at its end, where a tight bound meets few descriptors and no leave to cancel.
#[rstest]
fn short_timeouts_are_served_after_a_slow_period() {
    let violations = play(39, 8, Duration::from_secs(10));
    assert!(violations.is_empty(), "{violations:?}");
}

#[rstest]
fn overlapping_faults_break_no_rule() {
    let count = number("SOAK_ROUTERS", 8) as usize;
    let span = Duration::from_secs(number("SOAK_SECONDS", 8));
    let mut broken = Vec::new();
    for seed in seeds() {
        let violations = play(seed, count, span);
        violations.iter().take(20).for_each(|violation| println!("seed {seed}: {violation}"));
        println!("seed {seed}: {} violations", violations.len());
        if !violations.is_empty() {
            broken.push((seed, violations.len()));
        }
    }
    assert!(broken.is_empty(), "seeds and their violations: {broken:?}");
}
