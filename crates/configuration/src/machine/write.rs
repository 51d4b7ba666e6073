//! The writer: replicates one change at a time, and releases it once a majority of keepers hold it.

use std::collections::{BTreeMap, VecDeque};

use super::{Action, Event, Machine, PublishError, Role};
use crate::persisted_state::Record;
use crate::{Change, Edit, Message, Name, Tenths, Version};

/// Maximum number of unconfirmed marks of one machine; at the bound the last one is replaced.
const MAX_PENDING_MARKS: usize = 64;

/// The state of the writer.
pub(super) struct WriterState {
    pub(super) epoch: u32,
    started_at: Tenths,
    round: u64,
    next_round: Tenths,
    peers: BTreeMap<Name, Peer>,
    /// When a majority of keepers last followed this writer.
    pub(super) last_majority_at: Tenths,
    /// The last round that a majority of keepers followed.
    confirmed_round: u64,
    waiting: BTreeMap<String, Option<String>>,
    waiting_bytes: usize,
    published: Tenths,
    /// Released versions that have no verdict yet, and when each verdict is due.
    awaiting_verdict: BTreeMap<Version, Tenths>,
    /// When to check for verdicts, set when the ledger has changed or a version was released.
    verdict_check_at: Option<Tenths>,
}

/// What the writer knows of one machine.
#[derive(Default)]
struct Peer {
    last_heard: Option<Tenths>,
    round: u64,
    held: Version,
    nonvoting: bool,
    /// The mark of the last report; `marks` are those not confirmed yet, each with the round in flight when it arrived.
    mark: u64,
    marks: VecDeque<(u64, u64)>,
    stable: u64,
}

impl Machine {
    pub(super) fn become_writer(&mut self, now: Tenths, epoch: u32) {
        let mut peers: BTreeMap<Name, Peer> =
            self.others.iter().map(|name| (name.clone(), Peer::default())).collect();
        peers.insert(self.me.clone(), Peer::default());
        // Versions released by an earlier writer get their verdict from this one, in half the time, because part of
        // their time has passed.
        let inherited = now + self.plan.verdict / 2;
        let log = self.kept.log.iter().rev().take(64).map(|change| change.version);
        let awaiting_verdict =
            log.filter(|version| *version > self.judged).map(|version| (version, inherited)).collect();
        self.role = Role::Writer(Box::new(WriterState {
            epoch,
            started_at: now,
            round: 0,
            next_round: now,
            peers,
            last_majority_at: now,
            confirmed_round: 0,
            waiting: BTreeMap::new(),
            waiting_bytes: 0,
            published: now,
            awaiting_verdict,
            verdict_check_at: None,
        }));
        if std::mem::take(&mut self.no_writer_reported) {
            self.notify(Event::WriterContact(self.me.clone()));
        }
        self.notify(Event::BecameWriter(epoch));
        // A change left by an earlier writer may be held by a majority or not. It counts as released only together with
        // a later change of this epoch, which no other machine can have written.
        self.append_change(now, Vec::new());
    }

    pub(super) fn step_down(&mut self, now: Tenths) {
        let role = std::mem::replace(&mut self.role, Role::Follower);
        let Role::Writer(state) = role else { return };
        self.notify(Event::SteppedDown(state.epoch));
        if !state.waiting.is_empty() {
            let edits = state.waiting.into_iter().map(|(name, value)| Edit { name, value }).collect();
            self.notify(Event::Unpublished(edits));
        }
        self.last_writer = Some((self.me.clone(), state.epoch, state.last_majority_at));
        self.reports.reset_for_new_writer(now);
        self.reset_election_timer(now);
    }

    pub(super) fn queue_edits(&mut self, now: Tenths, edits: Vec<Edit>) -> Result<(), PublishError> {
        let writer = self.writer(now).cloned();
        let Role::Writer(state) = &mut self.role else { return Err(PublishError::NotWriter(writer)) };
        let waiting = state.waiting.iter().map(|(name, value)| (name.clone(), value.clone()));
        let waiting: Vec<Edit> = waiting.map(|(name, value)| Edit { name, value }).collect();
        let document = self.kept.newest_document().and_then(|document| document.changed(&waiting));
        let document =
            document.and_then(|document| document.changed(&edits)).map_err(PublishError::Invalid)?;
        (self.check)(&document).map_err(PublishError::Check)?;
        let bytes: usize = edits.iter().map(edit_bytes).sum();
        if state.waiting_bytes + bytes > self.plan.waiting_bytes {
            return Err(PublishError::Full);
        }
        if state.waiting.is_empty() {
            state.published = now;
        }
        state.waiting_bytes += bytes;
        state.waiting.extend(edits.into_iter().map(|edit| (edit.name, edit.value)));
        Ok(())
    }

    /// When the writer next has something to do.
    pub(super) fn writer_wake_at(&self, state: &WriterState) -> Tenths {
        let verdict = state.awaiting_verdict.values().min().copied();
        let check = state.verdict_check_at.filter(|_| !state.awaiting_verdict.is_empty());
        let over = Some(state.last_majority_at + self.contact_limit());
        let at = [Some(state.next_round), verdict, check, over].into_iter().flatten().min();
        at.unwrap_or(state.next_round)
    }

    pub(super) fn run_writer(&mut self, now: Tenths) {
        let contact_limit = self.contact_limit();
        let Role::Writer(state) = &mut self.role else { return };
        if now - state.last_majority_at >= contact_limit {
            // Without a majority nothing can be released here; stopping lets those who ask know it.
            return self.step_down(now);
        }
        if self.kept.tail.is_empty() && !state.waiting.is_empty() {
            state.waiting_bytes = 0;
            let edits = std::mem::take(&mut state.waiting);
            let edits = edits.into_iter().map(|(name, value)| Edit { name, value }).collect();
            self.append_change(now, edits);
        }
        let Role::Writer(state) = &mut self.role else { return };
        if now >= state.next_round {
            state.next_round = now + self.plan.beat / 2;
            self.send_round();
            self.update_confirmed_round(now);
        }
    }

    /// Holds a new change on this machine, and schedules a round that sends it to the others.
    fn append_change(&mut self, now: Tenths, edits: Vec<Edit>) {
        let Ok(before) = self.kept.newest_document() else { return };
        let Ok(document) = before.changed(&edits) else { return };
        let Role::Writer(state) = &mut self.role else { return };
        if !edits.is_empty() && document == before {
            return;
        }
        state.next_round = now;
        let published = if edits.is_empty() { now } else { state.published };
        let held = self.kept.held();
        let version = Version { epoch: state.epoch, number: held.number + 1 };
        let digest = document.digest();
        let mut tail = self.kept.tail.clone();
        tail.push(Change { version, base: held, published, edits, digest });
        self.persist(Record::Unreleased(tail));
        self.release_replicated(now);
    }

    /// Sends one round of accepts to all machines.
    fn send_round(&mut self) {
        let Role::Writer(state) = &mut self.role else { return };
        state.round += 1;
        let (epoch, round, released) = (state.epoch, state.round, self.kept.version());
        for to in &self.others {
            let Some(peer) = state.peers.get(to) else { continue };
            let tail = if self.keepers.contains(to) { self.kept.tail.clone() } else { Vec::new() };
            let (judged, mark, stable) = (self.judged, peer.mark, peer.stable);
            let message = Message::Accept { epoch, round, released, tail, judged, mark, stable };
            self.orders.push_back(Action::Send { to: to.clone(), message });
        }
    }

    pub(super) fn handle_accepted(
        &mut self,
        now: Tenths,
        from: &Name,
        epoch: u32,
        round: u64,
        held: Version,
        nonvoting: bool,
    ) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        let Role::Writer(state) = &mut self.role else { return };
        if epoch > state.epoch {
            // This writer was deposed and did not know it yet.
            return self.step_down(now);
        }
        let Some(peer) = state.peers.get_mut(from).filter(|_| epoch == state.epoch) else { return };
        peer.last_heard = Some(now);
        // A keeper that has lost its disk holds less than its last answer.
        if round > peer.round {
            (peer.round, peer.held, peer.nonvoting) = (round, held, nonvoting);
            self.update_confirmed_round(now);
            self.release_replicated(now);
        }
    }

    /// Determines the latest round that a majority of keepers followed. A keeper that had promised a higher epoch would
    /// have rejected the round.
    fn update_confirmed_round(&mut self, now: Tenths) {
        let majority = self.majority();
        let Role::Writer(state) = &mut self.role else { return };
        let round = |keeper: &Name| match *keeper == self.me {
            true => state.round,
            false => state.peers.get(keeper).filter(|peer| !peer.nonvoting).map_or(0, |peer| peer.round),
        };
        let mut rounds: Vec<u64> = self.keepers.iter().map(round).collect();
        rounds.sort_unstable_by(|one, other| other.cmp(one));
        let confirmed = rounds[majority - 1];
        if confirmed <= state.confirmed_round {
            return;
        }
        (state.confirmed_round, state.last_majority_at) = (confirmed, now);
        // Until a change of its own epoch is released, a writer does not know everything that was released before.
        if self.kept.version().epoch != state.epoch {
            return;
        }
        for peer in state.peers.values_mut() {
            while let Some((mark, _)) = peer.marks.front().copied().filter(|(_, round)| confirmed > *round) {
                peer.stable = mark;
                peer.marks.pop_front();
            }
        }
        let own = state.peers.get(&self.me).map_or(0, |peer| peer.stable);
        let released = self.kept.version();
        self.resolve_floors(now, |mark| super::report::covers(own, mark), released);
    }

    /// Records the mark of a report that arrived, or of the writer's own routers.
    pub(super) fn record_mark(&mut self, from: &Name, mark: u64) {
        let Role::Writer(state) = &mut self.role else { return };
        let round = state.round;
        let Some(peer) = state.peers.get_mut(from) else { return };
        peer.mark = mark;
        let full = peer.marks.len() >= MAX_PENDING_MARKS;
        match peer.marks.back_mut() {
            Some(last) if last.1 == round || full => *last = (mark, round),
            _ => peer.marks.push_back((mark, round)),
        }
    }

    /// Releases the changes that a majority of keepers hold.
    fn release_replicated(&mut self, now: Tenths) {
        let majority = self.majority();
        let Role::Writer(state) = &mut self.role else { return };
        let epoch = state.epoch;
        let held = |keeper: &Name| match *keeper == self.me {
            true => self.kept.held(),
            false => {
                state.peers.get(keeper).filter(|peer| !peer.nonvoting).map_or(Version::NONE, |peer| peer.held)
            }
        };
        let mut held_versions: Vec<Version> =
            self.keepers.iter().map(held).filter(|held| held.epoch == epoch).collect();
        held_versions.sort_unstable_by(|one, other| other.cmp(one));
        let Some(released) = held_versions.get(majority - 1).copied() else { return };
        let Some(at) = self.kept.tail.iter().position(|change| change.version == released) else { return };
        let changes = self.kept.tail[..=at].to_vec();
        state.next_round = now;
        let due = now + self.plan.verdict;
        state.awaiting_verdict.extend(changes.iter().map(|change| (change.version, due)));
        state.verdict_check_at = Some(now + self.plan.report);
        self.release(now, Record::Released(changes));
    }

    /// Schedules a check for verdicts after a change of the ledger.
    pub(super) fn schedule_verdict_check(&mut self, now: Tenths) {
        if let Role::Writer(state) = &mut self.role {
            state.verdict_check_at.get_or_insert(now + self.plan.report);
        }
    }

    /// Issues the verdict on each released version: as soon as it is in force everywhere, or when its time is over.
    pub(super) fn issue_verdicts(&mut self, now: Tenths) {
        let Role::Writer(state) = &mut self.role else { return };
        let due = state.awaiting_verdict.values().any(|due| *due <= now);
        if !due && state.verdict_check_at.is_none_or(|at| now < at) {
            return;
        }
        state.verdict_check_at = None;
        // A new writer has an empty ledger at first, and would declare a version in force everywhere without knowing
        // any router.
        let old_enough = now - state.started_at >= 2 * self.plan.patience;
        let in_contact = |peer: &Peer| peer.last_heard.is_some_and(|at| now - at < self.plan.patience);
        let mut verdicts = Vec::new();
        for (version, due) in &state.awaiting_verdict {
            if *due > now && !(old_enough && self.ledger.all_at(*version)) {
                continue;
            }
            let own = |name: &Name| *name == self.me || state.peers.get(name).is_some_and(in_contact);
            verdicts.push(self.ledger.verdict(*version, own));
        }
        for verdict in verdicts {
            state.awaiting_verdict.remove(&verdict.version);
            self.judged = self.judged.max(verdict.version);
            self.orders.push_back(Action::Verdict(verdict));
        }
        if !old_enough && !state.awaiting_verdict.is_empty() {
            state.verdict_check_at = Some(state.started_at + 2 * self.plan.patience);
        }
    }
}

fn edit_bytes(edit: &Edit) -> usize {
    edit.name.len() + edit.value.as_ref().map_or(0, String::len) + 16
}
