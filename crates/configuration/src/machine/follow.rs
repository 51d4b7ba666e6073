//! Catching up: fetches released changes from the writer, or from any machine while no writer is in contact.

use super::{Event, Machine, Role};
use crate::document::DocumentError;
use crate::parts::{Part, PartKind, Parts};
use crate::persisted_state::Record;
use crate::{Change, Message, Name, Tenths, Version, replica, whole};

/// The state of catching up.
#[derive(Default)]
pub(super) struct CatchUp {
    /// The highest version known to be released.
    pub(super) target: Version,
    asked_machine: Option<Name>,
    turn: u32,
    /// When the last answer came, or the last subscribe message was sent.
    last_progress: Tenths,
    next_ask_at: Tenths,
    parts: Parts,
    /// The next subscribe message requests a snapshot.
    need_snapshot: bool,
}

impl CatchUp {
    pub(super) fn connection_lost(&mut self, now: Tenths, from: &Name) {
        if self.asked_machine.as_ref() == Some(from) {
            self.asked_machine = None;
            self.next_ask_at = self.next_ask_at.max(now + 1_000);
        }
    }
}

impl Machine {
    fn is_behind(&self) -> bool {
        self.catch_up.target > self.kept.version()
    }

    /// When the next subscribe message is due.
    pub(super) fn catch_up_at(&self) -> Option<Tenths> {
        if matches!(self.role, Role::Writer(_)) {
            return None;
        }
        match &self.catch_up.asked_machine {
            Some(_) => Some(self.catch_up.last_progress + self.plan.beat),
            None if self.is_behind() => Some(self.catch_up.next_ask_at),
            None => Some(self.catch_up.next_ask_at.max(self.last_writer_contact() + self.plan.patience)),
        }
    }

    /// Asks for the missing changes. Without contact to a writer it asks a random machine.
    pub(super) fn run_catch_up(&mut self, now: Tenths) {
        if self.others.is_empty() || self.catch_up_at().is_none_or(|at| now < at) {
            return;
        }
        let writer = self.last_writer.as_ref().map(|(name, ..)| name.clone());
        let writer = writer.filter(|name| {
            *name != self.me && !self.lacks_writer(now) && self.catch_up.asked_machine.is_none()
        });
        let to = match writer {
            Some(writer) => writer,
            // There is no writer, or it did not answer: ask a random machine.
            None => {
                let at = self.random_below(self.others.len());
                self.others[at].clone()
            }
        };
        let pause = if self.is_behind() { self.plan.beat } else { 2 * self.plan.beat };
        self.catch_up.turn += 1;
        (self.catch_up.last_progress, self.catch_up.next_ask_at) = (now, now + pause);
        self.catch_up.asked_machine = Some(to.clone());
        let (holds, digest) = match std::mem::take(&mut self.catch_up.need_snapshot) {
            true => (Version::NONE, 0),
            false => (self.kept.version(), self.kept.document().digest()),
        };
        self.send(
            &to,
            Message::Subscribe { start: 0, turn: self.catch_up.turn, holds, digest, state_lost: false },
        );
    }

    /// Handles an answer from the machine that was asked.
    pub(super) fn handle_catch_up(&mut self, now: Tenths, from: &Name, answer: Message) {
        if self.catch_up.asked_machine.as_ref() != Some(from) || matches!(self.role, Role::Writer(_)) {
            return;
        }
        self.catch_up.last_progress = now;
        match answer {
            Message::Changes { turn, changes } if turn == self.catch_up.turn => {
                self.take_changes(now, changes)
            }
            Message::ChangesPart { turn, version, part, of, bytes } if turn == self.catch_up.turn => {
                self.take_part(now, Part { kind: PartKind::Changes, version, part, of, bytes });
            }
            Message::SnapshotPart { turn, version, part, of, bytes, .. } if turn == self.catch_up.turn => {
                self.take_part(now, Part { kind: PartKind::Snapshot, version, part, of, bytes });
            }
            Message::Beat { turn, version, .. } if turn == self.catch_up.turn => {
                self.catch_up.target = self.catch_up.target.max(version);
                if self.kept.version() >= version {
                    self.catch_up.asked_machine = None;
                }
            }
            Message::Redirect { .. } => self.catch_up.asked_machine = None,
            _ => {}
        }
    }

    fn take_part(&mut self, now: Tenths, part: Part) {
        if part.version <= self.kept.version() {
            return;
        }
        let (kind, version) = (part.kind, part.version);
        let bytes = match self.catch_up.parts.add(part) {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return,
            Err(bad) => return self.reject_catch_up(version, bad),
        };
        match kind {
            PartKind::Changes => match whole::unpack_changes(&bytes) {
                Ok(changes) => self.take_changes(now, changes),
                Err(bad) => self.reject_catch_up(version, bad),
            },
            PartKind::Snapshot => match whole::unpack(&bytes) {
                Ok((version, published, document)) => {
                    self.release(now, Record::Snapshot { version, published, document });
                    self.finish_catch_up();
                }
                Err(bad) => self.reject_catch_up(version, bad),
            },
        }
    }

    fn take_changes(&mut self, now: Tenths, changes: Vec<Change>) {
        let mut version = self.kept.version();
        let mut document = self.kept.document().clone();
        let mut fit = Vec::new();
        for change in changes.into_iter().filter(|change| change.version > self.kept.version()) {
            match replica::apply(version, &document, &change) {
                Ok(next) => (version, document) = (change.version, next),
                Err(bad) => {
                    self.reject_catch_up(change.version, bad);
                    break;
                }
            }
            fit.push(change);
        }
        if !fit.is_empty() {
            self.release(now, Record::Released(fit));
        }
        self.finish_catch_up();
    }

    fn finish_catch_up(&mut self) {
        if !self.is_behind() {
            self.catch_up.asked_machine = None;
        }
    }

    fn reject_catch_up(&mut self, version: Version, bad: DocumentError) {
        // Requests a snapshot next time if a change is invalid. A gap between versions is closed by asking again from
        // the version held.
        self.catch_up.need_snapshot = !matches!(bad, DocumentError::WrongBase { .. });
        self.notify(Event::InvalidData(version, bad));
    }
}
