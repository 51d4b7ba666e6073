//! Connections to nodes: one command or probe at a time on each, kept and used again, latest first. Nothing is
//! ever written twice here; giving something up closes its connection.

mod answer;
mod job;
mod reading;
mod writing;

use crate::commands::News;
use crate::deadlines::Due;
use crate::ending::{Cause, Failure, Reached, ending, probe_ending};
use crate::keys::{CommandKey, ConnKey, Statement, Work};
use crate::leaving::{Unread, unread};
use crate::reasons::MemberClose;
use crate::transient::{Backoff, is_local, is_transient};
use crate::{Program, tenths};
use answer::{Answer, believed};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use job::Job;
use slotmap::SlotMap;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use vetchkeel::{Ending, Id, Tenths, Told};
use vetchkeel_log::log;
use vetchkeel_pgwire as pgwire;

/// What a node sends behind its answer, or the end, comes within this time. Both are written one after the
/// other, so it does not depend on how far away a node is.
const REST: Tenths = 10;
/// An answer that has begun and stops for this long is not going to be whole.
const STOPPED_SHORT: Tenths = 1_000;
/// Bytes of a connection from its opening, or its rest, to the end of an answer; a value has 64 KiB at most.
const HEARD_MOST: usize = 256 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Dialling,
    /// The startup packet is written, its answer not whole yet.
    Greeting,
    Open,
}

struct Conn {
    node: Id,
    address: SocketAddr,
    stream: Rc<TcpStream>,
    token: Option<RegistrationToken>,
    stage: Stage,
    /// What is still to be written of the startup packet.
    opening: Vec<u8>,
    /// A part of it is written.
    opening_begun: bool,
    retry: Backoff,
    job: Option<Job>,
    input: Vec<u8>,
    /// Reads that found something, and bytes since it last carried nothing.
    reads: u64,
    heard: usize,
    /// Since when it has carried nothing.
    idle_since: Tenths,
}

#[derive(Default)]
struct Member {
    address: Option<SocketAddr>,
    started: Tenths,
    /// Kept connections, the one used last at the end.
    idle: Vec<ConnKey>,
}

pub struct Nodes {
    members: BTreeMap<Id, Member>,
    conns: SlotMap<ConnKey, Conn>,
    /// Those that can be written to, once all that came is heard.
    writable: Vec<ConnKey>,
    dial_limit: Tenths,
    /// How long a kept connection may idle by the settings, and by what the module has learned.
    keep: Tenths,
    idle_most: Tenths,
    probe: Rc<Statement>,
    report_fields: Rc<[String]>,
}

impl Nodes {
    pub fn new(told: &Told) -> Nodes {
        let (members, conns, writable) = (BTreeMap::new(), SlotMap::with_key(), Vec::new());
        let (dial_limit, keep, idle_most) = (0, 0, Tenths::MAX);
        let probe = Rc::new(Statement { wait_at: 0..0, text: Vec::new() });
        let report_fields = Rc::new([]);
        let mut nodes = Nodes { members, conns, writable, dial_limit, keep, idle_most, probe, report_fields };
        nodes.reconfigure(told);
        nodes
    }

    /// For what begins from now on. A kept connection that has idled for too long by now is found so when it is wanted.
    pub fn reconfigure(&mut self, told: &Told) {
        let text = |name: &str| told.get(name).map(String::as_str).unwrap_or_default();
        let probe = if text("report.via") == "probe" { "SHOW load" } else { "SELECT 1" };
        let statement = probe.as_bytes().to_vec();
        self.probe = Rc::new(Statement { wait_at: statement.len()..statement.len(), text: statement });
        self.report_fields = text("report.fields").split(',').map(str::to_owned).collect();
        self.dial_limit = tenths(told, "permissions.dial_timeout_ms", 250.0);
        self.keep = tenths(told, "permissions.conn_idle_ms", 10_000.0) / 2;
        self.idle_most = self.idle_most.min(self.keep);
    }

    pub fn limit_idle(&mut self, learned: Option<Tenths>) {
        self.idle_most = learned.map_or(self.keep, |most| most.min(self.keep));
    }

    pub fn count(&self) -> usize {
        self.conns.len()
    }

    /// Some can be written to.
    pub fn has_writable(&self) -> bool {
        !self.writable.is_empty()
    }

    pub fn keys(&self) -> Vec<ConnKey> {
        self.conns.keys().collect()
    }
}

/// Begins to open a connection.
pub fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        // One that is interrupted goes on.
        Err(e) if !matches!(e.raw_os_error(), Some(libc::EINPROGRESS | libc::EINTR)) => Err(e),
        _ => Ok(socket.into()),
    }
}

/// What a dial that failed so tells.
fn dial_cause(error: &io::Error) -> Cause {
    if is_local(error) { Cause::Local } else { Cause::Broken }
}

impl Conn {
    /// Writes what is left of the startup packet. Danger: the system may take a part of it, and what comes before the rest would
    /// be taken for the greeting. So once a write was short the last byte goes alone, behind a look that finds nothing.
    fn write_opening(&mut self) -> io::Result<()> {
        while !self.opening.is_empty() {
            let last_byte_left = self.opening.len() == 1;
            if last_byte_left && unread(&self.stream)? == Unread::Bytes {
                return Err(ErrorKind::InvalidData.into());
            }
            let held_back = self.opening_begun && !last_byte_left;
            let part = &self.opening[..self.opening.len() - held_back as usize];
            match (&*self.stream).write(part) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => {
                    self.opening.drain(..written);
                    self.opening_begun = true;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// A part of its greeting or of an answer has come, and more has to.
    fn awaits_more(&self) -> bool {
        let answer = self.job.as_ref().is_some_and(|job| job.answer.messages > 0 || !self.input.is_empty());
        answer || (self.stage == Stage::Greeting && self.reads > 0)
    }

    /// Open, and carries something that is not written whole.
    fn unwritten(&self) -> bool {
        let job = self.job.as_ref().filter(|_| self.stage == Stage::Open);
        job.is_some_and(|j| j.reached(self.stage) == Reached::Writing)
    }
}

impl Program {
    pub fn probe(&mut self, node: &Id) {
        let limit_at = self.now + self.nodes.dial_limit;
        self.begin(node, Work::Probe, self.nodes.probe.clone(), limit_at, limit_at);
    }

    /// Puts work on a kept connection, or on one that it begins to open. What is not written whole by `until`
    /// is not written any more.
    pub fn begin(
        &mut self,
        node: &Id,
        work: Work,
        statement: Rc<Statement>,
        limit_at: Tenths,
        until: Tenths,
    ) {
        let (since, wait, answer) = (self.now, None, Answer::default());
        let (idled, written, fields) = (None, 0, self.nodes.report_fields.clone());
        let looked_at = since;
        let job =
            Job { work, statement, wait, since, idled, limit_at, until, fields, written, looked_at, answer };
        while let Some(key) = self.rested(node) {
            self.deadlines.clear(Due::Idle(key));
            let Some(conn) = self.nodes.conns.get_mut(key) else { continue };
            let idled = self.now - conn.idle_since;
            if idled > self.nodes.idle_most {
                self.drop_conn(key, MemberClose::Idle);
                continue;
            }
            // One that has ended meanwhile, or holds bytes nobody asked for, can't be used again.
            let looked_at = self.clock.now();
            match unread(&conn.stream) {
                Ok(Unread::Nothing) => {
                    self.counters.reused += 1;
                    conn.job = Some(Job { idled: Some(idled), looked_at, ..job });
                    self.deadlines.set(Due::Work(key), limit_at.min(until));
                    return self.write_work(key);
                }
                _ => self.drop_conn(key, MemberClose::EndedIdle),
            }
        }
        match self.open_conn(node) {
            Ok(key) => {
                self.counters.dials += 1;
                self.deadlines.set(Due::Work(key), limit_at.min(until));
                self.deadlines.set(Due::Dial(key), self.now + self.nodes.dial_limit);
                self.nodes.conns[key].job = Some(job);
            }
            Err(e) => {
                log!("node {node}: cannot be dialled: {e}");
                let cause = dial_cause(&e);
                self.ended(node.clone(), job, Err(Failure { reached: Reached::Dialling, cause }));
            }
        }
    }

    /// Takes the connection that idles for the shortest time, but for its rest.
    fn rested(&mut self, node: &Id) -> Option<ConnKey> {
        let Nodes { members, conns, .. } = &mut self.nodes;
        let idle = &mut members.get_mut(node)?.idle;
        let resting = |key: &ConnKey| conns.get(*key).is_some_and(|c| self.now - c.idle_since < REST);
        let at = idle.iter().rposition(|key| !resting(key))?;
        Some(idle.remove(at))
    }

    /// Room comes from the connection that idles longest, else from a client in spite of its answer.
    fn free_descriptor(&mut self) -> bool {
        let idle = self.nodes.members.values().filter_map(|m| m.idle.first().copied());
        match idle.min_by_key(|key| self.deadlines.time(Due::Idle(*key))) {
            Some(key) => self.drop_conn(key, MemberClose::GaveWay),
            None => return self.nodes.count() < self.limits.nodes && self.make_room(true),
        }
        true
    }

    fn open_conn(&mut self, node: &Id) -> io::Result<ConnKey> {
        // What was lent to clients is wanted back.
        let lent = self.nodes.count() + self.clients.count() >= self.limits.room;
        let full = self.nodes.count() >= self.limits.nodes || (lent && !self.make_room(false));
        if full && !self.free_descriptor() {
            return Err(io::Error::other("all descriptors for nodes are in use"));
        }
        let address = self.nodes.members.get(node).and_then(|m| m.address);
        let address = address.ok_or_else(|| io::Error::other("no address"))?;
        let dialled = dial(address).or_else(|e| match e.raw_os_error() {
            // The system holds this process to less than it was told.
            Some(libc::EMFILE) if self.free_descriptor() => dial(address),
            _ => Err(e),
        });
        let stream = Rc::new(dialled?);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let (node, input, stage) = (node.clone(), Vec::new(), Stage::Dialling);
        let (token, job, reads, heard, idle_since) = (None, None, 0, 0, self.now);
        let (mut opening, retry) = (Vec::new(), Backoff::default());
        pgwire::startup(&mut opening, "svc", "main");
        let conn = Conn {
            node,
            address,
            stream,
            token,
            stage,
            opening,
            opening_begun: false,
            retry,
            job,
            input,
            reads,
            heard,
            idle_since,
        };
        let key = self.nodes.conns.insert(conn);
        let token = self.handle.insert_source(source, move |ready, _, program: &mut Program| {
            let broken = |p: &mut Program| p.break_conn(key, Cause::Garbled);
            program.guarded("a node's connection", |p| p.conn_event(key, ready.readable), broken);
            Ok(PostAction::Continue)
        });
        match token {
            Ok(token) => self.nodes.conns[key].token = Some(token),
            Err(e) => {
                self.nodes.conns.remove(key);
                return Err(io::Error::other(e.to_string()));
            }
        }
        Ok(key)
    }

    /// The system says that the connection is ready. Danger: a read may be refused for a moment all the same, and
    /// no further event tells of what lies there. So one that should have found something, or more of what
    /// is still awaited, is made again a few times.
    pub fn conn_event(&mut self, key: ConnKey, readable: bool) {
        let before = self.nodes.conns.get(key).map(|c| c.reads);
        self.conn_ready(key);
        let owed = self.nodes.conns.get(key).filter(|c| Some(c.reads) == before || c.awaits_more());
        if readable && owed.is_some_and(|c| !c.retry.is_spent()) {
            self.retry_conn(key);
        }
    }

    fn conn_ready(&mut self, key: ConnKey) {
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        if conn.stage == Stage::Dialling {
            if let Some(e) = conn.stream.take_error().ok().flatten() {
                return self.break_conn(key, dial_cause(&e));
            }
            match conn.write_opening() {
                Ok(()) => conn.stage = Stage::Greeting,
                Err(e) if e.kind() == ErrorKind::NotConnected => return,
                Err(e) if e.kind() == ErrorKind::InvalidData => return self.break_conn(key, Cause::Garbled),
                Err(e) if is_transient(&e) => return self.retry_conn(key),
                Err(_) => return self.break_conn(key, Cause::Broken),
            }
        }
        self.read_conn(key);
        if self.nodes.conns.get(key).is_some_and(Conn::unwritten) {
            self.nodes.writable.push(key);
        }
    }

    /// A system call on the connection failed for a moment. Danger: no event may tell when it succeeds.
    fn retry_conn(&mut self, key: ConnKey) {
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        let at = self.now + conn.retry.wait();
        self.deadlines.set(Due::RetryConn(key), at);
    }

    /// The answer is whole, or the dial has come up with nothing left to carry: the connection is kept.
    fn keep(&mut self, key: ConnKey) {
        self.deadlines.clear(Due::Work(key));
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        let node = conn.node.clone();
        if let Some(job) = conn.job.take() {
            self.ended(node.clone(), job, Ok(()));
        }
        let conn = &mut self.nodes.conns[key];
        (conn.idle_since, conn.heard) = (self.now, 0);
        let (usable, address) = (conn.input.is_empty(), Some(conn.address));
        conn.input.shrink_to(4096);
        match self.nodes.members.get_mut(&node).filter(|m| usable && m.address == address) {
            Some(member) => {
                member.idle.push(key);
                self.deadlines.set(Due::Idle(key), self.now + self.nodes.idle_most);
            }
            None => self.drop_conn(key, MemberClose::LetGo),
        }
    }

    /// Ends a connection; what it carried ends by how far that had come.
    pub fn break_conn(&mut self, key: ConnKey, cause: Cause) {
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        let (node, stage, job) = (conn.node.clone(), conn.stage, conn.job.take());
        self.drop_conn(key, MemberClose::Attempt(cause));
        let Some(job) = job else { return };
        let reached = job.reached(stage);
        // A whole answer counts, whatever became of the connection behind it; so does an error.
        let result = match (job.answer.verdict(), cause) {
            (Ok(()), Cause::Broken | Cause::Limit) if reached == Reached::Written => Ok(()),
            (Err(code @ Cause::Code(_)), Cause::Broken) => Err(Failure { reached, cause: code }),
            _ => Err(Failure { reached, cause }),
        };
        self.ended(node, job, result);
    }

    /// Closes a connection that carries nothing, or whose work has been taken off it.
    pub fn drop_conn(&mut self, key: ConnKey, reason: MemberClose) {
        let Some(conn) = self.nodes.conns.remove(key) else { return };
        self.counters.members_closed.add(reason);
        [Due::Work(key), Due::Dial(key), Due::Idle(key), Due::RetryConn(key)]
            .into_iter()
            .for_each(|due| self.deadlines.clear(due));
        if let Some(member) = self.nodes.members.get_mut(&conn.node) {
            member.idle.retain(|k| *k != key);
        }
        if let Some(token) = conn.token {
            self.handle.remove(token);
        }
    }

    /// Work is over: the module is told at the next turn's start.
    fn ended(&mut self, node: Id, job: Job, result: Result<(), Failure>) {
        let Answer { raw, value, mut note, mut report, .. } = job.answer;
        if job.work == Work::Probe && result.is_ok() && report.position.is_none() {
            let text = std::str::from_utf8(&raw[value]).unwrap_or_default();
            report = answer::report(text, &job.fields);
        }
        (note, report) = believed(&result, note, report);
        let outcome = match result {
            Ok(()) => Ending::Answered,
            Err(failure) => {
                match job.work {
                    Work::Dispatch(key, number) => {
                        let id = self.commands.id(key);
                        log!("command {id}: attempt {number} at {node} ended: {failure}");
                    }
                    Work::Probe => log!("node {node}: Probe ended: {failure}"),
                }
                if job.work == Work::Probe { probe_ending(failure) } else { ending(failure) }
            }
        };
        let asked = job.since;
        let news = match job.work {
            Work::Dispatch(key, dispatch) => News::Dispatch {
                key,
                dispatch,
                node,
                ending: outcome,
                asked,
                idled: job.idled,
                note,
                report,
                answer: raw,
            },
            Work::Probe => {
                // A machine that vanished leaves kept connections open and silent, and resets them once it is back.
                if matches!(outcome, Ending::ConnectFailed | Ending::TimedOut | Ending::Reset) {
                    self.let_go(&node);
                }
                News::Probe { node, ending: outcome, asked, note, report }
            }
        };
        self.news.push_back(news);
    }

    /// Calls off a dispatch that is out; unless `written`, only one that is not written whole.
    pub fn call_off(&mut self, key: CommandKey, dispatch: u32, written: bool) {
        let work = Work::Dispatch(key, dispatch);
        let goes = |j: &Job, at: Stage| j.work == work && (written || j.reached(at) != Reached::Written);
        let carrier = self.nodes.conns.iter().find(|(_, c)| c.job.as_ref().is_some_and(|j| goes(j, c.stage)));
        if let Some((conn, _)) = carrier {
            self.give_up_work(conn, Cause::CalledOff);
        }
    }

    /// What a connection carries that is written whole.
    fn begun_work(&self, key: ConnKey) -> Option<Work> {
        let conn = self.nodes.conns.get(key)?;
        let job = conn.job.as_ref().filter(|job| job.reached(conn.stage) == Reached::Written)?;
        Some(job.work)
    }

    /// A dial goes on without its work, and an open connection that nothing was written to is kept; any other is
    /// closed.
    pub fn give_up_work(&mut self, key: ConnKey, cause: Cause) {
        let before = self.begun_work(key);
        // Danger: an answer that lies there unread says what its member is by now.
        if before.is_some() {
            self.read_conn(key);
            if self.begun_work(key) != before {
                return;
            }
        }
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        let Some(job) = conn.job.take_if(|j| j.wait.is_none()) else {
            let stopped = cause == Cause::Limit
                && conn.job.as_ref().is_some_and(|j| j.begun(conn) && j.answer.verdict().is_err());
            return self.break_conn(key, if stopped { Cause::Garbled } else { cause });
        };
        let (node, open) = (conn.node.clone(), conn.stage == Stage::Open);
        let reached = job.reached(conn.stage);
        self.deadlines.clear(Due::Work(key));
        self.ended(node, job, Err(Failure { reached, cause }));
        if open {
            self.keep(key);
        }
    }

    /// Closes the kept connections to a node.
    pub fn let_go(&mut self, node: &str) {
        let idle = self.nodes.members.get_mut(node).map(|m| std::mem::take(&mut m.idle)).unwrap_or_default();
        idle.into_iter().for_each(|key| self.drop_conn(key, MemberClose::LetGo));
    }

    /// Forgets a node; what runs there may finish.
    pub fn forget_node(&mut self, node: &Id) {
        self.invariants.forgotten(node);
        self.let_go(node);
        self.nodes.members.remove(node);
    }

    /// A list names a member. Kept connections to where it no longer is are closed; what runs may finish.
    pub fn member_told(&mut self, node: &Id, address: Option<SocketAddr>, started: Tenths, gone: bool) {
        let member = self.nodes.members.entry(node.clone()).or_default();
        let moved = address.is_some() && member.address != address;
        let changed = moved || member.started != started || gone;
        member.address = address.or(member.address);
        member.started = started;
        if changed {
            self.let_go(node);
        }
        // Danger: what is not written whole would run at whoever is there now.
        let elsewhere = |c: &Conn| c.node == *node && moved && Some(c.address) != address;
        let asked = |c: &Conn| c.job.as_ref().is_some_and(|j| j.reached(c.stage) == Reached::Written);
        let left = self.nodes.conns.iter().filter(|(_, c)| elsewhere(c) && !asked(c)).map(|(key, _)| key);
        let left: Vec<ConnKey> = left.collect();
        left.into_iter().for_each(|key| self.break_conn(key, Cause::Limit));
    }
}
