//! Timing of the failure detector and of the gossip. All instances of a fleet use the same plan.

use std::fmt;

use crate::Tenths;

/// Maximum number of other instances in the view: about twice a fleet of 2,100, because as many again may still be remembered
/// as gone after restarts under new names. At the bound, the instance that has been gone for longest is forgotten; if none
/// is gone, a further one is not added. The bound limits memory; `docs/membership.md` gives the size of one entry.
pub const MOST_INSTANCES: usize = 4_096;

/// Timing parameters of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Number of the fleet: messages of other fleets are ignored.
    pub fleet: u32,
    /// Time between two probes by an instance with a local health score of 0.
    pub period: Tenths,
    /// Number of helpers for indirect probes after a direct probe was not answered.
    pub helpers: usize,
    /// Minimum length of a suspicion, in periods per factor of ten in the size of the fleet.
    pub patience: i64,
    /// Maximum length of a suspicion that nobody else confirms, as a multiple of the minimum.
    pub slack: i64,
    /// Interval of the attempts to reach a dead instance or a seed that is not in the view.
    pub reach: Tenths,
    /// Interval of the full comparison of views with a random peer (anti-entropy).
    pub compare: Tenths,
    /// How long an instance that is gone stays in the view.
    pub forget: Tenths,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            fleet: 0,
            period: 5_000,
            helpers: 3,
            patience: 4,
            slack: 3,
            reach: 20_000,
            compare: 100_000,
            forget: 36_000_000,
        }
    }
}

/// An invalid plan: the value and its valid range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadPlan {
    /// Name of the invalid value.
    pub what: &'static str,
    /// The valid range.
    pub expected: &'static str,
}

impl fmt::Display for BadPlan {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: expected {}", self.what, self.expected)
    }
}

impl std::error::Error for BadPlan {}

impl Plan {
    /// Checks the ranges of all values.
    ///
    /// # Errors
    /// [`BadPlan`] names the first invalid value.
    pub fn check(&self) -> Result<(), BadPlan> {
        let rules = [
            (self.period >= 500 && self.period <= 600_000, "period", "50 ms to 1 min"),
            (self.helpers <= 8, "helpers", "at most 8"),
            ((1..=32).contains(&self.patience), "patience", "1 to 32"),
            ((1..=32).contains(&self.slack), "slack", "1 to 32"),
            (self.reach >= self.period, "reach", "at least one period"),
            (self.compare >= self.period, "compare", "at least one period"),
            (self.forget >= 10 * self.reach, "forget", "at least ten times reach"),
        ];
        match rules.into_iter().find(|(valid, ..)| !valid) {
            Some((_, what, expected)) => Err(BadPlan { what, expected }),
            None => Ok(()),
        }
    }
}
