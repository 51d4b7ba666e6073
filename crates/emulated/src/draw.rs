//! Chance: one generator a purpose, all from the run's seed, and the distributions that work and delays are drawn from.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Pareto};
use rand_pcg::Pcg64Mcg;

/// A generator of chance.
pub type Dice = Pcg64Mcg;

/// The generator of one purpose. Purposes don't disturb each other: one that draws more leaves the others as they were.
pub fn dice(seed: u64, purpose: &str) -> Dice {
    // FNV-1a, so that the numbers stay the same on every machine and with every compiler.
    let mix = |hash: u64, byte: u8| (hash ^ byte as u64).wrapping_mul(0x0100_0000_01b3);
    let purpose = purpose.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    Dice::seed_from_u64(seed.rotate_left(17) ^ purpose)
}

/// No draw of a heavy tail is more than so many times its mean.
const TAIL_MOST: f64 = 1_000.0;

/// A distribution of positive values with a known mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Draw {
    Fixed(f64),
    /// Evenly from the first to the second.
    Between(f64, f64),
    Exponential(f64),
    /// Mean, and standard deviation over mean.
    LogNormal(f64, f64),
    /// A Pareto distribution: mean, and the exponent of its tail (above 1; the smaller, the heavier). Cut at a thousand
    /// times the mean.
    Heavy(f64, f64),
}

impl Draw {
    /// The mean. That of a heavy tail is the one before its cut.
    pub fn mean(&self) -> f64 {
        match *self {
            Draw::Fixed(mean) | Draw::Exponential(mean) | Draw::LogNormal(mean, _) | Draw::Heavy(mean, _) => {
                mean
            }
            Draw::Between(low, high) => (low + high) / 2.0,
        }
    }

    /// Variance over the squared mean; that of a heavy tail as cut.
    pub fn scatter(&self) -> f64 {
        match *self {
            Draw::Fixed(_) => 0.0,
            Draw::Between(low, high) => (high - low).powi(2) / 12.0 / ((low + high) / 2.0).powi(2),
            Draw::Exponential(_) => 1.0,
            Draw::LogNormal(_, cv) => cv * cv,
            Draw::Heavy(_, alpha) if alpha > 2.0 => 1.0 / (alpha * (alpha - 2.0)),
            Draw::Heavy(_, alpha) => {
                // E[x^2] of a Pareto cut at m times its mean, in squared means.
                let scale = (alpha - 1.0) / alpha;
                let top = TAIL_MOST / scale;
                let square = if (alpha - 2.0).abs() < 1e-9 {
                    alpha * top.ln()
                } else {
                    alpha / (2.0 - alpha) * (top.powf(2.0 - alpha) - 1.0)
                };
                scale * scale * (square + top.powf(2.0 - alpha)) - 1.0
            }
        }
    }

    pub fn sample(&self, dice: &mut Dice) -> f64 {
        match *self {
            Draw::Fixed(value) => value,
            Draw::Between(low, high) => low + (high - low) * dice.random::<f64>(),
            Draw::Exponential(mean) => Exp::new(1.0 / mean).map_or(mean, |d| d.sample(dice)),
            Draw::LogNormal(mean, cv) => LogNormal::from_mean_cv(mean, cv).map_or(mean, |d| d.sample(dice)),
            Draw::Heavy(mean, alpha) => {
                let scale = mean * (alpha - 1.0) / alpha;
                Pareto::new(scale, alpha).map_or(mean, |d| d.sample(dice)).min(TAIL_MOST * mean)
            }
        }
    }
}

/// True in this part of all cases.
pub(crate) fn happens(dice: &mut Dice, part: f64) -> bool {
    part > 0.0 && dice.random::<f64>() < part
}

/// One of `count`, evenly.
pub(crate) fn one_of(dice: &mut Dice, count: usize) -> usize {
    ((dice.random::<f64>() * count as f64) as usize).min(count.saturating_sub(1))
}

/// One of those whose weights add up to the last of `sums`.
pub(crate) fn weighted(dice: &mut Dice, sums: &[f64]) -> usize {
    let total = sums.last().copied().unwrap_or(0.0);
    let at = dice.random::<f64>() * total;
    sums.partition_point(|s| *s <= at).min(sums.len().saturating_sub(1))
}
