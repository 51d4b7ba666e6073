//! Troubles: what goes wrong, where, from when until when. Any number at once.

use crate::Micros;

/// Which members a trouble strikes.
#[derive(Clone, Debug, PartialEq)]
pub enum On {
    /// These, by number.
    Members(Vec<usize>),
    /// This part of all, drawn by the run's seed: of the members that start as primaries, as replicas, or of all.
    Part { part: f64, primaries: Option<bool> },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    pub kind: Kind,
    pub on: On,
    pub from: Micros,
    pub until: Micros,
}

/// What happens from the trouble's start to its end.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// The process dies; at the end one starts again, cold. `listed`: the list notices.
    Crash {
        listed: bool,
    },
    /// Takes commands and answers none.
    Hang,
    /// Stands still for `length`, every `every`.
    Pauses {
        length: Micros,
        every: Micros,
    },
    /// Runs so many times slower.
    Slow {
        times: f64,
    },
    /// Applies the log so many times slower.
    SlowApply {
        times: f64,
    },
    /// Dies and starts again, over and over.
    Flapping {
        down: Micros,
        up: Micros,
        listed: bool,
    },
    /// Drains, and takes work again at the end.
    Drain,
    /// The machine vanishes; at the end another one takes its address, with a copy some seconds old.
    Replace,
    /// This part of the answers is lost.
    LostAnswers {
        part: f64,
    },
    /// This part of the commands ends in a broken connection, though it has run.
    Resets {
        part: f64,
    },
    /// Takes only this part of its connections.
    Squeeze {
        part: f64,
    },
    /// The ways between a zone and another (or all others) are cut; `one_way`: only those from it.
    ZoneCut {
        zone: usize,
        to: Option<usize>,
        one_way: bool,
    },
    /// The list says nothing and answers nobody; or it goes on with what it had.
    ListDown,
    ListStale,
    /// Routers die (by number) and start again at the end, with their old list or with that of the day.
    Routers {
        which: Vec<usize>,
        old_list: bool,
    },
    /// So many times the usual traffic.
    Burst {
        times: f64,
    },
    /// A set draws this part of all traffic.
    HotSet {
        set: usize,
        part: f64,
    },
    /// A customer sends so many times as much.
    Noisy {
        customer: usize,
        times: f64,
    },
    /// A command group rises to this part of all commands, on top of the others.
    Surge {
        group: usize,
        part: f64,
    },
}

impl Kind {
    /// True for what is a matter of the traffic, not of the members.
    pub fn of_traffic(&self) -> bool {
        matches!(self, Kind::Burst { .. } | Kind::HotSet { .. } | Kind::Noisy { .. } | Kind::Surge { .. })
    }
}
