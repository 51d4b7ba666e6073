//! Does a prediction hold on loopback? Fleets are drawn by chance, their first limit is predicted, and real routers play
//! a rate below and one above it against emulated members.

use super::limit::find;
use super::played::play as play_simulated;
use super::{Question, named};
use crate::{Failed, say};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use vetchkeel_fleet::{Draw, SECOND};
use vetchkeel_lab::loopback;
use vetchkeel_lab::result::RunResult;
use vetchkeel_lab::setup::Setup;

/// How far from the predicted limit the rates lie that must hold and must not.
const WITHIN: f64 = 0.15;
/// No drawn fleet has its first limit below this.
const RATE_LEAST: f64 = 1_900.0;

struct Proof {
    what: String,
    predicted: f64,
    by: &'static str,
    /// Worst command group's part in target, below and above.
    below: f64,
    above: f64,
    /// 99th percentile below, played simulated and on loopback, in milliseconds.
    p99: (f64, f64),
    void: Option<String>,
    broken: u64,
}

impl Proof {
    fn holds(&self, goal: f64) -> bool {
        let p99 = (self.p99.1 / self.p99.0.max(1e-9) - 1.0).abs() <= WITHIN;
        self.below >= goal && self.above < goal && p99 && self.void.is_none() && self.broken == 0
    }
}

/// A fleet by chance, with as many sets as bring its limit to where it is to be.
fn drawn(q: &Question, seed: u64) -> Result<(String, Question), Failed> {
    let mut dice = vetchkeel_fleet::dice(seed, "prove");
    let mut draw = |low: f64, high: f64| Draw::Between(low, high).sample(&mut dice);
    let mut setup = q.setup.clone();
    let (cores, members) = ([2, 4, 8][draw(0.0, 2.999) as usize], draw(2.0, 5.999) as usize);
    let writes = draw(0.05, 0.5);
    let groups = setup.plan.groups.len();
    let (read, write) = (draw(8_000.0, 40_000.0), draw(8_000.0, 25_000.0));
    for group in &mut setup.plan.groups {
        let kept = group.access == vetchkeel_fleet::Access::Write;
        let mean = if kept { write } else { read };
        let share = if kept { writes } else { (1.0 - writes) / (groups - 1) as f64 };
        group.work = Draw::LogNormal(mean, draw(0.3, 1.0));
        group.share = share;
        // Long enough that work alone is in time, short enough that waiting is seen.
        group.target = (mean * draw(10.0, 16.0)) as i64;
        group.timeout = group.timeout.max(group.target);
    }
    setup.plan.copying.apply = Draw::LogNormal(write * draw(0.05, 0.25), 0.5);
    setup.plan.machines.truncate(1);
    setup.plan.machines[0].cores = cores;
    setup.plan.machines[0].queue = 16 * cores;
    let zones = setup.plan.zones.len();
    let member = |set: usize, i: usize| vetchkeel_fleet::MemberPlan { zone: (set + i) % zones, machine: 0 };
    let mut ask = |sets: usize| {
        setup.plan.sets = (0..sets).map(|set| (0..members).map(|i| member(set, i)).collect()).collect();
        setup.traffic.sets = vec![1.0; sets];
        let (room, load) = (q.room, None);
        Question { setup: setup.clone(), room, load, rate: RATE_LEAST, goal: q.goal, lag: 1.0 }
    };
    let one = find(&ask(1))?.rate.max(1.0);
    let sets = (RATE_LEAST * 1.1 / one).ceil() as usize;
    let what = format!(
        "{sets} sets of {members}, {cores} cores, reads {:.0} ms, writes {:.0} ms, {:.0}% writes",
        read / 1e3,
        write / 1e3,
        100.0 * writes
    );
    Ok((what, ask(sets.clamp(1, 60))))
}

fn at(setup: &Setup, rate: f64, seconds: i64) -> Setup {
    let mut at = setup.clone();
    at.traffic.rate = rate;
    (at.length, at.traffic.until) = (seconds * SECOND, seconds * SECOND);
    at
}

fn worst(r: &RunResult) -> f64 {
    r.groups.iter().filter(|g| g.asked >= 30).map(|g| g.share()).fold(1.0, f64::min)
}

fn prove(what: String, q: &Question, router: &Path, seconds: i64) -> Result<Proof, Failed> {
    let found = find(q)?;
    let below = at(&q.setup, found.rate * (1.0 - WITHIN), seconds);
    let above = at(&q.setup, found.rate * (1.0 + WITHIN), seconds);
    let simulated = play_simulated(&[(below.clone(), 1)])?;
    let low = loopback::play(&below, 1, router, None).map_err(Failed::Found)?;
    let high = loopback::play(&above, 1, router, None).map_err(Failed::Found)?;
    let first = found.limits.first().map_or(String::new(), |l| named(&q.setup, &l.resource));
    Ok(Proof {
        what: format!("{what}; {first}"),
        predicted: found.rate,
        by: if found.by_formula { "formula" } else { "played" },
        below: worst(&low),
        above: worst(&high),
        p99: (simulated[0].all.latency_ms.p99, low.all.latency_ms.p99),
        void: low.void.clone().or(high.void.clone()),
        broken: low.broken() + high.broken(),
    })
}

pub(super) fn run(
    q: &Question,
    router: &Path,
    seeds: &[u64],
    jobs: usize,
    seconds: i64,
    json: bool,
) -> Result<(), Failed> {
    let next = AtomicUsize::new(0);
    let proofs: Mutex<Vec<(u64, Result<Proof, Failed>)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let proof = drawn(q, *seed).and_then(|(what, q)| prove(what, &q, router, seconds));
                    if let Ok(mut all) = proofs.lock() {
                        all.push((*seed, proof));
                    }
                }
            });
        }
    });
    let mut all = proofs.into_inner().map_err(|e| Failed::Found(e.to_string()))?;
    all.sort_by_key(|p| p.0);
    let (mut held, mut documents) = (0, Vec::new());
    for (seed, proof) in all {
        let p = proof?;
        let holds = p.holds(q.goal);
        held += holds as usize;
        if json {
            documents.push(
                serde_json::json!({ "seed": seed, "fleet": p.what, "predicted": p.predicted, "by": p.by,
                "below": p.below, "above": p.above, "p99_simulated_ms": p.p99.0, "p99_loopback_ms": p.p99.1,
                "void": p.void, "broken": p.broken, "holds": holds }),
            );
            continue;
        }
        let verdict = match (&p.void, holds) {
            (Some(why), _) => format!("VOID: {why}"),
            (None, true) => "holds".into(),
            (None, false) => "MISSED".into(),
        };
        say(&format!(
            "| {seed} | {} | {:.0} ({}) | {:.4} | {:.4} | {:.1} | {:.1} | {verdict} |\n",
            p.what, p.predicted, p.by, p.below, p.above, p.p99.0, p.p99.1
        ));
    }
    if json {
        say(&format!("{:#}\n", serde_json::Value::from(documents)));
    }
    let count = seeds.len();
    if held == count { Ok(()) } else { Err(Failed::Found(format!("{held} of {count} predictions hold"))) }
}
