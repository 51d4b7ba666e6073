//! What is measured: plays, each of which measures one need or a few at one size after the other.

use crate::table::Kind;
use crate::{configuration, membership, module, router, shared, subsets};
use std::path::PathBuf;

/// One need that a play measures, and what its size counts.
#[derive(Clone, Copy, Debug)]
pub struct Measure {
    pub name: &'static str,
    pub unit: &'static str,
    pub per: &'static str,
    /// From a play's size to what the slope counts.
    pub counted: fn(usize) -> f64,
    pub kind: Kind,
}

/// What plays need of the machine.
#[derive(Clone, Debug)]
pub struct Means {
    /// The program `vetchkeel-router`.
    pub router: PathBuf,
}

/// What is played at every size, with the needs measured in the order of `measures`.
pub struct Play {
    pub measures: &'static [Measure],
    pub sizes: &'static [usize],
    pub run: fn(&Means, usize, u32) -> Result<Vec<f64>, String>,
    /// It starts router processes.
    pub processes: bool,
}

pub(crate) const fn measured(name: &'static str, unit: &'static str, per: &'static str) -> Measure {
    Measure { name, unit, per, counted: |size| size as f64, kind: Kind::Measured }
}

pub static PLAYS: [&Play; 15] = [
    &module::LIST,
    &subsets::SUBSET,
    &membership::MEMBERSHIP,
    &shared::COUNTS,
    &shared::JUDGEMENTS,
    &shared::BUDGETS,
    &configuration::MACHINE,
    &configuration::CHANGE,
    &configuration::DOCUMENT,
    &router::MEMORY_OF_MEMBERS,
    &router::MEMORY_OF_CLIENTS,
    &router::STATEMENTS,
    &router::MEMBERS_AT_DESIGN,
    &router::MEMBERS_AT_LEAD,
    &router::LIST_CHANGES,
];

/// All that can be measured.
pub fn measures() -> impl Iterator<Item = &'static Measure> {
    PLAYS.iter().flat_map(|play| play.measures)
}
