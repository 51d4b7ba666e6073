//! One non-blocking connection with what has come and what is still to go.

use calloop::RegistrationToken;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// No peer of the lab has this much unread.
const UNREAD_MOST: usize = 4 * 1024 * 1024;

pub(super) struct Wire {
    pub(super) stream: Rc<TcpStream>,
    pub(super) token: Option<RegistrationToken>,
    pub(super) input: Vec<u8>,
    output: Vec<u8>,
    /// The other side has ended, or it broke.
    pub(super) ended: bool,
}

impl Wire {
    pub(super) fn new(stream: Rc<TcpStream>) -> Wire {
        Wire { stream, token: None, input: Vec::new(), output: Vec::new(), ended: false }
    }

    /// Takes in all that has come.
    pub(super) fn read(&mut self, scratch: &mut [u8]) {
        loop {
            match (&*self.stream).read(scratch) {
                Ok(0) => return self.ended = true,
                Ok(count) => self.input.extend_from_slice(&scratch[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.ended = true,
            }
            if self.input.len() > UNREAD_MOST {
                return self.ended = true;
            }
        }
    }

    pub(super) fn send(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
        self.flush();
    }

    pub(super) fn flush(&mut self) {
        while !self.output.is_empty() {
            match (&*self.stream).write(&self.output) {
                Ok(count) => drop(self.output.drain(..count)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return,
                Err(_) => return self.ended = true,
            }
        }
    }

    /// The connection will end in a reset instead of an orderly close.
    pub(super) fn reset(&self) {
        let _ = socket2::SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
    }
}
