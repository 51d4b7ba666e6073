//! A lender: lends its lendable rate for a limited time, and never more than that rate at once.

use std::collections::BTreeMap;

use vetchkeel_membership::{MOST_INSTANCES, Name, Start, Tenths};

use super::{LoanGrant, LoanRequest, Rate, Terms};

/// Maximum number of borrowers of one lender. Further ones get nothing until one has sent no request for the duration
/// of a loan.
pub const MAX_BORROWERS: usize = MOST_INSTANCES;
/// Maximum number of unexpired loans to one borrower. At the limit it gets no new loan until one expires.
const MAX_LOANS: usize = 6;

/// A lender and its outstanding loans.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lender {
    start: Start,
    terms: u32,
    lendable: Rate,
    duration: Tenths,
    /// Until then loans of an earlier incarnation may still be outstanding.
    lends_from: Tenths,
    own_use: Rate,
    own_demand: Rate,
    version: u64,
    borrowers: BTreeMap<Name, BorrowerState>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BorrowerState {
    start: Start,
    number: u64,
    want: Rate,
    last_request: Tenths,
    loans: Vec<Loan>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Loan {
    start: Start,
    version: u64,
    rate: Rate,
    until: Tenths,
}

impl BorrowerState {
    /// The most that this borrower may be acting under: one loan at a time within an incarnation, summed over the
    /// incarnations that `included` accepts.
    ///
    /// Danger: a new incarnation does not prove that the old process has ended (it may be suspended and resume), so the
    /// old incarnation's loans count until they expire.
    fn outstanding(&self, included: impl Fn(Start) -> bool) -> Rate {
        let mut largest = BTreeMap::<Start, Rate>::new();
        for loan in self.loans.iter().filter(|loan| included(loan.start)) {
            let rate = largest.entry(loan.start).or_default();
            *rate = loan.rate.max(*rate);
        }
        largest.values().sum()
    }
}

impl Lender {
    /// A lender whose incarnation `start` begins at `now`.
    pub fn new(terms: &Terms, me: &Name, start: Start, now: Tenths) -> Lender {
        Lender {
            start,
            terms: terms.version,
            lendable: terms.allotment(me).lendable,
            duration: terms.lender_duration(),
            // Danger: loans of an earlier incarnation are not remembered. Lending before they expire would lend the
            // same rate twice.
            lends_from: now + terms.lender_duration(),
            own_use: 0,
            own_demand: 0,
            version: 0,
            borrowers: BTreeMap::new(),
        }
    }

    /// Handles a loan request. Returns `None` if it is not to be answered.
    pub fn handle_request(
        &mut self,
        now: Tenths,
        from: &Name,
        start: Start,
        request: &LoanRequest,
    ) -> Option<LoanGrant> {
        self.expire(now);
        if now < self.lends_from || request.terms != self.terms || self.lendable == 0 {
            return None;
        }
        if !self.borrowers.contains_key(from) && self.borrowers.len() >= MAX_BORROWERS {
            return None;
        }
        let fresh = BorrowerState { start, number: 0, want: 0, last_request: now, loans: Vec::new() };
        let state = self.borrowers.entry(from.clone()).or_insert(fresh);
        if start > state.start {
            state.start = start;
            state.number = 0;
        }
        // A late or duplicate request carries outdated demand; only the newest one counts.
        if start < state.start || request.number <= state.number {
            return None;
        }
        state.number = request.number;
        state.want = request.want.max(0);
        state.last_request = now;
        if request.holding_lender == self.start {
            state.loans.retain(|loan| loan.start != start || loan.version >= request.holding);
        }
        if state.loans.len() >= MAX_LOANS {
            return None;
        }
        let free = self.available_to(from, start) - self.own_use;
        let rate = self.fair_share(Some(from)).min(free).max(0);
        self.version += 1;
        let loan = Loan { start, version: self.version, rate, until: now + self.duration };
        self.borrowers.get_mut(from)?.loans.push(loan);
        Some(LoanGrant {
            terms: self.terms,
            number: request.number,
            borrower_start: start,
            version: self.version,
            rate,
        })
    }

    /// Reserves what the lender itself may use of its lendable rate when it wants `want`. The returned rate is valid
    /// until the next call.
    pub fn reserve(&mut self, now: Tenths, want: Rate) -> Rate {
        self.expire(now);
        self.own_demand = want.max(0);
        let outstanding: Rate = self.borrowers.values().map(|state| state.outstanding(|_| true)).sum();
        let free = if now < self.lends_from { 0 } else { self.lendable - outstanding };
        self.own_use = self.fair_share(None).min(free).max(0);
        self.own_use
    }

    /// When the lender starts to lend.
    pub fn lends_from(&self) -> Tenths {
        self.lends_from
    }

    /// The most that may be on loan now.
    pub fn lent(&self) -> Rate {
        self.borrowers.values().map(|state| state.outstanding(|_| true)).sum()
    }

    /// The number of borrowers with an entry.
    pub fn borrower_count(&self) -> usize {
        self.borrowers.len()
    }

    /// What would be left of the lendable rate if the incarnation `start` of `name` had no loans.
    fn available_to(&self, name: &Name, start: Start) -> Rate {
        let outstanding = |(who, state): (&Name, &BorrowerState)| {
            state.outstanding(|incarnation| who != name || incarnation != start)
        };
        self.lendable - self.borrowers.iter().map(outstanding).sum::<Rate>()
    }

    /// The max-min fair share of `who` (`None` is the lender itself): no one gets more than it wants, and what those
    /// with low demand leave is divided evenly among the others.
    fn fair_share(&self, who: Option<&Name>) -> Rate {
        let borrowers = self.borrowers.iter().map(|(name, state)| (Some(name), state.want));
        let mut wants: Vec<_> =
            borrowers.chain([(None, self.own_demand)]).filter(|(_, want)| *want > 0).collect();
        wants.sort_by_key(|(_, want)| *want);
        let mut remaining = self.lendable;
        let mut claims = wants.len() as i64;
        for (name, want) in wants {
            let share = want.min(remaining / claims);
            if name == who {
                return share;
            }
            remaining -= share;
            claims -= 1;
        }
        0
    }

    fn expire(&mut self, now: Tenths) {
        let idle_for = self.duration;
        self.borrowers.retain(|_, state| {
            state.loans.retain(|loan| now < loan.until);
            !state.loans.is_empty() || now < state.last_request + idle_for
        });
    }
}
