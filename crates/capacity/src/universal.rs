//! The universal scalability law as a check of a straight line: the time of one unit of work is
//! a (1 + sigma (n - 1) + kappa n (n - 1)), sigma for what waits in line, kappa for what is compared with all others.

use crate::Slope;
use serde::Serialize;

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Universal {
    /// Of one unit of work at a size of 1.
    pub alone: f64,
    pub sigma: f64,
    pub kappa: f64,
    /// Largest distance of a size's mean from the curve, relative to the mean.
    pub residual: f64,
}

/// Solves three equations in three unknowns; None where they don't tell them apart.
fn solve(mut m: [[f64; 4]; 3]) -> Option<[f64; 3]> {
    for at in 0..3 {
        let pivot = (at..3).max_by(|a, b| m[*a][at].abs().total_cmp(&m[*b][at].abs()))?;
        m.swap(at, pivot);
        if m[at][at].abs() < 1e-12 {
            return None;
        }
        for row in 0..3 {
            if row != at {
                let factor = m[row][at] / m[at][at];
                let pivot_row = m[at];
                m[row].iter_mut().zip(pivot_row).for_each(|(x, p)| *x -= factor * p);
            }
        }
    }
    Some([m[0][3] / m[0][0], m[1][3] / m[1][1], m[2][3] / m[2][2]])
}

/// Fits the law to the means of a slope of one unit of work, each size counting by its relative distance. None: the table
/// tells no means, one of them is nothing, or they don't tell the three unknowns apart.
pub fn universal(slope: &Slope) -> Option<Universal> {
    if slope.means.len() < 4 || slope.means.iter().any(|m| *m <= 0.0) {
        return None;
    }
    // Sizes as parts of the largest, so that squares don't drown the rest.
    let scale = slope.largest;
    let points: Vec<(f64, f64)> =
        slope.sizes.iter().map(|n| n / scale).zip(slope.means.iter().copied()).collect();
    let mut normal = [[0.0; 4]; 3];
    for (n, mean) in &points {
        let row = [1.0 / mean, n / mean, n * n / mean];
        for (i, line) in normal.iter_mut().enumerate() {
            (0..3).for_each(|j| line[j] += row[i] * row[j]);
            line[3] += row[i];
        }
    }
    let [constant, linear, square] = solve(normal)?;
    let far = |(n, mean): &(f64, f64)| ((constant + linear * n + square * n * n) / mean - 1.0).abs();
    let residual = points.iter().map(far).fold(0.0, f64::max);
    // In sizes as they are: constant + b n + c n^2 = a (1 + sigma (n - 1) + kappa n (n - 1)).
    let (b, c) = (linear / scale, square / scale / scale);
    let alone = constant + b + c;
    (alone > 0.0).then(|| Universal { alone, sigma: (b + c) / alone, kappa: c / alone, residual })
}
