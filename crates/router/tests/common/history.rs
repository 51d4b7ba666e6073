//! The course of one simulated member: its replication position over time, and which routers have received an answer with its
//! replica role. It decides whether a read violates its freshness requirement, by the rules of the operators' protocol page.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The protocol page allows a bound to be exceeded by `AGE_SLACK`, and gives a router `ROLE_DELIVERY_SLACK` to receive the role
/// that an answer carries.
const AGE_SLACK: Duration = Duration::from_millis(50);
const ROLE_DELIVERY_SLACK: Duration = Duration::from_millis(100);

/// Arrival times come from the kernel's tick clock and may be too early by up to one tick.
const TICK: Duration = Duration::from_millis(10);

/// The data that a read is required to see.
#[derive(Clone, Copy, Debug)]
pub enum Need {
    /// Data that is no older than this.
    MaxAge(Duration),
    /// Everything that was committed up to this time.
    CommittedBy(Instant),
}

/// A span of time; `to` is `None` while the span still lasts.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: Instant,
    to: Option<Instant>,
}

impl Span {
    fn contains(&self, at: Instant) -> bool {
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

/// The roles, pauses and announced roles of one member over time.
pub struct History {
    /// Replication lag while the member is a replica that applies changes.
    lag: Duration,
    /// When the member was the primary, and when it applied no changes.
    primary_spans: Vec<Span>,
    pauses: Vec<Span>,
    /// When each router first received an answer with the replica role since the member was last the primary.
    replica_role_received: BTreeMap<usize, Instant>,
}

impl History {
    pub fn new(lag: Duration) -> History {
        History { lag, primary_spans: Vec::new(), pauses: Vec::new(), replica_role_received: BTreeMap::new() }
    }

    /// Makes the member the primary and ends any pause.
    pub fn become_primary(&mut self, now: Instant) {
        end(&mut self.pauses, now);
        begin(&mut self.primary_spans, now);
    }

    /// Makes the member a replica.
    pub fn step_down(&mut self, now: Instant) {
        end(&mut self.primary_spans, now);
        self.replica_role_received.clear();
    }

    /// Stops applying changes.
    pub fn pause(&mut self, now: Instant) {
        begin(&mut self.pauses, now);
    }

    pub fn resume(&mut self, now: Instant) {
        end(&mut self.pauses, now);
    }

    pub fn is_primary(&self, at: Instant) -> bool {
        self.primary_spans.iter().any(|span| span.contains(at))
    }

    /// The time up to which the member has applied all changes. It keeps what it had as the primary.
    pub fn position(&self, at: Instant) -> Instant {
        if self.is_primary(at) {
            return at;
        }
        let pause = self.pauses.iter().find(|pause| pause.contains(at));
        let applied = pause.map_or(at, |pause| pause.from) - self.lag;
        let last_step_down =
            self.primary_spans.iter().filter_map(|span| span.to).filter(|to| *to <= at).max();
        last_step_down.map_or(applied, |to| applied.max(to))
    }

    /// Records that a router received an answer with the replica role, computed at `computed_at`. An answer from before the
    /// end of the member's last time as the primary is ignored: it proves nothing about the role since then.
    pub fn replica_role_sent(&mut self, router: usize, computed_at: Instant, delivered_at: Instant) {
        let last_step_down = self.primary_spans.last().and_then(|span| span.to);
        if last_step_down.is_some_and(|to| computed_at >= to) {
            self.replica_role_received.entry(router).or_insert(delivered_at);
        }
    }

    /// The age of the data for a read of `router` that arrived at `at`, if it violates `need`.
    pub fn stale(&self, router: usize, at: Instant, need: Need) -> Option<Duration> {
        let position = self.position(at);
        let is_stale = match need {
            Need::MaxAge(bound) => at > self.position(at + TICK) + bound + AGE_SLACK,
            Need::CommittedBy(commit) => !self.is_primary(at) && self.position(at + TICK) < commit,
        };
        let was_primary = self.primary_spans.iter().any(|span| span.from <= at);
        let replica_known = self
            .replica_role_received
            .get(&router)
            .is_some_and(|received| at > *received + ROLE_DELIVERY_SLACK);
        (is_stale && (replica_known || !was_primary)).then_some(at - position)
    }
}
