//! A schedule as it is played, without I/O: who holds the links and processes pulls what to do now.

use crate::schedule::{Act, Deed, Schedule, both};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use vetchkeel_link::fault::Fault;
use vetchkeel_link::{Name, Tenths};

/// What to do now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// What is wrong with this directed link from now on.
    Link {
        from: Name,
        to: Name,
        fault: Fault,
    },
    Process {
        name: Name,
        act: Act,
    },
}

/// A schedule between these instances, at a time.
#[derive(Clone, Debug)]
pub struct Course {
    schedule: Schedule,
    names: Vec<Name>,
    /// Set by hand, on top of the schedule.
    by_hand: BTreeMap<(Name, Name), Fault>,
    /// As told last; without an entry: whole.
    told: BTreeMap<(Name, Name), Fault>,
    /// Times at which windows begin or end, still to come.
    edges: BTreeSet<Tenths>,
    /// In order of time, still to come.
    deeds: VecDeque<Deed>,
    /// Links to look at.
    due: BTreeSet<(Name, Name)>,
}

impl Course {
    pub fn new(schedule: Schedule, names: &[Name]) -> Course {
        let edges = schedule.windows.iter().flat_map(|w| [Some(w.from), w.until]).flatten().collect();
        let mut deeds = schedule.deeds.clone();
        deeds.sort();
        let (by_hand, told, due) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Course { schedule, names: names.to_vec(), by_hand, told, edges, deeds: deeds.into(), due }
    }

    pub fn seed(&self) -> u64 {
        self.schedule.seed
    }

    pub fn names(&self) -> &[Name] {
        &self.names
    }

    /// A fault of one direction, beside what the schedule says; the default takes it back.
    pub fn set(&mut self, from: &Name, to: &Name, fault: Fault) {
        let link = (from.clone(), to.clone());
        self.due.insert(link.clone());
        match fault == Fault::default() {
            true => self.by_hand.remove(&link),
            false => self.by_hand.insert(link, fault),
        };
    }

    fn fault(&self, now: Tenths, from: &Name, to: &Name) -> Fault {
        let windows = self.schedule.windows.iter().filter(|w| w.holds(now) && w.covers(from, to));
        let by_hand = self.by_hand.get(&(from.clone(), to.clone())).copied().unwrap_or_default();
        windows.fold(by_hand, |fault, w| both(fault, w.fault))
    }

    /// What changes by `now`, until there is nothing more. Links come before processes of the same time.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Decision> {
        while self.edges.first().is_some_and(|at| *at <= now) {
            self.edges.pop_first();
            for from in &self.names {
                let others = self.names.iter().filter(|to| *to != from);
                self.due.extend(others.map(|to| (from.clone(), to.clone())));
            }
        }
        while let Some((from, to)) = self.due.pop_first() {
            let fault = self.fault(now, &from, &to);
            let before = self.told.get(&(from.clone(), to.clone())).copied().unwrap_or_default();
            if fault != before {
                self.told.insert((from.clone(), to.clone()), fault);
                return Some(Decision::Link { from, to, fault });
            }
        }
        let deed = self.deeds.pop_front_if(|d| d.at <= now)?;
        Some(Decision::Process { name: deed.name, act: deed.act })
    }

    pub fn wake_at(&self) -> Option<Tenths> {
        if !self.due.is_empty() {
            return Some(Tenths::MIN);
        }
        [self.edges.first().copied(), self.deeds.front().map(|d| d.at)].into_iter().flatten().min()
    }
}
