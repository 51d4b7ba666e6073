//! How often and how patiently configuration goes round. The same on every control machine and router.

use std::fmt;

use crate::Tenths;

/// The rhythm, and the bounds that follow from the size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Time between two words of a machine to a router that has all, and of a writer to the machines twice as often.
    pub beat: Tenths,
    /// Time between two words of a router to its machine.
    pub say: Tenths,
    /// A router leaves a machine that said nothing for so long; a machine that heard no writer for so long says so.
    pub patience: Tenths,
    /// A keeper that heard no writer for once to twice this stands itself.
    pub stand: Tenths,
    /// Time over which routers spread what they all would do at once: asks at a start.
    pub spread: Tenths,
    /// Longest pause between two asks of a router that finds nobody; the first is a hundredth.
    pub pause: Tenths,
    /// A router that is not at the machine it prefers tries that one again after once to twice this.
    pub home: Tenths,
    /// A router that kept a document and hears nobody serves under it after this.
    pub start_wait: Tenths,
    /// Time after a release until who is not at it is named.
    pub verdict: Tenths,
    /// Time between two reports of a machine to the writer.
    pub report: Tenths,
    /// A router not heard for so long is forgotten in the ledger.
    pub forget: Tenths,
    /// Bytes a second that a machine sends to one router.
    pub bytes_a_second: u32,
    /// Routers that one machine serves; a further one is sent elsewhere.
    pub places: usize,
    /// Routers in the ledger. At the bound the one not heard for longest goes; if all are heard, a further one is served
    /// and not counted, and [`crate::Event::Uncounted`] says so.
    pub names: usize,
    /// Released changes kept for resuming; the oldest go.
    pub log_changes: usize,
    /// Bytes of them ([`crate::Change::bytes`]).
    pub log_bytes: usize,
    /// Bytes of edits that wait at the writer; at the bound [`crate::Refused::Full`].
    pub waiting_bytes: usize,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            beat: 10_000,
            say: 20_000,
            patience: 30_000,
            stand: 20_000,
            spread: 20_000,
            pause: 100_000,
            home: 6_000_000,
            start_wait: 50_000,
            verdict: 140_000,
            report: 2_500,
            forget: 36_000_000,
            bytes_a_second: 5_000,
            places: 420,
            names: 4_096,
            log_changes: 8_192,
            log_bytes: 4 << 20,
            waiting_bytes: 1 << 20,
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
            ((1_000..=100_000).contains(&self.beat), "beat", "0.1 to 10 s"),
            ((1_000..=100_000).contains(&self.say), "say", "0.1 to 10 s"),
            (self.patience >= 2 * self.beat, "patience", "at least two beats"),
            (self.stand >= self.beat, "stand", "at least one beat"),
            (self.spread >= 1, "spread", "over 0"),
            (self.pause >= 1_000, "pause", "at least 0.1 s"),
            (self.home >= 10 * self.patience, "home", "at least ten times patience"),
            (self.start_wait >= self.patience, "start_wait", "at least patience"),
            (self.verdict > 2 * self.patience, "verdict", "over twice patience"),
            ((100..=self.patience).contains(&self.report), "report", "10 ms to patience"),
            (self.forget >= 2 * self.verdict, "forget", "at least twice verdict"),
            (self.bytes_a_second >= 1_000, "bytes_a_second", "at least 1,000"),
            ((1..=65_536).contains(&self.places), "places", "1 to 65,536"),
            (self.names >= self.places, "names", "at least places"),
            (self.log_changes >= 1, "log_changes", "at least 1"),
            (self.log_bytes >= 1_024, "log_bytes", "at least 1 KiB"),
            (self.waiting_bytes >= 1_024, "waiting_bytes", "at least 1 KiB"),
        ];
        match rules.into_iter().find(|(good, ..)| !good) {
            Some((_, what, expected)) => Err(BadPlan { what, expected }),
            None => Ok(()),
        }
    }
}
