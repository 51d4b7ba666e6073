//! Members that refuse, break, fall silent and come back.

use super::*;

impl Router {
    /// Danger: a member that takes no more connections (full table, squeezed limit) is taken for dead. One
    /// that refuses at once is probed; while that is answered it keeps its state and gets a growing pause.
    pub(super) fn refused(&mut self, now: Tenths, node: Node) {
        let m = &mut self.members[node];
        m.refused += 1;
        m.shy_until = now + self.rng.jittered((PAUSE / 8) << m.refused.min(5));
        m.refused.is_power_of_two().then(|| self.agenda.insert((now, Task::Ask(node))));
    }

    /// Danger: a broken send must demote its member before the next pick, or the sticky rule picks it again.
    pub(super) fn break_member(&mut self, now: Tenths, node: Node) {
        let m = &mut self.members[node];
        // Danger: the list names members that do not exist. One that was never met is not asked again soon.
        let doublings = if m.met { m.fails.saturating_sub(1).min(6) } else { 6 };
        let at = now + self.rng.jittered((PAUSE << doublings).min(BACKOFF_MAX));
        (m.fails, m.retry_at, m.broken_at) = (m.fails + 1, at, now);
        self.set_state(node, State::TransportError, StateReason::Broken);
    }

    /// A broken member has answered; one that was seen to die is cold now.
    pub(super) fn recover(&mut self, now: Tenths, node: Node) {
        if self.members[node].state == State::TransportError {
            self.set_state(node, State::Unknown, StateReason::Recovered);
            let at = self.clock.now(now);
            self.members[node].died.then(|| self.restarted(now, at, node));
        }
    }

    /// A dispatch is out for longer than usual: the member may be silent.
    pub(super) fn overdue(&mut self, now: Tenths, key: u64, dispatch: u32) {
        let Some(cmd) = self.open.get(&key).filter(|c| !c.closed) else { return };
        let Some(&(node, sent)) = cmd.out.get(&dispatch) else { return };
        let (number, target) = (cmd.set, self.groups.places[cmd.kind].target);
        let usual = (self.usual(now, cmd.kind) as Tenths).max(self.tick);
        let m = &self.members[node];
        let late = m.unheard + m.out.values().filter(|at| **at + 2 * usual < now).count();
        // Danger: a member that takes work and answers nothing (hung, cut off). Told from one heavy command
        // or one lost answer by others that are overdue beside it; until then it is only checked.
        let (silent, ask) = (m.heard < sent, m.checked_at < sent && now - sent > 4 * usual);
        if silent && m.state != State::TransportError {
            if late >= 3 || (late >= 2 && now - sent > 7 * usual) {
                self.break_member(now, node);
                self.dirty.insert(number);
            }
            // Danger: heavy commands that each earn a probe. One that was answered since the send is enough.
            ask.then(|| self.probe(now, node));
        }
        // Danger: lost answers fill windows that nothing empties. Past its target at a member that answers
        // others, or probes, a dispatch counts as lost; so may a heavy one.
        let m = &mut self.members[node];
        if now - sent > target.max(4 * usual) && (!silent || m.checked_at > sent) {
            m.unheard += m.out.remove(&(key, dispatch)).is_some() as usize * silent as usize;
            self.dirty.insert(number);
        }
        self.agenda.insert((now + 2 * usual, Task::Overdue(key, dispatch)));
    }
}
