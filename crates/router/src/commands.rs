//! The open commands, and the only caller of the decision module: passes received events to the module and carries
//! out its decisions.

use crate::Program;
use crate::capture::{CommandProperties, OpenRecord, Outcome};
use crate::deadlines::Due;
use crate::invariants::{AttemptStart, History, Invariants};
use crate::keys::{ClientKey, CommandKey, Statement, Work};
use crate::memory::{HeldBytes, Owner};
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use vetchkeel::{
    AnswerNote, Command, DataNeed, Decision, DispatchEnd, Ending, Event, Id, MemberEntry, PartialMessage,
    ProbeEnd, ReclaimStep, Report, Router, SettingValues, Tenths, Written,
};
use vetchkeel_log::{log, log_trace, log_up_to};
use vetchkeel_pgwire as pgwire;

/// Upper bound on a client's timeout, in ms: one hour, so that sums of times stay in range.
const MAX_CLIENT_TIMEOUT_MS: f64 = 3_600_000.0;
/// Log lines per second about member state changes; they explain why a command was sent to a given member.
const STATE_LOG_LINES: u32 = 100;

/// A replica read that is within its staleness bound by less than this margin is logged, at most `AGE_LOG_LINES` per
/// second.
const LOW_FRESHNESS_MARGIN: Tenths = 500;
const AGE_LOG_LINES: u32 = 20;

struct OpenCommand {
    id: Id,
    /// The client that waits for the final answer; None once it is answered or the client has left.
    client: Option<ClientKey>,
    statement: Rc<Statement>,
    /// Dispatches so far, and how many of them are in flight.
    dispatches: u32,
    in_flight: u32,
    /// Attempts begun so far, for the run-time invariant checks.
    history: History,
    /// The command's record in the load capture.
    begun: OpenRecord,
}

/// A statement as it was received from a client.
pub struct Received<'a> {
    pub statement: &'a [u8],
    /// False if its values were dropped for lack of memory, so that it must not be sent on.
    pub is_whole: bool,
    pub arrived: Tenths,
    /// Since when the router is ready for it.
    pub ready_since: Tenths,
}

/// A result from a node: a finished dispatch or probe, or a role reported on connect.
pub enum NodeResult {
    Dispatch {
        key: CommandKey,
        dispatch: u32,
        node: Id,
        ending: Ending,
        /// When the dispatch was begun: everything in its response was sent after this time.
        asked: Tenths,
        idled: Option<Tenths>,
        note: AnswerNote,
        report: Report,
        answer: HeldBytes,
    },
    /// A member reported its role while a connection was opened; `asked` is when the dial was begun.
    Role {
        node: Id,
        asked: Tenths,
        primary: bool,
    },
    Probe {
        node: Id,
        ending: Ending,
        asked: Tenths,
        note: AnswerNote,
        report: Report,
    },
}

impl NodeResult {
    /// The member, if it reports itself as a replica, and when the request was begun.
    fn reported_replica(&self) -> Option<(&Id, Tenths)> {
        let (node, asked, reported_roles) = match self {
            NodeResult::Role { node, asked, primary } => (node, asked, [Some(*primary), None]),
            NodeResult::Dispatch { node, asked, note, report, .. }
            | NodeResult::Probe { node, asked, note, report, .. } => {
                (node, asked, [note.primary, report.primary])
            }
        };
        reported_roles.contains(&Some(false)).then_some((node, *asked))
    }
}

pub struct Commands {
    router: Router,
    table: SlotMap<CommandKey, OpenCommand>,
    by_id: BTreeMap<Id, CommandKey>,
    groups: BTreeSet<String>,
    customers: BTreeSet<String>,
    /// True if some command group reads with session consistency.
    sessions: bool,
}

/// The longest id of a command, and the longest part of a client's text in the message of a rejection, in bytes.
const MAX_ID: usize = 256;
const MAX_QUOTED: usize = 64;
/// Keys of more bytes than this stand for their sessions by a digest: the module holds a session for a while.
const MAX_SESSION_KEY: usize = 64;

/// Why a query is rejected: an SQLSTATE and a message.
type Rejection = (&'static str, String);

impl Commands {
    pub fn start(settings: &SettingValues, seed: u64, now: Tenths) -> Result<Commands, String> {
        let (table, by_id) = (SlotMap::with_key(), BTreeMap::new());
        let router = Router::start(settings.clone(), seed, now)?;
        let (groups, customers, sessions) = (BTreeSet::new(), BTreeSet::new(), false);
        let mut commands = Commands { router, table, by_id, groups, customers, sessions };
        commands.apply_settings(settings);
        Ok(commands)
    }

    /// Applies new settings to commands that arrive from now on. On error nothing changes.
    pub fn reconfigure(&mut self, settings: &SettingValues) -> Result<(), String> {
        self.router.reconfigure(settings.clone())?;
        self.apply_settings(settings);
        Ok(())
    }

    fn apply_settings(&mut self, settings: &SettingValues) {
        let names = |list| vetchkeel_settings::list_names(settings, list).cloned().collect();
        (self.groups, self.customers) = (names("request_classes"), names("projects"));
        let reads = settings.get("family_info.class_read");
        self.sessions = reads.is_some_and(|r| r.split(',').any(|r| r == "session"));
    }

    /// What the module gives up when memory is short, in order.
    pub fn reclaim_steps(&self, now: Tenths, messages: &[PartialMessage]) -> Vec<ReclaimStep> {
        self.router.reclaim_steps(now, messages)
    }

    /// The statements of the open commands.
    pub fn statements(&self) -> impl Iterator<Item = &Statement> {
        self.table.values().map(|entry| &*entry.statement)
    }

    /// The client that waits for a command's answer.
    pub fn client(&self, key: CommandKey) -> Option<ClientKey> {
        self.table.get(key)?.client
    }

    /// A command's id for the log, "-" if the command is gone.
    pub fn id(&self, key: CommandKey) -> Id {
        self.table.get(key).map_or_else(|| "-".into(), |entry| entry.id.clone())
    }

    /// Checks the invariants right before the first byte of an attempt is written; logs each violation.
    pub fn check_begin(
        &mut self,
        now: Tenths,
        key: CommandKey,
        (number, limit_at): (u32, Tenths),
        node: &Id,
        invariants: &mut Invariants,
    ) {
        let Some(entry) = self.table.get_mut(key) else { return };
        let attempt = AttemptStart { number, node, limit_at, has_client: entry.client.is_some() };
        for violation in invariants.check_attempt(now, &mut entry.history, &attempt) {
            log!("violation: {violation:?}, command '{}', attempt {number} at {node}", entry.id);
        }
    }

    /// True if the module still allows a dispatch to be written.
    pub fn may_write(&self, now: Tenths, key: CommandKey, dispatch: u32) -> bool {
        self.table.get(key).is_some_and(|entry| self.router.may_write(now, &entry.id, dispatch))
    }

    /// Tells the module that an attempt was written completely, no later than `now`.
    pub fn attempt_written(&mut self, now: Tenths, key: CommandKey, dispatch: u32) -> Written {
        let entry = self.table.get(key);
        entry.map_or(Written::Free, |entry| self.router.attempt_written(now, &entry.id, dispatch))
    }

    /// The outcome of an attempt for its command: an answer whose data may be too old becomes `TooOld`.
    fn effective_ending(&self, id: &Id, dispatch: u32, ending: Ending, note: AnswerNote) -> Ending {
        let old = ending == Ending::Answered && !self.router.may_serve(id, dispatch, note);
        if old { Ending::TooOld } else { ending }
    }
}

/// A client's text for a message, shortened. Danger: at its full length a message would hold memory that nothing limits.
fn quoted(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_QUOTED)]
}

/// The name of a session by its key.
fn session_name(key: &str) -> String {
    if key.len() <= MAX_SESSION_KEY {
        return key.to_owned();
    }
    let mut digest = DefaultHasher::new();
    key.hash(&mut digest);
    format!("{}...{:016x}", quoted(key), digest.finish())
}

fn parse_number(text: &str, what: &str) -> Result<f64, Rejection> {
    // Plain decimals only: no sign and no exponent, as a node might parse those differently.
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let found = text.parse::<f64>().ok().filter(|v| plain && v.is_finite());
    found.ok_or_else(|| ("22P02", format!("expected {what} as a number, found '{}'", quoted(text))))
}

impl Program {
    /// The number of commands that a client still waits for.
    pub fn open_commands(&self) -> u64 {
        self.commands.table.values().filter(|t| t.client.is_some()).count() as u64
    }

    /// Creates a command from a statement of this client.
    pub fn take_command(&mut self, client: ClientKey, received: Received) -> Result<CommandKey, Rejection> {
        let Received { statement, is_whole, arrived, ready_since } = received;
        let said = pgwire::parse_metadata(statement).map_err(|why| ("42601", why.to_owned()))?;
        if said.id.len() > MAX_ID {
            return Err((
                "22023",
                format!("expected an id of at most {MAX_ID} bytes, found {}", said.id.len()),
            ));
        }
        let wait = parse_number(said.wait, "d")?;
        let set = match said.set {
            Some(set) => set
                .parse()
                .map_err(|_| ("22P02", format!("expected cluster as a number, found '{}'", quoted(set))))?,
            None => 0,
        };
        if !self.watch.has_list() {
            return Err(("57P03", "no member list is held yet".into()));
        }
        if !self.watch.sets.contains(&set) {
            return Err(("3D000", format!("no member holds cluster {set}")));
        }
        let command_group = said.group.to_owned();
        if !self.commands.groups.contains(&command_group) {
            return Err(("22023", format!("no command group is named '{}'", quoted(said.group))));
        }
        // Some clients write these values for "no customer"; a customer that the settings name so takes precedence.
        let means_none = |c: &str| matches!(c, "" | "0" | "-") && !self.commands.customers.contains(c);
        let customer = said.customer.filter(|c| !means_none(c)).map(str::to_owned);
        let known = |c: &String| self.commands.customers.is_empty() || self.commands.customers.contains(c);
        if let Some(unknown) = customer.as_ref().filter(|c| !known(c)) {
            return Err(("22023", format!("no customer is named '{}'", quoted(unknown))));
        }
        let token_age = match said.after.map(|after| parse_number(after, "after")).transpose()? {
            // The session has not written anything yet, so any position is fresh enough.
            Some(0.0) => Some(0),
            // Rounded towards the stricter side, and never 0, which stands for no earlier write.
            Some(after) => match self.now - (after * 10.0).ceil() as Tenths {
                0 => Some(-1),
                age => Some(age),
            },
            None => None,
        };
        if self.commands.by_id.contains_key(said.id) {
            return Err(("42710", format!("a command with id {} is open", said.id)));
        }
        let timeout = (wait.min(MAX_CLIENT_TIMEOUT_MS) * 10.0) as Tenths;
        let time_left = self.remaining_time(timeout - (self.now - arrived));
        let id = Id::from(said.id);
        // The module stores each session's last write, so the session is passed on only if some command group reads
        // with session consistency.
        let session = said.key.filter(|_| self.commands.sessions).map(session_name);
        let repeat = said.repeat;
        let wait_at = said.wait_at.clone();
        let asked = CommandProperties {
            command_group: &command_group,
            customer: customer.as_deref(),
            set,
            key: said.key,
            time_left,
        };
        let begun = self.capture.start_record(self.now, asked);
        let group = command_group.clone();
        let command = Command {
            id: id.clone(),
            command_group,
            customer,
            set,
            time_left,
            token_age,
            session,
            repeat,
            statement_bytes: is_whole.then_some(statement.len()),
        };
        self.commands.router.command_arrived(self.now, command).map_err(|why| ("22023", why))?;
        let statement =
            Rc::new(Statement { text: self.memory.hold(Owner::Statements, statement.to_vec()), wait_at });
        let history = self.invariants.start_history(&group, arrived + timeout, ready_since + timeout);
        let entry = OpenCommand {
            id: id.clone(),
            client: Some(client),
            statement,
            dispatches: 0,
            in_flight: 0,
            history,
            begun,
        };
        let key = self.commands.table.insert(entry);
        self.commands.by_id.insert(id, key);
        self.counters.taken += 1;
        Ok(key)
    }

    /// Gives up a waiting command to get the memory of its statement back; its answer is queued at once.
    pub fn give_up_for_memory(&mut self, id: &str) {
        if let Some(decision) = self.commands.router.give_up_for_memory(self.now, id) {
            self.execute(decision);
        }
    }

    /// Handles the departure of an open command's client.
    pub fn abandon_command(&mut self, key: CommandKey) {
        let Some(entry) = self.commands.table.get_mut(key) else { return };
        if entry.client.take().is_some() {
            self.counters.left += 1;
            self.capture.end_record(self.now, &entry.begun, entry.dispatches, Outcome::Left);
            self.commands.router.command_left(&entry.id);
        }
        self.forget(key);
    }

    /// Answers all open commands right before the process is killed. Without this, a command that was accepted before
    /// the stop signal and whose timeout ends after the kill would get no answer. A command that was never sent cannot
    /// have run and is throttled; any other one fails.
    pub fn answer_open_commands(&mut self) {
        let open = self.commands.table.iter().filter(|(_, entry)| entry.client.is_some());
        let open: Vec<(CommandKey, Id, bool)> =
            open.map(|(key, entry)| (key, entry.id.clone(), entry.dispatches == 0)).collect();
        for (key, id, never_sent) in open {
            let mut answer = Vec::new();
            let (code, end) =
                if never_sent { ("53300", Outcome::Throttled) } else { ("40003", Outcome::Failed) };
            pgwire::error(&mut answer, false, code, "the process ends", None);
            self.commands.router.command_left(&id);
            if self.send_final_answer(&id, answer, end) {
                let counters = &mut self.counters;
                *(if never_sent { &mut counters.throttled } else { &mut counters.failed }) += 1;
            }
            self.forget(key);
        }
    }

    fn forget(&mut self, key: CommandKey) {
        if self.commands.table.get(key).is_some_and(|t| t.client.is_none() && t.in_flight == 0)
            && let Some(entry) = self.commands.table.remove(key)
        {
            self.commands.by_id.remove(&entry.id);
        }
    }

    pub fn members_changed(&mut self, whole: bool, entries: &[MemberEntry]) {
        self.commands.router.members_changed(self.now, whole, entries);
    }

    /// Tells the module that the watch failed; the module decides when to reconnect.
    pub fn list_failed(&mut self) {
        self.commands.router.list_failed(self.now);
    }

    /// Passes the queued results to the module.
    pub fn pass_results(&mut self) {
        // Danger: with a time read before these bytes, members would seem to have a clock that is ahead.
        self.read_clock();
        for (node, asked) in self.results.iter().filter_map(NodeResult::reported_replica) {
            self.commands.router.replica_role_received(self.now, node, asked);
        }
        while let Some(news) = self.results.pop_front() {
            match news {
                NodeResult::Role { node, asked, primary } => {
                    self.commands.router.role_announced(self.now, &node, asked, primary);
                }
                NodeResult::Probe { node, ending, asked, note, report } => {
                    self.counters.probes.add(ending);
                    let end = ProbeEnd { ending, took: self.now - asked, primary: note.primary, report };
                    self.commands.router.probe_ended(self.now, &node, end);
                }
                NodeResult::Dispatch { key, dispatch, node, ending, asked, idled, note, report, answer } => {
                    let id = self.commands.id(key);
                    let effective_ending = self.commands.effective_ending(&id, dispatch, ending, note);
                    if effective_ending != ending {
                        log!(
                            "command {id}: the answer of attempt {dispatch} at {node} is discarded: its data may be too old"
                        );
                    }
                    if effective_ending == Ending::Answered {
                        self.log_data_age(&id, dispatch, &node);
                    }
                    let (ending, took) = (effective_ending, self.now - asked);
                    self.counters.dispatches.add(ending);
                    if ending == Ending::Answered {
                        self.check_answer(&id);
                    }
                    let Some(entry) = self.commands.table.get_mut(key) else { continue };
                    entry.in_flight -= 1;
                    entry.history.ended(dispatch, ending);
                    let client = if ending == Ending::Answered { entry.client.take() } else { None };
                    let queued = entry.history.queued_answer(id.clone(), self.now);
                    if client.is_some() {
                        let end = Outcome::Answered(answer.len());
                        self.capture.end_record(self.now, &entry.begun, entry.dispatches, end);
                    }
                    let command_complete = entry.client.is_none();
                    let end = DispatchEnd { dispatch, ending, took, idled, command_complete, note, report };
                    self.commands.router.dispatch_ended(self.now, &entry.id, end);
                    self.forget(key);
                    if let Some(client) = client {
                        self.counters.answered += 1;
                        self.forward_answer(client, answer, Some(queued));
                    }
                }
            }
        }
    }

    /// Logs the data age of a read with a staleness bound or session consistency that a replica answered, and counts
    /// it if the margin is small.
    fn log_data_age(&mut self, id: &Id, dispatch: u32, node: &Id) {
        let Some(age) = self.commands.router.data_age(self.now, id, dispatch) else { return };
        let spare = age.margin();
        let ms = |tenths: Tenths| tenths as f64 / 10.0;
        if spare < LOW_FRESHNESS_MARGIN {
            self.counters.freshness.little_to_spare += 1;
            let data = match age.need {
                DataNeed::Bound(_) => format!("data up to {} ms old", ms(age.behind)),
                DataNeed::Session => "data newer than its session's last write".into(),
            };
            log_up_to!(
                AGE_LOG_LINES,
                "command {id}: attempt {dispatch} at {node} is served with a margin of {} ms: {data} by {:?} received {} ms before, members' clock ahead by {} ms, at most {}",
                ms(spare),
                age.source,
                ms(age.heard_before),
                ms(age.clock_ahead),
                ms(age.clock_ahead_most)
            );
        } else {
            log_trace!("command {id}: attempt {dispatch} at {node} is served: {age:?}");
        }
    }

    /// Pulls decisions until there is none and carries each out. Pending input is read first: since the clock is read
    /// again here, answers that arrived in time while the process was stalled would otherwise count as timed out.
    pub fn decide(&mut self) {
        self.catch_up();
        self.read_clock();
        while let Some(decision) = self.commands.router.next_decision(self.now) {
            self.execute(decision);
        }
        for event in self.commands.router.take_events() {
            self.log_event(event);
        }
        self.nodes.limit_idle(self.commands.router.max_idle_time(self.now));
        match self.commands.router.wake_at() {
            Some(at) => self.deadlines.set(Due::Wake, at),
            None => self.deadlines.clear(Due::Wake),
        }
    }

    fn log_event(&mut self, event: Event) {
        match event {
            Event::GaveUp { command, reason, attempts } => {
                self.counters.given_up.add(reason);
                log!("command {command}: given up after {attempts} attempts: {reason:?}");
            }
            Event::State { node, from, to, reason } => {
                log_up_to!(STATE_LOG_LINES, "node {node}: {from:?} to {to:?}: {reason:?}");
            }
            Event::StaleRoleClaim { node, age } => {
                log!(
                    "node {node}: ignored a primary role from an answer requested {} ms ago: too old",
                    age / 10
                );
            }
            Event::ClockOffset { offset, node } => {
                self.counters.freshness.clock_moved += 1;
                let ahead = offset as f64 / 10.0;
                log!(
                    "estimated the members' clock to be {ahead} ms ahead of the local clock, from a report of {node}"
                );
            }
            Event::StaleReport { node, age } => {
                self.counters.freshness.reports_from_before += 1;
                log!(
                    "node {node}: its report of {} ms ago predates its failure: it is still considered failed",
                    age / 10
                );
            }
        }
    }

    fn execute(&mut self, decision: Decision) {
        match decision {
            Decision::Dispatch { command, node, limit, until } => {
                let Some(&key) = self.commands.by_id.get(&command) else { return };
                let Some(entry) = self.commands.table.get_mut(key) else { return };
                let number = entry.dispatches;
                entry.dispatches += 1;
                entry.in_flight += 1;
                entry.begun.dispatched(self.now, &node);
                let statement = entry.statement.clone();
                let work = Work::Dispatch(key, number);
                self.begin_work(&node, work, statement, self.now + limit.max(0), until);
            }
            Decision::Throttle { command, retry_after } => {
                let detail = (retry_after > 0).then(|| (retry_after / 10).max(1).to_string());
                let mut answer = Vec::new();
                pgwire::error(
                    &mut answer,
                    false,
                    "53300",
                    "throttled: a repeat is harmless",
                    detail.as_deref(),
                );
                if self.send_final_answer(&command, answer, Outcome::Throttled) {
                    self.counters.throttled += 1;
                }
            }
            Decision::Fail { command } => {
                let mut answer = Vec::new();
                pgwire::error(&mut answer, false, "40003", "failed: the command may have run", None);
                if self.send_final_answer(&command, answer, Outcome::Failed) {
                    self.counters.failed += 1;
                }
            }
            Decision::CancelDispatch { command, dispatch, written } => {
                if let Some(&key) = self.commands.by_id.get(&command) {
                    self.call_off(key, dispatch, written);
                }
            }
            Decision::Probe { node } => self.probe(&node),
            Decision::CloseIdle { node } => self.close_idle_conns(&node),
            // Danger: a member that was listed again in the same round would lose its new address.
            Decision::ForgetMember { node } if self.commands.router.is_known_member(&node) => {}
            Decision::ForgetMember { node } => self.forget_node(&node),
            Decision::WatchMembers => self.request_list(),
        }
    }

    fn check_answer(&mut self, command: &Id) {
        let entry = self.commands.by_id.get(command).and_then(|key| self.commands.table.get(*key));
        if let Some(entry) = entry.filter(|entry| entry.client.is_some())
            && let Some(violation) = self.invariants.check_answer(self.now, &entry.history)
        {
            log!("violation: {violation:?}, command '{command}'");
        }
    }

    /// Sends a command's final answer. Returns false if no client waits for it.
    fn send_final_answer(&mut self, command: &Id, answer: Vec<u8>, end: Outcome) -> bool {
        self.check_answer(command);
        let Some(&key) = self.commands.by_id.get(command) else {
            log!("the decision module answered a command that is not open");
            return false;
        };
        let Some(entry) = self.commands.table.get_mut(key) else { return false };
        let client = entry.client.take();
        let queued = entry.history.queued_answer(entry.id.clone(), self.now);
        if client.is_some() {
            self.capture.end_record(self.now, &entry.begun, entry.dispatches, end);
        }
        self.forget(key);
        let Some(client) = client else { return false };
        let answer = self.memory.hold(Owner::Output, answer);
        self.forward_answer(client, answer, Some(queued));
        true
    }
}
