//! Slow start: limits what is sent to a member that has just started to this router's part of what all
//! routers may send.

use super::*;

/// Share of a cold member's admissible load at which all routers' credits for it grow. The rest is the most
/// that the credits may hold, so that growth and stored credit together do not exceed the admissible load of
/// one span (`rules.fall_ms`). At a start the load is small and random variation is a larger part of it.
fn cold_share(warmth: f64) -> f64 {
    COLD_START_SHARE + (1.0 - COLD_START_SHARE) * warmth
}

impl Router {
    /// Work that this router may send to the member now; infinite for a warm one. Danger: all routers
    /// together overload a member that has just started, each with a small amount. So each router's credit
    /// grows with what its own commands usually ask of a member times the cold member's present capacity, and
    /// starts at a random value below the cheapest command. However many and unequal the routers are,
    /// together they send that part of the ordinary load from the first moment on, also where members fail in
    /// turn.
    pub(super) fn slow_start_credit(&self, now: Tenths, m: &Member) -> f64 {
        let Some(warmth) = self.warmth(now, m) else { return f64::INFINITY };
        let rate = self.slow_start_rate(now, warmth);
        let stored_share = 1.0 / cold_share(warmth) - 1.0;
        let cap = rate * 10.0 * self.number_setting("rules.fall_ms", 1000.0) * stored_share;
        (m.credit + (now - m.credit_updated_at) as f64 * rate).min(cap.max(self.min_credit_cap as f64))
    }

    /// How far a cold member has warmed up, from 0 up to 1; `None` for a warm one.
    fn warmth(&self, now: Tenths, m: &Member) -> Option<f64> {
        if m.started == 0 {
            return None;
        }
        let warmth =
            self.uptime(now, m) as f64 / (10.0 * self.number_setting("rules.warm_after_ms", 20_000.0));
        Some(warmth).filter(|warmth| *warmth < 1.0)
    }

    /// Growth of a cold member's credit per tenth of a millisecond.
    fn slow_start_rate(&self, now: Tenths, warmth: f64) -> f64 {
        let start_capacity = self.number_setting("rules.start_capacity", 0.1);
        let capacity = start_capacity + (1.0 - start_capacity) * warmth;
        let share = capacity * self.number_setting("rules.tip_multiple", 1.0) * cold_share(warmth);
        // Danger: a router that has just started would take its ordinary load for zero and starve cold
        // members.
        let since = self.started_at.min(now - LATENCY_RATIO_HALF_LIFE);
        self.answered_work.rate_since(now, LATENCY_HALF_LIFE, since) / self.node_by_id.len() as f64 * share
    }

    /// When the credit for a cold primary covers the command and all that go before it there. `None` if the
    /// primary is warm or the command does not wait for one.
    pub(super) fn credit_available_at(&self, now: Tenths, key: u64, primary: Node) -> Option<Tenths> {
        let cmd = &self.open[&key];
        let waits_for_primary =
            |group_slot: usize| matches!(self.groups.slots[group_slot].access, Access::Write | Access::Fresh);
        let m = Some(&self.members[primary]).filter(|_| waits_for_primary(cmd.group_slot))?;
        let rate = Some(self.slow_start_rate(now, self.warmth(now, m)?)).filter(|rate| *rate > 0.0)?;
        let queues = &self.sets.get(&cmd.set)?.waiting;
        let mut work = 0.0;
        for group_slot in self.group_order.iter().copied().filter(|group_slot| waits_for_primary(*group_slot))
        {
            let target = self.groups.slots[group_slot].target as f64;
            let own_place = (cmd.rank, Reverse(key));
            let queue = queues.get(group_slot)?;
            if group_slot == cmd.group_slot {
                work += target * (queue.range(..own_place).count() + 1) as f64;
                break;
            }
            work += target * queue.len() as f64;
        }
        Some(now + ((work - self.slow_start_credit(now, m)).max(0.0) / rate).ceil() as Tenths)
    }

    /// How long a member has been up: by its listed start and the members' clock, and at least for as long as
    /// this router has known of the start. Danger: if this machine's clock may be ahead, a member that has
    /// just started would look warm.
    pub(super) fn uptime(&self, now: Tenths, m: &Member) -> Tenths {
        let known_for = now - m.start_learned_at;
        let is_unrefuted = now - self.started_at > UNCONFIRMED_CLOCK_GRACE && !self.clock.is_contradicted();
        let is_trusted = self.clock.is_confirmed() || is_unrefuted;
        if is_trusted { known_for.max(self.clock.now(now) - m.started) } else { known_for }
    }

    /// Records that a member started at `started`, listed or observed, and resets its credit to a random
    /// value. Danger: with an initial credit above the cheapest command, hundreds of routers each send at
    /// once and overload the member.
    pub(super) fn record_start(&mut self, now: Tenths, started: Tenths, node: Node) {
        let credit = self.rng.below(self.min_credit_cap / 3) as f64;
        let window = (WINDOW_INITIAL / self.number_setting("balancers", 1.0)).max(WINDOW_MIN);
        let m = &mut self.members[node];
        (m.started, m.start_learned_at, m.credit, m.credit_updated_at) = (started, now, credit, now);
        (m.died, m.window) = (false, window);
    }
}

#[cfg(test)]
mod tests;
