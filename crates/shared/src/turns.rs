//! Coordinates actions that only one router should perform: to probe a suspected member, to send a command to a cold
//! member, or to be the first to retry a read.
//!
//! Every router opens the turn when it learns of its cause, and ranks all live routers by rendezvous hashing. The first
//! candidate acts at once and each further one a step later, unless it has learned that the turn is taken or done. A
//! turn whose holder is dead therefore waits one step for each dead candidate ahead, or not at all once the membership
//! knows of the failure. Two routers may act if a message is lost or their views differ. For this reason there is no
//! turn for a write: nothing here prevents two routers from holding the same turn.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use vetchkeel_membership::{Name, Start, Tenths};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::wire::{Body, Decision, Message};

/// Maximum number of open turns. At the limit a further one is not opened, and [`Turns::open`] returns false.
pub const MAX_TURNS: usize = 4_096;
/// Number of candidates for a turn. If all of them fail, the turn expires, and its next round draws other candidates.
pub const CANDIDATES: usize = 8;

/// Number of times the completion of a turn is sent again.
const DONE_RESENDS: u32 = 2;

/// Actions that may be performed once or twice without harm. There is no kind for a write, see `docs/shared.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Probe a suspected member.
    Probe,
    /// Send a cold member its next command.
    Admit,
    /// Be the first to retry a read after a failure of a database set.
    Retry,
}

/// Identifies one turn.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Turn {
    /// The action.
    pub kind: Kind,
    /// The member or database set that the action concerns.
    pub target: Name,
    /// The incarnation of the member or database set.
    pub incarnation: u64,
    /// The epoch of the turn: grows by one when the turn is done or has expired. Each round has a ranking of its own.
    pub round: u32,
}

/// Progress of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The holder has started and may take this long.
    Taken(Tenths),
    /// The action is done.
    Done,
}

/// Action for the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send(Decision),
    /// This router is to act, until the given time; the host then calls [`Turns::complete`].
    Run(Turn, Tenths),
    /// No candidate has completed the turn in time. The host may open the next round.
    Expired(Turn),
}

struct OpenTurn {
    /// The candidates by the present view, highest rank first.
    candidates: Vec<Name>,
    opened_at: Tenths,
    /// When the first candidate acts; each further one acts a step later.
    starts_at: Tenths,
    /// Another router that holds the turn, and until when.
    held_by: Option<(Name, Tenths)>,
    held_here: bool,
}

/// One router's part in the shared turns.
pub struct Turns {
    me: Name,
    start: Start,
    /// How long each candidate waits for the one before it.
    step: Tenths,
    /// How long a holder may take.
    hold_time: Tenths,
    live: BTreeSet<Name>,
    eligible: bool,
    open: BTreeMap<Turn, OpenTurn>,
    /// Closed turns and until when they are remembered, so that a late message does not open them again.
    closed: BTreeMap<Turn, Tenths>,
    /// Turns completed by this router whose completion is sent again: when, and how many more times.
    resends: BTreeMap<Turn, (Tenths, u32)>,
    outbox: Vec<Action>,
}

impl Turns {
    /// The turns of `me` in its incarnation `start`. `step` must be longer than an update takes to reach the fleet; a
    /// holder may take `hold_time`.
    pub fn new(me: Name, start: Start, step: Tenths, hold_time: Tenths) -> Turns {
        let live = BTreeSet::from([me.clone()]);
        let (open, closed, resends) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (step, hold_time) = (step.max(1), hold_time.max(1));
        Turns { me, start, step, hold_time, live, eligible: true, open, closed, resends, outbox: Vec::new() }
    }

    /// The longest time until a turn expires if its holders fail. After that all live routers know that they may open
    /// another round.
    pub fn max_duration(&self) -> Tenths {
        (self.step + self.hold_time) * CANDIDATES as Tenths
    }

    /// Sets the live routers according to the membership. `eligible` is whether this router is healthy enough to act.
    pub fn set_live(&mut self, now: Tenths, mut live: BTreeSet<Name>, eligible: bool) {
        live.insert(self.me.clone());
        self.live = live;
        self.eligible = eligible;
        for (turn, open) in &mut self.open {
            open.candidates = candidates(&self.live, turn);
        }
        // A turn held by a dead router is free again.
        for open in self.open.values_mut() {
            if open.held_by.as_ref().is_some_and(|(by, _)| !self.live.contains(by)) {
                open.held_by = None;
                // Danger: counted from when the turn was opened, all candidates would be overdue and act at once.
                open.starts_at = now;
            }
        }
    }

    /// Opens a turn whose cause this router has learned of. Returns false if the turn is closed or there is no room.
    pub fn open(&mut self, now: Tenths, turn: Turn) -> bool {
        if self.closed.contains_key(&turn) || (!self.open.contains_key(&turn) && self.open.len() >= MAX_TURNS)
        {
            return false;
        }
        let live = &self.live;
        let new = |turn: &Turn| OpenTurn {
            candidates: candidates(live, turn),
            opened_at: now,
            starts_at: now,
            held_by: None,
            held_here: false,
        };
        self.open.entry(turn).or_insert_with_key(new);
        true
    }

    /// Closes a turn that this router has completed, or whose cause no longer exists.
    pub fn complete(&mut self, now: Tenths, turn: &Turn) {
        if let Some(open) = self.open.remove(turn) {
            self.close(now, turn.clone());
            if open.held_here {
                self.broadcast(turn, Progress::Done);
                // Danger: on a link that loses a tenth of its messages, in half of all turns one of the seven other
                // candidates misses the message, and would act again.
                if self.resends.len() < MAX_TURNS {
                    self.resends.insert(turn.clone(), (now + self.step / 2, DONE_RESENDS));
                }
            }
        }
    }

    /// Handles a received message. Returns false if the message is not for this module.
    pub fn handle_message(&mut self, now: Tenths, message: &Message) -> bool {
        let Body::Turn(turn, progress) = &message.body else { return false };
        match progress {
            Progress::Done => {
                self.open.remove(turn);
                self.close(now, turn.clone());
            }
            Progress::Taken(hold_time) => {
                let until = now + (*hold_time).clamp(0, self.hold_time);
                if self.open(now, turn.clone())
                    && let Some(open) = self.open.get_mut(turn).filter(|open| !open.held_here)
                {
                    open.held_by = Some((message.from.clone(), until));
                }
            }
        }
        true
    }

    /// The next action; the host calls this until it returns `None`.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Action> {
        self.closed.retain(|_, until| now < *until);
        if let Some(action) = self.outbox.pop() {
            return Some(action);
        }
        if let Some((turn, (at, left))) = self.resends.iter().find(|(_, (at, _))| *at <= now)
            && let (turn, at, left) = (turn.clone(), *at, *left)
        {
            if left > 1 {
                self.resends.insert(turn.clone(), (at + self.step / 2, left - 1));
            } else {
                self.resends.remove(&turn);
            }
            self.broadcast(&turn, Progress::Done);
            return self.outbox.pop();
        }
        let expired = self.open.iter().find(|(_, open)| now >= open.opened_at + self.max_duration());
        if let Some(turn) = expired.map(|(turn, _)| turn.clone()) {
            self.open.remove(&turn);
            self.close(now, turn.clone());
            return Some(Action::Expired(turn));
        }
        let held_here = self.open.iter().find(|(_, open)| self.runs_at(open).is_some_and(|at| at <= now));
        let turn = held_here.map(|(turn, _)| turn.clone())?;
        self.broadcast(&turn, Progress::Taken(self.hold_time));
        let open = self.open.get_mut(&turn)?;
        open.held_here = true;
        Some(Action::Run(turn, now + self.hold_time))
    }

    /// When to call [`Turns::next_decision`] again if no message arrives before.
    pub fn wake_at(&self) -> Option<Tenths> {
        let runs = self.open.values().filter_map(|open| self.runs_at(open));
        let resends = self.resends.values().map(|(at, _)| *at);
        runs.chain(resends).chain(self.open.values().map(|open| open.opened_at + self.max_duration())).min()
    }

    /// When this router acts if no message arrives; `None` if it does not act.
    fn runs_at(&self, open: &OpenTurn) -> Option<Tenths> {
        if open.held_here || !self.eligible {
            return None;
        }
        let candidates = &open.candidates;
        let rank = candidates.iter().position(|name| *name == self.me)? as Tenths;
        let Some((by, until)) = &open.held_by else { return Some(open.starts_at + rank * self.step) };
        // Candidates ranked behind the holder act first, each a step later than the one before; those ahead of it act
        // after them.
        let holder = candidates.iter().position(|name| name == by).map_or(-1, |at| at as Tenths);
        let position = if rank > holder { rank - holder - 1 } else { rank + candidates.len() as Tenths };
        Some(until + position * self.step)
    }

    fn close(&mut self, now: Tenths, turn: Turn) {
        if self.closed.len() >= MAX_TURNS
            && let Some(first) =
                self.closed.iter().min_by_key(|(_, until)| **until).map(|(turn, _)| turn.clone())
        {
            self.closed.remove(&first);
        }
        self.closed.insert(turn, now + 2 * self.max_duration());
    }

    /// Sends `progress` to the candidates only, since no other router would act.
    fn broadcast(&mut self, turn: &Turn, progress: Progress) {
        let body = Body::Turn(turn.clone(), progress);
        let message = Message { from: self.me.clone(), start: self.start, body };
        let recipients = candidates(&self.live, turn).into_iter().filter(|name| *name != self.me);
        let send = |to| Action::Send(Decision::Send { to, message: message.clone() });
        self.outbox.extend(recipients.map(send));
    }
}

/// The candidates for a turn, highest rank first.
fn candidates(live: &BTreeSet<Name>, turn: &Turn) -> Vec<Name> {
    let mut candidates: Vec<_> = live.iter().map(|name| (weight(turn, name), name)).collect();
    let by_descending_weight = |one: &(u64, &Name), other: &(u64, &Name)| other.cmp(one);
    if candidates.len() > CANDIDATES {
        candidates.select_nth_unstable_by(CANDIDATES, by_descending_weight);
        candidates.truncate(CANDIDATES);
    }
    candidates.sort_unstable_by(by_descending_weight);
    candidates.into_iter().map(|(_, name)| name.clone()).collect()
}

/// The rendezvous weight, equal on every router and build; the highest ranks first.
fn weight(turn: &Turn, name: &Name) -> u64 {
    let kind = match turn.kind {
        Kind::Probe => 1,
        Kind::Admit => 2,
        Kind::Retry => 3,
    };
    let target = xxh3_64_with_seed(turn.target.as_str().as_bytes(), turn.incarnation);
    let turn = xxh3_64_with_seed(&turn.round.to_le_bytes(), target.wrapping_add(kind));
    xxh3_64_with_seed(name.as_str().as_bytes(), turn)
}
