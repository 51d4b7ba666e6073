//! The router's state. No decisions are made here: only `decide` reads and changes it.

use crate::decay::DecayingMean;
use crate::interface::{Id, PositionSource, Tenths};
use crate::progress::Progress;
use crate::roles::Roles;
use nanorand::{Rng, WyRand};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A member's index in the router's member table.
pub(crate) type Node = usize;

pub(crate) use crate::interface::MemberState as State;

/// How fresh the data must be that a command group accesses, with the staleness bound if there is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Access {
    Any,
    Bounded(Tenths),
    Session,
    Fresh,
    Write,
}

/// Whether a command may run again. `Keyed`: repeats are deduplicated by a key, for `window` after the first dispatch
/// that may have run: everywhere, within one zone, or else within the set.
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
    /// The maximum number of dispatches of one command.
    pub attempts: u32,
    /// The retry delay that is sent to a throttled client.
    pub retry_after: Tenths,
    pub latency: DecayingMean,
}

/// Command groups in numbered slots. A command refers to its group by slot, so a group that new settings change or
/// remove is kept unchanged for as long as a command of it is open.
#[derive(Debug, Default)]
pub(crate) struct CommandGroups {
    pub slots: Vec<CommandGroup>,
    /// The slots of the groups in the current settings, by name.
    pub slots_by_name: BTreeMap<String, usize>,
}

impl CommandGroups {
    /// Replaces the groups with those of new settings; `held` are the slots that open commands refer to. An unchanged
    /// group keeps its slot; a changed or new one gets a slot that is not held. The latency measured under the same
    /// name is carried over.
    pub(crate) fn replace(&mut self, new_groups: Vec<(String, CommandGroup)>, held: &BTreeSet<usize>) {
        let old = std::mem::take(&mut self.slots_by_name);
        let (mut occupied, mut moved) = (held.clone(), Vec::new());
        for (name, mut group) in new_groups {
            let slot = old.get(&name).copied();
            group.latency = slot.map_or(group.latency, |slot| self.slots[slot].latency);
            match slot.filter(|slot| self.slots[*slot] == group) {
                Some(slot) => _ = (occupied.insert(slot), self.slots_by_name.insert(name, slot)),
                None => moved.push((name, group)),
            }
        }
        for (name, group) in moved {
            let slot = (0..).find(|slot| !occupied.contains(slot)).unwrap_or(self.slots.len());
            match self.slots.get_mut(slot) {
                Some(vacant) => *vacant = group,
                None => self.slots.push(group),
            }
            _ = (occupied.insert(slot), self.slots_by_name.insert(name, slot));
        }
    }

    /// The groups of the current settings and those in the slots of `held`, each once.
    pub(crate) fn in_use<'a>(&'a self, held: &'a BTreeSet<usize>) -> impl Iterator<Item = &'a CommandGroup> {
        held.iter()
            .chain(self.slots_by_name.values().filter(|slot| !held.contains(*slot)))
            .map(|slot| &self.slots[*slot])
    }
}

/// What the router knows about a member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Member {
    pub id: Id,
    pub set: i64,
    pub zone: Id,
    /// Order among members of equal rank: their order by id, rotated by the router's number.
    pub tie_break: usize,
    pub listed_primary: bool,
    /// Listed as draining or removed: nothing is sent to it.
    pub excluded: bool,
    /// No longer on the member list.
    pub delisted: bool,
    pub started: Tenths,
    /// When this router learned of the start at `started`.
    pub start_learned_at: Tenths,
    pub state: State,
    /// When the last answer arrived whose note stated the member's role.
    pub role_received_at: Tenths,
    pub roles: Roles,
    /// Attempts written to this member as the primary, by command and attempt number, with the time of the write.
    pub written_as_primary: BTreeMap<(u64, u32), Tenths>,
    /// Proven: all commits up to this position are applied. Learned from the member as a replica; `position_received_at` is
    /// when the last message that set it was received.
    pub position: Tenths,
    pub position_received_at: Tenths,
    pub position_source: PositionSource,
    /// The positions that the member sends as the primary, in answers and in reports.
    pub answered_positions: Progress,
    pub reported_positions: Progress,
    /// When the member was last marked as broken.
    pub broken_at: Tenths,
    /// When a probe was last answered or a report with a valid position was last received.
    pub checked_at: Tenths,
    /// The replication lag last learned, and when it was learned.
    pub lag: Tenths,
    pub lag_at: Tenths,
    /// When the last answer was received.
    pub last_message_at: Tenths,
    /// Has answered a dispatch or a probe, or was on the first member list. Otherwise the member is only a listed name
    /// and may not exist.
    pub known_to_exist: bool,
    /// Dispatches counted as lost since the last message from the member.
    pub lost_dispatches: usize,
    /// Dispatches in flight, by command and attempt number, with the time of each.
    pub in_flight: BTreeMap<(u64, u32), Tenths>,
    /// The limit of dispatches in flight; below one, dispatches are also spaced by pauses.
    pub window: f64,
    /// Until then the window counts as closed, as it is below one or the member refuses connections.
    pub paused_until: Tenths,
    /// Until then the part of a primary's window that is open to reads is used up.
    pub reads_paused_until: Tenths,
    /// Its process was seen to die: when the member is back, it is cold.
    pub died: bool,
    /// The work that this router may still send to the member while it is cold.
    pub credit: f64,
    pub credit_updated_at: Tenths,
    /// The accumulated cost of its turns: reads go to the member with the lowest.
    pub turn: f64,
    /// A probe is in flight.
    pub probing: bool,
    /// When the last probe was sent.
    pub probed_at: Tenths,
    /// How often it broke or lost a probe since the last answer.
    pub failures: u32,
    /// When the member last rejected a dispatch; 0 once a dispatch sent later was answered.
    pub rejected_at: Tenths,
    /// Number of refused connections since the last answer.
    pub refused_connections: u32,
    /// A connection to the member broke, and no probe has shown yet whether its process died.
    pub connection_broke: bool,
    /// When the member may be tried again while it is broken.
    pub retry_at: Tenths,
    /// Consecutive dials that failed on this machine, and until when no further one is made.
    pub dial_failures: u32,
    pub next_dial_at: Tenths,
}

impl Member {
    /// The estimated replication lag: it shrinks as time passes, so a member that does not catch up is tried again
    /// after twice as long each time. Only an estimate; no rule depends on it.
    pub(crate) fn estimated_lag(&self, now: Tenths) -> Tenths {
        (self.lag - (now - self.lag_at)).max(0)
    }
}

/// The most sessions whose last writes are held; some 100 bytes each.
const MAX_SESSIONS: usize = 32_768;

/// The sessions' last writes, as positions. Old ones are evicted when there are many.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    writes: BTreeMap<String, Tenths>,
    /// The number of sessions at which old ones are evicted next; 0 as long as none was evicted.
    eviction_threshold: usize,
    /// The latest position that was evicted because there were too many sessions.
    evicted_position: Tenths,
}

impl Sessions {
    /// The position of a session's last write. For an unknown session: the latest that may have been evicted, as its last
    /// write may be that recent (`evicted_up_to` if old sessions were evicted), else 0.
    pub(crate) fn last_write(&self, session: &Option<String>, evicted_up_to: Tenths) -> Tenths {
        let by_age = if self.eviction_threshold > 0 { evicted_up_to } else { 0 };
        let default = by_age.max(self.evicted_position);
        session.as_ref().and_then(|s| self.writes.get(s)).copied().unwrap_or(default)
    }

    /// Records a session's write. Evicts the writes up to `evict_up_to` first if at least `min_sessions` sessions are
    /// held and the eviction threshold is reached.
    pub(crate) fn record_write(
        &mut self,
        session: String,
        position: Tenths,
        evict_up_to: Tenths,
        min_sessions: usize,
    ) {
        if self.writes.len() >= self.eviction_threshold.max(min_sessions).min(MAX_SESSIONS) {
            self.writes.retain(|_, position| *position > evict_up_to);
            self.evict_oldest_half_if_full();
            self.eviction_threshold = 2 * self.writes.len() + 1;
        }
        let last = self.writes.entry(session).or_insert(0);
        *last = position.max(*last);
    }

    /// Danger: with ever new sessions at full speed, too many are recent. Without the older half of them, all unknown sessions
    /// count as written at the latest position that was evicted, so no read sees less than its session wrote.
    fn evict_oldest_half_if_full(&mut self) {
        if self.writes.len() < MAX_SESSIONS {
            return;
        }
        let mut positions: Vec<Tenths> = self.writes.values().copied().collect();
        let (_, median, _) = positions.select_nth_unstable(MAX_SESSIONS / 2);
        self.evicted_position = self.evicted_position.max(*median);
        let evicted_position = self.evicted_position;
        self.writes.retain(|_, position| *position > evicted_position);
    }

    #[cfg(test)]
    pub(crate) fn count(&self) -> usize {
        self.writes.len()
    }
}

/// A waiting command's place in its queue: lower ranks first, then the newest first.
pub(crate) type QueueKey = (u8, Reverse<u64>);

/// A database set with its members and the commands that wait for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberSet {
    pub nodes: Vec<Node>,
    /// Waiting commands: one queue for each command group.
    pub waiting: Vec<BTreeSet<QueueKey>>,
    /// The held write that searches for the primary by trying the members.
    pub searching_write: Option<u64>,
    /// When the next probe may look for a primary.
    pub next_search_probe_at: Tenths,
    /// When the waiting commands are offered again.
    pub next_offer_at: Tenths,
    /// Consecutive rounds of the search that ended with transport errors.
    pub broken_rounds: u32,
    /// When the next round of the search may begin.
    pub next_round_at: Tenths,
    /// The mean ratio of latency to response target of the set's answers.
    pub slowness: DecayingMean,
}

/// A command that has arrived and is not complete.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenCommand {
    pub id: Id,
    /// The slot of its command group.
    pub group_slot: usize,
    pub set: i64,
    pub rank: u8,
    /// After this time an answer is of no more use.
    pub deadline: Tenths,
    /// Until when the command waits for a first dispatch to be written.
    pub wait_until: Tenths,
    /// When the command is examined next while no dispatch is in flight.
    pub next_check_at: Tenths,
    /// The position that the data of a session or fresh read must include.
    pub required_position: Tenths,
    pub session: Option<String>,
    /// The bytes of the statement that the host holds; None if it holds too little of it to send the command.
    pub statement_bytes: Option<usize>,
    pub dispatches: u32,
    /// Dispatches for which this machine could not open a connection; they do not count as attempts.
    pub uncounted_dispatches: u32,
    /// Dispatches in flight: by number, the member and when it was sent.
    pub in_flight: BTreeMap<u32, (Node, Tenths)>,
    /// Attempts whose answers may come from data that is too old for the command.
    pub too_old: BTreeSet<u32>,
    /// What data the attempts written to replicas may read.
    pub seen: BTreeMap<u32, VisibleData>,
    /// The first dispatch that may have run: its member and when it was sent.
    pub may_have_run: Option<(Node, Tenths)>,
    /// Members tried in the current round of the search for the primary.
    pub tried: Vec<Node>,
    /// A dispatch of the current round ended with a transport error.
    pub round_broken: bool,
    /// A dispatch ended with an error.
    pub had_error: bool,
    /// A dispatch ended with an error, and a further one is unlikely to succeed.
    pub retry_futile: bool,
    pub closed: bool,
}

/// The data that an attempt may read: when its last byte was written, and up to which position its member was known
/// to have applied all commits at that time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VisibleData {
    pub written_at: Tenths,
    /// The position that the command required at that time, if it is a session read.
    pub required_position: Tenths,
    pub position: Tenths,
    pub source: PositionSource,
    /// When the position was received.
    pub position_received_at: Tenths,
}

impl OpenCommand {
    /// Whether the command waits for a member: it has not ended and no dispatch is in flight.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.closed && self.in_flight.is_empty()
    }

    /// The number of dispatches that count as attempts.
    pub(crate) fn attempts(&self) -> u32 {
        self.dispatches - self.uncounted_dispatches
    }
}

/// A scheduled task of the router.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Task {
    Settle(u64),
    GiveUp(u64),
    Overdue(u64, u32),
    ServeSet(i64),
    Probe(Node),
    WatchMembers,
}

/// The instance's random numbers, determined by its seed alone.
pub(crate) struct RandomSource(WyRand);

impl Default for RandomSource {
    fn default() -> RandomSource {
        RandomSource::from(0)
    }
}

impl From<u64> for RandomSource {
    fn from(seed: u64) -> RandomSource {
        RandomSource(WyRand::new_seed(seed))
    }
}

impl RandomSource {
    /// A random duration from 0 up to, but not including, `limit`.
    pub(crate) fn below(&mut self, limit: Tenths) -> Tenths {
        self.0.generate_range(0..limit.max(1) as u64) as Tenths
    }

    /// `base` plus a random duration of less than `base`.
    pub(crate) fn jittered(&mut self, base: Tenths) -> Tenths {
        base + self.below(base)
    }
}
