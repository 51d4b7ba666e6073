//! Finds which gate keeps a waiting command from every member at present. Used for events, the log and the
//! counters only; no decision depends on it, except that `patience` checks the gate at a primary.

use super::*;

impl Router {
    /// The gate that withholds a command that is given up for lack of a member; of several, the last that it
    /// would have passed.
    pub(super) fn withholding_gate(&mut self, now: Tenths, key: u64) -> Gate {
        let (set_id, group_slot) = (self.open[&key].set, self.open[&key].group_slot);
        let order_index = self.group_order.iter().position(|k| *k == group_slot).unwrap_or(0);
        if !self.is_admitted_by_pace(now, order_index) && self.is_paced(now, set_id) {
            return Gate::Pace;
        }
        let at_primary = match self.primary(set_id) {
            Some(primary) => self.gate_at(now, key, primary),
            None => Gate::NoPrimary,
        };
        match self.groups.slots[group_slot].access {
            Access::Write | Access::Fresh => at_primary,
            _ => self.gate_at_replicas(now, key, set_id).unwrap_or(at_primary),
        }
    }

    /// The gate at the set's replicas; `None` if no replica works.
    fn gate_at_replicas(&self, now: Tenths, key: u64, set_id: i64) -> Option<Gate> {
        let works = |n: &&Node| {
            let m = &self.members[**n];
            m.known_to_exist && !m.excluded && !matches!(m.state, State::Healthy | State::TransportError)
        };
        let replicas = self.sets.get(&set_id)?.nodes.iter().filter(works);
        replicas.map(|node| self.gate_at(now, key, *node)).max()
    }

    pub(super) fn gate_at(&self, now: Tenths, key: u64, node: Node) -> Gate {
        let (cmd, m) = (&self.open[&key], &self.members[node]);
        if self.eligible_for(now, cmd, m) <= 0 {
            return if m.state == State::Healthy { Gate::RoleInDoubt } else { Gate::NotFresh };
        }
        if m.next_dial_at > now {
            return Gate::NoConnection;
        }
        if !self.has_room(now, node, 1.0, 0.0) {
            return Gate::Window;
        }
        let work = self.groups.slots[cmd.group_slot].target as f64;
        if self.slow_start_credit(now, m) < work { Gate::SlowStart } else { Gate::Turn }
    }
}

#[cfg(test)]
mod tests;
