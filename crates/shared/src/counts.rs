//! Recent event counts over all routers: a counter that merges in any order, decays exponentially with time and reports
//! the age of its parts.
//!
//! Every incarnation of a router keeps a tally of its own and publishes it with a version. Of two tallies of one
//! incarnation the one with the higher version counts, so duplicate and late messages change nothing. A received tally
//! decays by the receiver's clock, starting from the age in the message. That age does not include the time in flight,
//! so it is a lower bound.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::WyRand;
use serde::{Deserialize, Serialize};
use vetchkeel_membership::{Name, Start, Tenths};

use crate::spread::{GossipQueue, random_peers, transmit_limit};
use crate::wire::{Body, Decision, LONGEST, Message, length};

/// Maximum number of tallies kept. At the limit the tally of another router that was updated longest ago is evicted,
/// never one of this router.
pub const MAX_TALLIES: usize = 16_384;
/// Maximum number of topics of one router. Events of a further topic are not counted, and [`Counts::add`] returns
/// false.
pub const MAX_TOPICS: usize = 256;
/// Number of peers that receive each update round.
const FANOUT: usize = 2;
/// Decay ticks per half-life; 62757 / 65536 = 2^(-1/16) of the value remains after each tick.
const TICKS_PER_HALF_LIFE: i64 = 16;
const DECAY_PER_TICK: u64 = 62_757;
/// After this many half-lives a tally counts as zero.
const MAX_HALF_LIVES: i64 = 20;
/// Fixed-point units of one event.
const UNITS_PER_EVENT: u64 = 1_024;

/// Identifies what is counted, by a number that all routers of one build share.
pub type Topic = u32;

/// The tally of one incarnation for a topic, as sent on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    topic: Topic,
    router: Name,
    start: Start,
    version: u64,
    /// In 1024ths of an event, as of `age` ago.
    value: u64,
    age: Tenths,
}

/// A count over the fleet, for one topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Events of all routers, decayed.
    pub total: u64,
    /// The part of them counted by this router.
    pub own: u64,
    /// Live routers whose tally is included, this one among them.
    pub included: usize,
    /// Number of live routers.
    pub live: usize,
    /// Age of the oldest tally of a live router; a lower bound.
    pub oldest: Tenths,
}

type Key = (Topic, Name, Start);

struct StoredTally {
    version: u64,
    value: u64,
    /// When the value was current, by this router's clock.
    at: Tenths,
}

/// One router's part in the shared counts.
pub struct Counts {
    me: Name,
    start: Start,
    tick: Tenths,
    gossip_interval: Tenths,
    live: BTreeSet<Name>,
    held: BTreeMap<Key, StoredTally>,
    gossip: GossipQueue<Key>,
    changed: BTreeSet<Topic>,
    next_round: Tenths,
    outbox: Vec<(Name, Message)>,
    chance: WyRand,
}

impl Counts {
    /// The counts of `me` in its incarnation `start`. A count halves every `half_life`, and updates are sent every
    /// `gossip_interval`.
    pub fn new(
        me: Name,
        start: Start,
        half_life: Tenths,
        gossip_interval: Tenths,
        now: Tenths,
        seed: u64,
    ) -> Counts {
        Counts {
            live: BTreeSet::from([me.clone()]),
            me,
            start,
            tick: (half_life / TICKS_PER_HALF_LIFE).max(1),
            gossip_interval: gossip_interval.max(1),
            held: BTreeMap::new(),
            gossip: GossipQueue::new(),
            changed: BTreeSet::new(),
            next_round: now + gossip_interval.max(1),
            outbox: Vec::new(),
            chance: WyRand::new_seed(seed),
        }
    }

    /// Sets the live routers according to the membership.
    pub fn set_live(&mut self, mut live: BTreeSet<Name>) {
        live.insert(self.me.clone());
        self.live = live;
    }

    /// Counts `times` events of `topic`. Returns false if there is no room for a further topic.
    pub fn add(&mut self, now: Tenths, topic: Topic, times: u32) -> bool {
        let key = (topic, self.me.clone(), self.start);
        let topics = self.held.keys().filter(|key| key.1 == self.me && key.2 == self.start).count();
        if !self.held.contains_key(&key) && topics >= MAX_TOPICS {
            return false;
        }
        let tick = self.tick;
        let held = self.held.entry(key).or_insert(StoredTally { version: 0, value: 0, at: now });
        // Advance by whole ticks only, so that the remainder decays with the next ones.
        let elapsed = (now - held.at).max(0) / tick;
        held.value = decayed(held.value, elapsed).saturating_add(u64::from(times) * UNITS_PER_EVENT);
        held.at += elapsed * tick;
        self.changed.insert(topic);
        true
    }

    /// Handles a received message. Returns false if the message is not for this module.
    pub fn handle_message(&mut self, now: Tenths, message: &Message) -> bool {
        let Body::Counts(tallies) = &message.body else { return false };
        for tally in tallies {
            self.merge(now, tally);
        }
        true
    }

    /// The count of `topic`, from the tallies known to this router.
    pub fn read(&self, now: Tenths, topic: Topic) -> Reading {
        let mut reading = Reading { total: 0, own: 0, included: 0, live: self.live.len(), oldest: 0 };
        let mut included = BTreeSet::new();
        let own_key = (topic, self.me.clone(), self.start);
        let from = self.held.range(..).filter(|(key, _)| key.0 == own_key.0);
        for ((_, router, _), held) in from {
            let value = decayed(held.value, (now - held.at).max(0) / self.tick);
            reading.total += value;
            if *router == self.me {
                reading.own += value;
            }
            if self.live.contains(router) {
                included.insert(router);
                let age = if *router == self.me { 0 } else { now - held.at };
                reading.oldest = reading.oldest.max(age);
            }
        }
        reading.included = included.len();
        reading.total = (reading.total + UNITS_PER_EVENT / 2) / UNITS_PER_EVENT;
        reading.own = (reading.own + UNITS_PER_EVENT / 2) / UNITS_PER_EVENT;
        reading
    }

    /// The next decision; the host calls this until it returns `None`.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Decision> {
        if now >= self.next_round {
            self.next_round = now + self.gossip_interval;
            self.publish(now);
        }
        self.outbox.pop().map(|(to, message)| Decision::Send { to, message })
    }

    /// When to call [`Counts::next_decision`] again if no message arrives before.
    pub fn wake_at(&self) -> Tenths {
        self.next_round
    }

    fn publish(&mut self, now: Tenths) {
        let (tick, expired_after) = (self.tick, TICKS_PER_HALF_LIFE * MAX_HALF_LIVES);
        let (held, gossip) = (&mut self.held, &mut self.gossip);
        held.retain(|key, held| {
            let keep = (now - held.at) / tick < expired_after;
            if !keep {
                gossip.remove(key);
            }
            keep
        });
        for topic in std::mem::take(&mut self.changed) {
            let key = (topic, self.me.clone(), self.start);
            if let Some(held) = self.held.get_mut(&key) {
                held.version += 1;
                self.gossip.push(key);
            }
        }
        if self.gossip.is_empty() {
            return;
        }
        let mut message =
            Message { from: self.me.clone(), start: self.start, body: Body::Counts(Vec::new()) };
        let room = (LONGEST - 4).saturating_sub(length(&message));
        let limit = transmit_limit(self.live.len());
        let held = &self.held;
        let selected =
            self.gossip.select(room, limit, |key| tally(key, held, now).map_or(0, |tally| length(&tally)));
        message.body = Body::Counts(selected.iter().filter_map(|key| tally(key, held, now)).collect());
        for to in random_peers(&self.live, &self.me, FANOUT, &mut self.chance) {
            self.outbox.push((to, message.clone()));
        }
    }

    fn merge(&mut self, now: Tenths, tally: &Tally) {
        let key = (tally.topic, tally.router.clone(), tally.start);
        // Danger: a tally of this incarnation that peers send back is never newer than the local one.
        if tally.router == self.me && tally.start == self.start {
            return;
        }
        if self.held.get(&key).is_some_and(|held| held.version >= tally.version) {
            return;
        }
        let at = now - tally.age.clamp(0, self.tick * TICKS_PER_HALF_LIFE * MAX_HALF_LIVES);
        if !self.held.contains_key(&key) && self.held.len() >= MAX_TALLIES {
            let others = self.held.iter().filter(|(key, _)| key.1 != self.me);
            let Some(oldest) = others.min_by_key(|(_, held)| held.at).map(|(key, _)| key.clone()) else {
                return;
            };
            self.held.remove(&oldest);
            self.gossip.remove(&oldest);
        }
        self.held.insert(key.clone(), StoredTally { version: tally.version, value: tally.value, at });
        self.gossip.push(key);
    }
}

fn tally(key: &Key, held: &BTreeMap<Key, StoredTally>, now: Tenths) -> Option<Tally> {
    let StoredTally { version, value, at } = *held.get(key)?;
    let (topic, router, start) = key.clone();
    Some(Tally { topic, router, start, version, value, age: (now - at).max(0) })
}

/// The value that remains of `value` after `ticks`.
fn decayed(value: u64, ticks: i64) -> u64 {
    if ticks >= TICKS_PER_HALF_LIFE * MAX_HALF_LIVES {
        return 0;
    }
    let halved = value >> (ticks / TICKS_PER_HALF_LIFE);
    (0..ticks % TICKS_PER_HALF_LIFE)
        .fold(halved, |remaining, _| ((u128::from(remaining) * u128::from(DECAY_PER_TICK)) >> 16) as u64)
}
