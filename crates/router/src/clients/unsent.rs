//! The order in which clients with pending output are written: answers, which have a deadline, and all other output
//! alternate. Danger: a write may stall, so many connections that end at once would delay a command's answer. Each client
//! stands once in each kind, however much it is answered: otherwise one that sends without pause would delay all others.

use crate::keys::ClientKey;
use slotmap::SecondaryMap;
use std::collections::VecDeque;

/// Clients in the order in which they were added, each once.
#[derive(Default)]
struct Queue {
    keys: VecDeque<ClientKey>,
    queued: SecondaryMap<ClientKey, ()>,
}

impl Queue {
    fn push(&mut self, key: ClientKey) {
        if self.queued.insert(key, ()).is_none() {
            self.keys.push_back(key);
        }
    }

    fn pop(&mut self) -> Option<ClientKey> {
        let key = self.keys.pop_front()?;
        self.queued.remove(key);
        Some(key)
    }
}

#[derive(Default)]
pub(super) struct Unsent {
    answers: Queue,
    others: Queue,
    /// The last one came from `others`, so an answer is next.
    answer_is_next: bool,
}

impl Unsent {
    /// Adds a client with the complete answer to its query, or the error for an incomplete message.
    pub(super) fn push_answer(&mut self, key: ClientKey) {
        self.answers.push(key);
    }

    /// Adds a client with other output, or one to be checked again after its output.
    pub(super) fn push(&mut self, key: ClientKey) {
        self.others.push(key);
    }

    /// Removes the next client: the kinds alternate, each in order of arrival.
    pub(super) fn pop(&mut self) -> Option<ClientKey> {
        let take_answer = self.answer_is_next || self.others.keys.is_empty();
        self.answer_is_next = !take_answer;
        let (first, second) = if take_answer {
            (&mut self.answers, &mut self.others)
        } else {
            (&mut self.others, &mut self.answers)
        };
        first.pop().or_else(|| second.pop())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.answers.keys.is_empty() && self.others.keys.is_empty()
    }
}

#[cfg(test)]
mod tests;
