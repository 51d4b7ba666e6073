//! Selects the updates to gossip in the next message and the peers to send it to. Updates sent least often go first,
//! and each is sent a limited number of times.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};
use vetchkeel_membership::Name;

/// Keys of updates that are still to be sent. Holds one entry per key, so its size is bounded by the number of entries
/// that the owner keeps.
pub(crate) struct GossipQueue<K> {
    sent: BTreeMap<K, u32>,
    order: BTreeSet<(u32, K)>,
}

impl<K: Ord + Clone> GossipQueue<K> {
    pub(crate) fn new() -> GossipQueue<K> {
        GossipQueue { sent: BTreeMap::new(), order: BTreeSet::new() }
    }

    /// Queues the changed entry of `key`, with its send count reset.
    pub(crate) fn push(&mut self, key: K) {
        self.remove(&key);
        self.sent.insert(key.clone(), 0);
        self.order.insert((0, key));
    }

    pub(crate) fn remove(&mut self, key: &K) {
        if let Some(sent) = self.sent.remove(key) {
            self.order.remove(&(sent, key.clone()));
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Selects the keys sent least often whose encoded lengths, given by `encoded_len`, fit into `room` bytes. A key is
    /// dropped after `limit` transmissions.
    pub(crate) fn select(
        &mut self,
        mut room: usize,
        limit: u32,
        encoded_len: impl Fn(&K) -> usize,
    ) -> Vec<K> {
        let mut selected = Vec::new();
        for (_, key) in &self.order {
            let length = encoded_len(key);
            if length > room {
                break;
            }
            room -= length;
            selected.push(key.clone());
        }
        for key in &selected {
            let Some(sent) = self.sent.remove(key) else { continue };
            self.order.remove(&(sent, key.clone()));
            if sent + 1 < limit {
                self.sent.insert(key.clone(), sent + 1);
                self.order.insert((sent + 1, key.clone()));
            }
        }
        selected
    }
}

/// How often each router sends an update so that it reaches all `routers`: three times their binary logarithm.
pub(crate) fn transmit_limit(routers: usize) -> u32 {
    3 * (routers as u32 + 1).ilog2().max(1)
}

/// Up to `count` random members of `live`, without `me`.
pub(crate) fn random_peers(live: &BTreeSet<Name>, me: &Name, count: usize, chance: &mut WyRand) -> Vec<Name> {
    let mut others: Vec<_> = live.iter().filter(|name| *name != me).collect();
    let count = count.min(others.len());
    for at in 0..count {
        let other = chance.generate_range(at..others.len());
        others.swap(at, other);
    }
    others.into_iter().take(count).cloned().collect()
}
