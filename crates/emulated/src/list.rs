//! The list of members as routers hear of it: late, and of health it knows only whether a process runs.

use crate::plan::{ListMode, ListPlan};
use crate::{Dice, Micros};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Up,
    Draining,
    Gone,
}

/// One member as the list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    pub node: usize,
    pub phase: Phase,
    /// When its process started; 0 for long ago.
    pub started: Micros,
    pub primary: bool,
}

/// What is told to one router: the rows that changed, or the whole list.
#[derive(Clone, Debug)]
pub struct Sheet {
    pub version: u64,
    pub whole: bool,
    pub rows: Arc<Vec<Row>>,
}

struct Hearer {
    /// The version last told, and whether changes are told by themselves.
    version: u64,
    watches: bool,
}

pub(crate) struct List {
    plan: ListPlan,
    /// As it was at the start, and as it is.
    start: Vec<Option<Row>>,
    rows: Vec<Option<Row>>,
    /// Each change, in order of its version.
    changes: Vec<Row>,
    hearers: Vec<Hearer>,
    /// What happened while the list was stale.
    unlearnt: Vec<Row>,
    down: u32,
    stale: u32,
}

impl List {
    pub(crate) fn new(plan: ListPlan, routers: usize) -> List {
        let watches = plan.mode == ListMode::Push;
        let hearers = (0..routers).map(|_| Hearer { version: 0, watches }).collect();
        List {
            plan,
            start: Vec::new(),
            rows: Vec::new(),
            changes: Vec::new(),
            hearers,
            unlearnt: Vec::new(),
            down: 0,
            stale: 0,
        }
    }

    /// When the list will know of a change that happens now.
    pub(crate) fn late(&self, role: bool, dice: &mut Dice) -> Micros {
        let draw = if role { &self.plan.role_late } else { &self.plan.late };
        draw.sample(dice) as Micros
    }

    pub(crate) fn spread(&self, dice: &mut Dice) -> Micros {
        self.plan.spread.sample(dice) as Micros
    }

    /// A member is there from the start: it is no change.
    pub(crate) fn start_with(&mut self, row: Row) {
        self.hold(row);
        self.start = self.rows.clone();
    }

    fn hold(&mut self, row: Row) {
        let count = self.rows.len().max(row.node + 1);
        self.rows.resize(count, None);
        let at = row.node;
        self.rows[at] = Some(row);
    }

    /// The list knows of this now.
    pub(crate) fn learn(&mut self, row: Row) {
        if self.stale > 0 {
            return self.unlearnt.push(row);
        }
        self.hold(row.clone());
        self.changes.push(row);
    }

    /// By how many troubles it is stale now. What it missed it learns when it is stale no more.
    pub(crate) fn stale(&mut self, by: i32) {
        self.stale = self.stale.saturating_add_signed(by);
        if self.stale == 0 {
            std::mem::take(&mut self.unlearnt).into_iter().for_each(|row| self.learn(row));
        }
    }

    /// By how many troubles it is down now.
    pub(crate) fn down(&mut self, by: i32) {
        self.down = self.down.saturating_add_signed(by);
    }

    fn whole(&self) -> Arc<Vec<Row>> {
        Arc::new(self.rows.iter().flatten().filter(|r| r.phase != Phase::Gone).cloned().collect())
    }

    /// The list as a router starts with it: `old` brings back what it was last told.
    pub(crate) fn first(&mut self, router: usize, old: bool) -> Sheet {
        let h = &mut self.hearers[router];
        h.watches = self.plan.mode == ListMode::Push;
        if !old {
            h.version = self.changes.len() as u64;
            return Sheet { version: h.version, whole: true, rows: self.whole() };
        }
        // What it held when it was last told.
        let mut rows = self.start.clone();
        for change in &self.changes[..h.version as usize] {
            rows.resize(rows.len().max(change.node + 1), None);
            rows[change.node] = Some(change.clone());
        }
        let rows = rows.into_iter().flatten().filter(|r| r.phase != Phase::Gone).collect();
        Sheet { version: h.version, whole: true, rows: Arc::new(rows) }
    }

    /// What a router that hears of changes has not been told yet; none while the list is down or stale.
    pub(crate) fn news(&mut self, router: usize) -> Option<Sheet> {
        let (down, total) = (self.down > 0, self.changes.len() as u64);
        let h = &mut self.hearers[router];
        if down || !h.watches || h.version >= total {
            return None;
        }
        let rows = Arc::new(self.changes[h.version as usize..].to_vec());
        h.version = total;
        Some(Sheet { version: total, whole: false, rows })
    }

    /// A router asks: for the whole list once, or for changes from now on. An error while the list is down.
    pub(crate) fn ask(&mut self, router: usize) -> Result<Sheet, ()> {
        if self.down > 0 {
            return Err(());
        }
        let rows = self.whole();
        let total = self.changes.len() as u64;
        let h = &mut self.hearers[router];
        h.watches = self.plan.mode != ListMode::Ask;
        h.version = total;
        Ok(Sheet { version: h.version, whole: true, rows })
    }

    /// The list's process has died: watches end. Returns the routers whose watch broke.
    pub(crate) fn break_watches(&mut self) -> Vec<usize> {
        let watch = self.plan.mode == ListMode::Watch;
        let broken = (0..self.hearers.len()).filter(|r| watch && self.hearers[*r].watches).collect();
        if watch {
            self.hearers.iter_mut().for_each(|h| h.watches = false);
        }
        broken
    }
}
