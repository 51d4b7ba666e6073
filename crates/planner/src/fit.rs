//! From times at members back to work. The time at a member is waiting and work together, so the work is not read off it:
//! it is guessed, played, and corrected by how the played times differ from the captured ones, until they agree.

use serde::{Deserialize, Serialize};

/// Of times in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    pub count: usize,
    pub mean: f64,
    pub p25: f64,
    pub p50: f64,
    pub p75: f64,
    pub p90: f64,
    pub p99: f64,
}

/// Sorts the times and reads them.
pub fn quantiles(times: &mut [f64]) -> Quantiles {
    times.sort_by(f64::total_cmp);
    let at = |part: f64| times[((times.len() - 1) as f64 * part).round() as usize];
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    Quantiles {
        count: times.len(),
        mean,
        p25: at(0.25),
        p50: at(0.5),
        p75: at(0.75),
        p90: at(0.9),
        p99: at(0.99),
    }
}

/// Work as a log-normal one: the middle in milliseconds, and the standard deviation of its logarithm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    pub middle: f64,
    pub sigma: f64,
}

impl Shape {
    /// What the times would be if nobody ever waited.
    pub fn guess(seen: &Quantiles) -> Shape {
        let sigma = ((seen.p75 / seen.p25).ln() / 1.349).clamp(0.02, 2.5);
        Shape { middle: seen.p50.max(0.01), sigma }
    }

    pub fn mean(&self) -> f64 {
        self.middle * (self.sigma * self.sigma / 2.0).exp()
    }

    /// Standard deviation over mean.
    pub fn spread(&self) -> f64 {
        ((self.sigma * self.sigma).exp() - 1.0).sqrt()
    }

    /// Half the width of the interval that holds the mean with 95 in a hundred, over the mean, from so many times.
    pub fn doubt(&self, count: usize) -> f64 {
        let s = self.sigma * self.sigma;
        1.96 * 1.25 * (s * (1.0 + s / 2.0) / count.max(1) as f64).sqrt()
    }
}

/// What a fit came to for one command group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fitted {
    pub shape: Shape,
    /// Furthest that a played quantile still lies from the captured one, as a part of it.
    pub off: f64,
    pub rounds: usize,
    /// The captured tail is heavier than the fitted one by so many times at the 99th percentile.
    pub tail: f64,
}

fn off(seen: &Quantiles, played: &Quantiles) -> f64 {
    let pairs =
        [(seen.p25, played.p25), (seen.p50, played.p50), (seen.p75, played.p75), (seen.mean, played.mean)];
    pairs.iter().map(|(a, b)| (b / a.max(1e-6) - 1.0).abs()).fold(0.0, f64::max)
}

/// Corrects the shapes until what `play` shows for them is what was seen, or `rounds` are over. `play` gives the times
/// at members of each group under these shapes; none for a group of which too little was answered, which is taken for
/// too much work.
pub fn refine(
    seen: &[Quantiles],
    start: &[Shape],
    rounds: usize,
    mut play: impl FnMut(&[Shape]) -> Result<Vec<Option<Quantiles>>, String>,
) -> Result<Vec<Fitted>, String> {
    let mut shapes = start.to_vec();
    let mut best: Vec<Fitted> =
        shapes.iter().map(|s| Fitted { shape: *s, off: f64::INFINITY, rounds: 0, tail: 1.0 }).collect();
    for round in 1..=rounds {
        let played = play(&shapes)?;
        if played.len() != seen.len() {
            return Err(format!("expected times of {} groups, found {}", seen.len(), played.len()));
        }
        let Some(played) = played.into_iter().collect::<Option<Vec<Quantiles>>>() else {
            shapes.iter_mut().for_each(|s| s.middle *= 0.7);
            continue;
        };
        let offs: Vec<f64> = seen.iter().zip(&played).map(|(s, p)| off(s, p)).collect();
        let worst = |offs: &[f64]| offs.iter().copied().fold(0.0, f64::max);
        // Groups wait for each other, so the round is judged as a whole.
        if worst(&offs) < worst(&best.iter().map(|b| b.off).collect::<Vec<_>>()) {
            for (i, fitted) in best.iter_mut().enumerate() {
                let tail = (seen[i].p99 / seen[i].p50) / (played[i].p99 / played[i].p50).max(1e-6);
                *fitted = Fitted { shape: shapes[i], off: offs[i], rounds: round, tail };
            }
        }
        if worst(&offs) < 0.01 {
            break;
        }
        for ((shape, s), p) in shapes.iter_mut().zip(seen).zip(&played) {
            // A line makes times more equal than the work is, so a step goes most of the way only.
            let wider = ((s.p75 / s.p25).ln() - (p.p75 / p.p25).ln()) / 1.349;
            shape.middle *= (s.p50 / p.p50.max(1e-6)).clamp(0.3, 3.0).powf(0.8);
            shape.sigma = (shape.sigma + 0.8 * wider).clamp(0.02, 2.5);
        }
    }
    Ok(best)
}
