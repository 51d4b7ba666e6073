//! A set of one primary and replicas on loopback: replicas stop applying for a while, the primary is handed over, and
//! answers are held back on some connections. Each delivery of a bounded read is judged as the operators' protocol page
//! has it, by what the member had applied as the read's last byte came.

use super::common::draw::Draw;
use super::common::history::{History, Need};
use super::common::{code, parameter, read_packet, ready, row, since_last_byte};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How far behind a replica is that applies.
const LAG: Duration = Duration::from_millis(5);
/// How long a member works on a command.
const WORK: Duration = Duration::from_millis(2);
/// A report is made anew so often, and handed on until then.
const REPORT_PERIOD: Duration = Duration::from_millis(200);
/// The one router beside the cluster.
const ROUTER: usize = 0;
/// A set without a primary, between two of them.
const HANDOVER: Duration = Duration::from_millis(30);

pub struct Member {
    pub address: SocketAddr,
    history: Mutex<History>,
    /// Since when it takes work and answers nothing; its probes are answered with the report from before.
    hangs_since: Mutex<Option<Instant>>,
}

impl Member {
    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub fn pause(&self) {
        self.history().pause(Instant::now());
    }

    pub fn go_on(&self) {
        self.history().go_on(Instant::now());
    }

    fn hangs_since(&self) -> Option<Instant> {
        *self.hangs_since.lock().expect("no panic")
    }

    fn hang(&self, since: Option<Instant>) {
        *self.hangs_since.lock().expect("no panic") = since;
    }

    fn wait_until_it_works(&self) {
        while self.hangs_since().is_some() {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// What the cluster is like.
#[derive(Clone, Copy, Debug, Default)]
pub struct Habits {
    /// How old a bounded read's data may be.
    pub bound: Duration,
    /// Answers are held back by up to this on seven connections in ten, each by its own time.
    pub held_back: Duration,
    /// Every answer tells a position, not those of writes alone.
    pub tells_position: bool,
    /// It is the position of when the command was taken, in a pause that of its beginning; else of when it is answered.
    pub position_as_taken: bool,
    /// A connection's greeting tells the role as well.
    pub greets_with_role: bool,
}

pub struct Cluster {
    pub members: Vec<Arc<Member>>,
    habits: Habits,
    clock: (Instant, Duration),
    /// What reads have to see, by id; when writes were committed, by id; deliveries whose data broke the rule, by value.
    needs: Mutex<HashMap<String, Need>>,
    commits: Mutex<HashMap<String, Instant>>,
    last_commit: Mutex<Option<Instant>>,
    deliveries: Mutex<HashMap<String, Option<Duration>>>,
    pub at_replicas: AtomicU64,
    connections: AtomicU64,
}

impl Cluster {
    /// The first member is the primary.
    pub fn start(count: usize, habits: Habits) -> Arc<Cluster> {
        let listeners: Vec<_> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
        let member = |listener: &TcpListener| {
            Arc::new(Member {
                address: listener.local_addr().expect("bound"),
                history: Mutex::new(History::new(LAG)),
                hangs_since: Mutex::default(),
            })
        };
        let members: Vec<_> = listeners.iter().map(member).collect();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        let clock = (Instant::now(), unix);
        members[0].history().begin_reign(clock.0);
        let cluster = Arc::new(Cluster {
            members,
            habits,
            clock,
            needs: Mutex::default(),
            commits: Mutex::default(),
            last_commit: Mutex::default(),
            deliveries: Mutex::default(),
            at_replicas: AtomicU64::new(0),
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

    /// The primary becomes a replica that does not apply for a while; another takes over.
    pub fn hand_over(&self, from: usize, to: usize) {
        let old = &self.members[from];
        let now = Instant::now();
        let mut history = old.history();
        history.end_reign(now);
        history.pause(now);
        drop(history);
        thread::sleep(HANDOVER);
        self.members[to].history().begin_reign(Instant::now());
    }

    /// The primary hangs: nothing is committed and nobody applies until another is elected. It comes back as a replica that
    /// applies after a while.
    pub fn hang(&self, primary: usize, to: usize, detected: Duration, lasts: Duration, catches_up: Duration) {
        let (old, now) = (&self.members[primary], Instant::now());
        old.hang(Some(now));
        old.history().end_reign(now);
        self.members.iter().for_each(|member| member.pause());
        thread::sleep(detected);
        self.members[to].history().begin_reign(Instant::now());
        let others = self.members.iter().enumerate().filter(|(at, _)| *at != primary && *at != to);
        others.for_each(|(_, member)| member.go_on());
        thread::sleep(lasts.saturating_sub(detected));
        old.hang(None);
        thread::sleep(catches_up);
        old.go_on();
    }

    /// The primary stands still for a while, its position too.
    pub fn stand_still(&self, primary: usize, lasts: Duration) {
        self.members[primary].hang(Some(Instant::now()));
        thread::sleep(lasts);
        self.members[primary].hang(None);
    }

    /// A read is about to be sent that has to see this.
    pub fn expect(&self, id: &str, need: Need) {
        self.needs.lock().expect("no panic").insert(id.to_owned(), need);
    }

    /// When the write was committed that the client has been told of.
    pub fn commit(&self, id: &str) -> Option<Instant> {
        self.commits.lock().expect("no panic").get(id).copied()
    }

    /// The last commit so far.
    pub fn last_commit(&self) -> Option<Instant> {
        *self.last_commit.lock().expect("no panic")
    }

    /// How old the data of an answer was, by the value that it had, if that breaks the rule.
    pub fn stale(&self, value: &str) -> Option<Duration> {
        self.deliveries.lock().expect("no panic").remove(value).flatten()
    }

    fn unix_ms(&self, at: Instant) -> f64 {
        (self.clock.1 + (at - self.clock.0)).as_secs_f64() * 1_000.0
    }

    fn serve(&self, member: &Member, mut stream: TcpStream) -> Option<()> {
        let mut draw = Draw::new(self.connections.fetch_add(1, Relaxed) + 1);
        draw.below(1);
        let held = draw.below(self.habits.held_back.as_millis() as u64 + 1);
        let held = Duration::from_millis(if draw.below(10) < 7 { held } else { 0 });
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(60))).ok()?;
        read_packet(&mut stream, true)?;
        self.greet(member, &mut stream)?;
        loop {
            let (_, body) = std::panic::catch_unwind(|| read_packet(&mut &stream, false)).ok()??;
            let arrived = Instant::now() - since_last_byte(&stream);
            let statement = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            let (answer, replica) = self.answer(member, &statement, arrived);
            thread::sleep(held);
            stream.write_all(&answer).ok()?;
            if let Some(worked_out) = replica {
                member.history().tells_replica(ROUTER, worked_out, Instant::now());
            }
        }
    }

    fn greet(&self, member: &Member, stream: &mut TcpStream) -> Option<()> {
        let (now, told) = (Instant::now(), self.habits.greets_with_role);
        let primary = member.history().is_primary(now);
        let role = parameter("role", if primary { "primary" } else { "replica" });
        let role = if told { role } else { Vec::new() };
        stream.write_all(&[&b"R\0\0\0\x08\0\0\0\0"[..], &role, &ready()].concat()).ok()?;
        if told && !primary {
            member.history().tells_replica(ROUTER, now, Instant::now());
        }
        Some(())
    }

    /// The answer, and when it was worked out if it calls the member a replica.
    fn answer(&self, member: &Member, statement: &str, arrived: Instant) -> (Vec<u8>, Option<Instant>) {
        if statement == "SHOW load" {
            let now = Instant::now();
            let periods = (now - self.clock.0).as_micros() / REPORT_PERIOD.as_micros();
            let made = self.clock.0 + REPORT_PERIOD * periods as u32;
            let made = member.hangs_since().map_or(made, |since| made.min(since - REPORT_PERIOD / 4));
            let history = member.history();
            let (position, primary) = (history.position(made), history.is_primary(made));
            let report = format!("x0={:.4},x1={}", self.unix_ms(position) / 1_000.0, primary as u8);
            return ([row(&report), ready()].concat(), (!primary).then_some(made));
        }
        let id = statement.split_once("id=").and_then(|(_, rest)| rest.split(',').next()).unwrap_or_default();
        let read = !statement.contains("c=order");
        if read {
            let need = self.needs.lock().expect("no panic").get(id).copied();
            let stale = need.and_then(|need| member.history().stale(ROUTER, arrived, need));
            let replica = !member.history().is_primary(arrived);
            self.at_replicas.fetch_add(replica as u64, Relaxed);
            self.deliveries.lock().expect("no panic").insert(format!("{id}@{}", member.address), stale);
        }
        let taken = member.hangs_since().unwrap_or(arrived);
        thread::sleep(WORK);
        member.wait_until_it_works();
        let (now, history) = (Instant::now(), member.history());
        let primary = history.is_primary(now);
        if !read && primary {
            self.commits.lock().expect("no panic").insert(id.to_owned(), now);
            *self.last_commit.lock().expect("no panic") = Some(now);
        }
        let as_of = if self.habits.position_as_taken && read { taken } else { now };
        let position = self.unix_ms(history.position(as_of));
        let position = if read { position.floor() } else { position.ceil() };
        let role = parameter("role", if primary { "primary" } else { "replica" });
        let tells = self.habits.tells_position || (!read && primary);
        let position = if tells { parameter("applied_ms", &format!("{position:.0}")) } else { Vec::new() };
        let body = if read || primary { row(&format!("{id}@{}", member.address)) } else { code("25006") };
        ([role, position, body, ready()].concat(), (!primary).then_some(now))
    }
}
