//! Audits the five rules. The auditor reads only what passed at members and clients, and what routers were told by the
//! list; nothing of a router's own books. Tell it what happened in order of time; breaches add up in
//! [`Auditor::breaches`].
//!
//! 1. A command that a running router has taken gets exactly one final answer, in time, and nothing is sent after it.
//! 2. A mutating command is sent again, or throttled, only if every earlier dispatch is known not to have run.
//! 3. Nothing new goes to a member later than the grace after its router was told that it drains or is gone.
//! 4. A cold member is not sent more than a multiple of what it can do, by all routers together; it counts where two
//!    thirds of that came from routers that were told of its start.
//! 5. No read is answered from data older than its command group allows.
//!
//! What is held is bounded by the commands of the last [`KEPT`] microseconds beyond their client timeouts.

mod cold;

use cold::Cold;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;

/// A time in microseconds.
pub type Micros = i64;

/// How long a command is remembered past its client timeout.
pub const KEPT: Micros = 5_000_000;
/// So many breaches are told in words; further ones of a rule are only counted.
const TOLD: usize = 20;

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct Figures {
    /// A final answer this long after the client timeout still counts as in time.
    pub answer_slack: Micros,
    /// What is seen on sockets may be seen in another order within this time.
    pub order_slack: Micros,
    pub drain_grace: Micros,
    /// What a cold member starts with, how long it is cold, and what pushes it over.
    pub cold_from: f64,
    pub cold_over: Micros,
    pub multiple: f64,
    pub span: Micros,
}

/// What is known of a command when it is taken.
#[derive(Clone, Copy, Debug)]
pub struct Taken {
    pub at: Micros,
    /// Its number: numbers only rise.
    pub command: u64,
    pub router: usize,
    /// When its client gives up.
    pub deadline: Micros,
    pub mutating: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Answered,
    Throttled,
    Failed,
}

/// What a member did with a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Not known, or it is still there.
    Open,
    /// Turned away untouched.
    Untouched,
    Ran,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Micros,
    node: usize,
    fate: Fate,
}

#[derive(Debug)]
struct Open {
    taken: Taken,
    sent: Vec<Sent>,
    ended: Option<(Micros, Final)>,
    /// Its client has left, or its router has died: nothing is owed.
    excused: bool,
    ran: u32,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    pub rule: u8,
    pub at: Micros,
    pub text: String,
}

pub struct Auditor {
    figures: Figures,
    commands: VecDeque<Option<Open>>,
    first: u64,
    /// When each router was told that a member drains or is gone.
    shut: BTreeMap<(usize, usize), Micros>,
    cold: BTreeMap<usize, Cold>,
    been_primary: BTreeSet<usize>,
    /// Routers that an answer has told that this member is no primary.
    told_replica: BTreeSet<(usize, usize)>,
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
            shut: BTreeMap::new(),
            cold: BTreeMap::new(),
            been_primary: BTreeSet::new(),
            told_replica: BTreeSet::new(),
            breaches: Vec::new(),
            counts: [0; 6],
        }
    }

    /// The breaches told in words, in the order in which they were found.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// How often each rule was broken: places 1 to 5.
    pub fn counts(&self) -> [u64; 6] {
        self.counts
    }

    /// Commands that are held now.
    pub fn held(&self) -> usize {
        self.commands.len()
    }

    fn breach(&mut self, rule: u8, at: Micros, text: String) {
        self.counts[rule as usize] += 1;
        if self.counts[rule as usize] <= TOLD as u64 {
            self.breaches.push(Breach { rule, at, text });
        }
    }

    fn get(&mut self, command: u64) -> Option<&mut Open> {
        self.commands.get_mut(command.checked_sub(self.first)? as usize)?.as_mut()
    }

    fn story(&self, command: u64) -> String {
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

    /// A running router has taken a command.
    pub fn taken(&mut self, taken: Taken) {
        self.sweep(taken.at);
        if self.commands.is_empty() {
            self.first = taken.command;
        }
        while self.first + (self.commands.len() as u64) < taken.command {
            self.commands.push_back(None);
        }
        self.commands.push_back(Some(Open { taken, sent: Vec::new(), ended: None, excused: false, ran: 0 }));
    }

    /// A final answer reached a client.
    pub fn final_answer(&mut self, at: Micros, command: u64, how: Final) {
        let slack = self.figures.answer_slack;
        let Some(open) = self.get(command) else { return };
        let (again, late) = (open.ended.is_some(), at > open.taken.deadline + slack && !open.excused);
        let risky = open.taken.mutating && open.sent.iter().any(|s| s.fate != Fate::Untouched);
        open.ended = open.ended.or(Some((at, how)));
        if again {
            let text = format!("a second final answer, {how:?} at {}: {}", seconds(at), self.story(command));
            self.breach(1, at, text);
        } else if late {
            let text = format!("a final answer after the client timeout: {}", self.story(command));
            self.breach(1, at, text);
        }
        if how == Final::Throttled && risky && !again {
            let text = format!("throttled, though it may have run: {}", self.story(command));
            self.breach(2, at, text);
        }
    }

    /// A client has gone before its timeout.
    pub fn left(&mut self, command: u64) {
        if let Some(open) = self.get(command) {
            open.excused = true;
        }
    }

    /// A router was killed: what it held is no longer its duty. The others' is.
    pub fn router_died(&mut self, router: usize) {
        for open in self.commands.iter_mut().flatten().filter(|o| o.taken.router == router) {
            open.excused = true;
        }
        self.shut.retain(|(r, _), _| *r != router);
        self.told_replica.retain(|(r, _)| *r != router);
    }

    // ---- members ----

    /// A dispatch of a command reached a member whole, written by its router at `written`.
    pub fn sent(&mut self, written: Micros, command: u64, node: usize, work: f64) {
        let slack = self.figures.order_slack;
        let Some(open) = self.get(command) else { return };
        let router = open.taken.router;
        let ended = open.ended.filter(|e| e.0 + slack < written);
        let again = open.taken.mutating && open.sent.iter().any(|s| s.fate != Fate::Untouched);
        open.sent.push(Sent { at: written, node, fate: Fate::Open });
        if ended.is_some() {
            let text = format!("sent after its final answer: {}", self.story(command));
            self.breach(1, written, text);
        }
        if again {
            let text = format!("sent again, though it may have run: {}", self.story(command));
            self.breach(2, written, text);
        }
        if let Some(told) = self.shut.get(&(router, node)).copied()
            && written > told + self.figures.drain_grace
        {
            let told = seconds(told);
            let text =
                format!("sent to member {node}, told as draining or gone at {told}: {}", self.story(command));
            self.breach(3, written, text);
        }
        if let Some(cold) = self.cold.get_mut(&node)
            && let Some(parts) = cold.push(written, router, work, &self.figures)
        {
            let mut text = format!("member {node}, started {}, was sent", seconds(cold.started));
            for (router, part) in parts {
                let _ = write!(text, " {:.1} ms by router {router},", part / 1e3);
            }
            let _ = write!(text, " in {}: last {}", seconds(self.figures.span), self.story(command));
            self.breach(4, written, text);
        }
    }

    /// What became of a dispatch at its member. `seen` and `needed`: positions of an answered read.
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
            let text = format!("its effect happened twice: {}", self.story(command));
            self.breach(2, at, text);
        }
        if let Some((seen, needed)) = read.filter(|(seen, needed)| seen < needed) {
            let excused = self.been_primary.contains(&node) && !self.told_replica.contains(&(router, node));
            if !excused {
                let old = (needed - seen) as f64 / 1e3;
                let text = format!(
                    "answered by member {node} from data {old:.1} ms too old: {}",
                    self.story(command)
                );
                self.breach(5, at, text);
            }
        }
    }

    /// A member's process has started, cold. `strength`: core-microseconds that it does in a microsecond when warm.
    pub fn started(&mut self, at: Micros, node: usize, strength: f64) {
        self.cold.insert(node, Cold::new(at, strength));
    }

    /// A member is primary now.
    pub fn primary(&mut self, node: usize) {
        self.been_primary.insert(node);
    }

    // ---- what routers were told ----

    /// The list told a router of a member: `shut` if it drains or is gone, and when its process started (0: long ago).
    pub fn listed(&mut self, at: Micros, router: usize, node: usize, shut: bool, started: Micros) {
        if let Some(cold) = self.cold.get_mut(&node).filter(|c| c.started <= started) {
            cold.told(router);
        }
        if shut {
            self.shut.entry((router, node)).or_insert(at);
        } else {
            self.shut.remove(&(router, node));
        }
    }

    /// An answer told a router whether its member is primary.
    pub fn answer_heard(&mut self, router: usize, node: usize, primary: bool) {
        if !self.been_primary.contains(&node) {
            return;
        }
        if primary {
            self.told_replica.remove(&(router, node));
        } else {
            self.told_replica.insert((router, node));
        }
    }

    // ---- time ----

    /// Forgets what is long past and finds what was never answered.
    fn sweep(&mut self, now: Micros) {
        while let Some(first) = self.commands.front() {
            let past = first.as_ref().is_none_or(|o| o.taken.deadline + KEPT < now);
            if !past {
                break;
            }
            self.judge_front(now);
        }
    }

    fn judge_front(&mut self, now: Micros) {
        let command = self.first;
        let open = self.commands.front().and_then(|o| o.as_ref());
        let lost = open.is_some_and(|o| {
            o.ended.is_none() && !o.excused && o.taken.deadline + self.figures.answer_slack < now
        });
        if lost {
            let text = format!("no final answer: {}", self.story(command));
            self.breach(1, now, text);
        }
        self.commands.pop_front();
        self.first += 1;
    }

    /// The end of the run: whatever is due by then must have been answered.
    pub fn finish(&mut self, now: Micros) {
        while !self.commands.is_empty() {
            self.judge_front(now);
        }
    }
}

#[cfg(test)]
mod tests;
