//! Events for the host's log: changes of member states, and the reasons why commands are given up.

use super::*;

/// Most events kept for a host that rarely takes them; newer ones are dropped.
const MAX_EVENTS: usize = 256;

impl Router {
    /// The events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub(super) fn record_event(&mut self, event: Event) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }

    pub(super) fn set_state(&mut self, node: Node, to: State, reason: StateReason) {
        let from = std::mem::replace(&mut self.members[node].state, to);
        if from != to {
            let node = self.members[node].id.clone();
            self.record_event(Event::State { node, from, to, reason });
        }
    }
}
