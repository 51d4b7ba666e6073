//! Claims to be piggybacked on other messages, each a limited number of times, those sent least often first. There is at
//! most one claim per name, so the size of the fleet bounds the queue.

use std::collections::{BTreeMap, BTreeSet};

use crate::claim::Claim;
use crate::{Name, wire};

#[derive(Default)]
pub(crate) struct GossipQueue {
    claims: BTreeMap<Name, (u32, Claim)>,
    /// Index of the names by how often their claims were sent.
    by_sent_count: BTreeSet<(u32, Name)>,
}

impl GossipQueue {
    /// Adds a claim and replaces an older one about the same instance.
    pub(crate) fn enqueue(&mut self, claim: Claim) {
        let name = claim.instance.name.clone();
        if let Some((sent, _)) = self.claims.insert(name.clone(), (0, claim)) {
            self.by_sent_count.remove(&(sent, name.clone()));
        }
        self.by_sent_count.insert((0, name));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Takes claims for a message that has `room` bytes left. A claim is removed after it was sent `limit` times.
    pub(crate) fn take_batch(&mut self, mut room: usize, limit: u32) -> Vec<Claim> {
        let mut picked = Vec::new();
        for (_, name) in &self.by_sent_count {
            let Some((_, claim)) = self.claims.get(name) else { continue };
            let length = wire::length(claim);
            if length > room {
                break;
            }
            room -= length;
            picked.push(claim.clone());
        }
        for claim in &picked {
            let name = &claim.instance.name;
            let Some((sent, _)) = self.claims.get_mut(name) else { continue };
            self.by_sent_count.remove(&(*sent, name.clone()));
            *sent += 1;
            if *sent < limit {
                self.by_sent_count.insert((*sent, name.clone()));
            } else {
                self.claims.remove(name);
            }
        }
        picked
    }
}
