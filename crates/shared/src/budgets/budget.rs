//! One router's part in a budget: it lends, borrows and decides whether a token may be spent.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};
use vetchkeel_membership::{Name, Start, Tenths};

use super::{Borrower, Bucket, Demand, Lender, LoanGrant, Rate, Terms};
use crate::wire::{Body, Decision, Message};

/// The components of the rate that one router may spend, for reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The floor.
    pub floor: Rate,
    /// The part of its own lendable rate that it uses itself.
    pub own_use: Rate,
    /// Rate borrowed from other routers.
    pub borrowed: Rate,
    /// The router's demand.
    pub demand: Rate,
    /// The most of its lendable rate that may be on loan to others.
    pub lent: Rate,
}

/// One router's part in a budget.
///
/// The host passes in the time of a clock that does not stop while the machine sleeps and never goes back, reads it
/// again before each [`Budget::take`], and runs at most one process per name at a time (by an exclusive lock in its
/// state directory).
pub struct Budget {
    me: Name,
    start: Start,
    terms: Terms,
    floor: Rate,
    own_use: Rate,
    lender: Lender,
    lenders: BTreeMap<Name, LenderState>,
    outgoing_grants: BTreeMap<Name, LoanGrant>,
    dead: BTreeSet<Name>,
    demand: Demand,
    bucket: Bucket,
    chance: WyRand,
}

struct LenderState {
    borrower: Borrower,
    request_at: Tenths,
}

impl Budget {
    /// Joins the budget as `me` in its incarnation `start`, beginning at `now`.
    pub fn new(terms: Terms, me: Name, start: Start, now: Tenths, seed: u64) -> Budget {
        let mut chance = WyRand::new_seed(seed);
        let mut state = |lender: &Name| {
            let request_at =
                now + chance.generate_range(0..=terms.request_interval().max(1) as u64) as Tenths;
            (lender.clone(), LenderState { borrower: Borrower::new(&terms, start), request_at })
        };
        let lenders = terms.lenders().filter(|lender| **lender != me).map(&mut state).collect();
        let mut bucket = Bucket::new(terms.depth(), now);
        let floor = terms.allotment(&me).floor;
        bucket.set_rate(now, floor);
        Budget {
            floor,
            own_use: 0,
            lender: Lender::new(&terms, &me, start, now),
            lenders,
            outgoing_grants: BTreeMap::new(),
            dead: BTreeSet::new(),
            demand: Demand::new(terms.request_interval(), now),
            bucket,
            chance,
            me,
            start,
            terms,
        }
    }

    /// Handles a received message. Returns false if the message is not for this module.
    pub fn handle_message(&mut self, now: Tenths, message: &Message) -> bool {
        self.advance(now);
        match &message.body {
            Body::LoanRequest(request) => {
                // Danger: the rate that the lender uses itself must not be lent. `advance` has just updated it.
                if let Some(grant) = self.lender.handle_request(now, &message.from, message.start, request) {
                    self.outgoing_grants.insert(message.from.clone(), grant);
                }
            }
            Body::LoanGrant(grant) => {
                if let Some(state) = self.lenders.get_mut(&message.from) {
                    state.borrower.handle_grant(now, message.start, grant);
                }
            }
            _ => return false,
        }
        let share = self.share(now);
        self.bucket.set_rate(now, share);
        true
    }

    /// Sets the routers that the membership considers dead. Requests to a dead lender are sent only once per loan,
    /// which saves messages and does not affect the limit.
    pub fn set_dead(&mut self, dead: BTreeSet<Name>) {
        self.dead = dead;
    }

    /// Takes `tokens` if they may be spent now. Counts as demand in either case.
    pub fn take(&mut self, now: Tenths, tokens: u32) -> bool {
        self.advance(now);
        self.demand.add(now, tokens);
        self.bucket.take(now, tokens)
    }

    /// When `tokens` will be available if the share stays the same; `None` if never.
    pub fn ready_at(&self, tokens: u32) -> Option<Tenths> {
        self.bucket.ready_at(tokens)
    }

    /// The rate that this router may spend at `now`.
    pub fn share(&self, now: Tenths) -> Rate {
        self.floor + self.own_use + self.borrowed(now)
    }

    /// The components of [`Budget::share`].
    pub fn usage(&mut self, now: Tenths) -> Usage {
        let (demand, lent) = (self.demand.estimate(now), self.lender.lent());
        Usage { floor: self.floor, own_use: self.own_use, borrowed: self.borrowed(now), demand, lent }
    }

    /// The next decision; the host calls this until it returns `None`.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Decision> {
        self.advance(now);
        if let Some((to, grant)) = self.outgoing_grants.pop_first() {
            return Some(self.message_to(to, Body::LoanGrant(grant)));
        }
        let to = self
            .lenders
            .iter()
            .find(|(_, state)| state.request_at <= now)
            .map(|(lender, _)| lender.clone())?;
        let want = self.demand.estimate(now);
        let unmet = (want - self.floor - self.own_use).max(0);
        let others: Rate =
            self.lenders.iter().filter(|(at, _)| **at != to).map(|(_, state)| state.borrower.rate(now)).sum();
        let lenders = self.lenders.keys().filter(|lender| !self.dead.contains(*lender)).count().max(1) as i64;
        // Requests an equal part from each lender, and whatever the other loans leave uncovered.
        let requested = ((unmet + lenders - 1) / lenders).max(unmet - others);
        let interval = if self.dead.contains(&to) {
            self.terms.request_interval() * 3
        } else {
            self.terms.request_interval()
        };
        let jitter = self.chance.generate_range(0..=(interval / 8).max(1) as u64) as Tenths;
        let state = self.lenders.get_mut(&to)?;
        state.request_at = now + interval - jitter;
        let request = state.borrower.request(now, requested);
        Some(self.message_to(to, Body::LoanRequest(request)))
    }

    /// When to call [`Budget::next_decision`] again if no message arrives before.
    pub fn wake_at(&self) -> Option<Tenths> {
        self.lenders.values().map(|state| state.request_at).min()
    }

    fn borrowed(&self, now: Tenths) -> Rate {
        self.lenders.values().map(|state| state.borrower.rate(now)).sum()
    }

    /// Advances the bucket to `now`, applying the end of each loan that expires on the way, and updates the rate for
    /// own use.
    fn advance(&mut self, now: Tenths) {
        let mut expiries: Vec<Tenths> =
            self.lenders.values().filter_map(|state| state.borrower.until(self.refilled_at())).collect();
        expiries.retain(|expiry| *expiry <= now);
        expiries.sort_unstable();
        for expiry in expiries {
            let share = self.share(expiry);
            self.bucket.set_rate(expiry, share);
        }
        let want = self.demand.estimate(now);
        self.own_use = self.lender.reserve(now, (want - self.floor).max(0));
        let share = self.share(now);
        self.bucket.set_rate(now, share);
    }

    fn refilled_at(&self) -> Tenths {
        self.bucket.updated_at()
    }

    fn message_to(&self, to: Name, body: Body) -> Decision {
        Decision::Send { to, message: Message { from: self.me.clone(), start: self.start, body } }
    }
}
