//! What becomes of a need: a figure beside its allowance, a slope that is missing, or what can't be done at all.

use crate::need::{Bound, Work};
use crate::slopes::{Kind, Slope};
use crate::{Built, Scaled, Size, Slopes};
use serde::Serialize;

/// A slope as it was used.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Used {
    pub slope: String,
    /// The size it was asked at, and the largest that was played.
    pub size: f64,
    pub largest: f64,
    /// One over the other: above 1 it is extrapolated.
    pub beyond: f64,
    pub residual: f64,
    pub kind: Kind,
}

impl Used {
    pub(crate) fn new(name: &str, slope: &Slope, size: f64) -> Used {
        let Slope { largest, residual, kind, .. } = *slope;
        Used { slope: name.to_owned(), size, largest, beyond: size / largest, residual, kind }
    }
}

/// A need beside its allowance.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    pub need: f64,
    /// By the least and the most of the slopes over their runs.
    pub low: f64,
    pub high: f64,
    pub allowance: f64,
    /// Need over allowance.
    pub ratio: f64,
    /// The part of the size at which it gives way, 1 or more: it holds. None: it does not grow with the size.
    pub share: Option<f64>,
    pub used: Vec<Used>,
}

impl Figure {
    /// How far the farthest slope is extrapolated; 1 or less: not at all.
    pub fn beyond(&self) -> f64 {
        self.used.iter().map(|u| u.beyond).fold(0.0, f64::max)
    }

    pub fn simulated(&self) -> bool {
        self.used.iter().any(|u| u.kind == Kind::Simulated)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Figure(Figure),
    /// Names of the slopes that are missing.
    NotMeasured(Vec<String>),
    /// The program can't do it, at any size: why.
    Impossible(String),
}

impl Outcome {
    /// See [`Figure::share`]. None where it is not known or does not end.
    pub fn share(&self) -> Option<f64> {
        match self {
            Outcome::Figure(f) => f.share,
            Outcome::Impossible(_) => Some(0.0),
            Outcome::NotMeasured(_) => None,
        }
    }

    /// Smallest share first, then what never gives way, then what is not measured.
    pub(crate) fn order(&self) -> (u8, f64) {
        match self {
            Outcome::NotMeasured(_) => (2, 0.0),
            _ => self.share().map_or((1, 0.0), |s| (0, s)),
        }
    }
}

/// Beyond this share nothing is looked for.
const FURTHEST: f64 = 1e6;

/// The share at which something that grows with it reaches its allowance. None: beyond [`FURTHEST`].
fn gives_way(allowance: f64, need: impl Fn(f64) -> f64) -> Option<f64> {
    if need(FURTHEST) <= allowance {
        return None;
    }
    // Halved on a scale of logarithms: shares of a thousandth are as exact as those of a thousand.
    let (mut holds, mut fails) = (1e-12f64, FURTHEST);
    if need(holds) > allowance {
        return Some(0.0);
    }
    while fails / holds > 1.0 + 1e-12 {
        let middle = (holds * fails).sqrt();
        if middle <= holds || middle >= fails {
            break;
        }
        if need(middle) <= allowance { holds = middle } else { fails = middle }
    }
    Some(holds)
}

/// Works a need out at the size, and how far it holds.
pub(crate) fn answer(
    size: &Size,
    built: Built,
    slopes: &Slopes,
    allowance: f64,
    need: &dyn Fn(&mut Work<'_>) -> f64,
) -> Outcome {
    let mut work = Work::new(Scaled::new(size, 1.0), built, slopes, Bound::Mean);
    let found = need(&mut work);
    if !work.missing.is_empty() {
        return Outcome::NotMeasured(work.missing.into_iter().collect());
    }
    let at = |share: f64, bound| need(&mut Work::quiet(Scaled::new(size, share), built, slopes, bound));
    Outcome::Figure(Figure {
        need: found,
        low: at(1.0, Bound::Low),
        high: at(1.0, Bound::High),
        allowance,
        ratio: found / allowance,
        share: gives_way(allowance, |share| at(share, Bound::Mean)),
        used: work.used.into_values().collect(),
    })
}
