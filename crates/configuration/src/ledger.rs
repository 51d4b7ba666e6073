//! The ledger: which version each router has in force, and the verdict on each released version.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Name, Tenths, Version};

/// What is known of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterEntry {
    /// The name of the router.
    pub name: Name,
    /// Identifies this run of the router; later starts have higher values.
    pub start: u64,
    /// The number of the subscribe message that the router is served by. Within one start a later message has a higher
    /// number.
    pub turn: u32,
    /// The highest version that the router has ever reported in force.
    pub version: Version,
    /// The last version that the router refused, if it is above `version`, and the reason.
    pub refused: Option<(Version, String)>,
    /// Whether a machine serves the router and is in contact with it.
    pub connected: bool,
}

/// Whether a version is in force on all routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The version. A router with a later version in force counts as being at this one.
    pub version: Version,
    /// Every router in the ledger is at this version.
    pub everywhere: bool,
    /// The number of routers at this version.
    pub at: usize,
    /// Routers that are in contact, have an earlier version in force and have refused nothing.
    pub behind: Vec<Name>,
    /// Routers that refused this version or a later one, with the reason.
    pub refused: Vec<(Name, String)>,
    /// Routers that have an earlier version in force and are not served by a machine that is in contact with the
    /// writer.
    pub silent: Vec<Name>,
}

/// What is known of all routers. The number of routers is bounded: at the bound, the unlinked router that was not heard
/// from for longest is removed.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    rows: BTreeMap<Name, Row>,
}

#[derive(Clone, Debug)]
struct Row {
    entry: RouterEntry,
    /// The machine that reported the entry.
    reported_by: Name,
    /// When the router was last known to be served.
    last_heard: Tenths,
}

impl Ledger {
    /// The number of routers in the ledger.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// All entries, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &RouterEntry> {
        self.rows.values().map(|row| &row.entry)
    }

    /// The entry of one router.
    pub fn get(&self, name: &Name) -> Option<&RouterEntry> {
        self.rows.get(name).map(|row| &row.entry)
    }

    /// Records an entry that the machine `by` reported about one of its own routers. `relayed` is set if a keeper
    /// passes on what it knows of another machine's router.
    pub(crate) fn record(
        &mut self,
        now: Tenths,
        by: &Name,
        entry: RouterEntry,
        relayed: bool,
        most: usize,
    ) -> EntryUpdate {
        if let Some(row) = self.rows.get_mut(&entry.name) {
            return row.update(now, by, entry, relayed);
        }
        if self.rows.len() >= most && !self.evict_longest_silent() {
            return EntryUpdate::NoRoom;
        }
        self.rows.insert(entry.name.clone(), Row { entry, reported_by: by.clone(), last_heard: now });
        EntryUpdate::New
    }

    /// Removes the routers that were not served for this long. Routers served by this machine itself count as heard
    /// now; those of other machines are kept by the reports that these machines repeat.
    pub(crate) fn forget(&mut self, now: Tenths, me: &Name, after: Tenths) -> Vec<Name> {
        for row in self.rows.values_mut().filter(|row| row.entry.connected && row.reported_by == *me) {
            row.last_heard = now;
        }
        let gone = self.rows.iter().filter(|(_, row)| now - row.last_heard >= after);
        let gone: Vec<Name> = gone.map(|(name, _)| name.clone()).collect();
        gone.iter().for_each(|name| drop(self.rows.remove(name)));
        gone
    }

    /// The current verdict on a version. `hears` tells which machines the writer is in contact with.
    pub(crate) fn verdict(&self, version: Version, hears: impl Fn(&Name) -> bool) -> Verdict {
        let (mut at, mut behind, mut refused, mut silent) = (0, Vec::new(), Vec::new(), Vec::new());
        for (name, row) in &self.rows {
            let entry = &row.entry;
            match &entry.refused {
                _ if entry.version >= version => at += 1,
                Some((other, why)) if *other >= version => refused.push((name.clone(), why.clone())),
                _ if entry.connected && hears(&row.reported_by) => behind.push(name.clone()),
                _ => silent.push(name.clone()),
            }
        }
        let everywhere = at == self.rows.len();
        Verdict { version, everywhere, at, behind, refused, silent }
    }

    /// Whether every router has this version or a later one in force.
    pub(crate) fn all_at(&self, version: Version) -> bool {
        self.rows.values().all(|row| row.entry.version >= version)
    }

    /// The routers that were last reported by this machine.
    pub(crate) fn routers_of(&self, machine: &Name) -> Vec<Name> {
        let rows = self.rows.iter().filter(|(_, row)| row.reported_by == *machine);
        rows.map(|(name, _)| name.clone()).collect()
    }

    /// All machines that have reported a router.
    pub(crate) fn machines(&self) -> BTreeSet<Name> {
        self.rows.values().map(|row| row.reported_by.clone()).collect()
    }

    fn evict_longest_silent(&mut self) -> bool {
        let gone = self.rows.iter().filter(|(_, row)| !row.entry.connected);
        let Some(name) = gone.min_by_key(|(_, row)| row.last_heard).map(|(name, _)| name.clone()) else {
            return false;
        };
        self.rows.remove(&name).is_some()
    }
}

/// The result of recording an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryUpdate {
    New,
    Changed,
    Unchanged,
    NoRoom,
}

impl Row {
    fn update(&mut self, now: Tenths, by: &Name, entry: RouterEntry, relayed: bool) -> EntryUpdate {
        let (old, new) = ((self.entry.start, self.entry.turn), (entry.start, entry.turn));
        // The reported version never goes back, whichever start or machine reports it.
        let version = self.entry.version.max(entry.version);
        let raised = version > self.entry.version;
        self.entry.version = version;
        // Without this, a late report from a machine that the router has left would mark the router as silent.
        if new < old || (relayed && new == old) {
            return if raised { EntryUpdate::Changed } else { EntryUpdate::Unchanged };
        }
        if entry.connected {
            self.last_heard = now;
        }
        let entry = RouterEntry { version, ..entry };
        let changed = raised || entry != self.entry || *by != self.reported_by;
        (self.entry, self.reported_by) = (entry, by.clone());
        if changed { EntryUpdate::Changed } else { EntryUpdate::Unchanged }
    }
}
