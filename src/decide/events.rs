//! What the host may log of the decisions: states that change, and why commands are given up.

use super::*;

/// So many events are kept for a host that asks late; the newest are left out beyond that.
const EVENTS_MOST: usize = 256;

impl Router {
    /// What happened since this was asked last.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub(super) fn note(&mut self, event: Event) {
        if self.events.len() < EVENTS_MOST {
            self.events.push(event);
        }
    }

    pub(super) fn set_state(&mut self, node: Node, to: State, reason: StateReason) {
        let from = std::mem::replace(&mut self.members[node].state, to);
        if from != to {
            let node = self.members[node].id.clone();
            self.note(Event::State { node, from, to, reason });
        }
    }
}
