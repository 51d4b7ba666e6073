//! How much a router could use: what was asked of it lately, with some room.

use vetchkeel_membership::Tenths;

use super::Rate;

/// Tokens asked for, counted over spans of one pace.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Demand {
    span: Tenths,
    since: Tenths,
    tokens: i64,
    last: Rate,
}

impl Demand {
    /// Nothing asked so far.
    pub fn new(span: Tenths, now: Tenths) -> Demand {
        Demand { span: span.max(1), since: now, tokens: 0, last: 0 }
    }

    /// `tokens` were asked for, given or not.
    pub fn add(&mut self, now: Tenths, tokens: u32) {
        self.roll(now);
        self.tokens = self.tokens.saturating_add(i64::from(tokens));
    }

    /// What it could use: a quarter more than the larger of the last whole span and the running one.
    pub fn want(&mut self, now: Tenths) -> Rate {
        self.roll(now);
        // A running span counts as at least half a span: the first command of it is not a flood.
        let running = Self::rate(self.tokens, (now - self.since).max(self.span / 2));
        self.last.max(running).saturating_mul(5) / 4
    }

    fn roll(&mut self, now: Tenths) {
        let passed = now - self.since;
        if passed >= self.span {
            self.last = Self::rate(self.tokens, passed);
            self.tokens = 0;
            self.since = now;
        }
    }

    fn rate(tokens: i64, passed: Tenths) -> Rate {
        tokens.saturating_mul(10_000_000) / passed.max(1)
    }
}
