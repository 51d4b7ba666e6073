//! A proxy before each member: it holds answers back, cuts connections in the middle of what passes, and passes all else
//! on as it comes.

use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

/// One in so many pieces is cut, where connections are.
const CUT_ONE_IN: u64 = 4;
const STACK: usize = 128 * 1024;

#[derive(Default)]
pub struct ProxyFaults {
    /// Half a piece passes, then both ends are reset.
    pub cuts: AtomicBool,
    /// Answers are held back by so many milliseconds. What goes to the member is not: the judge dates it there.
    pub delay: AtomicU64,
    pieces: AtomicU64,
}

impl ProxyFaults {
    fn cuts_this(&self) -> bool {
        self.cuts.load(Relaxed) && self.pieces.fetch_add(1, Relaxed).is_multiple_of(CUT_ONE_IN)
    }
}

/// Starts a proxy before this address.
pub fn start(member: SocketAddr) -> (SocketAddr, Arc<ProxyFaults>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let faults = Arc::new(ProxyFaults::default());
    let of_all = faults.clone();
    thread::spawn(move || listener.incoming().flatten().for_each(|stream| _ = join(stream, member, &of_all)));
    (address, faults)
}

fn join(router: TcpStream, member: SocketAddr, faults: &Arc<ProxyFaults>) -> std::io::Result<()> {
    let member = TcpStream::connect(member)?;
    for stream in [&router, &member] {
        stream.set_nodelay(true)?;
    }
    let ways = [(router.try_clone()?, member.try_clone()?, false), (member, router, true)];
    for (from, to, answers) in ways {
        let faults = faults.clone();
        thread::Builder::new().stack_size(STACK).spawn(move || carry(from, to, &faults, answers))?;
    }
    Ok(())
}

fn carry(mut from: TcpStream, mut to: TcpStream, faults: &ProxyFaults, answers: bool) {
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
        if answers {
            thread::sleep(Duration::from_millis(faults.delay.load(Relaxed)));
        }
        if faults.cuts_this() {
            let _ = to.write_all(&piece[..read / 2]);
            return reset(&from, &to);
        }
        if to.write_all(&piece[..read]).is_err() {
            return reset(&from, &to);
        }
    }
}

fn reset(from: &TcpStream, to: &TcpStream) {
    for stream in [from, to] {
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        let _ = stream.shutdown(Shutdown::Both);
    }
}
