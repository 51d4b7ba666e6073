//! The one way in which this side ends a client's connection: what is to be written goes out, the sending side is
//! shut, what still comes is read and thrown away until the client closes or a bound is over. Danger: a close over
//! unread bytes makes the system reset the connection, and what it has not delivered yet goes with that.

use super::*;
use std::os::fd::AsRawFd;

/// Bytes written that the other side's system has not taken yet; 0 where that can't be known.
pub(super) fn untaken(stream: &TcpStream) -> i32 {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the system writes one int.
    let failed = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &mut bytes) } != 0;
    if failed { 0 } else { bytes }
}

impl Program {
    /// Nothing more is taken from this client: once all is written it is told the end.
    pub(super) fn end_after_output(&mut self, key: ClientKey) {
        let Some(client) = self.clients.table.get_mut(key) else { return };
        client.stage = Stage::Ending;
        self.clients.unsent.push(key);
    }

    /// Throws away what an ended client sends, until it closes.
    pub(super) fn read_away(&mut self, key: ClientKey) {
        while self.has_turn(key) {
            let Some(client) = self.clients.table.get(key) else { return };
            match (&*client.stream).read(&mut self.scratch) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_transient(&e) => return self.retry_client(key),
                Ok(read) if read > 0 => {}
                _ => return self.drop_client(key, ClientClose::Ended),
            }
        }
    }

    /// Closes at once, where nothing can be waited for any more. What came up to now is thrown away; what comes
    /// later still resets the connection.
    pub fn close_client(&mut self, key: ClientKey, reason: ClientClose) {
        let Some(client) = self.clients.table.get(key) else { return };
        let _ = client.stream.shutdown(Shutdown::Write);
        for _ in 0..TURN_MOST {
            match (&*client.stream).read(&mut self.scratch) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Ok(read) if read > 0 => {}
                _ => break,
            }
        }
        self.drop_client(key, reason);
    }

    /// The process ends.
    pub fn close_clients(&mut self) {
        let keys: Vec<ClientKey> = self.clients.table.keys().collect();
        keys.into_iter().for_each(|key| self.close_client(key, ClientClose::ProcessEnds));
    }

    /// A first whole query, or the rest of a message, does not come. One that asked nothing while the process ends
    /// may go elsewhere without harm.
    pub fn end_unheard(&mut self, key: ClientKey) {
        match self.clients.listener {
            Some(_) => self.end_client(key, "08P01", "no whole query came in time"),
            None => self.end_client(key, "57P03", "the process ends"),
        }
    }

    /// A client when the listener closes. One that has asked nothing yet may be about to, and has the time for its
    /// first query that it had; at the very end it is told.
    pub(super) fn end_soon(&mut self, key: ClientKey) {
        let Some(client) = self.clients.table.get_mut(key) else { return };
        client.asked |= self.clients.deaf;
        match client.stage {
            Stage::Opening if self.clients.deaf => self.end_unheard(key),
            _ => self.end_if_idle(key),
        }
    }
}
