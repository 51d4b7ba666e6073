//! State machine of one instance: probes, suspicions, gossip, anti-entropy and reconnection.

mod learn;
mod rounds;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;

use nanorand::{Rng, WyRand};

use crate::claim::{Claim, Instance, Liveness};
use crate::doubt::LocalHealth;
use crate::order::ProbeOrder;
use crate::peer::Peer;
use crate::plan::{BadPlan, MOST_INSTANCES, Plan};
use crate::probe::{IndirectProbe, Probe};
use crate::rumours::GossipQueue;
use crate::wire::{Body, LONGEST, Message, length};
use crate::{Name, Start, Tenths};

/// Maximum number of messages that wait to be pulled. At the bound the oldest is dropped, like a lost datagram.
const MOST_WAITING: usize = 4_096;
/// Maximum number of changes that wait to be pulled: room for one suspicion and one death of each instance. At the bound
/// the oldest is dropped, and [`Change::ChangesDropped`] reports it.
const MOST_CHANGES: usize = 2 * MOST_INSTANCES;
/// Maximum number of concurrent indirect probes for others; a further request is answered with a nack at once.
const MAX_INDIRECT_PROBES: usize = 256;
/// Number of failed probes that are kept, so that a late answer still gives a round-trip sample.
const MAX_LATE_PROBES: usize = 8;

/// An action for the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the message as one datagram; it may be lost.
    Send {
        /// Destination.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Pass the change on to the consumers of the view.
    Tell(Change),
}

/// A change of the view or of this instance's own state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An instance with a new name was added.
    Joined(Instance),
    /// A known name has a later start.
    Restarted(Instance),
    /// The instance is suspected.
    Suspected(Name),
    /// The instance was suspected or gone, and is alive again.
    Returned(Name),
    /// The instance is considered dead.
    Died(Name),
    /// The instance announced that it leaves.
    Left(Name),
    /// This instance's local health score changed to this value (0 to [`LocalHealth::MAX`]).
    LocalHealthChanged(u8),
    /// An earlier run of this instance had a later start, so the start was raised to this one. The host should store its
    /// counter.
    StartRaised(Start),
    /// Another process has this name at another address and with a later start: this one stops sending and deciding.
    Superseded(Instance),
    /// The view is full: this instance was not added.
    ViewFull(Name),
    /// This many changes were dropped because they were not pulled in time: read the whole view.
    ChangesDropped(u64),
}

/// One entry of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewEntry<'a> {
    /// Name, start, address and zone.
    pub instance: &'a Instance,
    /// The known state.
    pub liveness: &'a Liveness,
    /// Time of the last change of the state.
    pub since: Tenths,
}

/// The membership of the fleet as one instance knows it.
pub struct Membership {
    plan: Plan,
    me: Instance,
    incarnation: u32,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<Name, Peer>,
    local_health: LocalHealth,
    gossip_queue: GossipQueue,
    probe_order: ProbeOrder,
    rng: WyRand,
    /// Deadlines of the running suspicions.
    suspicion_deadlines: BTreeSet<(Tenths, Name)>,
    /// Instances to be sent the claim against them, so that they can refute it.
    refutation_pending: BTreeMap<Name, Claim>,
    probe: Option<Probe>,
    late_probes: VecDeque<(u64, Name, Tenths)>,
    indirect_probes: BTreeMap<u64, IndirectProbe>,
    outgoing: VecDeque<Outgoing>,
    changes: VecDeque<Change>,
    dropped_changes: u64,
    number: u64,
    latest_time: Tenths,
    /// The last wake-up time returned to the host.
    expected_wake: Option<Tenths>,
    next_probe: Tenths,
    next_gossip: Tenths,
    next_compare: Tenths,
    next_reconnect: Tenths,
    next_forget: Tenths,
    next_refutation_request: Tenths,
    /// Set after leaving or being superseded: no message is handled and no new one is queued.
    silent: bool,
}

struct Outgoing {
    to: SocketAddr,
    body: Body,
    /// Claims that are always included, before any gossip.
    first: Vec<Claim>,
    /// Whether gossip fills the rest of the message.
    gossip: bool,
}

impl Membership {
    /// Starts an instance. It joins through any of `seeds` that answers; its own address among them is skipped.
    ///
    /// # Errors
    /// [`BadPlan`] names the first invalid value.
    pub fn new(
        plan: Plan,
        me: Instance,
        seeds: &[SocketAddr],
        now: Tenths,
        seed: u64,
    ) -> Result<Membership, BadPlan> {
        plan.check()?;
        let mut rng = WyRand::new_seed(seed);
        let number = rng.generate::<u64>() >> 1;
        let mut random_offset = |of: Tenths| now + rng.generate_range(0..of as u64) as Tenths;
        let (next_probe, next_compare) = (random_offset(plan.period), random_offset(plan.compare));
        let seeds = seeds.iter().filter(|seed| **seed != me.address).copied().collect();
        let mut gossip_queue = GossipQueue::default();
        gossip_queue.enqueue(Claim { instance: me.clone(), incarnation: 0, liveness: Liveness::Alive });
        Ok(Membership {
            plan,
            me,
            incarnation: 0,
            seeds,
            peers: BTreeMap::new(),
            local_health: LocalHealth::default(),
            gossip_queue,
            probe_order: ProbeOrder::default(),
            rng,
            suspicion_deadlines: BTreeSet::new(),
            refutation_pending: BTreeMap::new(),
            probe: None,
            late_probes: VecDeque::new(),
            indirect_probes: BTreeMap::new(),
            outgoing: VecDeque::new(),
            changes: VecDeque::new(),
            dropped_changes: 0,
            number,
            latest_time: now,
            expected_wake: None,
            next_probe,
            next_gossip: now,
            next_compare,
            next_reconnect: now,
            next_forget: now + plan.reach,
            next_refutation_request: now,
            silent: false,
        })
    }

    /// This instance, as announced to the others.
    pub fn me(&self) -> &Instance {
        &self.me
    }

    /// The local health score of this instance.
    pub fn local_health(&self) -> LocalHealth {
        self.local_health
    }

    /// All other known instances in the order of their names, including those that are gone and not yet forgotten.
    pub fn view(&self) -> impl Iterator<Item = ViewEntry<'_>> {
        self.peers.values().map(|peer| ViewEntry {
            instance: &peer.claim.instance,
            liveness: &peer.claim.liveness,
            since: peer.since,
        })
    }

    /// The known state of an instance.
    pub fn liveness_of(&self, name: &Name) -> Option<&Liveness> {
        self.peers.get(name).map(|peer| &peer.claim.liveness)
    }

    /// Announces to up to eight peers that this instance leaves. The host then pulls the remaining messages and stops.
    pub fn leave(&mut self) {
        let claim =
            Claim { instance: self.me.clone(), incarnation: self.incarnation, liveness: Liveness::Left };
        let mut present: Vec<_> = self
            .peers
            .values()
            .filter(|peer| peer.is_present())
            .map(|peer| peer.claim.instance.address)
            .collect();
        self.rng.shuffle(&mut present);
        for to in present.into_iter().take(8) {
            self.queue_message(to, Body::Gossip, vec![claim.clone()], false);
        }
        self.silent = true;
    }

    /// Handles a received message.
    pub fn handle_message(&mut self, now: Tenths, message: &Message) {
        if self.silent || message.fleet != self.plan.fleet {
            return;
        }
        let from = &message.from;
        if from.name == self.me.name && from.start == self.me.start && from.address == self.me.address {
            return;
        }
        let sender_claim =
            Claim { instance: from.clone(), incarnation: message.incarnation, liveness: Liveness::Alive };
        self.handle_sender(now, sender_claim);
        let page = matches!(message.body, Body::SyncPage { .. });
        for claim in &message.claims {
            self.merge_claim(now, claim, page);
        }
        match &message.body {
            Body::Ping { number, to } if *to == self.me.name => {
                self.queue_message(from.address, Body::Ack { number: *number }, Vec::new(), true);
            }
            Body::Ping { .. } | Body::Gossip => {}
            Body::Ack { number } => self.handle_ack(now, *number, &from.name),
            Body::PingReq { number, to, address } => {
                self.handle_ping_req(now, from.address, *number, to, *address)
            }
            Body::Nack { number } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == *number) {
                    probe.nacks += 1;
                }
            }
            Body::SyncRequest { digest, after } => {
                // A request for a further page has no digest, so that the digest is not computed for each page.
                if digest.is_none_or(|digest| digest != self.digest()) {
                    self.queue_page(from.address, after.as_ref());
                }
            }
            Body::SyncPage { next: Some(next) } => {
                let body = Body::SyncRequest { digest: None, after: Some(next.clone()) };
                self.queue_message(from.address, body, Vec::new(), false);
            }
            Body::SyncPage { next: None } => {}
        }
    }

    /// Returns the next action for the host, or `None` if nothing is due.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Decision> {
        self.adjust_for_late_wake(now);
        loop {
            if self.dropped_changes > 0 {
                return Some(Decision::Tell(Change::ChangesDropped(std::mem::take(
                    &mut self.dropped_changes,
                ))));
            }
            if let Some(change) = self.changes.pop_front() {
                return Some(Decision::Tell(change));
            }
            if let Some(outgoing) = self.outgoing.pop_front() {
                return Some(self.build_message(outgoing));
            }
            if self.silent || !self.do_next(now) {
                self.expected_wake = self.wake_at();
                return None;
            }
        }
    }

    /// When to call [`Membership::next_decision`] again if no message arrives before; `None` after leaving or being
    /// superseded.
    pub fn wake_at(&self) -> Option<Tenths> {
        if self.silent {
            return None;
        }
        let periodic = [self.next_compare, self.next_reconnect, self.next_forget];
        let suspicions = self.suspicion_deadlines.first().map(|(at, _)| *at);
        let probe = self.probe.as_ref().map_or(self.next_probe, Probe::due);
        let indirect_probes =
            self.indirect_probes.values().map(|indirect| indirect.nack_at.unwrap_or(indirect.deadline)).min();
        let gossip = (!self.gossip_queue.is_empty()).then_some(self.next_gossip);
        let refutations = (!self.refutation_pending.is_empty()).then_some(self.next_refutation_request);
        periodic
            .into_iter()
            .chain(suspicions)
            .chain([probe])
            .chain(indirect_probes)
            .chain(gossip)
            .chain(refutations)
            .min()
    }

    /// Guards against a process that was stopped: it finds every timer expired and would consider all others dead. So the
    /// time during which it did not run is added to the running time-outs, and its local health score rises.
    fn adjust_for_late_wake(&mut self, now: Tenths) {
        let late = self.expected_wake.take().map_or(0, |due| now - due);
        self.latest_time = self.latest_time.max(now);
        if late <= self.plan.period / 5 {
            return;
        }
        self.degrade_health(1 + late / self.plan.period);
        if let Some(probe) = &mut self.probe {
            probe.postpone(late);
        }
        self.suspicion_deadlines.clear();
        for (name, peer) in &mut self.peers {
            if let Some(suspicion) = &mut peer.suspicion {
                suspicion.postpone(late);
                self.suspicion_deadlines.insert((suspicion.deadline(), name.clone()));
            }
        }
    }

    fn improve_health(&mut self) {
        let before = self.local_health;
        self.local_health.improve();
        if before != self.local_health {
            self.push_change(Change::LocalHealthChanged(self.local_health.score()));
        }
    }

    fn degrade_health(&mut self, by: i64) {
        let before = self.local_health;
        self.local_health.degrade(by);
        if before != self.local_health {
            self.push_change(Change::LocalHealthChanged(self.local_health.score()));
        }
    }

    fn push_change(&mut self, change: Change) {
        if self.changes.len() == MOST_CHANGES {
            self.changes.pop_front();
            self.dropped_changes += 1;
        }
        self.changes.push_back(change);
    }

    fn queue_message(&mut self, to: SocketAddr, body: Body, first: Vec<Claim>, gossip: bool) {
        if self.outgoing.len() == MOST_WAITING {
            self.outgoing.pop_front();
        }
        self.outgoing.push_back(Outgoing { to, body, first, gossip });
    }

    fn build_message(&mut self, outgoing: Outgoing) -> Decision {
        let Outgoing { to, body, first, gossip } = outgoing;
        let mut message = Message {
            fleet: self.plan.fleet,
            from: self.me.clone(),
            incarnation: self.incarnation,
            body,
            claims: first,
        };
        if gossip && !self.gossip_queue.is_empty() {
            // One byte of version, and up to two for the number of claims.
            let room = (LONGEST - 3).saturating_sub(length(&message));
            message.claims.extend(self.gossip_queue.take_batch(room, self.retransmit_limit()));
        }
        Decision::Send { to, message }
    }

    /// How often each instance sends a claim, which is also how often each receives it on average: the binary logarithm of
    /// the size of the fleet, plus 4. Anti-entropy delivers what an instance misses.
    fn retransmit_limit(&self) -> u32 {
        4 + (self.peers.len() as u32 + 2).ilog2()
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Checksum over the names, starts and incarnations of all present instances, including this one.
    fn digest(&self) -> u32 {
        let mut sum = crc32fast::Hasher::new();
        let mut add = |instance: &Instance, incarnation: u32| {
            sum.update(instance.name.as_str().as_bytes());
            sum.update(&instance.start.at.to_le_bytes());
            sum.update(&instance.start.count.to_le_bytes());
            sum.update(&incarnation.to_le_bytes());
        };
        let mut self_added = false;
        for (name, peer) in self.peers.iter().filter(|(_, peer)| peer.is_present()) {
            if !self_added && *name > self.me.name {
                self_added = true;
                add(&self.me, self.incarnation);
            }
            add(&peer.claim.instance, peer.claim.incarnation);
        }
        if !self_added {
            add(&self.me, self.incarnation);
        }
        sum.finalize()
    }

    /// Queues one page of the view: as many entries after `after` as fit into a message.
    fn queue_page(&mut self, to: SocketAddr, after: Option<&Name>) {
        let mine =
            Claim { instance: self.me.clone(), incarnation: self.incarnation, liveness: Liveness::Alive };
        // Reserves space for the number of claims and for the name to continue after.
        let mut room = (LONGEST - 3 - Name::LONGEST - 64).saturating_sub(length(&mine));
        let (mut claims, mut next) = (Vec::new(), None);
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        for (_, peer) in self.peers.range::<Name, _>((from, Bound::Unbounded)) {
            let takes = length(&peer.claim);
            if takes > room {
                next = claims.last().map(|claim: &Claim| claim.instance.name.clone());
                break;
            }
            room -= takes;
            claims.push(peer.claim.clone());
        }
        self.queue_message(to, Body::SyncPage { next }, claims, false);
    }

    /// Makes room for one more name: at the bound, forgets the instance that has been gone for longest. Returns false if
    /// none is gone.
    fn make_room(&mut self) -> bool {
        if self.peers.len() < MOST_INSTANCES {
            return true;
        }
        let gone = self.peers.iter().filter(|(_, peer)| !peer.is_present());
        let longest = gone.min_by_key(|(_, peer)| peer.since).map(|(name, _)| name.clone());
        longest.is_some_and(|name| self.peers.remove(&name).is_some())
    }
}
