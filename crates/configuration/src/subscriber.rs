//! The router's side: which machine it subscribes to, which version it holds, and which one is in force.

mod feed;
mod link;

use std::collections::{BTreeMap, VecDeque};

use nanorand::{Rng, WyRand};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::parts::{Part, PartKind};
use crate::replica::Replica;
use crate::wire::MAX_REASON_BYTES;
use crate::{BadPlan, Document, Message, Name, Plan, Tenths, Version};
use link::{Link, answered_turn};

/// After so many consecutive requests without an answer the wait for one is doubled: it is less likely that further machines
/// hang than that all are slow.
const UNANSWERED_PER_DOUBLING: u32 = 2;
/// How often the wait for an answer is doubled at most.
const MAX_DOUBLINGS: u32 = 10;
/// Maximum number of notices that wait for the host; at the bound the oldest is dropped.
const MAX_NOTICES: usize = 64;

/// What the host has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send a message to this machine. It may be lost.
    Send {
        /// The recipient.
        to: Name,
        message: Message,
    },
    /// Check the document, put it in force between two iterations of the event loop, persist it if the router persists
    /// its configuration, and only then call [`Subscriber::applied`] or [`Subscriber::refused`]. The next document
    /// follows only after that call.
    Apply {
        version: Version,
        /// The whole document.
        document: Document,
    },
    /// Log and count a notice.
    Notify(Notice),
}

/// An event of interest to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// No machine that is in contact with a writer has been heard from since this time. The configuration in force
    /// stays.
    NoContact {
        /// The time of the last contact.
        since: Tenths,
    },
    /// A machine that is in contact with a writer is heard from again.
    ContactRestored {
        /// That machine.
        machine: Name,
        /// How long there was no contact.
        after: Tenths,
    },
    /// This version was refused; the previous one stays in force.
    Refused {
        /// The refused version.
        version: Version,
        /// The reason.
        why: String,
    },
    /// The version held is no longer in the machine's log, so a snapshot is being sent.
    SnapshotNeeded {
        /// The version held.
        holds: Version,
    },
    /// The router serves from now on.
    Serving {
        /// The version in force.
        version: Version,
        /// No machine reported which version the router had in force before its start, so it relies on the
        /// configuration that it persisted.
        unconfirmed: bool,
    },
}

/// The configuration on one router. At most three documents exist at a time: the newest one here, and at the host the
/// one in force and the one about to be put in force.
pub struct Subscriber {
    plan: Plan,
    me: Name,
    start: u64,
    turn: u32,
    /// All control machines, in order of preference.
    machines: Vec<Name>,
    rng: WyRand,
    replica: Replica,
    /// Handed to the host, which has not answered yet.
    applying: Option<Version>,
    in_force: Version,
    refused: Option<(Version, String)>,
    /// The next subscribe message requests a snapshot.
    need_snapshot: bool,
    /// The snapshot of this version could not be used. No further snapshot is requested until there is a later version.
    unusable_snapshot: Version,
    link: Option<Link>,
    /// Machines that are not to be asked before the given time.
    avoid_until: BTreeMap<Name, Tenths>,
    next_ask_at: Tenths,
    /// Consecutive subscribe messages that failed.
    failed_asks: u32,
    /// Consecutive subscribe messages whose machine sent nothing at all.
    unanswered_asks: u32,
    /// Consecutive moves away from machines without contact to a writer.
    isolated_moves: u32,
    next_home_at: Tenths,
    next_status_at: Tenths,
    /// When a machine in contact with a writer was last heard from.
    last_contact: Tenths,
    no_contact_since: Option<Tenths>,
    no_contact_reported: bool,
    started_at: Tenths,
    has_persisted: bool,
    floor: Option<Version>,
    serving: bool,
    notices: VecDeque<Notice>,
    pending_bye: Option<(Name, Message)>,
}

impl Subscriber {
    /// Starts a router from the configuration that it persisted. `start` grows with each start of this name
    /// (milliseconds since 1970 will do). `machines` are all control machines, in any order; the order of preference is
    /// derived from the router's name. The first decision is to apply the persisted configuration.
    ///
    /// # Errors
    /// [`BadPlan`] names the first value that cannot be used; an empty `machines` is one.
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
        let mut rng = WyRand::new_seed(seed);
        let next_ask_at = now + between(&mut rng, 0, plan.spread);
        let next_home_at = now + between(&mut rng, plan.home, 2 * plan.home);
        let has_kept = kept.is_some();
        let (version, document) = kept.unwrap_or_default();
        let mut subscriber = Subscriber {
            plan,
            me,
            start,
            turn: 0,
            machines,
            rng,
            replica: Replica::new(version, document),
            applying: None,
            in_force: Version::NONE,
            refused: None,
            need_snapshot: false,
            unusable_snapshot: Version::NONE,
            link: None,
            avoid_until: BTreeMap::new(),
            next_ask_at,
            failed_asks: 0,
            unanswered_asks: 0,
            isolated_moves: 0,
            next_home_at,
            next_status_at: now,
            last_contact: now,
            no_contact_since: Some(now),
            no_contact_reported: false,
            started_at: now,
            has_persisted: has_kept,
            floor: None,
            serving: false,
            notices: VecDeque::new(),
            pending_bye: None,
        };
        subscriber.prefer_machines(&[]);
        Ok(subscriber)
    }

    /// Machines in the router's own zone or region, which are to be tried first.
    pub fn prefer_machines(&mut self, near: &[Name]) {
        let seed = xxh3_64(self.me.as_str().as_bytes());
        let preference = |machine: &Name| xxh3_64_with_seed(machine.as_str().as_bytes(), seed);
        self.machines.sort_by_key(|machine| (!near.contains(machine), preference(machine), machine.clone()));
        self.machines.dedup();
    }

    /// Handles a message from a machine.
    pub fn handle_message(&mut self, now: Tenths, from: &Name, message: Message) {
        let turn = self.turn;
        let Some(link) = self.link.as_mut().filter(|link| link.machine == *from) else { return };
        // What a machine sent for an earlier subscribe message or an earlier start does not continue from the version
        // held.
        if answered_turn(&message) != Some(turn) {
            return;
        }
        link.last_heard = Some(now);
        self.unanswered_asks = 0;
        match message {
            Message::Changes { changes, .. } => self.apply_received(now, |replica| replica.apply(&changes)),
            Message::ChangesPart { version, part, of, bytes, .. } => {
                let part = Part { kind: PartKind::Changes, version, part, of, bytes };
                self.apply_received(now, |replica| replica.add_part(part));
            }
            Message::SnapshotPart { version, part, of, bytes, .. } => {
                if part == 0 && self.replica.version != Version::NONE {
                    self.notify(Notice::SnapshotNeeded { holds: self.replica.version });
                }
                let part = Part { kind: PartKind::Snapshot, version, part, of, bytes };
                self.apply_snapshot_part(now, part);
            }
            Message::Beat { version, floor, no_writer, .. } => {
                self.handle_beat(now, version, floor, no_writer)
            }
            Message::Redirect { wait, .. } => {
                let until = now + wait.clamp(0, self.plan.pause);
                self.abandon_machine(now, until);
            }
            _ => {}
        }
    }

    /// The stream to a machine broke, or the machine cannot be reached.
    pub fn connection_lost(&mut self, now: Tenths, machine: &Name) {
        if self.link.as_ref().is_some_and(|link| link.machine == *machine) {
            self.abandon_machine(now, now + self.plan.patience);
        }
    }

    /// The host has put this version in force, and persisted it if the router persists its configuration.
    pub fn applied(&mut self, now: Tenths, version: Version) {
        if self.applying != Some(version) {
            return;
        }
        self.applying = None;
        self.in_force = self.in_force.max(version);
        self.refused = self.refused.take().filter(|(refused, _)| *refused > version);
        self.next_status_at = now;
    }

    /// The host refuses this version; the previous one stays in force.
    pub fn refused(&mut self, now: Tenths, version: Version, why: String) {
        if self.applying != Some(version) {
            return;
        }
        self.applying = None;
        self.refuse(now, version, why);
    }

    /// The next decision for the host, or `None` if there is nothing left to do.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Decision> {
        self.check_timers(now);
        if let Some(notice) = self.notices.pop_front() {
            return Some(Decision::Notify(notice));
        }
        if let Some(apply) = self.next_apply() {
            return Some(apply);
        }
        let send = self.pending_bye.take().or_else(|| self.next_ask(now)).or_else(|| self.next_status(now));
        send.map(|(to, message)| Decision::Send { to, message })
    }

    /// When to call `next_decision` again if nothing arrives before.
    pub fn wake_at(&self) -> Option<Tenths> {
        let mut at = match &self.link {
            None => self.next_ask_at,
            Some(link) => {
                let connected = [
                    Some(self.silence_deadline(link)),
                    link.retry_at,
                    link.leave_isolated_at,
                    Some(self.next_status_at),
                ];
                let next_home_at =
                    (self.machines.first() != Some(&link.machine)).then_some(self.next_home_at);
                connected.into_iter().chain([next_home_at]).flatten().min().unwrap_or(self.next_status_at)
            }
        };
        if !self.no_contact_reported {
            at = at.min(self.last_contact + self.plan.patience);
        }
        if !self.serving && self.has_persisted && self.floor.is_none() && self.in_force > Version::NONE {
            at = at.min(self.started_at + self.plan.start_wait);
        }
        Some(at)
    }

    /// The newest version held, whether it is in force yet or not.
    pub fn holds(&self) -> Version {
        self.replica.version
    }

    /// The version that the host last reported in force; [`Version::NONE`] before the first.
    pub fn in_force(&self) -> Version {
        self.in_force
    }

    /// The time since which no machine in contact with a writer was heard from; `None` while one is.
    pub fn no_contact_since(&self) -> Option<Tenths> {
        self.no_contact_since
    }

    /// The machine that serves the router, once it has answered.
    pub fn served_by(&self) -> Option<&Name> {
        self.link.as_ref().filter(|link| link.last_heard.is_some()).map(|link| &link.machine)
    }

    /// Whether the router may serve. It may once the version in force is at least the one that it had in force before
    /// its start, as reported by the machines. If no machine reports that in time, it may serve under the configuration
    /// that it persisted. A router that persisted nothing and has no contact with a machine does not serve.
    pub fn may_serve(&self, now: Tenths) -> bool {
        self.serving || self.serves(now).is_some()
    }

    /// Whether the router may serve and, if so, whether it does so without a machine's confirmation.
    fn serves(&self, now: Tenths) -> Option<bool> {
        if self.in_force == Version::NONE {
            return None;
        }
        match self.floor {
            // A router whose disk was lost or restored from an old copy would otherwise serve under a version that the
            // fleet has left.
            Some(floor) => (self.in_force >= floor).then_some(false),
            None => (self.has_persisted && now - self.started_at >= self.plan.start_wait).then_some(true),
        }
    }

    /// Handles what is due by time alone: serving, loss of contact, and moves to another machine.
    fn check_timers(&mut self, now: Tenths) {
        if !self.serving
            && let Some(unconfirmed) = self.serves(now)
        {
            self.serving = true;
            self.notify(Notice::Serving { version: self.in_force, unconfirmed });
        }
        if !self.no_contact_reported && now - self.last_contact >= self.plan.patience {
            self.no_contact_reported = true;
            self.no_contact_since = Some(self.last_contact);
            self.notify(Notice::NoContact { since: self.last_contact });
        }
        let Some(link) = &self.link else { return };
        if now >= self.silence_deadline(link) {
            // A suspended machine keeps its streams open but sends nothing.
            self.unanswered_asks += u32::from(link.last_heard.is_none());
            self.queue_bye();
            self.abandon_machine(now, now + 2 * self.plan.patience);
        } else if link.leave_isolated_at.is_some_and(|at| now >= at) {
            self.leave_isolated(now);
        } else if now >= self.next_home_at {
            self.return_to_preferred(now);
        }
    }

    /// When the machine counts as silent.
    fn silence_deadline(&self, link: &Link) -> Tenths {
        match link.last_heard {
            Some(heard) => heard + self.plan.patience,
            None => link.asked_at + self.answer_timeout(),
        }
    }

    /// How long a machine has for its first message. Danger: if the wait never grew, machines that all take longer would be
    /// left again and again, and none would ever be heard.
    fn answer_timeout(&self) -> Tenths {
        let least = self.plan.patience / 3;
        let doublings = (self.unanswered_asks / UNANSWERED_PER_DOUBLING).min(MAX_DOUBLINGS);
        (least << doublings).min(self.plan.pause.max(least))
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
        let cut = (0..=MAX_REASON_BYTES.min(why.len())).rev().find(|at| why.is_char_boundary(*at));
        why.truncate(cut.unwrap_or(0));
        self.notify(Notice::Refused { version, why: why.clone() });
        self.refused = Some((version, why));
        self.next_status_at = now;
    }

    fn notify(&mut self, notice: Notice) {
        if self.notices.len() == MAX_NOTICES {
            self.notices.pop_front();
        }
        self.notices.push_back(notice);
    }
}

fn between(rng: &mut WyRand, least: Tenths, most: Tenths) -> Tenths {
    least + rng.generate_range(0..(most - least).max(1) as u64) as Tenths
}
