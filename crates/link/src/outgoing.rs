//! Sending side of a stream: sequence numbers, unacknowledged messages, and the acknowledgement timeout.

use crate::message::{Kind, Message, SendError, Tenths};
use std::collections::VecDeque;

/// Bytes counted for a message beside its body, so that the number of empty messages is bounded too.
const MESSAGE_OVERHEAD: usize = 64;

/// How long acknowledgements are still read after the timeout, in tenths of a millisecond.
const FINAL_CHECK_DELAY: Tenths = 1_000;

#[derive(Debug)]
pub(crate) struct SendStream {
    /// The number of the next message.
    next: u64,
    /// The first number after the last break.
    epoch: u64,
    /// Unacknowledged messages, in order.
    waiting: VecDeque<Message>,
    bytes: usize,
    /// The last number written to the current connection.
    written: u64,
    /// Since when the first message has been waiting without progress.
    waiting_since: Tenths,
    /// Set once the timeout has passed: the stream breaks at this time, unless an acknowledgement arrives before.
    final_check_at: Option<Tenths>,
}

impl SendStream {
    /// Creates a stream whose first message gets the number `first`, which is 1 or more.
    pub(crate) fn new(first: u64) -> SendStream {
        let (waiting, written) = (VecDeque::new(), first - 1);
        SendStream {
            next: first,
            epoch: first,
            waiting,
            bytes: 0,
            written,
            waiting_since: 0,
            final_check_at: None,
        }
    }

    pub(crate) fn next_number(&self) -> u64 {
        self.next
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(crate) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    fn cost(body: &[u8]) -> usize {
        body.len() + MESSAGE_OVERHEAD
    }

    pub(crate) fn send(
        &mut self,
        now: Tenths,
        kind: Kind,
        body: &[u8],
        bound: usize,
    ) -> Result<u64, SendError> {
        let cost = SendStream::cost(body);
        // Danger: without this bound, messages to a peer that accepts nothing would fill this instance's
        // memory.
        if self.bytes + cost > bound {
            return Err(SendError::Full { waiting: self.bytes, bound });
        }
        if self.waiting.is_empty() {
            (self.waiting_since, self.final_check_at) = (now, None);
        }
        let number = self.next;
        self.next += 1;
        self.bytes += cost;
        self.waiting.push_back(Message { number, kind, body: body.to_vec() });
        Ok(number)
    }

    /// Returns the next message not yet written to the current connection.
    pub(crate) fn next_unwritten(&mut self) -> Option<&Message> {
        let first = self.waiting.front()?.number;
        let index = (self.written + 1).saturating_sub(first);
        let message = self.waiting.get(usize::try_from(index).ok()?)?;
        self.written = message.number;
        Some(message)
    }

    pub(crate) fn has_unwritten(&self) -> bool {
        self.waiting.back().is_some_and(|m| m.number > self.written)
    }

    /// Handles an acknowledgement of all messages up to `number`. False if it acknowledges nothing new.
    pub(crate) fn acknowledged(&mut self, now: Tenths, epoch: u64, number: u64) -> bool {
        // Danger: accepting an acknowledgement of a message that was never written would hide its loss.
        if epoch != self.epoch || number > self.written {
            return false;
        }
        let before = self.waiting.len();
        while let Some(message) = self.waiting.pop_front_if(|m| m.number <= number) {
            self.bytes -= SendStream::cost(&message.body);
        }
        let progress = self.waiting.len() < before;
        if progress {
            (self.waiting_since, self.final_check_at) = (now, None);
        }
        progress
    }

    /// When the timeout has to be checked next.
    pub(crate) fn times_out_at(&self, ack_timeout: Tenths) -> Option<Tenths> {
        self.is_waiting().then(|| self.final_check_at.unwrap_or(self.waiting_since + ack_timeout))
    }

    /// Whether the acknowledgement timeout has passed.
    pub(crate) fn is_timed_out(&mut self, now: Tenths, ack_timeout: Tenths) -> bool {
        if self.times_out_at(ack_timeout).is_none_or(|at| now < at) {
            return false;
        }
        // Danger: an instance that was itself paused must not time out its peers while their acknowledgements
        // are unread in its sockets, so the timeout counts only at a second check.
        let final_check = self.final_check_at.is_some();
        self.final_check_at.get_or_insert(now + FINAL_CHECK_DELAY);
        final_check
    }

    /// Handles the end of the connection. Messages that were written and not acknowledged may be lost: in that
    /// case all waiting messages are returned, since later ones must not overtake them. Otherwise the stream
    /// continues on the next connection.
    pub(crate) fn connection_ended(&mut self) -> Vec<Message> {
        let lost = self.waiting.front().is_some_and(|m| m.number <= self.written);
        if lost {
            return self.fail();
        }
        self.epoch = self.waiting.front().map_or(self.next, |m| m.number);
        Vec::new()
    }

    /// Breaks the stream: returns all unacknowledged messages; the next message begins an epoch.
    pub(crate) fn fail(&mut self) -> Vec<Message> {
        self.epoch = self.next;
        self.written = self.next - 1;
        self.bytes = 0;
        self.waiting.drain(..).collect()
    }
}
