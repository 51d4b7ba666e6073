//! Faults on one direction of a link between two instances, without I/O. Used by the simulated network and by the
//! relays between processes.

use crate::message::Tenths;
use nanorand::{Rng, WyRand};

/// Faults of one direction of a link. The default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing passes. Bytes of connections are held until the cut is over, as TCP would retransmit them.
    pub cut: bool,
    /// Fraction of datagrams that are lost. Bytes of connections are delayed by [`RETRANSMIT_DELAY`] instead.
    pub drop: f64,
    /// Fraction of datagrams that are duplicated.
    pub duplicate: f64,
    /// Fraction of datagrams that are delayed by up to another `jitter` + 5 ms, so that later ones overtake them.
    pub reorder: f64,
    /// Everything is delayed by this, and by up to `jitter` more. Tenths of a millisecond.
    pub delay: Tenths,
    pub jitter: Tenths,
    /// Bandwidth in bytes a second; 0 is unlimited. A datagram that would be queued longer than [`MAX_QUEUE_DELAY`] is
    /// lost; bytes of connections are held.
    pub rate: u64,
    /// Connections are reset when this begins, and none can be made while it holds.
    pub reset: bool,
}

/// Delay after which lost bytes of a connection are retransmitted.
pub const RETRANSMIT_DELAY: Tenths = 2_000;
/// Maximum queueing delay of a datagram on a throttled line.
pub const MAX_QUEUE_DELAY: Tenths = 5_000;
/// Maximum delay of a reordered datagram beyond `jitter`.
const MAX_REORDER_DELAY: Tenths = 50;

/// One direction of a link: its current fault, its random generator, and when the data sent last has been
/// transmitted.
#[derive(Clone, Debug)]
pub struct Line {
    fault: Fault,
    rng: WyRand,
    free_at: Tenths,
    /// When the last bytes of connections arrive.
    last_arrival: Tenths,
}

impl Line {
    pub fn new(seed: u64) -> Line {
        let (free_at, last_arrival) = (Tenths::MIN, Tenths::MIN);
        Line { fault: Fault::default(), rng: WyRand::new_seed(seed), free_at, last_arrival }
    }

    pub fn fault(&self) -> &Fault {
        &self.fault
    }

    pub fn set(&mut self, fault: Fault) {
        self.fault = fault;
    }

    fn random_bool(&mut self, probability: f64) -> bool {
        // Draws a random number only if needed: a line without faults leaves the generator's state unchanged.
        probability > 0.0 && self.random_fraction() < probability
    }

    fn random_fraction(&mut self) -> f64 {
        (self.rng.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn random_up_to(&mut self, max: Tenths) -> Tenths {
        if max > 0 { (self.random_fraction() * (max + 1) as f64) as Tenths } else { 0 }
    }

    /// When `length` bytes sent now would be fully transmitted.
    fn transmitted_at(&self, now: Tenths, length: usize) -> Tenths {
        match self.fault.rate {
            0 => now,
            rate => self.free_at.max(now) + (length as u64 * 10_000).div_ceil(rate) as Tenths,
        }
    }

    /// Arrival time of each copy of a datagram; empty if it is lost.
    pub fn datagram(&mut self, now: Tenths, length: usize) -> Vec<Tenths> {
        let Fault { drop, duplicate, reorder, delay, jitter, .. } = self.fault;
        let transmitted_at = self.transmitted_at(now, length);
        if self.fault.cut || self.random_bool(drop) || transmitted_at - now > MAX_QUEUE_DELAY {
            return Vec::new();
        }
        self.free_at = transmitted_at;
        let copies = if self.random_bool(duplicate) { 2 } else { 1 };
        let arrival = |line: &mut Line| {
            let reordered = if line.random_bool(reorder) {
                1 + line.random_up_to(jitter + MAX_REORDER_DELAY - 1)
            } else {
                0
            };
            transmitted_at + delay + line.random_up_to(jitter) + reordered
        };
        (0..copies).map(|_| arrival(self)).collect()
    }

    /// Arrival time of bytes of a connection, never before that of earlier bytes. None: the line is cut; ask
    /// again when it is not.
    pub fn bytes(&mut self, now: Tenths, length: usize) -> Option<Tenths> {
        if self.fault.cut {
            return None;
        }
        let Fault { drop, delay, jitter, .. } = self.fault;
        let transmitted_at = self.transmitted_at(now, length);
        self.free_at = transmitted_at;
        let retransmission = if self.random_bool(drop) { RETRANSMIT_DELAY } else { 0 };
        self.last_arrival =
            self.last_arrival.max(transmitted_at + delay + self.random_up_to(jitter) + retransmission);
        Some(self.last_arrival)
    }
}
