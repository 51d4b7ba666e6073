//! The simulated driver: routers in process against the model, in time that jumps from one event to the next. Equal
//! setups and seeds give equal bytes.

mod links;
mod table;

use crate::clients::{Next, Wish};
use crate::decider::Decider;
use crate::result::{HappenedFigures, RunResult};
use crate::setup::Setup;
use crate::tally::{Outcome, Tally};
use crate::told::told;
use std::collections::BTreeMap;
use table::{Conn, Flight, Host, Pools, Probe, Stage, Try};
use vetchkeel::{Command, Decision, Ending, Id, MemberEntry, Phase, Tenths};
use vetchkeel_audit::{Auditor, Fate, Final, Taken};
use vetchkeel_capture::{self as capture, Recorder};
use vetchkeel_emulated::{
    self as emulated, Agenda, Arrival, Dialled, Dice, Ended, Members, Micros, Needs, Query, SECOND, Said,
    Sheet, Traffic, Verdict, dice,
};

use crate::ring::Ring;

/// The routers' clock at the start of a run, in tenths of a millisecond: positions of 0 mean that none is told.
const CLOCK: Tenths = 1_000_000_000;
/// Unix time of the start of a run, in captures.
const UNIX: Micros = 1_767_225_600_000_000;
/// What an agent on the router's own machine takes to answer.
const AGENT: Micros = 200;

fn clock(now: Micros) -> Tenths {
    CLOCK + now.div_euclid(100)
}

fn micros(at: Tenths) -> Micros {
    (at - CLOCK) * 100
}

/// The name of a member, as routers know it.
pub(crate) fn member_name(node: usize) -> Id {
    Id::from(format!("m{node}"))
}

fn member_number(name: &str) -> Option<usize> {
    name.strip_prefix('m')?.parse().ok()
}

enum Event {
    Wake(usize),
    /// A try's client has waited long enough.
    GiveUp(u64),
    Again(Box<Wish>),
    /// A dial or a query reaches its member; the connection is open or refused at the router.
    Dial(u64),
    Opened(u64, usize),
    Refused(u64),
    DialLimit(u64),
    Reach(u64),
    /// What a member said reaches the router.
    Back(u64, Box<Ended>),
    /// A broken connection is seen at the router.
    Broken(u64),
    Limit(u64),
    CalledOff(u64),
    /// A router has let go of a query: its member learns it.
    Close(u64),
    ProbeReach(u64),
    ProbeBack(u64, emulated::Report),
    ProbeFailed(u64, Ending),
    Idle(usize, usize),
    List(usize, u32, Option<Box<Sheet>>),
}

/// One run.
pub struct Sim<'a> {
    setup: &'a Setup,
    members: Members,
    traffic: Traffic,
    auditor: Auditor,
    tally: Tally,
    agenda: Agenda<Event>,
    hosts: Vec<Host>,
    tries: Ring<Try>,
    flights: Ring<Flight>,
    probes: Ring<Probe>,
    pools: Pools,
    /// How often each member's process has ended: connections of an earlier life are dead.
    lives: Vec<u32>,
    names: Vec<Id>,
    /// The last write of each session that a router has heard of.
    written: BTreeMap<(usize, u32), Micros>,
    sessions: bool,
    dice: Dice,
    recorder: Option<&'a mut Recorder>,
    seed: u64,
    now: Micros,
}

/// Plays one run to its end.
pub fn simulate(setup: &Setup, seed: u64) -> Result<RunResult, String> {
    Sim::new(setup, seed, None)?.run()
}

/// Plays one run and captures its load.
pub fn simulate_captured(setup: &Setup, seed: u64, recorder: &mut Recorder) -> Result<RunResult, String> {
    Sim::new(setup, seed, Some(recorder))?.run()
}

impl<'a> Sim<'a> {
    fn new(setup: &'a Setup, seed: u64, recorder: Option<&'a mut Recorder>) -> Result<Sim<'a>, String> {
        let plan = &setup.plan;
        let routers = plan.routers.len();
        let members = Members::new(plan.clone(), setup.troubles.clone(), seed);
        let mut sim = Sim {
            traffic: Traffic::new(setup.traffic.clone(), &plan.groups, &setup.troubles, seed),
            auditor: Auditor::new(crate::figures(setup)),
            tally: Tally::new(setup),
            agenda: Agenda::default(),
            hosts: (0..routers).map(|_| Host::default()).collect(),
            tries: Ring::default(),
            flights: Ring::default(),
            probes: Ring::default(),
            pools: Pools::new(routers),
            lives: vec![0; members.count()],
            names: (0..members.count()).map(member_name).collect(),
            written: BTreeMap::new(),
            sessions: plan.groups.iter().any(|g| g.access == emulated::Access::Session),
            dice: dice(seed, "routers"),
            recorder,
            seed,
            now: 0,
            members,
            setup,
        };
        for set in 0..plan.sets.len() {
            sim.members.primary_of(set).into_iter().for_each(|p| sim.auditor.primary(p));
        }
        for router in 0..routers {
            sim.start_router(router, false)?;
        }
        Ok(sim)
    }

    fn run(mut self) -> Result<RunResult, String> {
        let mut arrival = self.traffic.next_arrival();
        // Everything is answered by then, and a trouble that outlasts the commands has no more to spoil.
        let longest = self.setup.plan.groups.iter().map(|g| g.timeout).max().unwrap_or(0);
        let end = self.setup.length + longest + SECOND;
        loop {
            let next = [self.members.wake_at(), self.agenda.first(), arrival.map(|a| a.at)];
            let Some(at) = next.into_iter().flatten().min().filter(|at| *at <= end) else { break };
            self.now = self.now.max(at);
            while let Some(said) = self.members.next_said(self.now) {
                self.hear(said)?;
            }
            while let Some((_, event)) = self.agenda.take(self.now) {
                self.happen(event);
                while let Some(said) = self.members.next_said(self.now) {
                    self.hear(said)?;
                }
            }
            while let Some(a) = arrival.filter(|a| a.at <= self.now) {
                self.arrive(a);
                arrival = self.traffic.next_arrival();
            }
        }
        self.auditor.finish(end);
        let happened = self.members.happened();
        let length = self.setup.length;
        Ok(RunResult {
            driver: "simulated".into(),
            decides: self.setup.decides.name().into(),
            seed: self.seed,
            point: Vec::new(),
            seconds: length as f64 / 1e6,
            routers: self.hosts.len(),
            members: self.setup.plan.members(),
            all: self.tally.all(),
            groups: self.tally.groups(),
            sets: self.tally.sets(),
            every_second: self.tally.seconds(length),
            per_member: self.tally.members(length),
            sends: self.tally.sends,
            happened: HappenedFigures {
                elections: happened.elections,
                commits: happened.commits,
                lost_commits: happened.lost_commits,
                fell: happened.fell,
            },
            breach_counts: self.auditor.counts(),
            breaches: self.auditor.breaches().to_vec(),
            lateness_ms: None,
            void: None,
        })
    }

    // ---- clients ----

    fn arrive(&mut self, a: Arrival) {
        let timeout = self.setup.plan.groups[a.group].timeout;
        self.try_once(Wish {
            asked: self.now,
            deadline: self.now + timeout,
            router: a.router,
            group: a.group,
            set: a.set,
            customer: a.customer,
            session: a.session,
            work: a.work,
            mutating: self.setup.mutating(a.group),
            tries: 0,
        });
    }

    /// The router that the front deals a client to: one that has just died is dealt to for a while yet.
    fn dealt(&self, first: usize) -> Option<usize> {
        let count = self.hosts.len();
        let noticed = |r: &usize| {
            let host = &self.hosts[*r];
            host.decider.is_some() || self.now < host.died_at + self.setup.clients.notice
        };
        (0..count).map(|i| (first + i) % count).find(noticed)
    }

    fn try_once(&mut self, mut wish: Wish) {
        wish.tries += 1;
        self.tally.sends.tries += 1;
        let group = &self.setup.plan.groups[wish.group];
        let router = self.dealt(wish.router).filter(|r| self.hosts[*r].decider.is_some());
        let Some(router) = router else {
            return self.tried(wish, Outcome::Failed, 0);
        };
        let left = wish.time_left(self.now, group.timeout, &self.setup.clients);
        let deadline = self.now + left;
        let number = self.tries.push(Try {
            wish,
            router,
            taken: self.now,
            deadline,
            ended: false,
            last: None,
            flights: Vec::new(),
            out: 0,
        });
        self.auditor.taken(Taken {
            at: self.now,
            command: number,
            router,
            deadline,
            mutating: wish.mutating,
        });
        self.agenda.set(deadline, Event::GiveUp(number));
        let with_session =
            matches!(group.access, emulated::Access::Session | emulated::Access::Write) && self.sessions;
        let command = Command {
            id: Id::from(format!("{number:x}")),
            command_group: group.name.clone(),
            customer: self.setup.customers.get(wish.customer).map(|c| c.0.clone()),
            set: wish.set as i64,
            time_left: left / 100,
            token_age: None,
            session: with_session.then(|| wish.session.to_string()),
            repeat: wish.tries > 1 && self.setup.clients.marks,
            statement_bytes: Some(0),
        };
        let now = clock(self.now);
        if let Some(decider) = &mut self.hosts[router].decider {
            // The group is one of the settings: the only error there is cannot happen.
            let _ = decider.command_arrived(now, command);
        }
        self.pull(router);
    }

    /// A try has ended for its client.
    fn tried(&mut self, wish: Wish, outcome: Outcome, retry_after: Micros) {
        match wish.next(self.now, outcome, retry_after, &self.setup.clients) {
            Next::TryAgain(at) => self.agenda.set(at, Event::Again(Box::new(wish))),
            Next::End(outcome) => self.tally.ended(wish.asked, self.now, wish.group, wish.set, outcome),
        }
    }

    fn capture(&mut self, number: u64, how: Final) {
        let ending = match how {
            Final::Answered => capture::Ending::Answered,
            Final::Throttled => capture::Ending::Throttled,
            Final::Failed => capture::Ending::Failed,
        };
        self.captured(number, ending);
    }

    /// A try has ended: its record, if the load is captured.
    fn captured(&mut self, number: u64, ending: capture::Ending) {
        let (Some(recorder), Some(tried)) = (&mut self.recorder, self.tries.get(number)) else { return };
        let wish = &tried.wish;
        recorder.record(capture::Record {
            arrived: UNIX + tried.taken,
            command_group: self.setup.plan.groups[wish.group].name.as_str().into(),
            customer: self.setup.customers.get(wish.customer).map(|c| c.0.as_str().into()),
            member: tried.last.map(|(node, _)| self.names[node].clone()),
            set: wish.set as i64,
            session: wish.session as u64 + 1,
            time_left: (tried.deadline - tried.taken) as u64,
            waited: tried.last.map_or(0, |(_, decided)| decided - tried.taken) as u64,
            latency: (self.now - tried.taken) as u64,
            ending,
            dispatches: tried.flights.len() as u32,
            bytes: 0,
        });
    }

    /// A final answer of a router.
    fn answer(&mut self, number: u64, how: Final, retry_after: Micros) {
        let Some(tried) = self.tries.get_mut(number).filter(|t| !t.ended) else { return };
        tried.ended = true;
        let wish = tried.wish;
        self.capture(number, how);
        self.auditor.final_answer(self.now, number, how);
        let outcome = match how {
            Final::Answered => Outcome::Answered,
            Final::Throttled => Outcome::Throttled,
            Final::Failed => Outcome::Failed,
        };
        self.tried(wish, outcome, retry_after);
    }

    fn give_up(&mut self, number: u64) {
        let Some(tried) = self.tries.get_mut(number) else { return };
        let (router, ended) = (tried.router, std::mem::replace(&mut tried.ended, true));
        let wish = tried.wish;
        if !ended {
            self.captured(number, capture::Ending::Left);
            self.tell(router, |decider, _| decider.command_left(&format!("{number:x}")));
            self.tried(wish, Outcome::Unanswered, 0);
            self.pull(router);
        }
        self.forget_try(number, true);
    }

    /// A try is forgotten once its time is over and nothing of it is out.
    fn forget_try(&mut self, number: u64, over: bool) {
        let done = |t: &Try| t.ended && t.out == 0 && (over || t.deadline < self.now);
        if self.tries.get(number).is_some_and(done) {
            self.tries.remove(number);
        }
    }

    // ---- routers ----

    fn tell(&mut self, router: usize, news: impl FnOnce(&mut Decider, Tenths)) {
        let now = clock(self.now);
        if let Some(decider) = &mut self.hosts[router].decider {
            news(decider, now);
        }
    }

    fn start_router(&mut self, router: usize, old_list: bool) -> Result<(), String> {
        let seed = rand::RngExt::random(&mut self.dice);
        let decider = Decider::start(self.setup, told(self.setup, router), seed, clock(self.now))?;
        let host = &mut self.hosts[router];
        (host.decider, host.wake) = (Some(decider), Micros::MAX);
        let sheet = self.members.first_list(router, old_list);
        self.list_told(router, &sheet);
        // What it missed while it was away comes after it has started.
        let life = self.hosts[router].life;
        if let Some(news) = self.members.list_news(router) {
            self.agenda.set(self.now + AGENT, Event::List(router, life, Some(Box::new(news))));
        }
        self.pull(router);
        Ok(())
    }

    fn router_died(&mut self, router: usize) {
        let host = &mut self.hosts[router];
        if host.decider.take().is_none() {
            return;
        }
        host.life += 1;
        host.died_at = self.now;
        self.auditor.router_died(router);
        self.written.retain(|(r, _), _| *r != router);
        let flights: Vec<u64> =
            self.flights.iter().filter(|(_, f)| f.router == router).map(|(n, _)| n).collect();
        flights.into_iter().for_each(|n| self.drop_flight(n));
        for (node, conn) in self.pools.drain(router) {
            self.close(node, conn);
        }
        let tries: Vec<u64> =
            self.tries.iter().filter(|(_, t)| t.router == router && !t.ended).map(|(n, _)| n).collect();
        for number in tries {
            if let Some(tried) = self.tries.get_mut(number) {
                tried.ended = true;
                let wish = tried.wish;
                self.tried(wish, Outcome::Failed, 0);
            }
        }
    }

    fn list_told(&mut self, router: usize, sheet: &Sheet) {
        let ahead = self.members.clock_ahead(router);
        let entries: Vec<MemberEntry> = sheet
            .rows
            .iter()
            .map(|row| MemberEntry {
                node: self.names[row.node].clone(),
                zone: Id::from(self.setup.plan.zones[self.members.zone_of(row.node)].as_str()),
                machine: Id::from("machine"),
                set: self.members.set_of(row.node) as i64,
                phase: match row.phase {
                    emulated::Phase::Up => Phase::Up,
                    emulated::Phase::Draining => Phase::Draining,
                    emulated::Phase::Gone => Phase::Removed,
                },
                started: if row.started > 0 { clock(row.started - ahead) } else { 0 },
                primary: row.primary,
            })
            .collect();
        let mut named = vec![false; if sheet.whole { self.names.len() } else { 0 }];
        for row in sheet.rows.iter() {
            named.get_mut(row.node).into_iter().for_each(|n| *n = true);
            self.auditor.member_listed(
                self.now,
                router,
                row.node,
                row.phase != emulated::Phase::Up,
                row.started,
            );
        }
        for node in (0..named.len()).filter(|n| !named[*n] && self.hosts[router].heard.contains(n)) {
            self.auditor.member_listed(self.now, router, node, true, 0);
        }
        self.hosts[router].heard.extend(sheet.rows.iter().map(|r| r.node));
        self.tell(router, |decider, now| decider.members_changed(now, sheet.whole, &entries));
    }

    /// Pulls decisions until there is none, and asks to be woken.
    fn pull(&mut self, router: usize) {
        let now = clock(self.now);
        while let Some(decision) = self.hosts[router].decider.as_mut().and_then(|d| d.next_decision(now)) {
            self.carry_out(router, decision);
        }
        let host = &mut self.hosts[router];
        let wake = host.decider.as_ref().and_then(Decider::wake_at).map(|at| micros(at).max(self.now + 1));
        if let Some(at) = wake.filter(|at| *at < host.wake) {
            host.wake = at;
            self.agenda.set(at, Event::Wake(router));
        }
    }

    fn carry_out(&mut self, router: usize, decision: Decision) {
        let number = |id: &Id| u64::from_str_radix(id, 16).ok();
        match decision {
            Decision::Dispatch { command, node, limit, until } => {
                if let (Some(number), Some(node)) = (number(&command), member_number(&node)) {
                    self.dispatch(router, number, node, limit * 100, micros(until));
                }
            }
            Decision::Throttle { command, retry_after } => {
                number(&command)
                    .into_iter()
                    .for_each(|n| self.answer(n, Final::Throttled, retry_after * 100));
            }
            Decision::Fail { command } => {
                number(&command).into_iter().for_each(|n| self.answer(n, Final::Failed, 0));
            }
            Decision::CancelDispatch { command, dispatch, written } => {
                let goes = |f: &Flight| f.open && (written || f.stage != Stage::Written);
                let flight = number(&command)
                    .and_then(|n| self.tries.get(n)?.flights.get(dispatch as usize).copied())
                    .filter(|f| self.flights.get(*f).is_some_and(goes));
                flight.into_iter().for_each(|f| self.agenda.set(self.now, Event::CalledOff(f)));
            }
            Decision::Probe { node } => {
                member_number(&node).into_iter().for_each(|n| self.send_probe(router, n))
            }
            Decision::CloseIdle { node } => {
                let idle = member_number(&node).map(|n| self.pools.take_all(router, n)).unwrap_or_default();
                idle.into_iter().for_each(|(node, conn)| self.close(node, conn));
            }
            // Members are numbered for good here.
            Decision::ForgetMember { .. } => {}
            Decision::WatchMembers => {
                let sheet = self.members.ask_list(router);
                let life = self.hosts[router].life;
                let at = self.now + if sheet.is_some() { AGENT } else { SECOND };
                self.agenda.set(at, Event::List(router, life, sheet.map(Box::new)));
            }
        }
    }

    // ---- what happens ----

    fn happen(&mut self, event: Event) {
        match event {
            Event::Wake(router) => {
                if self.hosts[router].wake <= self.now {
                    self.hosts[router].wake = Micros::MAX;
                    self.pull(router);
                }
            }
            Event::GiveUp(number) => self.give_up(number),
            Event::Again(wish) => self.try_once(*wish),
            Event::Dial(n) => self.dial_reaches(n),
            Event::Opened(n, by) => self.opened(n, by),
            Event::Refused(n) => self.end_flight(n, Ending::ConnectFailed, None),
            Event::DialLimit(n) => {
                if self.flights.get(n).is_some_and(|f| f.stage == Stage::Dialling) {
                    self.end_flight(n, Ending::ConnectFailed, None);
                }
            }
            Event::Reach(n) => self.reach(n),
            Event::Back(n, ended) => self.back(n, *ended),
            Event::Broken(n) => self.end_flight(n, Ending::Reset, None),
            Event::Limit(n) => self.limit(n),
            Event::CalledOff(n) => self.end_flight(n, Ending::CalledOff, None),
            Event::Close(n) => self.withdraw(n),
            Event::ProbeReach(n) => self.probe_reaches(n),
            Event::ProbeBack(n, report) => self.probe_back(n, Ending::Answered, Some(report)),
            Event::ProbeFailed(n, ending) => self.probe_back(n, ending, None),
            Event::Idle(router, node) => self.thin_out(router, node),
            Event::List(router, life, sheet) => {
                if self.hosts[router].life == life && self.hosts[router].decider.is_some() {
                    match sheet {
                        Some(sheet) => self.list_told(router, &sheet),
                        None => self.tell(router, |decider, now| decider.list_failed(now)),
                    }
                    self.pull(router);
                }
            }
        }
    }

    fn hear(&mut self, said: Said) -> Result<(), String> {
        match said {
            Said::Ended(ended) => self.member_ended(ended),
            Said::Probed { node, probe, report } => self.probed(node, probe, report),
            Said::Died { node, .. } | Said::Vanished { node } => {
                self.lives[node] += 1;
                self.connections_end(node, matches!(said, Said::Died { .. }));
            }
            Said::Started { node } => {
                let count = self.members.count();
                self.lives.resize(count, 0);
                (self.names.len()..count).for_each(|n| self.names.push(member_name(n)));
                let strength = self.members.strength(node);
                self.auditor.started(self.now, node, strength);
            }
            Said::News { router } => {
                if self.hosts[router].decider.is_some()
                    && let Some(sheet) = self.members.list_news(router)
                {
                    self.list_told(router, &sheet);
                    self.pull(router);
                }
            }
            Said::WatchBroke { router } => {
                self.tell(router, |decider, now| decider.list_failed(now));
                self.pull(router);
            }
            Said::RouterDied { router } => self.router_died(router),
            Said::RouterStarts { router, old_list } => {
                if self.hosts[router].decider.is_none() {
                    self.start_router(router, old_list)?;
                }
            }
        }
        Ok(())
    }

    /// What a member did, as the auditor and the tally see it.
    fn member_ended(&mut self, ended: Ended) {
        let Some(flight) = self.flights.get_mut(ended.job) else { return };
        flight.at_member = false;
        let (command, work, needed, set) =
            (flight.command, flight.work, flight.needed, self.members.set_of(ended.node));
        let fate = if ended.verdict.untouched() {
            Fate::Untouched
        } else if ended.verdict.ran() {
            Fate::Ran
        } else {
            Fate::Open
        };
        let read = needed.filter(|_| ended.verdict == Verdict::Answered).map(|needed| (ended.seen, needed));
        if ended.primary {
            self.auditor.primary(ended.node);
        }
        self.auditor.ended(self.now, command, ended.node, fate, read);
        if fate == Fate::Ran {
            let strength = self.members.strength(ended.node);
            self.tally.ran(ended.node, set, strength, work);
        }
        let job = ended.job;
        let router = self.flights.get(job).map_or(0, |f| f.router);
        let way = self.members.delay(self.members.zone_of(ended.node), self.setup.plan.routers[router]);
        match (ended.verdict, way) {
            (Verdict::Lost, _) | (_, None) => {}
            (Verdict::Reset, Some(way)) => self.agenda.set(self.now + way, Event::Broken(job)),
            (_, Some(way)) => self.agenda.set(self.now + way, Event::Back(job, Box::new(ended))),
        }
        self.forget_flight(job);
    }
}
