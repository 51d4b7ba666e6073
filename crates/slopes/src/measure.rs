//! Plays at every size, run after run, and the slopes they come to.

use crate::catalogue::{Means, Measure, Play};
use crate::fit::{self, Point, fit};
use crate::table::Slope;

/// A try that is void (the machine too busy to play it) is played again, so often in all.
pub const TRIES: u32 = 4;

/// One size of one run was played.
#[derive(Clone, Debug)]
pub struct Progress<'a> {
    pub run: u32,
    pub size: usize,
    /// Each measure's name and need; or why this try is void.
    pub needs: Result<Vec<(&'a str, f64)>, String>,
}

/// A slope, and what its line was laid through: each size with the mean over the runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Measured {
    pub slope: Slope,
    pub means: Vec<(f64, f64)>,
}

/// A slope that came to nothing, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unmeasured {
    pub name: String,
    pub why: String,
}

fn slope(measure: &Measure, points: &[Point], cores: u64) -> Result<Measured, Unmeasured> {
    let name = measure.name.to_owned();
    let fit = fit(points).map_err(|why| Unmeasured { name: name.clone(), why })?;
    let command = format!("vetchkeel lab slopes --only {name}");
    let (unit, per) = (measure.unit.to_owned(), measure.per.to_owned());
    let slope = Slope { name, unit, per, fit, kind: measure.kind, command, cores };
    Ok(Measured { slope, means: fit::means(points) })
}

/// Plays one size of one run, again where it is void. Every try is told.
fn play_size(
    play: &Play,
    size: usize,
    run: u32,
    means: &Means,
    tell: &mut impl FnMut(Progress),
) -> Result<Vec<f64>, String> {
    let mut why = String::new();
    for _ in 0..TRIES {
        match (play.run)(means, size, run) {
            Ok(needs) => {
                let named = play.measures.iter().map(|m| m.name).zip(needs.iter().copied()).collect();
                tell(Progress { run, size, needs: Ok(named) });
                return Ok(needs);
            }
            Err(void) => {
                tell(Progress { run, size, needs: Err(void.clone()) });
                why = void;
            }
        }
    }
    Err(format!("run {run} at {size}, {TRIES} times: {why}"))
}

/// Plays at these sizes, all sizes of a run before the next run. A size that stays void leaves no slope at all: one with
/// a size left out would look as good as one without.
pub fn play(
    play: &Play,
    sizes: &[usize],
    runs: u32,
    means: &Means,
    mut tell: impl FnMut(Progress),
) -> Vec<Result<Measured, Unmeasured>> {
    let mut points: Vec<Vec<Point>> = vec![Vec::new(); play.measures.len()];
    for run in 0..runs {
        for &size in sizes {
            let needs = match play_size(play, size, run, means, &mut tell) {
                Ok(needs) => needs,
                Err(why) => {
                    let failed = |m: &Measure| Unmeasured { name: m.name.to_owned(), why: why.clone() };
                    return play.measures.iter().map(|m| Err(failed(m))).collect();
                }
            };
            for ((points, measure), need) in points.iter_mut().zip(play.measures).zip(&needs) {
                points.push(Point { run, size: (measure.counted)(size), need: *need });
            }
        }
    }
    let cores = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    play.measures.iter().zip(&points).map(|(m, points)| slope(m, points, cores)).collect()
}
