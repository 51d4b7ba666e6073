//! Admission and eviction of clients: the limits on connections.

use super::closing::unacknowledged_bytes;
use super::*;
use crate::BACKLOG;
use crate::leaving::{has_pending_client, may_have_unread_bytes};

/// A client that has sent no command for this long since it connected may be closed to make room for others.
const MIN_SILENCE: Tenths = 1_000;
/// Clients accepted in one call.
const MAX_ACCEPTS: usize = 64;
pub(super) const ACCEPT_RETRY_INTERVAL: Tenths = 1_000;
/// Additional polls of the listener after an event without a client (`POLLS_AFTER_EVENT`) and after an accepted client
/// (`POLLS_AFTER_CLIENT`), and the interval between two of them (`ACCEPT_POLL_INTERVAL`).
const POLLS_AFTER_EVENT: u32 = 7;
const POLLS_AFTER_CLIENT: u32 = 2;
const ACCEPT_POLL_INTERVAL: Tenths = 10;

impl Clients {
    /// The client to close when others wait for a connection: clients without a command so far come first, and among
    /// equals the one idle for longest. Recently accepted clients are spared, as they may be about to send a query.
    /// Danger: a client whose last answer is not acknowledged yet loses that answer if it sends something after the
    /// close. It is given time to receive the answer, unless room `must` be made and all clients are like that.
    fn eviction_candidate(&self, now: Tenths, must: bool) -> Option<ClientKey> {
        let idle = self.table.iter().filter(|(_, c)| match c.stage {
            Stage::Ending => false,
            Stage::ShutDown => true,
            _ if c.served => c.is_idle(),
            _ => c.command.is_none() && c.idle_since + MIN_SILENCE <= now,
        });
        let mut idle: Vec<(ClientKey, &Client)> = idle.collect();
        idle.sort_by_key(|(_, c)| (c.served && c.stage != Stage::ShutDown, c.idle_since));
        let free = idle
            .iter()
            .find(|(_, c)| c.idle_since + READ_TIMEOUT <= now || unacknowledged_bytes(&c.stream) == 0);
        free.or(idle.first().filter(|_| must)).map(|(key, _)| *key)
    }
}

impl Program {
    /// Accepts waiting clients, as far as there is room.
    pub fn accept(&mut self) {
        let Some((listener, _)) = &self.clients.listener else { return };
        // The system queues them meanwhile and records when their bytes arrived. Without this, clients would be served
        // under settings older than those that this router had received before it was restarted.
        if self.watch.is_starting() || !self.configuration.may_serve() {
            return;
        }
        let listener = listener.clone();
        self.clients.at_capacity = false;
        self.deadlines.clear(Due::Accept);
        for _ in 0..MAX_ACCEPTS {
            // One client above the limit shows that more are waiting: none is closed for a client that does not come.
            if self.at_limit() && !self.make_room_for_client() {
                return self.accept_later();
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    self.clients.accept_polls = POLLS_AFTER_CLIENT;
                    self.add_client(stream);
                }
                Err(e) if is_transient(&e) => return self.poll_listener_again(),
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                // Danger: the system may grant fewer descriptors than the configured limit.
                Err(e) if e.raw_os_error() == Some(libc::EMFILE) && self.make_room_for_client() => {}
                Err(e) => {
                    log!("cannot accept: {e}");
                    return self.accept_later();
                }
            }
        }
        // Open commands are processed before more clients are accepted.
        self.deadlines.set(Due::Accept, self.now + 1);
    }

    /// Handles a readiness event of the listener.
    pub fn accept_event(&mut self) {
        self.clients.accept_polls = POLLS_AFTER_EVENT;
        self.accept();
    }

    /// Polls the listener a few more times after it had no client. Danger: the error may have been transient, and no
    /// event reports clients that are waiting by then.
    fn poll_listener_again(&mut self) {
        if self.clients.accept_polls > 0 {
            self.clients.accept_polls -= 1;
            self.deadlines.set(Due::Accept, self.now + ACCEPT_POLL_INTERVAL);
        }
    }

    /// Closes the client chosen for eviction, after processing the input that it has sent meanwhile.
    fn make_room_for_client(&mut self) -> bool {
        let candidate = self.clients.eviction_candidate(self.now, false);
        candidate.into_iter().for_each(|key| self.read_client(key));
        self.make_room(false)
    }

    /// True if clients hold more than their share of connections and nothing is left to borrow: they may use what nodes
    /// leave unused of theirs, except for the spare part.
    fn at_limit(&self) -> bool {
        let (clients, limits) = (self.clients.count(), self.limits);
        clients > limits.clients && clients + self.nodes.count() + limits.spare > limits.room
    }

    /// Accepts again when a client has closed, and at intervals, as clients may have become idle.
    fn accept_later(&mut self) {
        self.clients.at_capacity = true;
        self.deadlines.set(Due::Accept, self.now + ACCEPT_RETRY_INTERVAL);
    }

    /// Closes the client chosen for eviction at once, to free its descriptor. False if it has unread input, which is
    /// to be processed first, but not here: the module may be in the middle of its decisions.
    pub fn make_room(&mut self, must: bool) -> bool {
        let Some(key) = self.clients.eviction_candidate(self.now, must) else { return false };
        let client = &self.clients.table[key];
        if may_have_unread_bytes(&client.stream) && client.stage != Stage::ShutDown {
            return false;
        }
        let kind = if client.served { "an idle one" } else { "one that asked for nothing" };
        log!("at the limit with {} clients: {kind} is closed", self.clients.table.len());
        self.counters.gave_way += 1;
        self.close_client(key, ClientClose::GaveWay);
        true
    }

    /// Accepts the clients that are waiting now, which may include cancel requests. Danger: at the connection limit, an
    /// attempt to accept when no client waits would close an existing client.
    pub fn accept_waiting(&mut self) {
        for _ in 0..BACKLOG as usize / MAX_ACCEPTS {
            let waits = self.clients.listener.as_ref().is_some_and(|(l, _)| has_pending_client(l));
            if !waits || self.clients.at_capacity {
                return;
            }
            self.accept();
        }
    }

    /// Accepts all established connections, up to the listen backlog.
    pub(super) fn accept_all(&mut self) {
        for _ in 0..BACKLOG as usize / MAX_ACCEPTS {
            self.accept();
        }
    }

    /// Once more than `Limits::staying_clients` clients have sent a query, ends the one that has been idle for
    /// longest, clients without a command first. Without this, clients that send one query and stay connected would
    /// take all connections.
    pub(super) fn limit_staying_clients(&mut self) {
        let sent_query = |c: &Client| c.sent_query && matches!(c.stage, Stage::Ready | Stage::Skipping);
        let table = &self.clients.table;
        if table.len() <= self.limits.staying_clients
            || table.values().filter(|c| sent_query(c)).count() <= self.limits.staying_clients
        {
            return;
        }
        let quiet = table
            .iter()
            .filter(|(_, c)| sent_query(c) && c.is_idle() && c.idle_since + MIN_SILENCE <= self.now);
        if let Some(key) = quiet.min_by_key(|(_, c)| (c.served, c.idle_since)).map(|(key, _)| key) {
            self.counters.quiet += 1;
            self.end_if_idle(key);
        }
    }
}
