//! All members together: what reaches them goes in, what they say comes out.

use crate::agenda::Agenda;
use crate::copy::{Copy, Log};
use crate::draw::{Dice, Draw, dice, happens};
use crate::interface::{Dialled, Ended, Happened, Needs, Query, Report, Said, Verdict};
use crate::list::{List, Phase, Row, Sheet};
use crate::node::{Behind, Node, WARM_STEP};
use crate::plan::{Checks, Plan};
use crate::trouble::Trouble;
use crate::ways::Ways;
use crate::{Micros, SECOND};
use std::collections::VecDeque;

pub(crate) enum Task {
    Done(usize, u64),
    Caught(usize, u64),
    Warm(usize, Micros),
    Refresh(usize),
    Detect(usize, u64),
    Elect(usize, u64),
    Switch(usize, u64),
    Learn(Row),
    Tell(usize),
    Begin(usize),
    End(usize),
    /// The next step of a trouble that strikes again and again, at a member.
    Step(usize, usize, bool),
}

pub(crate) struct MemberSet {
    pub(crate) nodes: Vec<usize>,
    pub(crate) primary: Option<usize>,
    pub(crate) log: Log,
    /// Counts changes in whether the primary is there, so that older alarms are void.
    pub(crate) alarm: u64,
    pub(crate) absent: bool,
    /// The member that was primary last, and when it was last seen to be.
    pub(crate) last: usize,
    pub(crate) left_at: Micros,
}

pub struct Members {
    pub(crate) plan: Plan,
    pub(crate) nodes: Vec<Node>,
    /// The member that lives at each address.
    pub(crate) places: Vec<usize>,
    pub(crate) sets: Vec<MemberSet>,
    pub(crate) ways: Ways,
    pub(crate) list: List,
    pub(crate) agenda: Agenda<Task>,
    pub(crate) said: VecDeque<Said>,
    pub(crate) troubles: Vec<Trouble>,
    pub(crate) struck: Vec<Vec<usize>>,
    /// Chance of what happens seldom (elections, the list), of each end, and of each message: the first stays the same
    /// however many messages there are.
    pub(crate) dice: Dice,
    ends: Dice,
    messages: Dice,
    clocks: Vec<Micros>,
    ticket: u64,
    pub(crate) happened: Happened,
}

impl Members {
    pub fn new(plan: Plan, troubles: Vec<Trouble>, seed: u64) -> Members {
        // The name stays as it was: another one would give each seed another run.
        let mut dice = dice(seed, "fleet");
        let mut nodes = Vec::new();
        let mut sets = Vec::new();
        for (set, members) in plan.sets.iter().enumerate() {
            let first = nodes.len();
            for member in members {
                let machine = plan.machines[member.machine].clone();
                let mut node = Node::new(set, member.zone, nodes.len(), machine);
                node.ship = (plan.copying.ship.sample(&mut dice) as Micros).max(1);
                nodes.push(node);
            }
            sets.push(MemberSet {
                nodes: (first..nodes.len()).collect(),
                primary: Some(first),
                log: Log::default(),
                alarm: 0,
                absent: false,
                last: first,
                left_at: 0,
            });
        }
        let mut list = List::new(plan.list.clone(), plan.routers.len());
        for (n, node) in nodes.iter().enumerate() {
            let primary = sets[node.set].primary == Some(n);
            list.start_with(Row { node: n, phase: Phase::Up, started: 0, primary });
        }
        let mut agenda = Agenda::default();
        for n in 0..nodes.len() {
            let phase = plan.reports.refresh as f64 * n as f64 / nodes.len() as f64;
            agenda.set(phase as Micros, Task::Refresh(n));
        }
        for (i, trouble) in troubles.iter().enumerate().filter(|(_, t)| !t.kind.of_traffic()) {
            agenda.set(trouble.from, Task::Begin(i));
            agenda.set(trouble.until, Task::End(i));
        }
        let apart = Draw::Between(-(plan.clocks_apart as f64), plan.clocks_apart as f64);
        let mut off = crate::draw::dice(seed, "clocks");
        let mut members = Members {
            clocks: plan.routers.iter().map(|_| apart.sample(&mut off) as Micros).collect(),
            ways: Ways::new(plan.ways.clone(), plan.zones.len()),
            places: (0..nodes.len()).collect(),
            struck: vec![Vec::new(); troubles.len()],
            plan,
            nodes,
            sets,
            list,
            agenda,
            said: VecDeque::new(),
            troubles,
            dice,
            ends: crate::draw::dice(seed, "ends"),
            messages: crate::draw::dice(seed, "messages"),
            ticket: 0,
            happened: Happened::default(),
        };
        members.draw_struck(seed);
        members
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    pub fn happened(&self) -> Happened {
        self.happened
    }

    /// Members so far, with those that were replaced.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    pub fn set_of(&self, node: usize) -> usize {
        self.nodes[node].set
    }

    /// True while the member's process runs, whether it moves or not.
    pub fn alive(&self, node: usize) -> bool {
        self.nodes[node].alive()
    }

    /// Who lives at the address of `node` now, if a machine answers there.
    pub fn resident(&self, node: usize) -> Option<usize> {
        let resident = self.places[self.nodes[node].place];
        (!self.nodes[resident].gone).then_some(resident)
    }

    pub fn zone_of(&self, node: usize) -> usize {
        self.nodes[node].zone
    }

    /// The number of a member's address.
    pub fn place_of(&self, node: usize) -> usize {
        self.nodes[node].place
    }

    pub fn primary_of(&self, set: usize) -> Option<usize> {
        self.sets[set].primary
    }

    /// Queries that a member holds now.
    pub fn held(&self, node: usize) -> usize {
        self.nodes[node].held()
    }

    /// When the process of a member started; 0 for before the run.
    pub fn started(&self, node: usize) -> Micros {
        self.nodes[node].started
    }

    /// Cores times speed of a member.
    pub fn strength(&self, node: usize) -> f64 {
        self.nodes[node].machine.cores as f64 * self.nodes[node].machine.speed
    }

    /// By how much a router's clock is ahead of the members'.
    pub fn clock_ahead(&self, router: usize) -> Micros {
        self.clocks[router]
    }

    /// How long a message from one zone to another takes; None if it is lost.
    pub fn delay(&mut self, from: usize, to: usize) -> Option<Micros> {
        self.ways.delay(from, to, &mut self.messages)
    }

    // ---- the list ----

    /// The list that a router starts with: that of now, or what it was last told.
    pub fn first_list(&mut self, router: usize, old: bool) -> Sheet {
        self.list.first(router, old)
    }

    /// What the list tells a router that asks.
    pub fn ask_list(&mut self, router: usize) -> Option<Sheet> {
        self.list.ask(router).ok()
    }

    /// What a router that listens has not been told yet.
    pub fn list_news(&mut self, router: usize) -> Option<Sheet> {
        self.list.news(router)
    }

    pub(crate) fn tell_all(&mut self, now: Micros) {
        for router in 0..self.plan.routers.len() {
            let at = now + self.list.spread(&mut self.dice);
            self.agenda.set(at, Task::Tell(router));
        }
    }

    /// Something has changed that the list hears of later.
    pub(crate) fn noticed(&mut self, now: Micros, node: usize, phase: Phase, role: bool) {
        let primary = self.sets[self.nodes[node].set].primary == Some(node);
        let row = Row { node, phase, started: self.nodes[node].started, primary };
        let at = now + self.list.late(role, &mut self.dice);
        self.agenda.set(at, Task::Learn(row));
    }

    // ---- what reaches a member ----

    /// A dial reaches the address of `node`.
    pub fn dial(&mut self, node: usize) -> Dialled {
        let resident = self.places[self.nodes[node].place];
        let n = &mut self.nodes[resident];
        if n.gone {
            Dialled::Silent
        } else if !n.alive() || n.connections >= n.connections_most() {
            Dialled::Refused
        } else {
            n.connections += 1;
            Dialled::Accepted(resident)
        }
    }

    /// A connection to a member ends.
    pub fn hang_up(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        n.connections = n.connections.saturating_sub(1);
    }

    /// A probe reaches the address of `node`; it is answered beside the queue, by whoever lives there. One that stands
    /// still answers later.
    pub fn probe(&mut self, node: usize, probe: u64) -> Dialled {
        let resident = self.places[self.nodes[node].place];
        let (work, n) = (self.plan.reports.probe_work, &mut self.nodes[resident]);
        if n.gone {
            return Dialled::Silent;
        }
        if !n.alive() {
            return Dialled::Refused;
        }
        if n.works() {
            self.report(resident, probe, work);
        } else {
            n.unread_probes.push(probe);
        }
        Dialled::Accepted(resident)
    }

    pub(crate) fn report(&mut self, node: usize, probe: u64, work: f64) {
        let n = &mut self.nodes[node];
        n.debt += work;
        let (position, primary) = n.report;
        self.said.push_back(Said::Probed { node, probe, report: Report { position, primary } });
    }

    /// A whole query reaches a member on an open connection.
    pub fn query(&mut self, now: Micros, node: usize, query: Query) {
        let warming = &self.plan.warming;
        let n = &mut self.nodes[node];
        if !n.alive() {
            return self.end(now, node, query, Verdict::Reset, 0);
        }
        if n.push(now, query.work, warming) {
            n.fallen = true;
            self.happened.fell += 1;
            self.die(now, node, true);
            self.noticed(now, node, Phase::Gone, false);
            return self.end(now, node, query, Verdict::Reset, 0);
        }
        if n.frozen > 0 {
            return n.unread.push(query);
        }
        self.admit(now, node, query);
    }

    pub(crate) fn admit(&mut self, now: Micros, node: usize, query: Query) {
        let primary = self.sets[self.nodes[node].set].primary == Some(node);
        if self.nodes[node].draining > 0 {
            return self.end(now, node, query, Verdict::Full, 0);
        }
        if query.needs == Needs::Primary && !primary {
            return self.end(now, node, query, Verdict::Miss, 0);
        }
        if let (Some(position), Checks::Refuse | Checks::Wait(_)) = (query.position(), self.plan.checks)
            && self.position(now, node) < position
        {
            let Checks::Wait(most) = self.plan.checks else {
                return self.end(now, node, query, Verdict::Miss, 0);
            };
            let (ticket, until) = (self.next_ticket(), now + most);
            self.nodes[node].behind.push(Behind { query, ticket, until });
            return self.look_again(now, node, ticket, position, until);
        }
        self.take(now, node, query);
    }

    /// A core, the queue, or no room.
    fn take(&mut self, now: Micros, node: usize, query: Query) {
        if self.nodes[node].has_core() {
            self.run(now, node, query);
        } else if self.nodes[node].queue.len() < self.nodes[node].machine.queue {
            self.nodes[node].queue.push_back(query);
        } else {
            self.end(now, node, query, Verdict::Full, 0);
        }
    }

    fn look_again(&mut self, now: Micros, node: usize, ticket: u64, position: Micros, until: Micros) {
        let keeping = self.keeping(node);
        let n = &self.nodes[node];
        let wait = n.copy.until(position, &self.sets[n.set].log, keeping);
        let at = wait.map_or(until, |w| until.min(now + w));
        self.agenda.set(at, Task::Caught(node, ticket));
    }

    fn caught(&mut self, now: Micros, node: usize, ticket: u64) {
        let Some(i) = self.nodes[node].behind.iter().position(|b| b.ticket == ticket) else { return };
        let (query, until) = (self.nodes[node].behind[i].query, self.nodes[node].behind[i].until);
        let position = query.position().unwrap_or(0);
        let fresh = self.position(now, node) >= position;
        if !fresh && now < until {
            return self.look_again(now, node, ticket, position, until);
        }
        self.nodes[node].behind.remove(i);
        if fresh { self.take(now, node, query) } else { self.end(now, node, query, Verdict::Miss, 0) }
    }

    /// Nobody waits for a query any more. True if the member drops it; else it goes on, and its end is said.
    pub fn withdraw(&mut self, now: Micros, node: usize, job: u64) -> bool {
        self.settle(now, node);
        let stops = self.plan.cancel_stops_running;
        let dropped = self.nodes[node].withdraw(job, stops).is_some();
        if dropped {
            self.next(now, node);
        }
        dropped
    }

    // ---- running ----

    fn next_ticket(&mut self) -> u64 {
        self.ticket += 1;
        self.ticket
    }

    fn run(&mut self, now: Micros, node: usize, query: Query) {
        let seen = self.position(now, node);
        let ticket = self.next_ticket();
        if let Some(at) = self.nodes[node].run(now, query, seen, ticket) {
            self.agenda.set(at, Task::Done(node, ticket));
        }
    }

    /// Puts waiting queries on free cores.
    pub(crate) fn next(&mut self, now: Micros, node: usize) {
        while self.nodes[node].works() && self.nodes[node].has_core() {
            let Some(query) = self.nodes[node].queue.pop_front() else { return };
            let primary = self.sets[self.nodes[node].set].primary == Some(node);
            if query.needs == Needs::Primary && !primary {
                self.end(now, node, query, Verdict::Error, 0);
                continue;
            }
            self.run(now, node, query);
        }
    }

    fn done(&mut self, now: Micros, node: usize, ticket: u64) {
        let Some(i) = self.nodes[node].running.iter().position(|r| r.ticket == ticket) else { return };
        self.settle(now, node);
        let done = self.nodes[node].running.remove(i);
        let (set, query) = (self.nodes[node].set, done.query);
        let write = query.needs == Needs::Primary;
        let primary = self.sets[set].primary == Some(node);
        let verdict = if write && !primary {
            Verdict::Error
        } else if happens(&mut self.ends, self.nodes[node].resets) {
            Verdict::Reset
        } else if happens(&mut self.ends, self.nodes[node].lost) {
            Verdict::Lost
        } else {
            Verdict::Answered
        };
        if write && primary {
            let work = self.plan.copying.apply.sample(&mut self.ends);
            self.sets[set].log.commit(now, work);
            self.happened.commits += 1;
        }
        self.end(now, node, query, verdict, if write { now } else { done.seen });
        self.next(now, node);
    }

    pub(crate) fn end(&mut self, now: Micros, node: usize, query: Query, verdict: Verdict, seen: Micros) {
        if verdict == Verdict::Reset {
            self.hang_up(node);
        }
        let primary = self.sets[self.nodes[node].set].primary == Some(node);
        let commit = query.needs == Needs::Primary && verdict == Verdict::Answered;
        let told = self.plan.reports.positions && !commit && self.nodes[node].alive();
        let position = if told { self.position(now, node) } else { seen * commit as Micros };
        self.said.push_back(Said::Ended(Ended { node, job: query.job, verdict, primary, position, seen }));
    }

    // ---- copies ----

    fn keeping(&self, node: usize) -> crate::copy::Keeping {
        let n = &self.nodes[node];
        let live = self.sets[n.set].primary.is_some_and(|p| {
            p != node && self.nodes[p].works() && self.ways.open(self.nodes[p].zone, n.zone)
        });
        let primary = self.sets[n.set].primary == Some(node);
        n.keeping(live, !primary && n.running.iter().any(|r| r.query.blocks))
    }

    /// Brings a member's copy up to date, before anything changes that it depends on.
    pub(crate) fn settle(&mut self, now: Micros, node: usize) {
        let set = self.nodes[node].set;
        if self.sets[set].primary != Some(node) {
            let keeping = self.keeping(node);
            self.nodes[node].copy.settle(now, &self.sets[set].log, keeping);
        }
    }

    pub(crate) fn settle_all(&mut self, now: Micros) {
        (0..self.nodes.len()).for_each(|n| self.settle(now, n));
    }

    /// The time up to which a member has applied all commits.
    pub fn position(&mut self, now: Micros, node: usize) -> Micros {
        let set = self.nodes[node].set;
        if self.sets[set].primary == Some(node) {
            return now;
        }
        self.settle(now, node);
        self.nodes[node].copy.position(&self.sets[set].log)
    }

    // ---- who is primary ----

    /// True while the set's primary does its duty: it runs and reaches most of the other members.
    fn served(&self, set: usize) -> bool {
        let s = &self.sets[set];
        s.primary.is_some_and(|p| self.nodes[p].works() && self.reaches_most(set, p))
    }

    /// True if the ways to at least half of the set's other members are open, there and back.
    fn reaches_most(&self, set: usize, node: usize) -> bool {
        let others = self.sets[set].nodes.iter().filter(|n| **n != node && !self.nodes[**n].gone);
        let (mut all, mut reached) = (0, 0);
        for &other in others {
            let (here, there) = (self.nodes[node].zone, self.nodes[other].zone);
            all += 1;
            reached += (self.ways.open(here, there) && self.ways.open(there, here)) as usize;
        }
        2 * reached >= all
    }

    /// Looks whether the set has a primary, after something has changed.
    pub(crate) fn review(&mut self, now: Micros, set: usize) {
        let absent = !self.served(set);
        let s = &mut self.sets[set];
        if s.primary.is_none() || s.absent == absent {
            return;
        }
        s.absent = absent;
        s.alarm += 1;
        if absent {
            s.left_at = now;
            let alarm = s.alarm;
            let at = now + self.plan.copying.detect.sample(&mut self.dice) as Micros;
            self.agenda.set(at, Task::Detect(set, alarm));
        }
    }

    /// The primary is given up: until another takes over there are no writes.
    fn give_up(&mut self, now: Micros, set: usize, left_at: Micros) {
        let Some(old) = self.sets[set].primary else { return };
        // One that works but is cut off went on until now.
        let left_at = if self.nodes[old].works() { now } else { left_at };
        let nodes = self.sets[set].nodes.clone();
        nodes.iter().for_each(|n| self.settle(now, *n));
        let s = &mut self.sets[set];
        (s.primary, s.last, s.left_at) = (None, old, left_at);
        self.nodes[old].copy = Copy::at(&s.log, left_at, now);
    }

    /// `planned`: the old primary has sent all of its log before it let go.
    fn elect(&mut self, now: Micros, set: usize, alarm: u64, planned: bool) {
        if self.sets[set].alarm != alarm || self.sets[set].primary.is_some() {
            return;
        }
        let nodes = self.sets[set].nodes.clone();
        nodes.iter().for_each(|n| self.settle(now, *n));
        // Whoever has most of the log takes over, if it runs and isn't draining.
        let last = self.sets[set].last;
        let fits = |n: &&usize| self.nodes[**n].works() && self.reaches_most(set, **n);
        let rank = |n: &&usize| {
            (self.nodes[**n].draining == 0, **n != last, self.nodes[**n].copy.heard, usize::MAX - **n)
        };
        let Some(&next) = nodes.iter().filter(fits).max_by_key(rank) else {
            return self.agenda.set(now + SECOND / 2, Task::Elect(set, alarm));
        };
        if planned {
            self.nodes[next].copy.heard = self.nodes[next].copy.heard.max(self.sets[set].left_at);
        }
        let heard = self.nodes[next].copy.heard;
        let s = &mut self.sets[set];
        self.happened.lost_commits += if next == s.last { 0 } else { s.log.cut_after(heard) as u64 };
        (s.primary, s.absent) = (Some(next), false);
        s.alarm += 1;
        self.happened.elections += 1;
        for &n in &nodes {
            self.nodes[n].copy.caught_up_with(&self.sets[set].log);
        }
        let old = self.sets[set].last;
        self.noticed(now, next, Phase::Up, true);
        if self.nodes[old].alive() && old != next {
            let phase = if self.nodes[old].draining > 0 { Phase::Draining } else { Phase::Up };
            self.noticed(now, old, phase, true);
        }
        self.review(now, set);
    }

    /// A primary that drains hands over.
    pub(crate) fn hand_over(&mut self, now: Micros, set: usize) {
        let others =
            self.sets[set].nodes.iter().any(|n| Some(*n) != self.sets[set].primary && self.nodes[*n].works());
        if !others {
            return;
        }
        self.sets[set].alarm += 1;
        let alarm = self.sets[set].alarm;
        self.give_up(now, set, now);
        let at = now + self.plan.copying.switch.sample(&mut self.dice) as Micros;
        self.agenda.set(at, Task::Switch(set, alarm));
    }

    // ---- processes ----

    /// The speed of a member has changed: what runs there ends at other times.
    pub(crate) fn rate_again(&mut self, now: Micros, node: usize) {
        let (ticket, warming) = (&mut self.ticket, &self.plan.warming);
        let due = self.nodes[node].rate_again(now, warming, || {
            *ticket += 1;
            *ticket
        });
        due.into_iter().for_each(|(at, ticket)| self.agenda.set(at, Task::Done(node, ticket)));
        self.next(now, node);
    }

    /// The process dies, and all that it held with it.
    pub(crate) fn die(&mut self, now: Micros, node: usize, fell: bool) {
        self.nodes[node].clear(now);
        self.said.push_back(Said::Died { node, fell });
        self.rate_again(now, node);
        self.review(now, self.nodes[node].set);
    }

    pub(crate) fn start(&mut self, now: Micros, node: usize) {
        self.nodes[node].started = now.max(1);
        self.nodes[node].clear(now);
        self.rate_again(now, node);
        self.agenda.set(now + WARM_STEP, Task::Warm(node, self.nodes[node].started));
        self.said.push_back(Said::Started { node });
        self.review(now, self.nodes[node].set);
    }

    /// It stands still no more: what came meanwhile is read.
    pub(crate) fn thaw(&mut self, now: Micros, node: usize) {
        self.rate_again(now, node);
        for query in std::mem::take(&mut self.nodes[node].unread) {
            self.admit(now, node, query);
        }
        for probe in std::mem::take(&mut self.nodes[node].unread_probes) {
            self.report(node, probe, self.plan.reports.probe_work);
        }
        self.review(now, self.nodes[node].set);
    }

    // ---- what the caller pulls ----

    /// When something happens by itself; ask again after each call.
    pub fn wake_at(&self) -> Option<Micros> {
        if self.said.is_empty() { self.agenda.first() } else { Some(0) }
    }

    /// What is said at `now`. Call with the times of [`Members::wake_at`], in order.
    pub fn next_said(&mut self, now: Micros) -> Option<Said> {
        loop {
            if let Some(said) = self.said.pop_front() {
                return Some(said);
            }
            let (at, task) = self.agenda.take(now)?;
            match task {
                Task::Done(node, ticket) => self.done(at, node, ticket),
                Task::Caught(node, ticket) => self.caught(at, node, ticket),
                Task::Warm(node, started) => {
                    let n = &self.nodes[node];
                    if n.started == started && n.alive() {
                        self.settle(at, node);
                        self.rate_again(at, node);
                        if self.nodes[node].cold(at, &self.plan.warming) {
                            self.agenda.set(at + WARM_STEP, Task::Warm(node, started));
                        }
                    }
                }
                Task::Refresh(node) => self.refresh(at, node),
                Task::Detect(set, alarm) => {
                    if self.sets[set].alarm == alarm && self.sets[set].absent {
                        self.give_up(at, set, self.sets[set].left_at);
                        let wait = self.plan.copying.elect.sample(&mut self.dice) as Micros;
                        self.agenda.set(at + wait, Task::Elect(set, alarm));
                    }
                }
                Task::Elect(set, alarm) => self.elect(at, set, alarm, false),
                Task::Switch(set, alarm) => self.elect(at, set, alarm, true),
                Task::Learn(row) => {
                    self.list.learn(row);
                    self.tell_all(at);
                }
                Task::Tell(router) => self.said.push_back(Said::News { router }),
                Task::Begin(i) => self.begin(at, i),
                Task::End(i) => self.finish(at, i),
                Task::Step(i, node, on) => self.step(at, i, node, on),
            }
        }
    }

    fn refresh(&mut self, now: Micros, node: usize) {
        if self.nodes[node].gone {
            return;
        }
        if self.nodes[node].works() {
            let primary = self.sets[self.nodes[node].set].primary == Some(node);
            self.nodes[node].report = (self.position(now, node), primary);
        }
        self.agenda.set(now + self.plan.reports.refresh.max(1_000), Task::Refresh(node));
    }
}
