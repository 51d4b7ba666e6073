//! Weights of routers as whole numbers. Danger: sums of floats differ in the last bit by their order, and with them a
//! bound that is just met; who hears of routers one by one must come to the sums of who is told all at once.

use crate::told::Router;

/// The heaviest weighs from 2^47 on and less than 2^48, so that the sum of the most routers fits.
const BITS: i32 = 47;

/// The power of two at or below the heaviest: what whole weights are counted in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Unit(f64);

impl Unit {
    /// Of routers' weights, all finite and above 0.
    pub(crate) fn of(routers: &[Router]) -> Unit {
        let heaviest = routers.iter().map(|r| r.weight).fold(f64::MIN_POSITIVE, f64::max);
        // Without the bits behind the point.
        Unit(f64::from_bits(heaviest.to_bits() >> 52 << 52))
    }

    /// At least 1: nobody weighs nothing.
    pub(crate) fn whole(self, weight: f64) -> i64 {
        (weight / self.0 * 2f64.powi(BITS)).max(1.0) as i64
    }
}

/// A router and its whole weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Weighed {
    pub(crate) number: u64,
    pub(crate) weight: i64,
}

/// What a set's bounds follow from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Total {
    pub(crate) all: i64,
    pub(crate) heaviest: i64,
}

impl Total {
    pub(crate) fn of(routers: &[Weighed]) -> Total {
        let heaviest = routers.iter().map(|r| r.weight).max().unwrap_or(0);
        Total { all: routers.iter().map(|r| r.weight).sum(), heaviest }
    }
}

/// By number, each with its whole weight.
pub(crate) fn weighed(routers: &[Router]) -> Vec<Weighed> {
    let unit = Unit::of(routers);
    let weigh = |r: &Router| Weighed { number: r.number, weight: unit.whole(r.weight) };
    let mut all: Vec<Weighed> = routers.iter().map(weigh).collect();
    all.sort_by_key(|r| r.number);
    all
}
