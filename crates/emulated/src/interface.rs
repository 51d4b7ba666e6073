//! The plain types at the border: what reaches members, and what comes out. Each member (`node.rs`) and all of them
//! together (`members.rs`) read this file, and it reads neither.

use crate::Micros;

/// What a query needs of the member that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Needs {
    Nothing,
    /// To be the primary.
    Primary,
    /// All commits up to here.
    Position(Micros),
}

/// A query as it reaches a member.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    /// The caller's number for it, unlike any other that is out.
    pub job: u64,
    pub group: usize,
    /// Core-microseconds at speed 1.
    pub work: f64,
    pub needs: Needs,
    /// Nothing is applied on a replica while it runs.
    pub blocks: bool,
}

impl Query {
    /// The position that it needs, if it needs one.
    pub(crate) fn position(&self) -> Option<Micros> {
        if let Needs::Position(position) = self.needs { Some(position) } else { None }
    }
}

/// How a query ended at its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It ran, and the answer goes out.
    Answered,
    /// It ran, but its answer is lost.
    Lost,
    /// It may have run, and its connection breaks (that is already counted as closed).
    Reset,
    /// It may have run; the member says so.
    Error,
    /// Turned away untouched: no primary, or too far behind.
    Miss,
    /// Turned away untouched: no room, or draining.
    Full,
}

impl Verdict {
    /// True if the query has run.
    pub fn ran(self) -> bool {
        matches!(self, Verdict::Answered | Verdict::Lost | Verdict::Reset)
    }

    /// True if it is proven that it never ran.
    pub fn untouched(self) -> bool {
        matches!(self, Verdict::Miss | Verdict::Full)
    }
}

/// The end of a query, with what its member says of itself.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub node: usize,
    pub job: u64,
    pub verdict: Verdict,
    pub primary: bool,
    /// The position told: a write's commit, or where positions are told the member's; else 0.
    pub position: Micros,
    /// The position of the data that it saw (for a primary the time at which it looked).
    pub seen: Micros,
}

/// A member's report: as old as its last refresh.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    pub position: Micros,
    pub primary: bool,
}

/// What comes out, at the time at which it is pulled.
#[derive(Clone, Debug)]
pub enum Said {
    Ended(Ended),
    Probed {
        node: usize,
        probe: u64,
        report: Report,
    },
    /// A process has died: its connections are reset. `fell`: because it was pushed over while it was cold.
    Died {
        node: usize,
        fell: bool,
    },
    /// A machine has vanished: its connections stay silent.
    Vanished {
        node: usize,
    },
    /// A process has started.
    Started {
        node: usize,
    },
    /// The list has something to tell this router, if it still listens.
    News {
        router: usize,
    },
    /// A router's watch of the list has broken.
    WatchBroke {
        router: usize,
    },
    RouterDied {
        router: usize,
    },
    RouterStarts {
        router: usize,
        old_list: bool,
    },
}

/// What becomes of a dial that reaches an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialled {
    /// By this member, which need not be the one that was meant.
    Accepted(usize),
    Refused,
    Silent,
}

/// Counts of what happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Happened {
    pub elections: u64,
    pub lost_commits: u64,
    pub commits: u64,
    pub fell: u64,
}
