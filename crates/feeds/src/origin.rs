//! The primary's part: it orders bulletins, keeps a bounded tail of them, and sends what is new to the gateways that
//! follow.

use crate::lineage::{Era, Lineage, Settled};
use crate::words::{Entry, FeedId, GatewayId, Message, Party, Point, SECOND, Tenths};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A gateway that hasn't asked for so long is sent nothing more.
pub const FOLLOW: Tenths = 2 * SECOND;
/// Entries sent to a follower beyond what it is known to have.
pub const CREDIT: u64 = 512;
/// Entries in one message.
pub const PAGE: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Follower {
    until: Tenths,
    has: Point,
    sent: Point,
}

/// One feed at its set's primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Origin {
    feed: FeedId,
    lineage: Lineage,
    log: VecDeque<Entry>,
    first: Point,
    next: Point,
    keep: usize,
    followers: BTreeMap<GatewayId, Follower>,
    out: VecDeque<(Party, Message)>,
}

impl Origin {
    /// The first primary of a feed; `keep`: how many entries it holds.
    pub fn new(feed: FeedId, keep: usize) -> Origin {
        let next = Point::new(1, 0);
        let (lineage, log, followers, out) =
            (Lineage::new(1, 0), VecDeque::new(), BTreeMap::new(), VecDeque::new());
        Origin { feed, lineage, log, first: next, next, keep, followers, out }
    }

    /// A new primary: a copy that had all before `kept`, and numbers on from `start`. None where the copy can't be one.
    pub fn succeeded(&self, epoch: u64, kept: Point, start: u64) -> Option<Origin> {
        let mut new = self.clone();
        let entry = new.log.partition_point(|e| e.at < kept);
        new.log.truncate(entry);
        new.next = Point::new(epoch, start);
        if new.log.is_empty() {
            new.first = new.next;
        }
        new.followers.clear();
        new.out.clear();
        new.lineage.succeed(Era { epoch, start, kept }).then_some(new)
    }

    pub fn next(&self) -> Point {
        self.next
    }

    pub fn first(&self) -> Point {
        self.first
    }

    pub fn lineage(&self) -> &Lineage {
        &self.lineage
    }

    /// Takes a bulletin in; where it got its place.
    pub fn publish(&mut self, now: Tenths, payload: Arc<[u8]>) -> Point {
        let at = self.next;
        self.log.push_back(Entry { at, payload });
        self.next = at.plus(1);
        if self.log.len() > self.keep {
            self.log.pop_front();
            self.first = self.log.front().map_or(self.next, |e| e.at);
        }
        self.followers.retain(|_, f| f.until > now);
        let followers: Vec<GatewayId> = self.followers.keys().copied().collect();
        for gateway in followers {
            self.feed_on(gateway);
        }
        at
    }

    /// A gateway asks.
    pub fn on_message(&mut self, now: Tenths, from: GatewayId, message: &Message) {
        let Message::Fetch { feed, from: at, follow } = message else { return };
        if *feed != self.feed {
            return;
        }
        let at = match self.lineage.settle(*at) {
            Settled::Stands => *at,
            // Whatever it is told, it has to learn of the eras first.
            _ => self.lineage.normal(*at).unwrap_or(self.next),
        };
        if *follow {
            let sent = self.followers.get(&from).map_or(at, |f| f.sent.max(at));
            // Asked again from where it was sent on: what was sent since is lost or late.
            let lost = self.followers.get(&from).is_some_and(|f| f.has == at);
            let sent = if lost { at } else { sent };
            self.followers.insert(from, Follower { until: now + FOLLOW, has: at, sent });
            if !self.feed_on(from) {
                self.send(from, at);
            }
        } else {
            self.send(from, at);
        }
    }

    /// Sends a follower what it has credit for; whether anything was sent.
    fn feed_on(&mut self, to: GatewayId) -> bool {
        let Some(follower) = self.followers.get(&to).cloned() else { return false };
        if follower.sent >= self.next || self.lineage.between(follower.has, follower.sent) >= CREDIT {
            return false;
        }
        let sent = self.send(to, follower.sent);
        if let Some(f) = self.followers.get_mut(&to) {
            f.sent = f.sent.max(sent);
        }
        true
    }

    /// Answers from a point on, within one epoch; the point after what was sent.
    fn send(&mut self, to: GatewayId, from: Point) -> Point {
        let index = self.log.partition_point(|e| e.at < from);
        let here = self.log.range(index..).take(PAGE).take_while(|e| e.at.epoch == from.epoch);
        // Below the first kept there is a hole: nothing is sent as if it followed.
        let payloads: Vec<Arc<[u8]>> =
            if from < self.first { Vec::new() } else { here.map(|e| e.payload.clone()).collect() };
        let sent = from.plus(payloads.len() as u64);
        let next = self.lineage.normal(sent).unwrap_or(sent);
        let (lineage, first, head) = (self.lineage.clone(), self.first, self.next);
        let message = Message::Entries { feed: self.feed, lineage, from, payloads, first, head };
        self.out.push_back((Party::Gateway(to), message));
        next
    }

    /// What is to be sent, one by one.
    pub fn next_decision(&mut self) -> Option<(Party, Message)> {
        self.out.pop_front()
    }
}

#[cfg(test)]
impl Origin {
    /// For the model: followers as if they had just asked.
    pub(crate) fn level(&mut self) {
        self.followers.values_mut().for_each(|f| f.until = Tenths::MAX);
    }
}
