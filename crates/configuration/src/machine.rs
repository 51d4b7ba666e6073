//! A control machine. It serves routers; a keeper also votes and holds changes, and one keeper at a time is the writer.

mod follow;
mod report;
mod serve;
mod vote;
mod write;
mod write_time;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use nanorand::{Rng, WyRand};

use crate::document::DocumentError;
use crate::persisted_state::{PersistedState, Record};
use crate::{BadPlan, Document, Edit, Ledger, Message, Name, Plan, Tenths, Verdict, Version};
use follow::CatchUp;
use report::Reports;
use serve::{Cache, Session};
use vote::Candidacy;
use write::WriterState;
use write_time::WriteTime;

/// Maximum by which a slow disk lengthens a timeout, in election timeouts.
const MAX_WRITE_ALLOWANCE: Tenths = 4;

/// What the host has to do, in the order in which it is returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Persist the record before carrying out any later action; writing all of [`Machine::persisted`] is as good.
    Persist(Record),
    /// Send a message to a router or machine. It may be lost.
    Send {
        /// The recipient.
        to: Name,
        message: Message,
    },
    /// From the writer, for each version, within the plan's `verdict` time of its release: whether it is in force
    /// everywhere, and if not, on which routers it is not.
    Verdict(Verdict),
    /// Log and count an event.
    Notify(Event),
}

/// An event of interest to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This machine became the writer, in this epoch.
    BecameWriter(u32),
    /// This machine is no longer the writer; the epoch in which it was.
    SteppedDown(u32),
    /// This version is released on this machine; routers are served with it from now on.
    Released(Version),
    /// No writer has been in contact since this time.
    NoWriter(Tenths),
    /// A writer is in contact again.
    WriterContact(Name),
    /// The votes of a keeper that had no persisted state count from now on.
    VotingRestored,
    /// A received change or snapshot is invalid or does not apply to what this machine holds.
    InvalidData(Version, DocumentError),
    /// This many routers were removed from the ledger because they were not heard from within the plan's `forget` time.
    Forgotten(usize),
    /// The ledger has no room for this router.
    LedgerFull(Name),
    /// This machine serves as many routers as it may; this router was sent elsewhere.
    RouterLimit(Name),
    /// These edits were accepted but never replicated, because the machine stopped being the writer first. Publish them
    /// at the next writer.
    Unpublished(Vec<Edit>),
}

/// Why edits were not published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishError {
    /// This machine is not the writer. Names the writer if it is known.
    NotWriter(Option<Name>),
    /// The resulting document exceeds a bound.
    Invalid(DocumentError),
    /// The program's own check rejected the resulting document.
    Check(String),
    /// Too many bytes of edits are waiting to be replicated to a majority of keepers.
    Full,
}

impl fmt::Display for PublishError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishError::NotWriter(Some(writer)) => {
                write!(out, "this machine is not the writer; publish at {writer}")
            }
            PublishError::NotWriter(None) => {
                write!(out, "this machine is not the writer, and no writer is in contact")
            }
            PublishError::Invalid(bad) => write!(out, "{bad}"),
            PublishError::Check(why) => write!(out, "{why}"),
            PublishError::Full => {
                write!(out, "too many edits are waiting to be replicated to a majority of keepers")
            }
        }
    }
}

impl std::error::Error for PublishError {}

/// A control machine.
pub struct Machine {
    plan: Plan,
    me: Name,
    /// All other machines.
    others: Vec<Name>,
    /// All keepers, including this machine if it is one.
    keepers: Vec<Name>,
    check: fn(&Document) -> Result<(), String>,
    rng: WyRand,
    kept: PersistedState,
    orders: VecDeque<Action>,
    role: Role,
    /// The writer heard from last, its epoch, and when it was heard.
    last_writer: Option<(Name, u32, Tenths)>,
    no_writer_reported: bool,
    started_at: Tenths,
    /// When this keeper starts an election, before the allowance for writes.
    election_at: Tenths,
    write_time: WriteTime,
    /// The epoch of this keeper's last ballot that was not a trial, and when it began.
    last_ballot: Option<(u32, Tenths)>,
    /// Number of records of persisted state so far.
    records: u64,
    /// The highest epoch seen in any message.
    highest_epoch: u32,
    /// Every version up to this one has had its verdict.
    judged: Version,
    sessions: BTreeMap<Name, Session>,
    schedule: BTreeSet<(Tenths, Name)>,
    cache: Cache,
    catch_up: CatchUp,
    ledger: Ledger,
    reports: Reports,
}

/// The role of this machine.
enum Role {
    Follower,
    Candidate(Candidacy),
    Writer(Box<WriterState>),
}

impl Machine {
    /// Starts a machine from its persisted state. `machines` are all control machines and `keepers` an odd number of
    /// them; both are the same on every machine. `check` is the program's own check of a document before it is
    /// published. `seed` differs from start to start.
    ///
    /// The votes of a keeper without persisted state do not count until it has caught up with a writer. If no keeper
    /// holds anything, as at the first start of a fleet, all keepers have to be reachable once.
    ///
    /// # Errors
    /// [`BadPlan`] names the first value that cannot be used.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        plan: Plan,
        me: Name,
        machines: Vec<Name>,
        keepers: Vec<Name>,
        kept: Option<PersistedState>,
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
        let mut rng = WyRand::new_seed(seed);
        let reports = Reports::new(now, rng.generate::<u32>());
        let kept = kept.unwrap_or_default();
        let mut machine = Machine {
            others: machines.into_iter().filter(|machine| *machine != me).collect(),
            keepers: keepers.into_iter().collect(),
            plan,
            me,
            check,
            rng,
            highest_epoch: kept.promised,
            kept,
            orders: VecDeque::new(),
            role: Role::Follower,
            last_writer: None,
            no_writer_reported: false,
            started_at: now,
            election_at: now,
            write_time: WriteTime::default(),
            last_ballot: None,
            records: 0,
            judged: Version::NONE,
            sessions: BTreeMap::new(),
            schedule: BTreeSet::new(),
            cache: Cache::default(),
            catch_up: CatchUp::default(),
            ledger: Ledger::default(),
            reports,
        };
        machine.restore_routers(now);
        machine.reset_election_timer(now);
        Ok(machine)
    }

    /// Publishes edits: all of them in one version, or none. Edits that wait at the same time are published together.
    /// They are in force once [`Event::Released`] and [`Action::Verdict`] confirm it; edits can be lost with a writer
    /// that fails before.
    ///
    /// # Errors
    /// [`PublishError`]; none of the edits is accepted.
    pub fn publish(&mut self, now: Tenths, edits: Vec<Edit>) -> Result<(), PublishError> {
        self.queue_edits(now, edits)
    }

    /// Handles a message from a router or machine.
    pub fn handle_message(&mut self, now: Tenths, from: &Name, message: Message) {
        let machine = self.others.contains(from);
        match message {
            Message::Subscribe { start, turn, holds, digest, state_lost } => {
                self.handle_subscribe(now, from, (start, turn), holds, digest, state_lost && !machine);
            }
            // Guards against a router that uses a machine's name, or a machine that uses a router's.
            Message::Status { start, turn, in_force, version, outcome } if !machine => {
                self.handle_status(now, from, (start, turn), in_force, version, outcome);
            }
            Message::Unsubscribe { start, turn } if !machine => {
                self.handle_unsubscribe(now, from, (start, turn))
            }
            _ if !machine => {}
            Message::Prepare { epoch, held, trial, founding } => {
                self.handle_prepare(now, from, epoch, held, trial, founding);
            }
            Message::Promised { epoch, trial, granted, promised, held, nonvoting } => {
                self.handle_promised(now, from, (epoch, trial), granted, promised, held, nonvoting);
            }
            Message::Accept { .. } => self.handle_accept(now, from, message),
            Message::Accepted { epoch, round, held, nonvoting, .. } => {
                self.handle_accepted(now, from, epoch, round, held, nonvoting);
            }
            Message::Report { mark, by, entries } => self.handle_report(now, from, mark, &by, entries),
            answer => self.handle_catch_up(now, from, answer),
        }
    }

    /// The stream to or from this router or machine broke.
    pub fn connection_lost(&mut self, now: Tenths, from: &Name) {
        self.drop_session(now, from);
        self.catch_up.connection_lost(now, from);
    }

    /// The next action for the host, or `None` if there is nothing left to do. `now` is read anew for each call: the
    /// time from an [`Action::Persist`] to the next call is taken for the duration of the write.
    pub fn next_decision(&mut self, now: Tenths) -> Option<Action> {
        self.write_time.end(now);
        loop {
            if let Some(order) = self.orders.pop_front() {
                if matches!(order, Action::Persist(_)) {
                    self.write_time.begin(now);
                }
                return Some(order);
            }
            self.check_writer_contact(now);
            self.run_election(now);
            self.run_writer(now);
            self.run_catch_up(now);
            self.report(now);
            self.issue_verdicts(now);
            if self.orders.is_empty() && !self.serve(now) {
                return None;
            }
        }
    }

    /// When to call `next_decision` again if nothing arrives before.
    pub fn wake_at(&self) -> Option<Tenths> {
        let role = match &self.role {
            Role::Follower => self.is_keeper().then_some(self.election_at + self.write_allowance()),
            Role::Candidate(candidacy) => Some(candidacy.until + self.write_allowance()),
            Role::Writer(state) => Some(self.writer_wake_at(state)),
        };
        let report = (!self.no_writer_reported).then(|| self.last_writer_contact() + self.contact_limit());
        let due = self.schedule.first().map(|(at, _)| *at);
        [role, report, due, self.catch_up_at(), self.report_at()].into_iter().flatten().min()
    }

    /// The state to restore at the next start.
    pub fn persisted(&self) -> &PersistedState {
        &self.kept
    }

    /// Number of records so far. A state that was written whole at this number needs no further write for an
    /// [`Action::Persist`] that is returned while the number stays the same.
    pub fn persisted_records(&self) -> u64 {
        self.records
    }

    /// The newest released version that this machine holds.
    pub fn version(&self) -> Version {
        self.kept.version()
    }

    /// The document of that version.
    pub fn document(&self) -> &Document {
        self.kept.document()
    }

    /// The epoch in which this machine is the writer, if it is.
    pub fn writer_epoch(&self) -> Option<u32> {
        match &self.role {
            Role::Writer(state) => Some(state.epoch),
            _ => None,
        }
    }

    /// The writer, if it was heard from within the plan's `patience`.
    pub fn writer(&self, now: Tenths) -> Option<&Name> {
        match &self.role {
            Role::Writer(_) => Some(&self.me),
            _ => {
                let recent =
                    |heard: &&(Name, u32, Tenths)| heard.0 != self.me && now - heard.2 < self.plan.patience;
                self.last_writer.as_ref().filter(recent).map(|(name, ..)| name)
            }
        }
    }

    /// The number of routers served now.
    pub fn served(&self) -> usize {
        self.sessions.values().filter(|session| !session.machine).count()
    }

    /// The ledger: this machine's own routers, and at the writer all routers.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    fn is_keeper(&self) -> bool {
        self.keepers.contains(&self.me)
    }

    fn other_keepers(&self) -> Vec<Name> {
        self.keepers.iter().filter(|keeper| **keeper != self.me).cloned().collect()
    }

    fn majority(&self) -> usize {
        self.keepers.len() / 2 + 1
    }

    /// When a writer was last heard from; for the writer itself, when a majority of keepers last followed it.
    fn last_writer_contact(&self) -> Tenths {
        match (&self.role, &self.last_writer) {
            (Role::Writer(state), _) => state.last_majority_at,
            (_, Some((.., at))) => *at,
            (_, None) => self.started_at,
        }
    }

    /// Whether there is no contact with a writer, so that this machine may be out of date.
    fn lacks_writer(&self, now: Tenths) -> bool {
        let never = self.last_writer.is_none() && !matches!(self.role, Role::Writer(_));
        never || now - self.last_writer_contact() >= self.plan.patience
    }

    /// How long after the last contact with a writer this machine reports that it has none, and the writer itself stops.
    fn contact_limit(&self) -> Tenths {
        match self.role {
            Role::Writer(_) => self.plan.patience + self.write_allowance(),
            _ => self.plan.patience,
        }
    }

    /// Handles the loss of contact with the writer, once the limit is over.
    fn check_writer_contact(&mut self, now: Tenths) {
        if !self.no_writer_reported && now - self.last_writer_contact() >= self.contact_limit() {
            self.no_writer_reported = true;
            let since = self.last_writer_contact();
            self.notify(Event::NoWriter(since));
        }
    }

    /// By how much this machine's timeouts are longer because disks are slow.
    fn write_allowance(&self) -> Tenths {
        self.write_time.allowance(self.max_write_allowance())
    }

    fn max_write_allowance(&self) -> Tenths {
        MAX_WRITE_ALLOWANCE * self.plan.stand
    }

    fn persist(&mut self, record: Record) {
        self.kept.apply(&record, &self.plan);
        self.records += 1;
        self.orders.push_back(Action::Persist(record));
    }

    fn send(&mut self, to: &Name, message: Message) {
        self.orders.push_back(Action::Send { to: to.clone(), message });
    }

    fn notify(&mut self, event: Event) {
        self.orders.push_back(Action::Notify(event));
    }

    /// Reports the loss of contact with the writer, once the plan's `patience` is over.
    fn release(&mut self, now: Tenths, record: Record) {
        let before = self.kept.version();
        self.persist(record);
        if self.kept.version() > before {
            self.notify(Event::Released(self.kept.version()));
            self.schedule_all(now);
        }
    }

    fn random_below(&mut self, most: usize) -> usize {
        self.rng.generate_range(0..most)
    }

    fn random_between(&mut self, least: Tenths, most: Tenths) -> Tenths {
        least + self.rng.generate_range(0..(most - least).max(1) as u64) as Tenths
    }
}
