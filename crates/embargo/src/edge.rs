//! What an edge says to its readers: the gate's word, and when the refused are to come back.

use crate::crowd::{Budget, Crowd};
use crate::gate::{Gate, GateDecision, GateTerms};
use crate::words::*;
use std::collections::BTreeMap;
use vetchkeel_bounds::{Moment, Tenths};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EdgeTerms {
    pub gate: GateTerms,
    /// A reader of an announced bulletin is held no longer than this.
    pub hold: Tenths,
    /// Readers held at once.
    pub holds: usize,
    /// Refusals that tell nothing name a time after the next whole multiple of this.
    pub grain: Tenths,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Serve,
    /// Ask again at the next [`GateDecision::Open`] of the bulletin, or after this time at the latest.
    Hold {
        at_most: Tenths,
    },
    /// Say to come back after this time, and nothing else: an unknown bulletin is refused in the same words.
    Refuse {
        come_back: Tenths,
    },
}

/// One process of an edge.
#[derive(Clone, Debug)]
pub struct Edge {
    gate: Gate,
    terms: EdgeTerms,
    /// Readers held, by bulletin.
    held: BTreeMap<(OfficeId, BulletinId), usize>,
    crowd: Crowd,
}

impl Edge {
    /// Knows nothing and serves nothing. `incarnation` was never used by this edge before; `seed` spreads the refused.
    pub fn new(id: EdgeId, incarnation: Incarnation, terms: EdgeTerms, budget: Budget, seed: u64) -> Self {
        let gate = Gate::new(id, incarnation, terms.gate);
        Edge { gate, terms, held: BTreeMap::new(), crowd: Crowd::new(budget, seed) }
    }

    /// Bulletins of this office are served here from now on.
    pub fn follow(&mut self, office: OfficeId) {
        self.gate.follow(office);
    }

    pub fn set_budget(&mut self, budget: Budget) {
        self.crowd.set_budget(budget);
    }

    /// Serves nothing from now on, and says so. For good: the next process has an incarnation of its own.
    pub fn leave(&mut self) {
        self.gate.leave();
    }

    pub fn heard(&mut self, reply: Reply, moment: &Moment) {
        self.gate.heard(reply, moment);
    }

    /// The next thing to do, until there is none.
    pub fn next_decision(&mut self, moment: &Moment) -> Option<GateDecision> {
        let decision = self.gate.next_decision(moment);
        if let Some(GateDecision::Open { office, bulletin }) = decision {
            self.held.remove(&(office, bulletin));
        }
        decision
    }

    /// As [`Gate::serves`].
    pub fn serves(&self, office: OfficeId, bulletin: BulletinId, moment: &Moment) -> bool {
        self.gate.serves(office, bulletin, moment)
    }

    /// As [`Gate::wake_at`].
    pub fn wake_at(&self, moment: &Moment) -> Option<Tenths> {
        self.gate.wake_at(moment)
    }

    /// What to say to a reader. All decisions due at `moment` have been pulled.
    pub fn read(&mut self, office: OfficeId, bulletin: BulletinId, moment: &Moment) -> Answer {
        if self.serves(office, bulletin, moment) {
            return Answer::Serve;
        }
        let now = moment.mono;
        let Some(release) = self.gate.announced(office, bulletin, moment) else {
            // Danger: a time that followed the cause would tell it. Withdrawn, secret, lapsed and unknown sound alike.
            let clock = moment.time.map_or(now, |time| time.latest);
            let grain = self.terms.grain.max(1);
            let wait = grain - clock.rem_euclid(grain);
            return Answer::Refuse { come_back: self.crowd.place(now, now + wait) - now };
        };
        let held: usize = self.held.values().sum();
        let near = release - now <= self.terms.hold;
        if near && held < self.terms.holds && self.crowd.take_at(now, release) {
            *self.held.entry((office, bulletin)).or_insert(0) += 1;
            return Answer::Hold { at_most: self.terms.hold };
        }
        Answer::Refuse { come_back: self.crowd.place(now, release) - now }
    }

    /// A held reader went away or was sent away.
    pub fn let_go(&mut self, office: OfficeId, bulletin: BulletinId) {
        if let Some(held) = self.held.get_mut(&(office, bulletin)) {
            *held -= 1;
            if *held == 0 {
                self.held.remove(&(office, bulletin));
            }
        }
    }
}
