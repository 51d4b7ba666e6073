//! Decides when a connection to a member may carry its next statement. A member may send more than one answer to a statement,
//! and a second one may arrive at any later time; behind the next statement it would be taken for that statement's answer.
//! Only the order of messages excludes this. So after each answer the host writes a barrier, an empty query: its answer
//! differs from that of any statement, and everything that the member sent before has then arrived. Some members don't
//! answer an empty query. This is found out with one connection at a time, and the connections to such a member wait for a
//! time instead.

use crate::interface::Tenths;

/// The shortest and the longest wait at a member that doesn't answer barriers.
const MIN_WAIT: Tenths = 10;
const MAX_WAIT: Tenths = 2_500;
/// How long the first barrier at a member may stay unanswered before the member counts as one that doesn't answer barriers,
/// and for how long it does.
const TRIAL_TIMEOUT: Tenths = 10_000;
const RETRY_TRIAL_AFTER: Tenths = 100_000;
/// Consecutive barriers that may stay unanswered at a member that has answered one before.
const MAX_UNANSWERED: u32 = 8;
/// The length of the two periods whose longest exchange and longest round trip count.
const PERIOD: Tenths = 20_000;

/// What a connection whose answer has just arrived needs before it may be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextUse {
    /// A barrier has to be written now and answered.
    AfterBarrier,
    /// It may be used from this time on.
    From(Tenths),
}

/// Whether a member answers barriers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Support {
    #[default]
    Unknown,
    /// A barrier that finds it out was written at this time. `is_first` unless an earlier one stayed unanswered.
    OnTrial {
        since: Tenths,
        is_first: bool,
    },
    Answers {
        unanswered: u32,
    },
    /// It counts as a member without support until this time.
    None {
        until: Tenths,
    },
}

/// What is known about the connections to one member.
#[derive(Debug, Default)]
pub struct ConnectionReuse {
    support: Support,
    longest_exchange: RecentMaximum,
    /// From writing a barrier to its answer.
    longest_round_trip: RecentMaximum,
}

impl ConnectionReuse {
    /// An answer has ended, `took` after its statement was written.
    pub fn answer_ended(&mut self, now: Tenths, took: Tenths) -> NextUse {
        self.longest_exchange.add(now, took);
        self.end_overdue(now);
        match self.support {
            Support::Unknown => {
                self.support = Support::OnTrial { since: now, is_first: true };
                NextUse::AfterBarrier
            }
            Support::None { until } if until <= now => {
                self.support = Support::OnTrial { since: now, is_first: false };
                NextUse::AfterBarrier
            }
            Support::Answers { .. } => NextUse::AfterBarrier,
            // Few exchanges are known yet, and the trial is short at a member that answers.
            Support::OnTrial { is_first: true, .. } => NextUse::From(now + MAX_WAIT),
            Support::OnTrial { .. } | Support::None { .. } => NextUse::From(now + self.wait()),
        }
    }

    /// A barrier was answered, `took` after it was written.
    pub fn barrier_answered(&mut self, now: Tenths, took: Tenths) {
        self.longest_round_trip.add(now, took);
        self.support = Support::Answers { unanswered: 0 };
    }

    /// Whether a statement had better wait for the answer to a barrier that was written `age` ago than for a new connection,
    /// which takes two round trips and work of the member.
    pub fn is_worth_waiting(&self, age: Tenths) -> bool {
        let usual = self.longest_round_trip.get().max(MIN_WAIT);
        matches!(self.support, Support::Answers { .. }) && age <= 2 * usual
    }

    /// The member closed a connection instead of answering the barrier on it, or kept it for as long as connections are kept.
    pub fn barrier_unanswered(&mut self, now: Tenths) {
        self.support = match self.support {
            Support::OnTrial { .. } => Support::None { until: now + RETRY_TRIAL_AFTER },
            Support::Answers { unanswered } if unanswered + 1 == MAX_UNANSWERED => Support::Unknown,
            Support::Answers { unanswered } => Support::Answers { unanswered: unanswered + 1 },
            other => other,
        };
    }

    /// The connection was closed for a reason that tells nothing about the barrier on it.
    pub fn barrier_abandoned(&mut self) {
        if matches!(self.support, Support::OnTrial { .. }) {
            self.support = Support::Unknown;
        }
    }

    fn end_overdue(&mut self, now: Tenths) {
        if matches!(self.support, Support::OnTrial { since, .. } if now - since >= TRIAL_TIMEOUT) {
            self.barrier_unanswered(now);
        }
    }

    /// The way back takes no longer than a whole exchange, and what follows an answer directly is hardly later than that.
    fn wait(&self) -> Tenths {
        self.longest_exchange.get().clamp(MIN_WAIT, MAX_WAIT)
    }
}

/// The largest value of the current and the previous period.
#[derive(Debug, Default)]
struct RecentMaximum {
    period: Tenths,
    current: Tenths,
    previous: Tenths,
}

impl RecentMaximum {
    fn add(&mut self, now: Tenths, value: Tenths) {
        let period = now / PERIOD;
        if period != self.period {
            self.previous = if period == self.period + 1 { self.current } else { 0 };
            (self.period, self.current) = (period, 0);
        }
        self.current = self.current.max(value);
    }

    fn get(&self) -> Tenths {
        self.current.max(self.previous)
    }
}

#[cfg(test)]
mod tests;
