//! What answers and reports prove about a member: its role, the position it has applied, and its clock's
//! offset to this router's clock. A statement of a member was made no earlier than the request for it was
//! sent, and no later than it was received.

use super::*;

/// A member's claim about its role, dated by this router's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoleClaim {
    pub primary: bool,
    /// Earliest time of the claim: no request that it answers, and no report that carries it, is older.
    pub requested_at: Tenths,
}

impl Router {
    /// The note of an answer, with a position that lies in the future set to 0. The position is also evidence
    /// for the clock offset: a commit is no earlier than the sending of its write, and any other position of
    /// a primary is dated by its progress.
    pub(super) fn without_future_position(
        &mut self,
        now: Tenths,
        requested_at: Tenths,
        node: Node,
        note: AnswerNote,
        commit: bool,
    ) -> AnswerNote {
        if note.position <= 0 {
            return AnswerNote { position: 0, ..note };
        }
        let m = &mut self.members[node];
        let since = match note.primary {
            Some(true) if commit => Some(requested_at),
            Some(true) if !m.roles.may_be_replica() => {
                m.answered_positions.record(note.position, requested_at)
            }
            _ => None,
        };
        self.learn_clock(now, node, OffsetEvidence::from_position(note.position, since, now, 0));
        let position = if self.clock.has_passed(note.position, now) { note.position } else { 0 };
        AnswerNote { position, ..note }
    }

    fn learn_clock(&mut self, now: Tenths, node: Node, evidence: OffsetEvidence) {
        self.clock.learn(now, evidence);
        let (offset, _) = self.clock.offset_and_bound(now);
        // Slow drift of the bounds is not reported.
        if (offset - self.reported_offset).abs() >= CLOCK_EVENT_THRESHOLD {
            self.reported_offset = offset;
            self.record_event(Event::ClockOffset { offset, node: self.members[node].id.clone() });
        }
    }

    /// Takes in a report that was requested at `requested_at`. Danger: the age of a report is unknown; a hung
    /// member keeps returning its last report for as long as it hangs.
    pub(super) fn learn_report(&mut self, now: Tenths, requested_at: Tenths, node: Node, report: Report) {
        if let Some(position) = report.position.filter(|position| *position > 0) {
            let m = &mut self.members[node];
            let is_primary = report.primary == Some(true) && !m.roles.may_be_replica();
            let since = is_primary.then(|| m.reported_positions.record(position, requested_at)).flatten();
            self.learn_clock(now, node, OffsetEvidence::from_position(position, since, now, REPORT_DELAY));
            if self.clock.has_passed(position, now) {
                let m = &mut self.members[node];
                m.checked_at = now;
                (m.lag, m.lag_at) = (m.estimated_lag(now).min(self.clock.now(now) - position), now);
                if report.primary != Some(true) && position >= m.position {
                    (m.position, m.position_received_at) = (position, now);
                    m.position_source = PositionSource::Report;
                }
            }
        }
        self.learn_reported_role(now, requested_at, node, report);
    }

    /// Takes in a position from the note of an answer. Danger: a replica need not have the position that it
    /// gave while it was the primary, and a member that reports less than before does not have the position
    /// recorded for it.
    pub(super) fn learn_position(&mut self, now: Tenths, requested_at: Tenths, node: Node, note: AnswerNote) {
        let m = &mut self.members[node];
        if note.position <= 0 || note.primary == Some(true) {
            return;
        }
        if note.position >= m.position || requested_at >= m.position_received_at {
            (m.position, m.position_received_at) = (note.position, now);
            m.position_source = PositionSource::Answer;
        }
    }

    /// Takes in the role in a report. A report older than the last answer's note proves nothing against the
    /// note; the report's position dates it.
    pub(super) fn learn_reported_role(
        &mut self,
        now: Tenths,
        requested_at: Tenths,
        node: Node,
        report: Report,
    ) {
        let position = report.position.unwrap_or(0);
        let newer = position > self.clock.now(self.members[node].role_received_at);
        match report.primary {
            Some(true) => {
                let requested_at = requested_at.min(self.earliest_report_time(now, requested_at, position));
                // Danger: a hung member would otherwise be probed, count as recovered by a report from before
                // it hung, and go on hanging.
                if requested_at > self.members[node].broken_at {
                    self.learn_role(now, node, RoleClaim { primary: true, requested_at });
                }
            }
            Some(false) if newer => self.learn_role(now, node, RoleClaim { primary: false, requested_at }),
            // Danger: a demoted member lags, so its report may look older than it is.
            Some(false) => self.mark_possible_replica(now, requested_at - REPORT_DELAY, requested_at, node),
            None => {}
        }
    }

    /// The earliest time, by this router's clock, at which a primary can have made a report: dated by its
    /// position if it has one.
    fn earliest_report_time(&self, now: Tenths, requested_at: Tenths, position: Tenths) -> Tenths {
        if position > 0 { self.clock.earliest_local_time(now, position) } else { requested_at - REPORT_DELAY }
    }

    /// Whether a broken member's report calls it a primary and dates from before it broke: the member answers
    /// probes but may hang. It then stays broken and is probed again after a pause.
    pub(super) fn keep_broken_on_old_report(
        &mut self,
        now: Tenths,
        requested_at: Tenths,
        node: Node,
        report: Report,
    ) -> bool {
        let m = &self.members[node];
        let position = report.position.filter(|position| *position > 0);
        let dated = position.filter(|_| report.primary == Some(true) && m.state == State::TransportError);
        let Some(made) = dated.map(|p| self.earliest_report_time(now, requested_at, p)) else { return false };
        if made > m.broken_at {
            return false;
        }
        self.record_event(Event::StaleReport { node: self.members[node].id.clone(), age: now - made });
        self.members[node].retry_at = now + self.rng.jittered(BASE_PAUSE);
        true
    }

    /// A member announced its role on its own as a connection to it was opened; the dial began at
    /// `requested_at`.
    pub fn role_announced(&mut self, now: Tenths, node: &str, requested_at: Tenths, primary: bool) {
        if let Some(&node) = self.node_by_id.get(node) {
            self.learn_role(now, node, RoleClaim { primary, requested_at });
        }
    }

    /// The host has received a replica claim that it has not passed to `dispatch_ended`, `probe_ended` or
    /// `role_announced` yet. Danger: an answer that is processed first may come from a member that had given
    /// up the primary role before the request was sent.
    pub fn replica_role_received(&mut self, now: Tenths, node: &str, requested_at: Tenths) {
        if let Some(&node) = self.node_by_id.get(node) {
            self.mark_possible_replica(now, requested_at - REPORT_DELAY, requested_at, node);
        }
    }

    /// Treats a member as possibly a replica from now on and since `requested_at`: a dispatch that was
    /// written to it since as to a primary may read old data. The claim was made at `claimed_at` at the
    /// earliest.
    fn mark_possible_replica(&mut self, now: Tenths, claimed_at: Tenths, requested_at: Tenths, node: Node) {
        let m = &mut self.members[node];
        m.roles.record_replica_claim(claimed_at, now);
        m.answered_positions.reset();
        m.reported_positions.reset();
        // Danger: on a kept connection the write often has the same time as the decision to send, so equal
        // times count too.
        let written_since: Vec<_> =
            m.written_as_primary.extract_if(.., |_, written| *written >= requested_at).collect();
        for ((key, dispatch), _) in written_since {
            self.open.get_mut(&key).into_iter().for_each(|cmd| _ = cmd.too_old.insert(dispatch));
        }
    }

    pub(super) fn learn_role(&mut self, now: Tenths, node: Node, claim: RoleClaim) {
        if claim.primary {
            self.learn_primary(now, node, claim.requested_at)
        } else {
            self.learn_replica(now, node, claim.requested_at)
        }
    }

    fn learn_primary(&mut self, now: Tenths, node: Node, requested_at: Tenths) {
        // Danger: an answer that was long in transit describes the state before a handover. A claim that is
        // only likely the latest makes the member the primary for writes, which a replica rejects; reads go
        // by `is_confirmed_primary`.
        let standing = self.members[node].roles.record_primary_claim(requested_at);
        if standing == ClaimStanding::Old || self.has_newer_primary(node, requested_at) {
            return self.record_event(Event::StaleRoleClaim {
                node: self.members[node].id.clone(),
                age: now - requested_at,
            });
        }
        // Danger: commands held during a handover all reach a cold new primary at once, on credit that has
        // accumulated unused at hundreds of routers. When a member becomes the primary, the part of its
        // credit that covers whole such commands is cancelled.
        if self.members[node].state != State::Healthy {
            let credit = self.slow_start_credit(now, &self.members[node]) % self.primary_min_target;
            (self.members[node].credit, self.members[node].credit_updated_at) = (credit, now);
        }
        let set_id = self.members[node].set;
        self.set_state(node, State::Healthy, StateReason::Role);
        let Some(set) = self.sets.get_mut(&set_id) else { return };
        (set.broken_rounds, set.next_round_at) = (0, 0);
        // A set has one primary: any other member recorded as primary is a replica by now, or broken.
        let members = &self.members;
        let is_other_primary = |n: &Node| *n != node && members[*n].state == State::Healthy;
        let superseded: Vec<Node> = set.nodes.iter().copied().filter(is_other_primary).collect();
        for other in superseded {
            self.set_state(other, State::Unknown, StateReason::Superseded);
        }
    }

    /// Whether another member of the set is recorded as primary by an answer to a later request than this.
    fn has_newer_primary(&self, node: Node, requested_at: Tenths) -> bool {
        let is_newer_primary = |n: &Node| {
            let m = &self.members[*n];
            *n != node && m.state == State::Healthy && m.roles.claimed_primary_after(requested_at)
        };
        self.sets.get(&self.members[node].set).is_some_and(|set| set.nodes.iter().any(is_newer_primary))
    }

    fn learn_replica(&mut self, now: Tenths, node: Node, requested_at: Tenths) {
        self.mark_possible_replica(now, requested_at, requested_at, node);
        let m = &self.members[node];
        let to = match m.state {
            // It has claimed the primary role in answer to a later request and is likely still the primary.
            // If not, a write that ends as a miss shows it.
            State::Healthy if m.roles.claimed_primary_after(requested_at) => State::Healthy,
            State::TransportError => State::TransportError,
            _ => State::TopologyReject,
        };
        self.set_state(node, to, StateReason::Role);
    }
}

#[cfg(test)]
mod tests;
