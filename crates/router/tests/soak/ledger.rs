//! Records what clients, members and discovery agents observe, and checks it against the rules. It does not use any state of
//! the routers.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Tolerances that the operators' pages allow on top of a rule's limit, for delays in sockets and for a stalled router.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const DISCONNECT_SLACK: Duration = Duration::from_millis(100);
const TIME_LEFT_SLACK: Duration = Duration::from_millis(150);
const DRAIN_SLACK: Duration = Duration::from_millis(200);
/// Tolerance for threads, including the ones that record here, that a busy machine wakes up late.
const SCHEDULING_SLACK: Duration = Duration::from_millis(250);
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// How long a set drops repeats of a keyed command, and the tolerance for a stalled router.
pub const REPEAT_WINDOW: Duration = Duration::from_millis(400);
const REPEAT_WINDOW_SLACK: Duration = Duration::from_millis(150);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A read that any member may answer.
    Look,
    /// A bounded read; its data may be as old as the ledger's `bound`.
    View,
    /// A write that only the primary accepts, and that must run once at most.
    Order,
    /// A keyed write that only the primary accepts; a repeat is dropped within `REPEAT_WINDOW`.
    Save,
}

/// How a command ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    Served,
    Refused,
    Failed,
    /// The client disconnected.
    Left,
    /// The connection was closed before the command was read, or because its router was killed.
    Excused,
}

/// One delivery of a command to a member.
struct Delivery {
    at: Instant,
    member: usize,
    /// The remaining time that the statement carried.
    time_left: Duration,
    ran: bool,
    /// The age of the member's data, if it was too old for a bounded read.
    stale: Option<Duration>,
}

/// What a member knows of a command when its last byte has arrived.
pub struct DeliveryInfo {
    pub member: usize,
    /// The remaining time that the statement carried.
    pub time_left: Duration,
    /// The age of the member's data, if it is too old for a bounded read.
    pub stale: Option<Duration>,
    /// Whether the member still drains. Held writes arrive the moment it is ready again, which is allowed.
    pub draining: bool,
}

struct Command {
    class: Class,
    router: usize,
    /// When its time begins: when it is sent, or when the command before it on its connection is answered.
    begins: Instant,
    timeout: Duration,
    left: Option<Instant>,
    outcome: Option<(Instant, Outcome)>,
    deliveries: Vec<Delivery>,
}

impl Command {
    /// The deliveries that carry more time than the client has left. Known at the end of a run, as the time of a command that is
    /// sent before the one before it is answered begins with that answer.
    fn excessive_time_left(&self, id: &str) -> impl Iterator<Item = String> {
        let deadline = self.begins + self.timeout;
        let latest = deadline + TIME_LEFT_SLACK + SCHEDULING_SLACK;
        self.deliveries.iter().filter(move |d| d.at + d.time_left > latest).map(move |d| {
            let left = deadline.saturating_duration_since(d.at);
            format!(
                "carries more time than its client has left: command {id} ({:?}) of router {} at member {}, {:?} of {left:?}",
                self.class, self.router, d.member, d.time_left
            )
        })
    }
}

#[derive(Default)]
struct Records {
    commands: HashMap<String, Command>,
    /// Since when a router has been informed that a member drains, by router and member.
    draining: BTreeMap<(usize, usize), Instant>,
    /// When each router stood still; without an end, it still does.
    standstills: BTreeMap<usize, Vec<(Instant, Option<Instant>)>>,
    violations: Vec<String>,
    outcomes: BTreeMap<Outcome, u64>,
}

impl Records {
    /// The time by which a router can act on a deadline: a process that stands still at that time acts once it continues.
    fn reachable(&self, router: usize, deadline: Instant) -> Instant {
        let standstills = self.standstills.get(&router).into_iter().flatten();
        standstills.fold(deadline, |reachable, (begun, ended)| {
            let ended = ended.unwrap_or_else(Instant::now);
            let covers = *begun <= reachable && reachable <= ended;
            if covers { ended } else { reachable }
        })
    }
}

pub struct Ledger {
    /// The staleness bound of bounded reads.
    pub bound: Duration,
    /// Whether idle clients use up the descriptors, so that the router may close new connections before reading them.
    pub has_idle_crowd: bool,
    records: Mutex<Records>,
}

impl Ledger {
    pub fn new(bound: Duration, has_idle_crowd: bool) -> Ledger {
        Ledger { bound, has_idle_crowd, records: Mutex::default() }
    }

    fn records(&self) -> std::sync::MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub fn violation(&self, text: String) {
        self.records().violations.push(text);
    }

    pub fn violations(&self) -> Vec<String> {
        let records = self.records();
        let commands = records.commands.iter();
        let excessive = commands.flat_map(|(id, command)| command.excessive_time_left(id));
        records.violations.iter().cloned().chain(excessive).collect()
    }

    pub fn outcomes(&self) -> BTreeMap<Outcome, u64> {
        self.records().outcomes.clone()
    }

    // ---- clients ----

    /// A client sends a command.
    pub fn command_sent(&self, id: &str, class: Class, router: usize, timeout: Duration) {
        let begins = Instant::now();
        let command =
            Command { class, router, begins, timeout, left: None, outcome: None, deliveries: Vec::new() };
        self.records().commands.insert(id.to_owned(), command);
    }

    /// The command before this one on its connection was answered at this time; the time spent waiting for it does not count.
    pub fn command_is_next(&self, id: &str, answered_at: Instant) {
        if let Some(command) = self.records().commands.get_mut(id) {
            command.begins = command.begins.max(answered_at);
        }
    }

    /// The last byte of a large command has been written: its time runs from then.
    pub fn command_written(&self, id: &str) {
        self.command_is_next(id, Instant::now());
    }

    /// The client disconnects without waiting for an answer; called just before it closes the connection.
    pub fn client_disconnects(&self, id: &str) {
        if let Some(command) = self.records().commands.get_mut(id) {
            command.left = Some(Instant::now());
        }
        self.command_ended(id, Outcome::Left);
    }

    /// Another client sends a command of the same id, after the first one has disconnected. What has run stays.
    pub fn command_comes_again(&self, id: &str) {
        if let Some(command) = self.records().commands.get_mut(id) {
            (command.left, command.outcome, command.begins) = (None, None, Instant::now());
        }
    }

    /// A command ends for its client.
    pub fn command_ended(&self, id: &str, outcome: Outcome) {
        let now = Instant::now();
        let mut records = self.records();
        *records.outcomes.entry(outcome).or_default() += 1;
        let Some(command) = records.commands.get(id) else { return };
        let answerable = records.reachable(command.router, command.begins + command.timeout);
        let is_late = now > answerable + ANSWER_SLACK + SCHEDULING_SLACK;
        let Some(command) = records.commands.get_mut(id) else { return };
        let before = command.outcome.replace((now, outcome));
        let ran = command.deliveries.iter().filter(|d| d.ran).count();
        let summary = format!(
            "command {id} ({:?}) at router {}: {outcome:?} after {:?} of a timeout of {:?}, {} deliveries, {ran} executed",
            command.class,
            command.router,
            now - command.begins,
            command.timeout,
            command.deliveries.len(),
        );
        if before.is_some() {
            records.violations.push(format!("ended twice for its client: {summary}"));
        } else if is_late && !matches!(outcome, Outcome::Left | Outcome::Excused) {
            records.violations.push(format!("answered late: {summary}"));
        } else if outcome == Outcome::Refused && ran > 0 && records.commands[id].class == Class::Order {
            records.violations.push(format!("refused although it was executed: {summary}"));
        }
    }

    /// A command was answered with the result of this delivery.
    pub fn command_served(&self, id: &str, delivery: usize) {
        let mut records = self.records();
        let command = records.commands.get(id).filter(|command| command.class == Class::View);
        let found = command.and_then(|c| c.deliveries.get(delivery).map(|d| (c.router, d.member, d.stale)));
        if let Some((router, member, Some(age))) = found {
            let text =
                format!("stale read: command {id} of router {router} at member {member}, data {age:?} old");
            records.violations.push(text);
        }
        drop(records);
        self.command_ended(id, Outcome::Served);
    }

    /// The connection of a command was closed without an answer, although its router was not killed. `first` tells that the
    /// connection had not carried an answer yet.
    pub fn connection_lost(&self, id: &str, first: bool) {
        let mut records = self.records();
        let Some(command) = records.commands.get(id) else { return };
        let was_dispatched = !command.deliveries.is_empty();
        if was_dispatched || (first && !self.has_idle_crowd) {
            let what = if was_dispatched { "after its dispatch" } else { "on a new connection" };
            let summary = format!("connection lost {what}: command {id} at router {}", command.router);
            records.violations.push(summary);
        }
        drop(records);
        self.command_ended(id, Outcome::Excused);
    }

    // ---- routers ----

    /// A router is suspended.
    pub fn standstill_begun(&self, router: usize) {
        self.records().standstills.entry(router).or_default().push((Instant::now(), None));
    }

    /// A suspended router continues.
    pub fn standstill_ended(&self, router: usize) {
        let mut records = self.records();
        if let Some(last) = records.standstills.get_mut(&router).and_then(|all| all.last_mut()) {
            last.1 = Some(Instant::now());
        }
    }

    /// The time by which a router can act on a deadline.
    pub fn reachable(&self, router: usize, deadline: Instant) -> Instant {
        self.records().reachable(router, deadline)
    }

    /// Whether a command was answered as soon as its router, which stood still at its deadline, could answer.
    pub fn is_late_by_a_standstill_alone(&self, id: &str) -> bool {
        let records = self.records();
        let Some(command) = records.commands.get(id) else { return false };
        let Some((answered, _)) = command.outcome else { return false };
        let deadline = command.begins + command.timeout;
        let answerable = records.reachable(command.router, deadline);
        answerable > deadline && answered <= answerable + ANSWER_SLACK + SCHEDULING_SLACK
    }

    // ---- members ----

    /// The last byte of a command arrives at a member; returns the number of this delivery.
    pub fn command_delivered(&self, id: &str, info: DeliveryInfo) -> usize {
        let DeliveryInfo { member, time_left, stale, draining } = info;
        let now = Instant::now();
        let mut records = self.records();
        let Some(command) = records.commands.get(id) else { return 0 };
        let (router, class) = (command.router, command.class);
        let mut found = Vec::new();
        if command.left.is_some_and(|left| now > left + DISCONNECT_SLACK + SCHEDULING_SLACK) {
            found.push("dispatched after its client disconnected");
        }
        if class == Class::Order && command.deliveries.iter().any(|d| d.ran) {
            found.push("sent again after it was executed");
        }
        let since = records.draining.get(&(router, member)).filter(|_| draining);
        if since.is_some_and(|announced| now > *announced + DRAIN_GRACE + DRAIN_SLACK + SCHEDULING_SLACK) {
            found.push("sent to a draining member");
        }
        for what in found {
            let text = format!("{what}: command {id} ({class:?}) of router {router} at member {member}");
            records.violations.push(text);
        }
        let deliveries = &mut records.commands.get_mut(id).expect("found above").deliveries;
        deliveries.push(Delivery { at: now, member, time_left, ran: false, stale });
        deliveries.len() - 1
    }

    /// A member executes a command.
    pub fn command_executed(&self, id: &str, member: usize) {
        let mut records = self.records();
        let Some(command) = records.commands.get_mut(id) else { return };
        if let Some(delivery) = command.deliveries.iter_mut().rev().find(|d| d.member == member) {
            delivery.ran = true;
        }
        let runs: Vec<(usize, Instant)> =
            command.deliveries.iter().filter(|d| d.ran).map(|d| (d.member, d.at)).collect();
        let first = runs.iter().map(|(_, at)| *at).min();
        let last = runs.iter().map(|(_, at)| *at).max();
        let apart = first.zip(last).map_or(Duration::ZERO, |(first, last)| last - first);
        let repeated = match command.class {
            Class::Order => runs.len() > 1,
            Class::Save => apart > REPEAT_WINDOW + REPEAT_WINDOW_SLACK + SCHEDULING_SLACK,
            Class::Look | Class::View => false,
        };
        if repeated {
            let text =
                format!("executed more than once: command {id} of router {}: {runs:?}", command.router);
            records.violations.push(text);
        }
    }

    // ---- agents ----

    /// A router's agent has received whether a member drains, which counts as known to the router after this time.
    pub fn draining_announced(&self, router: usize, member: usize, draining: bool, known_after: Duration) {
        let mut records = self.records();
        if draining {
            records.draining.entry((router, member)).or_insert_with(|| Instant::now() + known_after);
        } else {
            records.draining.remove(&(router, member));
        }
    }
}
