//! Timed actions: probes, expiry of suspicions, gossip, anti-entropy, and reconnection to instances that are gone.

use std::net::SocketAddr;

use nanorand::Rng;

use super::{MAX_INDIRECT_PROBES, MAX_LATE_PROBES, Membership};
use crate::claim::{Claim, Liveness};
use crate::probe::{IndirectProbe, Probe};
use crate::wire::Body;
use crate::{Name, Tenths};

/// Time between two rounds of gossip while any is queued, and the number of peers that each round reaches.
const NEWS_EVERY: Tenths = 2_000;
const NEWS_TO: usize = 3;
/// Minimum time between two pings that ask an instance to refute a claim against it.
const REFUTATION_INTERVAL: Tenths = 100;
/// Minimum probe time-out: with a shorter one, a scheduling delay looks like a failure.
const MIN_PROBE_TIMEOUT: Tenths = 300;

impl Membership {
    /// Runs one action that is due. Returns false if there is none.
    pub(super) fn do_next(&mut self, now: Tenths) -> bool {
        if let Some((at, name)) = self.suspicion_deadlines.first().cloned()
            && at <= now
        {
            self.suspicion_deadlines.pop_first();
            self.end_suspicion(now, &name);
            return true;
        }
        if self.probe.as_ref().is_some_and(|probe| probe.due() <= now) {
            self.advance_probe(now);
            return true;
        }
        if let Some(number) = self.due_indirect_probe(now) {
            self.send_nack(now, number);
            return true;
        }
        if self.next_probe <= now && self.probe.is_none() {
            self.next_probe = now + self.probe_interval();
            self.start_probe(now);
            return true;
        }
        if self.next_gossip <= now && !self.gossip_queue.is_empty() {
            self.next_gossip = now + NEWS_EVERY;
            for to in self.random_peers(NEWS_TO) {
                self.queue_message(to, Body::Gossip, Vec::new(), true);
            }
            return true;
        }
        if self.next_refutation_request <= now && !self.refutation_pending.is_empty() {
            self.next_refutation_request = now + REFUTATION_INTERVAL;
            self.request_refutation(now);
            return true;
        }
        if self.next_reconnect <= now {
            self.next_reconnect = now + self.jitter(self.plan.reach);
            self.reconnect();
            return true;
        }
        if self.next_compare <= now {
            self.next_compare = now + self.jitter(self.plan.compare);
            if let Some(to) = self.random_peers(1).pop() {
                let digest = Some(self.digest());
                self.queue_message(to, Body::SyncRequest { digest, after: None }, Vec::new(), true);
            }
            return true;
        }
        if self.next_forget <= now {
            self.next_forget = now + self.plan.reach;
            let old = now - self.plan.forget;
            self.peers.retain(|_, peer| peer.is_present() || peer.since > old);
            return true;
        }
        false
    }

    /// The probe period, extended by the local health score.
    pub(super) fn probe_interval(&self) -> Tenths {
        self.plan.period * self.local_health.multiplier()
    }

    /// The longest RTT-based time-out of all present peers.
    pub(super) fn max_rtt_timeout(&self) -> Tenths {
        let present = self.peers.values().filter(|peer| peer.is_present());
        present.filter_map(|peer| peer.rtt.timeout()).max().unwrap_or(MIN_PROBE_TIMEOUT).min(self.plan.period)
    }

    /// How long to wait for a direct answer of `name` before helpers are asked.
    fn probe_timeout(&self, name: &Name) -> Tenths {
        let measured = self.peers.get(name).and_then(|peer| peer.rtt.timeout());
        measured
            .unwrap_or(self.plan.period / 4)
            .clamp(MIN_PROBE_TIMEOUT.min(self.plan.period / 4), self.plan.period / 2)
            * self.local_health.multiplier()
    }

    fn start_probe(&mut self, now: Tenths) {
        let peers = &self.peers;
        let present = |name: &Name| peers.get(name).is_some_and(|peer| peer.is_present());
        let Some(name) = self.probe_order.next(peers.keys(), present, &mut self.rng) else { return };
        let Some(peer) = self.peers.get(&name) else { return };
        let (address, start) = (peer.claim.instance.address, peer.claim.instance.start);
        // A suspected peer receives the suspicion with the ping, so that it can refute it.
        let first = if peer.is_alive() { Vec::new() } else { vec![peer.claim.clone()] };
        let number = self.next_number();
        self.probe = Some(Probe {
            number,
            peer: name.clone(),
            start,
            sent: now,
            helpers_at: Some(now + self.probe_timeout(&name)),
            deadline: now + self.probe_interval() - 1,
            answered: false,
            helpers: 0,
            nacks: 0,
        });
        self.queue_message(address, Body::Ping { number, to: name }, first, true);
    }

    fn advance_probe(&mut self, now: Tenths) {
        let Some(mut probe) = self.probe.take() else { return };
        if probe.answered || now >= probe.deadline {
            return if probe.answered { self.improve_health() } else { self.probe_failed(now, probe) };
        }
        probe.helpers_at = None;
        if let Some(address) = self.peers.get(&probe.peer).map(|peer| peer.claim.instance.address) {
            for to in self.choose_helpers(&probe.peer) {
                probe.helpers += 1;
                let body = Body::PingReq { number: probe.number, to: probe.peer.clone(), address };
                self.queue_message(to, body, Vec::new(), true);
            }
        }
        self.probe = Some(probe);
    }

    /// Handles a probe that got neither a direct nor an indirect answer in time.
    fn probe_failed(&mut self, now: Tenths, probe: Probe) {
        // Helpers that do not answer either point to a fault of this instance, not of the probed one.
        self.degrade_health(if probe.helpers == 0 { 1 } else { (probe.helpers - probe.nacks).max(0) });
        if self.late_probes.len() == MAX_LATE_PROBES {
            self.late_probes.pop_front();
        }
        self.late_probes.push_back((probe.number, probe.peer.clone(), probe.sent));
        let Some(peer) = self.peers.get(&probe.peer) else { return };
        if peer.claim.instance.start != probe.start || !peer.is_present() {
            return;
        }
        let liveness = Liveness::Suspect(self.me.name.clone());
        let claim = Claim { liveness, ..peer.claim.clone() };
        if peer.is_alive() {
            self.suspect(now, &claim, self.me.name.clone(), false);
        } else {
            self.merge_claim(now, &claim, false);
        }
    }

    /// Handles an answer to this instance's own probe or to an indirect probe for another instance.
    pub(super) fn handle_ack(&mut self, now: Tenths, number: u64, from: &Name) {
        if let Some(indirect) = self.indirect_probes.remove(&number) {
            return self.queue_message(
                indirect.from,
                Body::Ack { number: indirect.number },
                Vec::new(),
                true,
            );
        }
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) {
            let direct = *from == probe.peer;
            let sent = probe.sent;
            probe.answered = true;
            if let Some(peer) = self.peers.get_mut(from).filter(|_| direct) {
                peer.rtt.record(now - sent);
            }
            return;
        }
        // A late answer still gives a round-trip sample, which lengthens the next time-out.
        if let Some(at) = self.late_probes.iter().position(|(late, name, _)| *late == number && name == from)
            && let Some((_, name, sent)) = self.late_probes.remove(at)
            && let Some(peer) = self.peers.get_mut(&name)
        {
            peer.rtt.record(now - sent);
        }
    }

    /// Handles a request to probe `to` for another instance.
    pub(super) fn handle_ping_req(
        &mut self,
        now: Tenths,
        from: SocketAddr,
        number: u64,
        to: &Name,
        address: SocketAddr,
    ) {
        if *to == self.me.name {
            return self.queue_message(from, Body::Ack { number }, Vec::new(), true);
        }
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return self.queue_message(from, Body::Nack { number }, Vec::new(), false);
        }
        let mine = self.next_number();
        // Early enough for the nack to arrive before the requester gives up.
        let nack_at = Some(now + self.probe_timeout(to).min(self.plan.period / 4));
        self.indirect_probes
            .insert(mine, IndirectProbe { from, number, nack_at, deadline: now + self.plan.period * 2 });
        let first = self.peers.get(to).filter(|peer| !peer.is_alive()).map(|peer| peer.claim.clone());
        self.queue_message(
            address,
            Body::Ping { number: mine, to: to.clone() },
            first.into_iter().collect(),
            true,
        );
    }

    fn due_indirect_probe(&self, now: Tenths) -> Option<u64> {
        let due = |indirect: &IndirectProbe| indirect.nack_at.unwrap_or(indirect.deadline) <= now;
        self.indirect_probes.iter().find(|(_, indirect)| due(indirect)).map(|(number, _)| *number)
    }

    fn send_nack(&mut self, now: Tenths, number: u64) {
        let Some(indirect) = self.indirect_probes.get_mut(&number) else { return };
        if indirect.nack_at.take().is_some() {
            let (to, body) = (indirect.from, Body::Nack { number: indirect.number });
            self.queue_message(to, body, Vec::new(), false);
        }
        self.indirect_probes.retain(|_, indirect| indirect.nack_at.is_some() || now < indirect.deadline);
    }

    /// Chooses the helpers: one in the zone of the probed instance, one in another zone than this instance's, the rest at
    /// random. So a network cut between two zones can be told from a failure.
    fn choose_helpers(&mut self, about: &Name) -> Vec<SocketAddr> {
        let zone = self.peers.get(about).and_then(|peer| peer.claim.instance.zone.clone());
        let mine = self.me.zone.clone();
        let mut candidates: Vec<_> =
            self.peers.values().filter(|peer| peer.is_alive()).map(|peer| &peer.claim.instance).collect();
        candidates.retain(|instance| instance.name != *about);
        self.rng.shuffle(&mut candidates);
        let near = candidates.iter().position(|instance| instance.zone.is_some() && instance.zone == zone);
        if let Some(at) = near {
            candidates.swap(0, at);
        }
        let rest = usize::from(near.is_some()).min(candidates.len());
        if let Some(at) =
            candidates[rest..].iter().position(|instance| instance.zone.is_some() && instance.zone != mine)
        {
            candidates.swap(rest, rest + at);
        }
        candidates.iter().take(self.plan.helpers).map(|instance| instance.address).collect()
    }

    /// Declares an instance dead whose suspicion was not refuted in time.
    fn end_suspicion(&mut self, now: Tenths, name: &Name) {
        let Some(peer) = self.peers.get(name) else { return };
        if let Liveness::Suspect(by) = &peer.claim.liveness {
            let liveness = Liveness::Dead(by.clone());
            let claim = Claim { liveness, ..peer.claim.clone() };
            self.apply_claim(now, &claim, None);
        }
    }

    /// Sends one instance the claim against it, so that it can refute it with a higher incarnation.
    fn request_refutation(&mut self, now: Tenths) {
        let Some((name, claim)) = self.refutation_pending.pop_first() else { return };
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.refutation_requested_at = Some(now);
        }
        let number = self.next_number();
        self.queue_message(claim.instance.address, Body::Ping { number, to: name }, vec![claim], true);
    }

    /// Sends a request for a full comparison to a dead instance or to a seed that is not in the view, so that the fleet
    /// joins again after a partition or a start in separate parts.
    fn reconnect(&mut self) {
        let present = |address: &SocketAddr| {
            self.peers.values().any(|peer| peer.is_present() && peer.claim.instance.address == *address)
        };
        let mut targets: Vec<(SocketAddr, Option<Claim>)> =
            self.seeds.iter().filter(|seed| !present(seed)).map(|seed| (*seed, None)).collect();
        let dead = self.peers.values().filter(|peer| matches!(peer.claim.liveness, Liveness::Dead(_)));
        targets.extend(dead.map(|peer| (peer.claim.instance.address, Some(peer.claim.clone()))));
        if targets.is_empty() {
            return;
        }
        let alone = !self.peers.values().any(|peer| peer.is_present());
        // An instance without any present peer tries three targets at a time, otherwise one.
        for _ in 0..if alone { targets.len().min(3) } else { 1 } {
            let (to, claim) = targets.swap_remove(self.rng.generate_range(0..targets.len()));
            let digest = Some(self.digest());
            self.queue_message(
                to,
                Body::SyncRequest { digest, after: None },
                claim.into_iter().collect(),
                true,
            );
        }
        if alone {
            self.next_reconnect = self.next_reconnect.min(self.latest_time + self.plan.period);
        }
    }

    /// Addresses of up to `count` random present peers.
    fn random_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut present: Vec<_> = self
            .peers
            .values()
            .filter(|peer| peer.is_present())
            .map(|peer| peer.claim.instance.address)
            .collect();
        let count = count.min(present.len());
        for at in 0..count {
            let other = self.rng.generate_range(at..present.len());
            present.swap(at, other);
        }
        present.truncate(count);
        present
    }

    /// `of`, an eighth more or less, so that instances that started together do not stay in step.
    fn jitter(&mut self, of: Tenths) -> Tenths {
        of - of / 8 + self.rng.generate_range(0..=(of / 4).max(1) as u64) as Tenths
    }
}
