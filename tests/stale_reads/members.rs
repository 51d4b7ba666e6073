//! Sets of members that replicate one log: which member is the primary, what each has applied and reports,
//! and the check for stale reads, by the rules of the protocol documentation. The caller passes the time in;
//! the members' clock is the time of the simulation.

use super::conditions::{Conditions, MILLISECOND, SECOND};
use super::rng::SeededRng;
use std::collections::VecDeque;
use std::fmt;
use vetchkeel::{Report, Tenths};

pub const SET_SIZE: usize = 3;
/// What the protocol documentation allows on top of a bound.
const AGE_ALLOWANCE: Tenths = 50 * MILLISECOND;
/// How long a member's word that it is a replica may take to reach a router.
const ROLE_NEWS_ALLOWANCE: Tenths = 100 * MILLISECOND;

/// A read that found data too old when its last byte reached the member.
#[derive(Clone, Copy, Debug)]
pub struct StaleRead {
    pub member: usize,
    pub age: Tenths,
    pub arrived: Tenths,
    pub was_primary: bool,
}

impl fmt::Display for StaleRead {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let StaleRead { member, age, arrived, was_primary } = self;
        let age = age / MILLISECOND;
        write!(f, "member {member} had data {age} ms old at {arrived}, was a primary before: {was_primary}")
    }
}

#[derive(Clone, Debug, Default)]
struct Member {
    primary: bool,
    /// It answers commands and makes new reports.
    running: bool,
    /// A replica applies the log from this time on.
    applies_from: Tenths,
    lag: Tenths,
    position: Tenths,
    was_primary: bool,
    demoted_at: Tenths,
    /// When it first reported to each router that it is a replica, since it was last demoted.
    replica_role_sent: Vec<Option<Tenths>>,
    /// Reports: when each becomes available, when it was made, and its content.
    reports: VecDeque<(Tenths, Tenths, Report)>,
}

pub struct Members {
    all: Vec<Member>,
    /// The position at which each set's log ends.
    log_end: Vec<Tenths>,
    now: Tenths,
}

impl Members {
    pub fn start(conditions: &Conditions, rng: &mut SeededRng, now: Tenths) -> Members {
        let routers = conditions.wall_clock_offsets.len();
        let member = |at: usize| {
            let primary = at.is_multiple_of(SET_SIZE);
            let lag = rng.in_range(5, 17) * MILLISECOND;
            Member {
                primary,
                running: true,
                lag,
                position: now - lag,
                was_primary: primary,
                replica_role_sent: vec![None; routers],
                ..Member::default()
            }
        };
        let all = (0..conditions.sets * SET_SIZE).map(member).collect();
        Members { all, log_end: vec![now; conditions.sets], now }
    }

    pub fn count(&self) -> usize {
        self.all.len()
    }

    pub fn of_set(set: usize) -> std::ops::Range<usize> {
        set * SET_SIZE..(set + 1) * SET_SIZE
    }

    pub fn primary_of(&self, set: usize) -> Option<usize> {
        Members::of_set(set).find(|member| self.all[*member].primary)
    }

    pub fn is_primary(&self, member: usize) -> bool {
        self.all[member].primary
    }

    pub fn is_running(&self, member: usize) -> bool {
        self.all[member].running
    }

    pub fn position(&self, member: usize) -> Tenths {
        self.all[member].position
    }

    /// How old a member's data is.
    pub fn age(&self, member: usize) -> Tenths {
        self.now - self.all[member].position
    }

    /// Sets the time and moves the members' positions forward.
    pub fn advance(&mut self, now: Tenths) {
        self.now = now;
        for set in 0..self.log_end.len() {
            if let Some(primary) = self.primary_of(set).filter(|member| self.all[*member].running) {
                self.all[primary].position = now;
                self.log_end[set] = now;
            }
            for member in &mut self.all[Members::of_set(set)] {
                if !member.primary && member.running && member.applies_from <= now {
                    member.position = member.position.max(self.log_end[set] - member.lag);
                }
            }
        }
    }

    pub fn suspend(&mut self, member: usize) {
        self.all[member].running = false;
    }

    pub fn resume(&mut self, member: usize) {
        self.all[member].running = true;
    }

    pub fn stop_applying(&mut self, member: usize, until: Tenths) {
        self.all[member].applies_from = until;
    }

    /// Demotes the member; it applies the log again from `applies_from` on.
    pub fn step_down(&mut self, member: usize, applies_from: Tenths) {
        let member = &mut self.all[member];
        member.primary = false;
        member.demoted_at = self.now;
        member.applies_from = applies_from;
        member.replica_role_sent.iter_mut().for_each(|sent| *sent = None);
    }

    /// Makes the running member with the highest position the primary, leaving out `except`.
    pub fn elect(&mut self, set: usize, except: usize) {
        let candidates = Members::of_set(set).filter(|member| *member != except && self.all[*member].running);
        let Some(chosen) = candidates.max_by_key(|member| self.all[*member].position) else { return };
        let member = &mut self.all[chosen];
        (member.primary, member.was_primary) = (true, true);
        self.advance(self.now);
    }

    /// Makes a report, which probes get from `available` on.
    pub fn make_report(&mut self, member: usize, available: Tenths) {
        let now = self.now;
        let member = &mut self.all[member];
        if member.running {
            let report = Report { primary: Some(member.primary), position: Some(member.position) };
            member.reports.push_back((available, now, report));
        }
    }

    /// The report that a probe of the member gets now, also while the member is suspended.
    pub fn report(&mut self, member: usize, router: usize) -> Report {
        let now = self.now;
        let member = &mut self.all[member];
        while member.reports.len() > 1 && member.reports[1].0 <= now {
            member.reports.pop_front();
        }
        let Some(&(available, made, report)) = member.reports.front() else { return Report::default() };
        if available > now {
            return Report::default();
        }
        if report.primary == Some(false) && made >= member.demoted_at {
            member.replica_role_sent[router].get_or_insert(now);
        }
        report
    }

    /// Records that the member writes an answer to a router now.
    pub fn record_answer(&mut self, member: usize, router: usize) {
        let now = self.now;
        let member = &mut self.all[member];
        if !member.primary {
            member.replica_role_sent[router].get_or_insert(now);
        }
    }

    /// The stale read, if a bounded read of the router that arrives now finds data that is too old.
    pub fn check_bounded_read(&self, member: usize, router: usize, bound: Tenths) -> Option<StaleRead> {
        self.aged_read(member, router, self.age(member)).filter(|stale| stale.age > bound + AGE_ALLOWANCE)
    }

    /// The same for a read that has to see everything up to the position `needs`, without any allowance.
    pub fn check_session_read(&self, member: usize, router: usize, needs: Tenths) -> Option<StaleRead> {
        self.aged_read(member, router, needs - self.all[member].position).filter(|stale| stale.age > 0)
    }

    /// A read of data this old, unless the member is the primary or the router may still take it for the
    /// primary.
    fn aged_read(&self, member: usize, router: usize, age: Tenths) -> Option<StaleRead> {
        let at = &self.all[member];
        let informed = at.replica_role_sent[router].is_some_and(|sent| sent + ROLE_NEWS_ALLOWANCE < self.now);
        let exempt = at.was_primary && !informed;
        let stale = StaleRead { member, age, arrived: self.now, was_primary: at.was_primary };
        (!at.primary && !exempt).then_some(stale)
    }
}

/// How long a hang lasts, and how long it takes to detect it and elect another primary.
pub fn random_hang(rng: &mut SeededRng) -> (Tenths, Tenths) {
    let duration = rng.in_range(SECOND, 7 * SECOND);
    (duration, rng.in_range(SECOND / 3, 2 * SECOND) + rng.in_range(SECOND / 3, 2 * SECOND))
}
