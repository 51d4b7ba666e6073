//! Shares the time of a host's event loop among its clients, so that one that sends without pause keeps no other from its
//! answers. Each client may use a short time of each round at once; one that has more to do is postponed, and the
//! postponed ones share a time of their own in each round.

use std::collections::VecDeque;
use std::time::Duration;

/// The time of one round that postponed clients share, and the time after which all others take one step each.
const ROUND_TIME: Duration = Duration::from_millis(4);
/// The most that one client may use of a round.
const MAX_CLIENT_TIME: Duration = Duration::from_micros(500);
/// The steps that a client with an event may take whatever they cost, unless it was postponed in one of the last rounds: a
/// connection's first read, its opening, its first message, and a look whether there is more.
const FREE_STEPS: u32 = 4;
const ROUNDS_WITHOUT_FREE_STEPS: u64 = 32;
/// How long a host goes on writing output, or reading one connection, although other work is overdue.
const MIN_PROGRESS_TIME: Duration = Duration::from_millis(10);

/// What one client has used of the latest round in which it used any.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundUsage {
    round: u64,
    used: Duration,
    steps: u32,
    /// The last round in which it was postponed; 0 if it never was.
    postponed_in: u64,
}

/// Why a client is served in this round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Turn {
    /// Something has arrived for it, or it can be written to.
    #[default]
    Event,
    /// It was postponed in a round before, `again` if more than once.
    Postponed { again: bool },
}

/// The shares of one round, and the clients that wait for a later one.
#[derive(Debug)]
pub struct FairShare<K> {
    round: u64,
    turn: Turn,
    /// The time used by clients with an event, and by postponed ones.
    used_by_events: Duration,
    used_by_postponed: Duration,
    /// The part of each postponed client in this round.
    share_of_postponed: Duration,
    /// Clients that were postponed for the first time. They go before those that have more than their share all the time.
    new: VecDeque<K>,
    postponed_again: VecDeque<K>,
    /// How many of `postponed_again` are still to be served in this round, and whether one was.
    left_of_postponed_again: usize,
    served_postponed_again: bool,
    /// How often a client was postponed.
    postponements: u64,
}

impl<K> Default for FairShare<K> {
    fn default() -> FairShare<K> {
        FairShare {
            round: 0,
            turn: Turn::Event,
            used_by_events: Duration::ZERO,
            used_by_postponed: Duration::ZERO,
            share_of_postponed: MAX_CLIENT_TIME,
            new: VecDeque::new(),
            postponed_again: VecDeque::new(),
            left_of_postponed_again: 0,
            served_postponed_again: false,
            postponements: 0,
        }
    }
}

impl<K> FairShare<K> {
    /// A round begins: all shares are new.
    pub fn begin_round(&mut self) {
        let postponed = self.waiting().max(1) as u32;
        self.round += 1;
        (self.used_by_events, self.used_by_postponed) = (Duration::ZERO, Duration::ZERO);
        self.share_of_postponed = (ROUND_TIME / postponed).min(MAX_CLIENT_TIME);
        (self.left_of_postponed_again, self.served_postponed_again) = (self.postponed_again.len(), false);
    }

    /// The next postponed client to serve in this round; None once their time is used up. One that is always postponed is
    /// served in each round, so that none waits for ever.
    pub fn next_postponed(&mut self) -> Option<K> {
        let has_time = self.used_by_postponed < ROUND_TIME;
        if has_time && let Some(key) = self.new.pop_front() {
            self.turn = Turn::Postponed { again: false };
            return Some(key);
        }
        let may_serve = has_time || !self.served_postponed_again;
        if may_serve && self.left_of_postponed_again > 0 {
            self.left_of_postponed_again -= 1;
            self.served_postponed_again = true;
            self.turn = Turn::Postponed { again: true };
            return self.postponed_again.pop_front();
        }
        self.turn = Turn::Event;
        None
    }

    /// A client has spent this time on one step. False if it has used up its share of this round: the host postpones it.
    pub fn charge(&mut self, usage: &mut RoundUsage, spent: Duration) -> bool {
        if usage.round != self.round {
            (usage.round, usage.used, usage.steps) = (self.round, Duration::ZERO, 0);
        }
        usage.used += spent;
        usage.steps += 1;
        let may_go_on = match self.turn {
            Turn::Event => {
                self.used_by_events += spent;
                let has_share = usage.used < MAX_CLIENT_TIME && self.used_by_events < ROUND_TIME;
                has_share || self.has_free_steps(usage)
            }
            Turn::Postponed { .. } => {
                self.used_by_postponed += spent;
                usage.used < self.share_of_postponed
            }
        };
        if !may_go_on {
            usage.postponed_in = self.round;
        }
        may_go_on
    }

    fn has_free_steps(&self, usage: &RoundUsage) -> bool {
        let was_postponed =
            usage.postponed_in > 0 && self.round - usage.postponed_in < ROUNDS_WITHOUT_FREE_STEPS;
        usage.steps < FREE_STEPS && !was_postponed
    }

    /// Adds a client that has used up its share and has more to do; the host adds each one only once.
    pub fn postpone(&mut self, key: K) {
        self.postponements += 1;
        match self.turn {
            Turn::Event => self.new.push_back(key),
            Turn::Postponed { .. } => self.postponed_again.push_back(key),
        }
    }

    /// How many clients wait for a later round.
    pub fn waiting(&self) -> usize {
        self.new.len() + self.postponed_again.len()
    }

    /// Whether clients wait for a later round.
    pub fn has_postponed(&self) -> bool {
        self.waiting() > 0
    }

    /// How often a client was postponed so far.
    pub fn postponements(&self) -> u64 {
        self.postponements
    }
}

/// Whether the host goes on with output, or with one connection's input, on which it has spent this time without a pause.
/// Danger: where it stopped as soon as anything else is overdue, it would do one step a round beside a steady load, and fall
/// behind without end.
pub fn may_continue(spent: Duration, is_behind: bool) -> bool {
    spent < MIN_PROGRESS_TIME || !is_behind
}

#[cfg(test)]
mod tests;
