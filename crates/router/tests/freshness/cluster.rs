//! A simulated database set of one primary and replicas on loopback: replicas pause applying, the primary role is handed over,
//! and answers are delayed on some connections. Each delivery of a read is checked by the rules of the operators' protocol
//! page, against what the member had applied when the last byte of the read arrived.

use super::common::draw::Rng;
use super::common::history::{History, Need};
use super::common::{
    empty_query_answer, error_response, parameter, read_packet, ready, row, since_last_byte,
};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Replication lag of a replica that applies changes.
const LAG: Duration = Duration::from_millis(5);
/// How long a member takes to execute a command.
const EXECUTION_TIME: Duration = Duration::from_millis(2);
/// Probe reports are computed once in this period and repeated in between.
const REPORT_PERIOD: Duration = Duration::from_millis(200);
/// The number of the only router that uses the cluster.
const ROUTER: usize = 0;
/// How long a set has no primary during a handover.
const HANDOVER: Duration = Duration::from_millis(30);

/// One member of the cluster.
pub struct Member {
    pub address: SocketAddr,
    history: Mutex<History>,
    /// Since when the member has been hung: it accepts commands without answering them, and answers probes with an older report.
    hung_since: Mutex<Option<Instant>>,
}

impl Member {
    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub fn pause(&self) {
        self.history().pause(Instant::now());
    }

    pub fn resume(&self) {
        self.history().resume(Instant::now());
    }

    fn hung_since(&self) -> Option<Instant> {
        *self.hung_since.lock().expect("no panic")
    }

    fn hang(&self, since: Option<Instant>) {
        *self.hung_since.lock().expect("no panic") = since;
    }

    fn wait_while_hung(&self) {
        while self.hung_since().is_some() {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// How the cluster behaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClusterOptions {
    /// The staleness bound of bounded reads.
    pub bound: Duration,
    /// Answers are delayed by up to this on seven connections in ten; each connection has a delay of its own.
    pub max_answer_delay: Duration,
    /// Every answer carries a position, not only the answers to writes.
    pub position_in_every_answer: bool,
    /// The position is the one at the receipt of the command, or at the start of a hang; otherwise the one at the answer.
    pub position_at_receipt: bool,
    /// The startup reply of a connection carries the role as well.
    pub role_in_greeting: bool,
}

/// The members of a set, and the record by which their reads are checked.
pub struct Cluster {
    pub members: Vec<Arc<Member>>,
    options: ClusterOptions,
    /// The start of the cluster, by the monotonic clock and as Unix time.
    clock: (Instant, Duration),
    /// Freshness requirements of reads by id; commit times of writes by id; and for each delivery, by the value that it was
    /// answered with, the age of its data if that violates the requirement.
    requirements: Mutex<HashMap<String, Need>>,
    commits: Mutex<HashMap<String, Instant>>,
    last_commit: Mutex<Option<Instant>>,
    deliveries: Mutex<HashMap<String, Option<Duration>>>,
    pub reads_at_replicas: AtomicU64,
    connections: AtomicU64,
}

impl Cluster {
    /// Starts a cluster whose first member is the primary.
    pub fn start(count: usize, options: ClusterOptions) -> Arc<Cluster> {
        let listeners: Vec<_> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
        let member = |listener: &TcpListener| {
            Arc::new(Member {
                address: listener.local_addr().expect("bound"),
                history: Mutex::new(History::new(LAG)),
                hung_since: Mutex::default(),
            })
        };
        let members: Vec<_> = listeners.iter().map(member).collect();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        let clock = (Instant::now(), unix);
        members[0].history().become_primary(clock.0);
        let cluster = Arc::new(Cluster {
            members,
            options,
            clock,
            requirements: Mutex::default(),
            commits: Mutex::default(),
            last_commit: Mutex::default(),
            deliveries: Mutex::default(),
            reads_at_replicas: AtomicU64::new(0),
            connections: AtomicU64::new(0),
        });
        for (number, listener) in listeners.into_iter().enumerate() {
            let cluster = cluster.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let cluster = cluster.clone();
                    thread::spawn(move || cluster.serve(&cluster.members[number], stream));
                }
            });
        }
        cluster
    }

    /// Makes the primary a replica that applies nothing for a while; another member takes over.
    pub fn hand_over(&self, from: usize, to: usize) {
        let old = &self.members[from];
        let now = Instant::now();
        let mut history = old.history();
        history.step_down(now);
        history.pause(now);
        drop(history);
        thread::sleep(HANDOVER);
        self.members[to].history().become_primary(Instant::now());
    }

    /// Hangs the primary: nothing is committed or applied until another member is elected. Afterwards the old primary is a
    /// replica that resumes applying after `catch_up_time`.
    pub fn hang(
        &self,
        primary: usize,
        to: usize,
        detection_time: Duration,
        duration: Duration,
        catch_up_time: Duration,
    ) {
        let (old, now) = (&self.members[primary], Instant::now());
        old.hang(Some(now));
        old.history().step_down(now);
        self.members.iter().for_each(|member| member.pause());
        thread::sleep(detection_time);
        self.members[to].history().become_primary(Instant::now());
        let others = self.members.iter().enumerate().filter(|(at, _)| *at != primary && *at != to);
        others.for_each(|(_, member)| member.resume());
        thread::sleep(duration.saturating_sub(detection_time));
        old.hang(None);
        thread::sleep(catch_up_time);
        old.resume();
    }

    /// Freezes the primary for a while; its reported position stays the same.
    pub fn freeze(&self, primary: usize, duration: Duration) {
        self.members[primary].hang(Some(Instant::now()));
        thread::sleep(duration);
        self.members[primary].hang(None);
    }

    /// Records the freshness requirement of a read that is about to be sent.
    pub fn require(&self, id: &str, need: Need) {
        self.requirements.lock().expect("no panic").insert(id.to_owned(), need);
    }

    /// When the write with this id was committed.
    pub fn commit(&self, id: &str) -> Option<Instant> {
        self.commits.lock().expect("no panic").get(id).copied()
    }

    /// The time of the last commit.
    pub fn last_commit(&self) -> Option<Instant> {
        *self.last_commit.lock().expect("no panic")
    }

    /// The age of the data in the answer with this value, if it violates the read's requirement.
    pub fn stale(&self, value: &str) -> Option<Duration> {
        self.deliveries.lock().expect("no panic").remove(value).flatten()
    }

    fn unix_ms(&self, at: Instant) -> f64 {
        (self.clock.1 + (at - self.clock.0)).as_secs_f64() * 1_000.0
    }

    fn serve(&self, member: &Member, mut stream: TcpStream) -> Option<()> {
        let mut rng = Rng::new(self.connections.fetch_add(1, Relaxed) + 1);
        rng.below(1);
        let answer_delay = rng.below(self.options.max_answer_delay.as_millis() as u64 + 1);
        let answer_delay = Duration::from_millis(if rng.below(10) < 7 { answer_delay } else { 0 });
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(60))).ok()?;
        read_packet(&mut stream, true)?;
        self.greet(member, &mut stream)?;
        loop {
            let (_, body) = std::panic::catch_unwind(|| read_packet(&mut &stream, false)).ok()??;
            let arrived_at = Instant::now() - since_last_byte(&stream);
            let statement = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            if statement.is_empty() {
                stream.write_all(&empty_query_answer()).ok()?;
                continue;
            }
            let (answer, replica) = self.answer(member, &statement, arrived_at);
            thread::sleep(answer_delay);
            stream.write_all(&answer).ok()?;
            if let Some(computed_at) = replica {
                member.history().replica_role_sent(ROUTER, computed_at, Instant::now());
            }
        }
    }

    fn greet(&self, member: &Member, stream: &mut TcpStream) -> Option<()> {
        let (now, sends_role) = (Instant::now(), self.options.role_in_greeting);
        let primary = member.history().is_primary(now);
        let role = parameter("role", if primary { "primary" } else { "replica" });
        let role = if sends_role { role } else { Vec::new() };
        stream.write_all(&[&b"R\0\0\0\x08\0\0\0\0"[..], &role, &ready()].concat()).ok()?;
        if sends_role && !primary {
            member.history().replica_role_sent(ROUTER, now, Instant::now());
        }
        Some(())
    }

    /// The answer, and when it was computed if it carries the replica role.
    fn answer(&self, member: &Member, statement: &str, arrived_at: Instant) -> (Vec<u8>, Option<Instant>) {
        if statement == "SHOW load" {
            let now = Instant::now();
            let periods = (now - self.clock.0).as_micros() / REPORT_PERIOD.as_micros();
            let computed_at = self.clock.0 + REPORT_PERIOD * periods as u32;
            let computed_at =
                member.hung_since().map_or(computed_at, |since| computed_at.min(since - REPORT_PERIOD / 4));
            let history = member.history();
            let (position, primary) = (history.position(computed_at), history.is_primary(computed_at));
            let report = format!("x0={:.4},x1={}", self.unix_ms(position) / 1_000.0, primary as u8);
            return ([row(&report), ready()].concat(), (!primary).then_some(computed_at));
        }
        let id = statement.split_once("id=").and_then(|(_, rest)| rest.split(',').next()).unwrap_or_default();
        let read = !statement.contains("c=order");
        if read {
            let need = self.requirements.lock().expect("no panic").get(id).copied();
            let stale = need.and_then(|need| member.history().stale(ROUTER, arrived_at, need));
            let replica = !member.history().is_primary(arrived_at);
            self.reads_at_replicas.fetch_add(replica as u64, Relaxed);
            self.deliveries.lock().expect("no panic").insert(format!("{id}@{}", member.address), stale);
        }
        let received_at = member.hung_since().unwrap_or(arrived_at);
        thread::sleep(EXECUTION_TIME);
        member.wait_while_hung();
        let (now, history) = (Instant::now(), member.history());
        let primary = history.is_primary(now);
        if !read && primary {
            self.commits.lock().expect("no panic").insert(id.to_owned(), now);
            *self.last_commit.lock().expect("no panic") = Some(now);
        }
        let as_of = if self.options.position_at_receipt && read { received_at } else { now };
        let position = self.unix_ms(history.position(as_of));
        let position = if read { position.floor() } else { position.ceil() };
        let role = parameter("role", if primary { "primary" } else { "replica" });
        let sends_position = self.options.position_in_every_answer || (!read && primary);
        let position =
            if sends_position { parameter("applied_ms", &format!("{position:.0}")) } else { Vec::new() };
        let body =
            if read || primary { row(&format!("{id}@{}", member.address)) } else { error_response("25006") };
        ([role, position, body, ready()].concat(), (!primary).then_some(now))
    }
}
