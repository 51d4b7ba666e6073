//! A rate kept by one number: the time at which the next is due (the generic cell rate algorithm).

use crate::words::{SECOND, Tenths};

/// Parts of a tenth, so that rates beyond 10,000 a second are exact enough.
const PARTS: i64 = 1_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Pace {
    due: i64,
    cost: i64,
    burst: i64,
}

impl Pace {
    /// So many a second; `burst`: how far ahead of its time one may come.
    pub(crate) fn new(rate: i64, burst: Tenths) -> Pace {
        Pace { due: i64::MIN / 2, cost: (SECOND * PARTS / rate.max(1)).max(1), burst: burst * PARTS }
    }

    /// Takes one, or says when there will be one.
    pub(crate) fn take(&mut self, now: Tenths) -> Result<(), Tenths> {
        let at = now * PARTS;
        if self.due > at + self.burst {
            return Err((self.due - self.burst + PARTS - 1) / PARTS);
        }
        self.due = self.due.max(at) + self.cost;
        Ok(())
    }

    /// Books the next free time, if that is not further off than `ahead`.
    pub(crate) fn book(&mut self, now: Tenths, ahead: Tenths) -> Option<Tenths> {
        let slot = self.due.max(now * PARTS);
        let near = slot <= (now + ahead) * PARTS;
        if near {
            self.due = slot + self.cost;
        }
        near.then_some((slot + PARTS - 1) / PARTS)
    }
}
