//! Stand-ins around one router, in one thread: members, discovery's agent and clients, all on 127.0.0.1. Members
//! answer at once; a few listeners stand for all of them, told apart by primary and replica.

use crate::list::{self, Places};
use mio::net::{TcpListener, TcpStream};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, FromRawFd, OwnedFd};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use vetchkeel_pgwire as pg;

const PRIMARIES: usize = 8;
const REPLICAS: usize = 32;
/// An empty line of the agent comes this often.
const BEAT: Duration = Duration::from_secs(2);
/// The agent's listener, and the timer.
const AGENT: usize = PRIMARIES + REPLICAS;
const TIMER: usize = AGENT + 1;
/// A load comes to its rate over so long: all at once it would be a herd of dials, which is not what is measured.
const RISE: Duration = Duration::from_secs(4);
/// The longest wait of the loop, after which `done` is asked again.
const TURN: Duration = Duration::from_millis(20);

/// Statements a second over all sets, at times by chance (Poisson): three in five any read, one a read with a bound,
/// one a write.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub(super) rate: f64,
}

/// A whole list that was told.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListTold {
    pub(super) at: Instant,
    pub(super) bytes: usize,
}

/// Counted since the start.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    pub(super) asked: u64,
    /// Due while every client waited for an answer.
    pub(super) missed: u64,
    pub(super) answered: u64,
    pub(super) failed: u64,
    /// Connections that the router opened to members.
    pub(super) dials: u64,
    pub(super) probes: u64,
    pub(super) lists: Vec<ListTold>,
}

enum Who {
    Member { primary: bool, greeted: bool },
    Agent { asked: bool },
    Client { answered: bool },
}

struct Conn {
    stream: TcpStream,
    who: Who,
    input: Vec<u8>,
    output: Vec<u8>,
    ended: bool,
}

pub(super) struct Stage {
    pub(super) members: usize,
    pub(super) places: Places,
    pub(super) agent: SocketAddr,
    pub(super) router: Option<SocketAddr>,
    load: Option<Load>,
    /// The agent answers and then says nothing more.
    pub(super) agent_silent: bool,
    pub(super) tally: Tally,
    poll: Poll,
    listeners: Vec<TcpListener>,
    timer: OwnedFd,
    conns: BTreeMap<usize, Conn>,
    next: usize,
    /// Clients that wait for a statement. Danger: the router ends one that asks nothing for long, so they take turns.
    idle: VecDeque<usize>,
    due: Instant,
    load_began: Instant,
    beat: Instant,
    /// Begun statements, for their ids.
    begun: u64,
    version: u64,
    chance: WyRand,
    scratch: Box<[u8]>,
}

fn told(e: std::io::Error) -> String {
    e.to_string()
}

fn timer() -> Result<OwnedFd, String> {
    // SAFETY: no pointers; what comes back is a descriptor of our own, or -1.
    let fd = unsafe { libc::timerfd_create(libc::CLOCK_MONOTONIC, libc::TFD_NONBLOCK | libc::TFD_CLOEXEC) };
    if fd < 0 {
        return Err(std::io::Error::last_os_error().to_string());
    }
    // SAFETY: it is open and nobody else's.
    Ok(unsafe { OwnedFd::from_raw_fd(fd) })
}

impl Conn {
    fn read(&mut self, scratch: &mut [u8]) {
        loop {
            match self.stream.read(scratch) {
                Ok(0) => return self.ended = true,
                Ok(count) => self.input.extend_from_slice(&scratch[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.ended = true,
            }
        }
    }

    fn flush(&mut self) {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(count) => drop(self.output.drain(..count)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return,
                Err(_) => return self.ended = true,
            }
        }
    }
}

impl Stage {
    pub(super) fn new(members: usize, seed: u64) -> Result<Stage, String> {
        let poll = Poll::new().map_err(told)?;
        let (mut listeners, mut addresses) = (Vec::new(), Vec::new());
        for at in 0..=AGENT {
            let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).map_err(told)?;
            addresses.push(listener.local_addr().map_err(told)?);
            poll.registry().register(&mut listener, Token(at), Interest::READABLE).map_err(told)?;
            listeners.push(listener);
        }
        let timer = timer()?;
        poll.registry()
            .register(&mut SourceFd(&timer.as_raw_fd()), Token(TIMER), Interest::READABLE)
            .map_err(told)?;
        let places = Places {
            primaries: addresses[..PRIMARIES].to_vec(),
            replicas: addresses[PRIMARIES..AGENT].to_vec(),
        };
        let now = Instant::now();
        Ok(Stage {
            members,
            places,
            agent: addresses[AGENT],
            router: None,
            load: None,
            agent_silent: false,
            tally: Tally::default(),
            poll,
            listeners,
            timer,
            conns: BTreeMap::new(),
            next: TIMER + 1,
            idle: VecDeque::new(),
            due: now,
            load_began: now,
            beat: now + BEAT,
            begun: 0,
            version: 1,
            chance: WyRand::new_seed(seed),
            scratch: vec![0; 64 * 1024].into(),
        })
    }

    pub(super) fn run_for(&mut self, length: Duration) -> Result<(), String> {
        self.run_until(length, |_| false).map(drop)
    }

    /// Goes on until `done`, asked at every turn, or for `most`. Whether it is done.
    pub(super) fn run_until(
        &mut self,
        most: Duration,
        done: impl Fn(&Stage) -> bool,
    ) -> Result<bool, String> {
        let end = Instant::now() + most;
        let mut events = Events::with_capacity(1_024);
        let mut asked = Instant::now();
        loop {
            let now = Instant::now();
            if now >= asked {
                asked = now + TURN;
                if done(self) {
                    return Ok(true);
                }
            }
            if now >= end {
                return Ok(false);
            }
            self.beat_when_due(now);
            self.ask_what_is_due(now);
            self.poll_once(&mut events, asked.min(end))?;
        }
    }

    fn poll_once(&mut self, events: &mut Events, until: Instant) -> Result<(), String> {
        let until = if self.load.is_some() { until.min(self.due) } else { until };
        self.wake_at(until);
        if let Err(e) = self.poll.poll(events, Some(TURN)) {
            return if e.kind() == ErrorKind::Interrupted { Ok(()) } else { Err(told(e)) };
        }
        for event in events.iter() {
            match event.token().0 {
                TIMER => {
                    let mut count = [0u8; 8];
                    // SAFETY: the system writes eight bytes at most.
                    unsafe { libc::read(self.timer.as_raw_fd(), count.as_mut_ptr().cast(), 8) };
                }
                listener if listener <= AGENT => self.accept(listener)?,
                conn => self.ready(conn),
            }
        }
        Ok(())
    }

    /// The loop's own wait counts whole milliseconds, in which several statements would be due.
    fn wake_at(&self, until: Instant) {
        let wait = until.saturating_duration_since(Instant::now()).max(Duration::from_nanos(1));
        let time = libc::timespec { tv_sec: wait.as_secs() as i64, tv_nsec: i64::from(wait.subsec_nanos()) };
        let never = libc::timespec { tv_sec: 0, tv_nsec: 0 };
        let set = libc::itimerspec { it_interval: never, it_value: time };
        // SAFETY: the system reads one itimerspec.
        unsafe { libc::timerfd_settime(self.timer.as_raw_fd(), 0, &set, std::ptr::null_mut()) };
    }

    fn accept(&mut self, at: usize) -> Result<(), String> {
        loop {
            let stream = match self.listeners[at].accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                    continue;
                }
                Err(e) => return Err(format!("a stand-in can't accept: {e}")),
            };
            let who = if at == AGENT {
                Who::Agent { asked: false }
            } else {
                self.tally.dials += 1;
                Who::Member { primary: at < PRIMARIES, greeted: false }
            };
            self.keep(stream, who)?;
        }
    }

    fn keep(&mut self, mut stream: TcpStream, who: Who) -> Result<usize, String> {
        let _ = stream.set_nodelay(true);
        let key = self.next;
        self.next += 1;
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(key), both).map_err(told)?;
        let (input, output) = (Vec::new(), Vec::new());
        self.conns.insert(key, Conn { stream, who, input, output, ended: false });
        Ok(key)
    }

    fn ready(&mut self, key: usize) {
        let Some(mut conn) = self.conns.remove(&key) else { return };
        conn.read(&mut self.scratch);
        match conn.who {
            Who::Member { .. } => self.member(&mut conn),
            Who::Agent { .. } => self.agent(&mut conn),
            Who::Client { .. } => self.client(key, &mut conn),
        }
        conn.flush();
        if conn.ended {
            self.idle.retain(|idle| *idle != key || !matches!(conn.who, Who::Client { .. }));
        } else {
            self.conns.insert(key, conn);
        }
    }

    fn member(&mut self, conn: &mut Conn) {
        let Who::Member { primary, greeted } = &mut conn.who else { return };
        let mut used = 0;
        if !*greeted {
            match pg::opening(&conn.input) {
                Ok(Some((_, size))) => {
                    used = size;
                    *greeted = true;
                    pg::welcome(&mut conn.output, 0, 7);
                }
                Ok(None) => return,
                Err(_) => return conn.ended = true,
            }
        }
        loop {
            let message = match pg::message(&conn.input[used..]) {
                Ok(Some(message)) => message,
                Ok(None) => break,
                Err(_) => return conn.ended = true,
            };
            let (size, kind, body) = (message.size, message.kind, message.body);
            if kind == b'Q' {
                let role = if *primary { "primary" } else { "replica" };
                pg::parameter_status(&mut conn.output, "role", role);
                if body == [0] {
                    pg::empty_query(&mut conn.output);
                } else if body.starts_with(b"SHOW load") {
                    self.tally.probes += 1;
                    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
                    let report = format!("x0={unix:.3},x1={}", u8::from(*primary));
                    pg::one_row(&mut conn.output, report.as_bytes());
                } else {
                    pg::one_row(&mut conn.output, b"value");
                }
                pg::ready(&mut conn.output);
            }
            used += size;
        }
        conn.input.drain(..used);
    }

    /// The whole list to whoever asks for it; an empty line to who asks for changes.
    fn agent(&mut self, conn: &mut Conn) {
        let Who::Agent { asked } = &mut conn.who else { return };
        if *asked || !conn.input.windows(4).any(|w| w == b"\r\n\r\n") {
            return;
        }
        *asked = true;
        let all = conn.input.windows(9).any(|w| w == b"&index=0 ");
        let value = list::whole(self.members, self.version, &self.places).to_string();
        let text = [list::HEAD, &list::chunk(if all { &value } else { "" })].concat();
        if all {
            self.tally.lists.push(ListTold { at: Instant::now(), bytes: text.len() });
        }
        conn.output.extend(text);
    }

    fn beat_when_due(&mut self, now: Instant) {
        if now >= self.beat {
            self.beat = now + BEAT;
            if !self.agent_silent {
                self.tell_watches(&list::chunk(""));
            }
        }
    }

    fn tell_watches(&mut self, bytes: &[u8]) {
        for conn in self.conns.values_mut().filter(|c| matches!(c.who, Who::Agent { asked: true })) {
            conn.output.extend_from_slice(bytes);
            conn.flush();
        }
    }

    /// Tells a change of one row: draining in odd rounds, up again in even ones.
    pub(super) fn change_row(&mut self, at: usize, round: usize) {
        self.version += 1;
        let change = list::change(at, round, self.version, &self.places).to_string();
        self.tell_watches(&list::chunk(&change));
    }

    /// Opens so many clients more, a hundred at a time.
    pub(super) fn clients(&mut self, count: usize) -> Result<(), String> {
        let router = self.router.ok_or("the router's address is not known")?;
        let (mut opened, before) = (0, self.idle.len());
        while opened < count {
            let more = (count - opened).min(100);
            for _ in 0..more {
                let stream = TcpStream::connect(router).map_err(told)?;
                let key = self.keep(stream, Who::Client { answered: false })?;
                let conn = self.conns.get_mut(&key).ok_or("a client")?;
                pg::startup(&mut conn.output, "svc", "main");
            }
            opened += more;
            let ready =
                self.run_until(Duration::from_secs(20), |stage| stage.idle.len() >= before + opened)?;
            if !ready {
                return Err(format!("{} of {opened} clients were let in", self.idle.len()));
            }
        }
        Ok(())
    }

    pub(super) fn client_count(&self) -> usize {
        self.conns.values().filter(|c| matches!(c.who, Who::Client { .. })).count()
    }

    pub(super) fn member_connections(&self) -> usize {
        self.conns.values().filter(|c| matches!(c.who, Who::Member { .. })).count()
    }

    fn client(&mut self, key: usize, conn: &mut Conn) {
        let Who::Client { answered } = &mut conn.who else { return };
        let mut used = 0;
        while let Ok(Some(message)) = pg::node_message(&conn.input[used..]) {
            match message.kind {
                b'D' => {
                    *answered = true;
                    self.tally.answered += 1;
                }
                b'E' => self.tally.failed += 1,
                b'Z' => self.idle.push_back(key),
                _ => {}
            }
            used += message.size;
        }
        conn.input.drain(..used);
    }

    /// From now on statements are asked: the rate rises for [`RISE`], then it stays.
    pub(super) fn begin(&mut self, load: Load) {
        let now = Instant::now();
        (self.load, self.due, self.load_began) = (Some(load), now, now);
    }

    /// Clients ask, a few at a time, until each was answered with a row. False if some were not.
    pub(super) fn ask_each(&mut self) -> Result<bool, String> {
        const AT_ONCE: usize = 20;
        const ROUNDS: usize = 10;
        for _ in 0..ROUNDS {
            let unanswered = |c: &Conn| matches!(c.who, Who::Client { answered: false, .. });
            let clients: Vec<usize> =
                self.conns.iter().filter(|(_, c)| unanswered(c)).map(|(key, _)| *key).collect();
            if clients.is_empty() {
                return Ok(true);
            }
            self.idle.clear();
            for some in clients.chunks(AT_ONCE) {
                let told = self.tally.answered + self.tally.failed + some.len() as u64;
                some.iter().for_each(|key| self.ask(*key));
                let done = |s: &Stage| s.tally.answered + s.tally.failed >= told;
                self.run_until(Duration::from_secs(10), done)?;
            }
        }
        Ok(false)
    }

    fn ask(&mut self, key: usize) {
        let set = self.chance.generate_range(0..(self.members / list::SET) as u64);
        self.begun += 1;
        let id = self.begun;
        let statement = match self.chance.generate_range(0..5u32) {
            0 => format!(
                "INSERT INTO records (k, v) VALUES ('k1', '\\x01') RETURNING v /* id={id},c=order,t=acme,d=2000,cluster={set} */"
            ),
            1 => format!(
                "SELECT v FROM records WHERE k = 'k1' /* id={id},c=near,t=acme,d=2000,cluster={set} */"
            ),
            _ => format!(
                "SELECT v FROM records WHERE k = 'k1' /* id={id},c=look,t=acme,d=2000,cluster={set} */"
            ),
        };
        if let Some(conn) = self.conns.get_mut(&key) {
            self.tally.asked += 1;
            pg::query(&mut conn.output, &statement);
            conn.flush();
        }
    }

    /// Open loop: what is due is asked whatever became of what was asked before.
    fn ask_what_is_due(&mut self, now: Instant) {
        let Some(Load { rate }) = self.load else { return };
        while self.due <= now {
            let risen = (self.due - self.load_began).as_secs_f64() / RISE.as_secs_f64();
            let gap = -(self.chance.generate::<f64>().max(1e-12)).ln() / (rate * risen.clamp(0.05, 1.0));
            self.due += Duration::from_secs_f64(gap);
            match self.idle.pop_front() {
                Some(key) => self.ask(key),
                // Every client waits for an answer.
                None => self.tally.missed += 1,
            }
        }
    }
}
