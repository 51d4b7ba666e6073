//! The members' clock as seen from this router's: by how much the two are apart, and how late it may be there.
//!
//! Positions and starts are Unix times by the members' clocks. A router's own Unix time is one reading of its wall clock
//! at the start, which may be wrong by seconds or by an hour, carried on by the monotonic clock. What a primary says of
//! its position bounds the offset, as it is positioned at the present (Cristian's algorithm): asked at `asked` and
//! heard at `heard` on this router's clock, `position` lies between. No other evidence moves the clock.

use crate::interface::Tenths;

/// What reading a clock and rounding a position may add up to.
const READING: Tenths = 50;
/// So many pieces of evidence in a row that contradict the clock, and agree, correct it. Danger: one position that was
/// spoilt on its way would.
const AGREE: usize = 3;
/// What is kept of it; the oldest goes.
const KEPT: usize = 8;

/// What one position proves of the offset: it lies between these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Evidence {
    pub least: Tenths,
    pub most: Tenths,
}

impl Evidence {
    /// A primary that was asked at `asked` gave this position by `heard`; it was known there for `age` at most.
    pub(crate) fn of_primary(position: Tenths, asked: Tenths, heard: Tenths, age: Tenths) -> Evidence {
        let most = position.saturating_sub(asked).saturating_add(age + READING);
        Evidence { most, ..Evidence::of_any(position, heard) }
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
}

#[derive(Clone, Debug, Default)]
pub(crate) struct MemberClock {
    /// What this router's time lacks to theirs.
    offset: Tenths,
    /// A primary has borne it out.
    confirmed: bool,
    /// Evidence against it since it was last borne out.
    against: Vec<Evidence>,
}

impl MemberClock {
    /// Their time, as far as is known.
    pub(crate) fn now(&self, now: Tenths) -> Tenths {
        now + self.offset
    }

    /// The latest that it may be there; None as long as no primary has borne the clock out.
    pub(crate) fn latest(&self, now: Tenths) -> Option<Tenths> {
        let later =
            self.against.iter().map(|e| e.least.saturating_add(READING)).fold(self.offset, Tenths::max);
        self.confirmed.then_some(now.saturating_add(later))
    }

    /// Whether a primary has borne it out.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Whether a position may have been reached by now, as far as is known.
    pub(crate) fn is_past(&self, position: Tenths, now: Tenths) -> bool {
        position <= self.now(now) + READING
    }

    /// Takes evidence in. A corrected clock is as late as the evidence allows: positions then rather look old.
    pub(crate) fn learn(&mut self, evidence: Evidence) {
        if evidence.holds(self.offset) {
            if evidence.most < Tenths::MAX {
                self.confirmed = true;
                self.against.clear();
            }
            return;
        }
        let agreed = self.against.iter().fold(evidence, |all, e| all.and(e));
        if agreed.least > agreed.most {
            self.against.clear();
        }
        if self.against.len() == KEPT {
            self.against.remove(0);
        }
        self.against.push(evidence);
        if agreed.least <= agreed.most && agreed.most < Tenths::MAX && self.against.len() >= AGREE {
            self.offset = agreed.most - READING;
            self.confirmed = true;
            self.against.clear();
        }
    }
}

#[cfg(test)]
mod tests;
