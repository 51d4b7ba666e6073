//! What is due at whom, and when it came: counted from when it was due, not from when it was sent.

use crate::Tenths;
use crate::percentile::nearest_rank;
use std::collections::BTreeMap;

/// Numbered things that every recipient is to have, where the later one stands for all before it.
pub struct Arrivals {
    /// How long one may take.
    allowed: Tenths,
    due: BTreeMap<u64, Due>,
    recipients: Vec<Recipient>,
}

struct Due {
    event: usize,
    at: Tenths,
    missing: Vec<bool>,
    took: Vec<Tenths>,
}

#[derive(Clone, Copy, Default)]
struct Recipient {
    /// Its last start.
    since: Tenths,
    holds: u64,
    went_back: u64,
}

/// What came of one event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    pub event: usize,
    /// Things that were due, and arrivals of them.
    pub due: usize,
    pub arrived: usize,
    pub p50: Option<Tenths>,
    pub p99: Option<Tenths>,
    pub last: Option<Tenths>,
    /// Arrivals that took longer than allowed.
    pub late: usize,
    /// Not there, with time left to come when the play ended.
    pub open: usize,
    /// Should have come and never did: number and recipient.
    pub never: Vec<(u64, usize)>,
}

impl Arrivals {
    pub fn new(recipients: usize, allowed: Tenths) -> Arrivals {
        Arrivals { allowed, due: BTreeMap::new(), recipients: vec![Recipient::default(); recipients] }
    }

    /// How long one may take.
    pub fn allowed(&self) -> Tenths {
        self.allowed
    }

    /// From `at` on every recipient is to have the thing of this number. Numbers grow.
    pub fn due(&mut self, at: Tenths, number: u64, event: usize) {
        let missing = self.recipients.iter().map(|recipient| recipient.holds < number).collect();
        self.due.insert(number, Due { event, at, missing, took: Vec::new() });
    }

    /// A recipient has started: what is due counts from now for it.
    pub fn started(&mut self, now: Tenths, who: usize) {
        self.recipients[who].since = now;
    }

    /// A recipient has all up to this number.
    pub fn holds(&mut self, now: Tenths, who: usize, number: u64) {
        let recipient = &mut self.recipients[who];
        if number < recipient.holds {
            recipient.went_back += 1;
            return;
        }
        let (before, since) = (std::mem::replace(&mut recipient.holds, number), recipient.since);
        for (_, due) in self.due.range_mut(before + 1..number + 1) {
            if std::mem::take(&mut due.missing[who]) {
                due.took.push(now - due.at.max(since));
            }
        }
    }

    /// What a recipient holds.
    pub fn held(&self, who: usize) -> u64 {
        self.recipients[who].holds
    }

    /// How often somebody held less than before.
    pub fn went_back(&self) -> u64 {
        self.recipients.iter().map(|recipient| recipient.went_back).sum()
    }

    /// Is nobody without the thing of this number?
    pub fn is_everywhere(&self, number: u64) -> bool {
        self.due.get(&number).is_some_and(|due| due.missing.iter().all(|missing| !missing))
    }

    /// What came of each event, at the end of the play.
    pub fn outcomes(&self, end: Tenths) -> Vec<Outcome> {
        let mut by_event: BTreeMap<usize, Vec<(&u64, &Due)>> = BTreeMap::new();
        for (number, due) in &self.due {
            by_event.entry(due.event).or_default().push((number, due));
        }
        by_event.into_iter().map(|(event, due)| self.outcome(end, event, &due)).collect()
    }

    fn outcome(&self, end: Tenths, event: usize, due: &[(&u64, &Due)]) -> Outcome {
        let mut took: Vec<Tenths> = due.iter().flat_map(|(_, due)| due.took.iter().copied()).collect();
        took.sort_unstable();
        let (mut open, mut never) = (0, Vec::new());
        for (number, due) in due {
            for who in (0..due.missing.len()).filter(|who| due.missing[*who]) {
                let from = due.at.max(self.recipients[who].since);
                if from + self.allowed > end { open += 1 } else { never.push((**number, who)) }
            }
        }
        Outcome {
            event,
            due: due.len(),
            arrived: took.len(),
            p50: nearest_rank(&took, 0.5),
            p99: nearest_rank(&took, 0.99),
            last: took.last().copied(),
            late: took.iter().filter(|took| **took > self.allowed).count(),
            open,
            never,
        }
    }
}
