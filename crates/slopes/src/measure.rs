//! Plays at every size, run after run, and the slopes they come to.

use crate::catalogue::{Means, Measure, Play};
use crate::fit::{self, Point, fit};
use crate::table::Slope;

/// One size of one run is done.
#[derive(Clone, Debug)]
pub struct Progress<'a> {
    pub run: u32,
    pub size: usize,
    /// Each measure's name and need.
    pub needs: Vec<(&'a str, f64)>,
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

/// Plays at these sizes, all sizes of a run before the next run. A play that fails once gives no slope: a slope with a
/// size left out would look as good as one without.
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
            let needs = match (play.run)(means, size, run) {
                Ok(needs) => needs,
                Err(why) => {
                    let why = format!("run {run} at {size}: {why}");
                    let failed = |m: &Measure| Unmeasured { name: m.name.to_owned(), why: why.clone() };
                    return play.measures.iter().map(|m| Err(failed(m))).collect();
                }
            };
            for ((points, measure), need) in points.iter_mut().zip(play.measures).zip(&needs) {
                points.push(Point { run, size: (measure.counted)(size), need: *need });
            }
            let names = play.measures.iter().map(|m| m.name);
            tell(Progress { run, size, needs: names.zip(needs).collect() });
        }
    }
    let cores = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    play.measures.iter().zip(&points).map(|(m, points)| slope(m, points, cores)).collect()
}
