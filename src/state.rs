//! What a router holds. Nothing is decided here: `decide` alone reads and changes it.

use crate::decay::Mean;
use crate::interface::{Id, PositionSource, Tenths};
use crate::progress::Progress;
use crate::roles::Roles;
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A member's place in the router's table.
pub(crate) type Node = usize;

pub(crate) use crate::interface::MemberState as State;

/// How new a command group's data must be; a bound where there is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Access {
    Any,
    Bounded(Tenths),
    Session,
    Fresh,
    Write,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    Replayable,
    Keyed { everywhere: bool, by_zone: bool, window: Tenths },
    Mutating,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CommandGroup {
    pub access: Access,
    pub effect: Effect,
    pub target: Tenths,
    pub late_share: f64,
    pub benefit: f64,
    /// The most dispatches of one command.
    pub attempts: u32,
    /// How long a throttled client is told to stay away.
    pub hold_off: Tenths,
    pub latency: Mean,
}

/// Command groups in numbered places. A command knows its group by the place, so a group that new settings
/// change or drop stays as it is for as long as a command of it is open.
#[derive(Debug, Default)]
pub(crate) struct CommandGroups {
    pub places: Vec<CommandGroup>,
    /// Where the settings' groups are.
    pub named: BTreeMap<String, usize>,
}

impl CommandGroups {
    /// Takes in the groups of new settings, `held` being the places that open commands know. One that is as it
    /// was keeps its place; another gets one that is not held, with what was measured under its name.
    pub(crate) fn replace(&mut self, told: Vec<(String, CommandGroup)>, held: &BTreeSet<usize>) {
        let old = std::mem::take(&mut self.named);
        let (mut taken, mut moved) = (held.clone(), Vec::new());
        for (name, mut group) in told {
            let place = old.get(&name).copied();
            group.latency = place.map_or(group.latency, |place| self.places[place].latency);
            match place.filter(|place| self.places[*place] == group) {
                Some(place) => _ = (taken.insert(place), self.named.insert(name, place)),
                None => moved.push((name, group)),
            }
        }
        for (name, group) in moved {
            let place = (0..).find(|place| !taken.contains(place)).unwrap_or(self.places.len());
            match self.places.get_mut(place) {
                Some(vacant) => *vacant = group,
                None => self.places.push(group),
            }
            _ = (taken.insert(place), self.named.insert(name, place));
        }
    }

    /// Those of the settings and of open commands, as far as `held` names them.
    pub(crate) fn in_use<'a>(&'a self, held: &'a BTreeSet<usize>) -> impl Iterator<Item = &'a CommandGroup> {
        held.iter()
            .chain(self.named.values().filter(|place| !held.contains(*place)))
            .map(|p| &self.places[*p])
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Member {
    pub id: Id,
    pub set: i64,
    pub zone: Id,
    pub tie: usize,
    pub listed_primary: bool,
    /// Told as draining or gone.
    pub shut: bool,
    /// The list has it no more.
    pub gone: bool,
    pub started: Tenths,
    /// When this router learned of that start.
    pub start_known: Tenths,
    pub state: State,
    /// When the last answer's note told its role.
    pub noted_at: Tenths,
    pub roles: Roles,
    /// Attempts that see what a primary has, by command and number, with the time at which each was written there.
    pub written_as_primary: BTreeMap<(u64, u32), Tenths>,
    /// Proven: all commits up to here are applied. Told as a replica; the last word of it that counted was heard then.
    pub position: Tenths,
    pub position_heard: Tenths,
    pub position_source: PositionSource,
    /// The positions that it tells as the primary, in answers and in reports.
    pub answered_positions: Progress,
    pub reported_positions: Progress,
    /// When it was last taken for broken.
    pub broken_at: Tenths,
    pub checked_at: Tenths,
    /// How far behind it was at the last word of it, and when that came.
    pub behind: Tenths,
    pub behind_at: Tenths,
    pub heard: Tenths,
    /// It has answered a dispatch or a probe, or was on the first list: no name alone.
    pub met: bool,
    /// Dispatches counted as lost since it was last heard.
    pub unheard: usize,
    /// Dispatches out: command and number, with the time of each.
    pub out: BTreeMap<(u64, u32), Tenths>,
    pub window: f64,
    pub shy_until: Tenths,
    /// Until then the primary's spare part is taken.
    pub spare_at: Tenths,
    /// Seen to die; back, it is cold.
    pub died: bool,
    /// What this router may still send it while it is cold.
    pub credit: f64,
    pub credit_at: Tenths,
    pub turn: f64,
    pub probing: bool,
    /// When the last probe went out.
    pub asked_at: Tenths,
    pub fails: u32,
    /// When it last turned a dispatch away; 0 once one sent later was answered.
    pub turned_away: Tenths,
    /// Connections refused since the last answer.
    pub refused: u32,
    /// A connection there broke, and no probe has told yet whether it died.
    pub broke: bool,
    pub retry_at: Tenths,
    /// Dials in a row that failed on this machine, and until when no further one is made.
    pub local_errors: u32,
    pub dial_at: Tenths,
}

impl Member {
    /// How far behind it is taken to be: it catches up as time passes, so one that does not is tried again
    /// after twice as long each time. A guess; no rule rests on it.
    pub(crate) fn behind(&self, now: Tenths) -> Tenths {
        (self.behind - (now - self.behind_at)).max(0)
    }
}

/// The sessions' last writes, as positions. Those long past are forgotten once there are many.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    writes: BTreeMap<String, Tenths>,
    /// How many are held before some are forgotten again; 0 as long as none was.
    most: usize,
}

impl Sessions {
    /// The last write of a session. One that may have been forgotten at `old` or before counts as written
    /// then.
    pub(crate) fn written(&self, session: &Option<String>, old: Tenths) -> Tenths {
        let forgotten = if self.most > 0 { old } else { 0 };
        session.as_ref().and_then(|s| self.writes.get(s)).copied().unwrap_or(forgotten)
    }

    pub(crate) fn write(&mut self, session: String, at: Tenths, old: Tenths, least: usize) {
        if self.writes.len() >= self.most.max(least) {
            self.writes.retain(|_, at| *at > old);
            self.most = 2 * self.writes.len() + 1;
        }
        let last = self.writes.entry(session).or_insert(0);
        *last = at.max(*last);
    }

    #[cfg(test)]
    pub(crate) fn count(&self) -> usize {
        self.writes.len()
    }
}

/// A waiting command: what goes behind has the higher rank, and the newest goes first.
pub(crate) type Place = (u8, Reverse<u64>);

#[derive(Clone, Debug, Default)]
pub(crate) struct MemberSet {
    pub nodes: Vec<Node>,
    /// Waiting commands, a queue for each command group.
    pub waiting: Vec<BTreeSet<Place>>,
    pub scout: Option<u64>,
    pub seek_at: Tenths,
    pub look_at: Tenths,
    pub broken_rounds: u32,
    pub round_at: Tenths,
    /// Latencies over response targets of its answers.
    pub slow: Mean,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Open {
    pub id: Id,
    pub kind: usize,
    pub set: i64,
    pub rank: u8,
    /// When the last use of an answer ends.
    pub ends: Tenths,
    /// How long it waits for a first dispatch to be written.
    pub patience: Tenths,
    /// When it is looked at next while nothing of it is out.
    pub settles: Tenths,
    /// The position that a session or fresh read must see.
    pub needs: Tenths,
    pub session: Option<String>,
    pub dispatches: u32,
    /// Dispatches that this machine could not open a connection for.
    pub given_back: u32,
    pub out: BTreeMap<u32, (Node, Tenths)>,
    /// Attempts whose answers may be older than it may see.
    pub too_old: BTreeSet<u32>,
    /// What attempts that were written to replicas may see.
    pub seen: BTreeMap<u32, Seen>,
    /// The first dispatch that may have run.
    pub maybe_ran: Option<(Node, Tenths)>,
    pub tried: Vec<Node>,
    pub broken_round: bool,
    pub erred: bool,
    /// Erred where a further dispatch would not help.
    pub hopeless: bool,
    pub closed: bool,
}

/// What an attempt may see: when its last byte was written, and up to when its member had applied all by then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seen {
    pub written: Tenths,
    /// What its command had to see by then, where that is a session's read.
    pub needs: Tenths,
    pub position: Tenths,
    pub source: PositionSource,
    pub heard: Tenths,
}

impl Open {
    /// Dispatches that count as attempts.
    pub(crate) fn attempts(&self) -> u32 {
        self.dispatches - self.given_back
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Task {
    Settle(u64),
    GiveUp(u64),
    Overdue(u64, u32),
    Look(i64),
    Ask(Node),
    Watch,
}

/// The instance's chance, from its seed alone.
pub(crate) struct Chance(WyRand);

impl Default for Chance {
    fn default() -> Chance {
        Chance::from(0)
    }
}

impl From<u64> for Chance {
    fn from(seed: u64) -> Chance {
        Chance(WyRand::new_seed(seed))
    }
}

impl Chance {
    /// A length of time from 0 up to, but not including, `most`.
    pub(crate) fn below(&mut self, most: Tenths) -> Tenths {
        self.0.generate_range(0..most.max(1) as u64) as Tenths
    }

    /// `base` and up to as much again.
    pub(crate) fn jittered(&mut self, base: Tenths) -> Tenths {
        base + self.below(base)
    }
}
