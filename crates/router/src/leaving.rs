//! The state of a connection without reading from it: whether the peer has disconnected, as its close or reset may be
//! behind unread bytes, and whether there are unread bytes.

use crate::transient::is_transient;
use std::io::{self, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;

/// Attempts at a system call that is interrupted. Danger: if an interruption counted as "nothing there", a client that
/// has left would be served, and one that has sent a query would be closed.
const MAX_ATTEMPTS: u32 = 64;

/// True once the peer has closed, shut down its sending side or reset the connection. Neither reads nor blocks; an
/// unknown state counts as connected.
pub fn is_disconnected(stream: &TcpStream) -> bool {
    ready(stream, libc::POLLRDHUP) & (libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR) != 0
}

/// True if a client waits to be accepted.
pub fn has_pending_client(listener: &TcpListener) -> bool {
    ready(listener, libc::POLLIN) & libc::POLLIN != 0
}

/// The events that `poll` reports for a descriptor now; none if the call fails.
fn ready(descriptor: &impl AsRawFd, events: libc::c_short) -> libc::c_short {
    let mut poll_fd = libc::pollfd { fd: descriptor.as_raw_fd(), events, revents: 0 };
    // SAFETY: `poll` reads and writes this one value.
    let mut poll = || unsafe { libc::poll(&mut poll_fd, 1, 0) };
    let interrupted =
        |ready_count: &i32| *ready_count < 0 && io::Error::last_os_error().kind() == ErrorKind::Interrupted;
    let ready_count =
        (0..MAX_ATTEMPTS).map(|_| poll()).find(|ready_count| !interrupted(ready_count)).unwrap_or(0);
    if ready_count == 1 { poll_fd.revents } else { 0 }
}

/// What a read would return: one byte, 0 bytes at the end of the connection, or the error.
pub fn peek(stream: &TcpStream) -> io::Result<usize> {
    let peeked = (0..MAX_ATTEMPTS).map(|_| stream.peek(&mut [0]));
    let mut peeked = peeked.skip_while(|p| p.as_ref().is_err_and(|e| e.kind() == ErrorKind::Interrupted));
    peeked.next().unwrap_or_else(|| Err(ErrorKind::Interrupted.into()))
}

/// What a connection has for the next read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    Nothing,
    Bytes,
    /// The peer has shut down its sending side.
    End,
}

pub fn unread(stream: &TcpStream) -> io::Result<Unread> {
    match peek(stream) {
        Ok(0) => Ok(Unread::End),
        Ok(_) => Ok(Unread::Bytes),
        Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(Unread::Nothing),
        Err(e) => Err(e),
    }
}

/// The number of unread bytes; 0 if the system does not tell.
pub fn unread_bytes(stream: &TcpStream) -> usize {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the system writes one int.
    let failed = unsafe { libc::ioctl(stream.as_raw_fd(), libc::FIONREAD, &mut bytes) } != 0;
    if failed { 0 } else { bytes.max(0) as usize }
}

/// False only if there are certainly no unread bytes.
pub fn may_have_unread_bytes(stream: &TcpStream) -> bool {
    match peek(stream) {
        Ok(bytes) => bytes > 0,
        Err(e) => {
            e.kind() != ErrorKind::WouldBlock && (e.kind() == ErrorKind::Interrupted || is_transient(&e))
        }
    }
}
