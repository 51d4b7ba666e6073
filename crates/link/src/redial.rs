//! When to dial a peer: at once when first needed, then with exponential backoff and jitter while dialling fails.

use crate::message::Tenths;
use nanorand::{Rng, WyRand};

/// Backoff between attempts to connect, all in tenths of a millisecond.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Delay before the second attempt; doubles with each further one.
    pub initial_delay: Tenths,
    pub max_delay: Tenths,
    /// Connect timeout: an attempt without an answer for this long has failed.
    pub connect_timeout: Tenths,
    /// A connection that stayed open this long clears the count of failures.
    pub stable_after: Tenths,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff { initial_delay: 500, max_delay: 20_000, connect_timeout: 10_000, stable_after: 10_000 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Disconnected { not_before: Tenths },
    Dialling { until: Tenths },
    Connected { since: Tenths },
}

/// What the caller has to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dial {
    Connect,
    /// The attempt in progress has timed out: abort it.
    Abort,
}

/// Reconnection state of one peer.
#[derive(Clone, Debug)]
pub struct Redial {
    backoff: Backoff,
    state: State,
    /// Consecutive failures without a steady connection between them.
    failures: u32,
    rng: WyRand,
}

impl Redial {
    pub fn new(backoff: Backoff, seed: u64) -> Redial {
        let state = State::Disconnected { not_before: Tenths::MIN };
        Redial { backoff, state, failures: 0, rng: WyRand::new_seed(seed) }
    }

    pub fn is_connected(&self) -> bool {
        matches!(self.state, State::Connected { .. })
    }

    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns what is due now, given whether the connection is `wanted`.
    pub fn next_decision(&mut self, now: Tenths, wanted: bool) -> Option<Dial> {
        match self.state {
            State::Disconnected { not_before } if wanted && now >= not_before => {
                self.state = State::Dialling { until: now + self.backoff.connect_timeout };
                Some(Dial::Connect)
            }
            State::Dialling { until } if now >= until => {
                self.disconnected(now);
                Some(Dial::Abort)
            }
            _ => None,
        }
    }

    pub fn wake_at(&self, wanted: bool) -> Option<Tenths> {
        match self.state {
            State::Disconnected { not_before } => wanted.then_some(not_before),
            State::Dialling { until } => Some(until),
            State::Connected { .. } => None,
        }
    }

    /// The connection was established.
    pub fn connected(&mut self, now: Tenths) {
        if let State::Dialling { .. } = self.state {
            self.state = State::Connected { since: now };
        }
    }

    /// The attempt failed, or the connection ended.
    pub fn disconnected(&mut self, now: Tenths) {
        match self.state {
            State::Disconnected { .. } => return,
            // Danger: without this minimum, a peer that accepts connections and closes them at once would
            // be dialled without a pause.
            State::Connected { since } if now - since >= self.backoff.stable_after => self.failures = 0,
            State::Connected { .. } | State::Dialling { .. } => {}
        }
        let doubled = self.backoff.initial_delay.saturating_mul(1i64 << self.failures.min(20));
        self.failures = self.failures.saturating_add(1);
        let delay = doubled.clamp(1, self.backoff.max_delay.max(1));
        // Danger: without jitter, the whole fleet would dial a returning peer at the same instant.
        let wait = delay / 2 + self.rng.generate_range(0..=(delay - delay / 2) as u64) as Tenths;
        self.state = State::Disconnected { not_before: now + wait };
    }
}
