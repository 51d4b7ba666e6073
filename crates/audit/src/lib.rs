//! Checks a run against the five rules. The auditor uses only events observed at members and clients, and the member
//! states that routers received from discovery; it uses no internal state of a router. Report events in order of time;
//! breaches are collected in [`Auditor::breaches`].
//!
//! 1. A command that a running router has accepted gets exactly one final answer, in time, and is not sent afterwards.
//! 2. A mutating command is sent again, or throttled, only if every earlier dispatch is known not to have run.
//! 3. No new command is sent to a member once the drain grace has passed after its router learned that the member is
//!    draining or gone.
//! 4. All routers together do not send a cold member more than a multiple of its capacity. Exceeding it is a breach if
//!    at least two thirds of that work came from routers that knew of the member's start.
//! 5. No read is answered from data older than its command group allows.
//!
//! Memory is bounded: commands are forgotten [`RETENTION`] microseconds after their client timeouts.

mod cold;

use cold::Cold;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;

/// A time in microseconds.
pub type Micros = i64;

/// How long a command is kept after its client timeout.
pub const RETENTION: Micros = 5_000_000;
/// Breaches of one rule that are described in text; further ones are only counted.
const MAX_BREACH_TEXTS: usize = 20;

/// Limits and tolerances of the rules.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Tolerance for a final answer after the client timeout.
    pub answer_slack: Micros,
    /// Events on sockets may be observed out of order within this time.
    pub order_slack: Micros,
    /// How long a router may still send to a member after learning that it is draining or gone.
    pub drain_grace: Micros,
    /// Part of its warm capacity that a member has when it starts.
    pub cold_start_capacity: f64,
    /// How long a member is cold after its start.
    pub cold_duration: Micros,
    /// A cold member is overloaded by more than this multiple of its capacity within `span`.
    pub multiple: f64,
    pub span: Micros,
}

/// A command at the time when its router accepts it.
#[derive(Clone, Copy, Debug)]
pub struct Taken {
    pub at: Micros,
    /// Number of the command; numbers only increase.
    pub command: u64,
    pub router: usize,
    /// The client timeout, as a point in time.
    pub deadline: Micros,
    pub mutating: bool,
}

/// Kind of a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Answered,
    Throttled,
    Failed,
}

/// What a member did with a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Still in flight, or unknown.
    Open,
    /// Rejected without being executed.
    Untouched,
    Ran,
}

#[derive(Clone, Copy, Debug)]
struct Dispatch {
    at: Micros,
    node: usize,
    fate: Fate,
}

#[derive(Debug)]
struct OpenCommand {
    taken: Taken,
    sent: Vec<Dispatch>,
    ended: Option<(Micros, Final)>,
    /// The client has disconnected or the router has died, so no answer is required.
    no_answer_required: bool,
    ran: u32,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    pub rule: u8,
    pub at: Micros,
    pub text: String,
}

/// Collects the events of a run and checks them against the rules.
pub struct Auditor {
    figures: Figures,
    commands: VecDeque<Option<OpenCommand>>,
    first: u64,
    /// By router and member: when the router learned that the member is draining or gone.
    draining_since: BTreeMap<(usize, usize), Micros>,
    cold: BTreeMap<usize, Cold>,
    ever_primary: BTreeSet<usize>,
    /// By router and member: an answer has reported to the router that the member is not the primary.
    known_replicas: BTreeSet<(usize, usize)>,
    breaches: Vec<Breach>,
    counts: [u64; 6],
}

fn seconds(at: Micros) -> String {
    format!("{:.4} s", at as f64 / 1e6)
}

impl Auditor {
    pub fn new(figures: Figures) -> Auditor {
        Auditor {
            figures,
            commands: VecDeque::new(),
            first: 0,
            draining_since: BTreeMap::new(),
            cold: BTreeMap::new(),
            ever_primary: BTreeSet::new(),
            known_replicas: BTreeSet::new(),
            breaches: Vec::new(),
            counts: [0; 6],
        }
    }

    /// The breaches with texts, in the order in which they were found.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// Number of breaches by rule, at indexes 1 to 5.
    pub fn counts(&self) -> [u64; 6] {
        self.counts
    }

    /// Number of commands that are kept now.
    pub fn held(&self) -> usize {
        self.commands.len()
    }

    fn breach(&mut self, rule: u8, at: Micros, text: String) {
        self.counts[rule as usize] += 1;
        if self.counts[rule as usize] <= MAX_BREACH_TEXTS as u64 {
            self.breaches.push(Breach { rule, at, text });
        }
    }

    fn get(&mut self, command: u64) -> Option<&mut OpenCommand> {
        self.commands.get_mut(command.checked_sub(self.first)? as usize)?.as_mut()
    }

    /// Describes a command with its dispatches and its final answer.
    fn describe(&self, command: u64) -> String {
        let mut text = String::new();
        let open = command.checked_sub(self.first).and_then(|i| self.commands.get(i as usize)?.as_ref());
        if let Some(open) = open {
            let t = open.taken;
            let _ = write!(text, "command {command} at router {}, taken {}", t.router, seconds(t.at));
            let _ = write!(text, ", client timeout {}", seconds(t.deadline));
            for sent in &open.sent {
                let _ = write!(text, "; to member {} at {} ({:?})", sent.node, seconds(sent.at), sent.fate);
            }
            if let Some((at, how)) = open.ended {
                let _ = write!(text, "; {how:?} at {}", seconds(at));
            }
        }
        text
    }

    // ---- clients ----

    /// A running router has accepted a command.
    pub fn taken(&mut self, taken: Taken) {
        self.expire(taken.at);
        if self.commands.is_empty() {
            self.first = taken.command;
        }
        while self.first + (self.commands.len() as u64) < taken.command {
            self.commands.push_back(None);
        }
        self.commands.push_back(Some(OpenCommand {
            taken,
            sent: Vec::new(),
            ended: None,
            no_answer_required: false,
            ran: 0,
        }));
    }

    /// A final answer reached a client.
    pub fn final_answer(&mut self, at: Micros, command: u64, how: Final) {
        let slack = self.figures.answer_slack;
        let Some(open) = self.get(command) else { return };
        let (repeated, late) =
            (open.ended.is_some(), at > open.taken.deadline + slack && !open.no_answer_required);
        let may_have_run = open.taken.mutating && open.sent.iter().any(|s| s.fate != Fate::Untouched);
        open.ended = open.ended.or(Some((at, how)));
        if repeated {
            let text =
                format!("a second final answer, {how:?} at {}: {}", seconds(at), self.describe(command));
            self.breach(1, at, text);
        } else if late {
            let text = format!("a final answer after the client timeout: {}", self.describe(command));
            self.breach(1, at, text);
        }
        if how == Final::Throttled && may_have_run && !repeated {
            let text = format!("throttled, although it may have run: {}", self.describe(command));
            self.breach(2, at, text);
        }
    }

    /// A client has disconnected before its timeout.
    pub fn client_left(&mut self, command: u64) {
        if let Some(open) = self.get(command) {
            open.no_answer_required = true;
        }
    }

    /// A router was killed, so no answers are required for its commands. Commands of other routers still need theirs.
    pub fn router_died(&mut self, router: usize) {
        for open in self.commands.iter_mut().flatten().filter(|o| o.taken.router == router) {
            open.no_answer_required = true;
        }
        self.draining_since.retain(|(r, _), _| *r != router);
        self.known_replicas.retain(|(r, _)| *r != router);
    }

    // ---- members ----

    /// A member has received a complete dispatch of a command, which its router wrote at `written`.
    pub fn sent(&mut self, written: Micros, command: u64, node: usize, work: f64) {
        let slack = self.figures.order_slack;
        let Some(open) = self.get(command) else { return };
        let router = open.taken.router;
        let ended = open.ended.filter(|e| e.0 + slack < written);
        let repeated = open.taken.mutating && open.sent.iter().any(|s| s.fate != Fate::Untouched);
        open.sent.push(Dispatch { at: written, node, fate: Fate::Open });
        if ended.is_some() {
            let text = format!("sent after its final answer: {}", self.describe(command));
            self.breach(1, written, text);
        }
        if repeated {
            let text = format!("sent again, although it may have run: {}", self.describe(command));
            self.breach(2, written, text);
        }
        if let Some(since) = self.draining_since.get(&(router, node)).copied()
            && written > since + self.figures.drain_grace
        {
            let since = seconds(since);
            let text = format!(
                "sent to member {node}, reported to the router as draining or gone since {since}: {}",
                self.describe(command)
            );
            self.breach(3, written, text);
        }
        if let Some(cold) = self.cold.get_mut(&node)
            && let Some(work_by_router) = cold.push(written, router, work, &self.figures)
        {
            let mut text = format!("member {node}, started {}, was sent", seconds(cold.started));
            for (router, part) in work_by_router {
                let _ = write!(text, " {:.1} ms by router {router},", part / 1e3);
            }
            let _ = write!(text, " in {}: last {}", seconds(self.figures.span), self.describe(command));
            self.breach(4, written, text);
        }
    }

    /// A dispatch has ended at its member. `read` has the position seen by an answered read and the position it needed.
    pub fn ended(
        &mut self,
        at: Micros,
        command: u64,
        node: usize,
        fate: Fate,
        read: Option<(Micros, Micros)>,
    ) {
        let Some(open) = self.get(command) else { return };
        let router = open.taken.router;
        if let Some(sent) = open.sent.iter_mut().rev().find(|s| s.node == node && s.fate == Fate::Open) {
            sent.fate = fate;
        }
        open.ran += (fate == Fate::Ran) as u32;
        if open.taken.mutating && open.ran == 2 && fate == Fate::Ran {
            let text = format!("executed twice: {}", self.describe(command));
            self.breach(2, at, text);
        }
        if let Some((seen, needed)) = read.filter(|(seen, needed)| seen < needed) {
            let may_seem_primary =
                self.ever_primary.contains(&node) && !self.known_replicas.contains(&(router, node));
            if !may_seem_primary {
                let old = (needed - seen) as f64 / 1e3;
                let text = format!(
                    "answered by member {node} from data {old:.1} ms older than allowed: {}",
                    self.describe(command)
                );
                self.breach(5, at, text);
            }
        }
    }

    /// A member's process has started, cold. `strength` is its warm capacity: core-microseconds of work per
    /// microsecond.
    pub fn started(&mut self, at: Micros, node: usize, strength: f64) {
        self.cold.insert(node, Cold::new(at, strength));
    }

    /// A member has become primary.
    pub fn primary(&mut self, node: usize) {
        self.ever_primary.insert(node);
    }

    // ---- information that routers received ----

    /// Discovery has reported a member to a router: whether it is draining or gone (`draining`), and when its process
    /// started (0: long ago).
    pub fn member_listed(&mut self, at: Micros, router: usize, node: usize, draining: bool, started: Micros) {
        if let Some(cold) = self.cold.get_mut(&node).filter(|c| c.started <= started) {
            cold.report_start(router);
        }
        if draining {
            self.draining_since.entry((router, node)).or_insert(at);
        } else {
            self.draining_since.remove(&(router, node));
        }
    }

    /// An answer has reported to a router whether the member is primary.
    pub fn role_reported(&mut self, router: usize, node: usize, primary: bool) {
        if !self.ever_primary.contains(&node) {
            return;
        }
        if primary {
            self.known_replicas.remove(&(router, node));
        } else {
            self.known_replicas.insert((router, node));
        }
    }

    // ---- time ----

    /// Removes commands that are past their retention, and reports those that were never answered.
    fn expire(&mut self, now: Micros) {
        while let Some(first) = self.commands.front() {
            let past = first.as_ref().is_none_or(|o| o.taken.deadline + RETENTION < now);
            if !past {
                break;
            }
            self.close_oldest(now);
        }
    }

    fn close_oldest(&mut self, now: Micros) {
        let command = self.first;
        let open = self.commands.front().and_then(|o| o.as_ref());
        let unanswered = open.is_some_and(|o| {
            o.ended.is_none() && !o.no_answer_required && o.taken.deadline + self.figures.answer_slack < now
        });
        if unanswered {
            let text = format!("no final answer: {}", self.describe(command));
            self.breach(1, now, text);
        }
        self.commands.pop_front();
        self.first += 1;
    }

    /// Ends the run: every command whose client timeout has passed by now must have been answered.
    pub fn finish(&mut self, now: Micros) {
        while !self.commands.is_empty() {
            self.close_oldest(now);
        }
    }
}

#[cfg(test)]
mod tests;
