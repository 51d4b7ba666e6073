//! A bucket that fills at the present share. What the share loses, the bucket loses with it.

use vetchkeel_membership::Tenths;

use super::Rate;

/// One token, in the bucket's unit: a thousandth of a token a second, for a tenth of a millisecond.
const TOKEN: i64 = 10_000_000;

/// A bucket, empty at first: a router that keeps restarting gains nothing by it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bucket {
    rate: Rate,
    depth: Tenths,
    level: i64,
    at: Tenths,
}

impl Bucket {
    /// An empty bucket of `depth` times its share.
    pub fn new(depth: Tenths, now: Tenths) -> Bucket {
        Bucket { rate: 0, depth, level: 0, at: now }
    }

    /// The share is `rate` from `now` on.
    ///
    /// Danger: tokens gathered under a share that has moved on would be spent beside those of its new holder.
    pub fn set(&mut self, now: Tenths, rate: Rate) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(self.most());
    }

    /// Takes `tokens` if they are there.
    pub fn take(&mut self, now: Tenths, tokens: u32) -> bool {
        self.fill(now);
        let price = i64::from(tokens) * TOKEN;
        let there = price <= self.level;
        if there {
            self.level -= price;
        }
        there
    }

    /// When `tokens` will be there if the share stays; none if they never will.
    pub fn ready_at(&self, tokens: u32) -> Option<Tenths> {
        let price = i64::from(tokens) * TOKEN;
        if price > self.most() {
            return None;
        }
        Some(self.at + ((price - self.level).max(0) + self.rate - 1) / self.rate.max(1))
    }

    /// Up to when it has been filled.
    pub fn at(&self) -> Tenths {
        self.at
    }

    fn most(&self) -> i64 {
        if self.rate == 0 { 0 } else { (self.rate * self.depth).max(TOKEN) }
    }

    fn fill(&mut self, now: Tenths) {
        let passed = (now - self.at).max(0);
        self.at = self.at.max(now);
        // Past a day the bucket is full at any share that it can have.
        let gained = self.rate.saturating_mul(passed.min(864_000_000));
        self.level = self.level.saturating_add(gained).min(self.most());
    }
}
