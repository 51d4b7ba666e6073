//! Simulated members on loopback, in sets of a primary and replicas, with faults that the test switches on and off.

use super::common::history::{History, Need};
use super::common::{empty_query_answer, error_response, parameter, read_packet, ready, row};
use super::ledger::{DeliveryInfo, Ledger};
use super::proxy::{Connection, ProxyFaults};
use socket2::SockRef;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SETS: usize = 3;
pub const MEMBERS_PER_SET: usize = 3;
pub const MEMBERS: usize = SETS * MEMBERS_PER_SET;
/// Replication lag of a replica that applies changes.
const LAG: Duration = Duration::from_millis(20);

/// The faults that a member currently has.
#[derive(Default)]
pub struct Faults {
    /// Accepts commands without answering them; probes are answered with the report from before the hang.
    pub hung: AtomicBool,
    /// The delay of command execution, in milliseconds.
    pub slow: AtomicU64,
    /// Resets connections in reply to some commands.
    pub resets: AtomicBool,
    /// The member is down: connections are reset.
    pub down: AtomicBool,
    /// Rejects all commands because it is draining, unless it serves them all the same.
    pub draining: AtomicBool,
    pub serves_while_draining: AtomicBool,
    /// The delay before the startup of a new connection, in milliseconds.
    pub connect_delay: AtomicU64,
    /// Answers are malformed.
    pub malformed: AtomicBool,
}

/// A simulated member.
pub struct Member {
    pub number: usize,
    /// Its own address; routers know it by the addresses of their proxies.
    pub address: SocketAddr,
    pub proxy_faults: ProxyFaults,
    pub faults: Faults,
    history: Mutex<History>,
    /// When the report was computed that is repeated during a hang.
    report_made_at: Mutex<Option<Instant>>,
    /// Its proxied connections, by the port that they come from.
    connections: Mutex<HashMap<u16, Arc<Connection>>>,
    /// The start of the member, by the monotonic clock and as Unix time.
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
            proxy_faults: ProxyFaults::default(),
            faults: Faults::default(),
            history: Mutex::new(History::new(LAG)),
            report_made_at: Mutex::default(),
            connections: Mutex::default(),
            clock: (Instant::now(), unix),
            ledger,
        });
        if number.is_multiple_of(MEMBERS_PER_SET) {
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

    /// Applies no changes for this long.
    pub fn pause_for(&self, span: Duration) {
        self.history().pause(Instant::now());
        thread::sleep(span);
        self.history().resume(Instant::now());
    }

    /// A proxy has opened a connection for a router, from this address.
    pub fn connected(&self, from: SocketAddr, connection: Arc<Connection>) {
        self.connections.lock().expect("no panic").insert(from.port(), connection);
    }

    /// A router has received an answer with the replica role.
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
        thread::sleep(Duration::from_millis(self.faults.connect_delay.load(Relaxed)));
        read_packet(&mut stream, true)?;
        stream.write_all(&[&b"R\0\0\0\x08\0\0\0\0"[..], &ready()].concat()).ok()?;
        loop {
            let (kind, body) = std::panic::catch_unwind(|| read_packet(&mut &stream, false)).ok()??;
            let statement = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            if kind != b'Q' || self.faults.down.load(Relaxed) {
                return reset(&stream);
            }
            let answer = match statement.as_str() {
                "" => empty_query_answer(),
                "SHOW load" => self.report(),
                command => self.execute(command, &stream)?,
            };
            stream.write_all(&answer).ok()?;
        }
    }

    fn report(&self) -> Vec<u8> {
        let computed_at = self.report_made_at();
        let history = self.history();
        let position = self.unix_ms(history.position(computed_at));
        let primary = history.is_primary(computed_at) as u8;
        [row(&format!("x0={}.{:03},x1={primary}", position / 1000, position % 1000)), ready()].concat()
    }

    /// Starts or ends a hang.
    pub fn hang(&self, hangs: bool) {
        *self.report_made_at.lock().expect("no panic") = hangs.then(Instant::now);
        self.faults.hung.store(hangs, Relaxed);
    }

    fn report_made_at(&self) -> Instant {
        self.report_made_at.lock().expect("no panic").unwrap_or_else(Instant::now)
    }

    /// The answer to a command; `None` where the connection is reset instead.
    fn execute(&self, statement: &str, stream: &TcpStream) -> Option<Vec<u8>> {
        let (_, comment) = statement.split_once("/* ")?;
        let field = |name: &str| {
            let pairs = comment.split([',', ' ']).filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(found, _)| *found == name).map(|(_, value)| value.to_owned())
        };
        let (id, time_left) = (field("id")?, field("d")?.parse().ok()?);
        let connection =
            self.connections.lock().expect("no panic").get(&stream.peer_addr().ok()?.port())?.clone();
        let arrived_at = connection.last_byte();
        let stale = self.history().stale(connection.router, arrived_at, Need::MaxAge(self.ledger.bound));
        let (time_left, draining) = (Duration::from_millis(time_left), self.faults.draining.load(Relaxed));
        let number = self
            .ledger
            .command_delivered(&id, DeliveryInfo { member: self.number, time_left, stale, draining });
        let write = statement.starts_with("INSERT");
        if draining && !self.faults.serves_while_draining.load(Relaxed) {
            return Some([error_response("53300"), ready()].concat());
        }
        if self.faults.resets.load(Relaxed) && id.len().is_multiple_of(2) {
            return reset(stream).map(|()| Vec::new());
        }
        if write && !self.is_primary() {
            return Some([self.role_and_position(), error_response("25006"), ready()].concat());
        }
        thread::sleep(Duration::from_millis(2 + self.faults.slow.load(Relaxed)));
        self.ledger.command_executed(&id, self.number);
        while self.faults.hung.load(Relaxed) {
            thread::sleep(Duration::from_millis(20));
        }
        let value = if self.faults.malformed.load(Relaxed) {
            b"D\0\0\0\x05x".to_vec()
        } else {
            row(&format!("{number}:{}", "v".repeat(if id.ends_with('7') { 50_000 } else { 1 })))
        };
        Some([self.role_and_position(), value, ready()].concat())
    }

    /// The parameters that carry the current role and position.
    fn role_and_position(&self) -> Vec<u8> {
        let (now, history) = (Instant::now(), self.history());
        let role = if history.is_primary(now) { "primary" } else { "replica" };
        let applied = self.unix_ms(history.position(now)).to_string();
        [parameter("role", role), parameter("applied_ms", &applied)].concat()
    }
}

/// Closes a connection with a reset.
fn reset(stream: &TcpStream) -> Option<()> {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    None
}
