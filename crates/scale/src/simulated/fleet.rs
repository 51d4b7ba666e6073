//! Membership and shared signals between hollow routers, and whether views agree with the truth.

use super::{Happening, Role, World, hollow, router_of};
use crate::tally::Duty;
use crate::{SECOND, Tenths};
use std::collections::BTreeMap;
use vetchkeel_membership::{Change, Decision, Message, Name, wire};
use vetchkeel_shared::judgements::Output;
use vetchkeel_shared::wire::Decision as Shared;

/// Bytes of the headers of IP and UDP.
const HEADERS: usize = 28;

/// When the observers' views agreed with the truth after something had changed it.
#[derive(Default)]
pub(super) struct Agreement {
    /// By event (none: the first starts): since when it was due.
    pending: BTreeMap<Option<usize>, Tenths>,
    /// By event: how long it took.
    pub(super) took: Vec<(Option<usize>, Tenths)>,
    /// At the last look: instances seen wrongly, by the worst of the observers.
    pub(super) worst: usize,
}

impl Agreement {
    pub(super) fn due(&mut self, now: Tenths, event: Option<usize>) {
        self.pending.insert(event, now);
    }

    fn agreed(&mut self, now: Tenths) {
        for (event, due) in std::mem::take(&mut self.pending) {
            self.took.push((event, now - due));
        }
    }

    /// What never agreed.
    pub(super) fn pending(&self) -> impl Iterator<Item = (Option<usize>, Tenths)> + '_ {
        self.pending.iter().map(|(event, due)| (*event, *due))
    }
}

impl World<'_> {
    pub(super) fn pull_membership(&mut self, router: usize) {
        let now = self.now;
        let Some(hollow) = &mut self.routers[router] else { return };
        let membership = &mut hollow.membership;
        let (out, changed) = self.costs.of(Role::Membership, || {
            let (mut out, mut changed) = (Vec::new(), false);
            while let Some(decision) = membership.next_decision(now) {
                match decision {
                    Decision::Send { to, message } => {
                        out.extend(wire::encode(&message).map(|bytes| (to, bytes)))
                    }
                    Decision::Tell(Change::LocalHealthChanged(_)) => {}
                    Decision::Tell(_) => changed = true,
                }
            }
            (out, changed)
        });
        hollow.view_changed |= changed;
        let wake = hollow.membership.wake_at();
        self.queue.wake(now, wake, router, Duty::Membership);
        for (to, bytes) in out {
            if let Some(to) = router_of(to) {
                self.send(router, to, Duty::Membership, bytes);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, duty: Duty, bytes: Vec<u8>) {
        self.tally.sent(from, duty, bytes.len() + HEADERS);
        match self.ways.datagram(from, to) {
            Some(late) => self.queue.put(self.now + late, Happening::Datagram { to, duty, bytes }),
            None => self.lost += 1,
        }
    }

    pub(super) fn datagram(&mut self, to: usize, duty: Duty, bytes: &[u8]) {
        if to >= self.routers.len() || self.routers[to].is_none() {
            return;
        }
        self.tally.heard(to, duty, bytes.len() + HEADERS);
        match duty {
            Duty::Membership => {
                self.hear_membership(to, bytes);
                self.pull_membership(to);
            }
            _ => self.hear_signals(to, bytes),
        }
    }

    fn hear_membership(&mut self, router: usize, bytes: &[u8]) {
        let now = self.now;
        let Some(hollow) = &mut self.routers[router] else { return };
        let membership = &mut hollow.membership;
        self.costs.of(Role::Membership, || {
            if let Ok(message) = wire::decode::<Message>(bytes) {
                membership.handle_message(now, &message);
            }
        });
    }

    fn hear_signals(&mut self, router: usize, bytes: &[u8]) {
        let now = self.now;
        let Some(hollow) = &mut self.routers[router] else { return };
        let (counts, judgements) = (&mut hollow.counts, &mut hollow.judgements);
        self.costs.of(Role::Signals, || {
            let Ok(message) = vetchkeel_shared::wire::decode(bytes) else { return };
            let _ = counts.as_mut().is_some_and(|counts| counts.handle_message(now, &message))
                || judgements.as_mut().is_some_and(|judgements| judgements.handle_message(now, &message));
        });
    }

    /// Once a news period: who is there, what is counted, what is to be told.
    pub(super) fn pull_signals(&mut self, router: usize) {
        let (now, topics) = (self.now, self.schedule.signals.topics);
        let Some(hollow) = &mut self.routers[router] else { return };
        if now < hollow.signals_at {
            self.queue.wake(now, Some(hollow.signals_at), router, Duty::Signals);
            return;
        }
        hollow.signals_at = now + SECOND;
        let (sends, darkened) = self.costs.of(Role::Signals, || {
            hollow.tell_view(now);
            hollow.news(now, topics)
        });
        let is_dark = self.schedule.signals.judged;
        hollow.dark.extend(darkened);
        let all_dark = is_dark > 0 && hollow.dark.len() >= is_dark;
        self.queue.wake(now, Some(now + SECOND), router, Duty::Signals);
        if all_dark {
            self.dark.values_mut().for_each(|dark| dark.holds(now, router, 1));
        }
        for (to, bytes) in sends {
            if let Some(to) = router_number(&to) {
                self.send(router, to, Duty::Signals, bytes);
            }
        }
    }

    /// Every router holds against these members: they have gone with their zone.
    pub(super) fn judge(&mut self, members: &[usize]) {
        for hollow in self.routers.iter_mut().flatten() {
            for member in members {
                let Ok(name) = Name::new(&format!("m{member}")) else { continue };
                if let Some(judgements) = &mut hollow.judgements {
                    judgements.judge(self.now, &name, 0, true);
                }
            }
        }
    }

    /// Do the observers see what is true?
    pub(super) fn compare_views(&mut self) {
        let size = self.schedule.size;
        if self.agreement.pending().next().is_none() {
            return;
        }
        let worst = (0..size.routers)
            .filter(|router| hollow::is_sampled(*router, size.routers, size.observers))
            .map(|router| self.seen_wrongly(router))
            .max();
        self.agreement.worst = worst.unwrap_or(0);
        let is_settled = self.now > self.schedule.start_over;
        if worst == Some(0) && is_settled && !self.ways.is_cut() {
            self.agreement.agreed(self.now);
        }
    }

    /// Instances that a router sees other than they are.
    fn seen_wrongly(&self, router: usize) -> usize {
        let Some(hollow) = &self.routers[router] else { return 0 };
        let mut right = 0;
        let mut wrong = 0;
        for seen in hollow.membership.view() {
            let number = router_number(&seen.instance.name).and_then(|number| self.routers.get(number));
            let lives = number.and_then(Option::as_ref).map(|hollow| hollow.started_ms);
            match (lives, seen.liveness.is_present()) {
                (Some(started), true) if started == seen.instance.start.at => right += 1,
                (None, true) => wrong += 1,
                _ => {}
            }
        }
        let others = self.routers.iter().flatten().count() - 1;
        wrong + others - right
    }
}

type Sends = Vec<(Name, Vec<u8>)>;

impl hollow::Hollow {
    /// What counts and judgements have to tell, and members that are dark from now on.
    fn news(&mut self, now: Tenths, topics: u32) -> (Sends, Vec<Name>) {
        let (mut sends, mut dark) = (Vec::new(), Vec::new());
        if let Some(counts) = &mut self.counts {
            (0..topics).for_each(|topic| _ = counts.add(now, topic, 1));
            while let Some(Shared::Send { to, message }) = counts.next_decision(now) {
                sends.extend(vetchkeel_shared::wire::encode(&message).map(|bytes| (to, bytes)));
            }
        }
        if let Some(judgements) = &mut self.judgements {
            while let Some(ruling) = judgements.next_decision(now) {
                match ruling {
                    Output::Send(Shared::Send { to, message }) => {
                        sends.extend(vetchkeel_shared::wire::encode(&message).map(|bytes| (to, bytes)));
                    }
                    Output::Down(member, _) => dark.push(member),
                    Output::Recovered(..) => {}
                }
            }
        }
        (sends, dark)
    }
}

fn router_number(name: &Name) -> Option<usize> {
    name.as_str().strip_prefix("router-")?.parse().ok()
}
