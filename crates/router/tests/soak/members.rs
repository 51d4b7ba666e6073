//! Sets of a primary and replicas on loopback, whose faults a test switches on and off.

use super::common::history::{History, Need};
use super::common::{code, parameter, read_packet, ready, row};
use super::ledger::{Delivered, Ledger};
use super::proxy::{Link, ProxyFaults};
use socket2::SockRef;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SETS: usize = 3;
pub const OF_A_SET: usize = 3;
pub const MEMBERS: usize = SETS * OF_A_SET;
/// How far behind a replica is that applies.
const LAG: Duration = Duration::from_millis(20);

/// What is wrong with a member just now.
#[derive(Default)]
pub struct Faults {
    /// Takes work and answers nothing; probes are answered with the report from before.
    pub hung: AtomicBool,
    /// Answers so much later, in milliseconds.
    pub slow: AtomicU64,
    /// Resets connections under requests.
    pub resets: AtomicBool,
    /// Its process is down: whoever connects is reset.
    pub down: AtomicBool,
    /// Turns all away, as it drains.
    pub drains: AtomicBool,
    /// New connections come up so much later, in milliseconds.
    pub late: AtomicU64,
    /// Answers are spoilt.
    pub garbles: AtomicBool,
}

pub struct Member {
    pub number: usize,
    /// Its own; routers know those of their proxies before it.
    pub address: SocketAddr,
    pub way: ProxyFaults,
    pub faults: Faults,
    history: Mutex<History>,
    /// When the report was made that it hands on while it hangs.
    report_made: Mutex<Option<Instant>>,
    /// Whose its connections are, by the port that they come from.
    links: Mutex<HashMap<u16, Arc<Link>>>,
    clock: (Instant, Duration),
    ledger: Arc<Ledger>,
}

impl Member {
    pub fn start(number: usize, ledger: Arc<Ledger>) -> Arc<Member> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        let member = Arc::new(Member {
            number,
            address: listener.local_addr().expect("bound"),
            way: ProxyFaults::default(),
            faults: Faults::default(),
            history: Mutex::new(History::new(LAG)),
            report_made: Mutex::default(),
            links: Mutex::default(),
            clock: (Instant::now(), unix),
            ledger,
        });
        if number.is_multiple_of(OF_A_SET) {
            member.history().become_primary(member.clock.0);
        }
        let serving = member.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let member = serving.clone();
                let serve = move || _ = member.serve(stream);
                let _ = thread::Builder::new().stack_size(256 * 1024).spawn(serve);
            }
        });
        member
    }

    pub fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub fn is_primary(&self) -> bool {
        self.history().is_primary(Instant::now())
    }

    /// It applies nothing for as long.
    pub fn pauses(&self, span: Duration) {
        self.history().pause(Instant::now());
        thread::sleep(span);
        self.history().resume(Instant::now());
    }

    /// A proxy has opened a router's connection from there.
    pub fn connected(&self, from: SocketAddr, link: Arc<Link>) {
        self.links.lock().expect("no panic").insert(from.port(), link);
    }

    /// A router has been handed an answer that calls it a replica.
    pub fn replica_role_sent(&self, router: usize, computed_at: Instant) {
        self.history().replica_role_sent(router, computed_at, Instant::now());
    }

    fn unix_ms(&self, at: Instant) -> u128 {
        (self.clock.1 + (at - self.clock.0)).as_millis()
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(40))).ok()?;
        if self.faults.down.load(Relaxed) {
            return reset(&stream);
        }
        thread::sleep(Duration::from_millis(self.faults.late.load(Relaxed)));
        read_packet(&mut stream, true)?;
        stream.write_all(&[&b"R\0\0\0\x08\0\0\0\0"[..], &ready()].concat()).ok()?;
        loop {
            let (kind, body) = std::panic::catch_unwind(|| read_packet(&mut &stream, false)).ok()??;
            let statement = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            if kind != b'Q' || self.faults.down.load(Relaxed) {
                return reset(&stream);
            }
            let answer =
                if statement == "SHOW load" { self.report() } else { self.execute(&statement, &stream)? };
            stream.write_all(&answer).ok()?;
        }
    }

    fn report(&self) -> Vec<u8> {
        let made = self.report_made();
        let history = self.history();
        let position = self.unix_ms(history.position(made));
        let primary = history.is_primary(made) as u8;
        [row(&format!("x0={}.{:03},x1={primary}", position / 1000, position % 1000)), ready()].concat()
    }

    /// It hangs, or works again.
    pub fn hang(&self, hangs: bool) {
        *self.report_made.lock().expect("no panic") = hangs.then(Instant::now);
        self.faults.hung.store(hangs, Relaxed);
    }

    fn report_made(&self) -> Instant {
        self.report_made.lock().expect("no panic").unwrap_or_else(Instant::now)
    }

    /// The answer to a command; None where the connection ends instead.
    fn execute(&self, statement: &str, stream: &TcpStream) -> Option<Vec<u8>> {
        let (_, comment) = statement.split_once("/* ")?;
        let field = |name: &str| {
            let pairs = comment.split([',', ' ']).filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(found, _)| *found == name).map(|(_, value)| value.to_owned())
        };
        let (id, told) = (field("id")?, field("d")?.parse().ok()?);
        let link = self.links.lock().expect("no panic").get(&stream.peer_addr().ok()?.port())?.clone();
        let arrived = link.last_byte();
        let stale = self.history().stale(link.router, arrived, Need::MaxAge(self.ledger.bound));
        let (told, drains) = (Duration::from_millis(told), self.faults.drains.load(Relaxed));
        let number = self.ledger.delivered(&id, Delivered { member: self.number, told, stale, drains });
        let write = statement.starts_with("INSERT");
        if drains {
            return Some([code("53300"), ready()].concat());
        }
        if self.faults.resets.load(Relaxed) && id.len().is_multiple_of(2) {
            return reset(stream).map(|()| Vec::new());
        }
        if write && !self.is_primary() {
            return Some([self.note(), code("25006"), ready()].concat());
        }
        thread::sleep(Duration::from_millis(2 + self.faults.slow.load(Relaxed)));
        self.ledger.runs(&id, self.number);
        while self.faults.hung.load(Relaxed) {
            thread::sleep(Duration::from_millis(20));
        }
        let value = if self.faults.garbles.load(Relaxed) {
            b"D\0\0\0\x05x".to_vec()
        } else {
            row(&format!("{number}:{}", "v".repeat(if id.ends_with('7') { 50_000 } else { 1 })))
        };
        Some([self.note(), value, ready()].concat())
    }

    /// Role and position, as they are now.
    fn note(&self) -> Vec<u8> {
        let (now, history) = (Instant::now(), self.history());
        let role = if history.is_primary(now) { "primary" } else { "replica" };
        let applied = self.unix_ms(history.position(now)).to_string();
        [parameter("role", role), parameter("applied_ms", &applied)].concat()
    }
}

/// Ends a connection with a reset.
fn reset(stream: &TcpStream) -> Option<()> {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    None
}
