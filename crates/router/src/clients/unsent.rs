//! The order in which clients with pending output are written: answers, which have a deadline, and all other output
//! alternate. Danger: a write may stall, so many connections that end at once would delay a command's answer.

use crate::keys::ClientKey;
use std::collections::VecDeque;

#[derive(Default)]
pub(super) struct Unsent {
    answers: VecDeque<ClientKey>,
    others: VecDeque<ClientKey>,
    /// The last one came from `others`, so an answer is next.
    answer_is_next: bool,
}

impl Unsent {
    /// Adds a client with the complete answer to its query, or the error for an incomplete message.
    pub(super) fn push_answer(&mut self, key: ClientKey) {
        self.answers.push_back(key);
    }

    /// Adds a client with other output, or one to be checked again after its output.
    pub(super) fn push(&mut self, key: ClientKey) {
        self.others.push_back(key);
    }

    /// Removes the next client: the kinds alternate, each in order of arrival.
    pub(super) fn pop(&mut self) -> Option<ClientKey> {
        let take_answer = self.answer_is_next || self.others.is_empty();
        self.answer_is_next = !take_answer;
        let (first, second) = if take_answer {
            (&mut self.answers, &mut self.others)
        } else {
            (&mut self.others, &mut self.answers)
        };
        first.pop_front().or_else(|| second.pop_front())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.answers.is_empty() && self.others.is_empty()
    }
}

#[cfg(test)]
mod tests;
