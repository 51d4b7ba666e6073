//! What publishers and edges say to each other.

use serde::{Deserialize, Serialize};
use vetchkeel_bounds::Tenths;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OfficeId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EdgeId(pub u32);

/// Rises with each bulletin of an office; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BulletinId(pub u64);

/// One publisher process of an office; the store hands out each once, rising.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// One process of an edge; the host says a new one at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Place of a change among all changes of its office, from 1. 0: nothing yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Release {
    /// True time from which it may be served, the instant itself left out.
    At(Tenths),
    /// Never, from now on. Nothing follows it.
    Withdrawn,
}

/// How long an edge goes on with a released bulletin after its lease is over: the bound on a withdrawal that can't reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Unheard {
    /// So long, 0 or more.
    For(Tenths),
    /// Until the bulletin ends.
    ToItsEnd,
}

/// What a refusal may tell of the release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Notice {
    /// The time of release is public: the come-back time follows it.
    Announced,
    /// Nothing, not even that there is such a bulletin: refused like an unknown one.
    Secret,
}

/// One bulletin's schedule, in one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Schedule {
    pub bulletin: BulletinId,
    pub version: Version,
    pub release: Release,
    /// True time from which nobody serves it any more and its schedule may be dropped.
    pub ends: Tenths,
    pub unheard: Unheard,
    pub notice: Notice,
}

/// An edge asks for a lease and says what it has: every ask acknowledges.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ask {
    pub office: OfficeId,
    /// The highest it has heard.
    pub epoch: Epoch,
    pub edge: EdgeId,
    pub incarnation: Incarnation,
    /// From 1, rising.
    pub request: u64,
    /// It holds every schedule up to this one, and acts on none older than its newest of a bulletin.
    pub applied: Version,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FromEdge {
    Ask(Ask),
    /// This process of the edge serves nothing any more.
    Leave {
        office: OfficeId,
        edge: EdgeId,
        incarnation: Incarnation,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// True time at which it is over.
    pub until: Tenths,
    /// And over so long after the edge asked, by the edge's own count, if that comes first.
    pub length: Tenths,
}

/// Schedules for one process of an edge, and a lease on them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Reply {
    pub office: OfficeId,
    pub epoch: Epoch,
    pub edge: EdgeId,
    pub incarnation: Incarnation,
    /// The request it answers; 0 for none.
    pub request: u64,
    /// The schedules are all that changed after this version...
    pub after: Version,
    /// ...up to this one, but for those that changed again later. At most [`BATCH`].
    pub through: Version,
    pub schedules: Vec<Schedule>,
    /// Counts only with all schedules up to `through`.
    pub grant: Option<Grant>,
}

/// Schedules in one reply: about 50 bytes each, so that a reply fits a datagram of 1,200 bytes.
pub const BATCH: usize = 16;
