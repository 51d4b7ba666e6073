//! Serving subscribers: decides when each one gets changes, parts of a snapshot, or beats.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{Event, Machine};
use crate::ledger::RouterEntry;
use crate::log::Since;
use crate::parts::{PART_BYTES, Packed, PartKind};
use crate::wire::{MAX_REASON_BYTES, length};
use crate::{Document, Message, Name, Outcome, Tenths, Version, whole};

/// Overhead counted for each message: headers of IP, TCP and the link.
const MESSAGE_OVERHEAD: usize = 60;
/// A machine that catches up gets this many times the bytes per second of a router.
const MACHINE_RATE_FACTOR: u32 = 64;
/// Maximum number of compressed snapshots and changes cached for other subscribers.
const MAX_CACHED: usize = 8;
/// Maximum size of the changes compressed together ([`crate::Change::bytes`]); the following ones are sent after them.
const MAX_PACKED_BYTES: usize = 1 << 20;

/// A subscriber that this machine serves: a router, or a machine that catches up.
pub(super) struct Session {
    start: u64,
    turn: u32,
    /// Everything up to this version has been sent.
    sent: Version,
    /// The log does not apply to what the subscriber holds: it needs a snapshot of the newest version.
    need_snapshot: bool,
    /// The compressed data being sent, and the number of its next part.
    packed: Option<(Arc<Packed>, u16)>,
    /// Changes and parts are not sent before this time.
    paced_until: Tenths,
    next_beat_at: Tenths,
    last_heard: Tenths,
    floor: Floor,
    /// The subscriber is a machine that catches up. It gets everything, then one beat; then the session ends.
    pub(super) machine: bool,
    due_at: Tenths,
}

/// The router must not serve under a version below this one.
#[derive(Clone, Copy)]
enum Floor {
    /// Becomes known once a majority of keepers have followed the writer after it received the report with this mark.
    Pending(u64),
    Known(Version),
}

/// The data compressed most recently, with the version that it starts from.
#[derive(Default)]
pub(super) struct Cache(VecDeque<(Version, Arc<Packed>)>);

impl Machine {
    pub(super) fn handle_subscribe(
        &mut self,
        now: Tenths,
        from: &Name,
        (start, turn): (u64, u32),
        holds: Version,
        digest: u64,
        state_lost: bool,
    ) {
        let machine = self.others.contains(from);
        let before =
            self.sessions.get(from).map(|session| (session.start, session.turn, session.paced_until));
        // Without this check, a delayed ask would restart what a later message has begun.
        if !machine && before.is_some_and(|(old, last, _)| (start, turn) <= (old, last)) {
            return;
        }
        if before.is_none() && !machine && self.served() >= self.plan.places {
            let wait = self.plan.pause;
            self.send(from, Message::Redirect { turn, wait });
            return self.notify(Event::RouterLimit(from.clone()));
        }
        // A document that differs from the released one of the same version cannot be brought up to date by changes; it
        // has to be replaced.
        let differs = self.kept.log.digest(holds).is_some_and(|known| known != digest);
        let need_snapshot = differs || (holds == Version::NONE && digest != Document::default().digest());
        let reported = self.ledger.get(from).map_or(Version::NONE, |entry| entry.version);
        let floor = match state_lost {
            // A router that lost its persisted state cannot know which version it had in force, nor which machine
            // served it.
            true => Floor::Pending(self.reports.request_mark(now)),
            false => Floor::Known(reported),
        };
        let session = Session {
            start,
            turn,
            sent: if differs { Version::NONE } else { holds },
            need_snapshot,
            packed: None,
            paced_until: before.map_or(now, |(.., pace)| pace),
            next_beat_at: now,
            last_heard: now,
            floor,
            machine,
            due_at: now,
        };
        if let Some(old) = self.sessions.insert(from.clone(), session) {
            self.schedule.remove(&(old.due_at, from.clone()));
        }
        self.schedule.insert((now, from.clone()));
        if !machine {
            let known = self.ledger.get(from).filter(|entry| entry.start == start);
            let refused = known.and_then(|entry| entry.refused.clone());
            let entry =
                RouterEntry { name: from.clone(), start, turn, version: reported, refused, connected: true };
            self.record_router(now, entry);
        }
    }

    pub(super) fn handle_status(
        &mut self,
        now: Tenths,
        from: &Name,
        (start, turn): (u64, u32),
        in_force: Version,
        version: Version,
        outcome: Outcome,
    ) {
        let Some(session) = self.sessions.get_mut(from) else {
            // The router does not know that this machine no longer serves it.
            return self.send(from, Message::Redirect { turn, wait: 0 });
        };
        if (start, turn) != (session.start, session.turn) {
            return;
        }
        session.last_heard = now;
        let refused = match outcome {
            Outcome::Refused { why } => Some((version, why.chars().take(MAX_REASON_BYTES).collect())),
            Outcome::Applied => None,
        };
        let entry =
            RouterEntry { name: from.clone(), start, turn, version: in_force, refused, connected: true };
        self.record_router(now, entry);
    }

    pub(super) fn handle_unsubscribe(&mut self, now: Tenths, from: &Name, (start, turn): (u64, u32)) {
        let known =
            self.sessions.get(from).is_some_and(|session| (session.start, session.turn) == (start, turn));
        if known {
            self.drop_session(now, from);
        }
    }

    pub(super) fn drop_session(&mut self, now: Tenths, from: &Name) {
        let Some(session) = self.sessions.remove(from) else { return };
        self.schedule.remove(&(session.due_at, from.clone()));
        if let Some(entry) = self.ledger.get(from).filter(|_| !session.machine) {
            let entry = RouterEntry { connected: false, ..entry.clone() };
            if (entry.start, entry.turn) == (session.start, session.turn) {
                self.record_router(now, entry);
            }
        }
    }

    /// Schedules all subscribers that do not have the newest version yet, each within its rate limit.
    pub(super) fn schedule_all(&mut self, now: Tenths) {
        let newest = self.kept.version();
        for (name, session) in &mut self.sessions {
            let due = session.paced_until.max(now);
            if session.sent < newest && due < session.due_at {
                self.schedule.remove(&(session.due_at, name.clone()));
                session.due_at = due;
                self.schedule.insert((due, name.clone()));
            }
        }
    }

    /// Resolves the floor of the sessions whose mark is confirmed: none of these routers may serve below the version
    /// `released`.
    pub(super) fn resolve_floors(&mut self, now: Tenths, stable: impl Fn(u64) -> bool, released: Version) {
        for (name, session) in &mut self.sessions {
            let Floor::Pending(mark) = session.floor else { continue };
            if stable(mark) {
                session.floor = Floor::Known(released);
                session.next_beat_at = now;
                self.schedule.remove(&(session.due_at, name.clone()));
                session.due_at = now;
                self.schedule.insert((now, name.clone()));
            }
        }
    }

    /// Serves the first subscriber that is due. Returns false if none is.
    pub(super) fn serve(&mut self, now: Tenths) -> bool {
        let Some((at, name)) = self.schedule.first().cloned().filter(|(at, _)| *at <= now) else {
            return false;
        };
        self.schedule.remove(&(at, name.clone()));
        let Some(mut session) = self.sessions.remove(&name) else { return true };
        if now - session.last_heard >= 3 * self.plan.say {
            self.sessions.insert(name.clone(), session);
            self.drop_session(now, &name);
            return true;
        }
        let sent = now >= session.paced_until && self.send_next(now, &name, &mut session);
        if !sent && now >= session.next_beat_at {
            self.send_beat(now, &name, &mut session);
            if session.machine && session.sent >= self.kept.version() {
                return true;
            }
        }
        let waits = session.packed.is_some() || session.sent < self.kept.version();
        let gone = session.last_heard + 3 * self.plan.say;
        session.due_at = session.next_beat_at.min(gone);
        if waits {
            session.due_at = session.due_at.min(session.paced_until);
        }
        self.schedule.insert((session.due_at, name.clone()));
        self.sessions.insert(name, session);
        true
    }

    fn send_beat(&mut self, now: Tenths, to: &Name, session: &mut Session) {
        session.next_beat_at = now + self.plan.beat;
        let floor = match session.floor {
            Floor::Known(version) => Some(version),
            Floor::Pending(_) => None,
        };
        let (turn, version, no_writer) = (session.turn, self.kept.version(), self.lacks_writer(now));
        self.send(to, Message::Beat { turn, version, floor, no_writer });
    }

    /// Sends the next changes or the next part. Returns false if there is nothing to send.
    fn send_next(&mut self, now: Tenths, to: &Name, session: &mut Session) -> bool {
        if session.packed.is_none() {
            // A router that holds more than this machine must not be taken back to an earlier version.
            if session.sent >= self.kept.version() {
                return false;
            }
            match self.kept.log.since(session.sent) {
                _ if std::mem::take(&mut session.need_snapshot) => {
                    session.packed = Some((self.pack_whole(true), 0))
                }
                Since::UpToDate => return false,
                Since::Snapshot => session.packed = Some((self.pack_whole(false), 0)),
                Since::Changes(changes) => {
                    let mut bytes = 0;
                    let within = changes.iter().take_while(|change| {
                        bytes += change.bytes();
                        bytes <= MAX_PACKED_BYTES
                    });
                    let count = within.count().max(1);
                    let changes = &changes[..count];
                    let version = changes[count - 1].version;
                    if bytes <= PART_BYTES
                        || changes.iter().map(|change| change.bytes()).sum::<usize>() <= PART_BYTES
                    {
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
        let message = match packed.kind {
            PartKind::Snapshot => Message::SnapshotPart { turn, version, published, part, of, bytes },
            PartKind::Changes => Message::ChangesPart { turn, version, part, of, bytes },
        };
        match part + 1 < of {
            true => session.packed = Some((packed, part + 1)),
            false => session.sent = version,
        }
        self.send_paced(now, to, session, message);
        true
    }

    fn send_paced(&mut self, now: Tenths, to: &Name, session: &mut Session, message: Message) {
        let bytes = (length(&message) + MESSAGE_OVERHEAD) as i64;
        let more = if session.machine { MACHINE_RATE_FACTOR } else { 1 };
        // The remaining 16 % leave room for beats, for replies, and for the one message per second by which the rate
        // can exceed its average.
        let rate = i64::from(self.plan.bytes_a_second) * 84 / 100 * i64::from(more);
        session.paced_until = now + bytes * 10_000 / rate + 1;
        self.send(to, message);
    }

    /// Returns a compressed snapshot. The cached one is reused as long as the log continues from its version, unless
    /// the newest version is required.
    fn pack_whole(&mut self, newest: bool) -> Arc<Packed> {
        let known = self.cache.0.iter().find(|(_, packed)| {
            packed.kind == PartKind::Snapshot
                && (packed.version == self.kept.version
                    || !newest && matches!(self.kept.log.since(packed.version), Since::Changes(_)))
        });
        if let Some((_, packed)) = known {
            return packed.clone();
        }
        let (version, published) = (self.kept.version, self.kept.published);
        let bytes = whole::pack(version, published, &self.kept.document);
        self.cache.0.retain(|(_, packed)| packed.kind == PartKind::Changes);
        self.cache.put(Version::NONE, Packed { kind: PartKind::Snapshot, version, published, bytes })
    }

    fn pack_changes(&mut self, from: Version, version: Version, changes: &[crate::Change]) -> Arc<Packed> {
        let known = self.cache.0.iter().find(|(after, packed)| {
            packed.kind == PartKind::Changes && *after == from && packed.version == version
        });
        if let Some((_, packed)) = known {
            return packed.clone();
        }
        let bytes = whole::pack_changes(changes);
        self.cache.put(from, Packed { kind: PartKind::Changes, version, published: 0, bytes })
    }
}

impl Cache {
    fn put(&mut self, from: Version, packed: Packed) -> Arc<Packed> {
        let packed = Arc::new(packed);
        if self.0.len() == MAX_CACHED {
            self.0.pop_front();
        }
        self.0.push_back((from, packed.clone()));
        packed
    }
}
