//! What routers hold against a database member, and when that counts for all.
//!
//! A judgement is one router's, about one life of a member, and expires. A member is dark for the fleet only while more
//! than a told part of the electorate holds against its present life: a minority never darkens it for the rest. What was
//! held against an earlier life dies with it.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::WyRand;
use serde::{Deserialize, Serialize};
use vetchkeel_membership::{Name, Start, Tenths};

use crate::spread::{Spread, some, times};
use crate::wire::{Body, Decision, LONGEST, Message, length};

/// Most judgements kept. At the bound one of another router is not taken; an own one always is.
pub const MOST: usize = 65_536;
/// Most members whose life is remembered, above 4,900; at the bound a further one is not, and its judgements count by
/// their own start.
pub const MOST_MEMBERS: usize = 8_192;
/// Told to so many in one round.
const FANOUT: usize = 3;

/// One router's judgement, as it goes over the link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Judgement {
    /// The member.
    pub member: Name,
    /// Its life, as it tells itself.
    pub member_start: u64,
    /// Who holds it.
    pub observer: Name,
    /// In which life.
    pub observer_start: Start,
    /// Grows with each judgement of one life of the observer.
    pub version: u64,
    /// Against the member; false takes it back.
    pub against: bool,
    /// How long it still counts.
    pub left: Tenths,
}

/// More than `of` / `in_all` of the electorate must agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Numerator.
    pub of: usize,
    /// Denominator.
    pub in_all: usize,
}

/// The terms of judging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// The part that must be passed: at least one half.
    pub part: Part,
    /// How long a judgement counts unless it is repeated.
    pub lasts: Tenths,
    /// How long a router that is gone still belongs to the electorate.
    ///
    /// Danger: a router cut off with a few others sees all the rest die. If the electorate shrank with its view, the few
    /// would be a majority of themselves at once.
    pub lingers: Tenths,
    /// Time between two rounds of news.
    pub every: Tenths,
}

/// Rules that can't be used: the part is below one half or not below one, or a time is not above zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadRules;

impl std::fmt::Display for BadRules {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "expected a part of at least one half and below one, and times above zero")
    }
}

impl std::error::Error for BadRules {}

/// What is held against a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Does it count for all?
    pub dark: bool,
    /// Routers of the electorate that hold against it.
    pub against: usize,
    /// The electorate.
    pub electorate: usize,
}

/// Something that changed, or is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// Send it.
    Send(Decision),
    /// The member in this life is dark from now on.
    Dark(Name, u64),
    /// It is not any more.
    Light(Name, u64),
}

type Key = (Name, Name);

struct Held {
    member_start: u64,
    observer_start: Start,
    version: u64,
    against: bool,
    until: Tenths,
}

/// One router's part in judging.
pub struct Judgements {
    me: Name,
    start: Start,
    rules: Rules,
    version: u64,
    /// Who belongs to the electorate; those that are gone, since when.
    electorate: BTreeMap<Name, Option<Tenths>>,
    live: BTreeSet<Name>,
    /// By member, then observer.
    held: BTreeMap<Name, BTreeMap<Name, Held>>,
    kept: usize,
    /// Members whose verdict may have changed.
    unsettled: BTreeSet<Name>,
    lives: BTreeMap<Name, u64>,
    dark: BTreeSet<(Name, u64)>,
    spread: Spread<Key>,
    next: Tenths,
    waiting: Vec<Ruling>,
    chance: WyRand,
}

impl Judgements {
    /// The part of `me` in its life `start`.
    ///
    /// # Errors
    /// [`BadRules`].
    pub fn new(me: Name, start: Start, rules: Rules, now: Tenths, seed: u64) -> Result<Judgements, BadRules> {
        let Rules { part, lasts, lingers, every } = rules;
        if 2 * part.of < part.in_all || part.of >= part.in_all || lasts <= 0 || lingers <= 0 || every <= 0 {
            return Err(BadRules);
        }
        Ok(Judgements {
            electorate: BTreeMap::from([(me.clone(), None)]),
            live: BTreeSet::from([me.clone()]),
            me,
            start,
            rules,
            version: 0,
            held: BTreeMap::new(),
            kept: 0,
            unsettled: BTreeSet::new(),
            lives: BTreeMap::new(),
            dark: BTreeSet::new(),
            spread: Spread::new(),
            next: now + every,
            waiting: Vec::new(),
            chance: WyRand::new_seed(seed),
        })
    }

    /// Who is there, by the membership.
    pub fn live(&mut self, now: Tenths, mut live: BTreeSet<Name>) {
        live.insert(self.me.clone());
        for (name, gone) in &mut self.electorate {
            match (live.contains(name), &gone) {
                (true, _) => *gone = None,
                (false, None) => *gone = Some(now),
                (false, Some(_)) => {}
            }
        }
        for name in &live {
            self.electorate.entry(name.clone()).or_insert(None);
        }
        self.live = live;
        self.unsettled.extend(self.held.keys().cloned());
    }

    /// One that said that it goes no longer belongs to the electorate.
    pub fn left(&mut self, name: &Name) {
        if *name != self.me {
            self.electorate.remove(name);
            self.unsettled.extend(self.held.keys().cloned());
        }
    }

    /// This router has seen the member in this life itself: what is held against earlier ones is dropped.
    pub fn seen(&mut self, member: &Name, member_start: u64) {
        if !self.lives.contains_key(member) && self.lives.len() >= MOST_MEMBERS {
            return;
        }
        let life = self.lives.entry(member.clone()).or_insert(member_start);
        *life = member_start.max(*life);
        let life = *life;
        self.drop_where(|of, _, held| of == member && held.member_start < life);
    }

    /// This router judges, or takes it back. To keep a judgement it is repeated before it expires.
    pub fn judge(&mut self, now: Tenths, member: &Name, member_start: u64, against: bool) {
        if self.lives.get(member).is_some_and(|life| *life > member_start) {
            return;
        }
        self.version += 1;
        let key = (member.clone(), self.me.clone());
        let until = now + self.rules.lasts;
        let (observer_start, version) = (self.start, self.version);
        self.keep(key, Held { member_start, observer_start, version, against, until });
    }

    /// A message has come. False if it was not for this part.
    pub fn heard(&mut self, now: Tenths, message: &Message) -> bool {
        let Body::Judgements(judgements) = &message.body else { return false };
        for judgement in judgements {
            self.take(now, judgement);
        }
        true
    }

    /// What is held against a life of a member.
    pub fn verdict(&self, now: Tenths, member: &Name, member_start: u64) -> Verdict {
        let electorate = self.electorate.len();
        let against = self.of_member(member).filter(|(observer, held)| {
            held.against
                && now < held.until
                && held.member_start == member_start
                && self.electorate.contains_key(*observer)
        });
        let against = against.count();
        // One alone never decides for a fleet, not even for a fleet of one: it has its own breakers.
        let dark = against >= 2 && against * self.rules.part.in_all > electorate * self.rules.part.of;
        Verdict { dark, against, electorate }
    }

    /// The next thing to do, until none is left.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Ruling> {
        if now >= self.next {
            self.next = now + self.rules.every;
            self.publish(now);
            // What expires without a word is found here.
            self.unsettled.extend(self.dark.iter().map(|(member, _)| member.clone()));
            let (before, lingers) = (self.electorate.len(), self.rules.lingers);
            self.electorate.retain(|_, gone| gone.is_none_or(|since| now < since + lingers));
            if before != self.electorate.len() {
                self.unsettled.extend(self.held.keys().cloned());
            }
        }
        while let Some(member) = self.unsettled.pop_first() {
            self.rule(now, &member);
        }
        self.waiting.pop()
    }

    /// When to come back if nothing is heard before.
    pub fn wake_at(&self) -> Tenths {
        self.next
    }

    fn of_member<'a>(&'a self, member: &Name) -> impl Iterator<Item = (&'a Name, &'a Held)> {
        self.held.get(member).into_iter().flatten()
    }

    /// Compares what is dark with what was.
    fn rule(&mut self, now: Tenths, member: &Name) {
        let against =
            self.of_member(member).filter(|(_, held)| held.against).map(|(_, held)| held.member_start);
        let mut lives: BTreeSet<u64> = against.collect();
        lives.extend(self.dark.iter().filter(|(of, _)| of == member).map(|(_, life)| *life));
        for life in lives {
            let dark = self.verdict(now, member, life).dark;
            let of = (member.clone(), life);
            if dark && self.dark.insert(of.clone()) {
                self.waiting.push(Ruling::Dark(of.0, life));
            } else if !dark && self.dark.remove(&of) {
                self.waiting.push(Ruling::Light(of.0, life));
            }
        }
    }

    fn keep(&mut self, key: Key, held: Held) {
        self.unsettled.insert(key.0.clone());
        self.kept +=
            usize::from(self.held.entry(key.0.clone()).or_default().insert(key.1.clone(), held).is_none());
        self.spread.renew(key);
    }

    fn drop_where(&mut self, drops: impl Fn(&Name, &Name, &Held) -> bool) {
        let (spread, unsettled, kept) = (&mut self.spread, &mut self.unsettled, &mut self.kept);
        self.held.retain(|member, by| {
            by.retain(|observer, held| {
                let dropped = drops(member, observer, held);
                if dropped {
                    *kept -= 1;
                    spread.drop(&(member.clone(), observer.clone()));
                    unsettled.insert(member.clone());
                }
                !dropped
            });
            !by.is_empty()
        });
    }

    fn publish(&mut self, now: Tenths) {
        // An expired one is kept for as long again: a late message must not bring it back.
        let lasts = self.rules.lasts;
        self.drop_where(|_, _, held| now >= held.until + lasts);
        if self.spread.is_empty() {
            return;
        }
        let mut message =
            Message { from: self.me.clone(), start: self.start, body: Body::Judgements(Vec::new()) };
        let room = (LONGEST - 4).saturating_sub(length(&message));
        let held = &self.held;
        let takes = |key: &Key| judgement(key, held, now).map_or(0, |judgement| length(&judgement));
        let picked = self.spread.pick(room, times(self.live.len()), takes);
        message.body = Body::Judgements(picked.iter().filter_map(|key| judgement(key, held, now)).collect());
        for to in some(&self.live, &self.me, FANOUT, &mut self.chance) {
            self.waiting.push(Ruling::Send(Decision::Send { to, message: message.clone() }));
        }
    }

    fn take(&mut self, now: Tenths, told: &Judgement) {
        if told.observer == self.me
            || self.lives.get(&told.member).is_some_and(|life| *life > told.member_start)
        {
            return;
        }
        let key = (told.member.clone(), told.observer.clone());
        let age = |held: &Held| (held.observer_start, held.version);
        match self.held.get(&key.0).and_then(|by| by.get(&key.1)) {
            Some(held) if age(held) >= (told.observer_start, told.version) => return,
            None if self.kept >= MOST => return,
            _ => {}
        }
        let until = now + told.left.clamp(0, self.rules.lasts);
        let Judgement { member_start, observer_start, version, against, .. } = *told;
        self.keep(key, Held { member_start, observer_start, version, against, until });
    }
}

fn judgement(key: &Key, held: &BTreeMap<Name, BTreeMap<Name, Held>>, now: Tenths) -> Option<Judgement> {
    // One that has expired is told to nobody.
    let held = held.get(&key.0)?.get(&key.1).filter(|held| now < held.until)?;
    Some(Judgement {
        member: key.0.clone(),
        member_start: held.member_start,
        observer: key.1.clone(),
        observer_start: held.observer_start,
        version: held.version,
        against: held.against,
        left: (held.until - now).max(0),
    })
}
