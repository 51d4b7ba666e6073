//! A proxy between each router and each member. It can delay answers, on all connections or on some, and can cut connections in
//! the middle of a transfer; everything else is forwarded as it arrives. It also records what the ledger and the history need:
//! the router of a connection, when the last byte of a request arrived, and when an answer with the replica role was delivered.

use super::common::draw::Rng;
use super::common::since_last_byte;
use super::members::Member;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// While `cuts` is set, one chunk in this many cuts its connection.
const CUT_ONE_IN: u64 = 4;
/// How many connections in ten have a delay of their own.
const DELAYED_CONNECTIONS_IN_TEN: u64 = 7;
const STACK: usize = 128 * 1024;
/// The replica role in an answer and in a probe report.
const REPLICA: [&[u8]; 2] = [b"role\0replica\0", b"x1=0"];

/// The faults of the proxies of one member.
#[derive(Default)]
pub struct ProxyFaults {
    /// Half a chunk is forwarded, then both sides are reset.
    pub cuts: AtomicBool,
    /// The delay of all answers, in milliseconds. Requests are not delayed, because their arrival is dated at the proxy.
    pub delay: AtomicU64,
    /// The maximum delay of answers on some connections, in milliseconds; each connection has its own share of it.
    pub max_connection_delay: AtomicU64,
    chunks: AtomicU64,
}

impl ProxyFaults {
    fn should_cut(&self) -> bool {
        self.cuts.load(Relaxed) && self.chunks.fetch_add(1, Relaxed).is_multiple_of(CUT_ONE_IN)
    }
}

/// One router's connection to a member.
pub struct Connection {
    pub router: usize,
    /// When the last byte of a request arrived.
    last_byte: Mutex<Instant>,
    /// Its share of `max_connection_delay`, in thousandths.
    delay_share: u64,
}

impl Connection {
    pub fn last_byte(&self) -> Instant {
        *self.last_byte.lock().expect("no panic")
    }
}

/// Starts the proxy between a router and a member; returns its address.
pub fn start(router: usize, member: &Arc<Member>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let member = member.clone();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let mut rng = Rng::new((number * 1_000 + router + 1) as u64);
            rng.below(1);
            let delay_share = if rng.below(10) < DELAYED_CONNECTIONS_IN_TEN { rng.below(1_000) } else { 0 };
            let connection =
                Arc::new(Connection { router, last_byte: Mutex::new(Instant::now()), delay_share });
            let _ = connect(stream, &member, &connection);
        }
    });
    address
}

/// Connects to the member and starts to forward in both directions.
fn connect(router: TcpStream, member: &Arc<Member>, connection: &Arc<Connection>) -> std::io::Result<()> {
    let to_member = TcpStream::connect(member.address)?;
    member.connected(to_member.local_addr()?, connection.clone());
    for stream in [&router, &to_member] {
        stream.set_nodelay(true)?;
    }
    let directions = [(router.try_clone()?, to_member.try_clone()?, false), (to_member, router, true)];
    for (from, to, answers) in directions {
        let direction = Direction { member: member.clone(), connection: connection.clone(), answers };
        thread::Builder::new().stack_size(STACK).spawn(move || direction.forward(from, to))?;
    }
    Ok(())
}

/// One direction of a connection.
struct Direction {
    member: Arc<Member>,
    connection: Arc<Connection>,
    answers: bool,
}

impl Direction {
    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = vec![0; 16 * 1024];
        loop {
            let read = match from.read(&mut chunk) {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(read) => read,
                Err(_) => return reset(&from, &to),
            };
            let computed_at = Instant::now();
            if self.answers {
                thread::sleep(self.delay());
            } else {
                *self.connection.last_byte.lock().expect("no panic") = computed_at - since_last_byte(&from);
            }
            if self.member.proxy_faults.should_cut() {
                let _ = to.write_all(&chunk[..read / 2]);
                return reset(&from, &to);
            }
            if to.write_all(&chunk[..read]).is_err() {
                return reset(&from, &to);
            }
            if self.answers && has_replica_role(&chunk[..read]) {
                self.member.replica_role_sent(self.connection.router, computed_at);
            }
        }
    }

    fn delay(&self) -> Duration {
        let proxy_faults = &self.member.proxy_faults;
        let connection_delay =
            proxy_faults.max_connection_delay.load(Relaxed) * self.connection.delay_share / 1_000;
        Duration::from_millis(proxy_faults.delay.load(Relaxed) + connection_delay)
    }
}

fn has_replica_role(chunk: &[u8]) -> bool {
    REPLICA.iter().any(|text| chunk.windows(text.len()).any(|window| window == *text))
}

/// Closes both sides with a reset.
fn reset(from: &TcpStream, to: &TcpStream) {
    for stream in [from, to] {
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        let _ = stream.shutdown(Shutdown::Both);
    }
}
