//! Who has something to be written, and in which order: what is owed by a time and everything else by turns. Danger: a write may
//! be held up, so that many that are ended at once stand between a command and its answer.

use crate::keys::ClientKey;
use std::collections::VecDeque;

#[derive(Default)]
pub(super) struct Unsent {
    owed: VecDeque<ClientKey>,
    others: VecDeque<ClientKey>,
    /// Something else was written last.
    owed_is_next: bool,
}

impl Unsent {
    /// It is owed the whole answer to its query, or the error for half a message.
    pub(super) fn push_owed(&mut self, key: ClientKey) {
        self.owed.push_back(key);
    }

    /// It has something else to be written, or is to be looked at behind what it had.
    pub(super) fn push(&mut self, key: ClientKey) {
        self.others.push_back(key);
    }

    /// Whose turn it is, the longest waiting of its kind.
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
