//! When to dial a peer: at once when first needed, then with exponential backoff and jitter while dialling fails.

use crate::message::Tenths;
use nanorand::{Rng, WyRand};

/// Backoff between attempts to connect, all in tenths of a millisecond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Delay before the second attempt; doubles with each further one.
    pub first: Tenths,
    pub most: Tenths,
    /// Connect timeout: an attempt without an answer for this long has failed.
    pub answer: Tenths,
    /// A connection that stayed open this long clears the count of failures.
    pub steady: Tenths,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff { first: 500, most: 20_000, answer: 10_000, steady: 10_000 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Down { not_before: Tenths },
    Dialling { until: Tenths },
    Up { since: Tenths },
}

/// What the caller has to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dial {
    Begin,
    /// The attempt in progress has timed out: abort it.
    GiveUp,
}

/// Reconnection state of one peer.
#[derive(Clone, Debug)]
pub struct Redial {
    backoff: Backoff,
    state: State,
    /// Consecutive failures without a steady connection between them.
    failures: u32,
    chance: WyRand,
}

impl Redial {
    pub fn new(backoff: Backoff, seed: u64) -> Redial {
        let state = State::Down { not_before: Tenths::MIN };
        Redial { backoff, state, failures: 0, chance: WyRand::new_seed(seed) }
    }

    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up { .. })
    }

    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns what is due now, given whether the connection is `wanted`.
    pub fn next_decision(&mut self, now: Tenths, wanted: bool) -> Option<Dial> {
        match self.state {
            State::Down { not_before } if wanted && now >= not_before => {
                self.state = State::Dialling { until: now + self.backoff.answer };
                Some(Dial::Begin)
            }
            State::Dialling { until } if now >= until => {
                self.ended(now);
                Some(Dial::GiveUp)
            }
            _ => None,
        }
    }

    pub fn wake_at(&self, wanted: bool) -> Option<Tenths> {
        match self.state {
            State::Down { not_before } => wanted.then_some(not_before),
            State::Dialling { until } => Some(until),
            State::Up { .. } => None,
        }
    }

    /// The connection was established.
    pub fn up(&mut self, now: Tenths) {
        if let State::Dialling { .. } = self.state {
            self.state = State::Up { since: now };
        }
    }

    /// The attempt failed, or the connection ended.
    pub fn ended(&mut self, now: Tenths) {
        match self.state {
            State::Down { .. } => return,
            // Danger: without this minimum, a peer that accepts connections and closes them at once would
            // be dialled without a pause.
            State::Up { since } if now - since >= self.backoff.steady => self.failures = 0,
            State::Up { .. } | State::Dialling { .. } => {}
        }
        let doubled = self.backoff.first.saturating_mul(1i64 << self.failures.min(20));
        self.failures = self.failures.saturating_add(1);
        let whole = doubled.clamp(1, self.backoff.most.max(1));
        // Danger: without jitter, the whole fleet would dial a returning peer at the same instant.
        let wait = whole / 2 + self.chance.generate_range(0..=(whole - whole / 2) as u64) as Tenths;
        self.state = State::Down { not_before: now + wait };
    }
}
