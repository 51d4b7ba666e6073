//! What goes along with the next message: the least told first, each so many times, and to whom.

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};
use vetchkeel_membership::Name;

/// Keys that are still to be told. One entry a key, so bounded by what is kept.
pub(crate) struct Spread<K> {
    told: BTreeMap<K, u32>,
    order: BTreeSet<(u32, K)>,
}

impl<K: Ord + Clone> Spread<K> {
    pub(crate) fn new() -> Spread<K> {
        Spread { told: BTreeMap::new(), order: BTreeSet::new() }
    }

    /// There is news about `key`.
    pub(crate) fn renew(&mut self, key: K) {
        self.drop(&key);
        self.told.insert(key.clone(), 0);
        self.order.insert((0, key));
    }

    pub(crate) fn drop(&mut self, key: &K) {
        if let Some(told) = self.told.remove(key) {
            self.order.remove(&(told, key.clone()));
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// The least told, as long as `takes` of all leave `room`; each is given up after `times`.
    pub(crate) fn pick(&mut self, mut room: usize, times: u32, takes: impl Fn(&K) -> usize) -> Vec<K> {
        let mut picked = Vec::new();
        for (_, key) in &self.order {
            let length = takes(key);
            if length > room {
                break;
            }
            room -= length;
            picked.push(key.clone());
        }
        for key in &picked {
            let Some(told) = self.told.remove(key) else { continue };
            self.order.remove(&(told, key.clone()));
            if told + 1 < times {
                self.told.insert(key.clone(), told + 1);
                self.order.insert((told + 1, key.clone()));
            }
        }
        picked
    }
}

/// How often something is told by each of `routers` until all know it: three times their binary logarithm.
pub(crate) fn times(routers: usize) -> u32 {
    3 * (routers as u32 + 1).ilog2().max(1)
}

/// Up to `count` of `live`, by chance, without `me`.
pub(crate) fn some(live: &BTreeSet<Name>, me: &Name, count: usize, chance: &mut WyRand) -> Vec<Name> {
    let mut others: Vec<_> = live.iter().filter(|name| *name != me).collect();
    let count = count.min(others.len());
    for at in 0..count {
        let other = chance.generate_range(at..others.len());
        others.swap(at, other);
    }
    others.into_iter().take(count).cloned().collect()
}
