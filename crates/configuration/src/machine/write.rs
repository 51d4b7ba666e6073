//! The writer: replicates one change at a time, and releases it once a majority of keepers hold it.

use std::collections::{BTreeMap, VecDeque};

use super::{Event, Machine, Order, Refused, Role};
use crate::kept::Record;
use crate::{Change, Edit, Message, Name, Tenths, Version};

/// Maximum number of unconfirmed marks of one machine; at the bound the last one is replaced.
const MOST_MARKS: usize = 64;

/// The state of the writer.
pub(super) struct Writing {
    pub(super) epoch: u32,
    began: Tenths,
    round: u64,
    next_round: Tenths,
    peers: BTreeMap<Name, Peer>,
    /// When a majority of keepers last followed this writer.
    pub(super) followed: Tenths,
    /// The last round that a majority of keepers followed.
    confirmed: u64,
    waiting: BTreeMap<String, Option<String>>,
    waiting_bytes: usize,
    published: Tenths,
    /// Released versions that have no verdict yet, and when each verdict is due.
    pending: BTreeMap<Version, Tenths>,
    /// When to check for verdicts, set when the ledger has changed or a version was released.
    look: Option<Tenths>,
}

/// What the writer knows of one machine.
#[derive(Default)]
struct Peer {
    heard: Option<Tenths>,
    round: u64,
    held: Version,
    fresh: bool,
    /// The mark of the last report; `marks` are those not confirmed yet, each with the round in flight when it arrived.
    mark: u64,
    marks: VecDeque<(u64, u64)>,
    sure: u64,
}

impl Machine {
    pub(super) fn begin_writing(&mut self, now: Tenths, epoch: u32) {
        let mut peers: BTreeMap<Name, Peer> =
            self.others.iter().map(|name| (name.clone(), Peer::default())).collect();
        peers.insert(self.me.clone(), Peer::default());
        // Versions released by an earlier writer get their verdict from this one, in half the time, because part of
        // their time has passed.
        let inherited = now + self.plan.verdict / 2;
        let log = self.kept.log.iter().rev().take(64).map(|change| change.version);
        let pending =
            log.filter(|version| *version > self.judged).map(|version| (version, inherited)).collect();
        self.role = Role::Writes(Box::new(Writing {
            epoch,
            began: now,
            round: 0,
            next_round: now,
            peers,
            followed: now,
            confirmed: 0,
            waiting: BTreeMap::new(),
            waiting_bytes: 0,
            published: now,
            pending,
            look: None,
        }));
        if std::mem::take(&mut self.apart_told) {
            self.tell(Event::Joined(self.me.clone()));
        }
        self.tell(Event::Writing(epoch));
        // A change left by an earlier writer may be held by a majority or not. It counts as released only together with
        // a later change of this epoch, which no other machine can have written.
        self.hold_change(now, Vec::new());
    }

    pub(super) fn stop_writing(&mut self, now: Tenths) {
        let role = std::mem::replace(&mut self.role, Role::Follows);
        let Role::Writes(writing) = role else { return };
        self.tell(Event::Stopped(writing.epoch));
        if !writing.waiting.is_empty() {
            let edits = writing.waiting.into_iter().map(|(name, value)| Edit { name, value }).collect();
            self.tell(Event::Unpublished(edits));
        }
        self.heard = Some((self.me.clone(), writing.epoch, writing.followed));
        self.reports.afresh(now);
        self.put_off_standing(now);
    }

    pub(super) fn write_down(&mut self, now: Tenths, edits: Vec<Edit>) -> Result<(), Refused> {
        let writer = self.writer(now).cloned();
        let Role::Writes(writing) = &mut self.role else { return Err(Refused::NotWriter(writer)) };
        let waiting = writing.waiting.iter().map(|(name, value)| (name.clone(), value.clone()));
        let waiting: Vec<Edit> = waiting.map(|(name, value)| Edit { name, value }).collect();
        let document = self.kept.newest().and_then(|document| document.changed(&waiting));
        let document = document.and_then(|document| document.changed(&edits)).map_err(Refused::Bad)?;
        (self.check)(&document).map_err(Refused::Check)?;
        let bytes: usize = edits.iter().map(text).sum();
        if writing.waiting_bytes + bytes > self.plan.waiting_bytes {
            return Err(Refused::Full);
        }
        if writing.waiting.is_empty() {
            writing.published = now;
        }
        writing.waiting_bytes += bytes;
        writing.waiting.extend(edits.into_iter().map(|edit| (edit.name, edit.value)));
        Ok(())
    }

    /// When the writer next has something to do.
    pub(super) fn write_at(&self, writing: &Writing) -> Tenths {
        let verdict = writing.pending.values().min().copied();
        let look = writing.look.filter(|_| !writing.pending.is_empty());
        let over = Some(writing.followed + self.plan.patience);
        let at = [Some(writing.next_round), verdict, look, over].into_iter().flatten().min();
        at.unwrap_or(writing.next_round)
    }

    pub(super) fn write(&mut self, now: Tenths) {
        let Role::Writes(writing) = &mut self.role else { return };
        if now - writing.followed >= self.plan.patience {
            // Without a majority nothing can be released here; stopping lets those who ask know it.
            return self.stop_writing(now);
        }
        if self.kept.tail.is_empty() && !writing.waiting.is_empty() {
            writing.waiting_bytes = 0;
            let edits = std::mem::take(&mut writing.waiting);
            let edits = edits.into_iter().map(|(name, value)| Edit { name, value }).collect();
            self.hold_change(now, edits);
        }
        let Role::Writes(writing) = &mut self.role else { return };
        if now >= writing.next_round {
            writing.next_round = now + self.plan.beat / 2;
            self.speak();
            self.confirm(now);
        }
    }

    /// Holds a new change on this machine, and schedules a round that sends it to the others.
    fn hold_change(&mut self, now: Tenths, edits: Vec<Edit>) {
        let Ok(before) = self.kept.newest() else { return };
        let Ok(document) = before.changed(&edits) else { return };
        let Role::Writes(writing) = &mut self.role else { return };
        if !edits.is_empty() && document == before {
            return;
        }
        writing.next_round = now;
        let published = if edits.is_empty() { now } else { writing.published };
        let held = self.kept.held();
        let version = Version { epoch: writing.epoch, number: held.number + 1 };
        let digest = document.digest();
        let mut tail = self.kept.tail.clone();
        tail.push(Change { version, after: held, published, edits, digest });
        self.keep(Record::Held(tail));
        self.count_holders(now);
    }

    /// Sends one round of accepts to all machines.
    fn speak(&mut self) {
        let Role::Writes(writing) = &mut self.role else { return };
        writing.round += 1;
        let (epoch, round, released) = (writing.epoch, writing.round, self.kept.version());
        for to in &self.others {
            let Some(peer) = writing.peers.get(to) else { continue };
            let tail = if self.keepers.contains(to) { self.kept.tail.clone() } else { Vec::new() };
            let (judged, mark, sure) = (self.judged, peer.mark, peer.sure);
            let message = Message::Accept { epoch, round, released, tail, judged, mark, sure };
            self.orders.push_back(Order::Send { to: to.clone(), message });
        }
    }

    pub(super) fn accepted(
        &mut self,
        now: Tenths,
        from: &Name,
        epoch: u32,
        round: u64,
        held: Version,
        fresh: bool,
    ) {
        self.seen = self.seen.max(epoch);
        let Role::Writes(writing) = &mut self.role else { return };
        if epoch > writing.epoch {
            // This writer was deposed and did not know it yet.
            return self.stop_writing(now);
        }
        let Some(peer) = writing.peers.get_mut(from).filter(|_| epoch == writing.epoch) else { return };
        peer.heard = Some(now);
        // A keeper that has lost its disk holds less than its last answer.
        if round > peer.round {
            (peer.round, peer.held, peer.fresh) = (round, held, fresh);
            self.confirm(now);
            self.count_holders(now);
        }
    }

    /// Determines the latest round that a majority of keepers followed. A keeper that had promised a higher epoch would
    /// have rejected the round.
    fn confirm(&mut self, now: Tenths) {
        let majority = self.majority();
        let Role::Writes(writing) = &mut self.role else { return };
        let round = |keeper: &Name| match *keeper == self.me {
            true => writing.round,
            false => writing.peers.get(keeper).filter(|peer| !peer.fresh).map_or(0, |peer| peer.round),
        };
        let mut rounds: Vec<u64> = self.keepers.iter().map(round).collect();
        rounds.sort_unstable_by(|one, other| other.cmp(one));
        let confirmed = rounds[majority - 1];
        if confirmed <= writing.confirmed {
            return;
        }
        (writing.confirmed, writing.followed) = (confirmed, now);
        // Until a change of its own epoch is released, a writer does not know everything that was released before.
        if self.kept.version().epoch != writing.epoch {
            return;
        }
        for peer in writing.peers.values_mut() {
            while let Some((mark, _)) = peer.marks.front().copied().filter(|(_, round)| confirmed > *round) {
                peer.sure = mark;
                peer.marks.pop_front();
            }
        }
        let own = writing.peers.get(&self.me).map_or(0, |peer| peer.sure);
        let released = self.kept.version();
        self.floors(now, |mark| super::report::covers(own, mark), released);
    }

    /// Records the mark of a report that arrived, or of the writer's own routers.
    pub(super) fn mark(&mut self, from: &Name, mark: u64) {
        let Role::Writes(writing) = &mut self.role else { return };
        let round = writing.round;
        let Some(peer) = writing.peers.get_mut(from) else { return };
        peer.mark = mark;
        let full = peer.marks.len() >= MOST_MARKS;
        match peer.marks.back_mut() {
            Some(last) if last.1 == round || full => *last = (mark, round),
            _ => peer.marks.push_back((mark, round)),
        }
    }

    /// Releases the changes that a majority of keepers hold.
    fn count_holders(&mut self, now: Tenths) {
        let majority = self.majority();
        let Role::Writes(writing) = &mut self.role else { return };
        let epoch = writing.epoch;
        let held = |keeper: &Name| match *keeper == self.me {
            true => self.kept.held(),
            false => {
                writing.peers.get(keeper).filter(|peer| !peer.fresh).map_or(Version::NONE, |peer| peer.held)
            }
        };
        let mut helds: Vec<Version> =
            self.keepers.iter().map(held).filter(|held| held.epoch == epoch).collect();
        helds.sort_unstable_by(|one, other| other.cmp(one));
        let Some(released) = helds.get(majority - 1).copied() else { return };
        let Some(at) = self.kept.tail.iter().position(|change| change.version == released) else { return };
        let changes = self.kept.tail[..=at].to_vec();
        writing.next_round = now;
        let due = now + self.plan.verdict;
        writing.pending.extend(changes.iter().map(|change| (change.version, due)));
        writing.look = Some(now + self.plan.report);
        self.release(now, Record::Released(changes));
    }

    /// Schedules a check for verdicts after a change of the ledger.
    pub(super) fn look_again(&mut self, now: Tenths) {
        if let Role::Writes(writing) = &mut self.role {
            writing.look.get_or_insert(now + self.plan.report);
        }
    }

    /// Issues the verdict on each released version: as soon as it is in force everywhere, or when its time is over.
    pub(super) fn judge(&mut self, now: Tenths) {
        let Role::Writes(writing) = &mut self.role else { return };
        let due = writing.pending.values().any(|due| *due <= now);
        if !due && writing.look.is_none_or(|at| now < at) {
            return;
        }
        writing.look = None;
        // A new writer has an empty ledger at first, and would declare a version in force everywhere without knowing
        // any router.
        let knows = now - writing.began >= 2 * self.plan.patience;
        let hears = |peer: &Peer| peer.heard.is_some_and(|at| now - at < self.plan.patience);
        let mut verdicts = Vec::new();
        for (version, due) in &writing.pending {
            if *due > now && !(knows && self.ledger.all_at(*version)) {
                continue;
            }
            let own = |name: &Name| *name == self.me || writing.peers.get(name).is_some_and(hears);
            verdicts.push(self.ledger.verdict(*version, own));
        }
        for verdict in verdicts {
            writing.pending.remove(&verdict.version);
            self.judged = self.judged.max(verdict.version);
            self.orders.push_back(Order::Verdict(verdict));
        }
        if !knows && !writing.pending.is_empty() {
            writing.look = Some(writing.began + 2 * self.plan.patience);
        }
    }
}

fn text(edit: &Edit) -> usize {
    edit.name.len() + edit.value.as_ref().map_or(0, String::len) + 16
}
