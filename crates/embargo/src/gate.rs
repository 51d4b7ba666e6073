//! What one process of an edge may serve now: closed by default, opened under a lease once the earliest possible time has
//! passed the release.

use crate::words::*;
use std::collections::{BTreeMap, VecDeque};
use vetchkeel_bounds::{Anchor, Interval, Moment, Tenths, drift_allowance};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GateTerms {
    /// A lease is renewed so long after it was asked for.
    pub renew: Tenths,
    /// An ask that brought no lease is sent again so often.
    pub retry: Tenths,
    /// Drift that its clock's terms vouch for.
    pub drift_ppm: i64,
    /// Schedules kept of one office. More are not taken: its lease then never counts, and nothing of it opens.
    pub bulletins: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum GateDecision {
    Send(FromEdge),
    /// Proven released: held readers may be answered, and whoever orders the feed may give it its position.
    Open {
        office: OfficeId,
        bulletin: BulletinId,
    },
    /// Withdrawn, ended, or not heard of for too long: no longer served.
    Close {
        office: OfficeId,
        bulletin: BulletinId,
    },
    /// For the log: the office's lease is over. Nothing of it opens until the next.
    Lapsed {
        office: OfficeId,
    },
    /// For the log: a lease counts again.
    Leased {
        office: OfficeId,
    },
    /// For the log: this many schedules of the office found no room, and it is closed for what is not yet open.
    Full {
        office: OfficeId,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    until: Tenths,
    /// And over when the count gets here.
    count: Tenths,
}

/// A schedule, and what was known when it opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Known {
    schedule: Schedule,
    opened: Option<Anchor>,
    /// Close was said, or Open never was.
    closed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Office {
    epoch: Epoch,
    applied: Version,
    lease: Option<Lease>,
    /// The longest lease that ever counted, for what stays open after it.
    longest: Option<Lease>,
    leased: bool,
    full: bool,
    full_told: bool,
    last_request: u64,
    /// Requests that may still be answered, with the count when each left.
    requests: VecDeque<(u64, Tenths)>,
    ask_at: Tenths,
    known: BTreeMap<BulletinId, Known>,
}

/// Requests remembered: a reply to an older one brings schedules but no lease.
const REQUESTS: usize = 8;

impl Office {
    fn new() -> Self {
        Office {
            epoch: Epoch(0),
            applied: Version(0),
            lease: None,
            longest: None,
            leased: false,
            full: false,
            full_told: false,
            last_request: 0,
            requests: VecDeque::new(),
            ask_at: Tenths::MIN,
            known: BTreeMap::new(),
        }
    }

    /// Danger: a lease that may be over says nothing of the schedules any more, so the latest possible time counts; and a
    /// clock that lies far back would stretch it, so the count since the ask must bear it out.
    fn leased(&self, moment: &Moment) -> Option<Interval> {
        let (lease, time) = (self.lease?, moment.time?);
        (!time.may_have_reached(lease.until) && moment.count < lease.count).then_some(time)
    }

    /// Danger: opening at any later end of the interval than the earliest would open before the release on a clock that is
    /// merely uncertain.
    fn opens(&self, known: &Known, moment: &Moment) -> bool {
        let Release::At(release) = known.schedule.release else { return false };
        let leased = self.leased(moment);
        known.opened.is_none() && leased.is_some_and(|time| time.is_past(release))
    }

    fn serves(&self, known: &Known, moment: &Moment, ppm: i64) -> bool {
        let Some(opened) = known.opened else { return false };
        if known.schedule.release == Release::Withdrawn || opened.latest(moment, ppm) >= known.schedule.ends {
            return false;
        }
        let Unheard::For(stays) = known.schedule.unheard else { return true };
        let Some(longest) = self.longest else { return false };
        let over = longest.until.saturating_add(stays);
        let count = longest.count.saturating_add(stays - drift_allowance(stays, ppm));
        moment.time.is_some_and(|time| !time.may_have_reached(over)) && moment.count < count
    }
}

/// The gate of one process of an edge.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gate {
    id: EdgeId,
    incarnation: Incarnation,
    terms: GateTerms,
    offices: BTreeMap<OfficeId, Office>,
    leaving: VecDeque<OfficeId>,
    left: bool,
}

impl Gate {
    /// Knows nothing and serves nothing: no lease outlives its process. `incarnation` was never used by this edge before.
    pub fn new(id: EdgeId, incarnation: Incarnation, terms: GateTerms) -> Self {
        Gate { id, incarnation, terms, offices: BTreeMap::new(), leaving: VecDeque::new(), left: false }
    }

    /// Bulletins of this office are served here from now on.
    pub fn follow(&mut self, office: OfficeId) {
        self.offices.entry(office).or_insert_with(Office::new);
    }

    /// Serves nothing from now on, and says so. For good: the next process has an incarnation of its own.
    pub fn leave(&mut self) {
        if !self.left {
            self.left = true;
            self.leaving = self.offices.keys().copied().collect();
        }
    }

    pub fn heard(&mut self, reply: Reply, moment: &Moment) {
        // Danger: a reply to an earlier process of this edge would hand its lease on.
        if self.left || reply.edge != self.id || reply.incarnation != self.incarnation {
            return;
        }
        let most = self.terms.bulletins;
        let ppm = self.terms.drift_ppm;
        let Some(office) = self.offices.get_mut(&reply.office) else { return };
        if reply.epoch < office.epoch || reply.schedules.len() > BATCH {
            return;
        }
        if reply.epoch > office.epoch {
            // Danger: a publisher that was replaced may still grant; its leases end with the first word of the next.
            office.epoch = reply.epoch;
            office.lease = None;
            office.ask_at = Tenths::MIN;
        }
        if reply.after <= office.applied && reply.through > office.applied {
            let fresh = reply.schedules.iter().filter(|s| s.version > office.applied);
            for schedule in fresh {
                let room = office.known.len() < most;
                match office.known.get_mut(&schedule.bulletin) {
                    Some(known) if known.schedule.version >= schedule.version => {}
                    Some(known) => known.schedule = *schedule,
                    None if room => {
                        let known = Known { schedule: *schedule, opened: None, closed: true };
                        office.known.insert(schedule.bulletin, known);
                    }
                    None => {
                        office.full = true;
                        return;
                    }
                }
            }
            office.applied = reply.through;
            office.ask_at = Tenths::MIN;
        }
        let Some(grant) = reply.grant else { return };
        let Some(place) = office.requests.iter().position(|(request, _)| *request == reply.request) else {
            return;
        };
        let Some((_, asked)) = office.requests.remove(place) else { return };
        // Danger: a lease counts for what the publisher knew. Without all of that, a postponement may be missing here.
        if reply.through > office.applied {
            return;
        }
        let count = asked.saturating_add(grant.length - drift_allowance(grant.length, ppm));
        let lease = Lease { until: grant.until, count };
        let longer =
            |old: &Option<Lease>| old.is_none_or(|o| (o.until, o.count) < (lease.until, lease.count));
        if longer(&office.lease) {
            office.lease = Some(lease);
            if longer(&office.longest) {
                office.longest = Some(lease);
            }
            let renew = asked + self.terms.renew - moment.count + moment.mono;
            if office.ask_at != Tenths::MIN {
                office.ask_at = renew.max(moment.mono + 1);
            }
        }
    }

    /// The next thing to do, until there is none.
    pub fn next_decision(&mut self, moment: &Moment) -> Option<GateDecision> {
        let (edge, incarnation) = (self.id, self.incarnation);
        if let Some(office) = self.leaving.pop_front() {
            return Some(GateDecision::Send(FromEdge::Leave { office, edge, incarnation }));
        }
        if self.left {
            return None;
        }
        for (id, office) in &mut self.offices {
            let leased = office.leased(moment).is_some();
            if leased != office.leased {
                office.leased = leased;
                return Some(match leased {
                    true => GateDecision::Leased { office: *id },
                    false => {
                        office.ask_at = office.ask_at.min(moment.mono);
                        GateDecision::Lapsed { office: *id }
                    }
                });
            }
            if office.full && !office.full_told {
                office.full_told = true;
                return Some(GateDecision::Full { office: *id });
            }
            let turn = Self::turn(*id, office, moment, self.terms.drift_ppm);
            if turn.is_some() {
                return turn;
            }
            if office.ask_at <= moment.mono {
                office.last_request += 1;
                let request = office.last_request;
                office.requests.push_back((request, moment.count));
                if office.requests.len() > REQUESTS {
                    office.requests.pop_front();
                }
                office.ask_at = moment.mono + self.terms.retry;
                let (epoch, applied) = (office.epoch, office.applied);
                let ask = Ask { office: *id, epoch, edge, incarnation, request, applied };
                return Some(GateDecision::Send(FromEdge::Ask(ask)));
            }
        }
        None
    }

    /// Opens, closes or drops one bulletin.
    fn turn(id: OfficeId, office: &mut Office, moment: &Moment, ppm: i64) -> Option<GateDecision> {
        let opens = office.known.iter().find(|(_, k)| office.opens(k, moment)).map(|(b, _)| *b);
        if let Some(bulletin) = opens {
            let known = office.known.get_mut(&bulletin)?;
            known.opened = Anchor::of(moment);
            known.closed = false;
            return Some(GateDecision::Open { office: id, bulletin });
        }
        let closes = |k: &Known| !k.closed && !office.serves(k, moment, ppm);
        let closed = office.known.iter().find(|(_, k)| closes(k)).map(|(b, _)| *b);
        if let Some(bulletin) = closed {
            office.known.get_mut(&bulletin)?.closed = true;
            return Some(GateDecision::Close { office: id, bulletin });
        }
        if let Some(time) = moment.time {
            let before = office.known.len();
            office.known.retain(|_, k| !time.is_past(k.schedule.ends));
            if office.full && office.known.len() < before {
                (office.full, office.full_told) = (false, false);
            }
        }
        None
    }

    /// Whether the bulletin may be served at this moment. To be asked again right before the answer is written, at a fresh
    /// moment: the process may have slept since.
    pub fn serves(&self, office: OfficeId, bulletin: BulletinId, moment: &Moment) -> bool {
        if self.left {
            return false;
        }
        let Some(office) = self.offices.get(&office) else { return false };
        let Some(known) = office.known.get(&bulletin) else { return false };
        office.serves(known, moment, self.terms.drift_ppm)
    }

    /// The monotonic reading at which an announced bulletin is expected to open here, if it is ahead and all is well.
    pub(crate) fn announced(
        &self,
        office: OfficeId,
        bulletin: BulletinId,
        moment: &Moment,
    ) -> Option<Tenths> {
        let office = self.offices.get(&office)?;
        let known = office.known.get(&bulletin)?;
        let time = office.leased(moment)?;
        match (known.schedule.notice, known.schedule.release) {
            (Notice::Announced, Release::At(release)) if !time.is_past(release) => {
                Some(moment.mono + release - time.earliest + 1)
            }
            _ => None,
        }
    }

    /// Monotonic reading at which [`Gate::next_decision`] may have more to say if nothing is heard before.
    pub fn wake_at(&self, moment: &Moment) -> Option<Tenths> {
        if self.left {
            return None;
        }
        let mut wake: Option<Tenths> = None;
        let mut at = |instant: Tenths| wake = Some(wake.map_or(instant, |w: Tenths| w.min(instant)));
        for office in self.offices.values() {
            at(office.ask_at);
            let Some(time) = moment.time else { continue };
            if let Some(lease) = office.lease.filter(|_| office.leased) {
                at(moment.mono + (lease.until - time.latest).min(lease.count - moment.count));
            }
            for known in office.known.values().filter(|k| k.opened.is_none()) {
                if let Release::At(release) = known.schedule.release
                    && !time.is_past(release)
                {
                    at(moment.mono + release - time.earliest + 1);
                }
            }
        }
        wake.map(|w| w.max(moment.mono + 1))
    }
}
