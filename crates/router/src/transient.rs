//! System calls that fail for a moment: which errors pass by themselves, and when such a call is made again.

use std::io::{self, ErrorKind};
use vetchkeel::Tenths;

/// The first wait before a call is made again, and the longest.
const WAIT_LEAST: Tenths = 10;
const WAIT_MOST: Tenths = 640;

/// Whether the same call may succeed a moment later though nothing else happens: the system has no room or no memory
/// for it just now. The connection is as good as before. An interrupted call is made again at once and is none of these.
pub fn is_transient(error: &io::Error) -> bool {
    error.kind() == ErrorKind::WouldBlock
        || matches!(error.raw_os_error(), Some(libc::ENOBUFS | libc::ENOMEM))
}

/// Whether a dial failed for want of something on this machine: a port, a socket, a buffer, a route, leave to send. What
/// is at the other end is not known.
pub fn is_local(error: &io::Error) -> bool {
    is_transient(error) || error.raw_os_error().is_none_or(|code| LOCAL.contains(&code))
}

const LOCAL: [i32; 8] = [
    libc::EADDRNOTAVAIL,
    libc::EADDRINUSE,
    libc::ENETUNREACH,
    libc::ENETDOWN,
    libc::EMFILE,
    libc::ENFILE,
    libc::EACCES,
    libc::EPERM,
];

/// The waits between calls that fail for a moment: each is twice as long as the one before, up to a bound.
#[derive(Clone, Copy, Debug)]
pub struct Backoff(Tenths);

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff(WAIT_LEAST)
    }
}

impl Backoff {
    /// How long to wait this time.
    pub fn wait(&mut self) -> Tenths {
        let wait = self.0;
        self.0 = (2 * wait).min(WAIT_MOST);
        wait
    }

    /// The longest wait has been reached.
    pub fn is_spent(&self) -> bool {
        self.0 == WAIT_MOST
    }

    /// A call has succeeded.
    pub fn reset(&mut self) {
        *self = Backoff::default();
    }
}

#[cfg(test)]
mod tests;
