//! A proxy before each member for each router: it holds answers back, all or by connection, cuts connections in the
//! middle of what passes, and passes all else on as it comes. It keeps what the judge needs: whose connection it is, when
//! the last byte of a request came, and when an answer was handed over that calls the member a replica.

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

/// One in so many pieces is cut, where connections are.
const CUT_ONE_IN: u64 = 4;
/// So many connections in ten are held back, where some are.
const HELD_IN_TEN: u64 = 7;
const STACK: usize = 128 * 1024;
/// In an answer, and in a report.
const REPLICA: [&[u8]; 2] = [b"role\0replica\0", b"x1=0"];

#[derive(Default)]
pub struct ProxyFaults {
    /// Half a piece passes, then both ends are reset.
    pub cuts: AtomicBool,
    /// Answers are held back by so many milliseconds. What goes to the member is not: the judge dates it there.
    pub delay: AtomicU64,
    /// Answers of some connections are held back by a part of so many milliseconds, each by its own.
    pub delay_of_some: AtomicU64,
    pieces: AtomicU64,
}

impl ProxyFaults {
    fn cuts_this(&self) -> bool {
        self.cuts.load(Relaxed) && self.pieces.fetch_add(1, Relaxed).is_multiple_of(CUT_ONE_IN)
    }
}

/// One router's connection to a member.
pub struct Link {
    pub router: usize,
    /// When the last byte of a request came.
    last_byte: Mutex<Instant>,
    /// Its part of what some connections are held back by, in thousandths.
    held: u64,
}

impl Link {
    pub fn last_byte(&self) -> Instant {
        *self.last_byte.lock().expect("no panic")
    }
}

/// Starts a router's proxy before the member.
pub fn start(router: usize, member: &Arc<Member>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let member = member.clone();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let mut rng = Rng::new((number * 1_000 + router + 1) as u64);
            rng.below(1);
            let held = if rng.below(10) < HELD_IN_TEN { rng.below(1_000) } else { 0 };
            let link = Arc::new(Link { router, last_byte: Mutex::new(Instant::now()), held });
            let _ = join(stream, &member, &link);
        }
    });
    address
}

fn join(router: TcpStream, member: &Arc<Member>, link: &Arc<Link>) -> std::io::Result<()> {
    let to_member = TcpStream::connect(member.address)?;
    member.connected(to_member.local_addr()?, link.clone());
    for stream in [&router, &to_member] {
        stream.set_nodelay(true)?;
    }
    let ways = [(router.try_clone()?, to_member.try_clone()?, false), (to_member, router, true)];
    for (from, to, answers) in ways {
        let way = Way { member: member.clone(), link: link.clone(), answers };
        thread::Builder::new().stack_size(STACK).spawn(move || way.carry(from, to))?;
    }
    Ok(())
}

/// One direction of a connection.
struct Way {
    member: Arc<Member>,
    link: Arc<Link>,
    answers: bool,
}

impl Way {
    fn carry(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut piece = vec![0; 16 * 1024];
        loop {
            let read = match from.read(&mut piece) {
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
                *self.link.last_byte.lock().expect("no panic") = computed_at - since_last_byte(&from);
            }
            if self.member.way.cuts_this() {
                let _ = to.write_all(&piece[..read / 2]);
                return reset(&from, &to);
            }
            if to.write_all(&piece[..read]).is_err() {
                return reset(&from, &to);
            }
            if self.answers && calls_itself_replica(&piece[..read]) {
                self.member.replica_role_sent(self.link.router, computed_at);
            }
        }
    }

    fn delay(&self) -> Duration {
        let way = &self.member.way;
        let of_some = way.delay_of_some.load(Relaxed) * self.link.held / 1_000;
        Duration::from_millis(way.delay.load(Relaxed) + of_some)
    }
}

fn calls_itself_replica(piece: &[u8]) -> bool {
    REPLICA.iter().any(|text| piece.windows(text.len()).any(|window| window == *text))
}

fn reset(from: &TcpStream, to: &TcpStream) {
    for stream in [from, to] {
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        let _ = stream.shutdown(Shutdown::Both);
    }
}
