//! One play: routers, clients and members, as events in the order of time. A router is driven as the program on sockets
//! drives it, with the same questions asked at the same points.

use super::conditions::{Conditions, MILLISECOND, SECOND, Trouble};
use super::draw::Draw;
use super::members::{Members, SET_SIZE, Stale, hang};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use vetchkeel::*;

const START: Tenths = 100_000 * SECOND;
const SPAN: Tenths = 20 * SECOND;
/// How long clients wait.
const PATIENCE: Tenths = 1_500 * MILLISECOND;
const PROBE_LIMIT: Tenths = 250 * MILLISECOND;
const HELD_UP_MOST: Tenths = 150 * MILLISECOND;
/// Connections of a router to a member, each with its own delay.
const WAYS: u64 = 4;
/// What the protocol page grants over a bound, less what the way to the member takes.
const CLOCK_SLACK: Tenths = 45 * MILLISECOND;

/// What a command asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Bounded,
    /// It must see what its session has written.
    Session,
    Write,
}

impl Kind {
    const ALL: [Kind; 3] = [Kind::Bounded, Kind::Write, Kind::Session];

    /// Its command group's name, and the data it may see.
    fn names(self) -> (&'static str, &'static str) {
        match self {
            Kind::Bounded => ("read", "bounded"),
            Kind::Session => ("session-read", "session"),
            Kind::Write => ("write", "write"),
        }
    }
}

/// A command that a router has in hand.
#[derive(Clone, Debug)]
struct OpenCommand {
    kind: Kind,
    session: Option<String>,
    attempts: u32,
}

/// What one attempt is at its member.
#[derive(Clone, Debug)]
struct Attempt {
    router: usize,
    command: Id,
    number: u32,
    member: usize,
    kind: Kind,
    session: Option<String>,
    /// The position that it must see, by the answers that its router had had as it was written.
    needs: Tenths,
    /// When its member committed it, a write that went through.
    committed: Tenths,
    position_as_taken: Tenths,
    stale: Option<Stale>,
}

/// An answer on its way.
#[derive(Clone, Debug)]
struct Answer {
    ending: Ending,
    note: Note,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Wake(usize),
    Connected(Attempt, Tenths),
    Write(Attempt, Tenths),
    Arrived(Attempt),
    Worked(Attempt),
    Heard(Attempt, Answer),
    Limit(Attempt),
    Probe { router: usize, member: usize, asked: Tenths },
    ProbeAnswer { router: usize, member: usize, asked: Tenths },
    ProbeHeard { router: usize, member: usize, asked: Tenths, report: Option<Report> },
    MakeReport(usize),
    Trouble(usize),
    Elect { set: usize, except: usize },
    GoOn { set: usize, member: usize },
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

/// A router with its clock, and what it has in hand.
struct Host {
    router: Router,
    ahead: Tenths,
    open: BTreeMap<Id, OpenCommand>,
    /// The last commit of each session, by the answers that were heard.
    commits: BTreeMap<String, Tenths>,
    /// Attempts out, with the time at which each was decided.
    out: BTreeMap<(Id, u32), Tenths>,
    woken_at: Tenths,
}

/// What came of a play.
#[derive(Debug, Default)]
pub struct Outcome {
    pub asked: u64,
    pub served: u64,
    /// Reads that were served, and those of them that a replica served.
    pub reads: u64,
    pub at_replicas: u64,
    /// Reads of sessions that were served, with something to see.
    pub session_reads: u64,
    pub served_stale: Vec<Stale>,
    pub sent_stale: u64,
    /// Writes to replicas whose data were older than the router took them for at the most.
    pub understated: u64,
    pub clock_events: u64,
}

pub struct Play {
    conditions: Conditions,
    draw: Draw,
    now: Tenths,
    members: Members,
    hosts: Vec<Host>,
    /// Work that waits for its member to go on.
    waiting: Vec<Attempt>,
    events: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    commands: u64,
    /// How long each way holds back, by router, member and number.
    ways: BTreeMap<(usize, usize, u64), Tenths>,
    outcome: Outcome,
}

fn member_id(member: usize) -> Id {
    format!("s-{member:02}").into()
}

fn settings(conditions: &Conditions, me: usize) -> Told {
    let bound = conditions.bound / MILLISECOND;
    let kinds = &Kind::ALL[..if conditions.session_reads > 0 { 3 } else { 2 }];
    let reads: Vec<&str> = kinds.iter().map(|kind| kind.names().1).collect();
    let pairs = [
        ("request_classes.count", kinds.len().to_string()),
        ("family_info.class_read", reads.join(",")),
        ("family_info.token_mode", "remembered".into()),
        ("family_info.lag_allowed_ms", format!("{bound},0,0")),
        ("family_info.server_checks", "none".into()),
        ("family_info.progress_told", conditions.positions_told.to_string()),
        ("permissions.cancel", conditions.may_cancel.to_string()),
        ("permissions.may_probe", "true".into()),
        ("permissions.retry_after", "true".into()),
        ("permissions.max_attempts", "6".into()),
        ("permissions.dial_timeout_ms", "250".into()),
        ("membership_mode", "automatic".into()),
        ("balancers", conditions.wall_clocks.len().to_string()),
        ("me", me.to_string()),
    ];
    let mut told: Told = pairs.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
    for (class, kind) in kinds.iter().enumerate() {
        let semantics = if *kind == Kind::Write { "side_effect" } else { conditions.semantics };
        let figures = [("aim_ms", "600"), ("hard_limit_ms", "1500"), ("late_value", "0.5")];
        for (name, value) in [("name", kind.names().0), ("semantics", semantics)].into_iter().chain(figures) {
            told.insert(format!("request_classes.{class}.{name}"), value.into());
        }
    }
    told
}

impl Host {
    fn start(conditions: &Conditions, me: usize) -> Host {
        let ahead = conditions.wall_clocks[me];
        let router = Router::start(settings(conditions, me), me as u64 + 7, START + ahead);
        let mut router = router.expect("complete settings");
        let entry = |member: usize| Entry {
            node: member_id(member),
            zone: "z".into(),
            machine: "m".into(),
            set: (member / SET_SIZE) as i64,
            phase: Phase::Up,
            started: 0,
            primary: member.is_multiple_of(SET_SIZE),
        };
        let entries: Vec<Entry> = (0..conditions.sets * SET_SIZE).map(entry).collect();
        router.members_changed(START + ahead, true, &entries);
        let (open, commits, out) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Host { router, ahead, open, commits, out, woken_at: 0 }
    }
}

impl Play {
    pub fn new(seed: u64) -> Play {
        let mut draw = Draw::new(seed);
        let conditions = Conditions::draw(&mut draw);
        Play::under(conditions, draw)
    }

    pub fn under(conditions: Conditions, mut draw: Draw) -> Play {
        let members = Members::start(&conditions, &mut draw, START);
        let hosts = (0..conditions.wall_clocks.len()).map(|me| Host::start(&conditions, me)).collect();
        let mut play = Play {
            conditions,
            draw,
            now: START,
            members,
            hosts,
            waiting: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            commands: 0,
            ways: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        (0..play.hosts.len()).for_each(|router| play.schedule(0, Event::Arrive(router)));
        for member in 0..play.members.count() {
            let phase = play.draw.up_to(0, play.conditions.report_period);
            play.schedule(phase, Event::MakeReport(member));
        }
        for set in 0..play.conditions.sets {
            let quiet = play.draw.up_to(SECOND, 3 * SECOND);
            play.schedule(quiet, Event::Trouble(set));
        }
        play
    }

    pub fn conditions(&self) -> &Conditions {
        &self.conditions
    }

    pub fn run(&mut self) -> Outcome {
        while let Some(Reverse(Scheduled(at, _, event))) = self.events.pop() {
            if at > START + SPAN {
                break;
            }
            self.now = at;
            self.members.advance(at);
            self.happens(event);
        }
        std::mem::take(&mut self.outcome)
    }

    fn schedule(&mut self, after: Tenths, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(Scheduled(self.now + after, self.scheduled, event)));
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Arrive(router) => self.command_arrives(router),
            Event::Wake(router) => {
                self.hosts[router].woken_at = 0;
                self.decide(router);
            }
            Event::Connected(attempt, until) => self.connected(attempt, until),
            Event::Write(attempt, until) => self.write(attempt, until),
            Event::Arrived(attempt) => self.attempt_arrives(attempt),
            Event::Worked(attempt) => self.attempt_worked(attempt),
            Event::Heard(attempt, answer) => self.answer_heard(attempt, answer),
            Event::Limit(attempt) => self.attempt_ends(&attempt, Ending::TimedOut, Note::default()),
            Event::Probe { router, member, asked } => self.probe_arrives(router, member, asked),
            Event::ProbeAnswer { router, member, asked } => self.probe_answered(router, member, asked),
            Event::ProbeHeard { router, member, asked, report } => {
                self.probe_heard(router, member, asked, report)
            }
            Event::MakeReport(member) => self.make_report(member),
            Event::Trouble(set) => self.trouble(set),
            Event::Elect { set, except } => self.elect(set, except),
            Event::GoOn { set, member } => self.go_on(set, member),
        }
    }

    // ---- clients ----

    fn command_arrives(&mut self, router: usize) {
        self.commands += 1;
        let kind = self.draw_kind();
        let id: Id = format!("c{}", self.commands).into();
        let set = self.draw.below(self.conditions.sets as u64);
        let session = (self.conditions.session_reads > 0)
            .then(|| format!("set {set}, {}", self.draw.below(self.conditions.sessions)));
        let command = Command {
            id: id.clone(),
            command_group: kind.names().0.to_owned(),
            customer: None,
            set: set as i64,
            time_left: PATIENCE,
            token_age: None,
            session: session.clone(),
            repeat: false,
        };
        let now = self.now;
        let host = &mut self.hosts[router];
        host.open.insert(id, OpenCommand { kind, session, attempts: 0 });
        host.router.command_arrived(now + host.ahead, command).expect("a known group");
        self.outcome.asked += 1;
        let mean = SECOND / self.conditions.rate as Tenths;
        let next = self.draw.up_to(1, 2 * mean);
        self.schedule(next, Event::Arrive(router));
        self.decide(router);
    }

    fn draw_kind(&mut self) -> Kind {
        let Conditions { writes, session_reads, .. } = self.conditions;
        if self.draw.below(100) < writes {
            Kind::Write
        } else if session_reads > 0 && self.draw.below(100) < session_reads {
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
            let Some(decision) = host.router.next_decision(now + host.ahead) else { break };
            self.carry_out(router, decision);
        }
        let now = self.now;
        let host = &mut self.hosts[router];
        let clock_event = |event: &vetchkeel::Event| matches!(event, vetchkeel::Event::Clock { .. });
        self.outcome.clock_events +=
            host.router.take_events().iter().filter(|e| clock_event(e)).count() as u64;
        let wake = host.router.wake_at().map(|at| (at - host.ahead).max(now + 1));
        if let Some(at) = wake.filter(|at| host.woken_at <= now || *at < host.woken_at) {
            host.woken_at = at;
            self.schedule(at - now, Event::Wake(router));
        }
    }

    fn carry_out(&mut self, router: usize, decision: Decision) {
        let now = self.now;
        match decision {
            Decision::Dispatch { command, node, limit, until } => {
                let host = &mut self.hosts[router];
                let Some(open) = host.open.get_mut(&command) else { return };
                let (kind, session, number) = (open.kind, open.session.clone(), open.attempts);
                open.attempts += 1;
                let member = node[2..].parse().expect("a member's number");
                host.out.insert((command.clone(), number), now);
                let until = until.saturating_sub(host.ahead);
                let (needs, committed, position_as_taken, stale) = (0, 0, 0, None);
                let attempt = Attempt {
                    router,
                    command,
                    number,
                    member,
                    kind,
                    session,
                    needs,
                    committed,
                    position_as_taken,
                    stale,
                };
                let one_in = self.conditions.writes_held_one_in;
                let held = one_in > 0 && self.draw.below(one_in) == 0;
                let held = if held { self.draw.up_to(0, HELD_UP_MOST) } else { 0 };
                self.schedule(limit, Event::Limit(attempt.clone()));
                if self.conditions.dials_take > 0 {
                    let dial = self.draw.up_to(0, self.conditions.dials_take);
                    return self.schedule(dial, Event::Connected(attempt, until));
                }
                self.schedule(held, Event::Write(attempt, until));
            }
            Decision::Throttle { command, .. } | Decision::Fail { command } => {
                self.hosts[router].open.remove(&command);
            }
            Decision::CallOff { command, dispatch, written: true } => {
                let attempt = Attempt {
                    router,
                    command,
                    number: dispatch,
                    member: 0,
                    kind: Kind::Bounded,
                    session: None,
                    needs: 0,
                    committed: 0,
                    position_as_taken: 0,
                    stale: None,
                };
                self.attempt_ends_later(attempt, Ending::CalledOff);
            }
            Decision::Probe { node } => {
                let member = node[2..].parse().expect("a member's number");
                let way = self.draw.up_to(1, 10);
                self.schedule(way, Event::Probe { router, member, asked: now });
            }
            _ => {}
        }
    }

    /// The host tells of it in its next turn.
    fn attempt_ends_later(&mut self, attempt: Attempt, ending: Ending) {
        self.schedule(0, Event::Heard(attempt, Answer { ending, note: Note::default() }));
    }

    /// Its connection is open: it is written, if it still may be.
    fn connected(&mut self, attempt: Attempt, until: Tenths) {
        let host = &self.hosts[attempt.router];
        let here = self.now + host.ahead;
        let may = self.now <= until && host.router.may_write(here, &attempt.command, attempt.number);
        if may { self.write(attempt, until) } else { self.attempt_ends_later(attempt, Ending::NeverSent) }
    }

    fn write(&mut self, mut attempt: Attempt, until: Tenths) {
        let now = self.now;
        let host = &mut self.hosts[attempt.router];
        if !host.out.contains_key(&(attempt.command.clone(), attempt.number)) {
            return;
        }
        let here = now + host.ahead;
        // A write that is held up is not looked at again before it, only behind.
        if now > until && !host.router.may_write(here, &attempt.command, attempt.number) {
            return self.attempt_ends_later(attempt, Ending::NeverSent);
        }
        let commit = attempt.session.as_ref().and_then(|session| host.commits.get(session));
        attempt.needs = commit.copied().unwrap_or(0);
        let written = host.router.attempt_written(here, &attempt.command, attempt.number);
        if let (Written::ToReplica { behind }, Kind::Bounded) = (written, attempt.kind) {
            let age = self.members.age(attempt.member);
            self.outcome.understated += (age > behind + CLOCK_SLACK) as u64;
        }
        let way = self.draw.up_to(1, 10);
        self.schedule(way, Event::Arrived(attempt.clone()));
        if matches!(written, Written::TooOld { may_give_up: true, .. }) {
            self.attempt_ends_later(attempt, Ending::TooOld);
        }
    }

    fn answer_heard(&mut self, attempt: Attempt, answer: Answer) {
        self.attempt_ends(&attempt, answer.ending, answer.note);
    }

    fn attempt_ends(&mut self, attempt: &Attempt, ending: Ending, note: Note) {
        let now = self.now;
        let host = &mut self.hosts[attempt.router];
        let Some(asked) = host.out.remove(&(attempt.command.clone(), attempt.number)) else { return };
        let (here, node) = (now + host.ahead, member_id(attempt.member));
        if note.primary == Some(false) {
            host.router.heard_replica(here, &node, asked + host.ahead);
        }
        let serves =
            ending != Ending::Answered || host.router.may_serve(&attempt.command, attempt.number, note);
        let ending = if serves { ending } else { Ending::TooOld };
        let answered = ending == Ending::Answered;
        if let (true, Kind::Write, Some(session)) = (answered, attempt.kind, &attempt.session) {
            let last = host.commits.entry(session.clone()).or_insert(0);
            *last = attempt.committed.max(*last);
        }
        let waited_for = host.open.contains_key(&attempt.command);
        if answered {
            host.open.remove(&attempt.command);
        }
        let end = DispatchEnd {
            dispatch: attempt.number,
            ending,
            took: now - asked,
            idled: None,
            over: answered || !waited_for,
            note,
            report: Report::default(),
        };
        host.router.dispatch_ended(here, &attempt.command, end);
        if answered && waited_for {
            self.count(attempt);
        }
        self.decide(attempt.router);
    }

    fn count(&mut self, attempt: &Attempt) {
        self.outcome.served += 1;
        if attempt.kind != Kind::Write {
            self.outcome.reads += 1;
            self.outcome.at_replicas += !self.members.is_primary(attempt.member) as u64;
            self.outcome.session_reads += (attempt.needs > 0) as u64;
            self.outcome.served_stale.extend(attempt.stale);
        }
    }

    // ---- at a member ----

    fn attempt_arrives(&mut self, mut attempt: Attempt) {
        let member = attempt.member;
        attempt.position_as_taken = self.members.position(member);
        let judged = match attempt.kind {
            Kind::Bounded => Some(self.members.judge(member, attempt.router, self.conditions.bound)),
            Kind::Session => Some(self.members.judge_session(member, attempt.router, attempt.needs)),
            Kind::Write => None,
        };
        if let Some(stale) = judged {
            attempt.stale = stale;
            self.outcome.sent_stale += attempt.stale.is_some() as u64;
        }
        let work = self.draw.up_to(20, if attempt.kind == Kind::Write { 400 } else { 300 });
        self.schedule(work, Event::Worked(attempt));
    }

    fn attempt_worked(&mut self, mut attempt: Attempt) {
        if !self.members.runs(attempt.member) {
            return self.waiting.push(attempt);
        }
        let (member, primary) = (attempt.member, self.members.is_primary(attempt.member));
        let writes = attempt.kind == Kind::Write;
        let commits = writes && primary;
        attempt.committed = if commits { self.now } else { 0 };
        let position = match (commits, self.conditions.position_as_taken) {
            (true, _) => self.now + MILLISECOND - 1,
            (_, true) => attempt.position_as_taken,
            (_, false) => self.members.position(member),
        };
        let told = commits || self.conditions.positions_told;
        let position = if told { position / MILLISECOND * MILLISECOND } else { 0 };
        let ending = if writes && !primary { Ending::Miss } else { Ending::Answered };
        let note = if self.is_cut() {
            Note::default()
        } else {
            self.members.answers(member, attempt.router);
            Note { primary: Some(primary), position }
        };
        let lost = self.conditions.answers_lost_one_in;
        let lost = lost > 0 && self.draw.below(lost) == 0;
        let reset = Answer { ending: Ending::Reset, note: Note::default() };
        let answer = if lost { reset } else { Answer { ending, note } };
        let way = self.draw.below(WAYS);
        let held = self.way(attempt.router, member, way) + self.draw.up_to(1, 10);
        self.schedule(held, Event::Heard(attempt, answer));
    }

    /// Whether an answer ends behind its row, with nothing told.
    fn is_cut(&mut self) -> bool {
        let one_in = self.conditions.answers_cut_one_in;
        one_in > 0 && self.draw.below(one_in) == 0
    }

    /// How long a connection holds back what comes on it.
    fn way(&mut self, router: usize, member: usize, number: u64) -> Tenths {
        let held = self.draw.up_to(0, self.conditions.answers_held);
        *self.ways.entry((router, member, number)).or_insert(if number == 0 { 0 } else { held })
    }

    fn probe_arrives(&mut self, router: usize, member: usize, asked: Tenths) {
        let held = self.draw.up_to(0, self.conditions.probes_held);
        let held = if self.draw.below(2) == 0 { held } else { 0 };
        self.schedule(held, Event::ProbeAnswer { router, member, asked });
    }

    /// It is held back on its way to the member or on its way back, as chance has it.
    fn probe_answered(&mut self, router: usize, member: usize, asked: Tenths) {
        let report = self.members.report(member, router);
        let held = self.draw.up_to(0, self.conditions.probes_held);
        let held = if self.draw.below(4) == 0 { held } else { 0 } + self.draw.up_to(1, 10);
        let left = asked + PROBE_LIMIT - self.now;
        let (after, report) = if held > left { (left.max(0), None) } else { (held, Some(report)) };
        self.schedule(after, Event::ProbeHeard { router, member, asked, report });
    }

    fn probe_heard(&mut self, router: usize, member: usize, asked: Tenths, report: Option<Report>) {
        let now = self.now;
        let host = &mut self.hosts[router];
        let (here, node) = (now + host.ahead, member_id(member));
        let ending = if report.is_some() { Ending::Answered } else { Ending::TimedOut };
        let report = report.unwrap_or_default();
        if report.primary == Some(false) {
            host.router.heard_replica(here, &node, asked + host.ahead);
        }
        let end = ProbeEnd { ending, took: now - asked, primary: None, report };
        host.router.probe_ended(here, &node, end);
        self.decide(router);
    }

    // ---- what goes wrong ----

    fn make_report(&mut self, member: usize) {
        let delay = self.draw.up_to(0, self.conditions.report_delay);
        self.members.make_report(member, self.now + delay);
        self.schedule(self.conditions.report_period, Event::MakeReport(member));
    }

    fn trouble(&mut self, set: usize) {
        let trouble =
            self.conditions.troubles[self.draw.below(self.conditions.troubles.len() as u64) as usize];
        let Some(primary) = self.members.primary_of(set) else {
            return self.schedule(SECOND, Event::Trouble(set));
        };
        let replica = set * SET_SIZE + (primary + 1 + self.draw.below(2) as usize) % SET_SIZE;
        let lasts = match trouble {
            Trouble::PrimaryHangs => {
                let (lasts, elected) = hang(&mut self.draw);
                self.members.stop(primary);
                if elected < lasts {
                    self.schedule(elected, Event::Elect { set, except: primary });
                }
                self.schedule(lasts, Event::GoOn { set, member: primary });
                lasts
            }
            Trouble::ReplicaHangs => {
                let (lasts, _) = hang(&mut self.draw);
                self.members.stop(replica);
                self.schedule(lasts, Event::GoOn { set, member: replica });
                lasts
            }
            Trouble::HandOver => {
                let applies_from = self.now + self.draw.up_to(0, 3 * SECOND / 2);
                self.members.step_down(primary, applies_from);
                let gap = self.draw.up_to(300, 3_000);
                self.schedule(gap, Event::Elect { set, except: primary });
                gap
            }
            Trouble::PrimaryPauses => {
                let lasts = self.draw.up_to(100, self.conditions.pause_most);
                self.members.stop(primary);
                self.schedule(lasts, Event::GoOn { set, member: primary });
                lasts
            }
            Trouble::ReplicaLags => {
                let lasts = self.draw.up_to(SECOND / 2, 3 * SECOND);
                self.members.stop_applying(replica, self.now + lasts);
                lasts / 2
            }
        };
        let quiet = self.draw.up_to(SECOND / 5, 2 * SECOND);
        self.schedule(lasts + quiet, Event::Trouble(set));
    }

    fn elect(&mut self, set: usize, except: usize) {
        if self.members.primary_of(set) == Some(except) {
            // It hangs: it has been replaced without knowing.
            let applies_from = self.now + self.draw.up_to(0, 2 * SECOND);
            self.members.step_down(except, applies_from);
        }
        self.members.elect(set, except);
        if self.members.primary_of(set).is_none() {
            self.schedule(SECOND / 5, Event::Elect { set, except });
        }
    }

    fn go_on(&mut self, set: usize, member: usize) {
        self.members.go_on(member);
        if !self.members.is_primary(member) && self.members.primary_of(set) != Some(member) {
            let until = self.now + self.draw.up_to(0, 2 * SECOND);
            self.members.stop_applying(member, until);
        }
        let (mine, others) = std::mem::take(&mut self.waiting).into_iter().partition(|a| a.member == member);
        self.waiting = others;
        let mine: Vec<Attempt> = mine;
        mine.into_iter().for_each(|attempt| self.schedule(0, Event::Worked(attempt)));
    }
}
