//! The values at the border: readings, intervals, samples.

use serde::{Deserialize, Serialize};

/// A tenth of a millisecond. True times count from the Unix epoch.
pub type Tenths = i64;

pub const SECOND: Tenths = 10_000;

/// Who answers questions about the time: a peer, a publisher, the host's own reference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SourceId(pub u32);

/// Both of a host's clocks, read one right after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Never goes back, never stepped; may stand still while the machine sleeps.
    pub mono: Tenths,
    /// What the machine takes for the time of day. Used to notice sleep and steps only, never as the time.
    pub wall: Tenths,
}

/// The true time lies in here, ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Interval {
    pub earliest: Tenths,
    pub latest: Tenths,
}

impl Interval {
    pub fn width(&self) -> Tenths {
        self.latest - self.earliest
    }

    /// The given instant has passed, whatever the true time in here is.
    pub fn passed(&self, instant: Tenths) -> bool {
        self.earliest > instant
    }

    /// The given instant may have come: only if this is false is it sure to lie ahead.
    pub fn reached(&self, instant: Tenths) -> bool {
        self.latest >= instant
    }

    pub(crate) fn meets(&self, other: &Interval) -> bool {
        self.earliest <= other.latest && other.earliest <= self.latest
    }
}

/// What is known of the time at one instant. Values of `mono` and `count` compare only with others of the same clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Moment {
    /// The monotonic reading: an elapsed time by it may be too short if the machine slept.
    pub mono: Tenths,
    /// The monotonic reading and all that the wall clock ran ahead of it: an elapsed time by it may be too long.
    pub count: Tenths,
    /// None if the true time can't be bounded now.
    pub time: Option<Interval>,
}

/// A latest possible time once known, carried on by the count: an upper bound that outlives the agreement of sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Anchor {
    pub count: Tenths,
    pub latest: Tenths,
}

impl Anchor {
    /// None if the time isn't bounded now.
    pub fn of(moment: &Moment) -> Option<Anchor> {
        moment.time.map(|time| Anchor { count: moment.count, latest: time.latest })
    }

    /// The true time is not later than this at `moment`, of the same clock, whose drift is at most `ppm`.
    pub fn latest(&self, moment: &Moment, ppm: i64) -> Tenths {
        let elapsed = moment.count - self.count + 1;
        let carried = self.latest.saturating_add(elapsed).saturating_add(widening(elapsed, ppm));
        moment.time.map_or(carried, |time| time.latest.min(carried))
    }
}

/// One answered question about the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// As [`Moment::mono`] said when the question left.
    pub asked_mono: Tenths,
    /// As [`Moment::count`] said when the question left.
    pub asked_count: Tenths,
    /// What the source held the time to be when it answered.
    pub theirs: Interval,
}

/// How much a clock that drifts by at most `ppm` parts in a million gains or loses over `elapsed`, rounded up.
pub fn widening(elapsed: Tenths, ppm: i64) -> Tenths {
    let exact = i128::from(elapsed.max(0)) * i128::from(ppm.max(0));
    ((exact + 999_999) / 1_000_000).min(i128::from(i64::MAX / 4)) as Tenths
}
