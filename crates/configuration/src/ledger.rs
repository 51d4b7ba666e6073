//! Which router is at which version, and the verdict on each release.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Name, Tenths, Version};

/// What is known of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Whose.
    pub name: Name,
    /// Its start.
    pub start: u64,
    /// The ask that it was served by: of one start the later one is the higher.
    pub turn: u32,
    /// The highest version that it has ever said to be in force.
    pub version: Version,
    /// The last version that it refused, above that one, and why.
    pub refused: Option<(Version, String)>,
    /// Is it served, and speaks?
    pub linked: bool,
}

/// Whether a version is in force everywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The version; a later one counts as well.
    pub version: Version,
    /// Every router in the ledger is at it.
    pub everywhere: bool,
    /// How many are.
    pub at: usize,
    /// Those that speak and are not, and refused nothing.
    pub behind: Vec<Name>,
    /// Those that refused it, or a later one, with the reason.
    pub refused: Vec<(Name, String)>,
    /// Those that are not at it and speak to no machine that speaks to the writer.
    pub silent: Vec<Name>,
}

/// What is known of all routers. Bounded by names: at the bound the one not heard for longest goes.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    rows: BTreeMap<Name, Row>,
}

#[derive(Clone, Debug)]
struct Row {
    entry: Entry,
    /// The machine that said so.
    by: Name,
    /// When it was last known to be served.
    heard: Tenths,
}

impl Ledger {
    /// How many routers are known.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// None at all?
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// All, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.rows.values().map(|row| &row.entry)
    }

    /// What is known of one.
    pub fn get(&self, name: &Name) -> Option<&Entry> {
        self.rows.get(name).map(|row| &row.entry)
    }

    /// Takes what a machine says of a router of its own, or, relayed, what another knows of such a one.
    pub(crate) fn take(&mut self, now: Tenths, by: &Name, entry: Entry, relayed: bool, most: usize) -> Taken {
        if let Some(row) = self.rows.get_mut(&entry.name) {
            return row.take(now, by, entry, relayed);
        }
        if self.rows.len() >= most && !self.make_room() {
            return Taken::NoRoom;
        }
        self.rows.insert(entry.name.clone(), Row { entry, by: by.clone(), heard: now });
        Taken::New
    }

    /// Forgets those not served for so long. Who is served by this machine itself was heard now; of others their machines
    /// speak again and again.
    pub(crate) fn forget(&mut self, now: Tenths, me: &Name, after: Tenths) -> Vec<Name> {
        for row in self.rows.values_mut().filter(|row| row.entry.linked && row.by == *me) {
            row.heard = now;
        }
        let gone = self.rows.iter().filter(|(_, row)| now - row.heard >= after);
        let gone: Vec<Name> = gone.map(|(name, _)| name.clone()).collect();
        gone.iter().for_each(|name| drop(self.rows.remove(name)));
        gone
    }

    /// The verdict as it stands now; `hears` says which machines the writer hears.
    pub(crate) fn verdict(&self, version: Version, hears: impl Fn(&Name) -> bool) -> Verdict {
        let (mut at, mut behind, mut refused, mut silent) = (0, Vec::new(), Vec::new(), Vec::new());
        for (name, row) in &self.rows {
            let entry = &row.entry;
            match &entry.refused {
                _ if entry.version >= version => at += 1,
                Some((other, why)) if *other >= version => refused.push((name.clone(), why.clone())),
                _ if entry.linked && hears(&row.by) => behind.push(name.clone()),
                _ => silent.push(name.clone()),
            }
        }
        let everywhere = at == self.rows.len();
        Verdict { version, everywhere, at, behind, refused, silent }
    }

    /// Is every router at this version?
    pub(crate) fn all_at(&self, version: Version) -> bool {
        self.rows.values().all(|row| row.entry.version >= version)
    }

    /// Those of whom this machine spoke last.
    pub(crate) fn said_by(&self, machine: &Name) -> Vec<Name> {
        let rows = self.rows.iter().filter(|(_, row)| row.by == *machine);
        rows.map(|(name, _)| name.clone()).collect()
    }

    /// All machines of whose routers something is known.
    pub(crate) fn machines(&self) -> BTreeSet<Name> {
        self.rows.values().map(|row| row.by.clone()).collect()
    }

    fn make_room(&mut self) -> bool {
        let gone = self.rows.iter().filter(|(_, row)| !row.entry.linked);
        let Some(name) = gone.min_by_key(|(_, row)| row.heard).map(|(name, _)| name.clone()) else {
            return false;
        };
        self.rows.remove(&name).is_some()
    }
}

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    New,
    Changed,
    Known,
    NoRoom,
}

impl Row {
    fn take(&mut self, now: Tenths, by: &Name, entry: Entry, relayed: bool) -> Taken {
        let (old, new) = ((self.entry.start, self.entry.turn), (entry.start, entry.turn));
        // What was told counts over starts and machines: it never goes back.
        let version = self.entry.version.max(entry.version);
        let raised = version > self.entry.version;
        self.entry.version = version;
        // Danger: a machine that the router has left, and that speaks late, would call it silent.
        if new < old || (relayed && new == old) {
            return if raised { Taken::Changed } else { Taken::Known };
        }
        if entry.linked {
            self.heard = now;
        }
        let entry = Entry { version, ..entry };
        let changed = raised || entry != self.entry || *by != self.by;
        (self.entry, self.by) = (entry, by.clone());
        if changed { Taken::Changed } else { Taken::Known }
    }
}
