//! Checks that every dispatch passes: what may be sent, written or repeated now, and for how long. The five
//! rules are enforced here: one final answer, no effect applied twice, no dispatch to a draining member, no
//! overload of a cold member, no stale read.

use super::*;

impl Router {
    /// For how long the command may be sent to the member, by the rules on final answers, effects, drains,
    /// staleness and cold members; 0 if not at all. Danger: a dispatch that first needs a connection is
    /// written later, when a rule may forbid it. So the result is a length of time.
    pub(super) fn may_send_for(&self, now: Tenths, key: u64, node: Node) -> Tenths {
        let (cmd, m) = (&self.open[&key], &self.members[node]);
        let group = &self.groups.slots[cmd.group_slot];
        let may_be_dispatched =
            !cmd.closed && now < cmd.deadline && cmd.attempts() < group.attempts && m.set == cmd.set;
        if !may_be_dispatched
            || cmd.statement_bytes.is_none()
            || !cmd.in_flight.is_empty()
            || self.slow_start_credit(now, m) < group.target as f64
        {
            return 0;
        }
        self.repeatable_for(now, cmd, node).min(self.eligible_for(now, cmd, m))
    }

    /// For how long the member is eligible for the command, by the rules on drains and staleness.
    pub(super) fn eligible_for(&self, now: Tenths, cmd: &OpenCommand, m: &Member) -> Tenths {
        if m.excluded || self.may_be_draining(m) { 0 } else { self.data_valid_for(now, cmd, m) }
    }

    /// Whether the member may be draining. Danger: a change of the list is binding 6 s after it is made,
    /// whether it was received or not. While requests for the list fail, a member that rejects dispatches may
    /// be draining, unless it is the primary: a primary hands over first.
    pub(super) fn may_be_draining(&self, m: &Member) -> bool {
        self.list_failures > 0 && m.rejected_at > 0 && m.state != State::Healthy
    }

    /// Checked by the host before it writes a dispatch that waited for its connection. Danger: in the
    /// meantime the member may have begun to drain, turned out to lag, or restarted: the slow-start credit
    /// was for the old process, and the new one is cold.
    pub fn may_write(&self, now: Tenths, command: &str, dispatch: u32) -> bool {
        let cmd = self.key_by_id.get(command).and_then(|key| self.open.get(key)).filter(|c| !c.closed);
        cmd.is_some_and(|cmd| {
            // Equality counts too: nothing is sent to a member at the very time at which its start becomes
            // known.
            let restarted_since =
                |(node, sent): &(Node, Tenths)| self.members[*node].start_learned_at >= *sent;
            let is_eligible =
                |(node, _): &(Node, Tenths)| self.eligible_for(now, cmd, &self.members[*node]) > 0;
            now < cmd.deadline
                && cmd.in_flight.get(&dispatch).is_some_and(|out| is_eligible(out) && !restarted_since(out))
        })
    }

    /// For how long a command that may have run may be sent again: only if it is replayable, or keyed and
    /// within scope and time window.
    pub(super) fn repeatable_for(&self, now: Tenths, cmd: &OpenCommand, node: Node) -> Tenths {
        cmd.may_have_run.map_or(Tenths::MAX, |(at, sent)| match self.groups.slots[cmd.group_slot].effect {
            Effect::Replayable => Tenths::MAX,
            Effect::Mutating => 0,
            Effect::Keyed { everywhere, by_zone, window } => {
                let in_scope = everywhere || !by_zone || self.members[at].zone == self.members[node].zone;
                if in_scope { sent + window - self.tick - now } else { 0 }
            }
        })
    }

    /// Whether the client may retry without harm: nothing of the command has run, or it may run again.
    pub(super) fn is_harmless_to_repeat(&self, cmd: &OpenCommand) -> bool {
        let effect = self.groups.slots[cmd.group_slot].effect;
        let may_run_again = matches!(effect, Effect::Replayable | Effect::Keyed { everywhere: true, .. });
        may_run_again || (cmd.may_have_run.is_none() && cmd.in_flight.is_empty())
    }

    /// Sends a dispatch if the checks allow it. Every dispatch goes out here.
    pub(super) fn send(&mut self, now: Tenths, key: u64, node: Node) -> bool {
        // Danger: a drain may arrive right after this check, and the host may stall between reading its clock
        // and writing.
        let grace = tenths_from_ms(self.number_setting("rules.drain_grace_ms", 500.0));
        let grace = (grace - HOST_STALL_ALLOWANCE).max(grace / 2).max(self.tick);
        let until = now + self.may_send_for(now, key, node).min(grace);
        if until <= now {
            return false;
        }
        let cmd = self.open.get_mut(&key).expect("only open commands pass the checks");
        let (group_slot, dispatch, limit) = (cmd.group_slot, cmd.dispatches, (cmd.deadline - now).max(1));
        cmd.dispatches += 1;
        cmd.in_flight.insert(dispatch, (node, now));
        let (command, to) = (cmd.id.clone(), self.members[node].id.clone());
        self.pending_decisions.push_back(Decision::Dispatch { command, node: to, limit, until });
        let overdue_after = (self.usual_latency(now, group_slot) * 2.5) as Tenths;
        self.timers.insert((now + overdue_after.max(2 * self.tick), Task::Overdue(key, dispatch)));
        let credit = self.slow_start_credit(now, &self.members[node]);
        let work = self.groups.slots[group_slot].target as f64;
        self.pace_allowance -= if self.is_paced(now, self.members[node].set) { work } else { 0.0 };
        let m = &mut self.members[node];
        m.in_flight.insert((key, dispatch), now);
        (m.credit, m.credit_updated_at) = (credit - work, now);
        true
    }
}
