//! Sets of members that copy one log: who is the primary, who applies, what each tells, and the judge of reads that must
//! see new data, as the operators' pages have it. Time is told; the members' clock is the time of the play.

use super::conditions::{Conditions, MILLISECOND, SECOND};
use super::draw::Draw;
use std::collections::VecDeque;
use std::fmt;
use vetchkeel::{Report, Tenths};

pub const SET_SIZE: usize = 3;
/// What the protocol page grants over a bound, and how long what an answer tells may be on its way.
const AGE_SLACK: Tenths = 50 * MILLISECOND;
const NEWS_SLACK: Tenths = 100 * MILLISECOND;

/// A read whose data were too old when its last byte came.
#[derive(Clone, Copy, Debug)]
pub struct Stale {
    pub member: usize,
    pub age: Tenths,
    pub arrived: Tenths,
    pub was_primary: bool,
}

impl fmt::Display for Stale {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Stale { member, age, arrived, was_primary } = self;
        let age = age / MILLISECOND;
        write!(f, "member {member} had data {age} ms old at {arrived}, was a primary: {was_primary}")
    }
}

#[derive(Clone, Debug, Default)]
struct Member {
    primary: bool,
    /// It works, and what it tells is new.
    runs: bool,
    applies_from: Tenths,
    lag: Tenths,
    position: Tenths,
    was_primary: bool,
    reign_ended: Tenths,
    /// When it first wrote to each router, since its last reign, that it is a replica.
    told_replica: Vec<Option<Tenths>>,
    /// Reports by the time from which they are handed on, with the time at which they were made.
    reports: VecDeque<(Tenths, Tenths, Report)>,
}

pub struct Members {
    all: Vec<Member>,
    /// Up to when each set's log reaches while its primary is not there.
    log_ends: Vec<Tenths>,
    now: Tenths,
}

impl Members {
    pub fn start(conditions: &Conditions, draw: &mut Draw, now: Tenths) -> Members {
        let routers = conditions.wall_clocks.len();
        let member = |at: usize| {
            let primary = at.is_multiple_of(SET_SIZE);
            let lag = draw.up_to(5, 17) * MILLISECOND;
            Member {
                primary,
                runs: true,
                lag,
                position: now - lag,
                was_primary: primary,
                told_replica: vec![None; routers],
                ..Member::default()
            }
        };
        let all = (0..conditions.sets * SET_SIZE).map(member).collect();
        Members { all, log_ends: vec![now; conditions.sets], now }
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

    pub fn runs(&self, member: usize) -> bool {
        self.all[member].runs
    }

    pub fn position(&self, member: usize) -> Tenths {
        self.all[member].position
    }

    /// How old a member's data are.
    pub fn age(&self, member: usize) -> Tenths {
        self.now - self.all[member].position
    }

    /// Positions go on up to now.
    pub fn advance(&mut self, now: Tenths) {
        self.now = now;
        for set in 0..self.log_ends.len() {
            if let Some(primary) = self.primary_of(set).filter(|member| self.all[*member].runs) {
                self.all[primary].position = now;
                self.log_ends[set] = now;
            }
            for member in &mut self.all[Members::of_set(set)] {
                if !member.primary && member.runs && member.applies_from <= now {
                    member.position = member.position.max(self.log_ends[set] - member.lag);
                }
            }
        }
    }

    pub fn stop(&mut self, member: usize) {
        self.all[member].runs = false;
    }

    pub fn go_on(&mut self, member: usize) {
        self.all[member].runs = true;
    }

    pub fn stop_applying(&mut self, member: usize, until: Tenths) {
        self.all[member].applies_from = until;
    }

    /// It is a replica from now on, and applies again at `applies_from`.
    pub fn step_down(&mut self, member: usize, applies_from: Tenths) {
        let member = &mut self.all[member];
        member.primary = false;
        member.reign_ended = self.now;
        member.applies_from = applies_from;
        member.told_replica.iter_mut().for_each(|told| *told = None);
    }

    /// The replica of the set that runs and has most of the log takes over; `except` does not.
    pub fn elect(&mut self, set: usize, except: usize) {
        let candidates = Members::of_set(set).filter(|member| *member != except && self.all[*member].runs);
        let Some(chosen) = candidates.max_by_key(|member| self.all[*member].position) else { return };
        let member = &mut self.all[chosen];
        (member.primary, member.was_primary) = (true, true);
        self.advance(self.now);
    }

    /// A report is made, and handed on from `available` on.
    pub fn make_report(&mut self, member: usize, available: Tenths) {
        let now = self.now;
        let member = &mut self.all[member];
        if member.runs {
            let report = Report { primary: Some(member.primary), position: Some(member.position) };
            member.reports.push_back((available, now, report));
        }
    }

    /// What a probe that reaches it now is answered with, whether it works or not.
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
        if report.primary == Some(false) && made >= member.reign_ended {
            member.told_replica[router].get_or_insert(now);
        }
        report
    }

    /// An answer is written to a router now.
    pub fn answers(&mut self, member: usize, router: usize) {
        let now = self.now;
        let member = &mut self.all[member];
        if !member.primary {
            member.told_replica[router].get_or_insert(now);
        }
    }

    /// Whether a router's read that comes now may not see what the member has.
    pub fn judge(&self, member: usize, router: usize, bound: Tenths) -> Option<Stale> {
        self.stale(member, router, self.age(member)).filter(|stale| stale.age > bound + AGE_SLACK)
    }

    /// The same of a read that must see all up to this position, to the moment.
    pub fn judge_session(&self, member: usize, router: usize, needs: Tenths) -> Option<Stale> {
        self.stale(member, router, needs - self.all[member].position).filter(|stale| stale.age > 0)
    }

    /// What is too old by this much, unless it is the primary's, or of one that may be taken for the primary.
    fn stale(&self, member: usize, router: usize, age: Tenths) -> Option<Stale> {
        let at = &self.all[member];
        let told = at.told_replica[router].is_some_and(|told| told + NEWS_SLACK < self.now);
        let excused = at.was_primary && !told;
        let stale = Stale { member, age, arrived: self.now, was_primary: at.was_primary };
        (!at.primary && !excused).then_some(stale)
    }
}

/// How long a hang lasts, how soon it is seen, and how soon another is elected.
pub fn hang(draw: &mut Draw) -> (Tenths, Tenths) {
    let lasts = draw.up_to(SECOND, 7 * SECOND);
    (lasts, draw.up_to(SECOND / 3, 2 * SECOND) + draw.up_to(SECOND / 3, 2 * SECOND))
}
