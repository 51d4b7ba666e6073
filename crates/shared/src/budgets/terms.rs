//! How a budget is divided among routers: the same on every router, and validated before use.

use std::collections::BTreeMap;
use std::fmt;

use vetchkeel_membership::{MOST_INSTANCES, Name, Tenths};

use super::Rate;

/// Maximum number of routers in the terms of one budget: one for each instance that a fleet may have.
pub const MAX_ALLOTMENTS: usize = MOST_INSTANCES;
/// Maximum clock drift in parts per million.
pub const MAX_DRIFT_PPM: i64 = 100_000;
/// Maximum budget in thousandths of a token per second, so that products with times stay far below 63 bits.
pub const MAX_TOTAL: Rate = 1_000_000_000_000;

/// What the terms give to one router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Allotment {
    /// Always available to the router, without any message.
    pub floor: Rate,
    /// The rate that it lends; 0 for a router that only borrows.
    pub lendable: Rate,
}

/// The terms of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Version of the terms. Routers with different versions do not lend to each other.
    pub version: u32,
    total: Rate,
    allotments: BTreeMap<Name, Allotment>,
    loan_duration: Tenths,
    drift_ppm: i64,
    depth: Tenths,
}

/// Why terms are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TermsError {
    /// The floors and lendable rates add up to more than the budget.
    AboveBudget {
        /// Their sum.
        sum: i128,
        /// The budget.
        total: Rate,
    },
    /// The budget is not within 0 and [`MAX_TOTAL`], or a floor or lendable rate is negative or too high.
    Rate(Rate),
    /// More routers than [`MAX_ALLOTMENTS`].
    Allotments(usize),
    /// The loan duration is not between 100 ms and 1 h.
    LoanDuration(Tenths),
    /// The drift is not between 0 and [`MAX_DRIFT_PPM`] parts per million.
    Drift(i64),
    /// The depth of a bucket is not between 0 and the loan duration.
    Depth(Tenths),
}

impl fmt::Display for TermsError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TermsError::AboveBudget { sum, total } => {
                write!(out, "floors and lendable rates sum to {sum}, above the budget of {total}")
            }
            TermsError::Rate(rate) => write!(out, "rate {rate}, expected 0 to {MAX_TOTAL}"),
            TermsError::Allotments(allotments) => {
                write!(out, "{allotments} routers in the terms, expected at most {MAX_ALLOTMENTS}")
            }
            TermsError::LoanDuration(loan_duration) => write!(
                out,
                "loan duration of {loan_duration} tenths of a millisecond, expected 1000 to 36000000"
            ),
            TermsError::Drift(drift_ppm) => {
                write!(out, "clock drift of {drift_ppm} ppm, expected 0 to {MAX_DRIFT_PPM}")
            }
            TermsError::Depth(depth) => {
                write!(
                    out,
                    "bucket depth of {depth} tenths of a millisecond, expected 0 to the loan duration"
                )
            }
        }
    }
}

impl std::error::Error for TermsError {}

impl Terms {
    /// Divides `total` per second as given by `allotments`. A loan lasts `loan_duration`, clocks drift by at most
    /// `drift_ppm` parts per million, and a bucket holds the tokens of `depth` at its rate, but at least one token.
    ///
    /// # Errors
    /// [`TermsError`] names the invalid value.
    pub fn new(
        version: u32,
        total: Rate,
        allotments: BTreeMap<Name, Allotment>,
        loan_duration: Tenths,
        drift_ppm: i64,
        depth: Tenths,
    ) -> Result<Terms, TermsError> {
        let rates = allotments.values().flat_map(|allotment| [allotment.floor, allotment.lendable]);
        if let Some(invalid) = rates.clone().chain([total]).find(|rate| !(0..=MAX_TOTAL).contains(rate)) {
            return Err(TermsError::Rate(invalid));
        }
        let sum: i128 = rates.map(i128::from).sum();
        if sum > i128::from(total) {
            return Err(TermsError::AboveBudget { sum, total });
        }
        if allotments.len() > MAX_ALLOTMENTS {
            return Err(TermsError::Allotments(allotments.len()));
        }
        if !(1_000..=36_000_000).contains(&loan_duration) {
            return Err(TermsError::LoanDuration(loan_duration));
        }
        if !(0..=MAX_DRIFT_PPM).contains(&drift_ppm) {
            return Err(TermsError::Drift(drift_ppm));
        }
        if !(0..=loan_duration).contains(&depth) {
            return Err(TermsError::Depth(depth));
        }
        Ok(Terms { version, total, allotments, loan_duration, drift_ppm, depth })
    }

    /// Divides `total` evenly: `floor_percent` hundredths of it as floors over all `names`, the rest as lendable rates
    /// over the first `lenders` of them.
    ///
    /// # Errors
    /// [`TermsError`] names the invalid value.
    pub fn split_evenly(
        version: u32,
        total: Rate,
        names: &[Name],
        lenders: usize,
        floor_percent: i64,
        loan_duration: Tenths,
    ) -> Result<Terms, TermsError> {
        if !(0..=MAX_TOTAL).contains(&total) || !(0..=100).contains(&floor_percent) {
            return Err(TermsError::Rate(total));
        }
        let lenders = lenders.clamp(1, names.len().max(1));
        let floor = total * floor_percent / 100 / names.len().max(1) as i64;
        let lendable = (total - floor * names.len() as i64) / lenders as i64;
        let allotment = |at: usize| Allotment { floor, lendable: if at < lenders { lendable } else { 0 } };
        let allotments = names.iter().enumerate().map(|(at, name)| (name.clone(), allotment(at))).collect();
        Terms::new(version, total, allotments, loan_duration, 1_000, 1_000.min(loan_duration))
    }

    /// The whole budget.
    pub fn total(&self) -> Rate {
        self.total
    }

    /// All allotments by router name.
    pub fn allotments(&self) -> &BTreeMap<Name, Allotment> {
        &self.allotments
    }

    /// The allotment of `name`. A router without one has no rate of its own and may borrow.
    pub fn allotment(&self, name: &Name) -> Allotment {
        self.allotments.get(name).copied().unwrap_or_default()
    }

    /// The routers with a lendable rate.
    pub fn lenders(&self) -> impl Iterator<Item = &Name> {
        self.allotments.iter().filter(|(_, allotment)| allotment.lendable > 0).map(|(name, _)| name)
    }

    /// How long a borrower may use a loan, counted from its request.
    pub fn borrower_duration(&self) -> Tenths {
        self.loan_duration - self.drift_margin()
    }

    /// How long a lender counts a loan as outstanding, from when it sent the grant; also how long it waits after its
    /// start.
    pub fn lender_duration(&self) -> Tenths {
        self.loan_duration + self.drift_margin()
    }

    /// Time between two requests.
    pub fn request_interval(&self) -> Tenths {
        self.loan_duration / 3
    }

    /// The capacity of a bucket, as the time that fills it at its rate.
    pub fn depth(&self) -> Tenths {
        self.depth
    }

    /// The largest error of a clock over the duration of a loan, rounded up.
    fn drift_margin(&self) -> Tenths {
        (self.loan_duration * self.drift_ppm + 999_999) / 1_000_000
    }
}
