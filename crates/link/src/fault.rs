//! What a link between two instances does to what passes in one direction, without I/O: the simulated network and the
//! relays between processes draw from the same.

use crate::message::Tenths;
use nanorand::{Rng, WyRand};

/// What is wrong with one direction of a link. The default: nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing passes. Bytes of connections are held until the cut is over, as their senders would repeat them.
    pub cut: bool,
    /// Part of the datagrams that are lost. Bytes of connections come later by [`REPEAT`] instead.
    pub drop: f64,
    /// Part of the datagrams that come twice.
    pub duplicate: f64,
    /// Part of the datagrams that are late by up to another `jitter` + 5 ms, so that later ones overtake them.
    pub reorder: f64,
    /// Everything is late by this, and by up to `jitter` more. Tenths of a millisecond.
    pub delay: Tenths,
    pub jitter: Tenths,
    /// Bytes a second that pass; 0: without limit. What would wait over [`LINE_MOST`] is lost, or held for connections.
    pub rate: u64,
    /// Connections end when this begins, and none can be made while it holds.
    pub reset: bool,
}

/// After which time lost bytes of a connection are repeated.
pub const REPEAT: Tenths = 2_000;
/// The longest wait of a datagram in a throttled line.
pub const LINE_MOST: Tenths = 5_000;
/// Beyond `jitter`, how late a reordered datagram may be.
const OVERTAKEN: Tenths = 50;

/// One direction of a link: its fault of now, its chance, and when what passed last is through.
#[derive(Clone, Debug)]
pub struct Line {
    fault: Fault,
    chance: WyRand,
    free_at: Tenths,
    /// When the last bytes of connections come out.
    last_out: Tenths,
}

impl Line {
    pub fn new(seed: u64) -> Line {
        let (free_at, last_out) = (Tenths::MIN, Tenths::MIN);
        Line { fault: Fault::default(), chance: WyRand::new_seed(seed), free_at, last_out }
    }

    pub fn fault(&self) -> &Fault {
        &self.fault
    }

    pub fn set(&mut self, fault: Fault) {
        self.fault = fault;
    }

    fn chance_of(&mut self, part: f64) -> bool {
        // No draw without need: a line without faults leaves its chance as it was.
        part > 0.0 && self.part() < part
    }

    fn part(&mut self) -> f64 {
        (self.chance.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn up_to(&mut self, most: Tenths) -> Tenths {
        if most > 0 { (self.part() * (most + 1) as f64) as Tenths } else { 0 }
    }

    /// When `length` bytes would be through the line if they were put on it now.
    fn through(&self, now: Tenths, length: usize) -> Tenths {
        match self.fault.rate {
            0 => now,
            rate => self.free_at.max(now) + (length as u64 * 10_000).div_ceil(rate) as Tenths,
        }
    }

    /// When each copy of a datagram arrives; none: it is lost.
    pub fn datagram(&mut self, now: Tenths, length: usize) -> Vec<Tenths> {
        let Fault { drop, duplicate, reorder, delay, jitter, .. } = self.fault;
        let through = self.through(now, length);
        if self.fault.cut || self.chance_of(drop) || through - now > LINE_MOST {
            return Vec::new();
        }
        self.free_at = through;
        let copies = if self.chance_of(duplicate) { 2 } else { 1 };
        let late = |line: &mut Line| {
            let overtaken = if line.chance_of(reorder) { 1 + line.up_to(jitter + OVERTAKEN - 1) } else { 0 };
            through + delay + line.up_to(jitter) + overtaken
        };
        (0..copies).map(|_| late(self)).collect()
    }

    /// When bytes of a connection arrive, never before those before them. None: the line is cut, ask again when it is not.
    pub fn bytes(&mut self, now: Tenths, length: usize) -> Option<Tenths> {
        if self.fault.cut {
            return None;
        }
        let Fault { drop, delay, jitter, .. } = self.fault;
        let through = self.through(now, length);
        self.free_at = through;
        let repeated = if self.chance_of(drop) { REPEAT } else { 0 };
        self.last_out = self.last_out.max(through + delay + self.up_to(jitter) + repeated);
        Some(self.last_out)
    }
}
