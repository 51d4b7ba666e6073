//! Reports of ledger changes to the writer, repeated until the writer acknowledges them.

use std::collections::BTreeSet;

use super::{Event, Machine};
use crate::ledger::{EntryUpdate, RouterEntry};
use crate::persisted_state::Record;
use crate::wire::MAX_ENTRIES;
use crate::{Message, Name, Tenths, Version};

/// Interval at which a machine reports all its entries again, in tenths of a millisecond. This repairs reports that
/// were lost.
const REFRESH_INTERVAL: Tenths = 600_000;

/// What is still to be reported. One report is in flight at a time.
pub(super) struct Reports {
    dirty: BTreeSet<Name>,
    /// The mark of the last report. The high half is drawn at random at each start, so that a report of an earlier
    /// start is not mistaken for one of this start.
    last_mark: u64,
    /// A mark was requested that no report has carried yet.
    mark_requested: bool,
    /// A new writer was heard: a keeper then also sends it the entries that other machines reported.
    relay: bool,
    in_flight: Option<(u64, Tenths, Vec<Name>)>,
    next_report_at: Tenths,
    next_refresh_at: Tenths,
    /// For a keeper that lost its persisted state: the mark that the writer has to confirm before the keeper's votes
    /// count again.
    settling_mark: Option<u64>,
}

/// Whether the confirmation of mark `stable` covers `mark`: an equal or earlier mark of the same start.
pub(super) fn covers(stable: u64, mark: u64) -> bool {
    stable >> 32 == mark >> 32 && stable >= mark
}

impl Reports {
    pub(super) fn new(now: Tenths, start: u32) -> Reports {
        Reports {
            dirty: BTreeSet::new(),
            last_mark: u64::from(start) << 32,
            mark_requested: false,
            relay: false,
            in_flight: None,
            next_report_at: now,
            next_refresh_at: now + REFRESH_INTERVAL,
            settling_mark: None,
        }
    }

    /// Requests that the next report is sent soon, and returns the mark that it will carry.
    pub(super) fn request_mark(&mut self, now: Tenths) -> u64 {
        if !self.mark_requested {
            self.mark_requested = true;
            self.next_report_at = self.next_report_at.min(now);
        }
        self.last_mark + 1
    }

    /// Starts over for a new writer, which has no entries yet.
    pub(super) fn reset_for_new_writer(&mut self, now: Tenths) {
        self.in_flight = None;
        self.next_refresh_at = now;
        self.mark_requested = true;
        self.relay = true;
        self.next_report_at = now;
    }
}

impl Machine {
    /// Records the state of a router that this machine serves.
    pub(super) fn record_router(&mut self, now: Tenths, entry: RouterEntry) {
        let name = entry.name.clone();
        let update = self.ledger.record(now, &self.me, entry, false, self.plan.names);
        if update == EntryUpdate::New && self.is_keeper() {
            self.persist(Record::RoutersAdded(vec![name.clone()]));
        }
        match update {
            EntryUpdate::New | EntryUpdate::Changed => {
                self.reports.dirty.insert(name);
                self.schedule_verdict_check(now);
            }
            EntryUpdate::Unchanged => {}
            EntryUpdate::NoRoom => self.notify(Event::LedgerFull(name)),
        }
    }

    /// Adds the routers of the persisted ledger. They count as not linked until a machine reports them.
    pub(super) fn restore_routers(&mut self, now: Tenths) {
        for name in self.kept.routers.clone() {
            let version = Version::NONE;
            let entry = RouterEntry { name, start: 0, turn: 0, version, refused: None, connected: false };
            self.ledger.record(now, &self.me, entry, false, self.plan.names);
        }
    }

    pub(super) fn report_at(&self) -> Option<Tenths> {
        let reports = &self.reports;
        let news = reports.mark_requested || !reports.dirty.is_empty();
        let again = reports.in_flight.as_ref().map(|(_, at, _)| at + self.plan.patience / 2);
        let next = match (again, news) {
            (Some(again), _) => Some(again),
            (None, true) => Some(reports.next_report_at),
            (None, false) => None,
        };
        [next, Some(reports.next_refresh_at)].into_iter().flatten().min()
    }

    /// Sends the next report if it is due.
    pub(super) fn report(&mut self, now: Tenths) {
        if now >= self.reports.next_refresh_at {
            self.refresh(now);
        }
        if self.kept.nonvoting && self.is_keeper() && self.reports.settling_mark.is_none() {
            self.reports.settling_mark = Some(self.reports.request_mark(now));
        }
        if self.report_at().is_none_or(|at| now < at) {
            return;
        }
        if let Some((_, _, names)) = self.reports.in_flight.take() {
            self.reports.dirty.extend(names);
        }
        self.reports.next_report_at = now + self.plan.report;
        let Some(writer) = self.writer(now).cloned() else { return };
        self.reports.mark_requested = false;
        self.reports.last_mark += 1;
        let mark = self.reports.last_mark;
        let names: Vec<Name> = self.reports.dirty.iter().take(MAX_ENTRIES).cloned().collect();
        for name in &names {
            self.reports.dirty.remove(name);
        }
        let entries: Vec<RouterEntry> =
            names.iter().filter_map(|name| self.ledger.get(name).cloned()).collect();
        if writer == self.me {
            // The writer's own routers are already in its ledger, so only the mark has to be recorded.
            self.record_mark(&writer, mark);
        } else {
            self.reports.in_flight = Some((mark, now, names));
            let by = self.me.clone();
            self.send(&writer, Message::Report { mark, by, entries: entries.clone() });
            if std::mem::take(&mut self.reports.relay) && self.is_keeper() {
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
            for names in self.ledger.routers_of(&by).chunks(MAX_ENTRIES) {
                let entries = names.iter().filter_map(|name| self.ledger.get(name).cloned()).collect();
                self.send(writer, Message::Report { mark: 0, by: by.clone(), entries });
            }
        }
    }

    /// The writer acknowledges report `mark`, and confirms that a majority still followed it after report `stable`.
    pub(super) fn handle_confirmation(&mut self, now: Tenths, mark: u64, stable: u64, released: Version) {
        if self.reports.in_flight.as_ref().is_some_and(|(last, ..)| *last == mark) {
            self.reports.in_flight = None;
        }
        // A keeper that lost its disk votes again only when it holds everything that was released by the time it came
        // back.
        if self.reports.settling_mark.is_some_and(|mark| covers(stable, mark))
            && self.kept.nonvoting
            && self.kept.version() >= released
        {
            self.settle();
        }
        self.resolve_floors(now, |mark| covers(stable, mark), released);
    }

    /// Handles another machine's report: at the writer with a mark, at the other keepers without one (0).
    pub(super) fn handle_report(
        &mut self,
        now: Tenths,
        from: &Name,
        mark: u64,
        by: &Name,
        entries: Vec<RouterEntry>,
    ) {
        if entries.len() > MAX_ENTRIES {
            return;
        }
        if mark != 0 {
            self.record_mark(from, mark);
        }
        let mut new = Vec::new();
        for entry in entries {
            let name = entry.name.clone();
            match self.ledger.record(now, by, entry, by != from, self.plan.names) {
                EntryUpdate::New => new.push(name),
                EntryUpdate::NoRoom => self.notify(Event::LedgerFull(name)),
                EntryUpdate::Changed | EntryUpdate::Unchanged => {}
            }
        }
        if !new.is_empty() && self.is_keeper() {
            self.persist(Record::RoutersAdded(new));
        }
        self.schedule_verdict_check(now);
    }

    /// Queues all of this machine's own entries to be reported again, and removes the routers that were not heard from
    /// within the plan's `forget` time.
    fn refresh(&mut self, now: Tenths) {
        self.reports.next_refresh_at = now + REFRESH_INTERVAL;
        let gone = self.ledger.forget(now, &self.me, self.plan.forget);
        if !gone.is_empty() {
            self.notify(Event::Forgotten(gone.len()));
        }
        let gone = self.kept.routers.iter().filter(|name| self.ledger.get(name).is_none());
        let gone: Vec<Name> = gone.cloned().collect();
        if !gone.is_empty() {
            self.persist(Record::RoutersRemoved(gone));
        }
        let own = self.ledger.routers_of(&self.me);
        self.reports.dirty.extend(own);
    }
}
