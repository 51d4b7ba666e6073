//! One router's part in a budget: it lends, borrows, and says whether a token may be spent.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};
use vetchkeel_membership::{Name, Start, Tenths};

use super::{Borrower, Bucket, Demand, Grant, Lender, Rate, Terms};
use crate::wire::{Body, Decision, Message};

/// What one router may spend and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Always its own.
    pub floor: Rate,
    /// Of its own home.
    pub own: Rate,
    /// On loan.
    pub borrowed: Rate,
    /// What it could use.
    pub wanted: Rate,
    /// Of its home, lent to others at most.
    pub lent: Rate,
}

/// One router's part in a budget.
///
/// The host tells time of a clock that does not stop while the machine sleeps and never runs backwards, reads it anew
/// before each [`Budget::take`], and lets one process a name run at a time (an exclusive lock in its state directory).
pub struct Budget {
    me: Name,
    start: Start,
    terms: Terms,
    floor: Rate,
    own: Rate,
    lender: Lender,
    debts: BTreeMap<Name, Debt>,
    grants: BTreeMap<Name, Grant>,
    dead: BTreeSet<Name>,
    demand: Demand,
    bucket: Bucket,
    chance: WyRand,
}

struct Debt {
    borrower: Borrower,
    ask_at: Tenths,
}

impl Budget {
    /// The part of `me`, in its life `start`, that begins now.
    pub fn new(terms: Terms, me: Name, start: Start, now: Tenths, seed: u64) -> Budget {
        let mut chance = WyRand::new_seed(seed);
        let mut debt = |lender: &Name| {
            let ask_at = now + chance.generate_range(0..=terms.pace().max(1) as u64) as Tenths;
            (lender.clone(), Debt { borrower: Borrower::new(&terms, start), ask_at })
        };
        let debts = terms.lenders().filter(|lender| **lender != me).map(&mut debt).collect();
        let mut bucket = Bucket::new(terms.depth(), now);
        let floor = terms.seat(&me).floor;
        bucket.set(now, floor);
        Budget {
            floor,
            own: 0,
            lender: Lender::new(&terms, &me, start, now),
            debts,
            grants: BTreeMap::new(),
            dead: BTreeSet::new(),
            demand: Demand::new(terms.pace(), now),
            bucket,
            chance,
            me,
            start,
            terms,
        }
    }

    /// A message has come. False if it was not for this part.
    pub fn heard(&mut self, now: Tenths, message: &Message) -> bool {
        self.settle(now);
        match &message.body {
            Body::Ask(ask) => {
                // Danger: what the lender uses itself is lent to nobody; settle has just told it.
                if let Some(grant) = self.lender.asked(now, &message.from, message.start, ask) {
                    self.grants.insert(message.from.clone(), grant);
                }
            }
            Body::Grant(grant) => {
                if let Some(debt) = self.debts.get_mut(&message.from) {
                    debt.borrower.granted(now, message.start, grant);
                }
            }
            _ => return false,
        }
        let share = self.share(now);
        self.bucket.set(now, share);
        true
    }

    /// Which routers are held dead: a lender among them is asked only once a loan. Saves messages, decides no sum.
    pub fn dead(&mut self, dead: BTreeSet<Name>) {
        self.dead = dead;
    }

    /// May `tokens` be spent now? Counts as demand either way.
    pub fn take(&mut self, now: Tenths, tokens: u32) -> bool {
        self.settle(now);
        self.demand.add(now, tokens);
        self.bucket.take(now, tokens)
    }

    /// When `tokens` would be there if the share stays; none if they never would.
    pub fn ready_at(&self, tokens: u32) -> Option<Tenths> {
        self.bucket.ready_at(tokens)
    }

    /// What it may spend now.
    pub fn share(&self, now: Tenths) -> Rate {
        self.floor + self.own + self.borrowed(now)
    }

    /// The parts of what it may spend.
    pub fn reading(&mut self, now: Tenths) -> Reading {
        let (wanted, lent) = (self.demand.want(now), self.lender.lent());
        Reading { floor: self.floor, own: self.own, borrowed: self.borrowed(now), wanted, lent }
    }

    /// The next thing to do, until none is left.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Decision> {
        self.settle(now);
        if let Some((to, grant)) = self.grants.pop_first() {
            return Some(self.send(to, Body::Grant(grant)));
        }
        let to = self.debts.iter().find(|(_, debt)| debt.ask_at <= now).map(|(lender, _)| lender.clone())?;
        let want = self.demand.want(now);
        let rest = (want - self.floor - self.own).max(0);
        let others: Rate =
            self.debts.iter().filter(|(at, _)| **at != to).map(|(_, debt)| debt.borrower.rate(now)).sum();
        let lenders = self.debts.keys().filter(|lender| !self.dead.contains(*lender)).count().max(1) as i64;
        // An even part of each lender, and what the others leave open.
        let ask_for = ((rest + lenders - 1) / lenders).max(rest - others);
        let pace = if self.dead.contains(&to) { self.terms.pace() * 3 } else { self.terms.pace() };
        let early = self.chance.generate_range(0..=(pace / 8).max(1) as u64) as Tenths;
        let debt = self.debts.get_mut(&to)?;
        debt.ask_at = now + pace - early;
        let ask = debt.borrower.ask(now, ask_for);
        Some(self.send(to, Body::Ask(ask)))
    }

    /// When to come back if nothing is heard before.
    pub fn wake_at(&self) -> Option<Tenths> {
        self.debts.values().map(|debt| debt.ask_at).min()
    }

    fn borrowed(&self, now: Tenths) -> Rate {
        self.debts.values().map(|debt| debt.borrower.rate(now)).sum()
    }

    /// Brings the bucket up to now through every end of a loan on the way, and the own part up to date.
    fn settle(&mut self, now: Tenths) {
        let mut ends: Vec<Tenths> =
            self.debts.values().filter_map(|debt| debt.borrower.until(self.bucket_at())).collect();
        ends.retain(|end| *end <= now);
        ends.sort_unstable();
        for end in ends {
            let share = self.share(end);
            self.bucket.set(end, share);
        }
        let want = self.demand.want(now);
        self.own = self.lender.own(now, (want - self.floor).max(0));
        let share = self.share(now);
        self.bucket.set(now, share);
    }

    fn bucket_at(&self) -> Tenths {
        self.bucket.at()
    }

    fn send(&self, to: Name, body: Body) -> Decision {
        Decision::Send { to, message: Message { from: self.me.clone(), start: self.start, body } }
    }
}
