//! A soak test of real routers on loopback under overlapping disturbances. The results are checked by what clients, members and
//! discovery agents observed, and by the routers' own invariant checks. A seed determines the course of disturbances.
//!
//!     SOAK_SEEDS=1..51 SOAK_ROUTERS=24 SOAK_SECONDS=30 cargo test --release -p vetchkeel-router --test soak
//!
//! `SOAK_PROGRAM` runs the router of another build. `SOAK_KEEP` keeps the routers' logs; with `VETCHKEEL_LOG=all` these name
//! every command.

mod agents;
mod clients;
#[path = "../common/mod.rs"]
mod common;
mod disturbances;
mod floods;
mod ledger;
mod members;
mod proxy;
mod routers;

use agents::Agent;
use clients::Clients;
use disturbances::Environment;
use ledger::{Ledger, Outcome};
use members::{MEMBERS, Member};
use routers::{Limits, Router};
use rstest::rstest;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, Instant};

/// Active clients at each router.
const CLIENTS: usize = 5;
/// Staleness bounds of bounded reads, in milliseconds; the seed chooses one.
const BOUNDS: [u64; 4] = [500, 300, 200, 120];
/// Seeds that are a multiple of this add a crowd of idle clients.
const CROWD_SEED_INTERVAL: u64 = 5;
/// After the last disturbance the routers have this long to recover; the results of the time after it are checked.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// The share of the commands in `OBSERVATION_TIME` that must be served, in percent.
const MIN_SERVED_PERCENT: u64 = 97;

fn number(name: &str, or: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(or)
}

/// The seeds from the environment, or else these.
fn seeds(or: &str) -> std::ops::Range<u64> {
    let text = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| or.into());
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS as in 1..20");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// What joins the disturbances and clients that all runs have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Course {
    Usual,
    /// Routers stand still, also when SIGTERM comes, and some clients send a command before the one before it is answered.
    Standstills,
    /// Many clients write values of up to the largest size, also while all sets are without a primary, and routers have the deployment's limits of memory and
    /// descriptors, which the seed draws. Resident memory is judged as the platform does.
    LargeValues,
    /// Agents answer late, some requests never, and watches fall silent, while replicas drain for long.
    SlowDiscovery,
    /// Clients send at full speed, read no answers, or send much and leave. Limits and memory as with large values.
    FullSpeed,
}

impl Course {
    /// The limits of its routers.
    fn limits(self, seed: u64) -> Limits {
        if self.judges_memory() { Limits::drawn(seed) } else { Limits::USUAL }
    }

    fn judges_memory(self) -> bool {
        matches!(self, Course::LargeValues | Course::FullSpeed)
    }
}

/// Runs with large values need the machine for themselves: held for writing by these, for reading by all others.
static MACHINE: RwLock<()> = RwLock::new(());
/// How often the platform looks at the memory of a router.
const MEMORY_INTERVAL: Duration = Duration::from_millis(10);

/// Runs one seed; returns the rules that were violated.
fn run_seed(seed: u64, count: usize, span: Duration, course: Course) -> Vec<String> {
    let bound = Duration::from_millis(BOUNDS[seed as usize % BOUNDS.len()]);
    let has_idle_crowd = seed.is_multiple_of(CROWD_SEED_INTERVAL);
    let ledger = Arc::new(Ledger::new(bound, has_idle_crowd));
    let version = Arc::new(AtomicU32::new(1));
    let members: Vec<_> = (0..MEMBERS).map(|number| Member::start(number, ledger.clone())).collect();
    let start = |number| {
        let agent = Agent::start(number, &members, &version, &ledger);
        Router::start(number, seed, course.limits(seed), agent, ledger.clone())
    };
    let routers: Vec<Arc<Router>> = (0..count).map(start).collect();
    let (finished, disconnect_now) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let pipelines = course == Course::Standstills;
    let trouble_ends = Arc::new(AtomicBool::new(false));
    let outages = Arc::new(AtomicU32::new(0));
    let mut threads = Vec::new();
    for (router, client) in routers.iter().flat_map(|r| (0..CLIENTS).map(move |client| (r, client))) {
        let name = format!("s{seed}r{}c{client}", router.number);
        let seed_of_it = seed * 10_000 + (router.number * CLIENTS + client) as u64;
        let (finished, disconnect_now) = (finished.clone(), disconnect_now.clone());
        let clients = Clients {
            router: router.clone(),
            ledger: ledger.clone(),
            name,
            finished,
            disconnect_now,
            outages: outages.clone(),
            pipelines,
        };
        threads.push(thread::spawn(move || clients.run(seed_of_it)));
    }
    if course == Course::LargeValues {
        for (router, client) in routers
            .iter()
            .flat_map(|r| (CLIENTS..r.limits.sockets as usize / 3).map(move |client| (r, client)))
        {
            let clients = Clients {
                router: router.clone(),
                ledger: ledger.clone(),
                name: format!("s{seed}r{}l{client}", router.number),
                finished: trouble_ends.clone(),
                disconnect_now: disconnect_now.clone(),
                outages: outages.clone(),
                pipelines: false,
            };
            let seed_of_it = seed * 1_000_000 + (router.number * 1_000 + client) as u64;
            threads.push(thread::spawn(move || clients.write_large_values(seed_of_it)));
        }
    }
    if course.judges_memory() {
        let monitored = (routers.clone(), finished.clone());
        threads.push(thread::spawn(move || {
            while !monitored.1.load(Relaxed) {
                monitored.0.iter().for_each(|router| router.check_memory());
                thread::sleep(MEMORY_INTERVAL);
            }
        }));
    }
    let monitored = (routers.clone(), finished.clone());
    threads.push(thread::spawn(move || {
        while !monitored.1.load(Relaxed) {
            monitored.0.iter().for_each(|router| router.check());
            thread::sleep(Duration::from_millis(50));
        }
    }));
    thread::sleep(Duration::from_secs(1));
    if has_idle_crowd {
        threads.extend(routers.iter().map(|router| clients::crowd(router.clone(), finished.clone())));
    }
    if course == Course::FullSpeed {
        let begun = Instant::now();
        for router in &routers {
            let (router, ledger) = (router.clone(), ledger.clone());
            threads.push(thread::spawn(move || floods::run(&router, &ledger, seed, begun, span)));
        }
    }
    let send_delay_rate = disturbances::send_delay_rate(seed, course);
    let role_changes = Default::default();
    let environment = Environment {
        routers: routers.clone(),
        members,
        version,
        disconnect_now,
        send_delay_rate,
        outages,
        role_changes,
    };
    environment.run(seed, span, course);
    trouble_ends.store(true, Relaxed);
    thread::sleep(RECOVERY_TIME);
    let before = ledger.outcomes();
    thread::sleep(OBSERVATION_TIME);
    let after = ledger.outcomes();
    finished.store(true, Relaxed);
    threads.into_iter().for_each(|thread| thread.join().expect("no panic"));
    thread::scope(|scope| routers.iter().for_each(|router| _ = scope.spawn(|| router.stop())));
    let count_of = |outcome| after.get(&outcome).unwrap_or(&0) - before.get(&outcome).unwrap_or(&0);
    let served = count_of(Outcome::Served);
    let all = served + count_of(Outcome::Refused) + count_of(Outcome::Failed);
    println!("seed {seed}: {:?}; after recovery {served} of {all} served", ledger.outcomes());
    let mut violations = ledger.violations();
    violations.extend(routers.iter().flat_map(|router| router.own_violations()));
    if served * 100 < all * MIN_SERVED_PERCENT || all == 0 {
        violations.push(format!("not recovered: {served} of {all} commands served"));
    }
    violations
}

/// Guards against throttling commands with a short client timeout after slow members have recovered. This seed combines a tight
/// staleness bound with few descriptors and no permission to cancel.
#[rstest]
fn short_timeouts_are_served_after_a_slow_period() {
    let _machine = MACHINE.read().unwrap_or_else(PoisonError::into_inner);
    let violations = run_seed(39, 8, Duration::from_secs(10), Course::Usual);
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against moments of handling that are taken for those of arrival: signals, commands and time limits that came while
/// a router stood still.
#[rstest]
#[case::usual(Course::Usual, "1..3")]
#[case::standstills(Course::Standstills, "1..3")]
#[case::slow_discovery(Course::SlowDiscovery, "3..4")]
fn overlapping_faults_break_no_rule(#[case] course: Course, #[case] default_seeds: &str) {
    let _machine = MACHINE.read().unwrap_or_else(PoisonError::into_inner);
    run_seeds(seeds(default_seeds), number("SOAK_ROUTERS", 8), course);
}

/// Guards against statements, messages and answers that take a router over its memory limit.
#[rstest]
fn large_values_stay_within_the_memory_limit() {
    let _machine = MACHINE.write().unwrap_or_else(PoisonError::into_inner);
    run_seeds(seeds("1..2"), number("SOAK_ROUTERS", 2), Course::LargeValues);
}

/// Guards against clients at full speed that keep others from their answers or take a router over its memory limit, and against
/// commands that are sent on after their client has left, or run twice as their id comes again.
#[rstest]
fn clients_at_full_speed_break_no_rule() {
    let _machine = MACHINE.write().unwrap_or_else(PoisonError::into_inner);
    run_seeds(seeds("1..2"), number("SOAK_ROUTERS", 2), Course::FullSpeed);
}

fn run_seeds(seeds: std::ops::Range<u64>, count: u64, course: Course) {
    let span = Duration::from_secs(number("SOAK_SECONDS", 8));
    let mut failed = Vec::new();
    for seed in seeds {
        let violations = run_seed(seed, count as usize, span, course);
        violations.iter().take(20).for_each(|violation| println!("seed {seed}: {violation}"));
        println!("seed {seed}: {} violations", violations.len());
        if !violations.is_empty() {
            failed.push((seed, violations.len()));
        }
    }
    assert!(failed.is_empty(), "seeds and their number of violations: {failed:?}");
}
