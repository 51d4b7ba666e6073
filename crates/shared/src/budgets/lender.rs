//! A lender: lends its home for a time, and never more than its home at once.

use std::collections::BTreeMap;

use vetchkeel_membership::{MOST_INSTANCES, Name, Start, Tenths};

use super::{Ask, Grant, Rate, Terms};

/// Most borrowers that one lender keeps; further ones get nothing until one has been silent for a loan.
pub const MOST_BORROWERS: usize = MOST_INSTANCES;
/// Most loans to one borrower that may be running at once; at the bound it gets nothing new until one ends.
const MOST_LOANS: usize = 6;

/// A lender's book.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lender {
    start: Start,
    terms: u32,
    home: Rate,
    lent_for: Tenths,
    /// Until then it may still be lent by an earlier life.
    quiet_until: Tenths,
    own: Rate,
    own_want: Rate,
    version: u64,
    borrowers: BTreeMap<Name, Account>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Account {
    start: Start,
    number: u64,
    want: Rate,
    heard: Tenths,
    loans: Vec<Loan>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Loan {
    start: Start,
    version: u64,
    rate: Rate,
    until: Tenths,
}

impl Account {
    /// The most that this borrower may be acting under: within a life one loan at a time, the lives together.
    ///
    /// Danger: a new life does not prove that the old process is gone (it may be stopped and wake up), so its loans
    /// count until they end.
    fn owed(&self, lives: impl Fn(Start) -> bool) -> Rate {
        let mut most = BTreeMap::<Start, Rate>::new();
        for loan in self.loans.iter().filter(|loan| lives(loan.start)) {
            let rate = most.entry(loan.start).or_default();
            *rate = loan.rate.max(*rate);
        }
        most.values().sum()
    }
}

impl Lender {
    /// A lender that begins its life now.
    pub fn new(terms: &Terms, me: &Name, start: Start, now: Tenths) -> Lender {
        Lender {
            start,
            terms: terms.version,
            home: terms.seat(me).home,
            lent_for: terms.lent_for(),
            // Danger: loans of an earlier life are not remembered. Lending before they ended would lend twice.
            quiet_until: now + terms.lent_for(),
            own: 0,
            own_want: 0,
            version: 0,
            borrowers: BTreeMap::new(),
        }
    }

    /// Answers an ask, if it is to be answered.
    pub fn asked(&mut self, now: Tenths, from: &Name, start: Start, ask: &Ask) -> Option<Grant> {
        self.forget(now);
        if now < self.quiet_until || ask.terms != self.terms || self.home == 0 {
            return None;
        }
        if !self.borrowers.contains_key(from) && self.borrowers.len() >= MOST_BORROWERS {
            return None;
        }
        let fresh = Account { start, number: 0, want: 0, heard: now, loans: Vec::new() };
        let account = self.borrowers.entry(from.clone()).or_insert(fresh);
        if start > account.start {
            account.start = start;
            account.number = 0;
        }
        // One that came late or twice says what was wanted then; only the newest speaks.
        if start < account.start || ask.number <= account.number {
            return None;
        }
        account.number = ask.number;
        account.want = ask.want.max(0);
        account.heard = now;
        if ask.holding_of == self.start {
            account.loans.retain(|loan| loan.start != start || loan.version >= ask.holding);
        }
        if account.loans.len() >= MOST_LOANS {
            return None;
        }
        let free = self.free_beside(from, start) - self.own;
        let rate = self.fair(Some(from)).min(free).max(0);
        self.version += 1;
        let loan = Loan { start, version: self.version, rate, until: now + self.lent_for };
        self.borrowers.get_mut(from)?.loans.push(loan);
        Some(Grant { terms: self.terms, number: ask.number, asked_by: start, version: self.version, rate })
    }

    /// What the lender itself may use of its home when it wants `want`; holds until it is called again.
    pub fn own(&mut self, now: Tenths, want: Rate) -> Rate {
        self.forget(now);
        self.own_want = want.max(0);
        let owed: Rate = self.borrowers.values().map(|account| account.owed(|_| true)).sum();
        let free = if now < self.quiet_until { 0 } else { self.home - owed };
        self.own = self.fair(None).min(free).max(0);
        self.own
    }

    /// When it may lend for the first time.
    pub fn quiet_until(&self) -> Tenths {
        self.quiet_until
    }

    /// What is lent out at most, now.
    pub fn lent(&self) -> Rate {
        self.borrowers.values().map(|account| account.owed(|_| true)).sum()
    }

    /// How many borrowers are in the book.
    pub fn borrowers(&self) -> usize {
        self.borrowers.len()
    }

    /// What is left of the home if `name` in its life `start` owed nothing.
    fn free_beside(&self, name: &Name, start: Start) -> Rate {
        let owed = |(who, account): (&Name, &Account)| account.owed(|life| who != name || life != start);
        self.home - self.borrowers.iter().map(owed).sum::<Rate>()
    }

    /// The max-min fair part of `who` (the lender itself if none): nobody gets more than it wants, and what the modest
    /// leave goes to the others evenly.
    fn fair(&self, who: Option<&Name>) -> Rate {
        let asking = self.borrowers.iter().map(|(name, account)| (Some(name), account.want));
        let mut wants: Vec<_> = asking.chain([(None, self.own_want)]).filter(|(_, want)| *want > 0).collect();
        wants.sort_by_key(|(_, want)| *want);
        let mut left = self.home;
        let mut others = wants.len() as i64;
        for (name, want) in wants {
            let part = want.min(left / others);
            if name == who {
                return part;
            }
            left -= part;
            others -= 1;
        }
        0
    }

    fn forget(&mut self, now: Tenths) {
        let silent = self.lent_for;
        self.borrowers.retain(|_, account| {
            account.loans.retain(|loan| now < loan.until);
            !account.loans.is_empty() || now < account.heard + silent
        });
    }
}
