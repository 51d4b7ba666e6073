//! What lies at a connection, as the system knows it, without reading: whether the other end has gone, whose end or
//! reset may lie behind bytes that are not read yet, and whether there are such.

use crate::transient::is_transient;
use std::io::{self, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;

/// How often a call that is interrupted is made again. Danger: taken for "nothing there", a client that has left is
/// served, and one that has asked is closed.
const TRIES: u32 = 64;

/// True once the other end has closed, shut its sending side or reset the connection. Nothing is read and
/// nothing waited for; what can't be known is no leaving.
pub fn has_gone(stream: &TcpStream) -> bool {
    ready(stream, libc::POLLRDHUP) & (libc::POLLRDHUP | libc::POLLHUP | libc::POLLERR) != 0
}

/// True if somebody waits to be accepted.
pub fn has_waiting(listener: &TcpListener) -> bool {
    ready(listener, libc::POLLIN) & libc::POLLIN != 0
}

/// What the system says of a descriptor, now; nothing if that can't be known.
fn ready(descriptor: &impl AsRawFd, events: libc::c_short) -> libc::c_short {
    let mut asked = libc::pollfd { fd: descriptor.as_raw_fd(), events, revents: 0 };
    // SAFETY: the system reads and writes this one value.
    let mut poll = || unsafe { libc::poll(&mut asked, 1, 0) };
    let interrupted =
        |answered: &i32| *answered < 0 && io::Error::last_os_error().kind() == ErrorKind::Interrupted;
    let answered = (0..TRIES).map(|_| poll()).find(|answered| !interrupted(answered)).unwrap_or(0);
    if answered == 1 { asked.revents } else { 0 }
}

/// What a read would find: a byte, none at the connection's end, or the error.
pub fn peek(stream: &TcpStream) -> io::Result<usize> {
    let peeked = (0..TRIES).map(|_| stream.peek(&mut [0]));
    let mut peeked = peeked.skip_while(|p| p.as_ref().is_err_and(|e| e.kind() == ErrorKind::Interrupted));
    peeked.next().unwrap_or_else(|| Err(ErrorKind::Interrupted.into()))
}

/// What lies unread at a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    Nothing,
    Bytes,
    /// The other end sends nothing more.
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

/// False only where nothing lies unread for certain.
pub fn may_have_unread(stream: &TcpStream) -> bool {
    match peek(stream) {
        Ok(bytes) => bytes > 0,
        Err(e) => {
            e.kind() != ErrorKind::WouldBlock && (e.kind() == ErrorKind::Interrupted || is_transient(&e))
        }
    }
}
