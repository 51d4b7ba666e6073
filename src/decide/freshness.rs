//! The staleness rule: which data a read may see, and for how long a member has it. The rule is checked
//! before an attempt is sent, by the host before and after it writes the attempt, and once more before an
//! answer is passed on.

use super::*;

impl Router {
    /// Whether the member is recorded as primary and cannot have claimed to be a replica since.
    pub(super) fn is_confirmed_primary(m: &Member) -> bool {
        m.state == State::Healthy && !m.roles.may_be_replica()
    }

    /// Whether this router has to enforce the staleness rule for the command.
    fn must_check_age(&self, cmd: &OpenCommand) -> bool {
        !self.members_check_staleness
            && !matches!(self.groups.slots[cmd.group_slot].access, Access::Write | Access::Any)
    }

    /// For how long a member's data are new enough for the command; unlimited at a confirmed primary.
    pub(super) fn data_valid_for(&self, now: Tenths, cmd: &OpenCommand, m: &Member) -> Tenths {
        let write = self.groups.slots[cmd.group_slot].access == Access::Write;
        if write || self.members_check_staleness || Router::is_confirmed_primary(m) {
            Tenths::MAX
        } else {
            self.replica_fresh_for(now, cmd, m)
        }
    }

    /// For how long a replica stays fresh enough, by its known position against the bound or the session
    /// token. Where members check staleness themselves, its last known lag is used instead. Danger: a miss
    /// for one requirement (a session's write of 50 ms ago) says nothing about another (300 ms); treated as
    /// one, such misses excluded the member from costlier reads.
    pub(super) fn replica_fresh_for(&self, now: Tenths, cmd: &OpenCommand, m: &Member) -> Tenths {
        let is_fresh = match self.groups.slots[cmd.group_slot].access {
            // Danger: by a wrong clock, old data look fresh, so the latest possible time counts.
            Access::Bounded(bound) if !self.members_check_staleness => {
                return self
                    .clock
                    .latest(now)
                    .map_or(0, |latest| (m.position + bound).saturating_sub(latest));
            }
            Access::Bounded(bound) => m.estimated_lag(now) < bound,
            Access::Session => {
                let past = self.clock.now(now) - cmd.required_position;
                m.position >= cmd.required_position
                    || (self.members_check_staleness && m.estimated_lag(now) <= past)
            }
            access => access == Access::Any,
        };
        if is_fresh { Tenths::MAX } else { 0 }
    }

    /// A session's write was answered: its reads have to see all up to `needs`. Danger: this includes reads
    /// of the session that arrived before the answer and still wait to be sent.
    pub(super) fn record_session_write(&mut self, now: Tenths, session: String, required_position: Tenths) {
        if setting_is(&self.settings, "family_info.token_mode", "remembered") {
            let slots = &self.groups.slots;
            let is_session_read = |cmd: &&mut OpenCommand| slots[cmd.group_slot].access == Access::Session;
            let waiting = self.open.values_mut().filter(is_session_read);
            waiting
                .filter(|cmd| cmd.session.as_ref() == Some(&session))
                .for_each(|cmd| cmd.required_position = cmd.required_position.max(required_position));
        }
        // Danger: sessions come and go without end, so old ones are forgotten. A forgotten session counts as
        // last written `SESSION_RETENTION` ago.
        let forget_before = self.clock.now(now) - SESSION_RETENTION;
        self.sessions.record_write(session, required_position, forget_before, SESSIONS_BEFORE_EVICTION);
    }

    /// The host has written an attempt's last byte, no later than `now` (it reads the clock after the write).
    /// Danger: any time may pass between a decision and its write, and a staleness bound counts from the last
    /// byte. An answer with data too old by then is not served; the host need not wait for it if it may give
    /// the attempt up.
    pub fn attempt_written(&mut self, now: Tenths, command: &str, dispatch: u32) -> Written {
        let Some(&key) = self.key_by_id.get(command) else { return Written::Free };
        let Some(cmd) = self.open.get(&key).filter(|c| self.must_check_age(c)) else { return Written::Free };
        let Some(&(node, _)) = cmd.in_flight.get(&dispatch) else { return Written::Free };
        let m = &self.members[node];
        let behind = self.clock.latest(now).map_or(Tenths::MAX, |latest| latest - m.position);
        if Router::is_confirmed_primary(m) {
            self.members[node].written_as_primary.insert((key, dispatch), now);
            return Written::ToPrimary;
        }
        let is_fresh = self.replica_fresh_for(now, cmd, m) > 0;
        let (position, source, position_received_at) =
            (m.position, m.position_source, m.position_received_at);
        let may_give_up = self.is_enabled("permissions.cancel");
        let Some(cmd) = self.open.get_mut(&key) else { return Written::Free };
        let seen = VisibleData {
            written_at: now,
            required_position: cmd.required_position,
            position,
            source,
            position_received_at,
        };
        cmd.seen.insert(dispatch, seen);
        if is_fresh {
            return Written::ToReplica { behind };
        }
        cmd.too_old.insert(dispatch);
        Written::TooOld { behind, may_give_up }
    }

    /// What an attempt at a replica may have read, by what is known now.
    pub fn data_age(&self, now: Tenths, command: &str, dispatch: u32) -> Option<DataAge> {
        let cmd = self.open.get(self.key_by_id.get(command)?)?;
        let seen = cmd.seen.get(&dispatch)?;
        let (need, behind) = match self.groups.slots[cmd.group_slot].access {
            Access::Bounded(bound) => {
                (DataNeed::Bound(bound), self.clock.latest(seen.written_at)? - seen.position)
            }
            Access::Session => (DataNeed::Session, seen.required_position - seen.position),
            _ => return None,
        };
        let (clock_ahead, clock_ahead_most) = self.clock.offset_and_bound(now);
        let heard_before = seen.written_at - seen.position_received_at;
        Some(DataAge { need, behind, source: seen.source, heard_before, clock_ahead, clock_ahead_most })
    }

    /// Whether an answer may be passed on: its member's data were new enough when the attempt was written, by
    /// what is known now and by the answer's own note. Danger: the members' clock may have turned out to be
    /// later than assumed at the write.
    pub fn may_serve(&self, command: &str, dispatch: u32, note: AnswerNote) -> bool {
        let Some(cmd) = self.key_by_id.get(command).and_then(|key| self.open.get(key)) else { return true };
        if !self.must_check_age(cmd) {
            return true;
        }
        let Some(&(_, sent)) = cmd.in_flight.get(&dispatch) else { return true };
        let seen = cmd.seen.get(&dispatch);
        let noted_position = (note.primary == Some(false) && note.position > 0).then_some(note.position);
        let positions = seen.map(|seen| seen.position).into_iter().chain(noted_position);
        let latest = self.clock.latest(seen.map_or(sent, |seen| seen.written_at));
        let is_too_old = match (self.groups.slots[cmd.group_slot].access, latest) {
            (Access::Bounded(bound), Some(latest)) => positions.min().is_some_and(|p| p + bound < latest),
            (Access::Session, _) => {
                let required_position = seen.map_or(cmd.required_position, |seen| seen.required_position);
                noted_position.is_some_and(|position| position < required_position)
            }
            _ => false,
        };
        !is_too_old && !cmd.too_old.contains(&dispatch)
    }
}

#[cfg(test)]
mod tests;
