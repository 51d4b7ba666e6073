//! How a budget is cut: the same on every router, checked before use.

use std::collections::BTreeMap;
use std::fmt;

use vetchkeel_membership::{MOST_INSTANCES, Name, Tenths};

use super::Rate;

/// Most seats of one budget: one for each instance that a fleet may have.
pub const MOST_SEATS: usize = MOST_INSTANCES;
/// Most millionths by which a clock may run fast or slow.
pub const MOST_DRIFT: i64 = 100_000;
/// Highest budget, thousandths of a token a second: products with times stay far within 63 bits.
pub const HIGHEST: Rate = 1_000_000_000_000;

/// What one router has by the terms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Seat {
    /// Always its own, heard or not.
    pub floor: Rate,
    /// What it lends; 0 for a router that only borrows.
    pub home: Rate,
}

/// The terms of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Routers with other terms neither lend to nor borrow from each other.
    pub version: u32,
    total: Rate,
    seats: BTreeMap<Name, Seat>,
    length: Tenths,
    drift: i64,
    depth: Tenths,
}

/// Why terms can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadTerms {
    /// Floors and homes come to more than the budget.
    Over {
        /// What they come to.
        sum: i128,
        /// The budget.
        total: Rate,
    },
    /// The budget is not within 0 and [`HIGHEST`], or a floor or home is negative.
    Rate(Rate),
    /// More than [`MOST_SEATS`].
    Seats(usize),
    /// A loan lasts between 100 ms and 1 h.
    Length(Tenths),
    /// Drift between 0 and [`MOST_DRIFT`] millionths.
    Drift(i64),
    /// The depth of a bucket is between 0 and the length of a loan.
    Depth(Tenths),
}

impl fmt::Display for BadTerms {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BadTerms::Over { sum, total } => {
                write!(out, "floors and homes come to {sum}, the budget is {total}")
            }
            BadTerms::Rate(rate) => write!(out, "a rate of {rate}, expected 0 to {HIGHEST}"),
            BadTerms::Seats(seats) => write!(out, "{seats} seats, expected at most {MOST_SEATS}"),
            BadTerms::Length(length) => write!(out, "a loan of {length} tenths, expected 1000 to 36000000"),
            BadTerms::Drift(drift) => {
                write!(out, "a drift of {drift} millionths, expected 0 to {MOST_DRIFT}")
            }
            BadTerms::Depth(depth) => {
                write!(out, "a depth of {depth} tenths, expected 0 to the length of a loan")
            }
        }
    }
}

impl std::error::Error for BadTerms {}

impl Terms {
    /// `total` a second over `seats`; a loan lasts `length`; clocks run at most `drift` millionths fast or slow; a bucket
    /// holds what `depth` of its share brings, and at least one token.
    ///
    /// # Errors
    /// [`BadTerms`], by name.
    pub fn new(
        version: u32,
        total: Rate,
        seats: BTreeMap<Name, Seat>,
        length: Tenths,
        drift: i64,
        depth: Tenths,
    ) -> Result<Terms, BadTerms> {
        let parts = seats.values().flat_map(|seat| [seat.floor, seat.home]);
        if let Some(bad) = parts.clone().chain([total]).find(|rate| !(0..=HIGHEST).contains(rate)) {
            return Err(BadTerms::Rate(bad));
        }
        let sum: i128 = parts.map(i128::from).sum();
        if sum > i128::from(total) {
            return Err(BadTerms::Over { sum, total });
        }
        if seats.len() > MOST_SEATS {
            return Err(BadTerms::Seats(seats.len()));
        }
        if !(1_000..=36_000_000).contains(&length) {
            return Err(BadTerms::Length(length));
        }
        if !(0..=MOST_DRIFT).contains(&drift) {
            return Err(BadTerms::Drift(drift));
        }
        if !(0..=length).contains(&depth) {
            return Err(BadTerms::Depth(depth));
        }
        Ok(Terms { version, total, seats, length, drift, depth })
    }

    /// Cuts `total` evenly: `floors` hundredths of it as floors over all `names`, the rest as homes over the first
    /// `lenders` of them.
    ///
    /// # Errors
    /// [`BadTerms`], by name.
    pub fn even(
        version: u32,
        total: Rate,
        names: &[Name],
        lenders: usize,
        floors: i64,
        length: Tenths,
    ) -> Result<Terms, BadTerms> {
        if !(0..=HIGHEST).contains(&total) || !(0..=100).contains(&floors) {
            return Err(BadTerms::Rate(total));
        }
        let lenders = lenders.clamp(1, names.len().max(1));
        let floor = total * floors / 100 / names.len().max(1) as i64;
        let home = (total - floor * names.len() as i64) / lenders as i64;
        let seat = |at: usize| Seat { floor, home: if at < lenders { home } else { 0 } };
        let seats = names.iter().enumerate().map(|(at, name)| (name.clone(), seat(at))).collect();
        Terms::new(version, total, seats, length, 1_000, 1_000.min(length))
    }

    /// The whole budget.
    pub fn total(&self) -> Rate {
        self.total
    }

    /// Every seat by name.
    pub fn seats(&self) -> &BTreeMap<Name, Seat> {
        &self.seats
    }

    /// What `name` has; a router without a seat has nothing and may borrow.
    pub fn seat(&self, name: &Name) -> Seat {
        self.seats.get(name).copied().unwrap_or_default()
    }

    /// Those with something to lend.
    pub fn lenders(&self) -> impl Iterator<Item = &Name> {
        self.seats.iter().filter(|(_, seat)| seat.home > 0).map(|(name, _)| name)
    }

    /// How long a borrower may count on a loan, from when it asked.
    pub fn borrowed_for(&self) -> Tenths {
        self.length - self.margin()
    }

    /// How long a lender counts a loan as lent, from when it sent it; also how long it waits after its start.
    pub fn lent_for(&self) -> Tenths {
        self.length + self.margin()
    }

    /// Time between two asks.
    pub fn pace(&self) -> Tenths {
        self.length / 3
    }

    /// What a bucket holds, as time of its share.
    pub fn depth(&self) -> Tenths {
        self.depth
    }

    /// By how much a clock may be off over a loan, rounded up.
    fn margin(&self) -> Tenths {
        (self.length * self.drift + 999_999) / 1_000_000
    }
}
