//! Datagrams on a UDP socket.

use crate::message::SendError;
use mio::net::UdpSocket;
use std::io::ErrorKind;
use std::net::SocketAddr;

/// Consecutive read errors after which the socket counts as empty.
const MAX_READ_ERRORS: usize = 16;

pub(crate) struct Datagrams {
    pub(crate) socket: UdpSocket,
    /// One byte longer than the longest accepted datagram, so that a longer one is detected.
    buffer: Vec<u8>,
}

impl Datagrams {
    pub(crate) fn new(socket: UdpSocket, max_bytes: usize) -> Datagrams {
        Datagrams { socket, buffer: vec![0; max_bytes + 1] }
    }

    pub(crate) fn send(&self, bytes: &[u8], to: SocketAddr) -> Result<(), SendError> {
        match self.socket.send_to(bytes, to) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                Err(SendError::Full { waiting: bytes.len(), bound: 0 })
            }
            // Any other error counts as a lost datagram.
            _ => Ok(()),
        }
    }

    /// Returns the next datagram, or None when there is none. One over the bound is returned one byte longer than
    /// the bound.
    pub(crate) fn read(&mut self) -> Option<&[u8]> {
        for _ in 0..MAX_READ_ERRORS {
            match self.socket.recv_from(&mut self.buffer) {
                Ok((length, _)) => return Some(&self.buffer[..length]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                // An ICMP error for a datagram sent earlier is reported on the next read; the socket
                // stays usable.
                Err(_) => {}
            }
        }
        None
    }
}
