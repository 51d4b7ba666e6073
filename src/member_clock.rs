//! The members' clock as seen from this router's: by how much the two are apart, and how late it may be there.
//!
//! Positions and starts are Unix times by the members' clocks. A router's own Unix time is one reading of its wall clock
//! at the start, which may be wrong by seconds or by an hour, carried on by the monotonic clock. What a primary says of
//! its position bounds the offset (Cristian's algorithm): if the position was the present at some time after `since` and was
//! heard at `heard` on this router's clock, it lies between. Bounds are intersected (Marzullo's algorithm), so the
//! narrowest count. No other evidence moves the clock. Danger: a clock that is set back makes every replica look fresher, at
//! all routers alike; so nothing may bound the offset from above whose age is not proven.

use crate::interface::Tenths;

/// What reading a clock and rounding a position may add up to.
const READING: Tenths = 50;
/// So many pieces of evidence that contradict the clock, and agree, correct it. Danger: one position that was spoilt on
/// its way would.
const AGREE: usize = 3;
/// And they must have come over at least so long, with nothing in between that refutes them. Danger: whatever stands still
/// for a moment and is dated wrongly tells the same several times at its end.
const AGREE_OVER: Tenths = 5_000;
/// What is kept of it: the first and the last ones.
const KEPT: usize = 8;
/// By how much the clock may be behind theirs without a look at the bounds: a part of the 50 ms that the operators' pages grant.
const TRUSTED: Tenths = 300;
/// Two clocks drift apart by one part in so many: bounds widen by that. Danger: given up after a time, they would be lost in
/// the quiet, and with them every replica.
const DRIFT_ONE_IN: Tenths = 10_000;

/// What one position proves of the offset: it lies between these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Evidence {
    pub least: Tenths,
    pub most: Tenths,
}

impl Default for Evidence {
    fn default() -> Evidence {
        Evidence { least: Tenths::MIN, most: Tenths::MAX }
    }
}

impl Evidence {
    /// A position, heard at `heard`, that was the present there at some time after `since`, give or take `delay`: a commit
    /// that was asked for then, or a primary's position that has advanced since (`Progress`).
    pub(crate) fn of_primary(position: Tenths, since: Tenths, heard: Tenths, delay: Tenths) -> Evidence {
        let most = position.saturating_sub(since).saturating_add(delay + READING);
        Evidence { most, ..Evidence::of_any(position, heard) }
    }

    /// A position that was told by `heard`; since when it has been the present at some moment, where that is proven.
    pub(crate) fn told(position: Tenths, since: Option<Tenths>, heard: Tenths, delay: Tenths) -> Evidence {
        match since {
            Some(since) => Evidence::of_primary(position, since, heard, delay),
            None => Evidence::of_any(position, heard),
        }
    }

    /// Nobody has applied what is yet to come.
    pub(crate) fn of_any(position: Tenths, heard: Tenths) -> Evidence {
        Evidence { least: position.saturating_sub(heard + READING), most: Tenths::MAX }
    }

    fn holds(&self, offset: Tenths) -> bool {
        (self.least..=self.most).contains(&offset)
    }

    fn and(&self, other: &Evidence) -> Evidence {
        Evidence { least: self.least.max(other.least), most: self.most.min(other.most) }
    }

    /// Bounds that are not known stay so.
    fn widened(&self, by: Tenths) -> Evidence {
        Evidence { least: self.least.saturating_sub(by), most: self.most.saturating_add(by) }
    }

    fn late_side(&self) -> Tenths {
        (self.most - READING).max(self.least)
    }

    fn is_possible(&self) -> bool {
        self.least <= self.most
    }

    fn is_of_primary(&self) -> bool {
        self.most < Tenths::MAX
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct MemberClock {
    /// What this router's time lacks to theirs.
    offset: Tenths,
    /// A primary has borne it out.
    confirmed: bool,
    /// The host's time is theirs.
    exact: bool,
    /// It is no longer the one of the wall clock.
    corrected: bool,
    /// What is left of the offset by all that has borne it out, as of then.
    bounds: Evidence,
    bounds_at: Tenths,
    /// Evidence against it that no evidence for it refutes, and when that came.
    against: Vec<(Tenths, Evidence)>,
}

impl MemberClock {
    /// Their time, as far as is known.
    pub(crate) fn now(&self, now: Tenths) -> Tenths {
        now + self.offset
    }

    /// The latest that it may be there; None as long as no primary has borne the clock out.
    pub(crate) fn latest(&self, now: Tenths) -> Option<Tenths> {
        self.is_confirmed().then_some(now.saturating_add(self.latest_offset(now)))
    }

    /// By how much it is taken to be ahead, and may be at the most.
    pub(crate) fn ahead(&self, now: Tenths) -> (Tenths, Tenths) {
        (self.offset, self.latest_offset(now))
    }

    /// The earliest time here at which it can have been this time there, as far as is known by now.
    pub(crate) fn earliest_here(&self, now: Tenths, there: Tenths) -> Tenths {
        there.saturating_sub(self.latest_offset(now))
    }

    /// Danger: a wall clock that is behind by less than the age of a report agrees with that report. So the clock counts as
    /// late as the bounds allow, whatever it says itself.
    fn latest_offset(&self, now: Tenths) -> Tenths {
        let bounds = self.bounds.widened(self.drift(now));
        let proven = if bounds.is_of_primary() { bounds.most - TRUSTED } else { self.offset };
        self.against
            .iter()
            .map(|(_, e)| e.least.saturating_add(READING))
            .fold(self.offset.max(proven), Tenths::max)
    }

    /// The host's time is the members' own: no wall clock was read.
    pub(crate) fn is_theirs(&mut self) {
        self.exact = true;
    }

    /// Whether a primary has borne it out, or it is theirs.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.confirmed || self.exact
    }

    /// Whether evidence against it waits for more that agrees.
    pub(crate) fn is_contradicted(&self) -> bool {
        !self.against.is_empty()
    }

    /// Whether a position may have been reached by now, as far as is known.
    pub(crate) fn is_past(&self, position: Tenths, now: Tenths) -> bool {
        position <= self.now(now) + READING
    }

    /// Takes evidence in, now. A corrected clock is as late as the evidence allows: positions then rather look old. True
    /// if the offset in use changes.
    pub(crate) fn learn(&mut self, now: Tenths, evidence: Evidence) -> bool {
        if self.exact {
            return false;
        }
        let before = self.offset;
        let drift = self.drift(now);
        self.bounds = self.bounds.widened(drift);
        self.bounds_at += drift * DRIFT_ONE_IN;
        if evidence.holds(self.offset) || (self.corrected && self.bounds.and(&evidence).is_possible()) {
            self.bear_out(evidence);
        } else {
            self.contradict(now, evidence);
        }
        self.offset != before
    }

    /// By how much the clocks may have drifted apart since the bounds' time.
    fn drift(&self, now: Tenths) -> Tenths {
        (now - self.bounds_at).max(0) / DRIFT_ONE_IN
    }

    fn bear_out(&mut self, evidence: Evidence) {
        self.bounds = self.bounds.and(&evidence);
        if self.corrected {
            self.offset = self.bounds.late_side();
        }
        // Danger: a report that may be a second old says nothing against an answer that is not. What is refuted goes.
        if evidence.is_of_primary() {
            self.confirmed = true;
            self.against.retain(|(_, e)| e.and(&evidence).is_possible());
        }
    }

    fn contradict(&mut self, now: Tenths, evidence: Evidence) {
        let agreed = self.against.iter().fold(evidence, |all, (_, e)| all.and(e));
        if !agreed.is_possible() {
            self.against.clear();
        }
        if self.against.len() == KEPT {
            self.against.remove(1);
        }
        self.against.push((now, evidence));
        let over = now - self.against[0].0;
        let enough = self.against.len() >= AGREE && over >= AGREE_OVER;
        if agreed.is_possible() && agreed.is_of_primary() && enough {
            self.offset = agreed.late_side();
            (self.bounds, self.bounds_at) = (agreed, now);
            (self.confirmed, self.corrected) = (true, true);
            self.against.clear();
        }
    }
}

#[cfg(test)]
mod tests;
