//! Connections to members. Each connection carries one command or probe at a time and is pooled for reuse (`pool`), the most
//! recently used first. No statement is ever written twice here. Giving up a statement that has begun to be written
//! closes its connection.

mod answer;
mod assigning;
mod barrier;
mod job;
mod pool;
mod reading;
mod writing;

use crate::commands::NodeResult;
use crate::deadlines::Due;
use crate::ending::{Cause, Failure, Reached, ending, probe_ending};
use crate::keys::{CommandKey, ConnKey, Statement, Work};
use crate::leaving::{Unread, unread};
use crate::memory::{HeldBytes, Memory, Owner};
use crate::reasons::MemberClose;
use crate::transient::{Backoff, is_local_failure, is_transient};
use crate::{Program, tenths};
use answer::{Answer, trusted};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use job::Job;
use pool::Availability;
use slotmap::SlotMap;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use vetchkeel::{ConnectionReuse, Ending, Id, SettingValues, Tenths};
use vetchkeel_log::log;
use vetchkeel_pgwire as pgwire;

/// An answer that has begun and then makes no progress for this long is treated as truncated.
const ANSWER_STALL_LIMIT: Tenths = 1_000;
/// Maximum bytes received on a connection from its opening, or from its last idle period, to the end of an answer. A
/// value has 64 KiB at most.
const MAX_RECEIVED_BYTES: usize = 256 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Dialling,
    /// The startup packet is written, but the answer to it is not complete yet.
    Handshake,
    Open,
}

struct Conn {
    node: Id,
    address: SocketAddr,
    stream: Rc<TcpStream>,
    token: Option<RegistrationToken>,
    stage: Stage,
    /// The rest of the startup packet that is still to be written.
    startup_packet: Vec<u8>,
    /// Whether a part of the startup packet has been written.
    startup_begun: bool,
    retry: Backoff,
    job: Option<Job>,
    input: HeldBytes,
    /// Reads that returned data, and bytes received since the connection was last idle.
    reads: u64,
    received: usize,
    /// When the connection was opened or last became idle.
    idle_since: Tenths,
    availability: Availability,
}

#[derive(Default)]
struct Member {
    address: Option<SocketAddr>,
    started: Tenths,
    /// Idle pooled connections, the most recently used at the end. Some may have to wait before they are used again.
    idle: Vec<ConnKey>,
    reuse: ConnectionReuse,
}

/// The members of the router's list and the connections to them.
pub struct Nodes {
    members: BTreeMap<Id, Member>,
    conns: SlotMap<ConnKey, Conn>,
    /// Connections that are ready for writing; they are written once all input of this turn has been processed.
    writable: Vec<ConnKey>,
    dial_limit: Tenths,
    /// The longest idle time of a pooled connection by the settings, and by what the module has learned.
    configured_idle_limit: Tenths,
    idle_limit: Tenths,
    probe: Rc<Statement>,
    report_fields: Rc<[String]>,
}

impl Nodes {
    pub fn new(settings: &SettingValues) -> Nodes {
        let (members, conns, writable) = (BTreeMap::new(), SlotMap::with_key(), Vec::new());
        let (dial_limit, configured_idle_limit, idle_limit) = (0, 0, Tenths::MAX);
        let probe = Rc::new(Statement { wait_at: 0..0, text: HeldBytes::default() });
        let report_fields = Rc::new([]);
        let mut nodes = Nodes {
            members,
            conns,
            writable,
            dial_limit,
            configured_idle_limit,
            idle_limit,
            probe,
            report_fields,
        };
        nodes.reconfigure(settings);
        nodes
    }

    /// Applies new settings to work that begins from now on. A pooled connection that has exceeded the new idle limit is
    /// closed when it is next considered for reuse.
    pub fn reconfigure(&mut self, settings: &SettingValues) {
        let text = |name: &str| settings.get(name).map(String::as_str).unwrap_or_default();
        let probe = if text("report.via") == "probe" { "SHOW load" } else { "SELECT 1" };
        // Not held for a client, so it is not counted.
        let statement = Memory::default().hold(Owner::Statements, probe.into());
        self.probe = Rc::new(Statement { wait_at: statement.len()..statement.len(), text: statement });
        self.report_fields = text("report.fields").split(',').map(str::to_owned).collect();
        self.dial_limit = tenths(settings, "permissions.dial_timeout_ms", 250.0);
        self.configured_idle_limit = tenths(settings, "permissions.conn_idle_ms", 10_000.0) / 2;
        self.idle_limit = self.idle_limit.min(self.configured_idle_limit);
    }

    /// Limits the idle time to what the module has learned, if that is shorter than by the settings.
    pub fn limit_idle(&mut self, learned: Option<Tenths>) {
        self.idle_limit =
            learned.map_or(self.configured_idle_limit, |most| most.min(self.configured_idle_limit));
    }

    pub fn count(&self) -> usize {
        self.conns.len()
    }

    /// The statements of commands that connections carry.
    pub fn command_statements(&self) -> impl Iterator<Item = &Statement> {
        let jobs = self.conns.values().filter_map(|conn| conn.job.as_ref());
        jobs.filter(|job| job.work != Work::Probe).map(|job| &*job.statement)
    }

    /// The bytes received from members, up to the ends of their answers.
    pub fn answer_bytes(&self) -> usize {
        let answer = |conn: &Conn| conn.job.as_ref().map_or(0, |job| job.answer.raw.len());
        self.conns.values().map(|conn| conn.input.len() + answer(conn)).sum()
    }

    /// Whether any connection is ready for writing.
    pub fn has_writable(&self) -> bool {
        !self.writable.is_empty()
    }

    pub fn keys(&self) -> Vec<ConnKey> {
        self.conns.keys().collect()
    }
}

/// Starts a non-blocking connect.
pub fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        // An interrupted connect continues in the background.
        Err(e) if !matches!(e.raw_os_error(), Some(libc::EINPROGRESS | libc::EINTR)) => Err(e),
        _ => Ok(socket.into()),
    }
}

/// Classifies a failed dial: a fault of this machine or of the connection.
fn dial_cause(error: &io::Error) -> Cause {
    if is_local_failure(error) { Cause::Local } else { Cause::Broken }
}

impl Conn {
    /// Writes the rest of the startup packet. Danger: the system may accept only a part of it, and bytes that arrive before
    /// the rest is written would be read as the answer to it. So after a short write the last byte is written separately,
    /// right after a check that nothing is unread.
    fn write_startup(&mut self) -> io::Result<()> {
        while !self.startup_packet.is_empty() {
            let last_byte_left = self.startup_packet.len() == 1;
            if last_byte_left && unread(&self.stream)? == Unread::Bytes {
                return Err(ErrorKind::InvalidData.into());
            }
            let held_back = self.startup_begun && !last_byte_left;
            let part = &self.startup_packet[..self.startup_packet.len() - held_back as usize];
            match (&*self.stream).write(part) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => {
                    self.startup_packet.drain(..written);
                    self.startup_begun = true;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Whether a part of the startup answer, of a query's answer or of a barrier's has arrived and the rest is still to come.
    fn awaits_more(&self) -> bool {
        let answer = self.job.as_ref().is_some_and(|job| job.answer.messages > 0 || !self.input.is_empty());
        let barrier = self.has_barrier() && !self.input.is_empty();
        answer || barrier || (self.stage == Stage::Handshake && self.reads > 0)
    }

    /// Whether nothing may arrive now: no answer and no barrier is awaited.
    fn expects_nothing(&self) -> bool {
        let awaits_answer = self.job.is_some() && !self.has_unwritten_work();
        self.stage == Stage::Open && !awaits_answer && !self.has_barrier()
    }

    /// Whether the connection is ready for a statement, and carries one that is not completely written.
    fn has_unwritten_work(&self) -> bool {
        let job = self.job.as_ref().filter(|_| self.stage == Stage::Open && !self.has_barrier());
        job.is_some_and(|j| j.reached(self.stage) == Reached::Writing)
    }
}

impl Program {
    fn open_conn(&mut self, node: &Id) -> io::Result<ConnKey> {
        // Clients may use descriptors that are reserved for members while these are free; they are reclaimed here.
        let at_limit = self.nodes.count() + self.clients.count() >= self.limits.room;
        let full = self.nodes.count() >= self.limits.nodes || (at_limit && !self.make_room(false));
        if full && !self.free_descriptor() {
            return Err(io::Error::other("all descriptors for nodes are in use"));
        }
        let address = self.nodes.members.get(node).and_then(|m| m.address);
        let address = address.ok_or_else(|| io::Error::other("no address"))?;
        let dialled = dial(address).or_else(|e| match e.raw_os_error() {
            // The system allows this process fewer descriptors than its limits assume.
            Some(libc::EMFILE) if self.free_descriptor() => dial(address),
            _ => Err(e),
        });
        let stream = Rc::new(dialled?);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let (node, input, stage) = (node.clone(), self.memory.buffer(Owner::Answers), Stage::Dialling);
        let (token, job, reads, received, idle_since) = (None, None, 0, 0, self.now);
        let (mut startup_packet, retry) = (Vec::new(), Backoff::default());
        pgwire::startup(&mut startup_packet, "svc", "main");
        let conn = Conn {
            node,
            address,
            stream,
            token,
            stage,
            startup_packet,
            startup_begun: false,
            retry,
            job,
            input,
            reads,
            received,
            idle_since,
            availability: Availability::Ready,
        };
        let key = self.nodes.conns.insert(conn);
        let token = self.handle.insert_source(source, move |ready, _, program: &mut Program| {
            program.polls.count_event();
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

    /// Handles a readiness event of a connection. Danger: a read may still fail transiently, and with edge-triggered polling
    /// no further event reports the unread data. So a read that returned nothing, or that left an answer incomplete, is
    /// retried a few times.
    pub fn conn_event(&mut self, key: ConnKey, readable: bool) {
        let before = self.nodes.conns.get(key).map(|c| c.reads);
        self.conn_ready(key);
        let incomplete = self.nodes.conns.get(key).filter(|c| Some(c.reads) == before || c.awaits_more());
        if readable && incomplete.is_some_and(|c| !c.retry.is_at_maximum()) {
            self.retry_conn(key);
        }
    }

    fn conn_ready(&mut self, key: ConnKey) {
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        if conn.stage == Stage::Dialling {
            if let Some(e) = conn.stream.take_error().ok().flatten() {
                return self.break_conn(key, dial_cause(&e));
            }
            match conn.write_startup() {
                Ok(()) => conn.stage = Stage::Handshake,
                Err(e) if e.kind() == ErrorKind::NotConnected => return,
                Err(e) if e.kind() == ErrorKind::InvalidData => return self.break_conn(key, Cause::Garbled),
                Err(e) if is_transient(&e) => return self.retry_conn(key),
                Err(_) => return self.break_conn(key, Cause::Broken),
            }
        }
        self.read_conn(key);
        if self.nodes.conns.get(key).is_some_and(Conn::has_unwritten_work) {
            self.nodes.writable.push(key);
        }
    }

    /// Schedules a retry of a system call that failed transiently. Danger: there may be no event when it would succeed.
    fn retry_conn(&mut self, key: ConnKey) {
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        let at = self.now + conn.retry.next_delay();
        self.deadlines.set(Due::RetryConn(key), at);
    }

    /// Closes a connection and reports how its work ended, which depends on how far the work had come.
    pub fn break_conn(&mut self, key: ConnKey, cause: Cause) {
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        let (node, stage, job) = (conn.node.clone(), conn.stage, conn.job.take());
        self.drop_conn(key, MemberClose::Attempt(cause));
        let Some(job) = job else { return };
        if job.can_move() && matches!(cause, Cause::Broken | Cause::Garbled) {
            return self.move_work(&node, job);
        }
        let reached = job.reached(stage);
        // A complete answer counts, and so does an error, even if the connection failed after it.
        let result = match (job.answer.outcome(), cause) {
            (Ok(()), Cause::Broken | Cause::Limit) if reached == Reached::Written => Ok(()),
            (Err(code @ Cause::Code(_)), Cause::Broken) => Err(Failure { reached, cause: code }),
            _ => Err(Failure { reached, cause }),
        };
        self.queue_outcome(node, job, result);
    }

    /// Closes a connection that carries no work, or whose work has been removed from it.
    pub fn drop_conn(&mut self, key: ConnKey, reason: MemberClose) {
        let Some(conn) = self.nodes.conns.remove(key) else { return };
        self.counters.members_closed.add(reason);
        self.end_barrier(&conn, reason);
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

    /// Queues the outcome of finished work; the module receives it at the start of the next turn.
    fn queue_outcome(&mut self, node: Id, job: Job, result: Result<(), Failure>) {
        let Answer { raw, value, mut note, mut report, .. } = job.answer;
        if job.work == Work::Probe && result.is_ok() && report.position.is_none() {
            let text = std::str::from_utf8(&raw[value]).unwrap_or_default();
            report = answer::report(text, &job.fields);
        }
        (note, report) = trusted(&result, note, report);
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
            Work::Dispatch(key, dispatch) => NodeResult::Dispatch {
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
                // A machine that disappears leaves pooled connections open without a reply, and resets them once it is back.
                if matches!(outcome, Ending::ConnectFailed | Ending::TimedOut | Ending::Reset) {
                    self.close_idle_conns(&node);
                }
                NodeResult::Probe { node, ending: outcome, asked, note, report }
            }
        };
        self.results.push_back(news);
    }

    /// Cancels a dispatch that is in flight. Unless `written` is set, only one that is not completely written.
    pub fn call_off(&mut self, key: CommandKey, dispatch: u32, written: bool) {
        let work = Work::Dispatch(key, dispatch);
        let matches = |j: &Job, at: Stage| j.work == work && (written || j.reached(at) != Reached::Written);
        let carrier =
            self.nodes.conns.iter().find(|(_, c)| c.job.as_ref().is_some_and(|j| matches(j, c.stage)));
        if let Some((conn, _)) = carrier {
            self.give_up_work(conn, Cause::CalledOff);
        }
    }

    /// The work of a connection, if its statement is completely written.
    fn written_work(&self, key: ConnKey) -> Option<Work> {
        let conn = self.nodes.conns.get(key)?;
        let job = conn.job.as_ref().filter(|job| job.reached(conn.stage) == Reached::Written)?;
        Some(job.work)
    }

    /// Handles a connection that has not become ready for its work in time. An open one may still become ready for other work.
    pub fn handle_dial_timeout(&mut self, key: ConnKey) {
        if self.nodes.conns.get(key).is_some_and(|conn| conn.stage == Stage::Open) {
            self.give_up_work(key, Cause::DialLimit);
        } else {
            self.break_conn(key, Cause::DialLimit);
        }
    }

    /// Removes the work from a connection. A connection that is still dialling continues without it, and an open one that
    /// nothing was written to is pooled. Any other connection is closed.
    pub fn give_up_work(&mut self, key: ConnKey, cause: Cause) {
        let before = self.written_work(key);
        // Danger: an answer that has arrived but is still unread shows the current state of its member, so it is read first.
        if before.is_some() {
            self.read_conn(key);
            if self.written_work(key) != before {
                return;
            }
        }
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        let Some(job) = conn.job.take_if(|j| j.wait.is_none()) else {
            let stopped = cause == Cause::Limit
                && conn.job.as_ref().is_some_and(|j| j.answer_begun(conn) && j.answer.outcome().is_err());
            return self.break_conn(key, if stopped { Cause::Garbled } else { cause });
        };
        let (node, open) = (conn.node.clone(), conn.stage == Stage::Open);
        let reached = job.reached(conn.stage);
        self.deadlines.clear(Due::Work(key));
        self.queue_outcome(node, job, Err(Failure { reached, cause }));
        if open {
            self.pool_conn(key);
        }
    }

    /// Removes a member. Statements that are in flight there may finish.
    pub fn forget_node(&mut self, node: &Id) {
        self.invariants.remove_member(node);
        self.close_idle_conns(node);
        self.nodes.members.remove(node);
    }

    /// Updates a member from a member list. If its address or its start time has changed, or it is gone, its pooled
    /// connections are closed. Completely written statements may finish.
    pub fn update_member(&mut self, node: &Id, address: Option<SocketAddr>, started: Tenths, gone: bool) {
        let member = self.nodes.members.entry(node.clone()).or_default();
        let moved = address.is_some() && member.address != address;
        let changed = moved || member.started != started || gone;
        member.address = address.or(member.address);
        member.started = started;
        if changed {
            self.close_idle_conns(node);
            if let Some(member) = self.nodes.members.get_mut(node) {
                member.reuse = ConnectionReuse::default();
            }
        }
        // Danger: a statement that is not completely written yet would run on whichever server now has the old address.
        let elsewhere = |c: &Conn| c.node == *node && moved && Some(c.address) != address;
        let written = |c: &Conn| c.job.as_ref().is_some_and(|j| j.reached(c.stage) == Reached::Written);
        let abandoned =
            self.nodes.conns.iter().filter(|(_, c)| elsewhere(c) && !written(c)).map(|(key, _)| key);
        let abandoned: Vec<ConnKey> = abandoned.collect();
        abandoned.into_iter().for_each(|key| self.break_conn(key, Cause::Limit));
    }
}
