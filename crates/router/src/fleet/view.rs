//! The event loop's copy of the membership's view, updated by the changes that the thread sends.

use std::collections::BTreeMap;
use std::fmt;
use vetchkeel_membership::{Change, Instance, MOST_INSTANCES, Name, Seen, Standing, Start};

/// Maximum number of names: those of the membership, and as many that it has removed since the full view was last sent.
/// Further names are ignored until the full view is sent again.
const MOST: usize = 2 * MOST_INSTANCES;

/// An update from the thread to the loop.
pub enum Told {
    Change(Change),
    /// The full view, which replaces everything sent before.
    Whole(Box<View>),
}

/// The state of another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Alive,
    Suspect,
    Dead,
    Left,
}

impl From<&Standing> for Word {
    fn from(standing: &Standing) -> Word {
        match standing {
            Standing::Alive => Word::Alive,
            Standing::Suspect(_) => Word::Suspect,
            Standing::Dead(_) => Word::Dead,
            Standing::Left => Word::Left,
        }
    }
}

/// The other routers by name, with their start and state.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct View {
    others: BTreeMap<Name, (Start, Word)>,
    /// The membership's estimate of this router's own health, from 0 (healthy) to 8.
    pub doubt: u8,
}

impl View {
    /// Builds the full view from the membership's.
    pub fn whole<'a>(seen: impl Iterator<Item = Seen<'a>>, doubt: u8) -> View {
        let others = seen.map(|s| (s.instance.name.clone(), (s.instance.start, Word::from(s.standing))));
        View { others: others.collect(), doubt }
    }

    fn came(&mut self, instance: &Instance) {
        if self.others.len() < MOST || self.others.contains_key(&instance.name) {
            self.others.insert(instance.name.clone(), (instance.start, Word::Alive));
        }
    }

    fn stands(&mut self, name: &Name, word: Word) {
        if let Some(other) = self.others.get_mut(name) {
            other.1 = word;
        }
    }

    /// Applies one change of the membership.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Joined(instance) | Change::Restarted(instance) => self.came(instance),
            Change::Suspected(name) => self.stands(name, Word::Suspect),
            Change::Returned(name) => self.stands(name, Word::Alive),
            Change::Died(name) => self.stands(name, Word::Dead),
            Change::Left(name) => self.stands(name, Word::Left),
            Change::Doubting(level) => self.doubt = *level,
            Change::Raised(_) | Change::Superseded(_) | Change::Crowded(_) | Change::Missed(_) => {}
        }
    }

    pub fn count(&self, word: Word) -> usize {
        self.others.values().filter(|(_, w)| *w == word).count()
    }
}

impl fmt::Display for Word {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Word::Alive => "alive",
            Word::Suspect => "suspect",
            Word::Dead => "dead",
            Word::Left => "left",
        })
    }
}

impl fmt::Display for View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.others.iter().try_for_each(|(name, (start, word))| write!(f, " {name}={word}/{start}"))
    }
}
