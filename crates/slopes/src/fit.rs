//! A straight line through what was measured: need = base + value x size.

use std::collections::BTreeMap;

/// What one run measured at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    pub run: u32,
    pub size: f64,
    pub need: f64,
}

/// The line by least squares through the means of all runs at each size.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    pub base: f64,
    pub value: f64,
    /// The least and the greatest value of a line through one run's points alone.
    pub low: f64,
    pub high: f64,
    /// The largest distance of a size's mean from the line, as a part of that mean; of the line where the mean is 0.
    pub residual: f64,
    pub sizes: Vec<f64>,
    pub runs: u32,
}

/// Base and value. None where all sizes are one: a single size has no slope.
fn line(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_need = points.iter().map(|p| p.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|p| (p.0 - mean_size).powi(2)).sum();
    let together: f64 = points.iter().map(|p| (p.0 - mean_size) * (p.1 - mean_need)).sum();
    (spread > 0.0).then(|| (mean_need - together / spread * mean_size, together / spread))
}

fn apart(need: f64, by_line: f64) -> f64 {
    match (need, by_line) {
        (0.0, 0.0) => 0.0,
        (0.0, line) => ((need - line) / line).abs(),
        (need, line) => ((need - line) / need).abs(),
    }
}

/// Each size's mean over the runs, by size.
pub fn means(points: &[Point]) -> Vec<(f64, f64)> {
    let mut sizes: Vec<f64> = points.iter().map(|p| p.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    let of_size = |size: f64| {
        let needs: Vec<f64> = points.iter().filter(|p| p.size == size).map(|p| p.need).collect();
        (size, needs.iter().sum::<f64>() / needs.len() as f64)
    };
    sizes.into_iter().map(of_size).collect()
}

/// Fits the line. An error says why there is none: no point, one size, a figure that is no number, or a run that has
/// not every size.
pub fn fit(points: &[Point]) -> Result<Fit, String> {
    if points.iter().any(|p| !p.size.is_finite() || !p.need.is_finite()) {
        return Err("expected numbers, found one that is none".into());
    }
    let means = means(points);
    let sizes: Vec<f64> = means.iter().map(|m| m.0).collect();
    let mut runs: BTreeMap<u32, Vec<(f64, f64)>> = BTreeMap::new();
    points.iter().for_each(|p| runs.entry(p.run).or_default().push((p.size, p.need)));
    let one = || format!("expected two sizes or more, found {}", sizes.len());
    let (base, value) = line(&means).ok_or_else(one)?;
    let (mut low, mut high) = (f64::INFINITY, f64::NEG_INFINITY);
    for (run, points) in &runs {
        let missing =
            || format!("expected every size in run {run}, found {} of {}", points.len(), sizes.len());
        let (_, value) = line(points).filter(|_| points.len() == sizes.len()).ok_or_else(missing)?;
        (low, high) = (low.min(value), high.max(value));
    }
    let residual = means.iter().map(|(size, need)| apart(*need, base + value * size)).fold(0.0, f64::max);
    Ok(Fit { base, value, low, high, residual, sizes, runs: runs.len() as u32 })
}
