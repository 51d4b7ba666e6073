//! The event loop's copy of the membership's view, updated by the changes that the thread sends.

use std::collections::BTreeMap;
use std::fmt;
use vetchkeel_membership::{Change, Instance, Liveness, MOST_INSTANCES, Name, Start, ViewEntry};

/// Maximum number of names: those of the membership, and as many that it has removed since the full view was last sent.
/// Further names are ignored until the full view is sent again.
const MAX_NAMES: usize = 2 * MOST_INSTANCES;

/// An update from the thread to the loop.
pub enum FleetUpdate {
    Change(Change),
    /// The full view, which replaces everything sent before.
    Full(Box<View>),
}

/// The state of another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterState {
    Alive,
    Suspect,
    Dead,
    Left,
}

impl From<&Liveness> for RouterState {
    fn from(liveness: &Liveness) -> RouterState {
        match liveness {
            Liveness::Alive => RouterState::Alive,
            Liveness::Suspect(_) => RouterState::Suspect,
            Liveness::Dead(_) => RouterState::Dead,
            Liveness::Left => RouterState::Left,
        }
    }
}

/// The other routers by name, with their start and state.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct View {
    others: BTreeMap<Name, (Start, RouterState)>,
    /// The membership's estimate of this router's own health, from 0 (healthy) to 8.
    pub local_health: u8,
}

impl View {
    /// Builds the full view from the membership's.
    pub fn full<'a>(seen: impl Iterator<Item = ViewEntry<'a>>, local_health: u8) -> View {
        let others =
            seen.map(|s| (s.instance.name.clone(), (s.instance.start, RouterState::from(s.liveness))));
        View { others: others.collect(), local_health }
    }

    fn insert_alive(&mut self, instance: &Instance) {
        if self.others.len() < MAX_NAMES || self.others.contains_key(&instance.name) {
            self.others.insert(instance.name.clone(), (instance.start, RouterState::Alive));
        }
    }

    fn set_state(&mut self, name: &Name, state: RouterState) {
        if let Some(other) = self.others.get_mut(name) {
            other.1 = state;
        }
    }

    /// Applies one change of the membership.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Joined(instance) | Change::Restarted(instance) => self.insert_alive(instance),
            Change::Suspected(name) => self.set_state(name, RouterState::Suspect),
            Change::Returned(name) => self.set_state(name, RouterState::Alive),
            Change::Died(name) => self.set_state(name, RouterState::Dead),
            Change::Left(name) => self.set_state(name, RouterState::Left),
            Change::LocalHealthChanged(level) => self.local_health = *level,
            Change::StartRaised(_)
            | Change::Superseded(_)
            | Change::ViewFull(_)
            | Change::ChangesDropped(_) => {}
        }
    }

    pub fn count(&self, state: RouterState) -> usize {
        self.others.values().filter(|(_, w)| *w == state).count()
    }
}

impl fmt::Display for RouterState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RouterState::Alive => "alive",
            RouterState::Suspect => "suspect",
            RouterState::Dead => "dead",
            RouterState::Left => "left",
        })
    }
}

impl fmt::Display for View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.others.iter().try_for_each(|(name, (start, state))| write!(f, " {name}={state}/{start}"))
    }
}
