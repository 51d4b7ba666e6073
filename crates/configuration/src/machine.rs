//! A control machine's side: it serves routers, as a keeper it votes and holds, and one at a time writes.

use std::fmt;

use crate::document::Bad;
use crate::kept::{Kept, Record};
use crate::{BadPlan, Document, Edit, Ledger, Message, Name, Plan, Tenths, Verdict, Version};

/// What the host is to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Keep it on disk before any order behind it is carried out; [`Machine::kept`] as a whole will do as well.
    Keep(Record),
    /// Send it to this router or machine; it may be lost.
    Send {
        /// To whom.
        to: Name,
        /// What.
        message: Message,
    },
    /// At the writer, for each version within the plan's time of its release: in force everywhere, or who is not.
    Verdict(Verdict),
    /// For log and counters.
    Tell(Event),
}

/// Something that a person wants to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This machine writes from now on, in this epoch.
    Writing(u32),
    /// It does not write any more; its last epoch.
    Stopped(u32),
    /// This version is released here: routers are served with it from now on.
    Released(Version),
    /// No writer is heard since then.
    Apart(Tenths),
    /// One is heard again.
    Joined(Name),
    /// A keeper that had kept nothing counts from now on.
    Settled,
    /// What came does not fit what is held.
    Broken(Version, Bad),
    /// So many routers not heard for the plan's time are forgotten.
    Forgotten(usize),
    /// There is no room in the ledger for this router.
    Uncounted(Name),
    /// All places are taken: this router was sent elsewhere.
    Full(Name),
}

/// Why edits are not published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// This machine does not write. The one that does, if it is known.
    NotWriter(Option<Name>),
    /// The document after them is out of bounds.
    Bad(Bad),
    /// The program's own check of the document after them.
    Check(String),
    /// Too many bytes of edits wait to be held by a majority of keepers.
    Full,
}

impl fmt::Display for Refused {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::NotWriter(Some(writer)) => write!(out, "this machine does not write, {writer} does"),
            Refused::NotWriter(None) => write!(out, "this machine does not write, and hears no writer"),
            Refused::Bad(bad) => write!(out, "{bad}"),
            Refused::Check(why) => write!(out, "{why}"),
            Refused::Full => write!(out, "too many edits wait to be held by a majority of keepers"),
        }
    }
}

impl std::error::Error for Refused {}

/// One control machine.
pub struct Machine {
    kept: Kept,
    ledger: Ledger,
}

impl Machine {
    /// A machine that starts now, with what it kept. `machines` are all of them, `keepers` an odd few among them; both the
    /// same everywhere. `check` is the program's own check of a document at the source.
    ///
    /// # Errors
    /// [`BadPlan`] names the first value that can't be used.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        plan: Plan,
        _me: Name,
        _machines: Vec<Name>,
        _keepers: Vec<Name>,
        kept: Option<Kept>,
        _check: fn(&Document) -> Result<(), String>,
        _now: Tenths,
        _seed: u64,
    ) -> Result<Machine, BadPlan> {
        plan.check()?;
        Ok(Machine { kept: kept.unwrap_or_default(), ledger: Ledger::default() })
    }

    /// Publishes edits: all of them in one version, or none. What waits together goes out together.
    ///
    /// # Errors
    /// [`Refused`]; nothing of them is taken.
    pub fn publish(&mut self, _now: Tenths, _edits: Vec<Edit>) -> Result<(), Refused> {
        Err(Refused::NotWriter(None))
    }

    /// A message of a router or machine has come.
    pub fn heard(&mut self, _now: Tenths, _from: &Name, _message: Message) {}

    /// The stream to or from this one broke.
    pub fn left(&mut self, _now: Tenths, _from: &Name) {}

    /// The next thing to do, until none is left.
    pub fn next_decision(&mut self, _now: Tenths) -> Option<Order> {
        None
    }

    /// When to come back if nothing is heard before.
    pub fn wake_at(&self) -> Option<Tenths> {
        None
    }

    /// All that is to be found again at the next start.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// The newest released version that it holds.
    pub fn version(&self) -> Version {
        self.kept.version()
    }

    /// The document under it.
    pub fn document(&self) -> &Document {
        self.kept.document()
    }

    /// Does it write, and in which epoch?
    pub fn writes(&self) -> Option<u32> {
        None
    }

    /// The writer, as far as it is known.
    pub fn writer(&self) -> Option<&Name> {
        None
    }

    /// Routers served now.
    pub fn served(&self) -> usize {
        0
    }

    /// What it knows of routers: its own, and at the writer all.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}
