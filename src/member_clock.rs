//! Estimates the offset between the members' clock and this router's clock, with bounds.
//!
//! Positions and start times are Unix times by the members' clocks. A router's own Unix time is one reading of its wall
//! clock at the start, which may be wrong by seconds or by an hour, advanced by the monotonic clock. A position sent by
//! a primary bounds the offset (Cristian's algorithm): if the position was the current time there at some moment after
//! `since`, and was received at `received_at` on this router's clock, the moment lies between the two. Bounds are intersected
//! (Marzullo's algorithm), so the narrowest ones prevail. No other evidence changes the estimate. A clock estimate that
//! is too early makes every replica look fresher, at all routers alike; so only positions of proven age may bound the
//! offset from above.

use crate::interface::Tenths;

/// The maximum combined error of reading a clock and rounding a position.
const READ_ERROR: Tenths = 50;
/// How many consistent pieces of evidence that contradict the estimate are needed to correct it. With one, a single
/// corrupted position would correct it.
const MIN_CONSISTENT: usize = 3;
/// The minimum time span over which that evidence must have arrived, with nothing in between that refutes it. A source
/// that hangs for a moment and is dated wrongly sends the same position several times at the end of the hang.
const MIN_CONSISTENT_SPAN: Tenths = 5_000;
/// How many pieces of contradicting evidence are kept: the first one and the latest ones.
const MAX_CONTRADICTING: usize = 8;
/// How far the estimate may be behind the members' clock without being moved to its upper bound: part of the 50 ms
/// that the operators' documentation allows.
const TOLERATED_LAG: Tenths = 300;
/// Two clocks are assumed to drift apart by one part in this many, and the bounds widen accordingly. If bounds expired
/// after a time instead, a period without traffic would lose them, and no replica would count as fresh.
const DRIFT_DIVISOR: Tenths = 10_000;

/// The bounds on the clock offset that one position proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OffsetEvidence {
    pub lower: Tenths,
    pub upper: Tenths,
}

impl Default for OffsetEvidence {
    fn default() -> OffsetEvidence {
        OffsetEvidence { lower: Tenths::MIN, upper: Tenths::MAX }
    }
}

impl OffsetEvidence {
    /// Evidence from a position, received at `received_at`, that was the current time at the member at some moment after
    /// `since - delay`: a commit requested at `since`, or a primary's position that has advanced since (`Progress`).
    pub(crate) fn from_primary(
        position: Tenths,
        since: Tenths,
        received_at: Tenths,
        delay: Tenths,
    ) -> OffsetEvidence {
        let upper = position.saturating_sub(since).saturating_add(delay + READ_ERROR);
        OffsetEvidence { upper, ..OffsetEvidence::from_any_member(position, received_at) }
    }

    /// Evidence from a position received at `received_at`; `since` is set if the position is proven to have been the current
    /// time at some moment after it.
    pub(crate) fn from_position(
        position: Tenths,
        since: Option<Tenths>,
        received_at: Tenths,
        delay: Tenths,
    ) -> OffsetEvidence {
        match since {
            Some(since) => OffsetEvidence::from_primary(position, since, received_at, delay),
            None => OffsetEvidence::from_any_member(position, received_at),
        }
    }

    /// Evidence from a position of unknown age. It bounds the offset from below only: no member can have applied
    /// commits of the future.
    pub(crate) fn from_any_member(position: Tenths, received_at: Tenths) -> OffsetEvidence {
        OffsetEvidence { lower: position.saturating_sub(received_at + READ_ERROR), upper: Tenths::MAX }
    }

    fn contains(&self, offset: Tenths) -> bool {
        (self.lower..=self.upper).contains(&offset)
    }

    fn intersect(&self, other: &OffsetEvidence) -> OffsetEvidence {
        OffsetEvidence { lower: self.lower.max(other.lower), upper: self.upper.min(other.upper) }
    }

    /// Widens both bounds; unknown bounds stay unknown.
    fn widened(&self, by: Tenths) -> OffsetEvidence {
        OffsetEvidence { lower: self.lower.saturating_sub(by), upper: self.upper.saturating_add(by) }
    }

    /// The highest plausible offset: the upper bound less the reading error.
    fn upper_estimate(&self) -> Tenths {
        (self.upper - READ_ERROR).max(self.lower)
    }

    fn is_consistent(&self) -> bool {
        self.lower <= self.upper
    }

    fn has_upper_bound(&self) -> bool {
        self.upper < Tenths::MAX
    }
}

/// The estimate of the members' clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberClock {
    /// The members' time minus this router's time.
    offset: Tenths,
    /// Evidence from a primary has confirmed the offset.
    confirmed: bool,
    /// The host's time is the members' own time.
    exact: bool,
    /// The offset has been corrected and is no longer that of the wall clock.
    corrected: bool,
    /// The intersection of all evidence that has confirmed the offset, as of `bounds_at`.
    bounds: OffsetEvidence,
    bounds_at: Tenths,
    /// Evidence that contradicts the offset and has not been refuted by confirming evidence, with the time of arrival.
    contradicting: Vec<(Tenths, OffsetEvidence)>,
}

impl MemberClock {
    /// The estimated time at the members.
    pub(crate) fn now(&self, now: Tenths) -> Tenths {
        now + self.offset
    }

    /// The latest possible time at the members; None until a primary has confirmed the clock.
    pub(crate) fn latest(&self, now: Tenths) -> Option<Tenths> {
        self.is_confirmed().then_some(now.saturating_add(self.latest_offset(now)))
    }

    /// The estimated offset by which the members' clock is ahead, and its upper bound.
    pub(crate) fn offset_and_bound(&self, now: Tenths) -> (Tenths, Tenths) {
        (self.offset, self.latest_offset(now))
    }

    /// The earliest time on this router's clock at which the members' clock can have shown `there`.
    pub(crate) fn earliest_local_time(&self, now: Tenths, there: Tenths) -> Tenths {
        there.saturating_sub(self.latest_offset(now))
    }

    /// The upper bound of the offset. A wall clock that is behind by less than the age of a report agrees with that
    /// report, so the result is as late as the bounds allow, regardless of the estimate.
    fn latest_offset(&self, now: Tenths) -> Tenths {
        let bounds = self.bounds.widened(self.drift(now));
        let proven = if bounds.has_upper_bound() { bounds.upper - TOLERATED_LAG } else { self.offset };
        self.contradicting
            .iter()
            .map(|(_, e)| e.lower.saturating_add(READ_ERROR))
            .fold(self.offset.max(proven), Tenths::max)
    }

    /// Declares that the host's time is the members' own time and does not depend on a wall clock.
    pub(crate) fn use_exact_time(&mut self) {
        self.exact = true;
    }

    /// Whether a primary has confirmed the clock, or it is the members' own.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.confirmed || self.exact
    }

    /// Whether there is contradicting evidence that has not been refuted but is too little for a correction.
    pub(crate) fn is_contradicted(&self) -> bool {
        !self.contradicting.is_empty()
    }

    /// Whether a position is not in the future by the estimated members' time.
    pub(crate) fn has_passed(&self, position: Tenths, now: Tenths) -> bool {
        position <= self.now(now) + READ_ERROR
    }

    /// Updates the estimate with evidence received at `now`. A corrected clock is set as late as the evidence allows, so
    /// that positions look too old rather than too fresh. Returns whether the offset in use has changed.
    pub(crate) fn learn(&mut self, now: Tenths, evidence: OffsetEvidence) -> bool {
        if self.exact {
            return false;
        }
        let before = self.offset;
        let drift = self.drift(now);
        self.bounds = self.bounds.widened(drift);
        self.bounds_at += drift * DRIFT_DIVISOR;
        if evidence.contains(self.offset)
            || (self.corrected && self.bounds.intersect(&evidence).is_consistent())
        {
            self.confirm(evidence);
        } else {
            self.record_contradiction(now, evidence);
        }
        self.offset != before
    }

    /// How far the clocks may have drifted apart since `bounds_at`.
    fn drift(&self, now: Tenths) -> Tenths {
        (now - self.bounds_at).max(0) / DRIFT_DIVISOR
    }

    fn confirm(&mut self, evidence: OffsetEvidence) {
        self.bounds = self.bounds.intersect(&evidence);
        if self.corrected {
            self.offset = self.bounds.upper_estimate();
        }
        // Only contradicting evidence that is incompatible with the new evidence is refuted and dropped: a report that
        // may be a second old does not refute an answer that is not.
        if evidence.has_upper_bound() {
            self.confirmed = true;
            self.contradicting.retain(|(_, e)| e.intersect(&evidence).is_consistent());
        }
    }

    fn record_contradiction(&mut self, now: Tenths, evidence: OffsetEvidence) {
        let common = self.contradicting.iter().fold(evidence, |all, (_, e)| all.intersect(e));
        if !common.is_consistent() {
            self.contradicting.clear();
        }
        if self.contradicting.len() == MAX_CONTRADICTING {
            self.contradicting.remove(1);
        }
        self.contradicting.push((now, evidence));
        let span = now - self.contradicting[0].0;
        let enough = self.contradicting.len() >= MIN_CONSISTENT && span >= MIN_CONSISTENT_SPAN;
        if common.is_consistent() && common.has_upper_bound() && enough {
            self.offset = common.upper_estimate();
            (self.bounds, self.bounds_at) = (common, now);
            (self.confirmed, self.corrected) = (true, true);
            self.contradicting.clear();
        }
    }
}

#[cfg(test)]
mod tests;
