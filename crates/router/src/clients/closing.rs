//! How the router ends a client's connection: it writes the pending output, shuts down its sending side, and discards
//! further input until the client closes or a time limit passes. Danger: closing a socket with unread bytes makes the
//! system reset the connection, and output that is not delivered yet is lost.

use super::*;
use std::os::fd::AsRawFd;

/// When it is looked again whether a client that was postponed as its time was over is overdue.
const POSTPONED_RECHECK_INTERVAL: Tenths = 100;

/// Bytes written that the peer has not acknowledged yet; 0 if unknown.
pub(super) fn unacknowledged_bytes(stream: &TcpStream) -> i32 {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the system writes one int.
    let failed = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &mut bytes) } != 0;
    if failed { 0 } else { bytes }
}

impl Program {
    /// Takes nothing more from this client, and shuts down the sending side once all output is written.
    pub(super) fn shut_down_after_output(&mut self, key: ClientKey) {
        let Some(client) = self.clients.table.get_mut(key) else { return };
        client.stage = Stage::Ending;
        self.clients.unsent.push(key);
    }

    /// Discards the input of a client whose connection is ending, until it closes.
    pub(super) fn discard_input(&mut self, key: ClientKey) {
        while self.use_share(key) {
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

    /// Closes the connection at once. Input that has arrived is discarded; later input still resets the connection.
    pub fn close_client(&mut self, key: ClientKey, reason: ClientClose) {
        let Some(client) = self.clients.table.get(key) else { return };
        let _ = client.stream.shutdown(Shutdown::Write);
        for _ in 0..MAX_CLOSING_READS {
            match (&*client.stream).read(&mut self.scratch) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Ok(read) if read > 0 => {}
                _ => break,
            }
        }
        self.drop_client(key, reason);
    }

    /// Closes all clients because the process ends.
    pub fn close_clients(&mut self) {
        let keys: Vec<ClientKey> = self.clients.table.keys().collect();
        keys.into_iter().for_each(|key| self.close_client(key, ClientClose::ProcessEnds));
    }

    /// Ends a client whose first complete query, or the rest of a message, did not arrive in time. While the process is
    /// stopping the error is 57P03: a client without a query may safely reconnect elsewhere.
    pub fn end_overdue_client(&mut self, key: ClientKey) {
        // Danger: the whole message of a client that is postponed may be at hand already.
        if self.clients.table.get(key).is_some_and(|client| client.postponed) {
            return self.deadlines.set(Due::Message(key), self.now + POSTPONED_RECHECK_INTERVAL);
        }
        match self.clients.listener {
            Some(_) => self.end_client(key, "08P01", "no whole query came in time"),
            None => self.end_client(key, "57P03", "the process ends"),
        }
    }

    /// Ends a client when the listener closes. A client that has sent no query yet keeps its time limit for the first
    /// one; right before the process ends it gets an error.
    pub(super) fn end_soon(&mut self, key: ClientKey) {
        let Some(client) = self.clients.table.get_mut(key) else { return };
        client.sent_query |= self.clients.reading_stopped;
        match client.stage {
            Stage::Opening if self.clients.reading_stopped => self.end_overdue_client(key),
            _ => self.end_if_idle(key),
        }
    }

    /// Ends the connection if it is between commands. Queries that it has already sent are served first, and it may
    /// send more until their answers are written. Right before the process ends nothing more is read, and an
    /// incomplete message is ignored.
    pub(super) fn end_if_idle(&mut self, key: ClientKey) {
        let Some(client) = self.clients.table.get_mut(key) else { return };
        let whole = || matches!(pgwire::message(client.input.bytes()), Ok(Some(_)));
        let behind = if self.clients.reading_stopped { whole() } else { !client.input.is_empty() };
        let between =
            client.command.is_none() && !behind && (client.unsent == 0 || self.clients.reading_stopped);
        if between && client.sent_query && matches!(client.stage, Stage::Ready | Stage::Skipping) {
            self.shut_down_after_output(key);
        }
    }

    /// Stops accepting clients; open commands are still answered. Danger: when the listener closes, the system resets
    /// established connections that were not accepted, so at the connection limit it stays open while other clients may
    /// still make room.
    pub fn stop_accepting(&mut self) {
        self.finish_startup();
        self.accept_all();
        let again = self.now + ACCEPT_RETRY_INTERVAL;
        if self.clients.at_capacity && self.deadlines.time(Due::FinalAnswers).is_some_and(|last| again < last)
        {
            log!("stopping: at the limit, clients are waiting to be accepted");
            self.deadlines.set(Due::Stop, again);
        } else if let Some((_, token)) = self.clients.listener.take() {
            self.handle.remove(token);
        }
        self.end_idle();
    }

    /// Answers all waiting clients and stops reading, as the process may be killed any moment. Danger: a client that
    /// always has a query queued behind the open one is never between commands, and its last query would be lost.
    pub fn end_clients(&mut self) {
        self.clients.reading_stopped = true;
        self.answer_open_commands();
        self.end_idle();
    }

    pub(super) fn end_idle(&mut self) {
        let keys: Vec<ClientKey> = self.clients.table.keys().collect();
        for key in keys {
            self.read_client(key);
            self.end_soon(key);
        }
    }
}
