//! Does a prediction hold on loopback? Fleets are drawn by chance, and real routers play against emulated members what was
//! predicted: a rate below and one above the first limit, the fewest members and fewer, a zone that is lost.

use super::limit::find;
use super::played::play as play_simulated;
use super::{Question, named};
use crate::{Failed, say};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use vetchkeel_emulated::{Draw, SECOND};
use vetchkeel_lab::loopback;
use vetchkeel_lab::result::RunResult;
use vetchkeel_lab::setup::Setup;

/// How far from the predicted limit the rates lie that must hold and must not.
const WITHIN: f64 = 0.15;
/// No drawn fleet has its first limit below this.
const RATE_LEAST: f64 = 1_900.0;

/// What is to be shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Shown {
    /// The first limit: 15% below it holds, 15% above does not, and the 99th percentile below is within 15%.
    Limit,
    /// The fewest members hold, and the next fewer that were played do not.
    Size,
    /// A lost zone: parts in time in each phase within 15%.
    Zone,
}

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
    let mut dice = vetchkeel_emulated::dice(seed, "prove");
    let mut draw = |low: f64, high: f64| Draw::Between(low, high).sample(&mut dice);
    let mut setup = q.setup.clone();
    let (cores, members) = ([2, 4, 8][draw(0.0, 2.999) as usize], draw(2.0, 5.999) as usize);
    let writes = draw(0.05, 0.5);
    let groups = setup.plan.groups.len();
    let (read, write) = (draw(8_000.0, 40_000.0), draw(8_000.0, 25_000.0));
    for group in &mut setup.plan.groups {
        let kept = group.access == vetchkeel_emulated::Access::Write;
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
    let member =
        |set: usize, i: usize| vetchkeel_emulated::MemberPlan { zone: (set + i) % zones, machine: 0 };
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

/// A line of figures, and whether they bear the prediction out.
struct Line {
    figures: String,
    holds: bool,
    void: Option<String>,
}

fn prove_size(what: &str, q: &Question, router: &Path, seconds: i64) -> Result<Line, Failed> {
    // Between what one member fewer a set holds and what these hold: at a limit itself chance decides.
    let rate = (1.0 - WITHIN) * find(q)?.rate;
    let asked = Question { setup: at(&q.setup, rate, seconds), rate, ..q.same() };
    let (found, tried) = super::size::find(&asked, false, 300)?;
    let Some(found) = found else {
        return Ok(Line {
            figures: format!("{what} | {rate:.0} | none of up to 300"),
            holds: false,
            void: None,
        });
    };
    let show = |sets: usize, members: usize| -> Result<RunResult, Failed> {
        let mut setup = asked.setup.clone();
        let (plan, traffic) = vetchkeel_planner::sized(&setup.plan, &setup.traffic, sets, members);
        (setup.plan, setup.traffic) = (plan, traffic);
        loopback::play(&setup, 1, router, None).map_err(Failed::Found)
    };
    let enough = show(found.sets, found.members)?;
    let fewer = found.members.saturating_sub(1).max(1);
    let less = show(found.sets, fewer)?;
    let holds = worst(&enough) >= q.goal && (worst(&less) < q.goal || fewer == found.members);
    let count = (found.sets * found.members, found.sets * fewer);
    let figures = format!(
        "{what} | {rate:.0} | {} members: {:.4} | {} members: {:.4} | {} played",
        count.0,
        worst(&enough),
        count.1,
        worst(&less),
        tried.len()
    );
    Ok(Line { figures, holds, void: enough.void.or(less.void) })
}

fn prove_zone(what: &str, q: &Question, router: &Path) -> Result<Line, Failed> {
    let rate = 0.5 * find(q)?.rate;
    let (setup, phases) = super::lose::zone_lost(&at(&q.setup, rate, 1), 0, 12 * SECOND);
    let played = play_simulated(&[(setup.clone(), 1)])?.swap_remove(0);
    let shown = loopback::play(&setup, 1, router, None).map_err(Failed::Found)?;
    let (mut holds, mut figures) = (shown.broken() == 0, format!("{what} | {rate:.0}"));
    for (name, from, until) in phases {
        let part = |r: &RunResult| super::lose::share(std::slice::from_ref(r), from, until).0;
        let (a, b) = (part(&played), part(&shown));
        holds &= (b / a.max(1e-9) - 1.0).abs() <= WITHIN;
        figures.push_str(&format!(" | {name} {a:.3}, {b:.3}"));
    }
    Ok(Line { figures, holds, void: shown.void })
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

fn prove_limit(what: String, q: &Question, router: &Path, seconds: i64) -> Result<Line, Failed> {
    let p = prove(what, q, router, seconds)?;
    let figures = format!(
        "{} | {:.0} ({}) | {:.4} | {:.4} | {:.1} | {:.1}",
        p.what, p.predicted, p.by, p.below, p.above, p.p99.0, p.p99.1
    );
    Ok(Line { figures, holds: p.holds(q.goal), void: p.void })
}

pub(super) fn run(
    q: &Question,
    shown: Shown,
    router: &Path,
    seeds: &[u64],
    jobs: usize,
    seconds: i64,
    json: bool,
) -> Result<(), Failed> {
    let next = AtomicUsize::new(0);
    let lines: Mutex<Vec<(u64, Result<Line, Failed>)>> = Mutex::new(Vec::new());
    let one = |seed: u64| {
        let (what, q) = drawn(q, seed)?;
        match shown {
            Shown::Limit => prove_limit(what, &q, router, seconds),
            Shown::Size => prove_size(&what, &q, router, seconds),
            Shown::Zone => prove_zone(&what, &q, router),
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let line = one(*seed);
                    if let Ok(mut all) = lines.lock() {
                        all.push((*seed, line));
                    }
                }
            });
        }
    });
    let mut all = lines.into_inner().map_err(|e| Failed::Found(e.to_string()))?;
    all.sort_by_key(|p| p.0);
    let (mut held, mut documents) = (0, Vec::new());
    for (seed, line) in all {
        let Line { figures, holds, void } = line?;
        let holds = holds && void.is_none();
        held += holds as usize;
        if json {
            documents
                .push(serde_json::json!({ "seed": seed, "figures": figures, "holds": holds, "void": void }));
            continue;
        }
        let verdict = match (void, holds) {
            (Some(why), _) => format!("VOID: {why}"),
            (None, true) => "holds".into(),
            (None, false) => "MISSED".into(),
        };
        say(&format!("| {seed} | {figures} | {verdict} |\n"));
    }
    if json {
        say(&format!("{:#}\n", serde_json::Value::from(documents)));
    }
    let count = seeds.len();
    if held == count { Ok(()) } else { Err(Failed::Found(format!("{held} of {count} predictions hold"))) }
}
