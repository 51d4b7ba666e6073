//! Who comes in, and who gives way where not all can be held: connections, and what clients have sent.

use super::closing::untaken;
use super::*;
use crate::BACKLOG;
use crate::leaving::{has_waiting, may_have_unread};

/// A client that has been silent for this long since it connected gives way where others want in.
const SILENT_LEAST: Tenths = 1_000;
/// Clients accepted in one turn.
const ACCEPTED_MOST: usize = 64;
pub(super) const ACCEPT_AGAIN: Tenths = 1_000;
/// Looks for who waits to be accepted, behind an event that led to nobody and behind one that did, and what lies
/// between two.
const LOOKS: u32 = 7;
const LOOKS_BEHIND: u32 = 2;
const LOOK_AGAIN: Tenths = 10;

impl Clients {
    /// Who gives way where others want in, first of all whoever sent no command yet; of each kind the one that
    /// is quiet for longest. One that was accepted a moment ago may be about to ask. Danger: one whose last answer
    /// is still on its way loses that if it sends something behind the close. It has time to take it, but where room
    /// `must` be made and all are such.
    fn gives_way(&self, now: Tenths, must: bool) -> Option<ClientKey> {
        let idle = self.table.iter().filter(|(_, c)| match c.stage {
            Stage::Ending => false,
            Stage::Told => true,
            _ if c.served => c.is_between(),
            _ => c.command.is_none() && c.quiet_since + SILENT_LEAST <= now,
        });
        let mut idle: Vec<(ClientKey, &Client)> = idle.collect();
        idle.sort_by_key(|(_, c)| (c.served && c.stage != Stage::Told, c.quiet_since));
        let free = idle.iter().find(|(_, c)| c.quiet_since + PATIENCE <= now || untaken(&c.stream) == 0);
        free.or(idle.first().filter(|_| must)).map(|(key, _)| *key)
    }
}

impl Program {
    /// Takes in all that want to connect, as far as there is room.
    pub fn accept(&mut self) {
        let Some((listener, _)) = &self.clients.listener else { return };
        // The system holds them meanwhile, and knows when their bytes came. Danger: served under settings older than those
        // that this router had been told before its start.
        if self.watch.is_starting() || !self.configuration.may_serve() {
            return;
        }
        let listener = listener.clone();
        self.clients.crowded = false;
        self.deadlines.clear(Due::Accept);
        for _ in 0..ACCEPTED_MOST {
            // Nobody is sent away for a client that does not come: one above the limit shows that more want in.
            if self.at_limit() && !self.make_room_for_a_client() {
                return self.accept_later();
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    self.clients.accept_looks = LOOKS_BEHIND;
                    self.welcome(stream);
                }
                Err(e) if is_transient(&e) => return self.look_again(),
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                // Danger: the system may grant fewer descriptors than this process was told.
                Err(e) if e.raw_os_error() == Some(libc::EMFILE) && self.make_room_for_a_client() => {}
                Err(e) => {
                    log!("cannot accept: {e}");
                    return self.accept_later();
                }
            }
        }
        // Those who wait for an answer come before more of those who want in.
        self.deadlines.set(Due::Accept, self.now + 1);
    }

    /// The system says that somebody wants in.
    pub fn accept_event(&mut self) {
        self.clients.accept_looks = LOOKS;
        self.accept();
    }

    /// Nobody is there to be accepted. Danger: it may have been said for a moment only, and no event tells of those
    /// who wait by then. So a few looks follow.
    fn look_again(&mut self) {
        if self.clients.accept_looks > 0 {
            self.clients.accept_looks -= 1;
            self.deadlines.set(Due::Accept, self.now + LOOK_AGAIN);
        }
    }

    /// Closes whoever gives way, after what it has sent meanwhile was taken in.
    fn make_room_for_a_client(&mut self) -> bool {
        let way = self.clients.gives_way(self.now, false);
        way.into_iter().for_each(|key| self.read_client(key));
        self.make_room(false)
    }

    /// Clients hold their part and more is not free: what nodes don't use of theirs is lent, but for a spare part.
    fn at_limit(&self) -> bool {
        let (clients, limits) = (self.clients.count(), self.limits);
        clients > limits.clients && clients + self.nodes.count() + limits.spare > limits.room
    }

    /// No room: tried again when a client has gone, and now and then for those that have become idle.
    fn accept_later(&mut self) {
        self.clients.crowded = true;
        self.deadlines.set(Due::Accept, self.now + ACCEPT_AGAIN);
    }

    /// Closes the client that gives way, at once, as its descriptor is wanted. One that has sent something meanwhile
    /// is left to be heard first: the module may be in the middle of deciding.
    pub fn make_room(&mut self, must: bool) -> bool {
        let Some(key) = self.clients.gives_way(self.now, must) else { return false };
        let client = &self.clients.table[key];
        if may_have_unread(&client.stream) && client.stage != Stage::Told {
            return false;
        }
        let kind = if client.served { "an idle one" } else { "one that asked for nothing" };
        log!("at the limit with {} clients: {kind} is closed", self.clients.table.len());
        self.counters.gave_way += 1;
        self.close_client(key, ClientClose::GaveWay);
        true
    }

    /// Takes in those who wait by now, a cancel among them. Danger: at the limit a look for somebody who is not there would
    /// send a client away.
    pub fn accept_waiting(&mut self) {
        for _ in 0..BACKLOG as usize / ACCEPTED_MOST {
            let waits = self.clients.listener.as_ref().is_some_and(|(l, _)| has_waiting(l));
            if !waits || self.clients.crowded {
                return;
            }
            self.accept();
        }
    }

    /// Whoever the system has let in is not left behind, however many.
    pub(super) fn accept_all(&mut self) {
        for _ in 0..BACKLOG as usize / ACCEPTED_MOST {
            self.accept();
        }
    }

    /// More is held for clients together than may be: whoever has sent most and is owed nothing gives way.
    pub(super) fn hold_less(&mut self) {
        if self.clients.held > self.limits.held {
            let owed_nothing = |c: &Client| c.command.is_none() && !c.input.is_empty();
            let holding = self.clients.table.iter().filter(|(_, c)| owed_nothing(c));
            let most = holding.max_by_key(|(_, c)| c.input.len()).map(|(key, _)| key);
            if let Some(key) = most {
                self.end_client(key, "53200", "more is held for clients than may be");
            }
        }
    }

    /// Clients may hold so many connections and no more. Some ask once and stay; before those have all, whoever has
    /// been between queries for longest is ended, first who never sent a command.
    pub(super) fn thin_out(&mut self) {
        let asked = |c: &Client| c.asked && matches!(c.stage, Stage::Ready | Stage::Skipping);
        let table = &self.clients.table;
        if table.len() <= self.limits.asked
            || table.values().filter(|c| asked(c)).count() <= self.limits.asked
        {
            return;
        }
        let quiet = table
            .iter()
            .filter(|(_, c)| asked(c) && c.is_between() && c.quiet_since + SILENT_LEAST <= self.now);
        if let Some(key) = quiet.min_by_key(|(_, c)| (c.served, c.quiet_since)).map(|(key, _)| key) {
            self.counters.quiet += 1;
            self.end_if_idle(key);
        }
    }
}
