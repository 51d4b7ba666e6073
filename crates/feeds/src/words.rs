//! What all parts of a feed name alike: points, entries, items and the messages between desks, gateways and primaries.

use crate::Lineage;
use std::sync::Arc;

/// Tenths of a millisecond, told by the host from a clock that never goes back.
pub type Tenths = i64;
pub const MILLISECOND: Tenths = 10;
pub const SECOND: Tenths = 10_000;

/// A cluster set's feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FeedId(pub u32);

/// A router that holds subscriptions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GatewayId(pub u32);

/// A desk's subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubId(pub u64);

/// A place in a feed: before the entry of that epoch and position. Epochs count from 1; greater epochs come later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Point {
    pub epoch: u64,
    pub position: u64,
}

impl Point {
    /// Where a desk stands that has seen nothing and wants what comes from now on.
    pub const NEW: Point = Point { epoch: 0, position: 0 };

    pub fn new(epoch: u64, position: u64) -> Point {
        Point { epoch, position }
    }

    pub fn plus(self, entries: u64) -> Point {
        Point { position: self.position.saturating_add(entries), ..self }
    }
}

/// Positions `from..to` of one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Range {
    pub epoch: u64,
    pub from: u64,
    pub to: u64,
}

/// A bulletin in its place.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    pub at: Point,
    pub payload: Arc<[u8]>,
}

/// A step of a subscription: a desk that stands at `after` stands at `next` once it has taken it, and only such a desk
/// takes it. That one rule keeps order and leaves nothing out whatever is lost, late or doubled on the way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Item {
    pub after: Point,
    pub next: Point,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum What {
    Bulletin(Arc<[u8]>),
    /// The subscription begins at `next`.
    Begin,
    /// The feed goes on in another epoch. What the desk had seen in these ranges was lost by the set and does not count.
    Turn {
        retracted: Vec<Range>,
    },
    /// Nobody keeps what lies between `after` and `next` any more.
    Gap,
}

/// Who sends or gets a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Party {
    Desk(SubId),
    Gateway(GatewayId),
    /// The primary of a feed's set, whoever that is now.
    Primary(FeedId),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A desk brings its resume token to a gateway, under an epoch that it has used nowhere else. `slot`: the time that
    /// this gateway told it to come back at, on the gateway's clock.
    Resume {
        sub: SubId,
        feed: FeedId,
        epoch: u64,
        at: Point,
        slot: Option<Tenths>,
    },
    /// The desk has taken all before `at`. `echo` is the newest stamp that it heard of: the desk binds itself to this
    /// gateway for the fence from now on. `again`: something between is missing.
    Ack {
        sub: SubId,
        epoch: u64,
        at: Point,
        echo: Tenths,
        again: bool,
    },
    /// The desk is past what it was told under an older epoch.
    Gone {
        sub: SubId,
        epoch: u64,
    },
    /// A gateway's items for a desk; without items it asks for an echo alone. `stamp` is the gateway's time.
    Push {
        sub: SubId,
        epoch: u64,
        stamp: Tenths,
        items: Vec<Item>,
    },
    /// The sender has ended its part under this epoch; the desk goes on there.
    Go {
        sub: SubId,
        epoch: u64,
        to: GatewayId,
    },
    /// The desk comes back after a time, here or `elsewhere`. `ended`: the sender held it and never does again under this
    /// epoch; otherwise it refused a resume token, of which a double may have been taken since.
    Later {
        sub: SubId,
        epoch: u64,
        after: Tenths,
        slot: Option<Tenths>,
        elsewhere: bool,
        ended: bool,
    },
    /// Will you take it over? The desk has all before `at`.
    Offer {
        sub: SubId,
        feed: FeedId,
        epoch: u64,
        at: Point,
    },
    /// Caught up and a place is kept. `stamp` is the sender's time.
    Ready {
        sub: SubId,
        epoch: u64,
        stamp: Tenths,
    },
    /// It is yours from here on: the giver's lease had `left` to go at a time after `stamp`.
    Given {
        sub: SubId,
        epoch: u64,
        stamp: Tenths,
        left: Tenths,
    },
    Decline {
        sub: SubId,
        epoch: u64,
    },
    /// The desk has come, under this epoch.
    Taken {
        sub: SubId,
        epoch: u64,
    },
    /// Entries from a point on; `follow`: and those that come, for a while.
    Fetch {
        feed: FeedId,
        from: Point,
        follow: bool,
    },
    /// An answer, or what is new. `first` is the oldest that the sender keeps, `head` what it takes for the end.
    Entries {
        feed: FeedId,
        lineage: Lineage,
        from: Point,
        payloads: Vec<Arc<[u8]>>,
        first: Point,
        head: Point,
    },
}
