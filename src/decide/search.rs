//! How a primary is found: by trying one held write at the set's members in turn, and by probes.

use super::*;

impl Router {
    /// Probes a primary that may be a replica by now. Danger: reads wait for it, and nothing else checks its
    /// role.
    pub(super) fn probe_for_role(&mut self, now: Tenths, node: Node) {
        let m = &self.members[node];
        if m.state == State::Healthy && m.roles.may_be_replica() && m.probed_at + BASE_PAUSE <= now {
            self.probe(now, node);
        }
    }

    pub(super) fn primary(&self, set_id: i64) -> Option<Node> {
        let healthy = |n: &&Node| self.members[**n].state == State::Healthy && !self.members[**n].excluded;
        self.sets.get(&set_id)?.nodes.iter().find(healthy).copied()
    }

    /// The next member to try for a held write: by state, then listed role, then rotated ids. One write of a
    /// set is tried on behalf of all.
    pub(super) fn next_held_write_member(&mut self, now: Tenths, set_id: i64, key: u64) -> Option<Node> {
        let can_probe = self.is_enabled("permissions.may_probe");
        let set = self.sets.get_mut(&set_id)?;
        let cmd = self.open.get_mut(&key)?;
        let group = &self.groups.slots[cmd.group_slot];
        let (write, max_attempts) = (group.access == Access::Write, group.attempts);
        if !write || set.searching_write.is_some_and(|s| s != key) || set.next_round_at > now {
            return None;
        }
        let is_eligible = |m: &Member| match m.state {
            // If probes are allowed, they find out and no write is risked. Danger: on a slow path probes and
            // new connections fail and a working primary stays out of reach, so the listed primary is tried
            // all the same.
            State::TransportError => (!can_probe || m.listed_primary) && m.retry_at <= now,
            State::TopologyReject => !can_probe || m.role_received_at + 5 * BASE_PAUSE < now,
            _ => true,
        };
        let untried = set.nodes.iter().map(|n| (&self.members[*n], *n)).filter(|(m, n)| {
            !m.excluded
                && is_eligible(m)
                && !cmd.tried.contains(n)
                && cmd.attempts() < max_attempts.div_ceil(2)
        });
        let ranked = untried.map(|(m, n)| (m.state, !m.listed_primary, !m.known_to_exist, m.tie_break, n));
        // A member that this machine cannot dial at present is waited for.
        let (paused, dialable): (Vec<_>, Vec<_>) = ranked.partition(|r| self.members[r.4].next_dial_at > now);
        if let Some((.., node)) = dialable.into_iter().min() {
            cmd.tried.push(node);
            set.searching_write = Some(key);
            return Some(node);
        }
        if !paused.is_empty() {
            return None;
        }
        // The round is over: after misses the fixed pause follows, after transport errors a backoff with
        // equal jitter.
        cmd.tried.clear();
        set.searching_write = None;
        let broken = std::mem::take(&mut cmd.round_broken);
        set.broken_rounds = if broken { set.broken_rounds + 1 } else { 0 };
        let base = (BASE_PAUSE << (set.broken_rounds.clamp(1, 7) - 1)).min(BACKOFF_MAX);
        self.sets.get_mut(&set_id)?.next_round_at =
            now + if broken { self.rng.jittered(base) } else { BASE_PAUSE };
        None
    }

    /// While no primary is known, probes the member whose last probe is the longest ago, one per pause.
    pub(super) fn probe_for_primary(&mut self, now: Tenths, set_id: i64) {
        let Some(set) = self.sets.get_mut(&set_id).filter(|s| s.next_search_probe_at <= now) else { return };
        set.next_search_probe_at = now + BASE_PAUSE;
        let eligible = self.sets[&set_id].nodes.iter().copied().filter(|n| {
            let m = &self.members[*n];
            !m.excluded && !m.probing && (m.state != State::TransportError || self.retry_due(now, m))
        });
        // Danger: a member that never answers would be picked every time, so a probe without an answer counts
        // too.
        let last_probe = |m: &Member| m.probed_at.max(m.checked_at);
        if let Some(node) =
            eligible.min_by_key(|n| (last_probe(&self.members[*n]), self.members[*n].tie_break))
        {
            self.probe(now, node);
        }
    }

    pub(super) fn probe(&mut self, now: Tenths, node: Node) {
        let allowed = self.is_enabled("permissions.may_probe");
        let m = &mut self.members[node];
        if allowed && !m.probing && !m.excluded {
            (m.probing, m.probed_at) = (true, now);
            self.pending_decisions.push_back(Decision::Probe { node: m.id.clone() });
        } else if !allowed && m.state == State::TransportError {
            self.set_state(node, State::Unknown, StateReason::NotAsked);
        }
    }
}
