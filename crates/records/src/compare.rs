//! Two experiments side by side. Runs of the same seed are compared in pairs; where the seeds differ, as two samples of
//! unequal variance (Welch). A difference is only told where its interval keeps clear of none.

use crate::measure::{MEASURES, Spread, by_point, point_text, spread, student, variance};
use std::collections::BTreeMap;
use std::fmt;
use vetchkeel_lab::result::RunResult;

/// What a comparison of one figure comes to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Difference {
    /// The interval of B less A, clear of 0.
    Shown { mean: f64, half: f64 },
    /// The interval holds 0: no difference shown.
    NotShown { mean: f64, half: f64 },
    /// One run or none on a side.
    TooFew,
}

#[derive(Clone, Debug)]
pub struct Compared {
    pub point: String,
    pub measure: &'static str,
    pub unit: &'static str,
    pub a: Spread,
    pub b: Spread,
    pub paired: bool,
    pub difference: Difference,
}

fn judge(mean: f64, half: f64) -> Difference {
    if mean.abs() > half { Difference::Shown { mean, half } } else { Difference::NotShown { mean, half } }
}

/// The difference of B less A from values by seed.
pub(crate) fn difference(a: &BTreeMap<u64, f64>, b: &BTreeMap<u64, f64>) -> (bool, Difference) {
    let pairs: Vec<f64> = a.iter().filter_map(|(seed, a)| Some(b.get(seed)? - a)).collect();
    if pairs.len() >= 2 && pairs.len() == a.len() && pairs.len() == b.len() {
        let s = spread(&pairs);
        return (true, judge(s.mean, s.half.unwrap_or(f64::INFINITY)));
    }
    if a.len() < 2 || b.len() < 2 {
        return (false, Difference::TooFew);
    }
    let side = |values: &BTreeMap<u64, f64>| {
        let values: Vec<f64> = values.values().copied().collect();
        let (count, mean) = (values.len() as f64, values.iter().sum::<f64>() / values.len() as f64);
        (mean, variance(&values, mean) / count, count)
    };
    let ((mean_a, var_a, n_a), (mean_b, var_b, n_b)) = (side(a), side(b));
    let sum = var_a + var_b;
    if sum <= 0.0 {
        return (false, judge(mean_b - mean_a, 0.0));
    }
    let freedom = sum * sum / (var_a * var_a / (n_a - 1.0) + var_b * var_b / (n_b - 1.0));
    (false, judge(mean_b - mean_a, student(freedom) * sum.sqrt()))
}

/// Compares each point that both have, or all against all where neither swept.
pub fn compare(a: &[RunResult], b: &[RunResult]) -> Vec<Compared> {
    let points_b = by_point(b);
    let mut compared = Vec::new();
    for (point, runs_a) in by_point(a) {
        let Some((_, runs_b)) = points_b.iter().find(|(p, _)| *p == point) else { continue };
        for measure in &MEASURES {
            let values = |runs: &[&RunResult]| -> BTreeMap<u64, f64> {
                runs.iter().map(|r| (r.seed, (measure.of)(r))).collect()
            };
            let (values_a, values_b) = (values(&runs_a), values(runs_b));
            let (paired, difference) = difference(&values_a, &values_b);
            let of = |values: &BTreeMap<u64, f64>| spread(&values.values().copied().collect::<Vec<f64>>());
            compared.push(Compared {
                point: point_text(&point),
                measure: measure.name,
                unit: measure.unit,
                a: of(&values_a),
                b: of(&values_b),
                paired,
                difference,
            });
        }
    }
    compared
}

impl fmt::Display for Compared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let half = |s: &Spread| s.half.map_or(String::new(), |h| format!(" +- {h:.4}"));
        let (a, b) = (&self.a, &self.b);
        write!(
            f,
            "{:<20} A {:.4}{}  B {:.4}{} {}: ",
            self.measure,
            a.mean,
            half(a),
            b.mean,
            half(b),
            self.unit
        )?;
        let how = if self.paired { "paired" } else { "unpaired" };
        match self.difference {
            Difference::Shown { mean, half } => write!(f, "B - A = {mean:+.4} +- {half:.4} ({how})"),
            Difference::NotShown { mean, half } => {
                write!(f, "no difference shown ({mean:+.4} +- {half:.4}, {how})")
            }
            Difference::TooFew => write!(f, "too few runs for an interval"),
        }
    }
}
