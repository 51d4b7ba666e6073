//! One stream on its sender's side: numbers, what waits for its acknowledgement, when it broke.

use crate::message::{Kind, Message, Refused, Tenths};
use std::collections::VecDeque;

/// What a message counts beside its body, so that empty ones are bounded too. Bytes.
const BESIDE_BODY: usize = 64;

/// For how long answers are still looked for when patience has ended. Tenths of a millisecond.
const LAST_LOOK: Tenths = 1_000;

#[derive(Debug)]
pub(crate) struct Outgoing {
    /// The number that the next message gets.
    next: u64,
    /// The first number since the last break.
    epoch: u64,
    /// In order; the front is the first without an acknowledgement.
    waiting: VecDeque<Message>,
    bytes: usize,
    /// The last number given to the connection at hand.
    written: u64,
    /// Since when the front has been waiting.
    since: Tenths,
    /// Patience has ended; when that counts, unless something comes in until then.
    last_look: Option<Tenths>,
}

impl Outgoing {
    /// Whose first message gets the number `first`, which is 1 or more.
    pub(crate) fn new(first: u64) -> Outgoing {
        let (waiting, written) = (VecDeque::new(), first - 1);
        Outgoing { next: first, epoch: first, waiting, bytes: 0, written, since: 0, last_look: None }
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
        body.len() + BESIDE_BODY
    }

    pub(crate) fn send(
        &mut self,
        now: Tenths,
        kind: Kind,
        body: &[u8],
        bound: usize,
    ) -> Result<u64, Refused> {
        let cost = Outgoing::cost(body);
        // Danger: a peer that takes nothing would let its messages fill this instance.
        if self.bytes + cost > bound {
            return Err(Refused::Full { waiting: self.bytes, bound });
        }
        if self.waiting.is_empty() {
            (self.since, self.last_look) = (now, None);
        }
        let number = self.next;
        self.next += 1;
        self.bytes += cost;
        self.waiting.push_back(Message { number, kind, body: body.to_vec() });
        Ok(number)
    }

    /// The next message that the connection at hand was not given yet.
    pub(crate) fn unwritten(&mut self) -> Option<&Message> {
        let first = self.waiting.front()?.number;
        let place = (self.written + 1).saturating_sub(first);
        let message = self.waiting.get(usize::try_from(place).ok()?)?;
        self.written = message.number;
        Some(message)
    }

    pub(crate) fn has_unwritten(&self) -> bool {
        self.waiting.back().is_some_and(|m| m.number > self.written)
    }

    /// All up to `number` were handed over. False if that is no news.
    pub(crate) fn acknowledged(&mut self, now: Tenths, epoch: u64, number: u64) -> bool {
        // Danger: an acknowledgement of what was never written would make a loss silent.
        if epoch != self.epoch || number > self.written {
            return false;
        }
        let before = self.waiting.len();
        while let Some(message) = self.waiting.pop_front_if(|m| m.number <= number) {
            self.bytes -= Outgoing::cost(&message.body);
        }
        let news = self.waiting.len() < before;
        if news {
            (self.since, self.last_look) = (now, None);
        }
        news
    }

    /// When to ask whether the front is silent.
    pub(crate) fn silent_at(&self, patience: Tenths) -> Option<Tenths> {
        self.is_waiting().then(|| self.last_look.unwrap_or(self.since + patience))
    }

    /// Whether patience with the front has ended.
    pub(crate) fn is_silent(&mut self, now: Tenths, patience: Tenths) -> bool {
        if self.silent_at(patience).is_none_or(|at| now < at) {
            return false;
        }
        // Danger: an instance that was itself paused would blame its peers, whose answers lie unread in its sockets.
        let looked = self.last_look.is_some();
        self.last_look.get_or_insert(now + LAST_LOOK);
        looked
    }

    /// The connection ended. What of it was written and not acknowledged may be lost: then all that waits is handed back,
    /// for later messages must not overtake it. Otherwise the stream goes on with the next connection.
    pub(crate) fn connection_ended(&mut self) -> Vec<Message> {
        let lost = self.waiting.front().is_some_and(|m| m.number <= self.written);
        if lost {
            return self.broke();
        }
        self.epoch = self.waiting.front().map_or(self.next, |m| m.number);
        Vec::new()
    }

    /// Everything that waits; the next message begins an epoch.
    pub(crate) fn broke(&mut self) -> Vec<Message> {
        self.epoch = self.next;
        self.written = self.next - 1;
        self.bytes = 0;
        self.waiting.drain(..).collect()
    }
}
