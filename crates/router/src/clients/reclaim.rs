//! Carries out what the module gives up when more bytes are held for clients than there is memory for.

use super::*;
use vetchkeel::{PartialMessage, ReclaimStep};

/// A client that holds less input than this, in bytes, is not ended for memory.
const MIN_ENDED_INPUT: usize = 4_096;

impl Program {
    /// Gives up bytes held for clients while there are more than the limit. Danger: called while input is read, so nothing is
    /// written here.
    pub fn limit_memory(&mut self) {
        if self.memory.total() <= self.limits.held {
            return;
        }
        let (keys, messages) = self.partial_messages();
        for step in self.commands.reclaim_steps(self.now, &messages) {
            if self.memory.total() <= self.limits.held_after_reclaim {
                return;
            }
            match step {
                ReclaimStep::GiveUp(command) => self.give_up_for_memory(&command),
                ReclaimStep::Shorten(place) => self.shorten_message(keys[place]),
                ReclaimStep::EndClient(place) => self.end_for_memory(keys[place]),
            }
        }
    }

    /// The clients that have begun a message and have no open command, and their messages.
    fn partial_messages(&self) -> (Vec<ClientKey>, Vec<PartialMessage>) {
        let begun = self.clients.table.iter().filter(|(_, c)| c.command.is_none() && !c.input.is_empty());
        let message = |client: &Client| PartialMessage {
            received_at: client.input.last_received_at(),
            can_be_shortened: client.stage == Stage::Ready && client.input.can_be_shortened(),
        };
        begun.map(|(key, client)| (key, message(client))).unzip()
    }

    fn shorten_message(&mut self, key: ClientKey) {
        let Some(client) = self.clients.table.get_mut(key) else { return };
        let before = client.input.len();
        client.input.shorten();
        if client.input.len() < before {
            self.counters.shortened += 1;
        }
    }

    fn end_for_memory(&mut self, key: ClientKey) {
        let holds_memory = |c: &Client| c.input.len() >= MIN_ENDED_INPUT && c.input.is_incomplete();
        if self.clients.table.get(key).is_some_and(holds_memory) {
            self.end_client(key, "53200", "more is held for clients than may be");
        }
    }
}
