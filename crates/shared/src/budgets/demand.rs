//! Demand of a router: the recent request rate plus headroom.

use vetchkeel_membership::Tenths;

use super::Rate;

/// Tokens requested, counted over windows of one request interval.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Demand {
    window: Tenths,
    window_start: Tenths,
    tokens: i64,
    last_rate: Rate,
}

impl Demand {
    /// No demand so far.
    pub fn new(window: Tenths, now: Tenths) -> Demand {
        Demand { window: window.max(1), window_start: now, tokens: 0, last_rate: 0 }
    }

    /// Counts a request for `tokens`, whether granted or not.
    pub fn add(&mut self, now: Tenths, tokens: u32) {
        self.roll_window(now);
        self.tokens = self.tokens.saturating_add(i64::from(tokens));
    }

    /// The demand: the larger of the rates of the last complete window and the current one, plus a quarter.
    pub fn estimate(&mut self, now: Tenths) -> Rate {
        self.roll_window(now);
        // The current window counts as at least half a window, so that its first command is not taken for a burst.
        let current = Self::rate(self.tokens, (now - self.window_start).max(self.window / 2));
        self.last_rate.max(current).saturating_mul(5) / 4
    }

    fn roll_window(&mut self, now: Tenths) {
        let elapsed = now - self.window_start;
        if elapsed >= self.window {
            self.last_rate = Self::rate(self.tokens, elapsed);
            self.tokens = 0;
            self.window_start = now;
        }
    }

    fn rate(tokens: i64, elapsed: Tenths) -> Rate {
        tokens.saturating_mul(10_000_000) / elapsed.max(1)
    }
}
