//! Decides when the member list is requested from discovery, which of several open requests are kept, and which answer is
//! accepted. A request whose answer is late is not given up: a further one is made beside it, and whichever brings the list
//! first becomes the watch. A short time limit alone would never get the list of a discovery that takes longer than that;
//! a long one would wait too long for an answer that never comes.
//!
//! The host carries out what is decided: it opens and closes the connections, reads them and reports what has arrived.

use crate::interface::Tenths;

/// Danger: a change that a silent watch misses counts as known to this router 6 s after the watch fell silent. While nothing
/// changes, the agent sends an empty line every 2 s. 1 s after a missing line the list is requested, so that two further
/// requests can be made within the 6 s.
const MAX_SILENCE: Tenths = 30_000;
/// How long a request may stay unanswered before a further one is made beside it.
const RESPONSE_TIMEOUT: Tenths = 10_000;
/// The same for a request that makes as many open ones as are allowed. Danger: a request that one of these replaces loses
/// what it has waited for, so they last longer; but after an outage the next request has to be made, and its answer to
/// arrive, within 6 s.
const RESPONSE_TIMEOUT_AT_LIMIT: Tenths = 15_000;
/// Most requests that are open and unanswered at the same time.
const MAX_PENDING: usize = 3;
/// How long the oldest request is kept at the limit after the last bytes of its response.
const MAX_WAIT: Tenths = 300_000;

/// A request and its connection; later ones have larger numbers.
pub type RequestId = u64;

/// A request that the host has to make now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewRequest {
    pub id: RequestId,
    /// The changes since this version are requested; at 0 the full list.
    pub since_version: u64,
    /// The request that it replaces, whose connection has to be closed first.
    pub replaces: Option<RequestId>,
}

/// What a read of a request's connection has brought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListInput {
    /// When it arrived.
    pub at: Tenths,
    /// Whether these are the first bytes of the response, and whether nothing of its body had arrived before.
    pub is_first: bool,
    pub is_first_of_body: bool,
    /// Whether the body went on. Bytes of a value that stays incomplete do not count.
    pub made_progress: bool,
    /// Whether a list or a change is complete.
    pub has_list: bool,
}

/// What follows from input of a connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InputEffect {
    /// The watch works and nothing has changed.
    pub nothing_changed: bool,
    /// Connections that are not needed any more.
    pub closes: Vec<RequestId>,
}

/// A list or change that is to be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedList {
    /// Whether it came on the current watch, rather than on one that is read until there is another.
    pub is_current: bool,
    /// Connections that are not needed any more.
    pub closes: Vec<RequestId>,
}

/// A list or change that must not be applied, because a newer one is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OlderVersion {
    pub in_use: u64,
}

/// A time limit that has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListTimeout {
    /// The request is kept.
    NotAnswered { id: RequestId, waited: Tenths },
    /// The watch is read until another one has brought a list.
    Silent { id: RequestId },
}

/// A request that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    id: RequestId,
    made_at: Tenths,
    /// When the last bytes of its response arrived, or when it was made.
    heard_at: Tenths,
    is_full: bool,
    /// When a further one is due.
    due_at: Tenths,
    is_overdue: bool,
}

/// A request that was answered, and whose response goes on with the changes.
#[derive(Clone, Copy, Debug)]
struct WatchState {
    id: RequestId,
    silent_at: Tenths,
    superseded: Option<Superseded>,
}

/// Why the list is requested although there is a watch, which is read until a request has brought the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Superseded {
    /// It has been silent for too long. A change may still be on its way, in pieces.
    BySilence,
    /// Discovery has another address since. This is the last version received on the watch.
    ByReload { version: u64 },
}

/// The requests for the member list at one router.
#[derive(Debug)]
pub struct ListRequests {
    last_id: RequestId,
    /// The version of the list in use; 0 if there is none.
    version: u64,
    /// The full list is requested until a request for it was answered.
    requests_full: bool,
    /// A list older than the one in use was received, and this was the last request before. If the full list that is requested
    /// later is older too, it is the agent's current list. Danger: an answer to an earlier request may have been on its way
    /// for as long as the first, and confirms nothing.
    older_list_after: Option<RequestId>,
    /// The oldest first.
    pending: Vec<PendingRequest>,
    watch: Option<WatchState>,
    /// The host has been told to call `next_request` after a pause.
    retry_scheduled: bool,
}

impl ListRequests {
    /// Begins with the version of the list known at the start; 0 if there is none.
    pub fn new(version: u64) -> ListRequests {
        ListRequests {
            last_id: 0,
            version,
            requests_full: true,
            older_list_after: None,
            pending: Vec::new(),
            watch: None,
            retry_scheduled: false,
        }
    }

    /// The request to make now, if one is due.
    pub fn next_request(&mut self, now: Tenths) -> Option<NewRequest> {
        self.retry_scheduled = false;
        if self.is_watching() || self.awaits_answer() {
            return None;
        }
        let replaces = (self.pending.len() == MAX_PENDING).then(|| self.give_up_one(now));
        let is_full = self.requests_full || self.version == 0;
        let is_last_allowed = self.pending.len() + 1 == MAX_PENDING;
        let timeout = if is_last_allowed { RESPONSE_TIMEOUT_AT_LIMIT } else { RESPONSE_TIMEOUT };
        self.last_id += 1;
        let id = self.last_id;
        self.pending.push(PendingRequest {
            id,
            made_at: now,
            heard_at: now,
            is_full,
            due_at: now + timeout,
            is_overdue: false,
        });
        Some(NewRequest { id, since_version: if is_full { 0 } else { self.version }, replaces })
    }

    /// When `handle_timeout` has to be called.
    pub fn due_at(&self) -> Option<Tenths> {
        if self.is_watching() {
            return self.watch.map(|watch| watch.silent_at);
        }
        self.pending.last().filter(|newest| !newest.is_overdue).map(|newest| newest.due_at)
    }

    /// Handles a time limit that has passed. The full list is requested next: unlike changes it arrives in any case, so an
    /// answer that stalls is detected well within the permitted silence.
    pub fn handle_timeout(&mut self, now: Tenths) -> Option<ListTimeout> {
        if self.due_at().is_none_or(|due_at| due_at > now) {
            return None;
        }
        self.requests_full = true;
        if let Some(watch) = self.watch.as_mut().filter(|watch| watch.superseded.is_none()) {
            watch.superseded = Some(Superseded::BySilence);
            return Some(ListTimeout::Silent { id: watch.id });
        }
        let newest = self.pending.last_mut()?;
        newest.is_overdue = true;
        Some(ListTimeout::NotAnswered { id: newest.id, waited: now - newest.made_at })
    }

    /// Whether the host should ask for the next request after a pause, now that a request has failed or is overdue.
    pub fn needs_retry(&mut self) -> bool {
        let needed = !self.is_watching() && !self.awaits_answer() && !self.retry_scheduled;
        self.retry_scheduled |= needed;
        needed
    }

    /// Handles input of a connection, before its lists are passed to `list_received`. Danger: a response head, or a value that
    /// stays incomplete, does not show that the list will arrive, so neither answers a request for the full list.
    pub fn input_received(&mut self, id: RequestId, input: ListInput) -> InputEffect {
        if self.is_current_watch(id) {
            if input.made_progress || input.has_list {
                self.watch_works(id, input.at);
            }
            return InputEffect { nothing_changed: shows_no_change(input), closes: Vec::new() };
        }
        let Some(pending) = self.pending.iter_mut().find(|pending| pending.id == id) else {
            return InputEffect::default();
        };
        pending.heard_at = input.at;
        let is_answered = input.made_progress || input.is_first && !pending.is_overdue;
        if pending.is_full || !is_answered {
            return InputEffect::default();
        }
        let closes = self.become_watch(id, input.at);
        InputEffect { nothing_changed: shows_no_change(input), closes }
    }

    /// Decides on a list or change that arrived. Danger: an older version would undo later changes, such as a drain, so it is
    /// rejected. If the agent has restarted its version numbers, the full list that is requested next has an older version
    /// again and is accepted.
    pub fn list_received(
        &mut self,
        id: RequestId,
        at: Tenths,
        version: u64,
        is_full_list: bool,
    ) -> Result<AcceptedList, OlderVersion> {
        if self.is_superseded(id) {
            return self.list_received_on_superseded(version);
        }
        let is_full_request = self.pending.iter().any(|pending| pending.id == id && pending.is_full);
        let is_confirmed =
            is_full_request && is_full_list && self.older_list_after.is_some_and(|last| id > last);
        if version < self.version && !is_confirmed {
            self.reject_older_list();
            return Err(OlderVersion { in_use: self.version });
        }
        (self.version, self.older_list_after) = (version, None);
        // Danger: if the flag were cleared when the request is made, one that fails before its list arrives would lose it.
        self.requests_full &= !is_full_request;
        let closes = self.become_watch(id, at);
        Ok(AcceptedList { is_current: true, closes })
    }

    /// The same on the superseded watch. It tells nothing about the requests that are open.
    fn list_received_on_superseded(&mut self, version: u64) -> Result<AcceptedList, OlderVersion> {
        let superseded = self.watch.as_mut().and_then(|watch| watch.superseded.as_mut());
        let in_use = match superseded {
            Some(Superseded::ByReload { version }) => version,
            Some(Superseded::BySilence) | None => &mut self.version,
        };
        if version < *in_use {
            return Err(OlderVersion { in_use: *in_use });
        }
        *in_use = version;
        Ok(AcceptedList { is_current: false, closes: Vec::new() })
    }

    /// A value that cannot be used arrived: the full list is requested next.
    pub fn invalid_value_received(&mut self, id: RequestId) {
        self.requests_full |= !self.is_superseded(id);
    }

    /// The connection has ended.
    pub fn connection_closed(&mut self, id: RequestId) {
        self.pending.retain(|pending| pending.id != id);
        self.watch = self.watch.filter(|watch| watch.id != id);
    }

    /// Discovery has another address from now on. The versions there may be unrelated, so its full list is requested. The watch
    /// of the address before is read until then. Returns the connections to close: an answer of the address before is none
    /// of the new one.
    pub fn change_address(&mut self) -> Vec<RequestId> {
        if let Some(watch) = &mut self.watch {
            let is_reloaded_again = matches!(watch.superseded, Some(Superseded::ByReload { .. }));
            if !is_reloaded_again {
                watch.superseded = Some(Superseded::ByReload { version: self.version });
            }
        }
        (self.version, self.requests_full, self.older_list_after) = (0, true, None);
        self.pending.drain(..).map(|pending| pending.id).collect()
    }

    fn is_watching(&self) -> bool {
        self.watch.is_some_and(|watch| watch.superseded.is_none())
    }

    fn is_current_watch(&self, id: RequestId) -> bool {
        self.watch.is_some_and(|watch| watch.id == id && watch.superseded.is_none())
    }

    fn is_superseded(&self, id: RequestId) -> bool {
        self.watch.is_some_and(|watch| watch.id == id && watch.superseded.is_some())
    }

    /// Whether a request is open whose answer is not overdue.
    fn awaits_answer(&self) -> bool {
        self.pending.iter().any(|pending| !pending.is_overdue)
    }

    /// Gives up one request for a further one. Where all answers take equally long the oldest request is answered first, so it
    /// is kept, and the newest has had the least time. An oldest one that has received nothing for too long may never be
    /// answered.
    fn give_up_one(&mut self, now: Tenths) -> RequestId {
        let oldest_is_stalled = self.pending[0].heard_at + MAX_WAIT <= now;
        self.pending.remove(if oldest_is_stalled { 0 } else { 1 }).id
    }

    /// The requests made so far can't confirm an older list, so a further one is due.
    fn reject_older_list(&mut self) {
        self.older_list_after.get_or_insert(self.last_id);
        self.requests_full = true;
        self.pending.iter_mut().for_each(|pending| pending.is_overdue = true);
    }

    /// Makes this the watch and returns all other connections, which are to be closed.
    fn become_watch(&mut self, id: RequestId, at: Tenths) -> Vec<RequestId> {
        let before = self.watch.map(|watch| watch.id);
        let others = self.pending.drain(..).map(|pending| pending.id).chain(before);
        let others = others.filter(|other| *other != id).collect();
        self.watch = Some(WatchState { id, silent_at: at + MAX_SILENCE, superseded: None });
        others
    }

    fn watch_works(&mut self, id: RequestId, at: Tenths) {
        if let Some(watch) = self.watch.as_mut().filter(|watch| watch.id == id) {
            watch.silent_at = at + MAX_SILENCE;
        }
    }
}

/// Whether input shows that the watch works and that nothing has changed: the body begins with an empty line.
fn shows_no_change(input: ListInput) -> bool {
    input.is_first_of_body && input.made_progress && !input.has_list
}

#[cfg(test)]
mod tests;
