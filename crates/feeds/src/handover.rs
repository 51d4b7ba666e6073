//! Planned moves: who is offered, the fenced handover on both sides, draining and shedding.
//!
//! Offer, catch up, ready; then the giver ends its part by a record, gives what is left of its lease and sends the desk
//! on. The desk comes to the taker under the next epoch. Up to the record the move can go back; after it the desk alone
//! goes on, to the taker or to anybody.

use crate::gateway::{Decision, Gateway, Timer, Warm};
use crate::spread::{self, Place};
use crate::sub::{Record, State};
use crate::words::{FeedId, GatewayId, Message, Party, Point, SubId, Tenths};

impl Gateway {
    /// The gateways of the fleet that are alive, this one among them, as the membership tells them.
    pub fn on_places(&mut self, now: Tenths, places: &[Place]) {
        self.now = self.now.max(now);
        let shape = |places: &[Place]| -> Vec<(GatewayId, u32, bool)> {
            places.iter().map(|p| (p.id, p.room, p.draining)).collect()
        };
        let changed = shape(&self.places) != shape(places);
        self.places = places.to_vec();
        if changed {
            self.settled_at = self.now + self.terms.settle;
            self.plan.clear();
            let due = if self.draining.is_some() { self.now } else { self.settled_at };
            self.moves_timer(due);
        }
    }

    /// Gives all subscriptions away; those still here at `until` are told to go elsewhere.
    pub fn drain(&mut self, now: Tenths, until: Tenths) {
        self.now = self.now.max(now);
        self.draining = Some(until);
        self.plan.clear();
        self.moves_timer(self.now);
    }

    pub fn draining(&self) -> bool {
        self.draining.is_some()
    }

    fn moves_timer(&mut self, due: Tenths) {
        self.timers.remove(&(self.moves_due, Timer::Moves));
        self.moves_due = due;
        self.timers.insert((due, Timer::Moves));
    }

    /// Whether this gateway should take nothing more of a feed.
    pub(crate) fn outpaced(&self, feed: FeedId) -> bool {
        let long = |since: Option<Tenths>| since.is_some_and(|s| self.now >= s + self.terms.outpaced);
        long(self.strained) || self.feeds.get(&feed).is_some_and(|i| long(i.lags))
    }

    /// Chooses which subscriptions should move.
    pub(crate) fn on_moves_due(&mut self) {
        self.moves_timer(self.now + self.terms.rebalance);
        if let Some(until) = self.draining
            && self.now >= until
        {
            let left: Vec<SubId> = self.subs.keys().copied().collect();
            left.into_iter().for_each(|id| self.tell_later(id, 0, true));
            return;
        }
        if self.now < self.settled_at && self.draining.is_none() {
            return;
        }
        let (me, held) = (self.me, self.held() as u32);
        let mut places = self.places.clone();
        for place in places.iter_mut().filter(|p| p.id == me) {
            (place.held, place.draining) = (held, self.draining.is_some());
        }
        let mine = self.subs.iter().filter(|(_, s)| s.state == State::Owned).map(|(id, _)| *id);
        self.plan = spread::moves(me, mine, &places, self.terms.uneven).into();
        if let Some(until) = self.draining {
            self.moves_timer((self.now + self.terms.rebalance).min(until));
        } else {
            self.shed(&places);
        }
        self.begin_moves();
    }

    /// Gives a part of what outpaces this gateway to others, or tells it to come back.
    fn shed(&mut self, places: &[Place]) {
        let outpaced = |id: &SubId| self.subs.get(id).is_some_and(|s| self.outpaced(s.feed));
        let mine: Vec<SubId> = self.subs.keys().filter(|id| outpaced(id)).copied().collect();
        let part = mine.len().div_ceil(8);
        let others: Vec<Place> = places.iter().filter(|p| p.id != self.me && !p.draining).copied().collect();
        for id in mine.into_iter().take(part) {
            let room = |g: &GatewayId| others.iter().any(|p| p.id == *g && p.held < p.room);
            match spread::preference(id, &others).into_iter().find(room) {
                Some(to) => self.plan.push_front((id, to)),
                None => self.tell_later(id, self.terms.rest, true),
            }
        }
    }

    /// Offers as many as may be under way.
    fn begin_moves(&mut self) {
        while self.moving.len() < self.terms.moves {
            let Some((id, to)) = self.plan.pop_front() else { return };
            let now = self.now;
            let Some(sub) = self.subs.get_mut(&id).filter(|s| s.state == State::Owned && s.may_push(now))
            else {
                continue;
            };
            sub.state = State::Offered { to, since: now, asked: now };
            self.moving.insert(id);
            self.offer(id, to);
            self.sub_timer(id);
        }
    }

    fn offer(&mut self, id: SubId, to: GatewayId) {
        let Some(sub) = self.subs.get(&id) else { return };
        let message = Message::Offer { sub: id, feed: sub.feed, epoch: sub.epoch, at: sub.acked };
        self.out.push_back(Decision::Send { to: Party::Gateway(to), message });
    }

    pub(crate) fn on_handover_due(&mut self, id: SubId) {
        let (now, fence) = (self.now, self.terms.fence);
        let again = self.terms.resend / 2;
        let Some(sub) = self.subs.get_mut(&id) else { return };
        match &mut sub.state {
            State::Offered { since, .. } if now >= *since + self.terms.offer => self.go_back(id),
            State::Offered { to, asked, .. } if now >= *asked + again => {
                *asked = now;
                let to = *to;
                self.offer(id, to);
            }
            // The desk's own fence is over by then: it is on its way by itself.
            State::Left { .. } if now >= sub.lease_until + fence => self.end(id),
            State::Left { to, asked } if now >= *asked + again => {
                *asked = now;
                let to = *to;
                self.go(id, to);
            }
            _ => {}
        }
    }

    fn go_back(&mut self, id: SubId) {
        self.moving.remove(&id);
        if let Some(sub) = self.subs.get_mut(&id)
            && matches!(sub.state, State::Offered { .. })
        {
            sub.state = State::Owned;
            self.counts.went_back += 1;
        }
        self.begin_moves();
    }

    fn go(&mut self, id: SubId, to: GatewayId) {
        let Some(sub) = self.subs.get(&id) else { return };
        let message = Message::Go { sub: id, epoch: sub.epoch, to };
        self.out.push_back(Decision::Send { to: Party::Desk(id), message });
    }

    // The taker's side.

    pub(crate) fn on_offer(&mut self, giver: GatewayId, sub: SubId, feed: FeedId, epoch: u64, at: Point) {
        let over = self.fenced.get(&sub).is_some_and(|(over, _)| *over > epoch);
        let newer = self.subs.get(&sub).is_some_and(|s| s.epoch > epoch);
        let full = !self.warm.contains_key(&sub) && self.subs.len() + self.warm.len() >= self.terms.room;
        if over || newer || full || self.draining.is_some() || self.outpaced(feed) {
            let message = Message::Decline { sub, epoch };
            self.out.push_back(Decision::Send { to: Party::Gateway(giver), message });
            return;
        }
        self.ensure(feed, at);
        let until = self.now + self.terms.offer + self.terms.fence;
        let known = self.warm.get(&sub).filter(|w| w.epoch >= epoch && w.giver == giver);
        let lease_until = known.map_or(Tenths::MIN / 2, |w| w.lease_until);
        if known.is_none_or(|w| w.epoch == epoch) {
            let warm = Warm { feed, epoch, at, giver, lease_until, until, said: false };
            self.warm.insert(sub, warm);
            self.timers.insert((until, Timer::Warm(sub)));
        }
        self.warmed(feed);
    }

    /// Says ready for those offers of a feed that are caught up.
    pub(crate) fn warmed(&mut self, feed: FeedId) {
        let Some(intake) = self.feeds.get_mut(&feed) else { return };
        let peers: Vec<GatewayId> = self.places.iter().map(|p| p.id).filter(|g| *g != self.me).collect();
        for (sub, warm) in self.warm.iter_mut().filter(|(_, w)| w.feed == feed && !w.said) {
            if !intake.caught_up(warm.at) {
                intake.hunt(self.now, warm.at, &peers);
                continue;
            }
            warm.said = true;
            let message = Message::Ready { sub: *sub, epoch: warm.epoch, stamp: self.now };
            self.out.push_back(Decision::Send { to: Party::Gateway(warm.giver), message });
        }
    }

    pub(crate) fn on_given(&mut self, giver: GatewayId, sub: SubId, epoch: u64, stamp: Tenths, left: Tenths) {
        let Some(warm) = self.warm.get_mut(&sub).filter(|w| w.epoch == epoch && w.giver == giver) else {
            return;
        };
        // Counted from before it was asked for: the giver's lease ends no sooner.
        if stamp <= self.now {
            warm.lease_until = warm.lease_until.max(stamp + left);
        }
    }

    // The giver's side.

    pub(crate) fn on_ready(&mut self, peer: GatewayId, id: SubId, epoch: u64, stamp: Tenths) {
        let now = self.now;
        let Some(sub) = self.subs.get_mut(&id).filter(|s| s.epoch == epoch) else { return };
        match sub.state {
            State::Offered { to, .. } if to == peer => {
                if now >= sub.lease_until {
                    self.go_back(id);
                    return;
                }
                sub.state = State::Left { to, asked: now };
                sub.ready = false;
                // Danger: after a crash this gateway must not take the subscription up again under this epoch.
                let record = Record { feed: sub.feed, epoch, held: false, at: sub.acked };
                self.out.push_back(Decision::Record { sub: id, record });
                self.fence(id, epoch);
                self.moving.remove(&id);
                self.counts.moved_out += 1;
            }
            State::Left { to, .. } if to == peer => {}
            _ => return,
        }
        let left = self.subs.get(&id).map_or(0, |s| s.lease_until - now);
        if left > 0 {
            let message = Message::Given { sub: id, epoch, stamp, left };
            self.out.push_back(Decision::Send { to: Party::Gateway(peer), message });
        }
        self.go(id, peer);
        self.sub_timer(id);
        self.begin_moves();
    }

    pub(crate) fn on_decline(&mut self, peer: GatewayId, id: SubId, epoch: u64) {
        let offered = |s: &crate::sub::Sub| {
            s.epoch == epoch && matches!(s.state, State::Offered { to, .. } if to == peer)
        };
        if self.subs.get(&id).is_some_and(offered) {
            // It is not asked again before the next choice.
            self.plan.retain(|(_, to)| *to != peer);
            self.go_back(id);
        }
    }
}
