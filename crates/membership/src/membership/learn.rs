//! What is heard about instances, and what follows from it.

use super::{Change, Membership};
use crate::claim::{Claim, Standing};
use crate::peer::Peer;
use crate::suspicion::Suspicion;
use crate::{Body, Name, Tenths};

/// An observer in doubt waits up to so many times longer for an answer to its own suspicion.
const MOST_STRETCH: i64 = 4;

impl Membership {
    /// One has spoken itself: `speaks` says that it is alive, in the life and incarnation of its message.
    pub(super) fn hear_from(&mut self, now: Tenths, speaks: Claim) {
        if speaks.instance.name == self.me.name {
            self.namesake(&speaks);
            return;
        }
        let Some(peer) = self.peers.get(&speaks.instance.name) else {
            return self.learn(now, &speaks, false);
        };
        let known = &peer.claim;
        if speaks.outdoes(known) {
            return self.learn(now, &speaks, false);
        }
        // It speaks, and yet something counts against it: it is told, and can answer.
        if peer.told_at.is_some_and(|at| now < at + self.plan.period) {
            return;
        }
        let known = known.clone();
        if known.instance.start > speaks.instance.start {
            if let Some(peer) = self.peers.get_mut(&known.instance.name) {
                peer.told_at = Some(now);
            }
            self.put(speaks.instance.address, Body::News, vec![known], false);
        } else if known.standing != Standing::Alive {
            self.slandered.insert(known.instance.name.clone(), known);
        }
    }

    /// Somebody says something about an instance; `page`: as part of all that it knows, not as news.
    pub(super) fn learn(&mut self, now: Tenths, claim: &Claim, page: bool) {
        let name = &claim.instance.name;
        if *name == self.me.name {
            return self.about_me(claim);
        }
        let Some(peer) = self.peers.get_mut(name) else { return self.newcomer(now, claim) };
        let known = &peer.claim;
        if claim.instance.start > known.instance.start {
            return self.restarted(now, claim);
        }
        if claim.instance.start < known.instance.start {
            return;
        }
        if let (Standing::Suspect(by), Standing::Suspect(_)) = (&claim.standing, &known.standing)
            && claim.incarnation == known.incarnation
        {
            self.confirm(name.clone(), by);
            return;
        }
        if !claim.outdoes(known) {
            // After a partition each side holds the other dead. Told now, it need not wait until it is tried in turn.
            if page && claim.standing == Standing::Alive && !peer.is_there() {
                self.slandered.insert(name.clone(), known.clone());
            }
            return;
        }
        let unanswered = peer.told_at.is_some_and(|at| now > at + 2 * self.plan.period);
        match &claim.standing {
            Standing::Alive => self.take(now, claim, None),
            Standing::Suspect(by) => self.suspect(now, claim, by.clone(), false),
            // Danger: what one side of a partition has concluded would flap the living of the other. Whoever was not under
            // suspicion here gets its time to answer.
            Standing::Dead(_) if page && peer.is_alive() && !unanswered => {
                self.slandered.insert(name.clone(), claim.clone());
                // If it does not answer, the next page that says so counts.
                self.next_compare = self.next_compare.min(now + 4 * self.plan.period);
            }
            Standing::Dead(by) if peer.is_alive() => {
                let standing = Standing::Suspect(by.clone());
                self.suspect(now, &Claim { standing, ..claim.clone() }, by.clone(), true);
            }
            Standing::Dead(_) | Standing::Left => self.take(now, claim, None),
        }
    }

    /// Raises or spreads a suspicion: it ends the sooner, the more confirm it.
    pub(super) fn suspect(&mut self, now: Tenths, claim: &Claim, by: Name, hasten: bool) {
        // What others saw is not made doubtful by this instance's own doubt.
        let stretch = if by == self.me.name { self.doubt.stretch().min(MOST_STRETCH) } else { 1 };
        let patience = self.plan.period * self.plan.patience * tenfolds(self.peers.len() as i64 + 1) / 10;
        let least = (patience * stretch).max(4 * self.slowest());
        let mut suspicion = Suspicion::new(now, least, least * self.plan.slack, by);
        if hasten {
            suspicion.hasten();
        }
        self.take(now, claim, Some(suspicion));
    }

    /// Puts a claim in place of what was known, passes it on and tells the host.
    pub(super) fn take(&mut self, now: Tenths, claim: &Claim, suspicion: Option<Suspicion>) {
        let name = claim.instance.name.clone();
        let Some(peer) = self.peers.get_mut(&name) else { return };
        if let Some(old) = peer.suspicion.take() {
            self.ends.remove(&(old.ends(), name.clone()));
        }
        if let Some(new) = &suspicion {
            self.ends.insert((new.ends(), name.clone()));
        }
        let change = match (&peer.claim.standing, &claim.standing) {
            (Standing::Alive, Standing::Alive) => None,
            (_, Standing::Alive) => Some(Change::Returned(name.clone())),
            (Standing::Suspect(_), Standing::Suspect(_)) => None,
            (_, Standing::Suspect(_)) => Some(Change::Suspected(name.clone())),
            (_, Standing::Dead(_)) => Some(Change::Died(name.clone())),
            (_, Standing::Left) => Some(Change::Left(name.clone())),
        };
        if change.is_some() {
            peer.since = now;
        }
        let was_there = peer.is_there();
        peer.claim = claim.clone();
        peer.suspicion = suspicion;
        peer.told_at = None;
        let comes_back = !was_there && peer.is_there();
        self.slandered.remove(&name);
        if let Some(change) = change {
            self.change(change);
        }
        if comes_back {
            self.order.join(name, &mut self.chance);
        }
        self.rumours.spread(claim.clone());
    }

    fn newcomer(&mut self, now: Tenths, claim: &Claim) {
        // Those that are gone are not learned from hearsay: two would remind each other of them for ever.
        if !claim.standing.is_there() {
            return;
        }
        if !self.make_room() {
            return self.change(Change::Crowded(claim.instance.name.clone()));
        }
        let alive = Claim { standing: Standing::Alive, ..claim.clone() };
        self.peers.insert(claim.instance.name.clone(), Peer::new(alive, now));
        self.order.join(claim.instance.name.clone(), &mut self.chance);
        self.change(Change::Joined(claim.instance.clone()));
        self.begin(now, claim);
    }

    fn restarted(&mut self, now: Tenths, claim: &Claim) {
        let name = &claim.instance.name;
        let Some(peer) = self.peers.get_mut(name) else { return };
        if let Some(old) = peer.suspicion.take() {
            self.ends.remove(&(old.ends(), name.clone()));
        }
        let was_there = peer.is_there();
        // What is said against the old life says nothing about this one.
        *peer = Peer::new(Claim { standing: Standing::Alive, ..claim.clone() }, now);
        self.slandered.remove(name);
        if !was_there {
            self.order.join(name.clone(), &mut self.chance);
        }
        self.change(Change::Restarted(claim.instance.clone()));
        self.begin(now, claim);
    }

    /// A life that was not known begins as alive; then what was said about it counts.
    fn begin(&mut self, now: Tenths, claim: &Claim) {
        match &claim.standing {
            Standing::Alive => self.rumours.spread(claim.clone()),
            Standing::Suspect(by) => self.suspect(now, claim, by.clone(), false),
            Standing::Dead(by) => {
                let standing = Standing::Suspect(by.clone());
                self.suspect(now, &Claim { standing, ..claim.clone() }, by.clone(), true);
            }
            Standing::Left => self.take(now, claim, None),
        }
    }

    fn confirm(&mut self, name: Name, by: &Name) {
        let Some(peer) = self.peers.get_mut(&name) else { return };
        let Some(suspicion) = &mut peer.suspicion else { return };
        let before = suspicion.ends();
        if suspicion.confirm(by) {
            self.ends.remove(&(before, name.clone()));
            self.ends.insert((suspicion.ends(), name));
            let standing = Standing::Suspect(by.clone());
            self.rumours.spread(Claim { standing, ..peer.claim.clone() });
        }
    }

    /// Something is said about this instance.
    fn about_me(&mut self, claim: &Claim) {
        if claim.instance.start > self.me.start {
            return self.namesake(claim);
        }
        if claim.instance.start < self.me.start || claim.standing == Standing::Alive {
            return;
        }
        if claim.incarnation >= self.incarnation {
            self.incarnation = claim.incarnation + 1;
            // Danger: it was not heard in time. That may be its own slowness, and others may look dead for the same reason.
            self.doubting(1);
            self.speak_up();
        }
    }

    /// A later start under this name. From this address it is an earlier life of this very instance, whose clock was
    /// ahead; from another one it is the process that has taken its place.
    fn namesake(&mut self, claim: &Claim) {
        if claim.instance.start <= self.me.start {
            // An older process of this name is told by the start that any message of this one carries.
            if claim.instance.start < self.me.start && claim.instance.address != self.me.address {
                self.put(claim.instance.address, Body::News, Vec::new(), false);
            }
            return;
        }
        if claim.instance.address != self.me.address {
            self.silent = true;
            self.waiting.clear();
            return self.change(Change::Superseded(claim.instance.clone()));
        }
        let start = claim.instance.start;
        self.me.start = crate::Start { at: start.at, count: start.count.saturating_add(1) };
        self.incarnation = 0;
        self.change(Change::Raised(self.me.start));
        self.speak_up();
    }

    fn speak_up(&mut self) {
        let instance = self.me.clone();
        self.rumours.spread(Claim { instance, incarnation: self.incarnation, standing: Standing::Alive });
    }
}

/// Ten times the decimal logarithm of `count`, at least 10, linear between the powers of two.
fn tenfolds(count: i64) -> i64 {
    let count = count.max(1);
    let bits = i64::from(count.ilog2());
    let part = (count - (1 << bits)) * 1_000 / (1 << bits);
    ((bits * 1_000 + part) * 301 / 100_000).max(10)
}
