//! How long a waiting command is kept: up to half of its time, and only as long as an answer in time is still
//! likely; longer if what it waits for is known to come in time.

use super::*;

impl Router {
    /// Until when a command waits if nothing that would let it through is known to come. Danger: without
    /// this, a client waits its whole timeout for a set with no reachable member. If nothing has been written
    /// by half of its time, it is throttled while it can still retry.
    pub(super) fn queue_deadline(&self, now: Tenths, cmd: &OpenCommand) -> Tenths {
        cmd.wait_until.min(self.latest_useful_send(now, cmd))
    }

    /// Until when a dispatch is likely to be answered in time, by the usual latency.
    fn latest_useful_send(&self, now: Tenths, cmd: &OpenCommand) -> Tenths {
        cmd.deadline - (self.usual_latency(now, cmd.group_slot) * MIN_LATENCIES_LEFT) as Tenths
    }

    /// When to check again a command whose waiting time is over, if what it waits for will come in time;
    /// `None` if not.
    pub(super) fn extended_wait_end(&self, now: Tenths, key: u64) -> Option<Tenths> {
        let cmd = &self.open[&key];
        let primary = self.primary(cmd.set).filter(|primary| self.waits_only_for_credit(now, key, *primary));
        let credit = primary.and_then(|primary| self.credit_available_at(now, key, primary));
        let credit = credit.filter(|at| *at <= self.latest_useful_send(now, cmd));
        credit.or_else(|| self.probe_wait_end(now, key))
    }

    /// Whether only slow-start credit, or a turn, keeps the command from the member, as far as is known.
    /// Danger: if the window or a dial is the reason, a command whose credit suffices would be held to its
    /// end.
    fn waits_only_for_credit(&self, now: Tenths, key: u64, node: Node) -> bool {
        matches!(self.gate_at(now, key, node), Gate::SlowStart | Gate::Turn)
    }

    /// Until when a read waits for a probe in flight. Danger: after a slow period the usual latency stays
    /// high for seconds, and a command with little time left would be given up while the probe that lets it
    /// through is in flight. The read waits only if it would be in time by the answers of the last seconds
    /// and nothing else waits in its set: under load, immediate throttling is right.
    fn probe_wait_end(&self, now: Tenths, key: u64) -> Option<Tenths> {
        let cmd = &self.open[&key];
        let set = self.sets.get(&cmd.set)?;
        let is_replica_read =
            matches!(self.groups.slots[cmd.group_slot].access, Access::Bounded(_) | Access::Session);
        let waits_alone = set.waiting.iter().map(BTreeSet::len).sum::<usize>() <= 1;
        let in_time =
            now + (self.recent_latency(now, cmd.group_slot) * MIN_LATENCIES_LEFT) as Tenths <= cmd.deadline;
        let is_probed = |n: &&Node| self.probe_may_qualify(now, cmd, &self.members[**n]);
        let probed_at = set.nodes.iter().find(is_probed).map(|n| self.members[*n].probed_at)?;
        let until = cmd.wait_until.min(probed_at + MAX_PROBE_WAIT);
        (is_replica_read && waits_alone && in_time && now < until).then_some(until)
    }

    /// Expected latency of a command of this group, by the latency ratio of all answers of the last seconds.
    fn recent_latency(&self, now: Tenths, group_slot: usize) -> f64 {
        self.latency_ratio.read(now, LATENCY_RATIO_HALF_LIFE, UNLOADED_LATENCY_RATIO)
            * self.groups.slots[group_slot].target as f64
    }

    /// Whether a probe of this member is in flight whose answer may let the read through.
    pub(super) fn probe_may_qualify(&self, now: Tenths, cmd: &OpenCommand, m: &Member) -> bool {
        let works =
            m.known_to_exist && !m.excluded && !matches!(m.state, State::Healthy | State::TransportError);
        works && m.probing && self.replica_fresh_for(now, cmd, m) <= 0
    }
}

#[cfg(test)]
mod tests;
