//! Transient failures of system calls: which errors are transient, and the backoff before a retry.

use std::io::{self, ErrorKind};
use vetchkeel::Tenths;

/// The first and the longest delay before a retry.
const MIN_DELAY: Tenths = 10;
const MAX_DELAY: Tenths = 640;

/// Whether the same call may succeed a moment later without any other event: the system lacks buffer space or memory for it
/// at present. The connection remains usable. An interrupted call is retried at once and does not count as transient.
pub fn is_transient(error: &io::Error) -> bool {
    error.kind() == ErrorKind::WouldBlock
        || matches!(error.raw_os_error(), Some(libc::ENOBUFS | libc::ENOMEM))
}

/// Whether a dial failed because this machine lacked a port, a socket, a buffer, a route or the permission to send. Such a
/// failure shows nothing about the other end.
pub fn is_local_failure(error: &io::Error) -> bool {
    is_transient(error) || error.raw_os_error().is_none_or(|code| LOCAL_ERRORS.contains(&code))
}

/// Errors that show a lack of resources, routes or permissions on this machine.
const LOCAL_ERRORS: [i32; 8] = [
    libc::EADDRNOTAVAIL,
    libc::EADDRINUSE,
    libc::ENETUNREACH,
    libc::ENETDOWN,
    libc::EMFILE,
    libc::ENFILE,
    libc::EACCES,
    libc::EPERM,
];

/// Exponential backoff between retries: each delay is twice as long as the one before, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub struct Backoff(Tenths);

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff(MIN_DELAY)
    }
}

impl Backoff {
    /// Returns the next delay and doubles the one after it.
    pub fn next_delay(&mut self) -> Tenths {
        let wait = self.0;
        self.0 = (2 * wait).min(MAX_DELAY);
        wait
    }

    /// Whether the maximum delay has been reached.
    pub fn is_at_maximum(&self) -> bool {
        self.0 == MAX_DELAY
    }

    /// Resets the delay after a call has succeeded.
    pub fn reset(&mut self) {
        *self = Backoff::default();
    }
}

#[cfg(test)]
mod tests;
