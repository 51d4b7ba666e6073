//! The rules, checked at run time beside the decisions: what is about to be written, answered or closed is compared with
//! what this process has seen, by books of its own. A violation is counted, logged and changes nothing.

use crate::reasons::Tally;
use std::collections::BTreeMap;
use vetchkeel::{Ending, Id, Tenths, Told};

/// What the operators' pages grant between a clock that is read and a write, and at the answer's end.
const SLACK: Tenths = 500;
const TOLD_SLACK: Tenths = 1_500;
const LATE_MOST: Tenths = 5_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An attempt begins while another of the command is out.
    SecondCopy,
    /// An attempt begins though an earlier one may have run and the command may not run again.
    EffectTwice,
    /// An attempt begins for a client that has left.
    ClientLeft,
    /// An attempt begins at a member that was told to drain, past its grace.
    Draining,
    /// An attempt tells more time than its client has left.
    TooLong,
    /// A final answer comes more than half a second after its client's time.
    Late,
    /// A client's connection is closed by this side with its command unanswered.
    ClosedOwed,
    /// The process ends with a command unanswered.
    EndedOwed,
}

/// What a command's group says of running it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Free,
    Within(Tenths),
    Never,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Out,
    Untouched,
    MayHaveRun,
}

/// The attempts of one command that were begun to be written.
#[derive(Debug)]
pub struct History {
    repeat: Repeat,
    deadline: Tenths,
    attempts: Vec<(u32, Tenths, Fate)>,
}

/// An attempt whose first byte is about to be written.
pub struct Begun<'a> {
    pub number: u32,
    pub node: &'a Id,
    /// Until when its router waits, as the member is told.
    pub limit_at: Tenths,
    pub has_client: bool,
}

#[derive(Debug, Default)]
pub struct Invariants {
    repeats: BTreeMap<String, Repeat>,
    grace: Tenths,
    /// Since when members are known to drain or to be gone.
    draining: BTreeMap<Id, Tenths>,
    pub violations: Tally<Violation>,
}

impl Invariants {
    pub fn new(told: &Told) -> Invariants {
        let mut invariants = Invariants::default();
        invariants.reconfigure(told);
        invariants
    }

    pub fn reconfigure(&mut self, told: &Told) {
        let text = |name: &str| told.get(name).map(String::as_str);
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

    /// A command is taken, whose client waits until then.
    pub fn taken(&self, group: &str, deadline: Tenths) -> History {
        let repeat = self.repeats.get(group).copied().unwrap_or(Repeat::Never);
        History { repeat, deadline, attempts: Vec::new() }
    }

    /// The list names a member.
    pub fn listed(&mut self, now: Tenths, node: &Id, shut: bool) {
        if shut {
            self.draining.entry(node.clone()).or_insert(now);
        } else {
            self.draining.remove(node);
        }
    }

    /// A member is known no more.
    pub fn forgotten(&mut self, node: &Id) {
        self.draining.remove(node);
    }

    /// An attempt's first byte is about to be written; the violations of that.
    pub fn begins(&mut self, now: Tenths, history: &mut History, attempt: &Begun) -> Vec<Violation> {
        let earlier = || history.attempts.iter().filter(|(number, ..)| *number != attempt.number);
        let may_have_run = |&&(_, _, fate): &&(u32, Tenths, Fate)| fate != Fate::Untouched;
        let first = earlier().filter(may_have_run).map(|(_, at, _)| *at).min();
        let twice = first.is_some_and(|at| match history.repeat {
            Repeat::Free => false,
            Repeat::Within(window) => now > at + window,
            Repeat::Never => true,
        });
        let shut = self.draining.get(attempt.node).is_some_and(|since| now > since + self.grace + SLACK);
        let found = [
            (earlier().any(|(.., fate)| *fate == Fate::Out), Violation::SecondCopy),
            (twice, Violation::EffectTwice),
            (!attempt.has_client, Violation::ClientLeft),
            (shut, Violation::Draining),
            (attempt.limit_at > history.deadline + TOLD_SLACK, Violation::TooLong),
        ];
        history.attempts.push((attempt.number, now, Fate::Out));
        let found: Vec<Violation> = found.into_iter().filter(|(is, _)| *is).map(|(_, what)| what).collect();
        found.iter().for_each(|violation| self.violations.add(*violation));
        found
    }

    /// A final answer is about to be written.
    pub fn answers(&mut self, now: Tenths, history: &History) -> Option<Violation> {
        let late = now > history.deadline + LATE_MOST;
        late.then(|| {
            self.violations.add(Violation::Late);
            Violation::Late
        })
    }
}

impl History {
    pub fn ended(&mut self, number: u32, ending: Ending) {
        use Ending::*;
        let untouched = matches!(ending, Full | Miss | ConnectFailed | NeverSent | NotDialled);
        let fate = if untouched { Fate::Untouched } else { Fate::MayHaveRun };
        self.attempts.iter_mut().filter(|(n, ..)| *n == number).for_each(|attempt| attempt.2 = fate);
    }
}

#[cfg(test)]
mod tests;
