//! Counts what becomes of wishes and sends while a run goes on.

use crate::result::{Figures, MemberFigures, Percentiles, Second, Sends, SetFigures};
use crate::setup::Setup;
use hdrhistogram::Histogram;
use vetchkeel::Ending;
use vetchkeel_emulated::{Micros, SECOND};

/// How a wish ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    Throttled,
    Failed,
    Unanswered,
}

pub fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |part: f64| histogram.value_at_quantile(part) as f64 / 1e3;
    Percentiles {
        count: histogram.len(),
        mean: histogram.mean() / 1e3,
        p50: at(0.5),
        p75: at(0.75),
        p90: at(0.9),
        p95: at(0.95),
        p99: at(0.99),
        p999: at(0.999),
        most: histogram.max() as f64 / 1e3,
    }
}

/// A histogram of microseconds: three digits hold, up to a quarter of an hour.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 1_000_000_000, 3).expect("fixed bounds are right")
}

struct Group {
    figures: Figures,
    latency: Histogram<u64>,
    wanted: f64,
    earned: f64,
}

impl Group {
    fn new(name: &str) -> Group {
        let figures = Figures { name: name.to_owned(), ..Figures::default() };
        Group { figures, latency: histogram(), wanted: 0.0, earned: 0.0 }
    }

    fn figures(&self) -> Figures {
        let mut figures = self.figures.clone();
        figures.benefit = if self.wanted > 0.0 { self.earned / self.wanted } else { 1.0 };
        figures.latency_ms = percentiles(&self.latency);
        figures
    }
}

pub struct Tally {
    groups: Vec<Group>,
    all: Group,
    sets: Vec<SetFigures>,
    seconds: Vec<Second>,
    members: Vec<(MemberFigures, f64, f64)>,
    pub sends: Sends,
    /// Target, part of the benefit when late, and benefit of each command group.
    worth: Vec<(Micros, f64, f64)>,
}

impl Tally {
    pub fn new(setup: &Setup) -> Tally {
        let groups = &setup.plan.groups;
        Tally {
            groups: groups.iter().map(|g| Group::new(&g.name)).collect(),
            all: Group::new("all"),
            sets: vec![SetFigures::default(); setup.plan.sets.len()],
            seconds: vec![Second::default(); (setup.length / SECOND + 1) as usize],
            members: Vec::new(),
            sends: Sends::default(),
            worth: groups.iter().map(|g| (g.target, g.late_share, g.benefit)).collect(),
        }
    }

    /// A wish has ended that was first asked at `asked`.
    pub fn ended(&mut self, asked: Micros, now: Micros, group: usize, set: usize, outcome: Outcome) {
        let (target, late_share, benefit) = self.worth[group];
        let took = (now - asked).max(1) as u64;
        let in_target = outcome == Outcome::Answered && now - asked <= target;
        let second = &mut self.seconds[(asked / SECOND) as usize];
        second.asked += 1;
        self.sets[set].asked += 1;
        self.sets[set].in_target += in_target as u64;
        match outcome {
            Outcome::Answered if in_target => second.in_target += 1,
            Outcome::Answered => second.late += 1,
            Outcome::Throttled => second.throttled += 1,
            Outcome::Failed => second.failed += 1,
            Outcome::Unanswered => second.unanswered += 1,
        }
        for group in [&mut self.groups[group], &mut self.all] {
            let f = &mut group.figures;
            f.asked += 1;
            group.wanted += benefit;
            match outcome {
                Outcome::Answered => {
                    group.latency.saturating_record(took);
                    f.in_target += in_target as u64;
                    f.late += !in_target as u64;
                    group.earned += benefit * if in_target { 1.0 } else { late_share };
                }
                Outcome::Throttled => f.throttled += 1,
                Outcome::Failed => f.failed += 1,
                Outcome::Unanswered => f.unanswered += 1,
            }
        }
    }

    fn member(&mut self, node: usize, set: usize, strength: f64) -> &mut (MemberFigures, f64, f64) {
        let count = self.members.len().max(node + 1);
        self.members.resize_with(count, || (MemberFigures::default(), 0.0, 1.0));
        let member = &mut self.members[node];
        (member.0.set, member.2) = (set, strength);
        member
    }

    pub fn reached(&mut self, node: usize, set: usize, strength: f64) {
        self.member(node, set, strength).0.reached += 1;
    }

    pub fn ran(&mut self, node: usize, set: usize, strength: f64, work: f64) {
        let member = self.member(node, set, strength);
        member.0.ran += 1;
        member.1 += work;
    }

    pub fn dispatch_ended(&mut self, ending: Ending) {
        let s = &mut self.sends;
        let count = match ending {
            Ending::Answered => &mut s.answered,
            Ending::Miss => &mut s.miss,
            Ending::Full => &mut s.full,
            Ending::Error => &mut s.error,
            Ending::TimedOut => &mut s.timed_out,
            Ending::ConnectFailed => &mut s.connect_failed,
            Ending::Reset => &mut s.reset,
            Ending::NeverSent | Ending::NotDialled => &mut s.never_sent,
            Ending::CalledOff | Ending::TooOld => &mut s.called_off,
        };
        *count += 1;
    }

    pub fn all(&self) -> Figures {
        self.all.figures()
    }

    pub fn groups(&self) -> Vec<Figures> {
        self.groups.iter().map(Group::figures).collect()
    }

    pub fn sets(&self) -> Vec<SetFigures> {
        self.sets.clone()
    }

    pub fn seconds(&self, length: Micros) -> Vec<Second> {
        self.seconds[..length.div_euclid(SECOND).max(1) as usize].to_vec()
    }

    /// Each member's figures, with its work over what it could have done in `length`.
    pub fn members(&self, length: Micros) -> Vec<MemberFigures> {
        let busy = |(m, work, strength): &(MemberFigures, f64, f64)| {
            let busy = work / (strength * length.max(1) as f64);
            MemberFigures { busy, ..m.clone() }
        };
        self.members.iter().map(busy).collect()
    }
}
