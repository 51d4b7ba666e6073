//! Who is served, and what each is sent when: changes, whole copies in parts, beats.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{Event, Machine};
use crate::ledger::Entry;
use crate::log::Since;
use crate::parts::{Of, PART, Packed};
use crate::wire::{WHY_MOST, length};
use crate::{Document, Message, Name, Outcome, Tenths, Version, whole};

/// Bytes counted for each message beside its own: headers of IP, TCP and the link.
const FRAME: usize = 60;
/// A machine that catches up gets so many times what a router gets.
const MACHINES: u32 = 64;
/// Packed things kept for the next who needs the same.
const MOST_PACKED: usize = 8;
/// Most bytes of changes packed at once ([`crate::Change::bytes`]); what follows goes out after them.
const PACKED_MOST: usize = 1 << 20;

/// One that is served.
pub(super) struct Session {
    start: u64,
    turn: u32,
    /// All up to this one is sent.
    sent: Version,
    /// The log will not do: the whole, and of the newest version.
    whole: bool,
    /// Packed, and the next part of it.
    packed: Option<(Arc<Packed>, u16)>,
    /// No change and no part before then.
    pace: Tenths,
    beat: Tenths,
    heard: Tenths,
    floor: Floor,
    /// A machine that catches up: it is told all, then one beat, then it is done.
    pub(super) machine: bool,
    due: Tenths,
}

/// Below which version a router is not to serve.
#[derive(Clone, Copy)]
enum Floor {
    /// Known once a majority of keepers follow the writer after it got the report with this mark.
    After(u64),
    Known(Version),
}

/// What was packed last, by what it leads from and to.
#[derive(Default)]
pub(super) struct Cache(VecDeque<(Version, Arc<Packed>)>);

impl Machine {
    pub(super) fn asked(
        &mut self,
        now: Tenths,
        from: &Name,
        (start, turn): (u64, u32),
        holds: Version,
        digest: u64,
        machine: bool,
    ) {
        let before = self.sessions.get(from).map(|session| (session.start, session.turn, session.pace));
        // Danger: an ask that was overtaken would start over what a later one began.
        if !machine && before.is_some_and(|(old, last, _)| (start, turn) <= (old, last)) {
            return;
        }
        if before.is_none() && !machine && self.served() >= self.plan.places {
            let wait = self.plan.pause;
            self.send(from, Message::Away { turn, wait });
            return self.tell(Event::Full(from.clone()));
        }
        // Danger: a document that is not the one under its version can't be changed, it has to be replaced.
        let other = self.kept.log.digest(holds).is_some_and(|known| known != digest);
        let whole = other || (holds == Version::NONE && digest != Document::default().digest());
        let told = self.ledger.get(from).map_or(Version::NONE, |entry| entry.version);
        let floor = match holds == Version::NONE && !machine {
            // Danger: a router that lost what it kept can't know what it had been told, and by whom.
            true => Floor::After(self.reports.mark(now)),
            false => Floor::Known(told),
        };
        let session = Session {
            start,
            turn,
            sent: if other { Version::NONE } else { holds },
            whole,
            packed: None,
            pace: before.map_or(now, |(.., pace)| pace),
            beat: now,
            heard: now,
            floor,
            machine,
            due: now,
        };
        if let Some(old) = self.sessions.insert(from.clone(), session) {
            self.due.remove(&(old.due, from.clone()));
        }
        self.due.insert((now, from.clone()));
        if !machine {
            let known = self.ledger.get(from).filter(|entry| entry.start == start);
            let refused = known.and_then(|entry| entry.refused.clone());
            let entry = Entry { name: from.clone(), start, turn, version: told, refused, linked: true };
            self.note(now, entry);
        }
    }

    pub(super) fn told(
        &mut self,
        now: Tenths,
        from: &Name,
        (start, turn): (u64, u32),
        in_force: Version,
        version: Version,
        outcome: Outcome,
    ) {
        let Some(session) = self.sessions.get_mut(from) else {
            // It is not served here any more, and does not know.
            return self.send(from, Message::Away { turn, wait: 0 });
        };
        if (start, turn) != (session.start, session.turn) {
            return;
        }
        session.heard = now;
        let refused = match outcome {
            Outcome::Refused { why } => Some((version, why.chars().take(WHY_MOST).collect())),
            Outcome::Applied => None,
        };
        let entry = Entry { name: from.clone(), start, turn, version: in_force, refused, linked: true };
        self.note(now, entry);
    }

    pub(super) fn bye(&mut self, now: Tenths, from: &Name, (start, turn): (u64, u32)) {
        let known =
            self.sessions.get(from).is_some_and(|session| (session.start, session.turn) == (start, turn));
        if known {
            self.drop_session(now, from);
        }
    }

    pub(super) fn drop_session(&mut self, now: Tenths, from: &Name) {
        let Some(session) = self.sessions.remove(from) else { return };
        self.due.remove(&(session.due, from.clone()));
        if let Some(entry) = self.ledger.get(from).filter(|_| !session.machine) {
            let entry = Entry { linked: false, ..entry.clone() };
            if (entry.start, entry.turn) == (session.start, session.turn) {
                self.note(now, entry);
            }
        }
    }

    /// Something is new: all that have not got it are due, each at its pace.
    pub(super) fn feed_all(&mut self, now: Tenths) {
        let newest = self.kept.version();
        for (name, session) in &mut self.sessions {
            let due = session.pace.max(now);
            if session.sent < newest && due < session.due {
                self.due.remove(&(session.due, name.clone()));
                session.due = due;
                self.due.insert((due, name.clone()));
            }
        }
    }

    /// What the reports up to this mark asked for is known: below this version nobody that asked before is to serve.
    pub(super) fn floors(&mut self, now: Tenths, sure: impl Fn(u64) -> bool, released: Version) {
        for (name, session) in &mut self.sessions {
            let Floor::After(mark) = session.floor else { continue };
            if sure(mark) {
                session.floor = Floor::Known(released);
                session.beat = now;
                self.due.remove(&(session.due, name.clone()));
                session.due = now;
                self.due.insert((now, name.clone()));
            }
        }
    }

    /// Serves the first that is due. False if nobody is.
    pub(super) fn serve(&mut self, now: Tenths) -> bool {
        let Some((at, name)) = self.due.first().cloned().filter(|(at, _)| *at <= now) else {
            return false;
        };
        self.due.remove(&(at, name.clone()));
        let Some(mut session) = self.sessions.remove(&name) else { return true };
        if now - session.heard >= 3 * self.plan.say {
            self.sessions.insert(name.clone(), session);
            self.drop_session(now, &name);
            return true;
        }
        let fed = now >= session.pace && self.feed(now, &name, &mut session);
        if !fed && now >= session.beat {
            self.beat(now, &name, &mut session);
            if session.machine && session.sent >= self.kept.version() {
                return true;
            }
        }
        let waits = session.packed.is_some() || session.sent < self.kept.version();
        let gone = session.heard + 3 * self.plan.say;
        session.due = session.beat.min(gone);
        if waits {
            session.due = session.due.min(session.pace);
        }
        self.due.insert((session.due, name.clone()));
        self.sessions.insert(name, session);
        true
    }

    fn beat(&mut self, now: Tenths, to: &Name, session: &mut Session) {
        session.beat = now + self.plan.beat;
        let floor = match session.floor {
            Floor::Known(version) => Some(version),
            Floor::After(_) => None,
        };
        let (turn, version, apart) = (session.turn, self.kept.version(), self.apart(now));
        self.send(to, Message::Beat { turn, version, floor, apart });
    }

    /// Sends the next changes, or the next part. False if there is nothing.
    fn feed(&mut self, now: Tenths, to: &Name, session: &mut Session) -> bool {
        if session.packed.is_none() {
            // Danger: a router that holds more than this machine must not be led back.
            if session.sent >= self.kept.version() {
                return false;
            }
            match self.kept.log.since(session.sent) {
                _ if std::mem::take(&mut session.whole) => session.packed = Some((self.pack_whole(true), 0)),
                Since::Nothing => return false,
                Since::Whole => session.packed = Some((self.pack_whole(false), 0)),
                Since::Changes(changes) => {
                    let mut bytes = 0;
                    let within = changes.iter().take_while(|change| {
                        bytes += change.bytes();
                        bytes <= PACKED_MOST
                    });
                    let count = within.count().max(1);
                    let changes = &changes[..count];
                    let version = changes[count - 1].version;
                    if bytes <= PART || changes.iter().map(|change| change.bytes()).sum::<usize>() <= PART {
                        let message = Message::Changes { turn: session.turn, changes: changes.to_vec() };
                        session.sent = version;
                        self.send_paced(now, to, session, message);
                        return true;
                    }
                    session.packed = Some((self.pack_changes(session.sent, version, changes), 0));
                }
            }
        }
        let Some((packed, part)) = session.packed.take() else { return false };
        let (turn, version, of, bytes) = (session.turn, packed.version, packed.parts(), packed.part(part));
        let published = packed.published;
        let message = match packed.of {
            Of::Whole => Message::Whole { turn, version, published, part, of, bytes },
            Of::Changes => Message::Long { turn, version, part, of, bytes },
        };
        match part + 1 < of {
            true => session.packed = Some((packed, part + 1)),
            false => session.sent = version,
        }
        self.send_paced(now, to, session, message);
        true
    }

    fn send_paced(&mut self, now: Tenths, to: &Name, session: &mut Session, message: Message) {
        let bytes = (length(&message) + FRAME) as i64;
        let more = if session.machine { MACHINES } else { 1 };
        // The rest is for one message more in a second than its pace allows on average, for beats and for what comes back.
        let rate = i64::from(self.plan.bytes_a_second) * 84 / 100 * i64::from(more);
        session.pace = now + bytes * 10_000 / rate + 1;
        self.send(to, message);
    }

    /// A whole copy: the last one packed as long as the log leads on from there, unless it has to be the newest.
    fn pack_whole(&mut self, newest: bool) -> Arc<Packed> {
        let known = self.cache.0.iter().find(|(_, packed)| {
            packed.of == Of::Whole
                && (packed.version == self.kept.version
                    || !newest && matches!(self.kept.log.since(packed.version), Since::Changes(_)))
        });
        if let Some((_, packed)) = known {
            return packed.clone();
        }
        let (version, published) = (self.kept.version, self.kept.published);
        let bytes = whole::pack(version, published, &self.kept.document);
        self.cache.0.retain(|(_, packed)| packed.of == Of::Changes);
        self.cache.put(Version::NONE, Packed { of: Of::Whole, version, published, bytes })
    }

    fn pack_changes(&mut self, from: Version, version: Version, changes: &[crate::Change]) -> Arc<Packed> {
        let known =
            self.cache.0.iter().find(|(after, packed)| {
                packed.of == Of::Changes && *after == from && packed.version == version
            });
        if let Some((_, packed)) = known {
            return packed.clone();
        }
        let bytes = whole::pack_changes(changes);
        self.cache.put(from, Packed { of: Of::Changes, version, published: 0, bytes })
    }
}

impl Cache {
    fn put(&mut self, from: Version, packed: Packed) -> Arc<Packed> {
        let packed = Arc::new(packed);
        if self.0.len() == MOST_PACKED {
            self.0.pop_front();
        }
        self.0.push_back((from, packed.clone()));
        packed
    }
}
