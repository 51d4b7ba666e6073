//! Whether a client is still connected when an attempt begins for it. Danger: the end of a connection is behind the bytes that
//! its client sent before. With more of these than the system's buffers take, the end does not come in while they are unread,
//! and an attempt would begin long after the close. But a system whose program has closed a connection answers anything
//! sent on it with a reset. So such a client is sent something that it ignores, and the attempt waits for a moment.

use super::*;
use crate::leaving::unread_bytes;

/// How long a client that was known to be connected counts as connected. The operators' documentation allows 100 ms from a
/// close to an attempt.
const CONFIRMED_TIME: Tenths = 500;
/// Fewer unread bytes than this surely leave room for the end of the connection in the system's buffer: half of what it takes while
/// nothing is read.
const MIN_HIDING_BYTES: usize = 16 * 1024;
/// How long a reset may take to arrive.
const PROBE_TIME: Tenths = 10;

/// What is known of a client's connection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Presence {
    /// When it was last known to be connected.
    confirmed_at: Tenths,
    /// When it was last sent something to see whether a reset comes back.
    probed_at: Option<Tenths>,
}

impl Presence {
    /// All input was read at this time, and the end of the connection was not there.
    pub(super) fn confirm(&mut self, at: Tenths) {
        *self = Presence { confirmed_at: at, probed_at: None };
    }

    /// Whether the client counts as connected. Called when no reset has arrived by `now`.
    fn is_confirmed(&mut self, now: Tenths) -> bool {
        if let Some(probed_at) = self.probed_at.filter(|at| now - at >= PROBE_TIME) {
            self.confirm(probed_at);
        }
        now - self.confirmed_at < CONFIRMED_TIME
    }

    /// Whether the client is to be probed; it counts as probed now.
    fn starts_probe(&mut self, now: Tenths) -> bool {
        let starts = self.probed_at.is_none();
        self.probed_at.get_or_insert(now);
        starts
    }
}

impl Client {
    /// Whether its connection may have ended without a sign: many bytes are unread, and none of them is read for now.
    fn may_hide_its_end(&self) -> bool {
        (self.paused || self.postponed) && unread_bytes(&self.stream) >= MIN_HIDING_BYTES
    }
}

impl Program {
    /// Whether the client of a command is known to be connected, as far as its system tells. If not, it is probed, and the
    /// attempt is to be tried again in a moment.
    pub fn is_client_confirmed(&mut self, command: CommandKey) -> bool {
        let now = self.clock.now();
        let Some(key) = self.commands.client(command) else { return true };
        let Some(client) = self.clients.table.get_mut(key) else { return true };
        if !client.may_hide_its_end() || client.presence.is_confirmed(now) {
            return true;
        }
        if client.presence.starts_probe(now) {
            self.send_probe(key);
        }
        false
    }

    /// Sends a parameter that the client knows already, unless it has unread output: that is a probe as well.
    fn send_probe(&mut self, key: ClientKey) {
        let Some(client) = self.clients.table.get_mut(key).filter(|client| client.unsent == 0) else {
            return;
        };
        let mut probe = Vec::new();
        pgwire::known_parameter(&mut probe);
        client.queue_output(self.memory.hold(Owner::Output, probe));
        self.counters.presence_probes += 1;
        self.write_output(key);
    }
}

#[cfg(test)]
mod tests;
