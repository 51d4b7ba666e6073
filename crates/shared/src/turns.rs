//! Who does next what only one should do: probe a suspect, admit to a cold member, retry a read first.
//!
//! Every router opens the turn when it learns of its cause, and orders all who are there by rendezvous hashing. The first
//! acts at once, each further one a step later, unless it has heard that the turn is taken or done. So a turn whose holder
//! is dead waits one step for each dead one ahead, and none at all once the membership knows; two may act when a message
//! is lost or views differ. That is why there is no turn for a write: nothing here keeps two from holding one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use vetchkeel_membership::{Name, Start, Tenths};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::wire::{Body, Decision, Message};

/// Most turns open at once; a further one is not opened, and [`Turns::open`] says so.
pub const MOST: usize = 4_096;
/// So many stand by for a turn. If all of them fail it lapses, and the next round of it draws others.
pub const STAND_BY: usize = 8;

/// So often the end of a turn is told again.
const AGAIN: u32 = 2;

/// What may be done once or twice without harm. There is no kind for a write, see `docs/shared.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Probe a member under suspicion.
    Probe,
    /// Send a cold member its next command.
    Admit,
    /// Retry a read first after a set's trouble.
    Retry,
}

/// One turn.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Turn {
    /// What is to be done.
    pub kind: Kind,
    /// About which member or set.
    pub about: Name,
    /// In which life of it.
    pub life: u64,
    /// Grows by one when it is done or has lapsed: the epoch of the turn. Each draws an order of its own.
    pub round: u32,
}

/// How far a turn is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Its holder has begun, and has so long.
    Taken(Tenths),
    /// It is done.
    Done,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Send it.
    Send(Decision),
    /// It is this router's turn, until then; the host says [`Turns::done`].
    Act(Turn, Tenths),
    /// Nobody who stood by has done it in time. The next round may be opened.
    Lapsed(Turn),
}

struct Open {
    /// Who stands by, the first first, by the present view.
    order: Vec<Name>,
    since: Tenths,
    /// The first acts then, each further one a step later.
    from: Tenths,
    /// Until when a holder that was heard of may take.
    taken: Option<(Name, Tenths)>,
    mine: bool,
}

/// One router's part in the turns.
pub struct Turns {
    me: Name,
    start: Start,
    /// How long each who stands by waits for the one before.
    step: Tenths,
    /// How long a holder may take.
    lasts: Tenths,
    live: BTreeSet<Name>,
    able: bool,
    open: BTreeMap<Turn, Open>,
    /// Closed ones, so that a late message does not open them again, until then.
    closed: BTreeMap<Turn, Tenths>,
    /// Own ends that are told again, and how often still.
    again: BTreeMap<Turn, (Tenths, u32)>,
    waiting: Vec<Call>,
}

impl Turns {
    /// The part of `me` in its life `start`. A `step` is longer than news takes through the fleet; a holder has `lasts`.
    pub fn new(me: Name, start: Start, step: Tenths, lasts: Tenths) -> Turns {
        let live = BTreeSet::from([me.clone()]);
        let (open, closed, again) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (step, lasts) = (step.max(1), lasts.max(1));
        Turns { me, start, step, lasts, live, able: true, open, closed, again, waiting: Vec::new() }
    }

    /// The longest that a turn is lost when holders die: then it has lapsed, and all who are there know to open another.
    pub fn longest(&self) -> Tenths {
        (self.step + self.lasts) * STAND_BY as Tenths
    }

    /// Who is there, by the membership; `able`: does this router trust itself to act?
    pub fn live(&mut self, now: Tenths, mut live: BTreeSet<Name>, able: bool) {
        live.insert(self.me.clone());
        self.live = live;
        self.able = able;
        for (turn, open) in &mut self.open {
            open.order = order(&self.live, turn);
        }
        // What a dead one has taken is free again.
        for open in self.open.values_mut() {
            if open.taken.as_ref().is_some_and(|(by, _)| !self.live.contains(by)) {
                open.taken = None;
                // Danger: counted from the beginning, all who stand by would be late and act at once.
                open.from = now;
            }
        }
    }

    /// The cause of a turn is known here. False if it is closed, or there is no room.
    pub fn open(&mut self, now: Tenths, turn: Turn) -> bool {
        if self.closed.contains_key(&turn) || (!self.open.contains_key(&turn) && self.open.len() >= MOST) {
            return false;
        }
        let live = &self.live;
        let new =
            |turn: &Turn| Open { order: order(live, turn), since: now, from: now, taken: None, mine: false };
        self.open.entry(turn).or_insert_with_key(new);
        true
    }

    /// This router has done it, or its cause is gone.
    pub fn done(&mut self, now: Tenths, turn: &Turn) {
        if let Some(open) = self.open.remove(turn) {
            self.close(now, turn.clone());
            if open.mine {
                self.tell(turn, Progress::Done);
                // Danger: of seven who stand by, one misses a message on a link that loses a tenth in half of all turns,
                // and would do it all over.
                if self.again.len() < MOST {
                    self.again.insert(turn.clone(), (now + self.step / 2, AGAIN));
                }
            }
        }
    }

    /// A message has come. False if it was not for this part.
    pub fn heard(&mut self, now: Tenths, message: &Message) -> bool {
        let Body::Turn(turn, progress) = &message.body else { return false };
        match progress {
            Progress::Done => {
                self.open.remove(turn);
                self.close(now, turn.clone());
            }
            Progress::Taken(lasts) => {
                let until = now + (*lasts).clamp(0, self.lasts);
                if self.open(now, turn.clone())
                    && let Some(open) = self.open.get_mut(turn).filter(|open| !open.mine)
                {
                    open.taken = Some((message.from.clone(), until));
                }
            }
        }
        true
    }

    /// The next thing to do, until none is left.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Call> {
        self.closed.retain(|_, until| now < *until);
        if let Some(call) = self.waiting.pop() {
            return Some(call);
        }
        if let Some((turn, (at, left))) = self.again.iter().find(|(_, (at, _))| *at <= now)
            && let (turn, at, left) = (turn.clone(), *at, *left)
        {
            if left > 1 {
                self.again.insert(turn.clone(), (at + self.step / 2, left - 1));
            } else {
                self.again.remove(&turn);
            }
            self.tell(&turn, Progress::Done);
            return self.waiting.pop();
        }
        let lapsed = self.open.iter().find(|(_, open)| now >= open.since + self.longest());
        if let Some(turn) = lapsed.map(|(turn, _)| turn.clone()) {
            self.open.remove(&turn);
            self.close(now, turn.clone());
            return Some(Call::Lapsed(turn));
        }
        let mine = self.open.iter().find(|(_, open)| self.act_at(open).is_some_and(|at| at <= now));
        let turn = mine.map(|(turn, _)| turn.clone())?;
        self.tell(&turn, Progress::Taken(self.lasts));
        let open = self.open.get_mut(&turn)?;
        open.mine = true;
        Some(Call::Act(turn, now + self.lasts))
    }

    /// When to come back if nothing is heard before.
    pub fn wake_at(&self) -> Option<Tenths> {
        let acts = self.open.values().filter_map(|open| self.act_at(open));
        let again = self.again.values().map(|(at, _)| *at);
        acts.chain(again).chain(self.open.values().map(|open| open.since + self.longest())).min()
    }

    /// When this router acts, if nothing is heard; none if it does not.
    fn act_at(&self, open: &Open) -> Option<Tenths> {
        if open.mine || !self.able {
            return None;
        }
        let order = &open.order;
        let rank = order.iter().position(|name| *name == self.me)? as Tenths;
        let Some((by, until)) = &open.taken else { return Some(open.from + rank * self.step) };
        // Those behind the holder wait for it first, each a step longer than the one before.
        let holder = order.iter().position(|name| name == by).map_or(-1, |at| at as Tenths);
        let behind = if rank > holder { rank - holder - 1 } else { rank + order.len() as Tenths };
        Some(until + behind * self.step)
    }

    fn close(&mut self, now: Tenths, turn: Turn) {
        if self.closed.len() >= MOST
            && let Some(first) =
                self.closed.iter().min_by_key(|(_, until)| **until).map(|(turn, _)| turn.clone())
        {
            self.closed.remove(&first);
        }
        self.closed.insert(turn, now + 2 * self.longest());
    }

    /// Those who stand by are all who would act: they alone are told.
    fn tell(&mut self, turn: &Turn, progress: Progress) {
        let body = Body::Turn(turn.clone(), progress);
        let message = Message { from: self.me.clone(), start: self.start, body };
        let told = order(&self.live, turn).into_iter().filter(|name| *name != self.me);
        let send = |to| Call::Send(Decision::Send { to, message: message.clone() });
        self.waiting.extend(told.map(send));
    }
}

/// Who stands by for a turn, the first first.
fn order(live: &BTreeSet<Name>, turn: &Turn) -> Vec<Name> {
    let mut order: Vec<_> = live.iter().map(|name| (weight(turn, name), name)).collect();
    let by_weight = |one: &(u64, &Name), other: &(u64, &Name)| other.cmp(one);
    if order.len() > STAND_BY {
        order.select_nth_unstable_by(STAND_BY, by_weight);
        order.truncate(STAND_BY);
    }
    order.sort_unstable_by(by_weight);
    order.into_iter().map(|(_, name)| name.clone()).collect()
}

/// The same on every router and every build: the highest stands first.
fn weight(turn: &Turn, name: &Name) -> u64 {
    let kind = match turn.kind {
        Kind::Probe => 1,
        Kind::Admit => 2,
        Kind::Retry => 3,
    };
    let about = xxh3_64_with_seed(turn.about.as_str().as_bytes(), turn.life);
    let turn = xxh3_64_with_seed(&turn.round.to_le_bytes(), about.wrapping_add(kind));
    xxh3_64_with_seed(name.as_str().as_bytes(), turn)
}
