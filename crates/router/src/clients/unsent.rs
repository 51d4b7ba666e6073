//! The order in which clients with pending output are written: answers, which have a deadline, and all other output
//! alternate. Danger: a write may stall, so many connections that end at once would delay a command's answer.

use crate::keys::ClientKey;
use std::collections::VecDeque;

#[derive(Default)]
pub(super) struct Unsent {
    owed: VecDeque<ClientKey>,
    others: VecDeque<ClientKey>,
    /// The last one came from `others`, so an answer is next.
    owed_is_next: bool,
}

impl Unsent {
    /// Adds a client with the complete answer to its query, or the error for an incomplete message.
    pub(super) fn push_owed(&mut self, key: ClientKey) {
        self.owed.push_back(key);
    }

    /// Adds a client with other output, or one to be checked again after its output.
    pub(super) fn push(&mut self, key: ClientKey) {
        self.others.push_back(key);
    }

    /// Removes the next client: the kinds alternate, each in order of arrival.
    pub(super) fn pop(&mut self) -> Option<ClientKey> {
        let owed = self.owed_is_next || self.others.is_empty();
        self.owed_is_next = !owed;
        let (first, second) =
            if owed { (&mut self.owed, &mut self.others) } else { (&mut self.others, &mut self.owed) };
        first.pop_front().or_else(|| second.pop_front())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.owed.is_empty() && self.others.is_empty()
    }
}

#[cfg(test)]
mod tests;
