//! Failure evidence of routers against a database member, and when it marks the member down for the whole fleet.
//!
//! A judgement is the evidence of one router about one incarnation of a member, and expires. A member is down for the
//! fleet only while more than a configured fraction of the electorate has evidence against its present incarnation, so
//! that a minority never marks it down for the others. Evidence against an earlier incarnation is dropped with that
//! incarnation.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::WyRand;
use serde::{Deserialize, Serialize};
use vetchkeel_membership::{Name, Start, Tenths};

use crate::spread::{GossipQueue, random_peers, transmit_limit};
use crate::wire::{Body, Decision, LONGEST, Message, length};

/// Maximum number of judgements kept. At the limit a new one of another router is rejected; those of this router are
/// always kept.
pub const MAX_JUDGEMENTS: usize = 65_536;
/// Maximum number of members whose incarnation is remembered, chosen above 4,900 members. At the limit a further
/// member's incarnation is not remembered, and judgements about it count for the incarnation they name.
pub const MAX_MEMBERS: usize = 8_192;
/// Number of peers that receive each update round.
const FANOUT: usize = 3;

/// The judgement of one router, as sent on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Judgement {
    /// The member.
    pub member: Name,
    /// The member's incarnation, as reported by the member.
    pub member_start: u64,
    /// The router that made the judgement.
    pub observer: Name,
    /// The observer's incarnation.
    pub observer_start: Start,
    /// Version of the judgement; grows with each judgement of one incarnation of the observer.
    pub version: u64,
    /// Whether the observer considers the member failed; false withdraws an earlier judgement.
    pub against: bool,
    /// The remaining time to live.
    pub ttl: Tenths,
}

/// A quorum: more than `numerator` / `denominator` of the electorate must agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuorumFraction {
    /// Numerator.
    pub numerator: usize,
    /// Denominator.
    pub denominator: usize,
}

/// The rules by which judgements mark a member down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// The fraction that must be exceeded; at least one half.
    pub quorum: QuorumFraction,
    /// Time to live of a judgement unless it is repeated.
    pub judgement_ttl: Tenths,
    /// How long a departed router still counts in the electorate.
    ///
    /// Danger: a router that is partitioned with a few others sees all the rest as dead. If the electorate shrank with
    /// its view, this minority would at once be a majority of its own view.
    pub departed_ttl: Tenths,
    /// Time between two update rounds.
    pub gossip_interval: Tenths,
}

/// Invalid rules: the fraction is below one half or not below one, or a time is not above zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRules;

impl std::fmt::Display for InvalidRules {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "expected a quorum fraction of at least one half and below one, and times above zero")
    }
}

impl std::error::Error for InvalidRules {}

/// The result of all judgements about one incarnation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the member is down for the whole fleet.
    pub down: bool,
    /// Number of routers of the electorate with unexpired evidence against it.
    pub against: usize,
    /// Size of the electorate.
    pub electorate: usize,
}

/// A message to send or a change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send(Decision),
    /// The incarnation of the member is down from now on.
    Down(Name, u64),
    /// The incarnation of the member is no longer down.
    Recovered(Name, u64),
}

type Key = (Name, Name);

struct StoredJudgement {
    member_start: u64,
    observer_start: Start,
    version: u64,
    against: bool,
    until: Tenths,
}

/// One router's part in the shared judgements.
pub struct Judgements {
    me: Name,
    start: Start,
    rules: Rules,
    version: u64,
    /// The electorate, with the time of departure of routers that are no longer live.
    electorate: BTreeMap<Name, Option<Tenths>>,
    live: BTreeSet<Name>,
    /// The judgements by member and then observer.
    held: BTreeMap<Name, BTreeMap<Name, StoredJudgement>>,
    count: usize,
    /// Members whose verdict must be evaluated again.
    to_evaluate: BTreeSet<Name>,
    incarnations: BTreeMap<Name, u64>,
    down: BTreeSet<(Name, u64)>,
    gossip: GossipQueue<Key>,
    next_round: Tenths,
    outbox: Vec<Output>,
    chance: WyRand,
}

impl Judgements {
    /// The judgements of `me` in its incarnation `start`.
    ///
    /// # Errors
    /// [`InvalidRules`] if the rules are invalid.
    pub fn new(
        me: Name,
        start: Start,
        rules: Rules,
        now: Tenths,
        seed: u64,
    ) -> Result<Judgements, InvalidRules> {
        let Rules { quorum, judgement_ttl, departed_ttl, gossip_interval } = rules;
        if 2 * quorum.numerator < quorum.denominator
            || quorum.numerator >= quorum.denominator
            || judgement_ttl <= 0
            || departed_ttl <= 0
            || gossip_interval <= 0
        {
            return Err(InvalidRules);
        }
        Ok(Judgements {
            electorate: BTreeMap::from([(me.clone(), None)]),
            live: BTreeSet::from([me.clone()]),
            me,
            start,
            rules,
            version: 0,
            held: BTreeMap::new(),
            count: 0,
            to_evaluate: BTreeSet::new(),
            incarnations: BTreeMap::new(),
            down: BTreeSet::new(),
            gossip: GossipQueue::new(),
            next_round: now + gossip_interval,
            outbox: Vec::new(),
            chance: WyRand::new_seed(seed),
        })
    }

    /// Sets the live routers according to the membership.
    pub fn set_live(&mut self, now: Tenths, mut live: BTreeSet<Name>) {
        live.insert(self.me.clone());
        for (name, departed) in &mut self.electorate {
            match (live.contains(name), &departed) {
                (true, _) => *departed = None,
                (false, None) => *departed = Some(now),
                (false, Some(_)) => {}
            }
        }
        for name in &live {
            self.electorate.entry(name.clone()).or_insert(None);
        }
        self.live = live;
        self.to_evaluate.extend(self.held.keys().cloned());
    }

    /// Removes a router that has announced its departure from the electorate.
    pub fn remove_router(&mut self, name: &Name) {
        if *name != self.me {
            self.electorate.remove(name);
            self.to_evaluate.extend(self.held.keys().cloned());
        }
    }

    /// Records that this router has seen this incarnation of the member itself. Judgements about earlier incarnations
    /// are dropped.
    pub fn observe_incarnation(&mut self, member: &Name, member_start: u64) {
        if !self.incarnations.contains_key(member) && self.incarnations.len() >= MAX_MEMBERS {
            return;
        }
        let incarnation = self.incarnations.entry(member.clone()).or_insert(member_start);
        *incarnation = member_start.max(*incarnation);
        let incarnation = *incarnation;
        self.remove_where(|of, _, held| of == member && held.member_start < incarnation);
    }

    /// Records or withdraws this router's judgement. To stay in effect, it must be repeated before it expires.
    pub fn judge(&mut self, now: Tenths, member: &Name, member_start: u64, against: bool) {
        if self.incarnations.get(member).is_some_and(|incarnation| *incarnation > member_start) {
            return;
        }
        self.version += 1;
        let key = (member.clone(), self.me.clone());
        let until = now + self.rules.judgement_ttl;
        let (observer_start, version) = (self.start, self.version);
        self.store(key, StoredJudgement { member_start, observer_start, version, against, until });
    }

    /// Handles a received message. Returns false if the message is not for this module.
    pub fn handle_message(&mut self, now: Tenths, message: &Message) -> bool {
        let Body::Judgements(judgements) = &message.body else { return false };
        for judgement in judgements {
            self.merge(now, judgement);
        }
        true
    }

    /// The verdict on one incarnation of a member.
    pub fn verdict(&self, now: Tenths, member: &Name, member_start: u64) -> Verdict {
        let electorate = self.electorate.len();
        let against = self.judgements_of(member).filter(|(observer, held)| {
            held.against
                && now < held.until
                && held.member_start == member_start
                && self.electorate.contains_key(*observer)
        });
        let against = against.count();
        // A single router never decides for the fleet, not even for a fleet of one router, which has its own circuit
        // breakers.
        let down = against >= 2
            && against * self.rules.quorum.denominator > electorate * self.rules.quorum.numerator;
        Verdict { down, against, electorate }
    }

    /// The next output; the host calls this until it returns `None`.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Output> {
        if now >= self.next_round {
            self.next_round = now + self.rules.gossip_interval;
            self.publish(now);
            // Judgements that expired without a message are found here.
            self.to_evaluate.extend(self.down.iter().map(|(member, _)| member.clone()));
            let (before, departed_ttl) = (self.electorate.len(), self.rules.departed_ttl);
            self.electorate.retain(|_, departed| departed.is_none_or(|since| now < since + departed_ttl));
            if before != self.electorate.len() {
                self.to_evaluate.extend(self.held.keys().cloned());
            }
        }
        while let Some(member) = self.to_evaluate.pop_first() {
            self.evaluate(now, &member);
        }
        self.outbox.pop()
    }

    /// When to call [`Judgements::next_decision`] again if no message arrives before.
    pub fn wake_at(&self) -> Tenths {
        self.next_round
    }

    fn judgements_of<'a>(&'a self, member: &Name) -> impl Iterator<Item = (&'a Name, &'a StoredJudgement)> {
        self.held.get(member).into_iter().flatten()
    }

    /// Emits the changes between the present and the last verdicts on the incarnations of `member`.
    fn evaluate(&mut self, now: Tenths, member: &Name) {
        let against =
            self.judgements_of(member).filter(|(_, held)| held.against).map(|(_, held)| held.member_start);
        let mut incarnations: BTreeSet<u64> = against.collect();
        incarnations
            .extend(self.down.iter().filter(|(of, _)| of == member).map(|(_, incarnation)| *incarnation));
        for incarnation in incarnations {
            let down = self.verdict(now, member, incarnation).down;
            let of = (member.clone(), incarnation);
            if down && self.down.insert(of.clone()) {
                self.outbox.push(Output::Down(of.0, incarnation));
            } else if !down && self.down.remove(&of) {
                self.outbox.push(Output::Recovered(of.0, incarnation));
            }
        }
    }

    fn store(&mut self, key: Key, held: StoredJudgement) {
        self.to_evaluate.insert(key.0.clone());
        self.count +=
            usize::from(self.held.entry(key.0.clone()).or_default().insert(key.1.clone(), held).is_none());
        self.gossip.push(key);
    }

    fn remove_where(&mut self, matches: impl Fn(&Name, &Name, &StoredJudgement) -> bool) {
        let (gossip, to_evaluate, count) = (&mut self.gossip, &mut self.to_evaluate, &mut self.count);
        self.held.retain(|member, by| {
            by.retain(|observer, held| {
                let removed = matches(member, observer, held);
                if removed {
                    *count -= 1;
                    gossip.remove(&(member.clone(), observer.clone()));
                    to_evaluate.insert(member.clone());
                }
                !removed
            });
            !by.is_empty()
        });
    }

    fn publish(&mut self, now: Tenths) {
        // An expired judgement is kept for its time to live once more, so that a late message does not restore it.
        let judgement_ttl = self.rules.judgement_ttl;
        self.remove_where(|_, _, held| now >= held.until + judgement_ttl);
        if self.gossip.is_empty() {
            return;
        }
        let mut message =
            Message { from: self.me.clone(), start: self.start, body: Body::Judgements(Vec::new()) };
        let room = (LONGEST - 4).saturating_sub(length(&message));
        let held = &self.held;
        let encoded_len = |key: &Key| judgement(key, held, now).map_or(0, |judgement| length(&judgement));
        let selected = self.gossip.select(room, transmit_limit(self.live.len()), encoded_len);
        message.body =
            Body::Judgements(selected.iter().filter_map(|key| judgement(key, held, now)).collect());
        for to in random_peers(&self.live, &self.me, FANOUT, &mut self.chance) {
            self.outbox.push(Output::Send(Decision::Send { to, message: message.clone() }));
        }
    }

    fn merge(&mut self, now: Tenths, received: &Judgement) {
        if received.observer == self.me
            || self
                .incarnations
                .get(&received.member)
                .is_some_and(|incarnation| *incarnation > received.member_start)
        {
            return;
        }
        let key = (received.member.clone(), received.observer.clone());
        let age = |held: &StoredJudgement| (held.observer_start, held.version);
        match self.held.get(&key.0).and_then(|by| by.get(&key.1)) {
            Some(held) if age(held) >= (received.observer_start, received.version) => return,
            None if self.count >= MAX_JUDGEMENTS => return,
            _ => {}
        }
        let until = now + received.ttl.clamp(0, self.rules.judgement_ttl);
        let Judgement { member_start, observer_start, version, against, .. } = *received;
        self.store(key, StoredJudgement { member_start, observer_start, version, against, until });
    }
}

fn judgement(
    key: &Key,
    held: &BTreeMap<Name, BTreeMap<Name, StoredJudgement>>,
    now: Tenths,
) -> Option<Judgement> {
    // Expired judgements are not sent.
    let held = held.get(&key.0)?.get(&key.1).filter(|held| now < held.until)?;
    Some(Judgement {
        member: key.0.clone(),
        member_start: held.member_start,
        observer: key.1.clone(),
        observer_start: held.observer_start,
        version: held.version,
        against: held.against,
        ttl: (held.until - now).max(0),
    })
}
