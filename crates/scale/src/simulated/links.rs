//! How long a message is on its way, and which don't come.

use crate::schedule::Links;
use crate::{SECOND, Tenths};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

/// A stream sends again what is lost after so long.
const RESENT_AFTER: Tenths = 2_000;
/// A stream on which something stays on its way for so long is broken at both ends.
pub(super) const STREAM_PATIENCE: Tenths = 15 * SECOND;

/// Where a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) region: usize,
    pub(super) zone: usize,
}

/// Messages from some regions to some others don't come.
struct Cut {
    from: Vec<usize>,
    to: Vec<usize>,
    both: bool,
    until: Tenths,
}

pub(super) struct Ways {
    links: Links,
    places: Vec<Place>,
    cuts: BTreeMap<usize, Cut>,
    chance: WyRand,
}

impl Ways {
    pub(super) fn new(links: Links, places: Vec<Place>, seed: u64) -> Ways {
        Ways { links, places, cuts: BTreeMap::new(), chance: WyRand::new_seed(seed) }
    }

    pub(super) fn cut(&mut self, event: usize, from: &[usize], to: &[usize], both: bool, until: Tenths) {
        self.cuts.insert(event, Cut { from: from.to_vec(), to: to.to_vec(), both, until });
    }

    pub(super) fn mend(&mut self, event: usize) {
        self.cuts.remove(&event);
    }

    /// Until when nothing comes from one node to another, if so.
    pub(super) fn cut_until(&self, from: usize, to: usize) -> Option<Tenths> {
        let (from, to) = (self.places[from].region, self.places[to].region);
        let covers = |cut: &&Cut| {
            (cut.from.contains(&from) && cut.to.contains(&to))
                || (cut.both && cut.from.contains(&to) && cut.to.contains(&from))
        };
        self.cuts.values().filter(covers).map(|cut| cut.until).max()
    }

    pub(super) fn is_cut(&self) -> bool {
        !self.cuts.is_empty()
    }

    /// A time by chance, below `most`.
    pub(super) fn within(&mut self, most: Tenths) -> Tenths {
        self.chance.generate_range(0..most as u64) as Tenths
    }

    /// How long a datagram is on its way; none if it is lost.
    pub(super) fn datagram(&mut self, from: usize, to: usize) -> Option<Tenths> {
        if self.cut_until(from, to).is_some() || self.is_lost() {
            return None;
        }
        Some(self.delay(from, to))
    }

    /// How long a stream's message is on its way, the cuts of now left out.
    pub(super) fn stream(&mut self, from: usize, to: usize) -> Tenths {
        let resent = if self.is_lost() { RESENT_AFTER } else { 0 };
        resent + self.delay(from, to)
    }

    fn is_lost(&mut self) -> bool {
        let millionths = (self.links.loss * 1e6) as u32;
        self.chance.generate_range(0..1_000_000u32) < millionths
    }

    pub(super) fn delay(&mut self, from: usize, to: usize) -> Tenths {
        let (from, to) = (self.places[from], self.places[to]);
        let least = match (from.region == to.region, from.zone == to.zone) {
            (_, true) => self.links.within_zone,
            (true, _) => self.links.within_region,
            _ => self.links.between_regions,
        };
        let most = (least as f64 * self.links.jitter) as u64;
        (least + self.chance.generate_range(0..=most) as Tenths).max(1)
    }
}
