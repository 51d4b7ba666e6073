//! Intervals, timeouts and bounds of distribution. They are the same on every control machine and router.

use std::fmt;

use crate::Tenths;

/// Intervals and timeouts, and the bounds that follow from the size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Interval between a machine's beats to a router that is up to date. The writer sends its rounds to the machines
    /// twice as often.
    pub beat: Tenths,
    /// Interval between a router's status messages to its machine.
    pub say: Tenths,
    /// A router leaves a machine that sent nothing for this long. A machine that heard from no writer for this long
    /// reports that it has none.
    pub patience: Tenths,
    /// Election timeout: a keeper that heard from no writer for once to twice this time becomes a candidate.
    pub stand: Tenths,
    /// Time over which routers spread their first subscribe messages when many start at once.
    pub spread: Tenths,
    /// Maximum backoff between two subscribe messages of a router that finds no machine; the first backoff is a
    /// hundredth of it.
    pub pause: Tenths,
    /// A router that is not served by its preferred machine tries that one again after once to twice this time.
    pub home: Tenths,
    /// A router that persisted a document and is in contact with no machine serves under that document after this time.
    pub start_wait: Tenths,
    /// Time from a release until its verdict names the routers that are not at that version.
    pub verdict: Tenths,
    /// Interval between a machine's reports to the writer.
    pub report: Tenths,
    /// A router that was not heard from for this long is removed from the ledger.
    pub forget: Tenths,
    /// Bytes per second that a machine sends to one router.
    pub bytes_a_second: u32,
    /// Maximum number of routers that one machine serves; further ones are sent elsewhere.
    pub places: usize,
    /// Maximum number of routers in the ledger. At the bound, the unlinked router that was not heard from for longest
    /// is removed; if all are linked, a further router is served but not counted, and [`crate::Event::LedgerFull`]
    /// reports it.
    pub names: usize,
    /// Maximum number of released changes in the log; the oldest are dropped.
    pub log_changes: usize,
    /// Maximum size of the changes in the log ([`crate::Change::bytes`]).
    pub log_bytes: usize,
    /// Maximum bytes of edits that wait at the writer; beyond it, [`crate::PublishError::Full`].
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

/// A plan value that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadPlan {
    /// The name of the value.
    pub what: &'static str,
    /// The values that are allowed.
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
    /// [`BadPlan`] names the first value that cannot be used.
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
