//! How often and how patiently a fleet looks after itself. The same on every instance.

use std::fmt;

use crate::Tenths;

/// Most other instances that one keeps. Twice a fleet of 2,100: as many again may be remembered as gone, restarted under
/// new names. At the bound the one that has been gone for longest is forgotten; if all are there, a further one is not
/// taken in. It guards memory: `docs/membership.md` says what one takes.
pub const MOST_INSTANCES: usize = 4_096;

/// The rhythm of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Number of the fleet: messages of another one are refused.
    pub fleet: u32,
    /// Time between two probes of one instance that trusts itself.
    pub period: Tenths,
    /// Helpers asked when a probe is not answered.
    pub helpers: usize,
    /// Least suspicion: so many periods for each tenfold of the fleet.
    pub patience: i64,
    /// Longest suspicion, when nobody else confirms it: so many times the least.
    pub slack: i64,
    /// How often an instance that is gone, or a seed that is not known, is tried again.
    pub reach: Tenths,
    /// How often two instances compare all they know.
    pub compare: Tenths,
    /// How long one that is gone is remembered.
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

/// A plan that can't be used: which value, and what was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadPlan {
    /// The value.
    pub what: &'static str,
    /// What it should be.
    pub expected: &'static str,
}

impl fmt::Display for BadPlan {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: expected {}", self.what, self.expected)
    }
}

impl std::error::Error for BadPlan {}

impl Plan {
    /// # Errors
    /// [`BadPlan`] names the first value that can't be used.
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
        match rules.into_iter().find(|(good, ..)| !good) {
            Some((_, what, expected)) => Err(BadPlan { what, expected }),
            None => Ok(()),
        }
    }
}
