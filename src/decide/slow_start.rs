//! Slow start: what a member that has just started may be sent, by this router's part of what all send.

use super::*;

impl Router {
    /// Danger: all routers together push over a member that has just started, each with its little. So each
    /// has a credit there that grows with what its own commands usually ask of a member, times what the cold
    /// one can do by now, and starts by chance below the cheapest command: however many and unequal, they
    /// send the ordinary load times that part from the first moment on, also where members fail by turns.
    pub(super) fn cold_credit(&self, now: Tenths, m: &Member) -> f64 {
        if m.started == 0 {
            return f64::INFINITY;
        }
        let warmth = self.age(now, m) as f64 / (10.0 * self.number("rules.warm_after_ms", 20_000.0));
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let from = self.number("rules.start_capacity", 0.1);
        let part = (from + (1.0 - from) * warmth) * self.number("rules.tip_multiple", 1.0) * COLD_PART;
        // Danger: a router that has just started takes its ordinary load for nothing and starves the cold.
        let since = self.began.min(now - SLOW_HALF);
        let pace = self.done_work.rate_since(now, USUAL_HALF, since) / self.nodes.len() as f64 * part;
        let most = pace * 10.0 * self.number("rules.fall_ms", 1000.0) * COLD_BURST;
        (m.credit + (now - m.credit_at) as f64 * pace).min(most.max(self.cheap as f64))
    }

    /// For how long a member has been up: as told, by the members' clock, and no less than that is known of. Danger:
    /// while this machine's clock may be ahead, one that has just started looks warm.
    pub(super) fn age(&self, now: Tenths, m: &Member) -> Tenths {
        let known = now - m.start_known;
        let unrefuted = now - self.began > UNCONFIRMED_MOST && !self.clock.is_contradicted();
        let trusted = self.clock.is_confirmed() || unrefuted;
        if trusted { known.max(self.clock.now(now) - m.started) } else { known }
    }

    /// A member that started at `at`, told or seen: its credit starts anew, by chance. Danger: with more than
    /// the cheapest command to start with, hundreds of routers each send at once and push it over.
    pub(super) fn restarted(&mut self, now: Tenths, at: Tenths, node: Node) {
        let credit = self.rng.below(self.cheap / 3) as f64;
        let window = (WINDOW_START / self.number("balancers", 1.0)).max(WINDOW_LEAST);
        let m = &mut self.members[node];
        (m.started, m.start_known, m.credit, m.credit_at) = (at, now, credit, now);
        (m.died, m.window) = (false, window);
    }
}
