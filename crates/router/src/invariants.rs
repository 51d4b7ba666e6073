//! Run-time checks of the router's invariants, independent of the decision module: each write, answer and close is
//! compared with records kept here. A violation is counted and logged but changes nothing.

use crate::reasons::Tally;
use std::collections::BTreeMap;
use vetchkeel::{Ending, Id, SettingValues, Tenths};

/// Tolerances from the operators' documentation: between reading the clock and a write (`CLOCK_SLACK`), for the time
/// limit told to a member (`LIMIT_SLACK`), and for a late answer (`MAX_LATENESS`).
const CLOCK_SLACK: Tenths = 500;
const LIMIT_SLACK: Tenths = 1_500;
const MAX_LATENESS: Tenths = 5_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt begins while another one of the command is in flight.
    SecondCopy,
    /// An attempt begins although an earlier one may have run and the command must not run again.
    EffectTwice,
    /// An attempt begins for a client that has left.
    ClientLeft,
    /// An attempt begins at a draining member after its grace period.
    Draining,
    /// An attempt carries a time limit beyond its client's deadline.
    TooLong,
    /// A final answer is sent more than half a second after its client's deadline. The time spent on the command before on
    /// its connection does not count.
    Late,
    /// A final answer that was ready in time is written more than half a second after its client's deadline.
    WrittenLate,
    /// The router closes a client's connection whose command is unanswered.
    ClosedOwed,
    /// The process ends with a command unanswered.
    EndedOwed,
    /// The bytes counted as held for clients differ from those in the tables.
    BytesUnaccounted,
}

/// Whether a command may run again, by its command group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Free,
    /// Within this time after the first attempt that may have run.
    Within(Tenths),
    Never,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    InFlight,
    NeverRan,
    MayHaveRun,
}

/// The attempts of one command whose writing has begun.
#[derive(Debug)]
pub struct History {
    repeat: Repeat,
    /// Until when the client waits, counted from the arrival of its command.
    deadline: Tenths,
    /// The same, counted from the answer to the command before on its connection, if that is later.
    answer_by: Tenths,
    attempts: Vec<(u32, Tenths, AttemptState)>,
}

/// An attempt whose first byte is about to be written.
pub struct AttemptStart<'a> {
    pub number: u32,
    pub node: &'a Id,
    /// The time limit as told to the member: until when the router waits.
    pub limit_at: Tenths,
    pub has_client: bool,
}

/// A final answer that waits to be written.
#[derive(Clone, Debug)]
pub struct QueuedAnswer {
    pub command: Id,
    pub queued_at: Tenths,
    /// Until when the command's client waits.
    answer_by: Tenths,
}

#[derive(Debug, Default)]
pub struct Invariants {
    repeats: BTreeMap<String, Repeat>,
    grace: Tenths,
    /// The members that are draining or removed, and since when this is known.
    draining: BTreeMap<Id, Tenths>,
    pub violations: Tally<Violation>,
}

impl Invariants {
    pub fn new(settings: &SettingValues) -> Invariants {
        let mut invariants = Invariants::default();
        invariants.reconfigure(settings);
        invariants
    }

    pub fn reconfigure(&mut self, settings: &SettingValues) {
        let text = |name: &str| settings.get(name).map(String::as_str);
        let tenths = |name: &str, or: f64| {
            (text(name).and_then(|v| v.parse::<f64>().ok()).unwrap_or(or) * 10.0) as Tenths
        };
        self.grace = tenths("rules.drain_grace_ms", 500.0);
        self.repeats.clear();
        for at in 0.. {
            let Some(name) = text(&format!("request_classes.{at}.name")) else { break };
            let repeat = match text(&format!("request_classes.{at}.semantics")) {
                Some("pure") => Repeat::Free,
                Some("token") => Repeat::Within(tenths(&format!("request_classes.{at}.window_ms"), 0.0)),
                _ => Repeat::Never,
            };
            self.repeats.insert(name.to_owned(), repeat);
        }
    }

    /// Starts the history of a command whose client waits until `deadline`, or until `answer_by` if the time spent on the
    /// command before it does not count.
    pub fn start_history(&self, group: &str, deadline: Tenths, answer_by: Tenths) -> History {
        let repeat = self.repeats.get(group).copied().unwrap_or(Repeat::Never);
        History { repeat, deadline, answer_by: answer_by.max(deadline), attempts: Vec::new() }
    }

    /// Records a member of the list and whether it is draining or removed.
    pub fn update_member(&mut self, now: Tenths, node: &Id, is_draining: bool) {
        if is_draining {
            self.draining.entry(node.clone()).or_insert(now);
        } else {
            self.draining.remove(node);
        }
    }

    /// Removes a member that is no longer known.
    pub fn remove_member(&mut self, node: &Id) {
        self.draining.remove(node);
    }

    /// Records an attempt whose first byte is about to be written and returns the invariants that this violates.
    pub fn check_attempt(
        &mut self,
        now: Tenths,
        history: &mut History,
        attempt: &AttemptStart,
    ) -> Vec<Violation> {
        let earlier = || history.attempts.iter().filter(|(number, ..)| *number != attempt.number);
        let may_have_run = |&&(_, _, state): &&(u32, Tenths, AttemptState)| state != AttemptState::NeverRan;
        let first = earlier().filter(may_have_run).map(|(_, at, _)| *at).min();
        let repeats_effect = first.is_some_and(|at| match history.repeat {
            Repeat::Free => false,
            Repeat::Within(window) => now > at + window,
            Repeat::Never => true,
        });
        let past_drain_grace =
            self.draining.get(attempt.node).is_some_and(|since| now > since + self.grace + CLOCK_SLACK);
        let found = [
            (earlier().any(|(.., state)| *state == AttemptState::InFlight), Violation::SecondCopy),
            (repeats_effect, Violation::EffectTwice),
            (!attempt.has_client, Violation::ClientLeft),
            (past_drain_grace, Violation::Draining),
            (attempt.limit_at > history.deadline + LIMIT_SLACK, Violation::TooLong),
        ];
        history.attempts.push((attempt.number, now, AttemptState::InFlight));
        let found: Vec<Violation> = found.into_iter().filter(|(is, _)| *is).map(|(_, what)| what).collect();
        found.iter().for_each(|violation| self.violations.add(*violation));
        found
    }

    /// Checks a final answer that is about to be written.
    pub fn check_answer(&mut self, now: Tenths, history: &History) -> Option<Violation> {
        let late = now > history.answer_by + MAX_LATENESS;
        late.then(|| {
            self.violations.add(Violation::Late);
            Violation::Late
        })
    }

    /// Checks a final answer right after the first attempt to write it.
    pub fn check_written(&mut self, now: Tenths, answer: &QueuedAnswer) -> Option<Violation> {
        let latest = answer.answer_by + MAX_LATENESS;
        let late = answer.queued_at <= latest && latest < now;
        late.then(|| {
            self.violations.add(Violation::WrittenLate);
            Violation::WrittenLate
        })
    }
}

impl History {
    /// The command's final answer, which is queued now.
    pub fn queued_answer(&self, command: Id, queued_at: Tenths) -> QueuedAnswer {
        QueuedAnswer { command, queued_at, answer_by: self.answer_by }
    }

    pub fn ended(&mut self, number: u32, ending: Ending) {
        use Ending::*;
        let never_ran = matches!(ending, Full | Miss | ConnectFailed | NeverSent | NotDialled);
        let state = if never_ran { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        self.attempts.iter_mut().filter(|(n, ..)| *n == number).for_each(|attempt| attempt.2 = state);
    }
}

#[cfg(test)]
mod tests;
