//! Reports of ledger changes to the writer, repeated until the writer acknowledges them.

use std::collections::BTreeSet;

use super::{Event, Machine};
use crate::kept::Record;
use crate::ledger::{Entry, Taken};
use crate::wire::ENTRIES_MOST;
use crate::{Message, Name, Tenths, Version};

/// Interval at which a machine reports all its entries again, in tenths of a millisecond. This repairs reports that
/// were lost.
const REFRESH: Tenths = 600_000;

/// What is still to be reported. One report is in flight at a time.
pub(super) struct Reports {
    dirty: BTreeSet<Name>,
    /// The mark of the last report. The high half is drawn at random at each start, so that a report of an earlier
    /// start is not mistaken for one of this start.
    last: u64,
    /// A mark was requested that no report has carried yet.
    wanted: bool,
    /// A new writer was heard: a keeper then also sends it the entries that other machines reported.
    relay: bool,
    under_way: Option<(u64, Tenths, Vec<Name>)>,
    next: Tenths,
    refresh: Tenths,
    /// For a keeper that lost its persisted state: the mark that the writer has to confirm before the keeper's votes
    /// count again.
    settles: Option<u64>,
}

/// Whether the confirmation of mark `sure` covers `mark`: an equal or earlier mark of the same start.
pub(super) fn covers(sure: u64, mark: u64) -> bool {
    sure >> 32 == mark >> 32 && sure >= mark
}

impl Reports {
    pub(super) fn new(now: Tenths, start: u32) -> Reports {
        Reports {
            dirty: BTreeSet::new(),
            last: u64::from(start) << 32,
            wanted: false,
            relay: false,
            under_way: None,
            next: now,
            refresh: now + REFRESH,
            settles: None,
        }
    }

    /// Requests that the next report is sent soon, and returns the mark that it will carry.
    pub(super) fn mark(&mut self, now: Tenths) -> u64 {
        if !self.wanted {
            self.wanted = true;
            self.next = self.next.min(now);
        }
        self.last + 1
    }

    /// Starts over for a new writer, which has no entries yet.
    pub(super) fn afresh(&mut self, now: Tenths) {
        self.under_way = None;
        self.refresh = now;
        self.wanted = true;
        self.relay = true;
        self.next = now;
    }
}

impl Machine {
    /// Records the state of a router that this machine serves.
    pub(super) fn note(&mut self, now: Tenths, entry: Entry) {
        let name = entry.name.clone();
        let taken = self.ledger.take(now, &self.me, entry, false, self.plan.names);
        if taken == Taken::New && self.keeps() {
            self.keep(Record::Known(vec![name.clone()]));
        }
        match taken {
            Taken::New | Taken::Changed => {
                self.reports.dirty.insert(name);
                self.look_again(now);
            }
            Taken::Known => {}
            Taken::NoRoom => self.tell(Event::Uncounted(name)),
        }
    }

    /// Adds the routers of the persisted ledger. They count as not linked until a machine reports them.
    pub(super) fn remember_routers(&mut self, now: Tenths) {
        for name in self.kept.routers.clone() {
            let version = Version::NONE;
            let entry = Entry { name, start: 0, turn: 0, version, refused: None, linked: false };
            self.ledger.take(now, &self.me, entry, false, self.plan.names);
        }
    }

    pub(super) fn report_at(&self) -> Option<Tenths> {
        let reports = &self.reports;
        let news = reports.wanted || !reports.dirty.is_empty();
        let again = reports.under_way.as_ref().map(|(_, at, _)| at + self.plan.patience / 2);
        let next = match (again, news) {
            (Some(again), _) => Some(again),
            (None, true) => Some(reports.next),
            (None, false) => None,
        };
        [next, Some(reports.refresh)].into_iter().flatten().min()
    }

    /// Sends the next report if it is due.
    pub(super) fn report(&mut self, now: Tenths) {
        if now >= self.reports.refresh {
            self.refresh(now);
        }
        if self.kept.fresh && self.keeps() && self.reports.settles.is_none() {
            self.reports.settles = Some(self.reports.mark(now));
        }
        if self.report_at().is_none_or(|at| now < at) {
            return;
        }
        if let Some((_, _, names)) = self.reports.under_way.take() {
            self.reports.dirty.extend(names);
        }
        self.reports.next = now + self.plan.report;
        let Some(writer) = self.writer(now).cloned() else { return };
        self.reports.wanted = false;
        self.reports.last += 1;
        let mark = self.reports.last;
        let names: Vec<Name> = self.reports.dirty.iter().take(ENTRIES_MOST).cloned().collect();
        for name in &names {
            self.reports.dirty.remove(name);
        }
        let entries: Vec<Entry> = names.iter().filter_map(|name| self.ledger.get(name).cloned()).collect();
        if writer == self.me {
            // The writer's own routers are already in its ledger, so only the mark has to be recorded.
            self.mark(&writer, mark);
        } else {
            self.reports.under_way = Some((mark, now, names));
            let by = self.me.clone();
            self.send(&writer, Message::Report { mark, by, entries: entries.clone() });
            if std::mem::take(&mut self.reports.relay) && self.keeps() {
                self.relay(&writer);
            }
        }
        if entries.is_empty() {
            return;
        }
        // The other keepers get a copy. Without it, a new writer that does not know of the routers on the far side of a
        // network partition would declare a version in force everywhere.
        for keeper in self.other_keepers().into_iter().filter(|keeper| *keeper != writer) {
            let by = self.me.clone();
            self.send(&keeper, Message::Report { mark: 0, by, entries: entries.clone() });
        }
    }

    /// Sends a new writer the entries of other machines' routers, because those machines may be gone.
    fn relay(&mut self, writer: &Name) {
        let others = self.ledger.machines().into_iter().filter(|by| by != writer && *by != self.me);
        for by in others.collect::<Vec<_>>() {
            for names in self.ledger.said_by(&by).chunks(ENTRIES_MOST) {
                let entries = names.iter().filter_map(|name| self.ledger.get(name).cloned()).collect();
                self.send(writer, Message::Report { mark: 0, by: by.clone(), entries });
            }
        }
    }

    /// The writer acknowledges report `mark`, and confirms that a majority still followed it after report `sure`.
    pub(super) fn sure_of(&mut self, now: Tenths, mark: u64, sure: u64, released: Version) {
        if self.reports.under_way.as_ref().is_some_and(|(last, ..)| *last == mark) {
            self.reports.under_way = None;
        }
        // A keeper that lost its disk votes again only when it holds everything that was released by the time it came
        // back.
        if self.reports.settles.is_some_and(|mark| covers(sure, mark))
            && self.kept.fresh
            && self.kept.version() >= released
        {
            self.settle();
        }
        self.floors(now, |mark| covers(sure, mark), released);
    }

    /// Handles another machine's report: at the writer with a mark, at the other keepers without one (0).
    pub(super) fn reported(&mut self, now: Tenths, from: &Name, mark: u64, by: &Name, entries: Vec<Entry>) {
        if entries.len() > ENTRIES_MOST {
            return;
        }
        if mark != 0 {
            self.mark(from, mark);
        }
        let mut new = Vec::new();
        for entry in entries {
            let name = entry.name.clone();
            match self.ledger.take(now, by, entry, by != from, self.plan.names) {
                Taken::New => new.push(name),
                Taken::NoRoom => self.tell(Event::Uncounted(name)),
                Taken::Changed | Taken::Known => {}
            }
        }
        if !new.is_empty() && self.keeps() {
            self.keep(Record::Known(new));
        }
        self.look_again(now);
    }

    /// Queues all of this machine's own entries to be reported again, and removes the routers that were not heard from
    /// within the plan's `forget` time.
    fn refresh(&mut self, now: Tenths) {
        self.reports.refresh = now + REFRESH;
        let gone = self.ledger.forget(now, &self.me, self.plan.forget);
        if !gone.is_empty() {
            self.tell(Event::Forgotten(gone.len()));
        }
        let gone = self.kept.routers.iter().filter(|name| self.ledger.get(name).is_none());
        let gone: Vec<Name> = gone.cloned().collect();
        if !gone.is_empty() {
            self.keep(Record::Forgotten(gone));
        }
        let own = self.ledger.said_by(&self.me);
        self.reports.dirty.extend(own);
    }
}
