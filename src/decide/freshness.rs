//! Which data a read may see, and for how long a member has it: the rule on age. It is asked before an attempt goes out,
//! by the host before and after it writes, and once more before an answer is passed on.

use super::*;

impl Router {
    /// Held for the primary, and nothing that it has said since may have been "replica".
    pub(super) fn is_current(m: &Member) -> bool {
        m.state == State::Healthy && !m.roles.may_be_replica()
    }

    /// Whether the rule on age is this router's to keep for the command.
    fn has_age(&self, cmd: &Open) -> bool {
        !self.node_checks && !matches!(self.groups.places[cmd.kind].access, Access::Write | Access::Any)
    }

    /// For how long a member's data are new enough for the command.
    pub(super) fn new_enough_for(&self, now: Tenths, cmd: &Open, m: &Member) -> Tenths {
        let write = self.groups.places[cmd.kind].access == Access::Write;
        if write || self.node_checks || Router::is_current(m) {
            Tenths::MAX
        } else {
            self.fresh_for(now, cmd, m)
        }
    }

    /// For how long a member stays fresh enough: known position against bound or token. Where nodes check for
    /// themselves, how far behind it was at the last word of it. Danger: a miss for one need (a session's
    /// write of 50 ms ago) says nothing of another (300 ms), and shut the dearer reads out.
    pub(super) fn fresh_for(&self, now: Tenths, cmd: &Open, m: &Member) -> Tenths {
        let fresh = match self.groups.places[cmd.kind].access {
            // Danger: beside a clock that is wrong, old data looks fresh.
            Access::Bounded(bound) if !self.node_checks => {
                return self
                    .clock
                    .latest(now)
                    .map_or(0, |latest| (m.position + bound).saturating_sub(latest));
            }
            Access::Bounded(bound) => m.behind(now) < bound,
            Access::Session => {
                let past = self.clock.now(now) - cmd.needs;
                m.position >= cmd.needs || (self.node_checks && m.behind(now) <= past)
            }
            access => access == Access::Any,
        };
        if fresh { Tenths::MAX } else { 0 }
    }

    /// A session's write was answered; a read of it has to see all up to `needs`. Danger: reads of the session that came in before
    /// the answer, and still wait to be sent, have to see it too.
    pub(super) fn session_wrote(&mut self, now: Tenths, session: String, needs: Tenths) {
        if is(&self.told, "family_info.token_mode", "remembered") {
            let places = &self.groups.places;
            let reads = |cmd: &&mut Open| places[cmd.kind].access == Access::Session;
            let waiting = self.open.values_mut().filter(reads);
            waiting
                .filter(|cmd| cmd.session.as_ref() == Some(&session))
                .for_each(|cmd| cmd.needs = cmd.needs.max(needs));
        }
        // Danger: sessions come and go for ever. One not remembered counts as written that long ago.
        let old = self.clock.now(now) - SESSION_KEPT;
        self.sessions.write(session, needs, old, SESSIONS_LEAST);
    }

    /// The host has written an attempt's last byte, no later than `now` by a clock that it read behind the write. Danger: any
    /// time may pass between a decision and its write, and a bound counts from the last byte. What is not new enough by
    /// then is not served; the host need not wait for it where it may give it up.
    pub fn attempt_written(&mut self, now: Tenths, command: &str, dispatch: u32) -> Written {
        let Some(&key) = self.by_id.get(command) else { return Written::Free };
        let Some(cmd) = self.open.get(&key).filter(|cmd| self.has_age(cmd)) else { return Written::Free };
        let Some(&(node, _)) = cmd.out.get(&dispatch) else { return Written::Free };
        let m = &self.members[node];
        let behind = self.clock.latest(now).map_or(Tenths::MAX, |latest| latest - m.position);
        if Router::is_current(m) {
            self.members[node].written_as_primary.insert((key, dispatch), now);
            return Written::ToPrimary;
        }
        let fresh = self.fresh_for(now, cmd, m) > 0;
        let (position, source, heard) = (m.position, m.position_source, m.position_heard);
        let may_give_up = self.allows("permissions.cancel");
        let Some(cmd) = self.open.get_mut(&key) else { return Written::Free };
        let seen = Seen { written: now, needs: cmd.needs, position, source, heard };
        cmd.seen.insert(dispatch, seen);
        if fresh {
            return Written::ToReplica { behind };
        }
        cmd.too_old.insert(dispatch);
        Written::TooOld { behind, may_give_up }
    }

    /// What an attempt at a replica may have seen, by all that is known now.
    pub fn data_age(&self, now: Tenths, command: &str, dispatch: u32) -> Option<DataAge> {
        let cmd = self.open.get(self.by_id.get(command)?)?;
        let seen = cmd.seen.get(&dispatch)?;
        let (need, behind) = match self.groups.places[cmd.kind].access {
            Access::Bounded(bound) => {
                (DataNeed::Bound(bound), self.clock.latest(seen.written)? - seen.position)
            }
            Access::Session => (DataNeed::Session, seen.needs - seen.position),
            _ => return None,
        };
        let (clock_ahead, clock_ahead_most) = self.clock.ahead(now);
        let heard_before = seen.written - seen.heard;
        Some(DataAge { need, behind, source: seen.source, heard_before, clock_ahead, clock_ahead_most })
    }

    /// Whether the data of an answer that has come may be passed on: its member was new enough as the attempt was written, by
    /// all that is known now, and as the answer itself says. Danger: the members' clock may have turned out to be later
    /// than it was taken to be as the attempt was written.
    pub fn may_serve(&self, command: &str, dispatch: u32, note: Note) -> bool {
        let Some(cmd) = self.by_id.get(command).and_then(|key| self.open.get(key)) else { return true };
        if !self.has_age(cmd) {
            return true;
        }
        let Some(&(_, sent)) = cmd.out.get(&dispatch) else { return true };
        let seen = cmd.seen.get(&dispatch);
        let told = (note.primary == Some(false) && note.position > 0).then_some(note.position);
        let positions = seen.map(|seen| seen.position).into_iter().chain(told);
        let latest = self.clock.latest(seen.map_or(sent, |seen| seen.written));
        let old = match (self.groups.places[cmd.kind].access, latest) {
            (Access::Bounded(bound), Some(latest)) => positions.min().is_some_and(|p| p + bound < latest),
            (Access::Session, _) => {
                let needs = seen.map_or(cmd.needs, |seen| seen.needs);
                told.is_some_and(|position| position < needs)
            }
            _ => false,
        };
        !old && !cmd.too_old.contains(&dispatch)
    }
}

#[cfg(test)]
mod tests;
