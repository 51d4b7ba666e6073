//! A router's side: whom it asks, what it holds, and what is in force.

mod feed;
mod link;

use std::collections::{BTreeMap, VecDeque};

use nanorand::{Rng, WyRand};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::parts::{Of, Part};
use crate::replica::Replica;
use crate::wire::WHY_MOST;
use crate::{BadPlan, Document, Message, Name, Plan, Tenths, Version};
use link::{Link, answers};

/// Most notices that wait to be pulled; at the bound the oldest goes.
const MOST_NOTICES: usize = 64;

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to this machine; it may be lost.
    Send {
        /// The machine.
        to: Name,
        /// What.
        message: Message,
    },
    /// Check it, put it in force between two turns of the loop, keep it where asked to, and only then say
    /// [`Subscriber::applied`], or [`Subscriber::refused`]. The next one comes only after that.
    Apply {
        /// Its version.
        version: Version,
        /// All of it.
        document: Document,
    },
    /// For log and counters.
    Tell(Notice),
}

/// Something that a person wants to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// No machine that hears a writer was heard since then; what is in force stays.
    Silent {
        /// Since when.
        since: Tenths,
    },
    /// One is heard again.
    Heard {
        /// Which.
        machine: Name,
        /// It was silent for so long.
        after: Tenths,
    },
    /// This version was refused; the one before stays.
    Refused {
        /// Which.
        version: Version,
        /// Why.
        why: String,
    },
    /// What it holds is not in the machine's log any more: a whole copy comes.
    BaseGone {
        /// What it holds.
        holds: Version,
    },
    /// It serves from now on.
    Serving {
        /// Under this version.
        version: Version,
        /// No machine told what it had been told before: it goes by what was kept.
        unsure: bool,
    },
}

/// The configuration as one router knows it. It holds at most three documents: the newest, and for the host's hands one in
/// force and one about to be.
pub struct Subscriber {
    plan: Plan,
    me: Name,
    start: u64,
    turn: u32,
    /// All control machines, the preferred ones first.
    machines: Vec<Name>,
    chance: WyRand,
    replica: Replica,
    /// Given to the host, no answer yet.
    applying: Option<Version>,
    in_force: Version,
    refused: Option<(Version, String)>,
    /// The next ask is for the whole.
    whole: bool,
    /// A whole copy of this version could not be used: none is asked for before there is a later one.
    spoilt: Version,
    link: Option<Link>,
    /// Machines that are not to be asked before then.
    away: BTreeMap<Name, Tenths>,
    next_ask: Tenths,
    /// Asks in a row that led to nothing.
    fails: u32,
    /// Moves in a row from machines that hear no writer.
    roams: u32,
    home: Tenths,
    next_say: Tenths,
    /// When a machine that hears a writer was heard last.
    touched: Tenths,
    silent: Option<Tenths>,
    silence_told: bool,
    began: Tenths,
    kept: bool,
    floor: Option<Version>,
    serving: bool,
    notices: VecDeque<Notice>,
    bye: Option<(Name, Message)>,
}

impl Subscriber {
    /// A router that starts now, with what it kept. `start` grows with each start of its name (milliseconds since 1970 will
    /// do). `machines` are all control machines, in any order: those it prefers are drawn from its name. The first decision
    /// is to apply what was kept.
    ///
    /// # Errors
    /// [`BadPlan`] names the first value that can't be used; no machine is one.
    pub fn new(
        plan: Plan,
        me: Name,
        start: u64,
        kept: Option<(Version, Document)>,
        machines: Vec<Name>,
        now: Tenths,
        seed: u64,
    ) -> Result<Subscriber, BadPlan> {
        plan.check()?;
        if machines.is_empty() {
            return Err(BadPlan { what: "machines", expected: "at least one" });
        }
        let mut chance = WyRand::new_seed(seed);
        let next_ask = now + between(&mut chance, 0, plan.spread);
        let home = now + between(&mut chance, plan.home, 2 * plan.home);
        let has_kept = kept.is_some();
        let (version, document) = kept.unwrap_or_default();
        let mut subscriber = Subscriber {
            plan,
            me,
            start,
            turn: 0,
            machines,
            chance,
            replica: Replica::new(version, document),
            applying: None,
            in_force: Version::NONE,
            refused: None,
            whole: false,
            spoilt: Version::NONE,
            link: None,
            away: BTreeMap::new(),
            next_ask,
            fails: 0,
            roams: 0,
            home,
            next_say: now,
            touched: now,
            silent: Some(now),
            silence_told: false,
            began: now,
            kept: has_kept,
            floor: None,
            serving: false,
            notices: VecDeque::new(),
            bye: None,
        };
        subscriber.prefer(&[]);
        Ok(subscriber)
    }

    /// These machines, of its own zone or region, are to be tried first.
    pub fn prefer(&mut self, near: &[Name]) {
        let seed = xxh3_64(self.me.as_str().as_bytes());
        let drawn = |machine: &Name| xxh3_64_with_seed(machine.as_str().as_bytes(), seed);
        self.machines.sort_by_key(|machine| (!near.contains(machine), drawn(machine), machine.clone()));
        self.machines.dedup();
    }

    /// A message of a machine has come.
    pub fn heard(&mut self, now: Tenths, from: &Name, message: Message) {
        let turn = self.turn;
        let Some(link) = self.link.as_mut().filter(|link| link.machine == *from) else { return };
        // Danger: what a machine sent for an earlier ask, or an earlier start, does not follow on what is held.
        if answers(&message) != Some(turn) {
            return;
        }
        link.heard = Some(now);
        match message {
            Message::Changes { changes, .. } => self.take(now, |replica| replica.take(&changes)),
            Message::Long { version, part, of, bytes, .. } => {
                let part = Part { kind: Of::Changes, version, part, of, bytes };
                self.take(now, |replica| replica.part(part));
            }
            Message::Whole { version, part, of, bytes, .. } => {
                if part == 0 && self.replica.version != Version::NONE {
                    self.tell(Notice::BaseGone { holds: self.replica.version });
                }
                let part = Part { kind: Of::Whole, version, part, of, bytes };
                self.take_whole(now, part);
            }
            Message::Beat { version, floor, apart, .. } => self.beat(now, version, floor, apart),
            Message::Away { wait, .. } => {
                let until = now + wait.clamp(0, self.plan.pause);
                self.fail(now, until);
            }
            _ => {}
        }
    }

    /// The stream to a machine broke, or it can't be reached.
    pub fn broken(&mut self, now: Tenths, machine: &Name) {
        if self.link.as_ref().is_some_and(|link| link.machine == *machine) {
            self.fail(now, now + self.plan.patience);
        }
    }

    /// The host put this version in force, and kept it where it keeps.
    pub fn applied(&mut self, now: Tenths, version: Version) {
        if self.applying != Some(version) {
            return;
        }
        self.applying = None;
        self.in_force = self.in_force.max(version);
        self.refused = self.refused.take().filter(|(refused, _)| *refused > version);
        self.next_say = now;
    }

    /// The host refuses this version; the one before stays in force.
    pub fn refused(&mut self, now: Tenths, version: Version, why: String) {
        if self.applying != Some(version) {
            return;
        }
        self.applying = None;
        self.refuse(now, version, why);
    }

    /// The next thing to do, until none is left.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Decision> {
        self.look(now);
        if let Some(notice) = self.notices.pop_front() {
            return Some(Decision::Tell(notice));
        }
        if let Some(apply) = self.next_apply() {
            return Some(apply);
        }
        let send = self.bye.take().or_else(|| self.next_ask(now)).or_else(|| self.next_say(now));
        send.map(|(to, message)| Decision::Send { to, message })
    }

    /// When to come back if nothing is heard before.
    pub fn wake_at(&self) -> Option<Tenths> {
        let mut at = match &self.link {
            None => self.next_ask,
            Some(link) => {
                let linked = [Some(self.leave_at(link)), link.again, link.roam, Some(self.next_say)];
                let home = (self.machines.first() != Some(&link.machine)).then_some(self.home);
                linked.into_iter().chain([home]).flatten().min().unwrap_or(self.next_say)
            }
        };
        if !self.silence_told {
            at = at.min(self.touched + self.plan.patience);
        }
        if !self.serving && self.kept && self.floor.is_none() && self.in_force > Version::NONE {
            at = at.min(self.began + self.plan.start_wait);
        }
        Some(at)
    }

    /// The newest version that it holds, in force or about to be.
    pub fn holds(&self) -> Version {
        self.replica.version
    }

    /// What the host said to be in force last; [`Version::NONE`] before any.
    pub fn in_force(&self) -> Version {
        self.in_force
    }

    /// Since when no machine that hears a writer was heard; none if one is.
    pub fn silent_since(&self) -> Option<Tenths> {
        self.silent
    }

    /// The machine that serves it, if one has answered.
    pub fn served_by(&self) -> Option<&Name> {
        self.link.as_ref().filter(|link| link.heard.is_some()).map(|link| &link.machine)
    }

    /// May the router serve? Not before what is in force is at least what it had been told before its start, by word of the
    /// machines; or, if none says so in time, what it kept. One that kept nothing and hears nobody does not serve.
    pub fn may_serve(&self, now: Tenths) -> bool {
        self.serving || self.serves(now).is_some()
    }

    /// Would it serve, and without the word of a machine?
    fn serves(&self, now: Tenths) -> Option<bool> {
        if self.in_force == Version::NONE {
            return None;
        }
        match self.floor {
            // Danger: a router whose disk was lost or put back would serve under what the fleet has left.
            Some(floor) => (self.in_force >= floor).then_some(false),
            None => (self.kept && now - self.began >= self.plan.start_wait).then_some(true),
        }
    }

    /// What time alone brings.
    fn look(&mut self, now: Tenths) {
        if !self.serving
            && let Some(unsure) = self.serves(now)
        {
            self.serving = true;
            self.tell(Notice::Serving { version: self.in_force, unsure });
        }
        if !self.silence_told && now - self.touched >= self.plan.patience {
            self.silence_told = true;
            self.silent = Some(self.touched);
            self.tell(Notice::Silent { since: self.touched });
        }
        let Some(link) = &self.link else { return };
        if now >= self.leave_at(link) {
            // Danger: a machine that is stopped holds its streams open and says nothing.
            self.leave();
            self.fail(now, now + 2 * self.plan.patience);
        } else if link.roam.is_some_and(|at| now >= at) {
            self.roam(now);
        } else if now >= self.home {
            self.go_home(now);
        }
    }

    /// When the machine counts as silent.
    fn leave_at(&self, link: &Link) -> Tenths {
        match link.heard {
            Some(heard) => heard + self.plan.patience,
            None => link.asked + self.plan.patience / 3,
        }
    }

    fn next_apply(&mut self) -> Option<Decision> {
        let version = self.replica.version;
        let refused = self.refused.as_ref().is_some_and(|(refused, _)| *refused == version);
        if self.applying.is_some() || version <= self.in_force || refused {
            return None;
        }
        self.applying = Some(version);
        Some(Decision::Apply { version, document: self.replica.document.clone() })
    }

    fn refuse(&mut self, now: Tenths, version: Version, mut why: String) {
        let cut = (0..=WHY_MOST.min(why.len())).rev().find(|at| why.is_char_boundary(*at));
        why.truncate(cut.unwrap_or(0));
        self.tell(Notice::Refused { version, why: why.clone() });
        self.refused = Some((version, why));
        self.next_say = now;
    }

    fn tell(&mut self, notice: Notice) {
        if self.notices.len() == MOST_NOTICES {
            self.notices.pop_front();
        }
        self.notices.push_back(notice);
    }
}

fn between(chance: &mut WyRand, least: Tenths, most: Tenths) -> Tenths {
    least + chance.generate_range(0..(most - least).max(1) as u64) as Tenths
}
