//! Weights of routers as integers. Danger: sums of floats depend on the order of addition in the last bit, which can
//! decide whether a bound is just met. A router that learns of the others one at a time must reach the same sums as one
//! that receives the whole list at once.

use crate::told::Router;

/// The heaviest router weighs at least 2^47 and less than 2^48, so that the sum over the maximum number of routers
/// fits.
const BITS: i32 = 47;

/// The largest power of two that is not above the heaviest weight. Integer weights count in units of 2^-47 of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WeightUnit(f64);

impl WeightUnit {
    /// The unit for these routers, whose weights are finite and above 0.
    pub(crate) fn of(routers: &[Router]) -> WeightUnit {
        let heaviest = routers.iter().map(|r| r.weight).fold(f64::MIN_POSITIVE, f64::max);
        // Clears the mantissa.
        WeightUnit(f64::from_bits(heaviest.to_bits() >> 52 << 52))
    }

    /// Converts a weight; the result is at least 1, so that no router has weight 0.
    pub(crate) fn to_integer(self, weight: f64) -> i64 {
        (weight / self.0 * 2f64.powi(BITS)).max(1.0) as i64
    }
}

/// A router with its integer weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WeightedRouter {
    pub(crate) number: u64,
    pub(crate) weight: i64,
}

/// Total and largest router weight, from which the bounds of a set follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Total {
    pub(crate) all: i64,
    pub(crate) heaviest: i64,
}

impl Total {
    pub(crate) fn of(routers: &[WeightedRouter]) -> Total {
        let heaviest = routers.iter().map(|r| r.weight).max().unwrap_or(0);
        Total { all: routers.iter().map(|r| r.weight).sum(), heaviest }
    }
}

/// The routers with their integer weights, sorted by number.
pub(crate) fn weighted_routers(routers: &[Router]) -> Vec<WeightedRouter> {
    let unit = WeightUnit::of(routers);
    let weigh = |r: &Router| WeightedRouter { number: r.number, weight: unit.to_integer(r.weight) };
    let mut all: Vec<WeightedRouter> = routers.iter().map(weigh).collect();
    all.sort_by_key(|r| r.number);
    all
}
