//! The borrower's side of a loan: the rate held from one lender, its end, and the requests that may still be answered.

use std::collections::VecDeque;

use vetchkeel_membership::{Start, Tenths};

use super::{LoanGrant, LoanRequest, Rate, Terms};

/// Requests remembered until they are answered; a grant for an older request is rejected.
const MAX_REQUESTS: usize = 6;

/// A router as a borrower from one lender.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Borrower {
    start: Start,
    terms: u32,
    duration: Tenths,
    number: u64,
    requests: VecDeque<(u64, Tenths)>,
    loan: Option<HeldLoan>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldLoan {
    lender: Start,
    version: u64,
    rate: Rate,
    until: Tenths,
}

impl Borrower {
    /// A borrower in its incarnation `start`, without a loan.
    pub fn new(terms: &Terms, start: Start) -> Borrower {
        let duration = terms.borrower_duration();
        Borrower { start, terms: terms.version, duration, number: 0, requests: VecDeque::new(), loan: None }
    }

    /// Creates the next request, to be sent at `now`.
    pub fn request(&mut self, now: Tenths, want: Rate) -> LoanRequest {
        self.number += 1;
        if self.requests.len() == MAX_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back((self.number, now));
        let (holding, holding_lender) =
            self.loan.as_ref().map_or((0, Start::default()), |loan| (loan.version, loan.lender));
        LoanRequest { terms: self.terms, number: self.number, want, holding, holding_lender }
    }

    /// Applies a grant from the lender's incarnation `lender`. Returns whether the loan held has changed.
    pub fn handle_grant(&mut self, now: Tenths, lender: Start, grant: &LoanGrant) -> bool {
        if grant.terms != self.terms || grant.borrower_start != self.start {
            return false;
        }
        let Some(&(_, sent)) = self.requests.iter().find(|(number, _)| *number == grant.number) else {
            return false;
        };
        // Danger: the grant may have been in flight for long. Counted from its arrival, the loan would outlive the
        // lender's own count of it.
        let until = sent + self.duration;
        // Danger: the last request has already given up any older loan that arrives late. Once the newer loan has
        // expired the older one has too, so from then on grants of a lender whose clock stepped back over a restart are
        // accepted again.
        let running = self.loan.as_ref().filter(|loan| now < loan.until);
        let older = running.is_some_and(|loan| (lender, grant.version) <= (loan.lender, loan.version));
        if older || until <= now {
            return false;
        }
        self.loan = Some(HeldLoan { lender, version: grant.version, rate: grant.rate.max(0), until });
        true
    }

    /// The rate that the borrower may spend on loan from this lender at `now`.
    pub fn rate(&self, now: Tenths) -> Rate {
        self.loan.as_ref().filter(|loan| now < loan.until).map_or(0, |loan| loan.rate)
    }

    /// When the loan held expires, if it has not expired yet.
    pub fn until(&self, now: Tenths) -> Option<Tenths> {
        self.loan.as_ref().map(|loan| loan.until).filter(|until| now < *until)
    }
}
