//! What a member had applied when, and what it had told which router of its role: the judge of reads that must see new
//! data, as the operators' protocol page has it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What the page grants over a bound, and how long what an answer tells may be on its way to the router.
const AGE_SLACK: Duration = Duration::from_millis(50);
const NEWS_SLACK: Duration = Duration::from_millis(100);

/// An arrival is dated by the system's clock of ticks, and may be that much too early.
const TICK: Duration = Duration::from_millis(10);

/// Which data a read has to see.
#[derive(Clone, Copy, Debug)]
pub enum Need {
    /// No older than this.
    Within(Duration),
    /// All that was committed by then.
    UpTo(Instant),
}

/// From when until when; open at the end as long as it lasts.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: Instant,
    to: Option<Instant>,
}

impl Span {
    fn holds(&self, at: Instant) -> bool {
        self.from <= at && self.to.is_none_or(|to| at < to)
    }
}

fn begin(spans: &mut Vec<Span>, from: Instant) {
    if spans.last().is_none_or(|last| last.to.is_some()) {
        spans.push(Span { from, to: None });
    }
}

fn end(spans: &mut [Span], at: Instant) {
    spans.iter_mut().filter(|span| span.to.is_none()).for_each(|span| span.to = Some(at));
}

/// One member's course.
pub struct History {
    /// How far behind it is as a replica that applies.
    lag: Duration,
    /// When it was the primary, and when it did not apply.
    reigns: Vec<Span>,
    pauses: Vec<Span>,
    /// When each router was first handed an answer that calls it a replica, since it was the primary.
    told_replica: BTreeMap<usize, Instant>,
}

impl History {
    pub fn new(lag: Duration) -> History {
        History { lag, reigns: Vec::new(), pauses: Vec::new(), told_replica: BTreeMap::new() }
    }

    /// It is the primary from now on, and applies.
    pub fn begin_reign(&mut self, now: Instant) {
        end(&mut self.pauses, now);
        begin(&mut self.reigns, now);
    }

    /// It is a replica from now on.
    pub fn end_reign(&mut self, now: Instant) {
        end(&mut self.reigns, now);
        self.told_replica.clear();
    }

    /// It applies nothing from now on.
    pub fn pause(&mut self, now: Instant) {
        begin(&mut self.pauses, now);
    }

    pub fn go_on(&mut self, now: Instant) {
        end(&mut self.pauses, now);
    }

    pub fn is_primary(&self, at: Instant) -> bool {
        self.reigns.iter().any(|reign| reign.holds(at))
    }

    /// Up to when it has applied all. What it had as the primary it keeps.
    pub fn position(&self, at: Instant) -> Instant {
        if self.is_primary(at) {
            return at;
        }
        let pause = self.pauses.iter().find(|pause| pause.holds(at));
        let applied = pause.map_or(at, |pause| pause.from) - self.lag;
        let reigned = self.reigns.iter().filter_map(|reign| reign.to).filter(|to| *to <= at).max();
        reigned.map_or(applied, |to| applied.max(to))
    }

    /// A router is handed an answer that calls it a replica, worked out at `worked_out`. What was worked out before it
    /// was the primary last tells nothing of the time since.
    pub fn tells_replica(&mut self, router: usize, worked_out: Instant, handed: Instant) {
        let reign = self.reigns.last().and_then(|reign| reign.to);
        if reign.is_some_and(|to| worked_out >= to) {
            self.told_replica.entry(router).or_insert(handed);
        }
    }

    /// How old its data was for a router's read that came then, if that breaks the rule.
    pub fn stale(&self, router: usize, at: Instant, need: Need) -> Option<Duration> {
        let position = self.position(at);
        let lacks = match need {
            Need::Within(bound) => at > self.position(at + TICK) + bound + AGE_SLACK,
            Need::UpTo(commit) => !self.is_primary(at) && self.position(at + TICK) < commit,
        };
        let reigned = self.reigns.iter().any(|reign| reign.from <= at);
        let told = self.told_replica.get(&router).is_some_and(|told| at > *told + NEWS_SLACK);
        (lacks && (told || !reigned)).then_some(at - position)
    }
}
