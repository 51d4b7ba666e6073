//! A plan's own scenario, played by the simulated driver.

use crate::Failed;
use vetchkeel_emulated::{Kind, Micros, On, SECOND, Trouble};
use vetchkeel_lab::result::RunResult;
use vetchkeel_lab::setup::Setup;
use vetchkeel_lab::sim::simulate;

/// How long a rate is played, and with which seeds.
const LENGTH: Micros = 15 * SECOND;
const SEEDS: [u64; 3] = [11, 12, 13];
/// No play has more commands than this: a longer load is played in part.
const COMMANDS: f64 = 60_000.0;

/// Plays setups side by side.
pub(super) fn play(setups: &[(Setup, u64)]) -> Result<Vec<RunResult>, Failed> {
    let results: Vec<Result<RunResult, String>> = std::thread::scope(|scope| {
        let runs: Vec<_> =
            setups.iter().map(|(setup, seed)| scope.spawn(move || simulate(setup, *seed))).collect();
        let joined = runs.into_iter().map(|run| run.join());
        joined.map(|r| r.unwrap_or_else(|_| Err("a played run has panicked".into()))).collect()
    });
    results.into_iter().collect::<Result<_, _>>().map_err(Failed::Found)
}

/// The part of a setup that is busiest: its set with the most traffic alone, with that set's part of the load. Sets don't
/// share members, so this is where a limit shows first.
pub(super) fn busiest(setup: &Setup) -> (Setup, f64) {
    let sum: f64 = setup.traffic.sets.iter().sum();
    let set = (0..setup.traffic.sets.len())
        .max_by(|a, b| setup.traffic.sets[*a].total_cmp(&setup.traffic.sets[*b]))
        .unwrap_or(0);
    let part = setup.traffic.sets[set] / sum;
    let mut alone = setup.clone();
    alone.plan.sets = vec![setup.plan.sets[set].clone()];
    alone.traffic.sets = vec![1.0];
    alone.traffic.rate = setup.traffic.rate * part;
    (alone, part)
}

/// This setup at this rate of the whole, for as long as fits.
pub(super) fn at_rate(setup: &Setup, rate: f64, lag: f64) -> Setup {
    let mut at = setup.clone();
    at.traffic.rate = rate;
    at.length = LENGTH.min((COMMANDS / rate.max(1.0) * SECOND as f64) as Micros).max(5 * SECOND);
    at.traffic.until = at.length;
    if lag > 1.0 {
        let on = On::Part { part: 1.0, primaries: Some(false) };
        at.troubles.push(Trouble { kind: Kind::SlowApply { times: lag }, on, from: 0, until: at.length });
    }
    at
}

/// The worst command group's part answered in target, over all seeds, after the first two seconds.
pub(super) fn worst_share(runs: &[RunResult]) -> f64 {
    let groups = runs.first().map_or(0, |r| r.groups.len());
    let share = |i: usize| {
        let asked: u64 = runs.iter().map(|r| r.groups[i].asked).sum();
        let in_target: u64 = runs.iter().map(|r| r.groups[i].in_target).sum();
        if asked < 30 { 1.0 } else { in_target as f64 / asked as f64 }
    };
    (0..groups).map(share).fold(1.0, f64::min)
}

/// Whether a rate holds the goal when it is played with all seeds.
pub(super) fn holds(setup: &Setup, rate: f64, goal: f64, lag: f64) -> Result<bool, Failed> {
    let runs: Vec<(Setup, u64)> = SEEDS.iter().map(|seed| (at_rate(setup, rate, lag), *seed)).collect();
    Ok(worst_share(&play(&runs)?) >= goal)
}

/// The highest rate that holds the goal, between two that lie close: first one that holds, then one that does not.
/// Begins at `guess`.
pub(super) fn highest(setup: &Setup, guess: f64, goal: f64, lag: f64) -> Result<(f64, f64), Failed> {
    let (mut low, mut high) = (0.0, f64::INFINITY);
    let mut at = guess.max(1.0);
    for _ in 0..20 {
        if holds(setup, at, goal, lag)? {
            low = at;
        } else {
            high = at;
        }
        if low > 0.0 && high < low * 1.03 {
            break;
        }
        at = match (low, high) {
            (low, f64::INFINITY) => low * 1.5,
            (0.0, high) => high * 0.6,
            (low, high) => (low + high) / 2.0,
        };
        if at < 0.5 {
            break;
        }
    }
    Ok((low, if high.is_finite() { high } else { low }))
}
