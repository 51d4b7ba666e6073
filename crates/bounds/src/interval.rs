//! The values exchanged with the host: clock readings, intervals and samples.

use serde::{Deserialize, Serialize};

/// Tenths of a millisecond. True times are counted from the Unix epoch.
pub type Tenths = i64;

pub const SECOND: Tenths = 10_000;

/// A source of time: a peer, a publisher or the host's own reference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SourceId(pub u32);

/// Both clocks of a host, read in immediate succession.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The monotonic clock: never goes back and is never stepped, but may stop while the machine sleeps.
    pub mono: Tenths,
    /// The wall clock. Used only to detect sleep and clock steps, never as the time.
    pub wall: Tenths,
}

/// An interval that contains the true time, bounds included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Interval {
    pub earliest: Tenths,
    pub latest: Tenths,
}

impl Interval {
    pub fn width(&self) -> Tenths {
        self.latest - self.earliest
    }

    /// Whether `instant` is in the past for every time in the interval.
    pub fn is_past(&self, instant: Tenths) -> bool {
        self.earliest > instant
    }

    /// Whether `instant` may have been reached. Only if this is false is `instant` certainly in the future.
    pub fn may_have_reached(&self, instant: Tenths) -> bool {
        self.latest >= instant
    }

    pub(crate) fn overlaps(&self, other: &Interval) -> bool {
        self.earliest <= other.latest && other.earliest <= self.latest
    }
}

/// What is known about the time at one instant. `mono` and `count` are comparable only between moments of the same
/// clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Moment {
    /// The monotonic reading. Elapsed time measured by it may be too short if the machine slept.
    pub mono: Tenths,
    /// The monotonic reading plus every forward jump of the wall clock against it. Elapsed time measured by it may be
    /// too long.
    pub count: Tenths,
    /// `None` if the true time cannot be bounded at this instant.
    pub time: Option<Interval>,
}

/// The latest possible time at an earlier moment, carried forward by `count`: an upper bound that remains valid after
/// the sources stop agreeing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Anchor {
    pub count: Tenths,
    pub latest: Tenths,
}

impl Anchor {
    /// `None` if the time is not bounded at `moment`.
    pub fn of(moment: &Moment) -> Option<Anchor> {
        moment.time.map(|time| Anchor { count: moment.count, latest: time.latest })
    }

    /// Upper bound of the true time at `moment`, which belongs to the same clock; the clock drifts by at most `ppm`.
    pub fn latest(&self, moment: &Moment, ppm: i64) -> Tenths {
        let elapsed = moment.count - self.count + 1;
        let carried = self.latest.saturating_add(elapsed).saturating_add(drift_allowance(elapsed, ppm));
        moment.time.map_or(carried, |time| time.latest.min(carried))
    }
}

/// One answer of a source to a time request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// [`Moment::mono`] when the request was sent.
    pub sent_mono: Tenths,
    /// [`Moment::count`] when the request was sent.
    pub sent_count: Tenths,
    /// The interval that the source gave for the time of its answer.
    pub answer: Interval,
}

/// The most that a clock with a drift of at most `ppm` parts per million gains or loses over `elapsed`, rounded up.
pub fn drift_allowance(elapsed: Tenths, ppm: i64) -> Tenths {
    let exact = i128::from(elapsed.max(0)) * i128::from(ppm.max(0));
    ((exact + 999_999) / 1_000_000).min(i128::from(i64::MAX / 4)) as Tenths
}
