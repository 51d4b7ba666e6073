//! The ledger's way to the writer: what changed, again until the writer says that it came.

use std::collections::BTreeSet;

use super::{Event, Machine};
use crate::kept::Record;
use crate::ledger::{Entry, Taken};
use crate::wire::ENTRIES_MOST;
use crate::{Message, Name, Tenths, Version};

/// How often a machine tells all its entries again, in tenths of a millisecond: what went astray is mended by that.
const REFRESH: Tenths = 600_000;

/// What is to be reported. One report is under way at a time.
pub(super) struct Reports {
    dirty: BTreeSet<Name>,
    /// The high half is drawn at each start, so that no earlier start's report is taken for one of this one.
    last: u64,
    /// A mark is asked for that no report has carried.
    wanted: bool,
    /// Another writer is heard: as a keeper it tells that one what it knows of others' routers.
    relay: bool,
    under_way: Option<(u64, Tenths, Vec<Name>)>,
    next: Tenths,
    refresh: Tenths,
    /// For a keeper that lost what it kept: the mark after which a writer's word makes it count.
    settles: Option<u64>,
}

/// Does the word on one report cover an earlier one of the same start?
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

    /// The mark that the next report will carry.
    pub(super) fn mark(&mut self, now: Tenths) -> u64 {
        if !self.wanted {
            self.wanted = true;
            self.next = self.next.min(now);
        }
        self.last + 1
    }

    /// Another writer: it knows nothing yet.
    pub(super) fn afresh(&mut self, now: Tenths) {
        self.under_way = None;
        self.refresh = now;
        self.wanted = true;
        self.relay = true;
        self.next = now;
    }
}

impl Machine {
    /// Something is known of a router that is served here.
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

    /// Routers that were in the ledger before the start: not heard until someone says so.
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

    /// Reports what changed.
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
            // The writer's own routers are in its ledger; only the mark counts.
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
        // Danger: a new writer that knows of no routers beyond a cut would call a version in force everywhere.
        for keeper in self.other_keepers().into_iter().filter(|keeper| *keeper != writer) {
            let by = self.me.clone();
            self.send(&keeper, Message::Report { mark: 0, by, entries: entries.clone() });
        }
    }

    /// Tells a new writer what it knows of others' routers: their machines may be gone.
    fn relay(&mut self, writer: &Name) {
        let others = self.ledger.machines().into_iter().filter(|by| by != writer && *by != self.me);
        for by in others.collect::<Vec<_>>() {
            for names in self.ledger.said_by(&by).chunks(ENTRIES_MOST) {
                let entries = names.iter().filter_map(|name| self.ledger.get(name).cloned()).collect();
                self.send(writer, Message::Report { mark: 0, by: by.clone(), entries });
            }
        }
    }

    /// The writer says which report came, and up to which one it was still followed afterwards.
    pub(super) fn sure_of(&mut self, now: Tenths, mark: u64, sure: u64, released: Version) {
        if self.reports.under_way.as_ref().is_some_and(|(last, ..)| *last == mark) {
            self.reports.under_way = None;
        }
        // Danger: a keeper that lost its disk counts again only with all that was released when it came back.
        if self.reports.settles.is_some_and(|mark| covers(sure, mark))
            && self.kept.fresh
            && self.kept.version() >= released
        {
            self.settle();
        }
        self.floors(now, |mark| covers(sure, mark), released);
    }

    /// At the writer, and without a mark at all keepers: a machine's report.
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

    /// Tells all of its own again, and forgets who was not heard for the plan's time.
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
