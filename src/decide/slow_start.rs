//! Slow start: what a member that has just started may be sent, by this router's part of what all send.

use super::*;

/// The part of what may be sent to a cold member in a span that all routers' credits grow by: the rest is what they may hold, so that
/// over one span both make the whole, no more. At a start what may be sent is little, and chance is more of it.
fn cold_part(warmth: f64) -> f64 {
    COLD_PART + (1.0 - COLD_PART) * warmth
}

impl Router {
    /// Danger: all routers together push over a member that has just started, each with its little. So each
    /// has a credit there that grows with what its own commands usually ask of a member, times what the cold
    /// one can do by now, and starts by chance below the cheapest command: however many and unequal, they
    /// send the ordinary load times that part from the first moment on, also where members fail by turns.
    pub(super) fn cold_credit(&self, now: Tenths, m: &Member) -> f64 {
        let Some(warmth) = self.warmth(now, m) else { return f64::INFINITY };
        let pace = self.cold_pace(now, warmth);
        let burst = 1.0 / cold_part(warmth) - 1.0;
        let most = pace * 10.0 * self.number("rules.fall_ms", 1000.0) * burst;
        (m.credit + (now - m.credit_at) as f64 * pace).min(most.max(self.cheap as f64))
    }

    /// How far a cold member has warmed, from 0 up to 1; None for a warm one.
    fn warmth(&self, now: Tenths, m: &Member) -> Option<f64> {
        if m.started == 0 {
            return None;
        }
        let warmth = self.age(now, m) as f64 / (10.0 * self.number("rules.warm_after_ms", 20_000.0));
        Some(warmth).filter(|warmth| *warmth < 1.0)
    }

    /// What a cold member's credit grows by in a tenth of a millisecond.
    fn cold_pace(&self, now: Tenths, warmth: f64) -> f64 {
        let from = self.number("rules.start_capacity", 0.1);
        let able = from + (1.0 - from) * warmth;
        let part = able * self.number("rules.tip_multiple", 1.0) * cold_part(warmth);
        // Danger: a router that has just started takes its ordinary load for nothing and starves the cold.
        let since = self.began.min(now - SLOW_HALF);
        self.done_work.rate_since(now, USUAL_HALF, since) / self.nodes.len() as f64 * part
    }

    /// Until when the credit at a cold primary has grown to cover a command and all that go before it there. None where it is
    /// warm, or the command does not wait for it.
    pub(super) fn credit_comes_at(&self, now: Tenths, key: u64, primary: Node) -> Option<Tenths> {
        let cmd = &self.open[&key];
        let waits = |kind: usize| matches!(self.groups.places[kind].access, Access::Write | Access::Fresh);
        let m = Some(&self.members[primary]).filter(|_| waits(cmd.kind))?;
        let pace = Some(self.cold_pace(now, self.warmth(now, m)?)).filter(|pace| *pace > 0.0)?;
        let queues = &self.sets.get(&cmd.set)?.waiting;
        let mut work = 0.0;
        for kind in self.order.iter().copied().filter(|kind| waits(*kind)) {
            let target = self.groups.places[kind].target as f64;
            let own = (cmd.rank, Reverse(key));
            let queue = queues.get(kind)?;
            if kind == cmd.kind {
                work += target * (queue.range(..own).count() + 1) as f64;
                break;
            }
            work += target * queue.len() as f64;
        }
        Some(now + ((work - self.cold_credit(now, m)).max(0.0) / pace).ceil() as Tenths)
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

#[cfg(test)]
mod tests;
