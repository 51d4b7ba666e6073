//! A control machine's side: it serves routers, as a keeper it votes and holds, and one at a time writes.

mod follow;
mod report;
mod serve;
mod vote;
mod write;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use nanorand::{Rng, WyRand};

use crate::document::Bad;
use crate::kept::{Kept, Record};
use crate::{BadPlan, Document, Edit, Ledger, Message, Name, Plan, Tenths, Verdict, Version};
use follow::Catch;
use report::Reports;
use serve::{Cache, Session};
use vote::Standing;
use write::Writing;

/// What the host is to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Keep it on disk before any order behind it is carried out; [`Machine::kept`] as a whole will do as well.
    Keep(Record),
    /// Send it to this router or machine; it may be lost.
    Send {
        /// To whom.
        to: Name,
        /// What.
        message: Message,
    },
    /// At the writer, for each version within the plan's time of its release: in force everywhere, or who is not.
    Verdict(Verdict),
    /// For log and counters.
    Tell(Event),
}

/// Something that a person wants to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This machine writes from now on, in this epoch.
    Writing(u32),
    /// It does not write any more; its last epoch.
    Stopped(u32),
    /// This version is released here: routers are served with it from now on.
    Released(Version),
    /// No writer is heard since then.
    Apart(Tenths),
    /// One is heard again.
    Joined(Name),
    /// A keeper that had kept nothing counts from now on.
    Settled,
    /// What came does not fit what is held.
    Broken(Version, Bad),
    /// So many routers not heard for the plan's time are forgotten.
    Forgotten(usize),
    /// There is no room in the ledger for this router.
    Uncounted(Name),
    /// All places are taken: this router was sent elsewhere.
    Full(Name),
    /// These edits were taken and no keeper holds them: the machine ceased to write first. Publish them at the next writer.
    Unpublished(Vec<Edit>),
}

/// Why edits are not published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// This machine does not write. The one that does, if it is known.
    NotWriter(Option<Name>),
    /// The document after them is out of bounds.
    Bad(Bad),
    /// The program's own check of the document after them.
    Check(String),
    /// Too many bytes of edits wait to be held by a majority of keepers.
    Full,
}

impl fmt::Display for Refused {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::NotWriter(Some(writer)) => write!(out, "this machine does not write, {writer} does"),
            Refused::NotWriter(None) => write!(out, "this machine does not write, and hears no writer"),
            Refused::Bad(bad) => write!(out, "{bad}"),
            Refused::Check(why) => write!(out, "{why}"),
            Refused::Full => write!(out, "too many edits wait to be held by a majority of keepers"),
        }
    }
}

impl std::error::Error for Refused {}

/// One control machine.
pub struct Machine {
    plan: Plan,
    me: Name,
    /// All others.
    others: Vec<Name>,
    /// All of them, this one too if it is one.
    keepers: Vec<Name>,
    check: fn(&Document) -> Result<(), String>,
    chance: WyRand,
    kept: Kept,
    orders: VecDeque<Order>,
    role: Role,
    /// The writer heard last, with its epoch and when.
    heard: Option<(Name, u32, Tenths)>,
    apart_told: bool,
    began: Tenths,
    /// When to stand, as a keeper.
    stand_at: Tenths,
    /// The highest epoch seen.
    seen: u32,
    /// Up to this one every version has had its verdict.
    judged: Version,
    sessions: BTreeMap<Name, Session>,
    due: BTreeSet<(Tenths, Name)>,
    cache: Cache,
    catch: Catch,
    ledger: Ledger,
    reports: Reports,
}

/// What it does among the machines.
enum Role {
    Follows,
    Stands(Standing),
    Writes(Box<Writing>),
}

impl Machine {
    /// A machine that starts now, with what it kept. `machines` are all of them, `keepers` an odd few among them; both the
    /// same everywhere. `check` is the program's own check of a document at the source. `seed` differs from start to start.
    ///
    /// A keeper that kept nothing does not count until it has caught up with a writer. Where no keeper holds anything, at
    /// the first start of a fleet, all of them have to be there once.
    ///
    /// # Errors
    /// [`BadPlan`] names the first value that can't be used.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        plan: Plan,
        me: Name,
        machines: Vec<Name>,
        keepers: Vec<Name>,
        kept: Option<Kept>,
        check: fn(&Document) -> Result<(), String>,
        now: Tenths,
        seed: u64,
    ) -> Result<Machine, BadPlan> {
        plan.check()?;
        let machines: BTreeSet<Name> = machines.into_iter().collect();
        let keepers: BTreeSet<Name> = keepers.into_iter().collect();
        let rules = [
            (machines.contains(&me), "machines", "this one among them"),
            (keepers.len() % 2 == 1, "keepers", "an odd number"),
            (keepers.is_subset(&machines), "keepers", "all of them among the machines"),
        ];
        if let Some((_, what, expected)) = rules.into_iter().find(|(good, ..)| !good) {
            return Err(BadPlan { what, expected });
        }
        let mut chance = WyRand::new_seed(seed);
        let reports = Reports::new(now, chance.generate::<u32>());
        let kept = kept.unwrap_or_default();
        let mut machine = Machine {
            others: machines.into_iter().filter(|machine| *machine != me).collect(),
            keepers: keepers.into_iter().collect(),
            plan,
            me,
            check,
            chance,
            seen: kept.promised,
            kept,
            orders: VecDeque::new(),
            role: Role::Follows,
            heard: None,
            apart_told: false,
            began: now,
            stand_at: now,
            judged: Version::NONE,
            sessions: BTreeMap::new(),
            due: BTreeSet::new(),
            cache: Cache::default(),
            catch: Catch::default(),
            ledger: Ledger::default(),
            reports,
        };
        machine.remember_routers(now);
        machine.put_off_standing(now);
        Ok(machine)
    }

    /// Publishes edits: all of them in one version, or none. What waits together goes out together. They are in force once
    /// [`Event::Released`] and [`Order::Verdict`] say so: a writer that is lost before may take them with it.
    ///
    /// # Errors
    /// [`Refused`]; nothing of them is taken.
    pub fn publish(&mut self, now: Tenths, edits: Vec<Edit>) -> Result<(), Refused> {
        self.write_down(now, edits)
    }

    /// A message of a router or machine has come.
    pub fn heard(&mut self, now: Tenths, from: &Name, message: Message) {
        let machine = self.others.contains(from);
        match message {
            Message::Ask { start, turn, holds, digest } => {
                self.asked(now, from, (start, turn), holds, digest, machine);
            }
            // Danger: a router under a machine's name, or the other way round.
            Message::Told { start, turn, in_force, version, outcome } if !machine => {
                self.told(now, from, (start, turn), in_force, version, outcome);
            }
            Message::Bye { start, turn } if !machine => self.bye(now, from, (start, turn)),
            _ if !machine => {}
            Message::Prepare { epoch, held, trial, founding } => {
                self.prepare(now, from, epoch, held, trial, founding);
            }
            Message::Promised { epoch, trial, granted, promised, held, fresh } => {
                self.promised(now, from, (epoch, trial), granted, promised, held, fresh);
            }
            Message::Accept { .. } => self.accept(now, from, message),
            Message::Accepted { epoch, round, held, fresh, .. } => {
                self.accepted(now, from, epoch, round, held, fresh);
            }
            Message::Report { mark, by, entries } => self.reported(now, from, mark, &by, entries),
            answer => self.caught(now, from, answer),
        }
    }

    /// The stream to or from this one broke.
    pub fn left(&mut self, now: Tenths, from: &Name) {
        self.drop_session(now, from);
        self.catch.broken(now, from);
    }

    /// The next thing to do, until none is left.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Order> {
        loop {
            if let Some(order) = self.orders.pop_front() {
                return Some(order);
            }
            self.look(now);
            self.stand(now);
            self.write(now);
            self.catch_up(now);
            self.report(now);
            self.judge(now);
            if self.orders.is_empty() && !self.serve(now) {
                return None;
            }
        }
    }

    /// When to come back if nothing is heard before.
    pub fn wake_at(&self) -> Option<Tenths> {
        let role = match &self.role {
            Role::Follows => self.keeps().then_some(self.stand_at),
            Role::Stands(standing) => Some(standing.until),
            Role::Writes(writing) => Some(self.write_at(writing)),
        };
        let apart = (!self.apart_told).then(|| self.touched() + self.plan.patience);
        let due = self.due.first().map(|(at, _)| *at);
        [role, apart, due, self.catch_at(), self.report_at()].into_iter().flatten().min()
    }

    /// All that is to be found again at the next start.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// The newest released version that it holds.
    pub fn version(&self) -> Version {
        self.kept.version()
    }

    /// The document under it.
    pub fn document(&self) -> &Document {
        self.kept.document()
    }

    /// Does it write, and in which epoch?
    pub fn writes(&self) -> Option<u32> {
        match &self.role {
            Role::Writes(writing) => Some(writing.epoch),
            _ => None,
        }
    }

    /// The writer, as far as it is known: heard within the plan's patience.
    pub fn writer(&self, now: Tenths) -> Option<&Name> {
        match &self.role {
            Role::Writes(_) => Some(&self.me),
            _ => {
                let recent =
                    |heard: &&(Name, u32, Tenths)| heard.0 != self.me && now - heard.2 < self.plan.patience;
                self.heard.as_ref().filter(recent).map(|(name, ..)| name)
            }
        }
    }

    /// Routers served now.
    pub fn served(&self) -> usize {
        self.sessions.values().filter(|session| !session.machine).count()
    }

    /// What it knows of routers: its own, and at the writer all.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    fn keeps(&self) -> bool {
        self.keepers.contains(&self.me)
    }

    fn other_keepers(&self) -> Vec<Name> {
        self.keepers.iter().filter(|keeper| **keeper != self.me).cloned().collect()
    }

    fn majority(&self) -> usize {
        self.keepers.len() / 2 + 1
    }

    /// When a writer was heard last; for the writer itself, when a majority of keepers followed it.
    fn touched(&self) -> Tenths {
        match (&self.role, &self.heard) {
            (Role::Writes(writing), _) => writing.followed,
            (_, Some((.., at))) => *at,
            (_, None) => self.began,
        }
    }

    /// Does it hear no writer, so that it may be behind?
    fn apart(&self, now: Tenths) -> bool {
        let never = self.heard.is_none() && !matches!(self.role, Role::Writes(_));
        never || now - self.touched() >= self.plan.patience
    }

    /// What time alone brings.
    fn look(&mut self, now: Tenths) {
        if !self.apart_told && now - self.touched() >= self.plan.patience {
            self.apart_told = true;
            let since = self.touched();
            self.tell(Event::Apart(since));
        }
    }

    fn keep(&mut self, record: Record) {
        self.kept.take(&record, &self.plan);
        self.orders.push_back(Order::Keep(record));
    }

    fn send(&mut self, to: &Name, message: Message) {
        self.orders.push_back(Order::Send { to: to.clone(), message });
    }

    fn tell(&mut self, event: Event) {
        self.orders.push_back(Order::Tell(event));
    }

    /// Something is released here: whoever is served gets it.
    fn release(&mut self, now: Tenths, record: Record) {
        let before = self.kept.version();
        self.keep(record);
        if self.kept.version() > before {
            self.tell(Event::Released(self.kept.version()));
            self.feed_all(now);
        }
    }

    fn chance_below(&mut self, most: usize) -> usize {
        self.chance.generate_range(0..most)
    }

    fn between(&mut self, least: Tenths, most: Tenths) -> Tenths {
        least + self.chance.generate_range(0..(most - least).max(1) as u64) as Tenths
    }
}
