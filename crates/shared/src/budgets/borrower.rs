//! A borrower's side of one lender: what it holds, until when, and what it may answer for.

use std::collections::VecDeque;

use vetchkeel_membership::{Start, Tenths};

use super::{Ask, Grant, Rate, Terms};

/// Asks that may still be answered; an answer to an older one is refused.
const MOST_ASKS: usize = 6;

/// A borrower at one lender.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Borrower {
    start: Start,
    terms: u32,
    borrowed_for: Tenths,
    number: u64,
    asks: VecDeque<(u64, Tenths)>,
    held: Option<Held>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    lender: Start,
    version: u64,
    rate: Rate,
    until: Tenths,
}

impl Borrower {
    /// A borrower that begins its life `start` with nothing.
    pub fn new(terms: &Terms, start: Start) -> Borrower {
        let borrowed_for = terms.borrowed_for();
        Borrower { start, terms: terms.version, borrowed_for, number: 0, asks: VecDeque::new(), held: None }
    }

    /// The next ask, sent now.
    pub fn ask(&mut self, now: Tenths, want: Rate) -> Ask {
        self.number += 1;
        if self.asks.len() == MOST_ASKS {
            self.asks.pop_front();
        }
        self.asks.push_back((self.number, now));
        let (holding, holding_of) =
            self.held.as_ref().map_or((0, Start::default()), |held| (held.version, held.lender));
        Ask { terms: self.terms, number: self.number, want, holding, holding_of }
    }

    /// Takes an answer of the lender's life `lender`. True if it changed what is held.
    pub fn granted(&mut self, now: Tenths, lender: Start, grant: &Grant) -> bool {
        if grant.terms != self.terms || grant.asked_by != self.start {
            return false;
        }
        let Some(&(_, sent)) = self.asks.iter().find(|(number, _)| *number == grant.number) else {
            return false;
        };
        // Danger: the answer may have been on its way for long. Counted from when it came, the loan would outlive the
        // lender's own count of it.
        let until = sent + self.borrowed_for;
        // Danger: an older loan that comes late was already promised away by the last ask. Once the newer one has ended
        // the older has too; a lender whose clock stepped back over a restart is heard again then.
        let running = self.held.as_ref().filter(|held| now < held.until);
        let older = running.is_some_and(|held| (lender, grant.version) <= (held.lender, held.version));
        if older || until <= now {
            return false;
        }
        self.held = Some(Held { lender, version: grant.version, rate: grant.rate.max(0), until });
        true
    }

    /// What it may spend of this lender's home, now.
    pub fn rate(&self, now: Tenths) -> Rate {
        self.held.as_ref().filter(|held| now < held.until).map_or(0, |held| held.rate)
    }

    /// When what it holds ends, if that is still to come.
    pub fn until(&self, now: Tenths) -> Option<Tenths> {
        self.held.as_ref().map(|held| held.until).filter(|until| now < *until)
    }
}
