//! When a router is ready: it answers an empty query once it holds a list.

use super::News;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::Sender;
use std::thread;
use std::time::{Duration, Instant};

/// Between two tries, and after which nobody tries any more.
const PAUSE: Duration = Duration::from_millis(20);
const MOST: Duration = Duration::from_secs(60);

/// A thread of its own asks until it is answered.
pub(super) fn wait(address: SocketAddr, router: usize, life: u32, tell: Sender<News>) {
    thread::spawn(move || {
        let until = Instant::now() + MOST;
        while Instant::now() < until {
            if answers(address).unwrap_or(false) {
                let _ = tell.send(News::Ready { router, life, at: Instant::now() });
                return;
            }
            thread::sleep(PAUSE);
        }
    });
}

fn answers(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let body = b"\0\x03\0\0user\0svc\0database\0main\0\0";
    let startup = [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat();
    stream.write_all(&startup)?;
    wait_for(&mut stream, b'Z')?;
    stream.write_all(b"Q\0\0\0\x05\0")?;
    Ok(wait_for(&mut stream, b'Z')?.contains(&b'I'))
}

/// The kinds of the messages up to this one.
fn wait_for(stream: &mut TcpStream, kind: u8) -> std::io::Result<Vec<u8>> {
    let mut kinds = Vec::new();
    while kinds.last() != Some(&kind) {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.saturating_sub(4).min(65_536)];
        stream.read_exact(&mut body)?;
        kinds.push(head[0]);
    }
    Ok(kinds)
}
