//! What one run consists of, once its file is read and the values of its sweep are put in.

use vetchkeel_emulated::{Access, Effect, Micros, Plan, TrafficPlan, Trouble};

/// Who decides in the routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decides {
    /// The product's decision module.
    Module,
    /// Baselines, for comparison in the lab alone.
    AllToPrimary,
    Random,
    RoundRobin,
}

impl Decides {
    pub const ALL: [(&str, Decides); 4] = [
        ("module", Decides::Module),
        ("all_to_primary", Decides::AllToPrimary),
        ("random", Decides::Random),
        ("round_robin", Decides::RoundRobin),
    ];

    pub fn name(self) -> &'static str {
        Decides::ALL.iter().find(|(_, d)| *d == self).map_or("", |(name, _)| name)
    }
}

/// How clients behave. Each first try and its retries are one wish.
#[derive(Clone, Debug)]
pub struct ClientsPlan {
    /// Further tries after a first one.
    pub retries: u32,
    /// Wait before each, unless a throttling answer says how long to stay away.
    pub backoff: Micros,
    /// Part of the client timeout that one try waits.
    pub try_share: f64,
    /// A further try is marked as such.
    pub marks: bool,
    /// A throttling answer's wait is heeded.
    pub heeds: bool,
    /// How long the front goes on dealing clients to a router that has died.
    pub notice: Micros,
}

/// What routers may do, and what they are told at their start.
#[derive(Clone, Debug)]
pub struct Permits {
    pub attempts: u32,
    pub probes: bool,
    pub cancel: bool,
    pub hold_off: bool,
    pub answer_slack: Micros,
}

/// One run: everything but the seed.
#[derive(Clone, Debug)]
pub struct Setup {
    pub plan: Plan,
    pub traffic: TrafficPlan,
    pub troubles: Vec<Trouble>,
    pub clients: ClientsPlan,
    pub permits: Permits,
    pub customers: Vec<(String, f64)>,
    pub decides: Decides,
    /// How long commands arrive; the run goes on until the last is answered.
    pub length: Micros,
}

impl Setup {
    /// The position that a read needs of the member that answers it, by when it was written, when its router took it
    /// and what its session has written.
    pub fn needed(&self, group: usize, sent: Micros, taken: Micros, session: Micros) -> Option<Micros> {
        match self.plan.groups[group].access {
            Access::Any | Access::Write => None,
            Access::Bounded(bound) => Some(sent - bound),
            Access::Fresh => Some(taken),
            Access::Session => Some(session),
        }
    }

    pub fn writes(&self, group: usize) -> bool {
        self.plan.groups[group].access == Access::Write
    }

    pub fn mutating(&self, group: usize) -> bool {
        self.plan.groups[group].effect == Effect::Mutating
    }
}
