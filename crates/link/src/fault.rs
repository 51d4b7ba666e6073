//! Faults on one direction of a link between two instances, without I/O. Used by the simulated network and by the
//! relays between processes.

use crate::message::Tenths;
use nanorand::{Rng, WyRand};

/// Faults of one direction of a link. The default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing passes. Bytes of connections are held until the cut is over, as TCP would retransmit them.
    pub cut: bool,
    /// Fraction of datagrams that are lost. Bytes of connections are delayed by [`REPEAT`] instead.
    pub drop: f64,
    /// Fraction of datagrams that are duplicated.
    pub duplicate: f64,
    /// Fraction of datagrams that are delayed by up to another `jitter` + 5 ms, so that later ones overtake them.
    pub reorder: f64,
    /// Everything is delayed by this, and by up to `jitter` more. Tenths of a millisecond.
    pub delay: Tenths,
    pub jitter: Tenths,
    /// Bandwidth in bytes a second; 0 is unlimited. A datagram that would be queued longer than [`LINE_MOST`] is
    /// lost; bytes of connections are held.
    pub rate: u64,
    /// Connections are reset when this begins, and none can be made while it holds.
    pub reset: bool,
}

/// Delay after which lost bytes of a connection are retransmitted.
pub const REPEAT: Tenths = 2_000;
/// Maximum queueing delay of a datagram on a throttled line.
pub const LINE_MOST: Tenths = 5_000;
/// Maximum delay of a reordered datagram beyond `jitter`.
const OVERTAKEN: Tenths = 50;

/// One direction of a link: its current fault, its random generator, and when the data sent last has been
/// transmitted.
#[derive(Clone, Debug)]
pub struct Line {
    fault: Fault,
    chance: WyRand,
    free_at: Tenths,
    /// When the last bytes of connections arrive.
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
        // Draws a random number only if needed: a line without faults leaves the generator's state unchanged.
        part > 0.0 && self.part() < part
    }

    fn part(&mut self) -> f64 {
        (self.chance.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn up_to(&mut self, most: Tenths) -> Tenths {
        if most > 0 { (self.part() * (most + 1) as f64) as Tenths } else { 0 }
    }

    /// When `length` bytes sent now would be fully transmitted.
    fn through(&self, now: Tenths, length: usize) -> Tenths {
        match self.fault.rate {
            0 => now,
            rate => self.free_at.max(now) + (length as u64 * 10_000).div_ceil(rate) as Tenths,
        }
    }

    /// Arrival time of each copy of a datagram; empty if it is lost.
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

    /// Arrival time of bytes of a connection, never before that of earlier bytes. None: the line is cut; ask
    /// again when it is not.
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
