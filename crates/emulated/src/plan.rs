//! What is emulated, before anything happens to it.

use crate::{Draw, Micros, SECOND};

/// The sets of members, the routers' places, and the rules that hold for them.
#[derive(Clone, Debug)]
pub struct Plan {
    pub zones: Vec<String>,
    pub ways: WaysPlan,
    pub machines: Vec<Machine>,
    pub groups: Vec<Group>,
    /// The members of each set. The first one starts as primary.
    pub sets: Vec<Vec<MemberPlan>>,
    /// How many routers there are, and the zone of each.
    pub routers: Vec<usize>,
    pub copying: Copying,
    pub checks: Checks,
    pub reports: Reports,
    pub warming: Warming,
    pub list: ListPlan,
    pub connections: Connections,
    /// Each router's clock is off by up to this, either way.
    pub clocks_apart: Micros,
    /// A cancel drops waiting work; whether it stops running work too.
    pub cancel_stops_running: bool,
}

/// One-way delays between processes, in microseconds.
#[derive(Clone, Debug)]
pub struct WaysPlan {
    pub same: Draw,
    pub cross: Draw,
}

/// A kind of machine.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub cores: usize,
    /// Speed of a core; work is told for speed 1.
    pub speed: f64,
    /// Queries that may wait for a core.
    pub queue: usize,
    /// Connections that it accepts.
    pub connections: usize,
}

#[derive(Clone, Debug)]
pub struct MemberPlan {
    pub zone: usize,
    pub machine: usize,
}

/// How new a command group's data must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    Any,
    /// Data no older than this when it is sent, in microseconds.
    Bounded(Micros),
    /// All that its session has written.
    Session,
    /// All that was written before it came in.
    Fresh,
    Write,
}

/// Whether a command may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Replayable,
    Mutating,
}

/// A command group.
#[derive(Clone, Debug)]
pub struct Group {
    pub name: String,
    pub access: Access,
    pub effect: Effect,
    /// Part of all commands.
    pub share: f64,
    /// Microseconds of one core at speed 1.
    pub work: Draw,
    /// Response target and client timeout, in microseconds.
    pub target: Micros,
    pub timeout: Micros,
    pub benefit: f64,
    /// Part of the benefit that an answer past the response target still has.
    pub late_share: f64,
    /// While a replica runs one, nothing is applied there.
    pub blocks: bool,
}

/// How the log gets to the replicas, and who takes over.
#[derive(Clone, Debug)]
pub struct Copying {
    /// From the commit until a replica has it, beside the delay of the way.
    pub ship: Draw,
    /// Work of applying one write on the one thread.
    pub apply: Draw,
    /// Until a primary that is silent is given up, and from there until another takes over.
    pub detect: Draw,
    pub elect: Draw,
    /// Hand-over of a primary that drains.
    pub switch: Draw,
    /// How old the copy is that a new member starts from.
    pub seed_age: Draw,
}

/// What a member does with a read for which it is too far behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checks {
    /// It answers from what it has.
    Nothing,
    Refuse,
    /// It waits so long to catch up, then refuses.
    Wait(Micros),
}

/// What members say of themselves when probed.
#[derive(Clone, Debug)]
pub struct Reports {
    /// How often a member's report is made anew.
    pub refresh: Micros,
    /// Work that a probe costs.
    pub probe_work: f64,
    /// Whether each answer tells a position.
    pub positions: bool,
}

/// How a member that has just started gets warm, and what pushes it over.
#[derive(Clone, Debug)]
pub struct Warming {
    /// Part of its capacity that it starts with, and the time until it has all.
    pub from: f64,
    pub over: Micros,
    /// Sent more than so many times its present capacity for so long, by all routers together, it falls over.
    pub multiple: f64,
    pub span: Micros,
}

impl Warming {
    /// The part of its capacity that a member has which started so long ago.
    pub fn part(&self, since: Micros) -> f64 {
        let warmth = (since.max(0) as f64 / self.over.max(1) as f64).min(1.0);
        self.from + (1.0 - self.from) * warmth
    }
}

/// How routers get the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// Changes come by themselves.
    Push,
    /// Each asking brings the whole list, once.
    Ask,
    /// Changes come to those that have asked, until the watch breaks.
    Watch,
}

#[derive(Clone, Debug)]
pub struct ListPlan {
    pub mode: ListMode,
    /// From a change to the list's knowing of it, in microseconds; and for a change of role.
    pub late: Draw,
    pub role_late: Draw,
    /// From there to a router.
    pub spread: Draw,
    /// Nothing new goes to a member later than this after a router was told that it drains or is gone.
    pub drain_grace: Micros,
}

#[derive(Clone, Debug)]
pub struct Connections {
    /// Work that a new connection costs its member, paid by the first query on it.
    pub work: f64,
    /// Round trips until it can be used, beyond the first.
    pub handshake: f64,
    /// How long one may idle, and how long a dial is waited for.
    pub idle: Micros,
    pub dial_timeout: Micros,
}

impl Plan {
    /// All members, set by set.
    pub fn members(&self) -> usize {
        self.sets.iter().map(Vec::len).sum()
    }

    /// Work a second that all members can do, in core-microseconds.
    pub fn capacity(&self) -> f64 {
        let of = |m: &MemberPlan| self.machines[m.machine].cores as f64 * self.machines[m.machine].speed;
        self.sets.iter().flatten().map(of).sum::<f64>() * SECOND as f64
    }
}
