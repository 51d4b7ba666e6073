//! Plays many seeds of a fleet and prints what docs/measured/embargo.md quotes:
//! `cargo run --release -p vetchkeel-embargo --example embargo -- CASE SEEDS [FIRST]` with CASE one of `all`, `whole`, `loss`,
//! `cut`, `fleet`.

#[path = "../tests/world/mod.rs"]
mod world;

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use world::{Plan, Played, Troubles, World};

/// Threads that play; seeds are independent of each other.
const THREADS: u64 = 3;

#[derive(Default)]
struct Sum {
    seeds: u64,
    early: Vec<String>,
    overdue: Vec<String>,
    serves: u64,
    opened_after: Vec<i64>,
    unopened: u64,
    confirmed: Vec<i64>,
    too_late: Vec<i64>,
    withdrawn: Vec<i64>,
    unanswered: u64,
    wishes: u64,
    widths: Vec<i64>,
}

impl Sum {
    fn add(&mut self, seed: u64, played: Played) {
        self.seeds += 1;
        self.early.extend(played.audit.early.into_iter().take(1).map(|e| format!("seed {seed}: {e}")));
        self.overdue.extend(played.overdue.into_iter().map(|e| format!("seed {seed}: {e}")));
        self.serves += played.audit.serves;
        self.opened_after.extend(played.opened_after);
        self.unopened += played.unopened;
        for (confirmed, took) in played.postponed {
            if confirmed { &mut self.confirmed } else { &mut self.too_late }.push(took);
        }
        self.withdrawn.extend(played.withdrawn);
        self.unanswered += played.unanswered;
        self.wishes += played.wishes;
        self.widths.extend(played.widths.into_iter().step_by(101));
    }

    fn merge(&mut self, other: Sum) {
        self.seeds += other.seeds;
        self.early.extend(other.early);
        self.overdue.extend(other.overdue);
        self.serves += other.serves;
        self.opened_after.extend(other.opened_after);
        self.unopened += other.unopened;
        self.confirmed.extend(other.confirmed);
        self.too_late.extend(other.too_late);
        self.withdrawn.extend(other.withdrawn);
        self.unanswered += other.unanswered;
        self.wishes += other.wishes;
        self.widths.extend(other.widths);
    }
}

/// In milliseconds: how many, median, 99th percentile, largest.
fn spread(name: &str, mut tenths: Vec<i64>) {
    tenths.sort_unstable();
    let at = |share: f64| {
        let index = ((tenths.len() as f64 * share) as usize).min(tenths.len().saturating_sub(1));
        tenths.get(index).map_or(0.0, |t| *t as f64 / 10.0)
    };
    println!("{name}: {} p50 {:.1} p99 {:.1} max {:.1} ms", tenths.len(), at(0.5), at(0.99), at(1.0));
}

fn plan_of(case: &str) -> Option<Plan> {
    let whole = Plan::new(Troubles::default());
    Some(match case {
        "all" => Plan::new(Troubles::all()),
        "whole" => whole,
        "loss" => Plan::new(Troubles { loss: true, ..Troubles::default() }),
        "cut" => Plan { cut_off: Some(0.4), changes: 0, ..whole },
        "fleet" => Plan { edges: 100, ..whole },
        _ => return None,
    })
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let case = arguments.first().map_or("all", String::as_str);
    let number = |at: usize, usual| arguments.get(at).and_then(|a| a.parse::<u64>().ok()).unwrap_or(usual);
    let (seeds, first) = (number(1, 100), number(2, 0));
    let Some(plan) = plan_of(case) else {
        eprintln!("unknown case {case}: expected all, whole, loss, cut or fleet");
        return ExitCode::from(2);
    };
    let began = std::time::Instant::now();
    let next = AtomicU64::new(first);
    let mut sum = Sum::default();
    std::thread::scope(|scope| {
        let play = || {
            let mut sum = Sum::default();
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + seeds {
                    return sum;
                }
                sum.add(seed, World::play(plan, seed));
            }
        };
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(play)).collect();
        threads.into_iter().for_each(|t| sum.merge(t.join().unwrap_or_default()));
    });
    let took = began.elapsed().as_secs_f64();
    println!(
        "{case}: {} seeds from {first}, {took:.0} s; {} wishes, {} serves",
        sum.seeds, sum.wishes, sum.serves
    );
    println!("early serves: {} seeds", sum.early.len());
    sum.early.iter().chain(&sum.overdue).take(5).for_each(|e| println!("  {e}"));
    println!("postponements answered after their bound: {}", sum.overdue.len());
    let within = sum.opened_after.iter().filter(|a| **a <= 10_000).count() as u64;
    let due = sum.opened_after.len() as u64 + sum.unopened;
    println!(
        "due {due}: within 1 s {within} ({:.4}), never {}",
        within as f64 / due.max(1) as f64,
        sum.unopened
    );
    spread("opened after the release", sum.opened_after);
    spread("postponement confirmed", sum.confirmed);
    spread("postponement too late", sum.too_late);
    spread("withdrawal", sum.withdrawn);
    println!("wishes without an answer at the end: {}", sum.unanswered);
    spread("width of an edge's interval", sum.widths);
    if sum.early.is_empty() && sum.overdue.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
