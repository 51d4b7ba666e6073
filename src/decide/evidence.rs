//! What answers and reports prove of a member: its role, how far it has applied, and how its clock stands to this one.
//! Everything heard is dated by when it can have been said: no earlier than its request was sent, no later than it was
//! heard.

use super::*;

/// What a member says of its role, on this router's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoleClaim {
    pub primary: bool,
    /// No request that this answers, and no report that it hands on, is older.
    pub asked: Tenths,
}

impl Router {
    /// What an answer's note proves by now: a position that is yet to come is none. The clock learns from it. A commit
    /// can't have been before the write was sent; any other position of a primary is dated by its progress.
    pub(super) fn past(&mut self, now: Tenths, asked: Tenths, node: Node, note: Note, commit: bool) -> Note {
        if note.position <= 0 {
            return Note { position: 0, ..note };
        }
        let m = &mut self.members[node];
        let since = match note.primary {
            Some(true) if commit => Some(asked),
            Some(true) if !m.roles.may_be_replica() => m.answered_positions.tells(note.position, asked),
            _ => None,
        };
        self.learn_clock(now, node, Evidence::told(note.position, since, now, 0));
        let position = if self.clock.is_past(note.position, now) { note.position } else { 0 };
        Note { position, ..note }
    }

    fn learn_clock(&mut self, now: Tenths, node: Node, evidence: Evidence) {
        self.clock.learn(now, evidence);
        let (offset, _) = self.clock.ahead(now);
        // The bounds' slow drift is no news.
        if (offset - self.clock_noted).abs() >= CLOCK_NEWS {
            self.clock_noted = offset;
            self.note(Event::Clock { offset, node: self.members[node].id.clone() });
        }
    }

    /// A report that was asked for at `asked`. Danger: how old it is nobody says; a member that hangs hands on the one from
    /// before for as long as it does.
    pub(super) fn learn_report(&mut self, now: Tenths, asked: Tenths, node: Node, report: Report) {
        if let Some(position) = report.position.filter(|position| *position > 0) {
            let m = &mut self.members[node];
            let primary = report.primary == Some(true) && !m.roles.may_be_replica();
            let since = primary.then(|| m.reported_positions.tells(position, asked)).flatten();
            self.learn_clock(now, node, Evidence::told(position, since, now, REPORT_DELAY));
            if self.clock.is_past(position, now) {
                let m = &mut self.members[node];
                m.checked_at = now;
                (m.behind, m.behind_at) = (m.behind(now).min(self.clock.now(now) - position), now);
                if report.primary != Some(true) && position >= m.position {
                    (m.position, m.position_heard) = (position, now);
                    m.position_source = PositionSource::Report;
                }
            }
        }
        self.learn_reported_role(now, asked, node, report);
    }

    /// A position in the note of an answer. Danger: what a member told as the primary it may not have had as a replica, and
    /// one that tells less than it told before has not what was believed of it.
    pub(super) fn learn_position(&mut self, now: Tenths, asked: Tenths, node: Node, note: Note) {
        let m = &mut self.members[node];
        if note.position <= 0 || note.primary == Some(true) {
            return;
        }
        if note.position >= m.position || asked >= m.position_heard {
            (m.position, m.position_heard) = (note.position, now);
            m.position_source = PositionSource::Answer;
        }
    }

    /// A report older than the last answer's note proves nothing against it; its position dates it.
    pub(super) fn learn_reported_role(&mut self, now: Tenths, asked: Tenths, node: Node, report: Report) {
        let position = report.position.unwrap_or(0);
        let newer = position > self.clock.now(self.members[node].noted_at);
        match report.primary {
            Some(true) => {
                let asked = asked.min(self.reported_at(now, asked, position));
                // Danger: one that hangs is asked, found well by its report from before, and hangs on.
                if asked > self.members[node].broken_at {
                    self.learn_role(now, node, RoleClaim { primary: true, asked });
                }
            }
            Some(false) if newer => self.learn_role(now, node, RoleClaim { primary: false, asked }),
            // Danger: one that was demoted lags, so its report may look older than it is.
            Some(false) => self.doubt(now, asked - REPORT_DELAY, asked, node),
            None => {}
        }
    }

    /// The earliest time here at which a primary can have made a report: its position dates it, where there is one.
    fn reported_at(&self, now: Tenths, asked: Tenths, position: Tenths) -> Tenths {
        if position > 0 { self.clock.earliest_here(now, position) } else { asked - REPORT_DELAY }
    }

    /// Whether a broken member's report calls it a primary and is from before it broke: it answers probes, and may hang. Such
    /// a one stays broken, and is asked again after a pause.
    pub(super) fn still_hangs(&mut self, now: Tenths, asked: Tenths, node: Node, report: Report) -> bool {
        let m = &self.members[node];
        let position = report.position.filter(|position| *position > 0);
        let dated = position.filter(|_| report.primary == Some(true) && m.state == State::TransportError);
        let Some(made) = dated.map(|position| self.reported_at(now, asked, position)) else { return false };
        if made > m.broken_at {
            return false;
        }
        self.note(Event::ReportFromBefore { node: self.members[node].id.clone(), age: now - made });
        self.members[node].retry_at = now + self.rng.jittered(PAUSE);
        true
    }

    /// A member has told its role by itself, as its connection was opened; that was begun at `asked`.
    pub fn role_told(&mut self, now: Tenths, node: &str, asked: Tenths, primary: bool) {
        if let Some(&node) = self.nodes.get(node) {
            self.learn_role(now, node, RoleClaim { primary, asked });
        }
    }

    /// The host has heard this and has not told it yet. Danger: an answer that is passed on first comes from a member
    /// that had said, before it was asked, that it is no primary any more.
    pub fn heard_replica(&mut self, now: Tenths, node: &str, asked: Tenths) {
        if let Some(&node) = self.nodes.get(node) {
            self.doubt(now, asked - REPORT_DELAY, asked, node);
        }
    }

    /// It may be a replica from now on, and since it was asked: what was written there since as to a primary may see old
    /// data. What it told was so at `said` at the earliest.
    fn doubt(&mut self, now: Tenths, said: Tenths, asked: Tenths, node: Node) {
        let m = &mut self.members[node];
        m.roles.claims_replica(said, now);
        m.answered_positions.ends();
        m.reported_positions.ends();
        // Danger: on a kept connection the write often has the very time at which it was decided.
        let since: Vec<_> = m.written_as_primary.extract_if(.., |_, written| *written >= asked).collect();
        for ((key, dispatch), _) in since {
            self.open.get_mut(&key).into_iter().for_each(|cmd| _ = cmd.too_old.insert(dispatch));
        }
    }

    pub(super) fn learn_role(&mut self, now: Tenths, node: Node, claim: RoleClaim) {
        if claim.primary {
            self.learn_primary(now, node, claim.asked)
        } else {
            self.learn_replica(now, node, claim.asked)
        }
    }

    fn learn_primary(&mut self, now: Tenths, node: Node, asked: Tenths) {
        // Danger: an answer that lay on its way for long says what was so before the handover. One that is only likely the
        // latest word makes a primary for writes, which a replica turns away; reads go by `is_current`.
        let standing = self.members[node].roles.claims_primary(asked);
        if standing == Standing::Old || self.has_later_primary(node, asked) {
            return self.note(Event::OldRole { node: self.members[node].id.clone(), age: now - asked });
        }
        // Danger: what was held lands at once on a cold new primary, on credit that lay unused at hundreds of
        // routers. As it becomes one, what would cover whole such commands lapses.
        if self.members[node].state != State::Healthy {
            let credit = self.cold_credit(now, &self.members[node]) % self.held;
            (self.members[node].credit, self.members[node].credit_at) = (credit, now);
        }
        let number = self.members[node].set;
        self.set_state(node, State::Healthy, StateReason::Role);
        let Some(set) = self.sets.get_mut(&number) else { return };
        (set.broken_rounds, set.round_at) = (0, 0);
        // One primary a set: whoever was held for it before is a replica by now, or broken.
        let members = &self.members;
        let healthy = |n: &Node| *n != node && members[*n].state == State::Healthy;
        let superseded: Vec<Node> = set.nodes.iter().copied().filter(healthy).collect();
        for other in superseded {
            self.set_state(other, State::Unknown, StateReason::Superseded);
        }
    }

    /// Another of its set is held for the primary, on an answer that was asked for later than this.
    fn has_later_primary(&self, node: Node, asked: Tenths) -> bool {
        let later = |n: &Node| {
            let m = &self.members[*n];
            *n != node && m.state == State::Healthy && m.roles.was_primary_after(asked)
        };
        self.sets.get(&self.members[node].set).is_some_and(|set| set.nodes.iter().any(later))
    }

    fn learn_replica(&mut self, now: Tenths, node: Node, asked: Tenths) {
        self.doubt(now, asked, asked, node);
        let m = &self.members[node];
        let to = match m.state {
            // It has said "primary" to a later request, and likely is that. A write that misses tells.
            State::Healthy if m.roles.was_primary_after(asked) => State::Healthy,
            State::TransportError => State::TransportError,
            _ => State::TopologyReject,
        };
        self.set_state(node, to, StateReason::Role);
    }
}

#[cfg(test)]
mod tests;
