//! A gateway: feeds come in, subscriptions go out. What it is told only changes what it knows; what is to be done is
//! pulled, one decision by one, and carried out in that order: a record is kept before what follows it is sent.

use crate::intake::{FOLLOWED, Found, Intake, Source, Taken};
use crate::lineage::{Lineage, Settled};
use crate::origin::PAGE;
use crate::pace::Pace;
use crate::spread::Place;
use crate::sub::{Record, State, Sub};
use crate::terms::Terms;
use crate::words::{FeedId, GatewayId, Item, MILLISECOND, Message, Party, Point, SubId, Tenths, What};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// What the host does, in this order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    Send {
        to: Party,
        message: Message,
    },
    /// Entries that follow those on the shelf.
    Keep {
        feed: FeedId,
        entries: Vec<(Point, Arc<[u8]>)>,
    },
    /// The shelf of a feed is emptied and goes on from a point.
    Anew {
        feed: FeedId,
        at: Point,
    },
    Trim {
        feed: FeedId,
        below: Point,
    },
    /// The feed's epochs, to be found again with its shelf.
    Epochs {
        feed: FeedId,
        lineage: Lineage,
    },
    /// Nothing of the feed is kept any longer.
    Close {
        feed: FeedId,
    },
    /// Read the shelf from a point on, within its epoch; the answer is told by `on_shelf` with the same `peer`.
    Read {
        feed: FeedId,
        from: Point,
        peer: Option<GatewayId>,
    },
    Record {
        sub: SubId,
        record: Record,
    },
    Forget {
        sub: SubId,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Timer {
    Sub(SubId),
    Feed(FeedId),
    Warm(SubId),
    Fence(SubId),
    Moves,
}

/// A place kept for a subscription that another gateway offered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Warm {
    pub(crate) feed: FeedId,
    pub(crate) epoch: u64,
    pub(crate) at: Point,
    pub(crate) giver: GatewayId,
    pub(crate) lease_until: Tenths,
    pub(crate) until: Tenths,
    pub(crate) said: bool,
}

/// Counts since it was started, for the operator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub pushes: u64,
    pub resent: u64,
    pub taken: u64,
    pub refused: u64,
    pub moved_out: u64,
    pub went_back: u64,
    pub gaps: u64,
    pub turns: u64,
    pub told_later: u64,
    pub lapsed: u64,
}

impl std::hash::Hash for Counts {
    /// What was counted decides nothing: it does not tell one state of a gateway from another.
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gateway {
    pub(crate) me: GatewayId,
    pub(crate) terms: Terms,
    pub(crate) seed: u64,
    pub(crate) now: Tenths,
    pub(crate) feeds: BTreeMap<FeedId, Intake>,
    pub(crate) subs: BTreeMap<SubId, Sub>,
    pub(crate) warm: BTreeMap<SubId, Warm>,
    /// Epochs that are over here, and until when that is remembered.
    pub(crate) fenced: BTreeMap<SubId, (u64, Tenths)>,
    pub(crate) timers: BTreeSet<(Tenths, Timer)>,
    ready: VecDeque<SubId>,
    pub(crate) out: VecDeque<Decision>,
    pub(crate) admission: Pace,
    pushes: Pace,
    pub(crate) places: Vec<Place>,
    pub(crate) plan: VecDeque<(SubId, GatewayId)>,
    pub(crate) moving: BTreeSet<SubId>,
    pub(crate) settled_at: Tenths,
    pub(crate) moves_due: Tenths,
    pub(crate) draining: Option<Tenths>,
    /// Since when more is to be pushed than may be.
    pub(crate) strained: Option<Tenths>,
    pub(crate) counts: Counts,
}

impl Gateway {
    /// A gateway that begins with what its store has: the feeds on the shelf (`first..next`) and the records.
    pub fn new(
        now: Tenths,
        me: GatewayId,
        terms: Terms,
        seed: u64,
        shelves: Vec<(FeedId, Lineage, Point, Point)>,
        records: Vec<(SubId, Record)>,
    ) -> Gateway {
        let mut gateway = Gateway {
            me,
            seed,
            now,
            feeds: BTreeMap::new(),
            subs: BTreeMap::new(),
            warm: BTreeMap::new(),
            fenced: BTreeMap::new(),
            timers: BTreeSet::new(),
            ready: VecDeque::new(),
            out: VecDeque::new(),
            admission: Pace::new(terms.admissions, 10 * MILLISECOND),
            pushes: Pace::new(terms.pushes, 10 * MILLISECOND),
            places: Vec::new(),
            plan: VecDeque::new(),
            moving: BTreeSet::new(),
            settled_at: now + terms.settle,
            moves_due: now + terms.settle,
            draining: None,
            strained: None,
            counts: Counts::default(),
            terms,
        };
        // Its desks come back soon: their feeds are followed already, from where the shelf ends.
        for (feed, lineage, first, next) in shelves {
            let held = records.iter().any(|(_, r)| r.held && r.feed == feed);
            if held {
                gateway.feeds.insert(feed, Intake::shelved(now, lineage, first, next));
                gateway.timers.insert((now, Timer::Feed(feed)));
            } else {
                gateway.out.push_back(Decision::Close { feed });
            }
        }
        // Danger: a stale or doubled resume token, or a grant on its way, would revive what was held before the crash.
        for (sub, record) in records {
            gateway.fence(sub, record.epoch);
        }
        gateway.timers.insert((gateway.moves_due, Timer::Moves));
        gateway
    }

    pub fn held(&self) -> usize {
        self.subs.values().filter(|s| !matches!(s.state, State::Left { .. })).count()
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Whether a subscription may be pushed from here now, and under which epoch.
    pub fn owns(&self, now: Tenths, sub: SubId) -> Option<u64> {
        self.subs.get(&sub).filter(|s| s.may_push(now)).map(|s| s.epoch)
    }

    /// When the next decision falls due, if nothing is told before.
    pub fn wake_at(&self) -> Option<Tenths> {
        if !self.out.is_empty() {
            return Some(self.now);
        }
        let pushes = self.ready.front().map(|_| self.pushes.clone().take(self.now).err().unwrap_or(self.now));
        let timer = self.timers.first().map(|(at, _)| *at);
        [pushes, timer].into_iter().flatten().min()
    }

    /// The next decision, if there is one now. The time told must be the true one at each call: leases rest on it.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Decision> {
        self.now = self.now.max(now);
        while self.out.is_empty() {
            match self.timers.first().copied() {
                Some((at, timer)) if at <= self.now => {
                    self.timers.pop_first();
                    self.on_timer(timer);
                }
                _ => break,
            }
        }
        self.out.pop_front().or_else(|| self.push())
    }

    fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Sub(sub) => self.on_sub_due(sub),
            Timer::Feed(feed) => self.on_feed_due(feed),
            Timer::Warm(sub) => {
                if self.warm.get(&sub).is_some_and(|w| w.until <= self.now) {
                    self.warm.remove(&sub);
                }
            }
            Timer::Fence(sub) => {
                if self.fenced.get(&sub).is_some_and(|(_, until)| *until <= self.now) {
                    self.fenced.remove(&sub);
                    if !self.subs.contains_key(&sub) {
                        self.out.push_back(Decision::Forget { sub });
                    }
                }
            }
            Timer::Moves => self.on_moves_due(),
        }
    }

    /// Told by any party.
    pub fn on_message(&mut self, now: Tenths, from: Party, message: Message) {
        self.now = self.now.max(now);
        match (from, message) {
            (Party::Desk(desk), Message::Resume { sub, feed, epoch, at, slot }) if desk == sub => {
                self.on_resume(sub, feed, epoch, at, slot);
            }
            (Party::Desk(desk), Message::Ack { sub, epoch, at, echo, again }) if desk == sub => {
                self.on_ack(sub, epoch, at, echo, again);
            }
            (Party::Desk(desk), Message::Gone { sub, epoch }) if desk == sub => self.on_gone(sub, epoch),
            (Party::Gateway(peer), Message::Taken { sub, epoch }) => {
                let given = |s: &Sub| matches!(s.state, State::Left { to, .. } if to == peer);
                if self.subs.get(&sub).is_some_and(given) {
                    self.on_gone(sub, epoch);
                }
            }
            (Party::Gateway(peer), Message::Offer { sub, feed, epoch, at }) => {
                self.on_offer(peer, sub, feed, epoch, at);
            }
            (Party::Gateway(peer), Message::Ready { sub, epoch, stamp }) => {
                self.on_ready(peer, sub, epoch, stamp)
            }
            (Party::Gateway(peer), Message::Given { sub, epoch, stamp, left }) => {
                self.on_given(peer, sub, epoch, stamp, left);
            }
            (Party::Gateway(peer), Message::Decline { sub, epoch }) => self.on_decline(peer, sub, epoch),
            (Party::Gateway(peer), Message::Fetch { feed, from, .. }) => self.on_fetch(peer, feed, from),
            (from, Message::Entries { feed, lineage, from: at, payloads, first, head }) => {
                let primary = from == Party::Primary(feed);
                let Some(intake) = self.feeds.get_mut(&feed) else { return };
                let told = (&lineage, first, head);
                let taken = intake.on_entries(self.now, primary, told, at, &payloads, &self.terms);
                self.on_taken(feed, taken);
            }
            _ => {}
        }
    }

    /// The shelf's answer to a `Read`: payloads that follow each other from a point on, or none.
    pub fn on_shelf(
        &mut self,
        now: Tenths,
        feed: FeedId,
        from: Point,
        peer: Option<GatewayId>,
        found: &[Arc<[u8]>],
    ) {
        self.now = self.now.max(now);
        let Some(intake) = self.feeds.get_mut(&feed) else { return };
        if let Some(peer) = peer {
            let message = entries(feed, intake, from, found.to_vec());
            self.out.push_back(Decision::Send { to: Party::Gateway(peer), message });
            return;
        }
        let older = intake.on_shelf(self.now, from, found, &self.terms);
        self.on_taken(feed, Taken { older, ..Taken::default() });
    }

    // Feeds.

    pub(crate) fn ensure(&mut self, feed: FeedId, at: Point) {
        let now = self.now;
        if let std::collections::btree_map::Entry::Vacant(vacant) = self.feeds.entry(feed) {
            vacant.insert(Intake::new(now, at));
            self.timers.insert((now, Timer::Feed(feed)));
        }
    }

    /// Follows, hunts, and lets go of a feed that nobody wants.
    fn on_feed_due(&mut self, feed: FeedId) {
        let wanted = self.warm.values().any(|w| w.feed == feed);
        let Some(intake) = self.feeds.get_mut(&feed) else { return };
        if intake.subs.is_empty() && !wanted && self.now > intake.heard + self.terms.lapsed {
            self.feeds.remove(&feed);
            self.out.push_back(Decision::Close { feed });
            return;
        }
        // Nobody's feed is followed no more; `heard` then ages.
        if (!intake.subs.is_empty() || wanted || !intake.begun) && self.now >= intake.asked + FOLLOWED {
            intake.asked = self.now;
            let message = Message::Fetch { feed, from: intake.next, follow: true };
            self.out.push_back(Decision::Send { to: Party::Primary(feed), message });
        }
        self.ask(feed);
        self.feed_timer(feed);
    }

    fn feed_timer(&mut self, feed: FeedId) {
        let Some(intake) = self.feeds.get_mut(&feed) else { return };
        let next = intake
            .late_at()
            .unwrap_or(Tenths::MAX)
            .min((intake.asked + FOLLOWED).max(self.now + MILLISECOND));
        self.timers.remove(&(intake.due, Timer::Feed(feed)));
        intake.due = next;
        self.timers.insert((next, Timer::Feed(feed)));
    }

    /// Asks the source that a hunt is at.
    fn ask(&mut self, feed: FeedId) {
        let Some((source, from)) = self.feeds.get_mut(&feed).and_then(|i| i.ask(self.now)) else { return };
        let fetch = Message::Fetch { feed, from, follow: false };
        self.out.push_back(match source {
            Source::Shelf => Decision::Read { feed, from, peer: None },
            Source::Peer(peer) => Decision::Send { to: Party::Gateway(peer), message: fetch },
            Source::Primary => Decision::Send { to: Party::Primary(feed), message: fetch },
        });
    }

    fn on_taken(&mut self, feed: FeedId, taken: Taken) {
        let Some(intake) = self.feeds.get_mut(&feed) else { return };
        if taken.turned {
            self.out.push_back(Decision::Epochs { feed, lineage: intake.lineage.clone() });
        }
        if taken.anew {
            self.out.push_back(Decision::Anew { feed, at: intake.first });
        }
        let new = !taken.kept.is_empty();
        if new {
            self.out.push_back(Decision::Keep { feed, entries: taken.kept });
        }
        intake.trim(&self.terms);
        let on_shelf = intake.lineage.between(intake.shelf_first, intake.next);
        // A part more than the bound, so that not each entry trims.
        if on_shelf > self.terms.shelf + self.terms.shelf / 8 + 1 {
            intake.shelf_first = intake.lineage.forward(intake.shelf_first, on_shelf - self.terms.shelf);
            self.out.push_back(Decision::Trim { feed, below: intake.shelf_first });
        }
        // What lacks is asked for at once, within what was asked for already.
        if intake.next < intake.head && (new || taken.turned) && intake.begun {
            intake.asked = self.now;
            let message = Message::Fetch { feed, from: intake.next, follow: true };
            self.out.push_back(Decision::Send { to: Party::Primary(feed), message });
        }
        let (all, behind) = (new || taken.turned || taken.anew, taken.older || taken.turned);
        let subs: Vec<SubId> = if all {
            intake.subs.iter().copied().collect()
        } else if behind {
            intake.behind.iter().copied().collect()
        } else {
            Vec::new()
        };
        subs.into_iter().for_each(|sub| self.line_up(sub));
        self.ask(feed);
        self.feed_timer(feed);
        self.warmed(feed);
    }

    /// A peer asks: the window answers, or the shelf.
    fn on_fetch(&mut self, peer: GatewayId, feed: FeedId, from: Point) {
        let Some(intake) = self.feeds.get(&feed).filter(|i| i.begun) else { return };
        if from < intake.first && from >= intake.shelf_first {
            self.out.push_back(Decision::Read { feed, from, peer: Some(peer) });
            return;
        }
        let message = entries(feed, intake, from, intake.page(from, PAGE));
        self.out.push_back(Decision::Send { to: Party::Gateway(peer), message });
    }

    // Subscriptions.

    pub(crate) fn fence(&mut self, sub: SubId, epoch: u64) {
        let until = self.now + self.terms.lapsed;
        let before = self.fenced.get(&sub).map_or(0, |(epoch, _)| *epoch);
        self.fenced.insert(sub, (epoch.max(before), until));
        self.timers.insert((until, Timer::Fence(sub)));
    }

    pub(crate) fn sub_timer(&mut self, id: SubId) {
        let Some(sub) = self.subs.get_mut(&id) else { return };
        let mut due = sub.stamped + self.terms.ping;
        if sub.sent != sub.acked {
            due = due.min(sub.again + self.terms.resend);
        }
        if let State::Offered { asked, .. } | State::Left { asked, .. } = sub.state {
            due = due.min(asked + self.terms.resend / 2);
        }
        // A timer that is early enough stays: each push would move it otherwise.
        if sub.due > due.max(self.now + 1) {
            self.timers.remove(&(sub.due, Timer::Sub(id)));
            sub.due = due.max(self.now + 1);
            self.timers.insert((sub.due, Timer::Sub(id)));
        }
    }

    pub(crate) fn line_up(&mut self, id: SubId) {
        if let Some(sub) = self.subs.get_mut(&id)
            && !sub.ready
            && sub.may_push(self.now)
        {
            sub.ready = true;
            self.ready.push_back(id);
        }
    }

    fn on_resume(&mut self, id: SubId, feed: FeedId, epoch: u64, at: Point, slot: Option<Tenths>) {
        if self.fenced.get(&id).is_some_and(|(over, _)| epoch <= *over) {
            return;
        }
        if let Some(sub) = self.subs.get(&id)
            && epoch <= sub.epoch
        {
            if epoch == sub.epoch && sub.state == State::Greeting {
                self.stamp(id);
            }
            return;
        }
        let warm = self.warm.remove(&id).filter(|w| w.epoch < epoch);
        let back = self.subs.contains_key(&id);
        if warm.is_none()
            && !back
            && let Some(refusal) = self.refusal(id, feed, epoch, slot)
        {
            self.counts.refused += 1;
            self.out.push_back(Decision::Send { to: Party::Desk(id), message: refusal });
            return;
        }
        self.leave(id);
        let mut sub = Sub::new(self.now, feed, epoch, at);
        self.ensure(feed, at);
        if let Some(intake) = self.feeds.get_mut(&feed) {
            intake.subs.insert(id);
            if intake.lineage.settle(at) == Settled::Ahead {
                intake.asked = Tenths::MIN / 2;
            }
        }
        self.counts.taken += 1;
        let record = Record { feed, epoch, held: true, at };
        self.out.push_back(Decision::Record { sub: id, record });
        if let Some(warm) = warm {
            if warm.epoch + 1 == epoch && warm.lease_until > self.now {
                sub.lease_until = warm.lease_until;
                sub.state = State::Owned;
            }
            let message = Message::Taken { sub: id, epoch };
            self.out.push_back(Decision::Send { to: Party::Gateway(warm.giver), message });
        }
        self.subs.insert(id, sub);
        self.stamp(id);
        self.line_up(id);
    }

    /// Why a desk is not taken in now, with when it should come.
    fn refusal(&mut self, sub: SubId, feed: FeedId, epoch: u64, slot: Option<Tenths>) -> Option<Message> {
        let later = |after, slot, elsewhere| {
            Some(Message::Later { sub, epoch, after, slot, elsewhere, ended: false })
        };
        let full = self.subs.len() + self.warm.len() >= self.terms.room;
        if full || self.draining.is_some() || self.outpaced(feed) {
            return later(0, None, true);
        }
        // A place that was booked holds for a while after its time.
        if slot.is_some_and(|s| s <= self.now && self.now < s + self.terms.attempt) {
            return None;
        }
        if self.admission.take(self.now).is_ok() {
            return None;
        }
        match self.admission.book(self.now, self.terms.booked) {
            Some(at) => later(at - self.now, Some(at), false),
            None => later(self.terms.booked, None, true),
        }
    }

    /// Sends a stamp alone.
    fn stamp(&mut self, id: SubId) {
        let Some(sub) = self.subs.get_mut(&id) else { return };
        sub.stamped = self.now;
        let message = Message::Push { sub: id, epoch: sub.epoch, stamp: self.now, items: Vec::new() };
        self.out.push_back(Decision::Send { to: Party::Desk(id), message });
        self.sub_timer(id);
    }

    fn on_ack(&mut self, id: SubId, epoch: u64, at: Point, echo: Tenths, again: bool) {
        let Some(sub) = self.subs.get_mut(&id).filter(|s| s.epoch == epoch) else { return };
        if matches!(sub.state, State::Left { .. }) {
            return;
        }
        sub.echoed(self.now, echo, self.terms.lease);
        sub.acknowledged(self.now, at);
        if again && self.now >= sub.again + self.terms.resend / 4 {
            sub.again = self.now;
            sub.sent = sub.acked;
            self.counts.resent += 1;
        }
        let feed = sub.feed;
        let more =
            self.feeds.get(&feed).is_some_and(|i| i.next > sub.sent || i.lineage.epoch() > sub.sent.epoch);
        if more {
            self.line_up(id);
        }
        self.sub_timer(id);
    }

    fn on_gone(&mut self, id: SubId, epoch: u64) {
        if self.subs.get(&id).is_some_and(|s| s.epoch < epoch) {
            self.end(id);
        }
    }

    /// Takes a subscription out of all lists.
    fn leave(&mut self, id: SubId) -> Option<Sub> {
        let sub = self.subs.remove(&id)?;
        self.timers.remove(&(sub.due, Timer::Sub(id)));
        self.moving.remove(&id);
        if let Some(intake) = self.feeds.get_mut(&sub.feed) {
            intake.subs.remove(&id);
            intake.behind.remove(&id);
        }
        Some(sub)
    }

    /// Ends a subscription here: its epoch is over for good.
    pub(crate) fn end(&mut self, id: SubId) {
        let Some(sub) = self.leave(id) else { return };
        self.fence(id, sub.epoch);
        let record = Record { feed: sub.feed, epoch: sub.epoch, held: false, at: sub.acked };
        self.out.push_back(Decision::Record { sub: id, record });
    }

    /// Ends it and tells the desk to come back.
    pub(crate) fn tell_later(&mut self, id: SubId, after: Tenths, elsewhere: bool) {
        let Some(epoch) = self.subs.get(&id).map(|s| s.epoch) else { return };
        self.end(id);
        self.counts.told_later += 1;
        let message = Message::Later { sub: id, epoch, after, slot: None, elsewhere, ended: true };
        self.out.push_back(Decision::Send { to: Party::Desk(id), message });
    }

    fn on_sub_due(&mut self, id: SubId) {
        let (now, terms) = (self.now, &self.terms);
        let Some(sub) = self.subs.get_mut(&id) else { return };
        sub.due = Tenths::MAX;
        if now >= sub.lease_until + terms.lapsed {
            // Gone, cut off, or so slow that its echoes come too late: if it still listens it is told.
            self.counts.lapsed += 1;
            self.tell_later(id, self.terms.rest + self.jitter(id), false);
            return;
        }
        if let State::Left { .. } | State::Offered { .. } = sub.state {
            self.on_handover_due(id);
        }
        let terms = &self.terms;
        let Some(sub) = self.subs.get_mut(&id) else { return };
        if matches!(sub.state, State::Left { .. }) {
            sub.stamped = now;
            self.sub_timer(id);
            return;
        }
        let stuck = sub.sent != sub.acked && now >= sub.moved + terms.patience;
        let behind = sub.behind.is_some_and(|since| now >= since + 6 * terms.patience);
        if stuck || behind {
            let rest = terms.rest + self.jitter(id);
            self.tell_later(id, rest, false);
            return;
        }
        if sub.sent != sub.acked && now >= sub.again + terms.resend {
            sub.again = now;
            sub.sent = sub.acked;
            self.counts.resent += 1;
        }
        if now >= sub.stamped + terms.ping {
            self.stamp(id);
        }
        self.line_up(id);
        self.sub_timer(id);
    }

    /// Up to a second, by the seed, so that those told together don't come together.
    fn jitter(&self, id: SubId) -> Tenths {
        use nanorand::{Rng, WyRand};
        WyRand::new_seed(self.seed ^ id.0 ^ self.now as u64).generate_range(0..crate::words::SECOND)
    }

    /// The next push of those in line.
    fn push(&mut self) -> Option<Decision> {
        while let Some(id) = self.ready.front().copied() {
            if self.pushes.take(self.now).is_err() {
                self.strained = self.strained.or(Some(self.now));
                return None;
            }
            self.ready.pop_front();
            if let Some(message) = self.items(id) {
                self.counts.pushes += 1;
                return Some(Decision::Send { to: Party::Desk(id), message });
            }
            // A hunt may have begun.
            if let Some(decision) = self.out.pop_front() {
                return Some(decision);
            }
        }
        self.strained = None;
        None
    }

    /// What a subscription is sent now.
    fn items(&mut self, id: SubId) -> Option<Message> {
        let (now, terms) = (self.now, &self.terms);
        let sub = self.subs.get_mut(&id)?;
        sub.ready = false;
        let intake = self.feeds.get_mut(&sub.feed)?;
        if !sub.may_push(now) || !intake.begun {
            return None;
        }
        let mut items: Vec<Item> = Vec::new();
        let (mut hunted, mut full) = (None, false);
        while items.len() < terms.push {
            let after = sub.sent;
            if after != sub.acked && intake.lineage.between(sub.acked, after) >= terms.unacknowledged {
                full = true;
                break;
            }
            let (next, what) = match intake.lineage.settle(after) {
                Settled::Turn { retracted, next } => (next, What::Turn { retracted }),
                Settled::Forgotten { .. } if after == Point::NEW => (intake.next, What::Begin),
                Settled::Forgotten { oldest } => (oldest, What::Gap),
                Settled::Ahead => break,
                Settled::Stands => match intake.at(after) {
                    Found::Entries(entry) => (after.plus(1), What::Bulletin(entry.payload.clone())),
                    Found::Gap { to } => (to, What::Gap),
                    Found::End => break,
                    Found::Older => {
                        hunted = Some(after);
                        break;
                    }
                },
            };
            match what {
                What::Gap => self.counts.gaps += 1,
                What::Turn { .. } => self.counts.turns += 1,
                _ => {}
            }
            items.push(Item { after, next, what });
            sub.sent = next;
        }
        match hunted {
            Some(_) => {
                sub.behind = sub.behind.or(Some(now));
                intake.behind.insert(id);
            }
            None if sub.behind.is_some() && sub.sent >= intake.first => {
                sub.behind = None;
                intake.behind.remove(&id);
            }
            None => {}
        }
        let (feed, epoch) = (sub.feed, sub.epoch);
        let more = items.len() == terms.push && !full;
        if !items.is_empty() {
            sub.stamped = now;
        }
        if hunted.is_some() {
            self.hunt(feed);
        }
        if more {
            self.line_up(id);
        }
        self.sub_timer(id);
        (!items.is_empty()).then_some(Message::Push { sub: id, epoch, stamp: now, items })
    }

    /// Hunts for the oldest point that a subscription stands at; too many behind are told to come back.
    fn hunt(&mut self, feed: FeedId) {
        let peers: Vec<GatewayId> = self.places.iter().map(|p| p.id).filter(|g| *g != self.me).collect();
        let Some(intake) = self.feeds.get_mut(&feed) else { return };
        if intake.behind.len() > self.terms.behind {
            let last = intake.behind.last().copied();
            let rest = self.terms.rest;
            last.into_iter().for_each(|id| self.tell_later(id, rest + self.jitter(id), true));
            return;
        }
        let stands = intake.behind.iter().filter_map(|id| self.subs.get(id)).map(|s| s.sent);
        let oldest = stands.filter(|p| *p < intake.first && intake.at(*p) == Found::Older).min();
        if let Some(from) = oldest
            && intake.hunt(self.now, from, &peers)
        {
            self.ask(feed);
            self.feed_timer(feed);
        }
    }
}

#[cfg(test)]
impl Gateway {
    /// For the model: rates as if nothing had been sent.
    pub(crate) fn level_paces(&mut self) {
        self.admission = Pace::new(self.terms.admissions, 10 * MILLISECOND);
        self.pushes = Pace::new(self.terms.pushes, 10 * MILLISECOND);
    }
}

fn entries(feed: FeedId, intake: &Intake, from: Point, payloads: Vec<Arc<[u8]>>) -> Message {
    let (lineage, first, head) = (intake.lineage.clone(), intake.shelf_first, intake.next);
    Message::Entries { feed, lineage, from, payloads, first, head }
}
