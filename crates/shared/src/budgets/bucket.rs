//! A token bucket whose rate changes with the router's share. When the share shrinks, the tokens above the smaller
//! capacity are lost.

use vetchkeel_membership::Tenths;

use super::Rate;

/// One token in the bucket's unit: a thousandth of a token per second over a tenth of a millisecond.
const TOKEN: i64 = 10_000_000;

/// A token bucket. It starts empty, so that a router that restarts repeatedly gains no tokens.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bucket {
    rate: Rate,
    depth: Tenths,
    level: i64,
    updated_at: Tenths,
}

impl Bucket {
    /// An empty bucket that holds the tokens of `depth` at its rate.
    pub fn new(depth: Tenths, now: Tenths) -> Bucket {
        Bucket { rate: 0, depth, level: 0, updated_at: now }
    }

    /// Sets the rate from `now` on.
    ///
    /// Danger: tokens gathered under a share that has moved to another router would be spent in addition to those of
    /// the new holder.
    pub fn set_rate(&mut self, now: Tenths, rate: Rate) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(self.capacity());
    }

    /// Takes `tokens` if the bucket holds them. Returns whether it did.
    pub fn take(&mut self, now: Tenths, tokens: u32) -> bool {
        self.refill(now);
        let cost = i64::from(tokens) * TOKEN;
        let available = cost <= self.level;
        if available {
            self.level -= cost;
        }
        available
    }

    /// When `tokens` will be available if the rate stays the same; `None` if the bucket cannot hold that many.
    pub fn ready_at(&self, tokens: u32) -> Option<Tenths> {
        let cost = i64::from(tokens) * TOKEN;
        if cost > self.capacity() {
            return None;
        }
        Some(self.updated_at + ((cost - self.level).max(0) + self.rate - 1) / self.rate.max(1))
    }

    /// The time of the last refill.
    pub fn updated_at(&self) -> Tenths {
        self.updated_at
    }

    fn capacity(&self) -> i64 {
        if self.rate == 0 { 0 } else { (self.rate * self.depth).max(TOKEN) }
    }

    fn refill(&mut self, now: Tenths) {
        let elapsed = (now - self.updated_at).max(0);
        self.updated_at = self.updated_at.max(now);
        // The elapsed time is capped at one day, by when the bucket is full at any permitted rate.
        let added = self.rate.saturating_mul(elapsed.min(864_000_000));
        self.level = self.level.saturating_add(added).min(self.capacity());
    }
}
