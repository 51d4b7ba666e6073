//! Judges from outside: told what primaries wrote and what desks took, in bare numbers. It knows nothing of lineages,
//! windows, leases or cursors, and uses nothing of the package.

use std::collections::BTreeMap;

/// One desk as it is seen from outside: it has all bulletins whose ordinals are below `next`, from where it began.
#[derive(Debug, Default)]
struct Seen {
    begun: Option<u64>,
    next: u64,
    epoch: u64,
    newest_resume: u64,
    newest_push: u64,
}

/// What primaries wrote of one feed: each bulletin's ordinal is how many there are before it in its primary's history.
#[derive(Debug, Default)]
struct Written {
    /// By epoch: the ordinal that it began at, and the number that its first bulletin got.
    epochs: BTreeMap<u64, (u64, u64)>,
    /// By epoch: how many there were at last.
    length: BTreeMap<u64, u64>,
    ids: BTreeMap<(u64, u64), u64>,
}

#[derive(Debug, Default)]
pub struct Auditor {
    feeds: BTreeMap<u32, Written>,
    desks: BTreeMap<u64, Seen>,
    pub breaches: Vec<String>,
    pub taken: u64,
    pub missed: u64,
    pub disordered: u64,
    pub doubled: u64,
    pub gaps: u64,
    pub in_gaps: u64,
    pub retractions: u64,
    pub late_pushes: u64,
}

impl Auditor {
    fn breach(&mut self, text: String) {
        if self.breaches.len() < 20 {
            self.breaches.push(text);
        }
    }

    /// A primary begins: it has the first `ordinal` bulletins of its predecessor and numbers on from `number`.
    pub fn begins(&mut self, feed: u32, epoch: u64, ordinal: u64, number: u64) {
        let written = self.feeds.entry(feed).or_default();
        written.epochs.insert(epoch, (ordinal, number));
        written.length.insert(epoch, ordinal);
    }

    pub fn writes(&mut self, feed: u32, epoch: u64, number: u64, id: u64) {
        let written = self.feeds.entry(feed).or_default();
        let (ordinal, first) = written.epochs[&epoch];
        written.ids.insert((epoch, number), id);
        written.length.insert(epoch, ordinal + number - first + 1);
    }

    /// The ordinal of a place in an epoch's numbers.
    pub fn ordinal(&self, feed: u32, epoch: u64, number: u64) -> u64 {
        let (ordinal, first) = self.feeds[&feed].epochs[&epoch];
        ordinal + number - first
    }

    pub fn length(&self, feed: u32, epoch: u64) -> u64 {
        self.feeds[&feed].length[&epoch]
    }

    pub fn resumes(&mut self, desk: u64, epoch: u64) {
        let seen = self.desks.entry(desk).or_default();
        seen.newest_resume = seen.newest_resume.max(epoch);
    }

    /// A gateway chose to push bulletins, when it chose.
    pub fn pushes(&mut self, desk: u64, gateway: u32, epoch: u64) {
        let seen = self.desks.entry(desk).or_default();
        if epoch < seen.newest_push {
            self.late_pushes += 1;
            let newest = seen.newest_push;
            self.breach(format!(
                "desk {desk}: gateway {gateway} pushes under {epoch} after a push under {newest}"
            ));
        } else {
            seen.newest_push = epoch;
        }
    }

    /// A desk took something that came under a subscription epoch.
    pub fn under(&mut self, desk: u64, epoch: u64) {
        let newest = self.desks.entry(desk).or_default().newest_resume;
        if epoch < newest {
            self.breach(format!("desk {desk}: took what came under {epoch}, but had asked under {newest}"));
        }
    }

    pub fn took_begin(&mut self, desk: u64, feed: u32, epoch: u64, number: u64) {
        let ordinal = self.ordinal(feed, epoch, number);
        let seen = self.desks.entry(desk).or_default();
        if seen.begun.is_some() {
            self.breach(format!("desk {desk}: began twice"));
            return;
        }
        (seen.begun, seen.next, seen.epoch) = (Some(ordinal), ordinal, epoch);
    }

    pub fn took(&mut self, desk: u64, feed: u32, epoch: u64, number: u64, id: u64) {
        let written = self.feeds[&feed].ids.get(&(epoch, number)).copied();
        let ordinal = self.ordinal(feed, epoch, number);
        let seen = self.desks.entry(desk).or_default();
        let (next, at) = (seen.next, seen.epoch);
        if written != Some(id) {
            self.breach(format!("desk {desk}: {epoch}/{number} is {id}, {written:?} was written"));
        }
        let seen = self.desks.entry(desk).or_default();
        if ordinal > next {
            self.missed += ordinal - next;
            seen.next = ordinal + 1;
            self.breach(format!("desk {desk}: took the {ordinal}th where the {next}th was due"));
        } else if ordinal < next {
            if epoch == at {
                self.doubled += 1
            } else {
                self.disordered += 1
            }
            self.breach(format!("desk {desk}: took the {ordinal}th again or late, the {next}th was due"));
        } else {
            seen.next = ordinal + 1;
        }
        if epoch < at {
            self.disordered += 1;
            self.breach(format!("desk {desk}: of epoch {epoch} after {at}"));
        }
        self.taken += 1;
    }

    /// The desk was told that the feed goes on in another epoch, and that so many of what came before are lost.
    pub fn took_turn(&mut self, desk: u64, feed: u32, epoch: u64, number: u64, lost: u64) {
        let next = self.ordinal(feed, epoch, number);
        let cuts = self.feeds[&feed].epochs.range(..).map(|(e, (o, _))| (*e, *o)).collect::<Vec<_>>();
        let seen = self.desks.entry(desk).or_default();
        // What is still true of what it has: no newer primary began further down.
        let true_now = cuts
            .iter()
            .filter(|(e, _)| *e > seen.epoch && *e <= epoch)
            .map(|(_, o)| *o)
            .fold(seen.next, u64::min);
        let lost_seen = seen.next - true_now.max(seen.begun.unwrap_or(0)).min(seen.next);
        let (had, begun) = (seen.next, seen.begun.unwrap_or(0));
        (seen.next, seen.epoch) = (next, epoch);
        seen.begun = Some(begun.min(next));
        if next > true_now {
            self.missed += next - true_now;
            self.breach(format!("desk {desk}: turned to the {next}th, but had only {true_now}"));
        }
        if next < true_now {
            self.breach(format!(
                "desk {desk}: turned back to the {next}th, but had {true_now} that still count"
            ));
        }
        if lost < lost_seen {
            self.breach(format!("desk {desk}: had {had}, lost {lost_seen}, told {lost}"));
        }
        self.retractions += u64::from(lost > 0);
    }

    /// The desk was told a gap; `kept` is the ordinal of the oldest that its primary keeps.
    pub fn took_gap(&mut self, desk: u64, feed: u32, epoch: u64, number: u64, kept: u64) {
        let to = self.ordinal(feed, epoch, number);
        let seen = self.desks.entry(desk).or_default();
        let from = seen.next;
        (seen.next, seen.epoch) = (to, epoch);
        self.gaps += 1;
        self.in_gaps += to.saturating_sub(from);
        if to > kept {
            self.breach(format!(
                "desk {desk}: told a gap {from}..{to}, but the primary keeps from {kept} on"
            ));
        }
    }

    /// At the end: a desk has all that the newest primary has.
    pub fn ends(&mut self, desk: u64, feed: u32, epoch: u64) {
        let all = self.length(feed, epoch);
        let seen = self.desks.entry(desk).or_default();
        let (next, begun) = (seen.next, seen.begun);
        if begun.is_none() || next != all || seen.epoch != epoch {
            self.missed += all.saturating_sub(next);
            let at = seen.epoch;
            self.breach(format!(
                "desk {desk}: at last has {next} ({begun:?}, epoch {at}) of {all} (epoch {epoch})"
            ));
        }
    }
}
