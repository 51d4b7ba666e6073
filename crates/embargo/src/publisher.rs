//! One office's publisher: it orders changes, grants leases on what they say, and answers each wish once it holds everywhere.
//!
//! Why an answer can be trusted. An edge opens at `release` only under a lease, and only while it is sure that the lease is
//! not over and that `release` has passed. So a lease that ends by the old release can't open it, and a lease granted after
//! a change counts only at an edge that has the change. What is left are leases that reach past the old release, granted
//! before the change: each such edge must have acknowledged the change before the old release may have come. If one has
//! not, the change is too late, and the old release is put back.

use crate::record::{Entry, Record, Write};
use crate::words::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use vetchkeel_bounds::{Anchor, Moment, Tenths};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PublisherTerms {
    /// Length of a lease, on this publisher's earliest possible time.
    pub lease: Tenths,
    /// A change not acknowledged is sent again so often.
    pub retry: Tenths,
    /// Drift that its clock's terms vouch for.
    pub drift_ppm: i64,
    /// Schedules kept; a new one beyond is refused.
    pub bulletins: usize,
    /// Processes of edges that hold or held a lease and may still serve; more get none.
    pub holders: usize,
    /// Changes not yet settled, and wishes not yet written; more are refused.
    pub changes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    Set {
        release: Tenths,
        ends: Tenths,
        unheard: Unheard,
        notice: Notice,
    },
    /// Earlier or later.
    Move {
        release: Tenths,
    },
    /// Released now.
    Lift,
    Withdraw,
}

/// What someone at the office asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Wish {
    /// Comes back with the answer.
    pub ticket: u64,
    pub bulletin: BulletinId,
    pub change: Change,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The old release may have come.
    TooLate,
    /// The time can't be bounded: nothing can be promised.
    NoTime,
    /// A newer publisher has the office.
    Fenced,
    /// As many schedules as the terms allow.
    Full,
    /// As many changes under way as the terms allow.
    Busy,
    Unknown,
    /// A bulletin's number must be above all before it.
    Used,
    Withdrawn,
    /// It would end before it is released, or a time is further from zero than any of ours.
    NoSuchTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Holds at every edge: none acts, nor has acted, on what it replaces.
    Confirmed,
    /// Withdrawn after some edge may have served it: none does any more.
    Stopped,
    /// Some edge may have acted on the old release, which stands again.
    TooLate,
    /// A newer change of the same bulletin took its place before this one held everywhere.
    Replaced,
    /// Nothing was changed.
    Refused(Reason),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PublisherDecision {
    /// To be stored in one atomic step under this publisher's epoch, then [`Publisher::written`] or [`Publisher::fenced`].
    Persist {
        number: u64,
        writes: Vec<Write>,
    },
    Send(Reply),
    Answer {
        ticket: u64,
        bulletin: BulletinId,
        outcome: Outcome,
    },
}

type Holder = (EdgeId, Incarnation);

/// One process of an edge, as last heard.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    /// End of the longest lease granted.
    until: Tenths,
    acked: Version,
    /// Newest request answered: a doubled or late one is not answered again.
    answered: u64,
    /// Newer request not answered yet.
    owed: Option<u64>,
    /// By the monotonic reading: when an unacknowledged change goes out again.
    push_at: Tenths,
}

/// Whoever may still act on an older version of one bulletin, and until when. `Tenths::MAX`: until it acknowledges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Pending {
    holders: BTreeMap<Holder, Tenths>,
    /// Whoever holds a lease of a publisher before this one.
    former: Option<Tenths>,
}

impl Pending {
    fn over(&self, earliest: Option<Tenths>) -> bool {
        let past = |fence: &Tenths| earliest.is_some_and(|e| e > *fence);
        self.holders.values().all(past) && self.former.as_ref().is_none_or(past)
    }
}

/// Writes under way, and the answers that wait for them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Writing {
    number: u64,
    writes: Vec<Write>,
    answers: Vec<(u64, BulletinId, Outcome)>,
    changes: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Publisher {
    office: OfficeId,
    epoch: Epoch,
    terms: PublisherTerms,
    /// What is durable.
    record: Record,
    /// Horizon found at the start: leases of publishers before this one.
    former: Tenths,
    held: BTreeMap<Holder, Held>,
    owing: BTreeSet<Holder>,
    pending: BTreeMap<BulletinId, Pending>,
    wishes: VecDeque<Wish>,
    writing: Option<Writing>,
    number: u64,
    answers: VecDeque<(u64, BulletinId, Outcome)>,
    fenced: bool,
    anchor: Option<Anchor>,
    /// By the monotonic reading: when to look next for what can be dropped.
    tidy_at: Tenths,
}

/// No time that is told lies beyond: leaves room for sums.
const FURTHEST: Tenths = Tenths::MAX / 8;

impl Publisher {
    /// `record` as read after its epoch was raised to this publisher's.
    pub fn new(office: OfficeId, terms: PublisherTerms, record: Record) -> Self {
        let former = record.horizon;
        let mut publisher = Publisher {
            office,
            epoch: record.epoch,
            terms,
            record,
            former,
            held: BTreeMap::new(),
            owing: BTreeSet::new(),
            pending: BTreeMap::new(),
            wishes: VecDeque::new(),
            writing: None,
            number: 0,
            answers: VecDeque::new(),
            fenced: false,
            anchor: None,
            tidy_at: Tenths::MIN,
        };
        let open: Vec<Entry> = publisher.record.entries.values().filter(|e| !e.settled).copied().collect();
        for entry in open {
            let pending = publisher.pending_for(&entry);
            publisher.pending.insert(entry.schedule.bulletin, pending);
        }
        publisher
    }

    pub fn record(&self) -> &Record {
        &self.record
    }

    /// The store refused a write: a newer publisher has the office.
    pub fn fenced(&mut self) {
        self.depose();
        for (ticket, bulletin, _) in self.writing.take().map(|w| w.answers).unwrap_or_default() {
            // What is settled by the refused write stays unsettled in the record: the next publisher answers it.
            if self.record.entries.get(&bulletin).is_none_or(|e| e.ticket != ticket) {
                self.answers.push_back((ticket, bulletin, Outcome::Refused(Reason::Fenced)));
            }
        }
    }

    /// It grants and changes nothing from now on. A write under way still answers when the store has said what became of it.
    fn depose(&mut self) {
        if self.fenced {
            return;
        }
        self.fenced = true;
        let refused = Outcome::Refused(Reason::Fenced);
        for wish in self.wishes.drain(..) {
            self.answers.push_back((wish.ticket, wish.bulletin, refused));
        }
        self.pending.clear();
        self.owing.clear();
    }

    pub fn wish(&mut self, wish: Wish) {
        let refused = if self.fenced {
            Some(Reason::Fenced)
        } else if self.wishes.len() >= self.terms.changes || self.pending.len() >= self.terms.changes {
            Some(Reason::Busy)
        } else {
            None
        };
        match refused {
            Some(reason) => {
                self.answers.push_back((wish.ticket, wish.bulletin, Outcome::Refused(reason)));
            }
            None => self.wishes.push_back(wish),
        }
    }

    pub fn heard(&mut self, message: FromEdge) {
        match message {
            FromEdge::Ask(ask) if ask.office == self.office => self.heard_ask(ask),
            FromEdge::Leave { office, edge, incarnation } if office == self.office => {
                let holder = (edge, incarnation);
                self.held.remove(&holder);
                self.owing.remove(&holder);
                self.pending.values_mut().for_each(|p| {
                    p.holders.remove(&holder);
                });
            }
            _ => {}
        }
    }

    fn heard_ask(&mut self, ask: Ask) {
        if ask.epoch > self.epoch {
            self.depose();
        }
        // Danger: a version that was never written can't have been heard; it would acknowledge changes yet to come.
        if self.fenced || ask.applied > self.record.version {
            return;
        }
        // Danger: a process of an edge that was replaced may only sleep. Each is a holder of its own until its lease is over.
        let holder = (ask.edge, ask.incarnation);
        if !self.held.contains_key(&holder) && self.held.len() >= self.terms.holders {
            return;
        }
        let held = self.held.entry(holder).or_insert(Held {
            until: Tenths::MIN,
            acked: Version(0),
            answered: 0,
            owed: None,
            push_at: Tenths::MIN,
        });
        held.acked = held.acked.max(ask.applied);
        if ask.request > held.answered {
            held.owed = Some(held.owed.unwrap_or(0).max(ask.request));
            self.owing.insert(holder);
        }
        let acked = held.acked;
        for (id, pending) in &mut self.pending {
            if self.record.entries.get(id).is_some_and(|e| e.schedule.version <= acked) {
                pending.holders.remove(&holder);
            }
        }
    }

    /// The writes of this number are durable.
    pub fn written(&mut self, number: u64) {
        if self.writing.as_ref().is_none_or(|w| w.number != number) {
            return;
        }
        let Some(done) = self.writing.take() else { return };
        for write in &done.writes {
            let id = match write {
                Write::Entry(entry) => entry.schedule.bulletin,
                Write::Remove(id) => *id,
                Write::Horizon(_) => BulletinId(0),
            };
            let changed = matches!(write, Write::Entry(entry) if self.changes(entry));
            self.record.apply(write);
            match write {
                Write::Entry(entry) if !entry.settled => {
                    let pending = self.pending_for(entry);
                    self.pending.insert(id, pending);
                }
                Write::Horizon(_) => {}
                _ => {
                    self.pending.remove(&id);
                }
            }
            if changed {
                self.held.values_mut().for_each(|h| h.push_at = Tenths::MIN);
            }
        }
        self.answers.extend(done.answers);
    }

    /// It is a new version, not only word that an old one is settled.
    fn changes(&self, entry: &Entry) -> bool {
        entry.schedule.version > self.record.version
    }

    /// Until when a lease that ends at `until` lets an edge act on a version of `entry` older than its newest.
    fn fence(entry: &Entry, until: Tenths) -> Option<Tenths> {
        if until <= entry.floor {
            return None;
        }
        if !entry.withdrawn() {
            return Some(Tenths::MAX);
        }
        let after = match entry.schedule.unheard {
            Unheard::For(time) => until.saturating_add(time),
            Unheard::ToItsEnd => Tenths::MAX,
        };
        Some(after.min(entry.schedule.ends))
    }

    fn pending_for(&self, entry: &Entry) -> Pending {
        let version = entry.schedule.version;
        let holders = self.held.iter().filter(|(_, held)| held.acked < version);
        Pending {
            holders: holders.filter_map(|(k, held)| Some((*k, Self::fence(entry, held.until)?))).collect(),
            former: Self::fence(entry, self.former),
        }
    }

    /// The next thing to do, until there is none.
    pub fn next_decision(&mut self, moment: &Moment) -> Option<PublisherDecision> {
        if let Some((ticket, bulletin, outcome)) = self.answers.pop_front() {
            return Some(PublisherDecision::Answer { ticket, bulletin, outcome });
        }
        if self.fenced {
            return None;
        }
        self.anchor = Anchor::of(moment).or(self.anchor);
        if self.writing.is_none()
            && let Some(writing) = self.due(moment)
        {
            let decision =
                PublisherDecision::Persist { number: writing.number, writes: writing.writes.clone() };
            self.writing = Some(writing);
            return Some(decision);
        }
        if let Some((ticket, bulletin, outcome)) = self.answers.pop_front() {
            return Some(PublisherDecision::Answer { ticket, bulletin, outcome });
        }
        if self.tidy_at <= moment.mono {
            self.tidy_at = moment.mono + self.terms.lease;
            self.prune(moment);
        }
        self.reply(moment).map(PublisherDecision::Send)
    }

    /// The latest possible time, even if it can't be bounded from below.
    fn latest(&self, moment: &Moment) -> Option<Tenths> {
        self.anchor.map(|anchor| anchor.latest(moment, self.terms.drift_ppm))
    }

    /// All that is to be written now, as one batch.
    fn due(&mut self, moment: &Moment) -> Option<Writing> {
        let Some(latest) = self.latest(moment) else {
            let refused = Outcome::Refused(Reason::NoTime);
            self.answers.extend(self.wishes.drain(..).map(|w| (w.ticket, w.bulletin, refused)));
            return None;
        };
        let earliest = moment.time.map(|time| time.earliest);
        let mut batch = Writing { number: 0, writes: Vec::new(), answers: Vec::new(), changes: false };
        let mut version = self.record.version;
        let mut next = || {
            version.0 += 1;
            version
        };
        let mut touched = BTreeSet::new();
        for (id, pending) in &self.pending {
            let Some(entry) = self.record.entries.get(id) else { continue };
            let reached = latest >= entry.floor;
            let outcome = match entry.schedule.release {
                Release::Withdrawn if pending.over(earliest) && reached => Outcome::Stopped,
                // Danger: an acknowledgement after the old release may come from an edge that opened before it.
                Release::At(_) if reached => Outcome::TooLate,
                _ if pending.over(earliest) => Outcome::Confirmed,
                _ => continue,
            };
            let mut settled = Entry { settled: true, ..*entry };
            match (outcome, settled.schedule.release) {
                (Outcome::TooLate, _) => {
                    settled.schedule.release = Release::At(entry.floor);
                    settled.schedule.version = next();
                    batch.changes = true;
                }
                (Outcome::Confirmed, Release::At(release)) => settled.floor = release,
                _ => {}
            }
            touched.insert(*id);
            batch.writes.push(Write::Entry(settled));
            batch.answers.push((entry.ticket, *id, outcome));
        }
        let mut room = self.terms.bulletins.saturating_sub(self.record.entries.len());
        while let Some(wish) = self.wishes.front().copied() {
            if touched.contains(&wish.bulletin) {
                break;
            }
            self.wishes.pop_front();
            match self.plan(wish, latest, earliest, room) {
                Err(reason) => self.answers.push_back((wish.ticket, wish.bulletin, Outcome::Refused(reason))),
                Ok(mut entry) => {
                    entry.schedule.version = next();
                    if !self.knows(wish) {
                        room -= 1;
                    }
                    let pending = self.pending_for(&entry);
                    let waits = !(pending.holders.is_empty() && pending.former.is_none());
                    entry.settled = entry.settled || !waits;
                    if let Some(old) = self.record.entries.get(&wish.bulletin).filter(|e| !e.settled) {
                        batch.answers.push((old.ticket, wish.bulletin, Outcome::Replaced));
                    }
                    if entry.settled {
                        if let Release::At(release) = entry.schedule.release {
                            entry.floor = release;
                        }
                        batch.answers.push((wish.ticket, wish.bulletin, Outcome::Confirmed));
                    }
                    touched.insert(wish.bulletin);
                    batch.changes = true;
                    batch.writes.push(Write::Entry(entry));
                }
            }
        }
        if let Some(earliest) = earliest {
            if self.tidy_at <= moment.mono {
                let ended = self.record.entries.values().filter(|e| e.settled && earliest > e.schedule.ends);
                let ended = ended.map(|e| e.schedule.bulletin).filter(|id| !touched.contains(id));
                batch.writes.extend(ended.map(Write::Remove));
            }
            // Danger: a lease that is on no durable record would let a publisher after this one confirm too early.
            if !self.held.is_empty() && self.record.horizon < earliest + self.terms.lease * 3 / 2 {
                batch.writes.push(Write::Horizon(earliest + self.terms.lease * 2));
            }
        }
        if batch.writes.is_empty() {
            return None;
        }
        self.number += 1;
        batch.number = self.number;
        Some(batch)
    }

    fn knows(&self, wish: Wish) -> bool {
        self.record.entries.contains_key(&wish.bulletin)
    }

    /// What the wish makes of the schedule; its version and whether anyone must be waited for come after.
    fn plan(
        &self,
        wish: Wish,
        latest: Tenths,
        earliest: Option<Tenths>,
        room: usize,
    ) -> Result<Entry, Reason> {
        let earliest = earliest.ok_or(Reason::NoTime)?;
        let told = |time: Tenths| (-FURTHEST..=FURTHEST).contains(&time);
        if let Change::Set { release, ends, unheard, notice } = wish.change {
            if wish.bulletin <= self.record.last {
                return Err(Reason::Used);
            }
            let stays = !matches!(unheard, Unheard::For(time) if time < 0);
            if !told(release) || !told(ends) || ends <= release || !stays {
                return Err(Reason::NoSuchTime);
            }
            if room == 0 {
                return Err(Reason::Full);
            }
            let (version, release_at) = (Version(0), Release::At(release));
            let schedule =
                Schedule { bulletin: wish.bulletin, version, release: release_at, ends, unheard, notice };
            return Ok(Entry { schedule, floor: release, settled: true, ticket: wish.ticket });
        }
        let old = self.record.entries.get(&wish.bulletin).copied().ok_or(Reason::Unknown)?;
        if old.withdrawn() {
            return Err(Reason::Withdrawn);
        }
        let mut entry = Entry { ticket: wish.ticket, ..old };
        let release = match wish.change {
            Change::Move { release } => release,
            Change::Lift => earliest.min(old.floor),
            _ => {
                entry.schedule.release = Release::Withdrawn;
                entry.settled = false;
                return Ok(entry);
            }
        };
        if !told(release) || release >= old.schedule.ends {
            return Err(Reason::NoSuchTime);
        }
        if release > old.floor && latest >= old.floor {
            return Err(Reason::TooLate);
        }
        entry.schedule.release = Release::At(release);
        entry.settled = release <= old.floor;
        Ok(entry)
    }

    /// Forgets holders that can serve nothing any more which a withdrawal would have to stop.
    fn prune(&mut self, moment: &Moment) {
        let Some(time) = moment.time else { return };
        let entries = &self.record.entries;
        let serves = |until: Tenths| {
            let shown = |e: &&Entry| until > e.floor && !time.is_past(e.schedule.ends);
            entries.values().any(|e| shown(&e))
        };
        let owing = &self.owing;
        self.held
            .retain(|holder, held| !time.is_past(held.until) || owing.contains(holder) || serves(held.until));
    }

    /// An answer that is owed, or a change that an edge has not acknowledged.
    fn reply(&mut self, moment: &Moment) -> Option<Reply> {
        let newest = self.record.version;
        let holder = match self.owing.pop_first() {
            Some(holder) => holder,
            None => {
                let lags = |held: &Held| held.acked < newest && held.push_at <= moment.mono;
                self.held.iter().find(|(_, held)| lags(held)).map(|(holder, _)| *holder)?
            }
        };
        let after = self.held.get(&holder)?.acked;
        let (schedules, through) = self.record.since(after, BATCH);
        let grant = self.grant(moment).filter(|_| through == newest);
        let held = self.held.get_mut(&holder)?;
        let request = held.owed.take();
        held.answered = request.unwrap_or(held.answered);
        let grant = grant.filter(|_| request.is_some());
        if let Some(grant) = grant {
            held.until = held.until.max(grant.until);
        }
        held.push_at = moment.mono + self.terms.retry;
        let (edge, incarnation) = holder;
        let request = request.unwrap_or(0);
        let (office, epoch) = (self.office, self.epoch);
        Some(Reply { office, epoch, edge, incarnation, request, after, through, schedules, grant })
    }

    /// Danger: a lease granted while a change is being written would count for the old version and be on nobody's list.
    fn grant(&self, moment: &Moment) -> Option<Grant> {
        let until = moment.time?.earliest + self.terms.lease;
        let changing = self.writing.as_ref().is_some_and(|w| w.changes);
        (!changing && until <= self.record.horizon).then_some(Grant { until, length: self.terms.lease })
    }

    /// Monotonic reading at which [`Publisher::next_decision`] may have more to say if nothing is heard before.
    pub fn wake_at(&self, moment: &Moment) -> Option<Tenths> {
        if self.fenced {
            return None;
        }
        let newest = self.record.version;
        let push = self.held.values().filter(|h| h.acked < newest).map(|h| h.push_at).min();
        let soon = (!self.pending.is_empty()).then(|| moment.mono + self.terms.retry);
        let horizon = moment.mono + self.terms.lease / 4;
        [push, soon, Some(horizon)].into_iter().flatten().min().map(|at| at.max(moment.mono + 1))
    }
}
