//! What goes wrong, and when: faults of links from one time until another, and acts on processes.

use std::collections::BTreeSet;
use vetchkeel_link::fault::Fault;
use vetchkeel_link::{Name, Tenths};

/// Deeds and windows of one schedule; a file with more is refused.
pub(crate) const MOST: usize = 10_000;

/// A fault of some directed links from one time until another, in tenths of a millisecond since the start.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    pub from: Tenths,
    /// None: to the end.
    pub until: Option<Tenths>,
    /// From and to; None stands for any instance.
    pub links: Vec<(Option<Name>, Option<Name>)>,
    pub fault: Fault,
}

impl Window {
    pub fn covers(&self, from: &Name, to: &Name) -> bool {
        let fits = |of: &Option<Name>, name: &Name| of.as_ref().is_none_or(|n| n == name);
        from != to && self.links.iter().any(|(f, t)| fits(f, from) && fits(t, to))
    }

    pub fn holds(&self, now: Tenths) -> bool {
        self.from <= now && self.until.is_none_or(|until| now < until)
    }
}

/// What is done to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Act {
    /// SIGKILL.
    Kill,
    /// SIGSTOP: it is there, holds its sockets and does nothing.
    Stop,
    /// SIGCONT.
    Continue,
    /// The same program under the same name at the same address, if it does not run.
    Start,
    /// Kill and start.
    Restart,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deed {
    pub at: Tenths,
    pub name: Name,
    pub act: Act,
}

/// All that goes wrong. The seed is that of every fault's chance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    pub seed: u64,
    pub windows: Vec<Window>,
    pub deeds: Vec<Deed>,
}

impl Schedule {
    /// No faults.
    pub fn quiet(seed: u64) -> Schedule {
        Schedule { seed, ..Schedule::default() }
    }

    /// This on every link, from the start to the end.
    pub fn always(seed: u64, fault: Fault) -> Schedule {
        let window = Window { from: 0, until: None, links: vec![(None, None)], fault };
        Schedule { seed, windows: vec![window], deeds: Vec::new() }
    }

    /// When the last of its changes comes.
    pub fn ends_at(&self) -> Tenths {
        let windows = self.windows.iter().map(|w| w.until.unwrap_or(w.from));
        windows.chain(self.deeds.iter().map(|d| d.at)).max().unwrap_or(0)
    }

    /// Names that it speaks of.
    pub fn names(&self) -> BTreeSet<&Name> {
        let links = self.windows.iter().flat_map(|w| &w.links).flat_map(|(from, to)| [from, to]);
        links.flatten().chain(self.deeds.iter().map(|d| &d.name)).collect()
    }
}

/// Two faults of one link at once.
pub(crate) fn both(a: Fault, b: Fault) -> Fault {
    let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
    let rate = match (a.rate, b.rate) {
        (0, rate) | (rate, 0) => rate,
        (a, b) => a.min(b),
    };
    Fault {
        cut: a.cut || b.cut,
        drop: either(a.drop, b.drop),
        duplicate: either(a.duplicate, b.duplicate),
        reorder: either(a.reorder, b.reorder),
        delay: a.delay + b.delay,
        jitter: a.jitter + b.jitter,
        rate,
        reset: a.reset || b.reset,
    }
}
