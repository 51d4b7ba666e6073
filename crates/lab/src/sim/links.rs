//! Dispatches and probes on their way between routers and members, and the connections that carry them.

use super::*;
use vetchkeel::{AnswerNote, DispatchEnd, ProbeEnd, Report};

impl Sim<'_> {
    fn way(&mut self, router: usize, node: usize) -> Option<Micros> {
        let (from, to) = (self.setup.plan.routers[router], self.members.zone_of(node));
        self.members.delay(from, to)
    }

    fn way_back(&mut self, router: usize, node: usize) -> Option<Micros> {
        let (from, to) = (self.members.zone_of(node), self.setup.plan.routers[router]);
        self.members.delay(from, to)
    }

    // ---- dispatches ----

    pub(super) fn dispatch(
        &mut self,
        router: usize,
        command: u64,
        node: usize,
        limit: Micros,
        until: Micros,
    ) {
        self.tally.sends.dispatches += 1;
        let keep = self.setup.plan.connections.idle / 2;
        let mut conn = None;
        while let Some(idle) = self.pools.pop(router, node) {
            if idle.since + keep > self.now {
                conn = Some(idle);
                break;
            }
            self.close(node, idle);
        }
        let now = self.now;
        let Some(tried) = self.tries.get_mut(command) else { return };
        tried.out += 1;
        tried.last = Some((node, now));
        let flight = Flight {
            router,
            command,
            dispatch: tried.flights.len() as u32,
            node,
            conn,
            stage: Stage::Dialling,
            decided: self.now,
            written: 0,
            until,
            idled: conn.map(|c| self.now - c.since),
            work: tried.wish.work,
            needed: None,
            open: true,
            at_member: false,
        };
        let n = self.flights.push(flight);
        tried.flights.push(n);
        self.agenda.set(self.now + limit.max(1), Event::Limit(n));
        if conn.is_some() {
            self.tally.sends.reused += 1;
            return self.write(n);
        }
        self.tally.sends.dials += 1;
        if let Some(way) = self.way(router, node) {
            self.agenda.set(self.now + way, Event::Dial(n));
        }
        self.agenda.set(self.now + self.setup.plan.connections.dial_timeout, Event::DialLimit(n));
    }

    pub(super) fn dial_reaches(&mut self, n: u64) {
        let Some(flight) = self.flights.get(n) else { return };
        let (router, node) = (flight.router, flight.node);
        match self.members.dial(node) {
            Dialled::Silent => {}
            Dialled::Refused => {
                if let Some(way) = self.way_back(router, node) {
                    self.agenda.set(self.now + way, Event::Refused(n));
                }
            }
            Dialled::Accepted(by) => {
                let handshake = self.setup.plan.connections.handshake;
                match (self.way_back(router, by), self.flights.get(n).filter(|f| f.open)) {
                    (Some(way), Some(_)) => {
                        let more = (2.0 * way as f64 * handshake) as Micros;
                        self.agenda.set(self.now + way + more, Event::Opened(n, by));
                    }
                    _ => self.members.hang_up(by),
                }
            }
        }
    }

    pub(super) fn opened(&mut self, n: u64, by: usize) {
        let life = self.lives[by];
        let conn = Conn { by, life, since: self.now };
        let Some(flight) = self.flights.get_mut(n).filter(|f| f.open) else {
            return self.members.hang_up(by);
        };
        flight.conn = Some(conn);
        let (router, node, command, until) = (flight.router, flight.node, flight.command, flight.until);
        let dispatch = flight.dispatch;
        flight.work += self.setup.plan.connections.work;
        let command_complete = self.tries.get(command).is_none_or(|t| t.ended);
        let decider = self.hosts[router].decider.as_ref();
        let may = decider.is_some_and(|d| d.may_write(clock(self.now), &format!("{command:x}"), dispatch));
        if command_complete || !may || self.now > until {
            if let Some(flight) = self.flights.get_mut(n) {
                flight.conn = None;
            }
            self.keep(router, node, conn);
            return self.end_flight(n, Ending::NeverSent, None);
        }
        self.write(n);
    }

    fn write(&mut self, n: u64) {
        let Some(flight) = self.flights.get_mut(n) else { return };
        (flight.stage, flight.written) = (Stage::Written, self.now);
        let (router, node, command) = (flight.router, flight.node, flight.command);
        let Some(tried) = self.tries.get(command) else { return };
        let session = self.written.get(&(router, tried.wish.session)).copied().unwrap_or(0);
        let needed = self.setup.needed(tried.wish.group, self.now, tried.taken, session);
        if let Some(flight) = self.flights.get_mut(n) {
            flight.needed = needed;
        }
        if let Some(way) = self.way(router, node) {
            self.agenda.set(self.now + way, Event::Reach(n));
        }
    }

    /// A query has reached the member at the other end of its connection, if that is still there.
    pub(super) fn reach(&mut self, n: u64) {
        let Some(flight) = self.flights.get_mut(n) else { return };
        let Some(conn) = flight.conn else { return };
        let (by, router, command, written, work) =
            (conn.by, flight.router, flight.command, flight.written, flight.work);
        if self.lives[by] != conn.life {
            // The process is another one now, or whoever has the address knows nothing of this connection.
            if self.members.resident(by).is_some()
                && let Some(way) = self.way_back(router, by)
            {
                self.agenda.set(self.now + way, Event::Broken(n));
            }
            return;
        }
        flight.at_member = true;
        let needed = flight.needed;
        let Some(tried) = self.tries.get(command) else { return };
        let group = tried.wish.group;
        let needs = match needed {
            _ if self.setup.writes(group) => Needs::Primary,
            Some(position) => Needs::Position(position),
            None => Needs::Nothing,
        };
        let (set, strength) = (self.members.set_of(by), self.members.strength(by));
        self.tally.reached(by, set, strength);
        self.auditor.sent(written, command, by, work);
        let blocks = self.setup.plan.groups[group].blocks;
        self.members.query(self.now, by, Query { job: n, group, work, needs, blocks });
    }

    /// An answer has reached its router.
    pub(super) fn back(&mut self, n: u64, ended: Ended) {
        let Some(flight) = self.flights.get(n).filter(|f| f.open) else { return };
        let (router, command) = (flight.router, flight.command);
        self.auditor.role_reported(router, ended.node, ended.primary);
        let ending = match ended.verdict {
            Verdict::Answered => Ending::Answered,
            Verdict::Error => Ending::Error,
            Verdict::Miss => Ending::Miss,
            Verdict::Full => Ending::Full,
            Verdict::Lost | Verdict::Reset => return,
        };
        if ending == Ending::Answered {
            let write = self.tries.get(command).filter(|t| self.setup.writes(t.wish.group));
            if let (true, Some(tried)) = (self.sessions, write) {
                let last = self.written.entry((router, tried.wish.session)).or_insert(0);
                *last = ended.position.max(*last);
            }
        }
        self.end_flight(n, ending, Some(ended));
    }

    pub(super) fn limit(&mut self, n: u64) {
        let Some(flight) = self.flights.get(n).filter(|f| f.open) else { return };
        let ending = if flight.stage == Stage::Written { Ending::TimedOut } else { Ending::NeverSent };
        self.end_flight(n, ending, None);
    }

    /// A dispatch has ended for its router: the module is told, and the connection kept or given up.
    pub(super) fn end_flight(&mut self, n: u64, ending: Ending, ended: Option<Ended>) {
        let Some(flight) = self.flights.get_mut(n).filter(|f| f.open) else { return };
        flight.open = false;
        let (router, node, command, dispatch) = (flight.router, flight.node, flight.command, flight.dispatch);
        let (conn, took, idled) = (flight.conn, self.now - flight.decided, flight.idled);
        self.tally.dispatch_ended(ending);
        match (conn, ended) {
            (Some(conn), Some(_)) => {
                if let Some(flight) = self.flights.get_mut(n) {
                    flight.conn = None;
                }
                self.keep(router, node, Conn { since: self.now, ..conn });
            }
            (Some(_), None) if ending != Ending::Reset => {
                let way = self.way(router, node).unwrap_or(self.setup.plan.connections.idle);
                self.agenda.set(self.now + way, Event::Close(n));
            }
            _ => {}
        }
        if ending == Ending::Answered {
            self.answer(command, Final::Answered, 0);
        }
        let command_complete = self.tries.get(command).is_none_or(|t| t.ended);
        // What members tell is told by their clocks; a router's may be ahead of them or behind.
        let ahead = self.members.clock_ahead(router);
        let note = ended.map_or(AnswerNote::default(), |e| {
            // Positions are told in whole milliseconds, rounded down, and commits up.
            let up = if e.verdict == Verdict::Answered && self.is_write(command) { 999 } else { 0 };
            let position =
                if e.position > 0 { clock((e.position + up).div_euclid(1_000) * 1_000 - ahead) } else { 0 };
            AnswerNote { primary: Some(e.primary), position }
        });
        let end = DispatchEnd {
            dispatch,
            ending,
            took: took / 100,
            idled: idled.map(|i| i / 100),
            command_complete,
            note,
            report: Report::default(),
        };
        self.tell(router, |decider, now| decider.dispatch_ended(now, &format!("{command:x}"), end));
        self.forget_flight(n);
        self.pull(router);
    }

    fn is_write(&self, command: u64) -> bool {
        self.tries.get(command).is_some_and(|t| self.setup.writes(t.wish.group))
    }

    /// A flight is forgotten once neither side has anything of it.
    pub(super) fn forget_flight(&mut self, n: u64) {
        let Some(flight) = self.flights.get(n).filter(|f| !f.open && !f.at_member) else { return };
        if flight.conn.is_some() {
            // Its connection is still to be closed.
            return;
        }
        let command = flight.command;
        self.flights.remove(n);
        if let Some(tried) = self.tries.get_mut(command) {
            tried.out -= 1;
        }
        self.forget_try(command, false);
    }

    /// A member learns that nobody waits for a query any more: its connection has ended.
    pub(super) fn withdraw(&mut self, n: u64) {
        let Some(flight) = self.flights.get_mut(n) else { return };
        let Some(conn) = flight.conn.take() else { return };
        if self.lives[conn.by] == conn.life {
            if flight.at_member && self.members.withdraw(self.now, conn.by, n) {
                flight.at_member = false;
            }
            self.members.hang_up(conn.by);
        } else {
            flight.at_member = false;
        }
        self.forget_flight(n);
    }

    /// A router has died: its dispatches are nobody's, its connections end.
    pub(super) fn drop_flight(&mut self, n: u64) {
        if let Some(flight) = self.flights.get_mut(n) {
            flight.open = false;
        }
        self.withdraw(n);
        self.forget_flight(n);
    }

    // ---- connections ----

    fn keep(&mut self, router: usize, node: usize, conn: Conn) {
        if self.hosts[router].decider.is_none() {
            return self.close(node, conn);
        }
        if self.pools.keep(router, node, conn) {
            let at = self.now + self.setup.plan.connections.idle / 2;
            self.agenda.set(at, Event::Idle(router, node));
        }
    }

    pub(super) fn close(&mut self, _node: usize, conn: Conn) {
        if self.lives[conn.by] == conn.life {
            self.members.hang_up(conn.by);
        }
    }

    /// Connections that have idled long enough are closed.
    pub(super) fn thin_out(&mut self, router: usize, node: usize) {
        let keep = self.setup.plan.connections.idle / 2;
        let (old, oldest) = self.pools.older(router, node, self.now - keep);
        old.into_iter().for_each(|conn| self.close(node, conn));
        if let Some(since) = oldest {
            self.agenda.set(since + keep, Event::Idle(router, node));
        }
    }

    /// A member's process has ended. Where it died, routers see their connections reset; where the machine vanished,
    /// they see nothing.
    pub(super) fn connections_end(&mut self, node: usize, told: bool) {
        let there: Vec<(u64, usize, bool)> = self
            .flights
            .iter()
            .filter(|(_, f)| f.conn.is_some_and(|c| c.by == node))
            .map(|(n, f)| (n, f.router, f.open))
            .collect();
        for (n, router, open) in there {
            if let Some(flight) = self.flights.get_mut(n) {
                flight.at_member = false;
                if !open {
                    flight.conn = None;
                }
            }
            if let (true, true, Some(way)) = (told, open, self.way_back(router, node)) {
                self.agenda.set(self.now + way, Event::Broken(n));
            }
            self.forget_flight(n);
        }
        if told {
            // Idle connections are reset as well, and routers close them.
            for router in 0..self.hosts.len() {
                drop(self.pools.take_all(router, node));
            }
        }
    }

    // ---- probes ----

    pub(super) fn send_probe(&mut self, router: usize, node: usize) {
        self.tally.sends.probes += 1;
        let (life, sent) = (self.hosts[router].life, self.now);
        let n = self.probes.push(Probe { router, life, node, sent, done: false });
        if let Some(way) = self.way(router, node) {
            self.agenda.set(self.now + way, Event::ProbeReach(n));
        }
        let at = self.now + self.setup.plan.connections.dial_timeout;
        self.agenda.set(at, Event::ProbeFailed(n, Ending::TimedOut));
    }

    pub(super) fn probe_reaches(&mut self, n: u64) {
        let Some(probe) = self.probes.get(n).filter(|p| !p.done) else { return };
        let (router, node) = (probe.router, probe.node);
        if self.members.probe(node, n) == Dialled::Refused
            && let Some(way) = self.way_back(router, node)
        {
            self.agenda.set(self.now + way, Event::ProbeFailed(n, Ending::ConnectFailed));
        }
    }

    pub(super) fn probed(&mut self, node: usize, probe: u64, report: emulated::Report) {
        let Some(router) = self.probes.get(probe).map(|p| p.router) else { return };
        if let Some(way) = self.way_back(router, node) {
            self.agenda.set(self.now + way, Event::ProbeBack(probe, report));
        }
    }

    pub(super) fn probe_back(&mut self, n: u64, ending: Ending, report: Option<emulated::Report>) {
        let Some(probe) = self.probes.get_mut(n) else { return };
        let (router, node, life, sent) = (probe.router, probe.node, probe.life, probe.sent);
        if ending == Ending::TimedOut {
            // The last that is heard of it.
            let done = self.probes.remove(n).is_none_or(|p| p.done);
            if done {
                return;
            }
        } else if std::mem::replace(&mut probe.done, true) {
            return;
        }
        if self.hosts[router].life != life {
            return;
        }
        let ahead = self.members.clock_ahead(router);
        let report = report.map_or(Report::default(), |r| Report {
            primary: Some(r.primary),
            position: Some(clock(r.position.div_euclid(1_000) * 1_000 - ahead)),
        });
        let name = self.names[node].clone();
        let end = ProbeEnd { ending, took: (self.now - sent) / 100, primary: None, report };
        self.tell(router, |decider, now| decider.probe_ended(now, &name, end));
        self.pull(router);
    }
}
