//! One subscription at its gateway.

use crate::words::{FeedId, GatewayId, Point, Tenths};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum State {
    /// The desk has not echoed a stamp yet, so nothing is pushed.
    Greeting,
    Owned,
    /// Another gateway was asked to take it over; it is pushed on meanwhile.
    Offered {
        to: GatewayId,
        since: Tenths,
        asked: Tenths,
    },
    /// Given away: never pushed again under this epoch.
    Left {
        to: GatewayId,
        asked: Tenths,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Sub {
    pub(crate) feed: FeedId,
    pub(crate) epoch: u64,
    pub(crate) state: State,
    /// The desk has all before `acked`, and was sent all before `sent`.
    pub(crate) acked: Point,
    pub(crate) sent: Point,
    /// Nothing is pushed from then on.
    pub(crate) lease_until: Tenths,
    pub(crate) stamped: Tenths,
    /// When it was sent again last, and when the desk last came further or had nothing to acknowledge.
    pub(crate) again: Tenths,
    pub(crate) moved: Tenths,
    /// Since when it stands before the window.
    pub(crate) behind: Option<Tenths>,
    pub(crate) due: Tenths,
    /// Waits in line for a push.
    pub(crate) ready: bool,
}

impl Sub {
    pub(crate) fn new(now: Tenths, feed: FeedId, epoch: u64, at: Point) -> Sub {
        Sub {
            feed,
            epoch,
            state: State::Greeting,
            acked: at,
            sent: at,
            lease_until: now,
            stamped: now,
            again: now,
            moved: now,
            behind: None,
            due: Tenths::MAX,
            ready: false,
        }
    }

    /// Whether it may be pushed now.
    ///
    /// Danger: a gateway that was paused wakes with all its subscriptions as they were. The told time is compared at
    /// each push, not when the lease was renewed.
    pub(crate) fn may_push(&self, now: Tenths) -> bool {
        matches!(self.state, State::Owned | State::Offered { .. }) && now < self.lease_until
    }

    /// The desk echoed a stamp: it binds itself for the fence from a time after that stamp.
    pub(crate) fn echoed(&mut self, now: Tenths, echo: Tenths, lease: Tenths) {
        if echo > now {
            return;
        }
        self.lease_until = self.lease_until.max(echo + lease);
        if self.state == State::Greeting {
            self.state = State::Owned;
        }
    }

    /// The desk has all before a point.
    pub(crate) fn acknowledged(&mut self, now: Tenths, at: Point) {
        if at > self.acked {
            self.acked = at;
            self.moved = now;
            self.again = now;
        }
        self.sent = self.sent.max(self.acked);
        if self.sent == self.acked {
            self.moved = now;
        }
    }
}

/// What a gateway remembers of a subscription over a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    pub feed: FeedId,
    /// Never again pushed under this epoch or an older one.
    pub epoch: u64,
    /// Held when it was written; otherwise given away or ended.
    pub held: bool,
    pub at: Point,
}

impl Record {
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = vec![u8::from(self.held)];
        bytes.extend_from_slice(&self.feed.0.to_le_bytes());
        for number in [self.epoch, self.at.epoch, self.at.position] {
            bytes.extend_from_slice(&number.to_le_bytes());
        }
        bytes
    }

    /// None where the bytes are not a record.
    pub fn of(bytes: &[u8]) -> Option<Record> {
        let number = |at: usize| bytes.get(at..at + 8)?.try_into().ok().map(u64::from_le_bytes);
        let feed = u32::from_le_bytes(bytes.get(1..5)?.try_into().ok()?);
        let held = *bytes.first()? == 1;
        let at = Point::new(number(13)?, number(21)?);
        (bytes.len() == 29).then_some(Record { feed: FeedId(feed), epoch: number(5)?, held, at })
    }
}
