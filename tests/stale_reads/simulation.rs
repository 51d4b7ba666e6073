//! A discrete-event simulation of routers, clients and members. It calls a router at the same points as the
//! program that runs on sockets does.

use super::conditions::{Conditions, Fault, MILLISECOND, SECOND};
use super::members::{Members, SET_SIZE, StaleRead, random_hang};
use super::rng::SeededRng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use vetchkeel::*;

const START: Tenths = 100_000 * SECOND;
const DURATION: Tenths = 20 * SECOND;
const CLIENT_TIMEOUT: Tenths = 1_500 * MILLISECOND;
const PROBE_TIMEOUT: Tenths = 250 * MILLISECOND;
/// The longest stall of a router before a write.
const MAX_STALL: Tenths = 150 * MILLISECOND;
/// Connections of a router to a member, each with its own delay.
const CONNECTIONS_PER_MEMBER: u64 = 4;
/// What the protocol documentation allows on top of a bound, less the time that a command takes to reach the
/// member.
const CLOCK_ALLOWANCE: Tenths = 45 * MILLISECOND;

/// The kind of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Bounded,
    /// A read that has to see the writes of its session.
    Session,
    Write,
}

impl Kind {
    const ALL: [Kind; 3] = [Kind::Bounded, Kind::Write, Kind::Session];

    /// The names of its command group and of its access.
    fn names(self) -> (&'static str, &'static str) {
        match self {
            Kind::Bounded => ("read", "bounded"),
            Kind::Session => ("session-read", "session"),
            Kind::Write => ("write", "write"),
        }
    }
}

/// A command that a router has not yet answered.
#[derive(Clone, Debug)]
struct OpenCommand {
    kind: Kind,
    session: Option<String>,
    attempts: u32,
}

/// One attempt to run a command at a member.
#[derive(Clone, Debug)]
struct Attempt {
    router: usize,
    command: Id,
    number: u32,
    member: usize,
    kind: Kind,
    session: Option<String>,
    /// The position that it has to see, by the answers that its router had received when the attempt was
    /// written.
    needs: Tenths,
    /// When its member committed it, for a write that succeeded.
    committed: Tenths,
    position_at_arrival: Tenths,
    stale: Option<StaleRead>,
}

/// An answer in transit.
#[derive(Clone, Debug)]
struct Answer {
    ending: Ending,
    note: AnswerNote,
}

#[derive(Debug)]
enum Event {
    CommandArrival(usize),
    Wake(usize),
    ConnectionOpened(Attempt, Tenths),
    Write(Attempt, Tenths),
    AttemptArrived(Attempt),
    AttemptProcessed(Attempt),
    AnswerReceived(Attempt, Answer),
    AttemptTimeout(Attempt),
    Probe { router: usize, member: usize, sent_at: Tenths },
    ProbeAnswer { router: usize, member: usize, sent_at: Tenths },
    ProbeReceived { router: usize, member: usize, sent_at: Tenths, report: Option<Report> },
    MakeReport(usize),
    Fault(usize),
    Elect { set: usize, except: usize },
    Resume { set: usize, member: usize },
}

struct Scheduled(Tenths, u64, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A router with its clock, its open commands and its attempts in flight.
struct RouterHost {
    router: Router,
    /// By how much its clock is ahead of the members' clock.
    clock_offset: Tenths,
    open: BTreeMap<Id, OpenCommand>,
    /// The last commit of each session, by the answers that were received.
    commits: BTreeMap<String, Tenths>,
    /// Attempts in flight, with the time of the decision to send each.
    in_flight: BTreeMap<(Id, u32), Tenths>,
    wake_scheduled_at: Tenths,
}

/// The result of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Commands that clients sent.
    pub submitted: u64,
    pub served: u64,
    pub reads: u64,
    /// Served reads that a replica served.
    pub replica_reads: u64,
    /// Served reads of sessions that had written before.
    pub session_reads: u64,
    pub served_stale: Vec<StaleRead>,
    /// Attempts that found stale data at a member, whether or not their answers were served.
    pub sent_stale: u64,
    /// Attempts at replicas whose data was older than the upper limit that the router stated.
    pub understated_ages: u64,
    pub clock_events: u64,
}

pub struct Simulation {
    conditions: Conditions,
    rng: SeededRng,
    now: Tenths,
    members: Members,
    hosts: Vec<RouterHost>,
    /// Attempts at members that are suspended.
    suspended: Vec<Attempt>,
    events: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    commands: u64,
    /// The delay of each connection, by router, member and connection number.
    connection_delays: BTreeMap<(usize, usize, u64), Tenths>,
    outcome: Outcome,
}

fn member_id(member: usize) -> Id {
    format!("s-{member:02}").into()
}

fn settings(conditions: &Conditions, me: usize) -> SettingValues {
    let bound = conditions.bound / MILLISECOND;
    let kinds = &Kind::ALL[..if conditions.session_read_percent > 0 { 3 } else { 2 }];
    let reads: Vec<&str> = kinds.iter().map(|kind| kind.names().1).collect();
    let pairs = [
        ("request_classes.count", kinds.len().to_string()),
        ("family_info.class_read", reads.join(",")),
        ("family_info.token_mode", "remembered".into()),
        ("family_info.lag_allowed_ms", format!("{bound},0,0")),
        ("family_info.server_checks", "none".into()),
        ("family_info.progress_told", conditions.positions_in_answers.to_string()),
        ("permissions.cancel", conditions.may_cancel.to_string()),
        ("permissions.may_probe", "true".into()),
        ("permissions.retry_after", "true".into()),
        ("permissions.max_attempts", "6".into()),
        ("permissions.dial_timeout_ms", "250".into()),
        ("membership_mode", "automatic".into()),
        ("balancers", conditions.wall_clock_offsets.len().to_string()),
        ("me", me.to_string()),
    ];
    let mut settings: SettingValues =
        pairs.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
    for (class, kind) in kinds.iter().enumerate() {
        let semantics = if *kind == Kind::Write { "side_effect" } else { conditions.semantics };
        let figures = [("aim_ms", "600"), ("hard_limit_ms", "1500"), ("late_value", "0.5")];
        for (name, value) in [("name", kind.names().0), ("semantics", semantics)].into_iter().chain(figures) {
            settings.insert(format!("request_classes.{class}.{name}"), value.into());
        }
    }
    settings
}

impl RouterHost {
    fn start(conditions: &Conditions, me: usize) -> RouterHost {
        let clock_offset = conditions.wall_clock_offsets[me];
        let router = Router::start(settings(conditions, me), me as u64 + 7, START + clock_offset);
        let mut router = router.expect("complete settings");
        let entry = |member: usize| MemberEntry {
            node: member_id(member),
            zone: "z".into(),
            machine: "m".into(),
            set: (member / SET_SIZE) as i64,
            phase: Phase::Up,
            started: 0,
            primary: member.is_multiple_of(SET_SIZE),
        };
        let entries: Vec<MemberEntry> = (0..conditions.sets * SET_SIZE).map(entry).collect();
        router.members_changed(START + clock_offset, true, &entries);
        let (open, commits, in_flight) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        RouterHost { router, clock_offset, open, commits, in_flight, wake_scheduled_at: 0 }
    }
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let mut rng = SeededRng::new(seed);
        let conditions = Conditions::random(&mut rng);
        Simulation::with_conditions(conditions, rng)
    }

    pub fn with_conditions(conditions: Conditions, mut rng: SeededRng) -> Simulation {
        let members = Members::start(&conditions, &mut rng, START);
        let hosts =
            (0..conditions.wall_clock_offsets.len()).map(|me| RouterHost::start(&conditions, me)).collect();
        let mut simulation = Simulation {
            conditions,
            rng,
            now: START,
            members,
            hosts,
            suspended: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            commands: 0,
            connection_delays: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        (0..simulation.hosts.len()).for_each(|router| simulation.schedule(0, Event::CommandArrival(router)));
        for member in 0..simulation.members.count() {
            let phase = simulation.rng.in_range(0, simulation.conditions.report_period);
            simulation.schedule(phase, Event::MakeReport(member));
        }
        for set in 0..simulation.conditions.sets {
            let pause = simulation.rng.in_range(SECOND, 3 * SECOND);
            simulation.schedule(pause, Event::Fault(set));
        }
        simulation
    }

    pub fn conditions(&self) -> &Conditions {
        &self.conditions
    }

    pub fn run(&mut self) -> Outcome {
        while let Some(Reverse(Scheduled(at, _, event))) = self.events.pop() {
            if at > START + DURATION {
                break;
            }
            self.now = at;
            self.members.advance(at);
            self.handle(event);
        }
        std::mem::take(&mut self.outcome)
    }

    fn schedule(&mut self, after: Tenths, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(Scheduled(self.now + after, self.scheduled, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CommandArrival(router) => self.command_arrives(router),
            Event::Wake(router) => {
                self.hosts[router].wake_scheduled_at = 0;
                self.decide(router);
            }
            Event::ConnectionOpened(attempt, until) => self.connection_opened(attempt, until),
            Event::Write(attempt, until) => self.write(attempt, until),
            Event::AttemptArrived(attempt) => self.attempt_arrives(attempt),
            Event::AttemptProcessed(attempt) => self.attempt_processed(attempt),
            Event::AnswerReceived(attempt, answer) => self.answer_received(attempt, answer),
            Event::AttemptTimeout(attempt) => {
                self.attempt_ends(&attempt, Ending::TimedOut, AnswerNote::default())
            }
            Event::Probe { router, member, sent_at } => self.probe_arrives(router, member, sent_at),
            Event::ProbeAnswer { router, member, sent_at } => self.probe_answered(router, member, sent_at),
            Event::ProbeReceived { router, member, sent_at, report } => {
                self.probe_received(router, member, sent_at, report)
            }
            Event::MakeReport(member) => self.make_report(member),
            Event::Fault(set) => self.inject_fault(set),
            Event::Elect { set, except } => self.elect(set, except),
            Event::Resume { set, member } => self.resume(set, member),
        }
    }

    // ---- clients ----

    fn command_arrives(&mut self, router: usize) {
        self.commands += 1;
        let kind = self.random_kind();
        let id: Id = format!("c{}", self.commands).into();
        let set = self.rng.below(self.conditions.sets as u64);
        let session = (self.conditions.session_read_percent > 0)
            .then(|| format!("set {set}, {}", self.rng.below(self.conditions.sessions)));
        let command = Command {
            id: id.clone(),
            command_group: kind.names().0.to_owned(),
            customer: None,
            set: set as i64,
            time_left: CLIENT_TIMEOUT,
            token_age: None,
            session: session.clone(),
            repeat: false,
            statement_bytes: Some(0),
        };
        let now = self.now;
        let host = &mut self.hosts[router];
        host.open.insert(id, OpenCommand { kind, session, attempts: 0 });
        host.router.command_arrived(now + host.clock_offset, command).expect("a known group");
        self.outcome.submitted += 1;
        let mean = SECOND / self.conditions.rate as Tenths;
        let gap = self.rng.in_range(1, 2 * mean);
        self.schedule(gap, Event::CommandArrival(router));
        self.decide(router);
    }

    fn random_kind(&mut self) -> Kind {
        let Conditions { write_percent, session_read_percent, .. } = self.conditions;
        if self.rng.below(100) < write_percent {
            Kind::Write
        } else if session_read_percent > 0 && self.rng.below(100) < session_read_percent {
            Kind::Session
        } else {
            Kind::Bounded
        }
    }

    // ---- routers ----

    fn decide(&mut self, router: usize) {
        loop {
            let now = self.now;
            let host = &mut self.hosts[router];
            let Some(decision) = host.router.next_decision(now + host.clock_offset) else { break };
            self.execute(router, decision);
        }
        let now = self.now;
        let host = &mut self.hosts[router];
        let clock_event = |event: &vetchkeel::Event| matches!(event, vetchkeel::Event::ClockOffset { .. });
        self.outcome.clock_events +=
            host.router.take_events().iter().filter(|e| clock_event(e)).count() as u64;
        let wake = host.router.wake_at().map(|at| (at - host.clock_offset).max(now + 1));
        if let Some(at) = wake.filter(|at| host.wake_scheduled_at <= now || *at < host.wake_scheduled_at) {
            host.wake_scheduled_at = at;
            self.schedule(at - now, Event::Wake(router));
        }
    }

    fn execute(&mut self, router: usize, decision: Decision) {
        let now = self.now;
        match decision {
            Decision::Dispatch { command, node, limit, until } => {
                let host = &mut self.hosts[router];
                let Some(open) = host.open.get_mut(&command) else { return };
                let (kind, session, number) = (open.kind, open.session.clone(), open.attempts);
                open.attempts += 1;
                let member = node[2..].parse().expect("a member's number");
                host.in_flight.insert((command.clone(), number), now);
                let until = until.saturating_sub(host.clock_offset);
                let (needs, committed, position_at_arrival, stale) = (0, 0, 0, None);
                let attempt = Attempt {
                    router,
                    command,
                    number,
                    member,
                    kind,
                    session,
                    needs,
                    committed,
                    position_at_arrival,
                    stale,
                };
                let one_in = self.conditions.stall_one_write_in;
                let stalls = one_in > 0 && self.rng.below(one_in) == 0;
                let stall = if stalls { self.rng.in_range(0, MAX_STALL) } else { 0 };
                self.schedule(limit, Event::AttemptTimeout(attempt.clone()));
                if self.conditions.max_dial_time > 0 {
                    let dial = self.rng.in_range(0, self.conditions.max_dial_time);
                    return self.schedule(dial, Event::ConnectionOpened(attempt, until));
                }
                self.schedule(stall, Event::Write(attempt, until));
            }
            Decision::Throttle { command, .. } | Decision::Fail { command } => {
                self.hosts[router].open.remove(&command);
            }
            Decision::CancelDispatch { command, dispatch, written: true } => {
                let attempt = Attempt {
                    router,
                    command,
                    number: dispatch,
                    member: 0,
                    kind: Kind::Bounded,
                    session: None,
                    needs: 0,
                    committed: 0,
                    position_at_arrival: 0,
                    stale: None,
                };
                self.attempt_ends_later(attempt, Ending::CalledOff);
            }
            Decision::Probe { node } => {
                let member = node[2..].parse().expect("a member's number");
                let transit = self.rng.in_range(1, 10);
                self.schedule(transit, Event::Probe { router, member, sent_at: now });
            }
            _ => {}
        }
    }

    /// Reports the end of the attempt to the router in a later event at the same time.
    fn attempt_ends_later(&mut self, attempt: Attempt, ending: Ending) {
        self.schedule(0, Event::AnswerReceived(attempt, Answer { ending, note: AnswerNote::default() }));
    }

    /// The connection is open: writes the attempt if the router still allows it.
    fn connection_opened(&mut self, attempt: Attempt, until: Tenths) {
        let host = &self.hosts[attempt.router];
        let router_now = self.now + host.clock_offset;
        let allowed =
            self.now <= until && host.router.may_write(router_now, &attempt.command, attempt.number);
        if allowed { self.write(attempt, until) } else { self.attempt_ends_later(attempt, Ending::NeverSent) }
    }

    fn write(&mut self, mut attempt: Attempt, until: Tenths) {
        let now = self.now;
        let host = &mut self.hosts[attempt.router];
        if !host.in_flight.contains_key(&(attempt.command.clone(), attempt.number)) {
            return;
        }
        let router_now = now + host.clock_offset;
        // A stalled write is checked again here only if its deadline has passed, otherwise only after the
        // write.
        if now > until && !host.router.may_write(router_now, &attempt.command, attempt.number) {
            return self.attempt_ends_later(attempt, Ending::NeverSent);
        }
        let commit = attempt.session.as_ref().and_then(|session| host.commits.get(session));
        attempt.needs = commit.copied().unwrap_or(0);
        let written = host.router.attempt_written(router_now, &attempt.command, attempt.number);
        if let (Written::ToReplica { behind }, Kind::Bounded) = (written, attempt.kind) {
            let age = self.members.age(attempt.member);
            self.outcome.understated_ages += (age > behind + CLOCK_ALLOWANCE) as u64;
        }
        let transit = self.rng.in_range(1, 10);
        self.schedule(transit, Event::AttemptArrived(attempt.clone()));
        if matches!(written, Written::TooOld { may_give_up: true, .. }) {
            self.attempt_ends_later(attempt, Ending::TooOld);
        }
    }

    fn answer_received(&mut self, attempt: Attempt, answer: Answer) {
        self.attempt_ends(&attempt, answer.ending, answer.note);
    }

    fn attempt_ends(&mut self, attempt: &Attempt, ending: Ending, note: AnswerNote) {
        let now = self.now;
        let host = &mut self.hosts[attempt.router];
        let Some(sent_at) = host.in_flight.remove(&(attempt.command.clone(), attempt.number)) else { return };
        let (router_now, node) = (now + host.clock_offset, member_id(attempt.member));
        if note.primary == Some(false) {
            host.router.replica_role_received(router_now, &node, sent_at + host.clock_offset);
        }
        let may_serve =
            ending != Ending::Answered || host.router.may_serve(&attempt.command, attempt.number, note);
        let ending = if may_serve { ending } else { Ending::TooOld };
        let answered = ending == Ending::Answered;
        if let (true, Kind::Write, Some(session)) = (answered, attempt.kind, &attempt.session) {
            let last = host.commits.entry(session.clone()).or_insert(0);
            *last = attempt.committed.max(*last);
        }
        let client_waits = host.open.contains_key(&attempt.command);
        if answered {
            host.open.remove(&attempt.command);
        }
        let end = DispatchEnd {
            dispatch: attempt.number,
            ending,
            took: now - sent_at,
            idled: None,
            command_complete: answered || !client_waits,
            note,
            report: Report::default(),
        };
        host.router.dispatch_ended(router_now, &attempt.command, end);
        if answered && client_waits {
            self.count_served(attempt);
        }
        self.decide(attempt.router);
    }

    fn count_served(&mut self, attempt: &Attempt) {
        self.outcome.served += 1;
        if attempt.kind != Kind::Write {
            self.outcome.reads += 1;
            self.outcome.replica_reads += !self.members.is_primary(attempt.member) as u64;
            self.outcome.session_reads += (attempt.needs > 0) as u64;
            self.outcome.served_stale.extend(attempt.stale);
        }
    }

    // ---- members ----

    fn attempt_arrives(&mut self, mut attempt: Attempt) {
        let member = attempt.member;
        attempt.position_at_arrival = self.members.position(member);
        let checked = match attempt.kind {
            Kind::Bounded => {
                Some(self.members.check_bounded_read(member, attempt.router, self.conditions.bound))
            }
            Kind::Session => Some(self.members.check_session_read(member, attempt.router, attempt.needs)),
            Kind::Write => None,
        };
        if let Some(stale) = checked {
            attempt.stale = stale;
            self.outcome.sent_stale += attempt.stale.is_some() as u64;
        }
        let work = self.rng.in_range(20, if attempt.kind == Kind::Write { 400 } else { 300 });
        self.schedule(work, Event::AttemptProcessed(attempt));
    }

    fn attempt_processed(&mut self, mut attempt: Attempt) {
        if !self.members.is_running(attempt.member) {
            return self.suspended.push(attempt);
        }
        let (member, primary) = (attempt.member, self.members.is_primary(attempt.member));
        let writes = attempt.kind == Kind::Write;
        let commits = writes && primary;
        attempt.committed = if commits { self.now } else { 0 };
        let position = match (commits, self.conditions.position_at_arrival) {
            (true, _) => self.now + MILLISECOND - 1,
            (_, true) => attempt.position_at_arrival,
            (_, false) => self.members.position(member),
        };
        let has_position = commits || self.conditions.positions_in_answers;
        let position = if has_position { position / MILLISECOND * MILLISECOND } else { 0 };
        let ending = if writes && !primary { Ending::Miss } else { Ending::Answered };
        let note = if self.is_truncated() {
            AnswerNote::default()
        } else {
            self.members.record_answer(member, attempt.router);
            AnswerNote { primary: Some(primary), position }
        };
        let one_in = self.conditions.lose_one_answer_in;
        let lost = one_in > 0 && self.rng.below(one_in) == 0;
        let reset = Answer { ending: Ending::Reset, note: AnswerNote::default() };
        let answer = if lost { reset } else { Answer { ending, note } };
        let connection = self.rng.below(CONNECTIONS_PER_MEMBER);
        let delay = self.connection_delay(attempt.router, member, connection) + self.rng.in_range(1, 10);
        self.schedule(delay, Event::AnswerReceived(attempt, answer));
    }

    /// Whether an answer ends after its row, without the member's role and position.
    fn is_truncated(&mut self) -> bool {
        let one_in = self.conditions.truncate_one_answer_in;
        one_in > 0 && self.rng.below(one_in) == 0
    }

    /// The delay of answers on a connection.
    fn connection_delay(&mut self, router: usize, member: usize, number: u64) -> Tenths {
        let delay = self.rng.in_range(0, self.conditions.max_answer_delay);
        *self.connection_delays.entry((router, member, number)).or_insert(if number == 0 { 0 } else { delay })
    }

    fn probe_arrives(&mut self, router: usize, member: usize, sent_at: Tenths) {
        let delay = self.rng.in_range(0, self.conditions.max_probe_delay);
        let delay = if self.rng.below(2) == 0 { delay } else { 0 };
        self.schedule(delay, Event::ProbeAnswer { router, member, sent_at });
    }

    /// The answer of a probe leaves the member and may be delayed, or lost to the probe's timeout.
    fn probe_answered(&mut self, router: usize, member: usize, sent_at: Tenths) {
        let report = self.members.report(member, router);
        let delay = self.rng.in_range(0, self.conditions.max_probe_delay);
        let delay = if self.rng.below(4) == 0 { delay } else { 0 } + self.rng.in_range(1, 10);
        let left = sent_at + PROBE_TIMEOUT - self.now;
        let (after, report) = if delay > left { (left.max(0), None) } else { (delay, Some(report)) };
        self.schedule(after, Event::ProbeReceived { router, member, sent_at, report });
    }

    fn probe_received(&mut self, router: usize, member: usize, sent_at: Tenths, report: Option<Report>) {
        let now = self.now;
        let host = &mut self.hosts[router];
        let (router_now, node) = (now + host.clock_offset, member_id(member));
        let ending = if report.is_some() { Ending::Answered } else { Ending::TimedOut };
        let report = report.unwrap_or_default();
        if report.primary == Some(false) {
            host.router.replica_role_received(router_now, &node, sent_at + host.clock_offset);
        }
        let end = ProbeEnd { ending, took: now - sent_at, primary: None, report };
        host.router.probe_ended(router_now, &node, end);
        self.decide(router);
    }

    // ---- reports and faults ----

    fn make_report(&mut self, member: usize) {
        let delay = self.rng.in_range(0, self.conditions.report_delay);
        self.members.make_report(member, self.now + delay);
        self.schedule(self.conditions.report_period, Event::MakeReport(member));
    }

    fn inject_fault(&mut self, set: usize) {
        let fault = self.conditions.faults[self.rng.below(self.conditions.faults.len() as u64) as usize];
        let Some(primary) = self.members.primary_of(set) else {
            return self.schedule(SECOND, Event::Fault(set));
        };
        let replica = set * SET_SIZE + (primary + 1 + self.rng.below(2) as usize) % SET_SIZE;
        let duration = match fault {
            Fault::PrimaryHangs => {
                let (duration, elected) = random_hang(&mut self.rng);
                self.members.suspend(primary);
                if elected < duration {
                    self.schedule(elected, Event::Elect { set, except: primary });
                }
                self.schedule(duration, Event::Resume { set, member: primary });
                duration
            }
            Fault::ReplicaHangs => {
                let (duration, _) = random_hang(&mut self.rng);
                self.members.suspend(replica);
                self.schedule(duration, Event::Resume { set, member: replica });
                duration
            }
            Fault::HandOver => {
                let applies_from = self.now + self.rng.in_range(0, 3 * SECOND / 2);
                self.members.step_down(primary, applies_from);
                let gap = self.rng.in_range(300, 3_000);
                self.schedule(gap, Event::Elect { set, except: primary });
                gap
            }
            Fault::PrimaryPauses => {
                let duration = self.rng.in_range(100, self.conditions.max_pause);
                self.members.suspend(primary);
                self.schedule(duration, Event::Resume { set, member: primary });
                duration
            }
            Fault::ReplicaLags => {
                let duration = self.rng.in_range(SECOND / 2, 3 * SECOND);
                self.members.stop_applying(replica, self.now + duration);
                duration / 2
            }
        };
        let pause = self.rng.in_range(SECOND / 5, 2 * SECOND);
        self.schedule(duration + pause, Event::Fault(set));
    }

    fn elect(&mut self, set: usize, except: usize) {
        if self.members.primary_of(set) == Some(except) {
            // The old primary hangs and is replaced without its knowledge.
            let applies_from = self.now + self.rng.in_range(0, 2 * SECOND);
            self.members.step_down(except, applies_from);
        }
        self.members.elect(set, except);
        if self.members.primary_of(set).is_none() {
            self.schedule(SECOND / 5, Event::Elect { set, except });
        }
    }

    fn resume(&mut self, set: usize, member: usize) {
        self.members.resume(member);
        if !self.members.is_primary(member) && self.members.primary_of(set) != Some(member) {
            let until = self.now + self.rng.in_range(0, 2 * SECOND);
            self.members.stop_applying(member, until);
        }
        let (resumed, others) =
            std::mem::take(&mut self.suspended).into_iter().partition(|a| a.member == member);
        self.suspended = others;
        let resumed: Vec<Attempt> = resumed;
        resumed.into_iter().for_each(|attempt| self.schedule(0, Event::AttemptProcessed(attempt)));
    }
}
