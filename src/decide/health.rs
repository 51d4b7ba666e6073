//! Members that refuse connections, break, stop answering and recover.

use super::*;

impl Router {
    /// Records a connection that was refused at once. Danger: without this, a member that accepts no more
    /// connections (full table, reduced limit) counts as dead. Such a member is probed; while it answers
    /// probes it keeps its state and only gets a growing pause.
    pub(super) fn record_refusal(&mut self, now: Tenths, node: Node) {
        let m = &mut self.members[node];
        m.refused_connections += 1;
        m.paused_until = now + self.rng.jittered((BASE_PAUSE / 8) << m.refused_connections.min(5));
        m.refused_connections.is_power_of_two().then(|| self.timers.insert((now, Task::Probe(node))));
    }

    /// Marks a member as broken. Danger: a failed dispatch must lower its member's state before the next
    /// pick, or the sticky rule picks the same member again.
    pub(super) fn mark_broken(&mut self, now: Tenths, node: Node) {
        let m = &mut self.members[node];
        // Danger: the list may name members that do not exist. A member that never answered is probed again
        // only after the longest backoff.
        let doublings = if m.known_to_exist { m.failures.saturating_sub(1).min(6) } else { 6 };
        let retry_at = now + self.rng.jittered((BASE_PAUSE << doublings).min(BACKOFF_MAX));
        (m.failures, m.retry_at, m.broken_at) = (m.failures + 1, retry_at, now);
        self.set_state(node, State::TransportError, StateReason::Broken);
    }

    /// A broken member has answered. If it was seen to die, it starts cold.
    pub(super) fn mark_recovered(&mut self, now: Tenths, node: Node) {
        if self.members[node].state == State::TransportError {
            self.set_state(node, State::Unknown, StateReason::Recovered);
            let at = self.clock.now(now);
            self.members[node].died.then(|| self.record_start(now, at, node));
        }
    }

    /// A dispatch has been in flight for longer than usual: the member may have stopped answering.
    pub(super) fn check_overdue(&mut self, now: Tenths, key: u64, dispatch: u32) {
        let Some(cmd) = self.open.get(&key).filter(|c| !c.closed) else { return };
        let Some(&(node, sent)) = cmd.in_flight.get(&dispatch) else { return };
        let (set_id, target) = (cmd.set, self.groups.slots[cmd.group_slot].target);
        let usual = (self.usual_latency(now, cmd.group_slot) as Tenths).max(self.tick);
        let m = &self.members[node];
        let overdue_count =
            m.lost_dispatches + m.in_flight.values().filter(|at| **at + 2 * usual < now).count();
        // Danger: a member may accept work and answer nothing (hung, or cut off from the network). Other
        // overdue dispatches distinguish this from one heavy command or one lost answer; until there are
        // enough, the member is only probed.
        let (is_silent, should_probe) =
            (m.last_message_at < sent, m.checked_at < sent && now - sent > 4 * usual);
        if is_silent && m.state != State::TransportError {
            if overdue_count >= 3 || (overdue_count >= 2 && now - sent > 7 * usual) {
                self.mark_broken(now, node);
                self.sets_to_serve.insert(set_id);
            }
            // Danger: without the limit, each heavy command causes a probe. One answered probe since the send
            // is enough.
            should_probe.then(|| self.probe(now, node));
        }
        // Danger: lost answers would fill the window for good. A dispatch past its target, at a member that
        // answers other dispatches or probes, counts as lost; this may also hit a heavy command.
        let m = &mut self.members[node];
        if now - sent > target.max(4 * usual) && (!is_silent || m.checked_at > sent) {
            m.lost_dispatches += m.in_flight.remove(&(key, dispatch)).is_some() as usize * is_silent as usize;
            self.sets_to_serve.insert(set_id);
        }
        self.timers.insert((now + 2 * usual, Task::Overdue(key, dispatch)));
    }
}
