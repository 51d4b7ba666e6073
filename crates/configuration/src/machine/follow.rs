//! Catching up: fetches released changes from the writer, or from any machine while no writer is in contact.

use super::{Event, Machine, Role};
use crate::document::Bad;
use crate::kept::Record;
use crate::parts::{Of, Part, Parts};
use crate::{Change, Message, Name, Tenths, Version, replica, whole};

/// The state of catching up.
#[derive(Default)]
pub(super) struct Catch {
    /// The highest version known to be released.
    pub(super) wanted: Version,
    asked: Option<Name>,
    turn: u32,
    /// When the last answer came, or the last ask was sent.
    fed: Tenths,
    next: Tenths,
    parts: Parts,
    /// The next ask requests a snapshot.
    whole: bool,
}

impl Catch {
    pub(super) fn broken(&mut self, now: Tenths, from: &Name) {
        if self.asked.as_ref() == Some(from) {
            self.asked = None;
            self.next = self.next.max(now + 1_000);
        }
    }
}

impl Machine {
    fn behind(&self) -> bool {
        self.catch.wanted > self.kept.version()
    }

    /// When the next ask is due.
    pub(super) fn catch_at(&self) -> Option<Tenths> {
        if matches!(self.role, Role::Writes(_)) {
            return None;
        }
        match &self.catch.asked {
            Some(_) => Some(self.catch.fed + self.plan.beat),
            None if self.behind() => Some(self.catch.next),
            None => Some(self.catch.next.max(self.touched() + self.plan.patience)),
        }
    }

    /// Asks for the missing changes. Without contact to a writer it asks a random machine.
    pub(super) fn catch_up(&mut self, now: Tenths) {
        if self.others.is_empty() || self.catch_at().is_none_or(|at| now < at) {
            return;
        }
        let writer = self.heard.as_ref().map(|(name, ..)| name.clone());
        let writer = writer.filter(|name| *name != self.me && !self.apart(now) && self.catch.asked.is_none());
        let to = match writer {
            Some(writer) => writer,
            // There is no writer, or it did not answer: ask a random machine.
            None => {
                let at = self.chance_below(self.others.len());
                self.others[at].clone()
            }
        };
        let pause = if self.behind() { self.plan.beat } else { 2 * self.plan.beat };
        self.catch.turn += 1;
        (self.catch.fed, self.catch.next) = (now, now + pause);
        self.catch.asked = Some(to.clone());
        let (holds, digest) = match std::mem::take(&mut self.catch.whole) {
            true => (Version::NONE, 0),
            false => (self.kept.version(), self.kept.document().digest()),
        };
        self.send(&to, Message::Ask { start: 0, turn: self.catch.turn, holds, digest, lost: false });
    }

    /// Handles an answer from the machine that was asked.
    pub(super) fn caught(&mut self, now: Tenths, from: &Name, answer: Message) {
        if self.catch.asked.as_ref() != Some(from) || matches!(self.role, Role::Writes(_)) {
            return;
        }
        self.catch.fed = now;
        match answer {
            Message::Changes { turn, changes } if turn == self.catch.turn => self.take_changes(now, changes),
            Message::Long { turn, version, part, of, bytes } if turn == self.catch.turn => {
                self.take_part(now, Part { kind: Of::Changes, version, part, of, bytes });
            }
            Message::Whole { turn, version, part, of, bytes, .. } if turn == self.catch.turn => {
                self.take_part(now, Part { kind: Of::Whole, version, part, of, bytes });
            }
            Message::Beat { turn, version, .. } if turn == self.catch.turn => {
                self.catch.wanted = self.catch.wanted.max(version);
                if self.kept.version() >= version {
                    self.catch.asked = None;
                }
            }
            Message::Away { .. } => self.catch.asked = None,
            _ => {}
        }
    }

    fn take_part(&mut self, now: Tenths, part: Part) {
        if part.version <= self.kept.version() {
            return;
        }
        let (kind, version) = (part.kind, part.version);
        let bytes = match self.catch.parts.take(part) {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return,
            Err(bad) => return self.broken_catch(version, bad),
        };
        match kind {
            Of::Changes => match whole::unpack_changes(&bytes) {
                Ok(changes) => self.take_changes(now, changes),
                Err(bad) => self.broken_catch(version, bad),
            },
            Of::Whole => match whole::unpack(&bytes) {
                Ok((version, published, document)) => {
                    self.release(now, Record::Whole { version, published, document });
                    self.caught_up();
                }
                Err(bad) => self.broken_catch(version, bad),
            },
        }
    }

    fn take_changes(&mut self, now: Tenths, changes: Vec<Change>) {
        let mut version = self.kept.version();
        let mut document = self.kept.document().clone();
        let mut fit = Vec::new();
        for change in changes.into_iter().filter(|change| change.version > self.kept.version()) {
            match replica::after(version, &document, &change) {
                Ok(next) => (version, document) = (change.version, next),
                Err(bad) => {
                    self.broken_catch(change.version, bad);
                    break;
                }
            }
            fit.push(change);
        }
        if !fit.is_empty() {
            self.release(now, Record::Released(fit));
        }
        self.caught_up();
    }

    fn caught_up(&mut self) {
        if !self.behind() {
            self.catch.asked = None;
        }
    }

    fn broken_catch(&mut self, version: Version, bad: Bad) {
        // Requests a snapshot next time if a change is invalid. A gap between versions is closed by asking again from
        // the version held.
        self.catch.whole = !matches!(bad, Bad::Base { .. });
        self.tell(Event::Broken(version, bad));
    }
}
