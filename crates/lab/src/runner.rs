//! Runs an experiment: all its points with all its seeds, side by side as far as that is allowed.

use crate::experiment::{Drives, Experiment};
use crate::loopback::play;
use crate::result::RunResult;
use crate::sim::{simulate, simulate_captured};
use std::fs::File;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use vetchkeel_capture::{Recorder, RecorderLimits};

/// How an experiment is carried out.
pub struct Means {
    /// Simulated runs that may go on at once.
    pub jobs: usize,
    /// The program that is a router, for runs on loopback.
    pub router: PathBuf,
    /// Where the load of a single run is captured.
    pub capture: Option<PathBuf>,
}

/// Runs what is planned and hands over each result with its number, in the order in which they end. What
/// `each` returns as an error ends the experiment.
pub fn run<E: From<String>>(
    experiment: &Experiment,
    means: &Means,
    mut each: impl FnMut(u32, RunResult) -> Result<(), E>,
) -> Result<(), E> {
    let jobs: Vec<(usize, u64)> =
        (0..experiment.points.len()).flat_map(|p| experiment.seeds.iter().map(move |s| (p, *s))).collect();
    let one = |number: usize| -> Result<RunResult, String> {
        let (point, seed) = jobs[number];
        let point = &experiment.points[point];
        let mut recorder = match &means.capture {
            None => None,
            Some(_) if jobs.len() > 1 => return Err("expected a single run to capture, found several".into()),
            Some(path) => {
                let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
                Some(Recorder::new(file, RecorderLimits::default()))
            }
        };
        let mut result = match (experiment.drives, &mut recorder) {
            (Drives::Simulated, None) => simulate(&point.setup, seed)?,
            (Drives::Simulated, Some(recorder)) => simulate_captured(&point.setup, seed, recorder)?,
            (Drives::Loopback, recorder) => play(&point.setup, seed, &means.router, recorder.as_mut())?,
        };
        if let Some(recorder) = recorder {
            recorder.finish().map_err(|e| format!("the capture: {e}"))?;
        }
        result.point = point.values.clone();
        Ok(result)
    };
    if experiment.drives == Drives::Loopback {
        // Real time: one after the other, so that they don't disturb each other.
        for number in 0..jobs.len() {
            each(number as u32, one(number)?)?;
        }
        return Ok(());
    }
    let next = AtomicUsize::new(0);
    let (tell, told) = channel();
    std::thread::scope(|scope| {
        for _ in 0..means.jobs.clamp(1, jobs.len().max(1)) {
            let (tell, next, one, count) = (tell.clone(), &next, &one, jobs.len());
            scope.spawn(move || {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= count || tell.send((number, one(number))).is_err() {
                        return;
                    }
                }
            });
        }
        drop(tell);
        let mut ended = Ok(());
        for (number, result) in told {
            ended = result.map_err(E::from).and_then(|r| each(number as u32, r));
            if ended.is_err() {
                // Nothing more is begun; what runs ends by itself.
                next.store(usize::MAX / 2, Ordering::Relaxed);
                break;
            }
        }
        ended
    })
}
