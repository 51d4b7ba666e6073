//! How often something happened lately, over all routers: a counter that merges in any order, halves with time, and says
//! how old its parts are.
//!
//! Every life of a router keeps a tally of its own and publishes it under a version; of two tallies of one life the higher
//! version counts, so doubles and late messages change nothing. A tally fades on its holder's clock from the age that it
//! came with. The time a message was on its way is not in that age: the age told is the least it can be.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::WyRand;
use serde::{Deserialize, Serialize};
use vetchkeel_membership::{Name, Start, Tenths};

use crate::spread::{Spread, some, times};
use crate::wire::{Body, Decision, LONGEST, Message, length};

/// Most tallies kept. At the bound the one heard longest ago goes, never an own one.
pub const MOST: usize = 16_384;
/// Most topics of one router; a further one is not counted, and [`Counts::add`] says so.
pub const MOST_TOPICS: usize = 256;
/// Told to so many in one round.
const FANOUT: usize = 2;
/// A tally loses half in so many ticks, and 62757 / 65536 = 2^(-1/16) is left after each.
const TICKS: i64 = 16;
const LEFT: u64 = 62_757;
/// After so many halvings nothing is left of a tally.
const HALVINGS: i64 = 20;
/// Parts of one event.
const PARTS: u64 = 1_024;

/// What is counted, by the number that all routers of one build give it.
pub type Topic = u32;

/// One life's tally of a topic, as it goes over the link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    topic: Topic,
    of: Name,
    start: Start,
    version: u64,
    /// In 1024ths of an event, at the time of its age.
    value: u64,
    age: Tenths,
}

/// A count over the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Events, faded.
    pub total: u64,
    /// Of these, counted here.
    pub own: u64,
    /// Live routers whose tally is in it, this one with them.
    pub heard: usize,
    /// Live routers.
    pub live: usize,
    /// Age of the oldest part of a live router: at least that.
    pub oldest: Tenths,
}

type Key = (Topic, Name, Start);

struct Held {
    version: u64,
    value: u64,
    /// When the value was that, on this router's clock.
    at: Tenths,
}

/// One router's part in the counts.
pub struct Counts {
    me: Name,
    start: Start,
    tick: Tenths,
    every: Tenths,
    live: BTreeSet<Name>,
    held: BTreeMap<Key, Held>,
    spread: Spread<Key>,
    dirty: BTreeSet<Topic>,
    next: Tenths,
    waiting: Vec<(Name, Message)>,
    chance: WyRand,
}

impl Counts {
    /// The part of `me` in its life `start`: a count loses half in `half_life`, news goes out `every` so often.
    pub fn new(me: Name, start: Start, half_life: Tenths, every: Tenths, now: Tenths, seed: u64) -> Counts {
        Counts {
            live: BTreeSet::from([me.clone()]),
            me,
            start,
            tick: (half_life / TICKS).max(1),
            every: every.max(1),
            held: BTreeMap::new(),
            spread: Spread::new(),
            dirty: BTreeSet::new(),
            next: now + every.max(1),
            waiting: Vec::new(),
            chance: WyRand::new_seed(seed),
        }
    }

    /// Who is there, by the membership.
    pub fn live(&mut self, mut live: BTreeSet<Name>) {
        live.insert(self.me.clone());
        self.live = live;
    }

    /// It happened `times` times. False if there is no room for a further topic.
    pub fn add(&mut self, now: Tenths, topic: Topic, times: u32) -> bool {
        let key = (topic, self.me.clone(), self.start);
        let topics = self.held.keys().filter(|key| key.1 == self.me && key.2 == self.start).count();
        if !self.held.contains_key(&key) && topics >= MOST_TOPICS {
            return false;
        }
        let tick = self.tick;
        let held = self.held.entry(key).or_insert(Held { version: 0, value: 0, at: now });
        // Whole ticks only, so that what is left over fades with the next ones.
        let passed = (now - held.at).max(0) / tick;
        held.value = faded(held.value, passed).saturating_add(u64::from(times) * PARTS);
        held.at += passed * tick;
        self.dirty.insert(topic);
        true
    }

    /// A message has come. False if it was not for this part.
    pub fn heard(&mut self, now: Tenths, message: &Message) -> bool {
        let Body::Counts(tallies) = &message.body else { return false };
        for tally in tallies {
            self.merge(now, tally);
        }
        true
    }

    /// The count of `topic` as far as it is known here.
    pub fn read(&self, now: Tenths, topic: Topic) -> Reading {
        let mut reading = Reading { total: 0, own: 0, heard: 0, live: self.live.len(), oldest: 0 };
        let mut heard = BTreeSet::new();
        let nobody = (topic, self.me.clone(), self.start);
        let from = self.held.range(..).filter(|(key, _)| key.0 == nobody.0);
        for ((_, of, _), held) in from {
            let value = faded(held.value, (now - held.at).max(0) / self.tick);
            reading.total += value;
            if *of == self.me {
                reading.own += value;
            }
            if self.live.contains(of) {
                heard.insert(of);
                let age = if *of == self.me { 0 } else { now - held.at };
                reading.oldest = reading.oldest.max(age);
            }
        }
        reading.heard = heard.len();
        reading.total = (reading.total + PARTS / 2) / PARTS;
        reading.own = (reading.own + PARTS / 2) / PARTS;
        reading
    }

    /// The next thing to do, until none is left.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Decision> {
        if now >= self.next {
            self.next = now + self.every;
            self.publish(now);
        }
        self.waiting.pop().map(|(to, message)| Decision::Send { to, message })
    }

    /// When to come back if nothing is heard before.
    pub fn wake_at(&self) -> Tenths {
        self.next
    }

    fn publish(&mut self, now: Tenths) {
        let (tick, gone) = (self.tick, TICKS * HALVINGS);
        let (held, spread) = (&mut self.held, &mut self.spread);
        held.retain(|key, held| {
            let kept = (now - held.at) / tick < gone;
            if !kept {
                spread.drop(key);
            }
            kept
        });
        for topic in std::mem::take(&mut self.dirty) {
            let key = (topic, self.me.clone(), self.start);
            if let Some(held) = self.held.get_mut(&key) {
                held.version += 1;
                self.spread.renew(key);
            }
        }
        if self.spread.is_empty() {
            return;
        }
        let mut message =
            Message { from: self.me.clone(), start: self.start, body: Body::Counts(Vec::new()) };
        let room = (LONGEST - 4).saturating_sub(length(&message));
        let times = times(self.live.len());
        let held = &self.held;
        let picked =
            self.spread.pick(room, times, |key| tally(key, held, now).map_or(0, |tally| length(&tally)));
        message.body = Body::Counts(picked.iter().filter_map(|key| tally(key, held, now)).collect());
        for to in some(&self.live, &self.me, FANOUT, &mut self.chance) {
            self.waiting.push((to, message.clone()));
        }
    }

    fn merge(&mut self, now: Tenths, tally: &Tally) {
        let key = (tally.topic, tally.of.clone(), tally.start);
        // Danger: an own tally that comes back is never newer than what is counted here.
        if tally.of == self.me && tally.start == self.start {
            return;
        }
        if self.held.get(&key).is_some_and(|held| held.version >= tally.version) {
            return;
        }
        let at = now - tally.age.clamp(0, self.tick * TICKS * HALVINGS);
        if !self.held.contains_key(&key) && self.held.len() >= MOST {
            let others = self.held.iter().filter(|(key, _)| key.1 != self.me);
            let Some(oldest) = others.min_by_key(|(_, held)| held.at).map(|(key, _)| key.clone()) else {
                return;
            };
            self.held.remove(&oldest);
            self.spread.drop(&oldest);
        }
        self.held.insert(key.clone(), Held { version: tally.version, value: tally.value, at });
        self.spread.renew(key);
    }
}

fn tally(key: &Key, held: &BTreeMap<Key, Held>, now: Tenths) -> Option<Tally> {
    let Held { version, value, at } = *held.get(key)?;
    let (topic, of, start) = key.clone();
    Some(Tally { topic, of, start, version, value, age: (now - at).max(0) })
}

/// What is left of `value` after `ticks`.
fn faded(value: u64, ticks: i64) -> u64 {
    if ticks >= TICKS * HALVINGS {
        return 0;
    }
    let halved = value >> (ticks / TICKS);
    (0..ticks % TICKS).fold(halved, |left, _| ((u128::from(left) * u128::from(LEFT)) >> 16) as u64)
}
