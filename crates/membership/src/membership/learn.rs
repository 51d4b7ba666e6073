//! Handling of received claims about instances.

use super::{Change, Membership};
use crate::claim::{Claim, Liveness};
use crate::peer::Peer;
use crate::suspicion::Suspicion;
use crate::{Body, Name, Tenths};

/// Maximum factor by which an observer's local health score extends the suspicions that it raises itself.
const MAX_SUSPICION_STRETCH: i64 = 4;

impl Membership {
    /// Handles the proof of life that any message is: `sender_claim` states that its sender is alive, with the start and
    /// incarnation of the message.
    pub(super) fn handle_sender(&mut self, now: Tenths, sender_claim: Claim) {
        if sender_claim.instance.name == self.me.name {
            self.handle_same_name(&sender_claim);
            return;
        }
        let Some(peer) = self.peers.get(&sender_claim.instance.name) else {
            return self.merge_claim(now, &sender_claim, false);
        };
        let known = &peer.claim;
        if sender_claim.overrides(known) {
            return self.merge_claim(now, &sender_claim, false);
        }
        // The sender is alive, but a claim against it takes precedence: it is sent that claim, so that it can refute it.
        if peer.refutation_requested_at.is_some_and(|at| now < at + self.plan.period) {
            return;
        }
        let known = known.clone();
        if known.instance.start > sender_claim.instance.start {
            if let Some(peer) = self.peers.get_mut(&known.instance.name) {
                peer.refutation_requested_at = Some(now);
            }
            self.queue_message(sender_claim.instance.address, Body::Gossip, vec![known], false);
        } else if known.liveness != Liveness::Alive {
            self.refutation_pending.insert(known.instance.name.clone(), known);
        }
    }

    /// Merges a received claim about an instance. `page` is set for a claim of a full view, and unset for gossip.
    pub(super) fn merge_claim(&mut self, now: Tenths, claim: &Claim, page: bool) {
        let name = &claim.instance.name;
        if *name == self.me.name {
            return self.handle_claim_about_self(claim);
        }
        let Some(peer) = self.peers.get_mut(name) else { return self.add_peer(now, claim) };
        let known = &peer.claim;
        if claim.instance.start > known.instance.start {
            return self.handle_restart(now, claim);
        }
        if claim.instance.start < known.instance.start {
            return;
        }
        if let (Liveness::Suspect(by), Liveness::Suspect(_)) = (&claim.liveness, &known.liveness)
            && claim.incarnation == known.incarnation
        {
            self.confirm_suspicion(name.clone(), by);
            return;
        }
        if !claim.overrides(known) {
            // After a partition each side considers the other dead. Sending the claim now lets the instance refute it at
            // once, without waiting for the next reconnection attempt.
            if page && claim.liveness == Liveness::Alive && !peer.is_present() {
                self.refutation_pending.insert(name.clone(), known.clone());
            }
            return;
        }
        let unanswered = peer.refutation_requested_at.is_some_and(|at| now > at + 2 * self.plan.period);
        match &claim.liveness {
            Liveness::Alive => self.apply_claim(now, claim, None),
            Liveness::Suspect(by) => self.suspect(now, claim, by.clone(), false),
            // Guards against flapping after a partition: the deaths that one side concluded would be applied to live
            // instances of the other side. An instance that is not suspected here first gets time to refute the claim.
            Liveness::Dead(_) if page && peer.is_alive() && !unanswered => {
                self.refutation_pending.insert(name.clone(), claim.clone());
                // If it does not refute the claim, the same claim on a later page is applied.
                self.next_compare = self.next_compare.min(now + 4 * self.plan.period);
            }
            Liveness::Dead(by) if peer.is_alive() => {
                let liveness = Liveness::Suspect(by.clone());
                self.suspect(now, &Claim { liveness, ..claim.clone() }, by.clone(), true);
            }
            Liveness::Dead(_) | Liveness::Left => self.apply_claim(now, claim, None),
        }
    }

    /// Starts a suspicion, of this instance's own or a received one. Confirmations shorten it.
    pub(super) fn suspect(&mut self, now: Tenths, claim: &Claim, by: Name, shorten: bool) {
        // The local health score extends only suspicions of this instance's own, as it says nothing about other observers.
        let stretch =
            if by == self.me.name { self.local_health.multiplier().min(MAX_SUSPICION_STRETCH) } else { 1 };
        let patience =
            self.plan.period * self.plan.patience * ten_times_log10(self.peers.len() as i64 + 1) / 10;
        let least = (patience * stretch).max(4 * self.max_rtt_timeout());
        let mut suspicion = Suspicion::new(now, least, least * self.plan.slack, by);
        if shorten {
            suspicion.shorten();
        }
        self.apply_claim(now, claim, Some(suspicion));
    }

    /// Replaces the known claim, queues the new one for gossip and reports the change to the host.
    pub(super) fn apply_claim(&mut self, now: Tenths, claim: &Claim, suspicion: Option<Suspicion>) {
        let name = claim.instance.name.clone();
        let Some(peer) = self.peers.get_mut(&name) else { return };
        if let Some(old) = peer.suspicion.take() {
            self.suspicion_deadlines.remove(&(old.deadline(), name.clone()));
        }
        if let Some(new) = &suspicion {
            self.suspicion_deadlines.insert((new.deadline(), name.clone()));
        }
        let change = match (&peer.claim.liveness, &claim.liveness) {
            (Liveness::Alive, Liveness::Alive) => None,
            (_, Liveness::Alive) => Some(Change::Returned(name.clone())),
            (Liveness::Suspect(_), Liveness::Suspect(_)) => None,
            (_, Liveness::Suspect(_)) => Some(Change::Suspected(name.clone())),
            (_, Liveness::Dead(_)) => Some(Change::Died(name.clone())),
            (_, Liveness::Left) => Some(Change::Left(name.clone())),
        };
        if change.is_some() {
            peer.since = now;
        }
        let was_there = peer.is_present();
        peer.claim = claim.clone();
        peer.suspicion = suspicion;
        peer.refutation_requested_at = None;
        let comes_back = !was_there && peer.is_present();
        self.refutation_pending.remove(&name);
        if let Some(change) = change {
            self.push_change(change);
        }
        if comes_back {
            self.probe_order.insert(name, &mut self.rng);
        }
        self.gossip_queue.enqueue(claim.clone());
    }

    fn add_peer(&mut self, now: Tenths, claim: &Claim) {
        // Instances that are gone are not added from claims of others: otherwise two instances would keep re-adding them
        // to each other's views for ever.
        if !claim.liveness.is_present() {
            return;
        }
        if !self.make_room() {
            return self.push_change(Change::ViewFull(claim.instance.name.clone()));
        }
        let alive = Claim { liveness: Liveness::Alive, ..claim.clone() };
        self.peers.insert(claim.instance.name.clone(), Peer::new(alive, now));
        self.probe_order.insert(claim.instance.name.clone(), &mut self.rng);
        self.push_change(Change::Joined(claim.instance.clone()));
        self.apply_first_claim(now, claim);
    }

    fn handle_restart(&mut self, now: Tenths, claim: &Claim) {
        let name = &claim.instance.name;
        let Some(peer) = self.peers.get_mut(name) else { return };
        if let Some(old) = peer.suspicion.take() {
            self.suspicion_deadlines.remove(&(old.deadline(), name.clone()));
        }
        let was_there = peer.is_present();
        // Claims against the previous run do not apply to this one.
        *peer = Peer::new(Claim { liveness: Liveness::Alive, ..claim.clone() }, now);
        self.refutation_pending.remove(name);
        if !was_there {
            self.probe_order.insert(name.clone(), &mut self.rng);
        }
        self.push_change(Change::Restarted(claim.instance.clone()));
        self.apply_first_claim(now, claim);
    }

    /// Applies the first claim about a run that was not known. The run starts as alive, so a claim that it is dead only
    /// raises a suspicion.
    fn apply_first_claim(&mut self, now: Tenths, claim: &Claim) {
        match &claim.liveness {
            Liveness::Alive => self.gossip_queue.enqueue(claim.clone()),
            Liveness::Suspect(by) => self.suspect(now, claim, by.clone(), false),
            Liveness::Dead(by) => {
                let liveness = Liveness::Suspect(by.clone());
                self.suspect(now, &Claim { liveness, ..claim.clone() }, by.clone(), true);
            }
            Liveness::Left => self.apply_claim(now, claim, None),
        }
    }

    fn confirm_suspicion(&mut self, name: Name, by: &Name) {
        let Some(peer) = self.peers.get_mut(&name) else { return };
        let Some(suspicion) = &mut peer.suspicion else { return };
        let before = suspicion.deadline();
        if suspicion.confirm(by) {
            self.suspicion_deadlines.remove(&(before, name.clone()));
            self.suspicion_deadlines.insert((suspicion.deadline(), name));
            let liveness = Liveness::Suspect(by.clone());
            self.gossip_queue.enqueue(Claim { liveness, ..peer.claim.clone() });
        }
    }

    /// Handles a received claim about this instance, and refutes a suspicion or death by raising the incarnation.
    fn handle_claim_about_self(&mut self, claim: &Claim) {
        if claim.instance.start > self.me.start {
            return self.handle_same_name(claim);
        }
        if claim.instance.start < self.me.start || claim.liveness == Liveness::Alive {
            return;
        }
        if claim.incarnation >= self.incarnation {
            self.incarnation = claim.incarnation + 1;
            // This instance was not heard in time. The cause may be its own slowness, which would make others look dead to
            // it too, so its local health score rises.
            self.degrade_health(1);
            self.announce_self();
        }
    }

    /// Handles another start under this instance's name. A later start at the same address is an earlier run of this
    /// instance whose clock was ahead; at another address it is a process that has replaced this one.
    fn handle_same_name(&mut self, claim: &Claim) {
        if claim.instance.start <= self.me.start {
            // Any message tells an older process of this name that it is superseded, as it carries the later start.
            if claim.instance.start < self.me.start && claim.instance.address != self.me.address {
                self.queue_message(claim.instance.address, Body::Gossip, Vec::new(), false);
            }
            return;
        }
        if claim.instance.address != self.me.address {
            self.silent = true;
            self.outgoing.clear();
            return self.push_change(Change::Superseded(claim.instance.clone()));
        }
        let start = claim.instance.start;
        self.me.start = crate::Start { at: start.at, count: start.count.saturating_add(1) };
        self.incarnation = 0;
        self.push_change(Change::StartRaised(self.me.start));
        self.announce_self();
    }

    fn announce_self(&mut self) {
        let instance = self.me.clone();
        self.gossip_queue.enqueue(Claim {
            instance,
            incarnation: self.incarnation,
            liveness: Liveness::Alive,
        });
    }
}

/// Ten times the decimal logarithm of `count`, interpolated linearly between powers of two; at least 10.
fn ten_times_log10(count: i64) -> i64 {
    let count = count.max(1);
    let bits = i64::from(count.ilog2());
    let part = (count - (1 << bits)) * 1_000 / (1 << bits);
    ((bits * 1_000 + part) * 301 / 100_000).max(10)
}
