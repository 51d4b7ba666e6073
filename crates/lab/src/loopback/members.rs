//! The members' side: they speak PostgreSQL's protocol as the routers know it, and the model says when and what.
//! Work is a matter of time, not of cores: nothing is burnt.

use super::wire::Wire;
use super::{Due, SourceKey, Stage, listen};
use std::net::SocketAddr;
use vetchkeel::Ending;
use vetchkeel_audit::Fate;
use vetchkeel_emulated::{Dialled, Ended, Micros, Needs, Query, Report, Said, Verdict};
use vetchkeel_pgwire as pgwire;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stand {
    /// Before its startup packet, and between that and the welcome.
    Opening,
    Greeting,
    Ready,
    Flight(u64),
    Probe,
}

pub(super) struct MemberConn {
    pub(super) wire: Wire,
    pub(super) router: usize,
    pub(super) place: usize,
    /// The member that took it, with its life then.
    pub(super) by: Option<(usize, u32)>,
    pub(super) stand: Stand,
    /// Its first query pays for the connection.
    pub(super) fresh: bool,
}

/// A dispatch that has reached a member's machine.
pub(super) struct Flight {
    pub(super) conn: u64,
    pub(super) command: u64,
    pub(super) work: f64,
    pub(super) needed: Option<Micros>,
    pub(super) group: usize,
}

impl Stage<'_> {
    /// The listeners of an address, one for each router.
    pub(super) fn open_place(&mut self, place: usize) -> Result<(), String> {
        for router in 0..self.setup.plan.routers.len() {
            let at = self.places[place][router].0;
            let listener = listen(at.unwrap_or("127.0.0.1:0".parse().map_err(|_| "an address")?))?;
            let address = listener.local_addr().map_err(|e| e.to_string())?;
            let token = self.accept_on(listener, SourceKey::Place(router, place))?;
            self.places[place][router] = (Some(address), Some(token));
        }
        Ok(())
    }

    fn close_place(&mut self, place: usize) {
        for router in 0..self.setup.plan.routers.len() {
            if let Some(token) = self.places[place][router].1.take() {
                self.handle.remove(token);
            }
            self.listeners.retain(|(key, _)| *key != SourceKey::Place(router, place));
        }
    }

    pub(super) fn address(&self, router: usize, place: usize) -> SocketAddr {
        self.places[place][router].0.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn way(&mut self, router: usize, node: usize) -> Option<Micros> {
        let (from, to) = (self.setup.plan.routers[router], self.members.zone_of(node));
        self.members.delay(from, to)
    }

    fn way_back(&mut self, router: usize, node: usize) -> Option<Micros> {
        let (from, to) = (self.members.zone_of(node), self.setup.plan.routers[router]);
        self.members.delay(from, to)
    }

    pub(super) fn conn_ready(&mut self, key: u64) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        conn.wire.read(&mut self.scratch);
        conn.wire.flush();
        while self.next_message(key) {}
        if self.conns.get(key).is_some_and(|c| c.wire.ended) {
            self.conn_ended(key, false);
        }
    }

    /// Takes one message of a router; false if there is none to take now.
    fn next_message(&mut self, key: u64) -> bool {
        let Some(conn) = self.conns.get_mut(key) else { return false };
        if conn.stand == Stand::Opening {
            let Ok(Some((_, size))) = pgwire::opening(&conn.wire.input) else { return false };
            conn.wire.input.drain(..size);
            conn.stand = Stand::Greeting;
            let (router, place) = (conn.router, conn.place);
            if let Some(way) = self.way(router, place) {
                self.agenda.set(self.now + way, Due::Dial(key));
            }
            return false;
        }
        if conn.stand != Stand::Ready {
            return false;
        }
        let Ok(Some(message)) = pgwire::message(&conn.wire.input) else { return false };
        let (kind, size) = (message.kind, message.size);
        let statement = pgwire::text(message.body).map(|(text, _)| text.to_vec()).unwrap_or_default();
        conn.wire.input.drain(..size);
        match kind {
            b'Q' => self.statement(key, &statement),
            _ => {
                conn.wire.ended = true;
                return false;
            }
        }
        true
    }

    fn statement(&mut self, key: u64, statement: &[u8]) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let (router, place) = (conn.router, conn.place);
        if statement == b"SHOW load" || statement == b"SELECT 1" {
            conn.stand = Stand::Probe;
            self.tally.sends.probes += 1;
            if let Some(way) = self.way(router, place) {
                self.agenda.set(self.now + way, Due::ProbeReach(key));
            }
            return;
        }
        if pgwire::is_empty(statement) {
            let mut out = Vec::new();
            pgwire::empty_query(&mut out);
            pgwire::ready(&mut out);
            return conn.wire.send(&out);
        }
        let said = pgwire::parse_metadata(statement).ok();
        let number = said.as_ref().and_then(|s| u64::from_str_radix(s.id, 16).ok());
        let fresh = std::mem::replace(&mut conn.fresh, false);
        let known = number.and_then(|n| Some((n, self.tries.get(n)?)));
        let Some((command, tried)) = known else {
            // No client asked for this, or long ago.
            self.strays += 1;
            let mut out = Vec::new();
            pgwire::error(&mut out, false, "08P01", "a statement that no client sent", None);
            pgwire::ready(&mut out);
            return conn.wire.send(&out);
        };
        let group = tried.wish.group;
        let extra = if fresh { self.setup.plan.connections.work } else { 0.0 };
        let session = self.written.get(&(router, tried.wish.session)).copied().unwrap_or(0);
        let needed = self.setup.needed(group, self.now, tried.taken, session);
        let work = tried.wish.work + extra;
        let by = conn.by.map_or(place, |b| b.0);
        let now = self.now;
        if let Some(tried) = self.tries.get_mut(command) {
            (tried.last, tried.dispatches) = (Some((by, now)), tried.dispatches + 1);
        }
        let n = self.flights.push(Flight { conn: key, command, work, needed, group });
        if let Some(conn) = self.conns.get_mut(key) {
            conn.stand = Stand::Flight(n);
        }
        self.tally.sends.dispatches += 1;
        *(if fresh { &mut self.tally.sends.dials } else { &mut self.tally.sends.reused }) += 1;
        self.auditor.sent(self.now, command, by, work);
        match self.way(router, place) {
            Some(way) => self.agenda.set(self.now + way, Due::Reach(n)),
            None => _ = self.flights.remove(n),
        }
    }

    // ---- what is due ----

    pub(super) fn dial_reaches(&mut self, key: u64) {
        let Some(conn) = self.conns.get(key) else { return };
        let (router, place) = (conn.router, conn.place);
        match self.members.dial(place) {
            Dialled::Silent => {}
            Dialled::Refused => self.conn_ended(key, true),
            Dialled::Accepted(by) => {
                let life = self.lives[by];
                if let Some(conn) = self.conns.get_mut(key) {
                    conn.by = Some((by, life));
                }
                if let Some(way) = self.way_back(router, by) {
                    let more = (2.0 * way as f64 * self.setup.plan.connections.handshake) as Micros;
                    self.agenda.set(self.now + way + more, Due::Welcome(key));
                }
            }
        }
    }

    pub(super) fn welcome(&mut self, key: u64) {
        let Some(conn) = self.conns.get_mut(key).filter(|c| c.stand == Stand::Greeting) else { return };
        let mut out = Vec::new();
        pgwire::welcome(&mut out, 0, 1);
        conn.wire.send(&out);
        conn.stand = Stand::Ready;
        while self.next_message(key) {}
    }

    pub(super) fn reach(&mut self, n: u64) {
        let Some(flight) = self.flights.get(n) else { return };
        let (key, group, work, needed) = (flight.conn, flight.group, flight.work, flight.needed);
        let Some((by, life)) = self.conns.get(key).and_then(|c| c.by) else {
            self.flights.remove(n);
            return;
        };
        if self.lives[by] != life {
            if self.members.resident(by).is_some() {
                self.conn_ended(key, true);
            }
            return;
        }
        let needs = match needed {
            _ if self.setup.writes(group) => Needs::Primary,
            Some(position) => Needs::Position(position),
            None => Needs::Nothing,
        };
        let (set, strength) = (self.members.set_of(by), self.members.strength(by));
        self.tally.reached(by, set, strength);
        let blocks = self.setup.plan.groups[group].blocks;
        self.members.query(self.now, by, Query { job: n, group, work, needs, blocks });
    }

    pub(super) fn probe_reaches(&mut self, key: u64) {
        let Some(place) = self.conns.get(key).filter(|c| c.stand == Stand::Probe).map(|c| c.place) else {
            return;
        };
        let number = self.probes.push(key);
        if self.members.probe(place, number) == Dialled::Refused {
            self.conn_ended(key, true);
        }
    }

    fn probed(&mut self, node: usize, probe: u64, report: Report) {
        let Some(key) = self.probes.remove(probe) else { return };
        let Some(router) = self.conns.get(key).map(|c| c.router) else { return };
        if let Some(way) = self.way_back(router, node) {
            self.agenda.set(self.now + way, Due::ProbeAnswer(key, report));
        }
    }

    pub(super) fn probe_answer(&mut self, key: u64, report: Report) {
        let Some(router) = self.conns.get(key).map(|c| c.router) else { return };
        let at = self.unix_ms(router, report.position) / 1e3;
        let Some(conn) = self.conns.get_mut(key).filter(|c| c.stand == Stand::Probe) else { return };
        let mut out = Vec::new();
        pgwire::parameter_status(&mut out, "role", if report.primary { "primary" } else { "replica" });
        pgwire::one_row(&mut out, format!("x0={at:.6},x1={}", report.primary as u8).as_bytes());
        pgwire::ready(&mut out);
        conn.wire.send(&out);
        conn.stand = Stand::Ready;
        while self.next_message(key) {}
    }

    /// The model has said something.
    pub(super) fn hear(&mut self, said: Said) -> Result<(), String> {
        match said {
            Said::Ended(ended) => self.member_ended(ended),
            Said::Probed { node, probe, report } => self.probed(node, probe, report),
            Said::Died { node, .. } => {
                self.lives[node] += 1;
                self.close_place(self.members.place_of(node));
                self.end_all(node);
            }
            Said::Vanished { node } => self.lives[node] += 1,
            Said::Started { node } => {
                self.lives.resize(self.members.count(), 0);
                let (strength, place) = (self.members.strength(node), self.members.place_of(node));
                self.auditor.started(self.now, node, strength);
                // Whoever still holds a connection to the one before is reset now.
                let stale =
                    |c: &MemberConn| c.place == place && c.by.is_none_or(|(by, life)| self.lives[by] != life);
                let old: Vec<u64> = self.conns.iter().filter(|(_, c)| stale(c)).map(|(key, _)| key).collect();
                old.into_iter().for_each(|key| self.conn_ended(key, true));
                if self.places[place].iter().any(|p| p.1.is_none()) {
                    self.open_place(place)?;
                }
            }
            Said::News { router } => {
                self.look_at_list();
                self.list_news(router);
            }
            Said::WatchBroke { router } => {
                let open: Vec<u64> =
                    self.watches.iter().filter(|(_, w)| w.router == router).map(|(k, _)| k).collect();
                open.into_iter().for_each(|key| self.end_watch(key));
            }
            Said::RouterDied { router } => self.router_died(router),
            Said::RouterStarts { router, old_list } => self.start_router(router, old_list)?,
        }
        Ok(())
    }

    fn end_all(&mut self, node: usize) {
        let there: Vec<u64> = self
            .conns
            .iter()
            .filter(|(_, c)| c.by.is_some_and(|b| b.0 == node))
            .map(|(key, _)| key)
            .collect();
        there.into_iter().for_each(|key| self.conn_ended(key, true));
    }

    fn member_ended(&mut self, ended: Ended) {
        let Some(flight) = self.flights.get(ended.job) else { return };
        let (key, command, work, needed) = (flight.conn, flight.command, flight.work, flight.needed);
        let fate = match ended.verdict {
            v if v.untouched() => Fate::Untouched,
            v if v.ran() => Fate::Ran,
            _ => Fate::Open,
        };
        if ended.primary {
            self.auditor.primary(ended.node);
        }
        let slack = super::SLACK;
        let read =
            needed.filter(|_| ended.verdict == Verdict::Answered).map(|needed| (ended.seen + slack, needed));
        self.auditor.ended(self.now, command, ended.node, fate, read);
        if fate == Fate::Ran {
            let (set, strength) = (self.members.set_of(ended.node), self.members.strength(ended.node));
            self.tally.ran(ended.node, set, strength, work);
        }
        let router = self.conns.get(key).map(|c| c.router);
        let way = router.and_then(|r| self.way_back(r, ended.node));
        match (ended.verdict, way) {
            (Verdict::Lost, _) | (_, None) => _ = self.flights.remove(ended.job),
            (Verdict::Reset, Some(_)) => {
                // The model has counted it as closed already.
                self.tally.dispatch_ended(Ending::Reset);
                self.conns.get_mut(key).into_iter().for_each(|c| c.by = None);
                self.conn_ended(key, true);
            }
            (_, Some(way)) => self.agenda.set(self.now + way, Due::Answer(ended.job, Box::new(ended))),
        }
    }

    pub(super) fn answer_goes_out(&mut self, n: u64, ended: &Ended) {
        let Some(flight) = self.flights.remove(n) else { return };
        let key = flight.conn;
        let commit = ended.verdict == Verdict::Answered && self.setup.writes(flight.group);
        let Some(router) = self.conns.get(key).map(|c| c.router) else { return };
        let applied = self.unix_ms(router, ended.position);
        let Some(conn) = self.conns.get_mut(key).filter(|c| c.stand == Stand::Flight(n)) else { return };
        let mut out = Vec::new();
        pgwire::parameter_status(&mut out, "role", if ended.primary { "primary" } else { "replica" });
        if ended.position > 0 {
            // Positions are rounded down, commits up.
            let applied = if commit { applied.ceil() } else { applied.floor() };
            pgwire::parameter_status(&mut out, "applied_ms", &format!("{applied:.0}"));
        }
        match ended.verdict {
            Verdict::Answered => pgwire::one_row(&mut out, format!("{:x}", flight.command).as_bytes()),
            Verdict::Miss if self.setup.writes(flight.group) => {
                pgwire::error(&mut out, false, "25006", "not the primary", None);
            }
            Verdict::Miss => pgwire::error(&mut out, false, "72000", "too far behind", None),
            Verdict::Full => pgwire::error(&mut out, false, "53300", "no room", None),
            _ => pgwire::error(&mut out, false, "XX000", "it may have run", None),
        }
        pgwire::ready(&mut out);
        conn.wire.send(&out);
        conn.stand = Stand::Ready;
        self.tally.dispatch_ended(match ended.verdict {
            Verdict::Answered => Ending::Answered,
            Verdict::Miss => Ending::Miss,
            Verdict::Full => Ending::Full,
            _ => Ending::Error,
        });
        self.auditor.role_reported(router, ended.node, ended.primary);
        if commit
            && self.sessions
            && let Some(tried) = self.tries.get(flight.command)
        {
            let last = self.written.entry((router, tried.wish.session)).or_insert(0);
            *last = ended.position.max(*last);
        }
        while self.next_message(key) {}
    }

    /// A connection has ended: by its router, or (`reset`) by its member.
    pub(super) fn conn_ended(&mut self, key: u64, reset: bool) {
        let Some(conn) = self.conns.remove(key) else { return };
        if let Some(token) = conn.wire.token {
            self.handle.remove(token);
        }
        if reset {
            conn.wire.reset();
        }
        if let Some((by, life)) = conn.by.filter(|(by, life)| self.lives[*by] == *life) {
            let job = if let Stand::Flight(n) = conn.stand { Some(n) } else { None };
            let way = self.way(conn.router, by).unwrap_or(self.setup.plan.connections.idle);
            self.agenda.set(self.now + way, Due::Close(by, life, job));
        }
    }

    /// A member learns that a connection has ended.
    pub(super) fn close_reaches(&mut self, by: usize, life: u32, job: Option<u64>) {
        if self.lives[by] != life {
            return;
        }
        if let Some(job) = job
            && self.members.withdraw(self.now, by, job)
        {
            self.flights.remove(job);
        }
        self.members.hang_up(by);
    }
}
