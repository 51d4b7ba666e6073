//! How long a waiting command is kept: up to half of its time, or as long as an answer is still likely in time; longer
//! where what it waits for is known to come.

use super::*;

impl Router {
    /// Until when a command waits that nothing is known to come for. Danger: a client is left waiting for what has no way to any
    /// member. So with nothing written by half its time it is told to come back while it still can.
    pub(super) fn waits_until(&self, now: Tenths, cmd: &Open) -> Tenths {
        cmd.patience.min(self.last_send(now, cmd))
    }

    /// Until when a send is likely to be answered in time, by what answers usually take.
    fn last_send(&self, now: Tenths, cmd: &Open) -> Tenths {
        cmd.ends - (self.usual(now, cmd.kind) * TIME_TO_RUN) as Tenths
    }

    /// When to look again at a command that has waited for as long as it should, where what it waits for comes in time.
    pub(super) fn worth_waiting_until(&self, now: Tenths, key: u64) -> Option<Tenths> {
        let cmd = &self.open[&key];
        let primary = self.primary(cmd.set).filter(|primary| self.only_credit_is_missing(now, key, *primary));
        let credit = primary.and_then(|primary| self.credit_comes_at(now, key, primary));
        let credit = credit.filter(|at| *at <= self.last_send(now, cmd));
        credit.or_else(|| self.check_ends_by(now, key))
    }

    /// Nothing else keeps a command from a member, as far as is known. Danger: where a window or a dial does, a credit that is
    /// there would hold it to its end.
    fn only_credit_is_missing(&self, now: Tenths, key: u64, node: Node) -> bool {
        matches!(self.withheld_at(now, key, node), Gate::SlowStart | Gate::Turn)
    }

    /// Danger: after a slow time the usual latency stays high for seconds, and what has little time left would be refused while
    /// the check that lets it through is out. A read waits for it where answers of the last seconds say that it would be in time,
    /// and nothing else waits beside it: in a crowd a refusal at once is right.
    fn check_ends_by(&self, now: Tenths, key: u64) -> Option<Tenths> {
        let cmd = &self.open[&key];
        let set = self.sets.get(&cmd.set)?;
        let reads = matches!(self.groups.places[cmd.kind].access, Access::Bounded(_) | Access::Session);
        let alone = set.waiting.iter().map(BTreeSet::len).sum::<usize>() <= 1;
        let in_time = now + (self.lately(now, cmd.kind) * TIME_TO_RUN) as Tenths <= cmd.ends;
        let checked = |n: &&Node| self.is_checked_for(now, cmd, &self.members[**n]);
        let asked_at = set.nodes.iter().find(checked).map(|n| self.members[*n].asked_at)?;
        let until = cmd.patience.min(asked_at + CHECK_MOST);
        (reads && alone && in_time && now < until).then_some(until)
    }

    /// How long a command of this group would take by all answers of the last seconds.
    fn lately(&self, now: Tenths, kind: usize) -> f64 {
        self.slow.read(now, SLOW_HALF, USUAL_GUESS) * self.groups.places[kind].target as f64
    }

    /// A check of this member is out whose answer may let the read through.
    pub(super) fn is_checked_for(&self, now: Tenths, cmd: &Open, m: &Member) -> bool {
        let works = m.met && !m.shut && !matches!(m.state, State::Healthy | State::TransportError);
        works && m.probing && self.fresh_for(now, cmd, m) <= 0
    }
}

#[cfg(test)]
mod tests;
