//! A router's side: whom it asks, what it holds, and what is in force.

use crate::{BadPlan, Document, Message, Name, Plan, Tenths, Version};

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to this machine; it may be lost.
    Send {
        /// The machine.
        to: Name,
        /// What.
        message: Message,
    },
    /// Check it, put it in force between two turns of the loop, keep it where asked to, and only then say
    /// [`Subscriber::applied`], or [`Subscriber::refused`]. The next one comes only after that.
    Apply {
        /// Its version.
        version: Version,
        /// All of it.
        document: Document,
    },
    /// For log and counters.
    Tell(Notice),
}

/// Something that a person wants to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// No machine that hears a writer was heard since then; what is in force stays.
    Silent {
        /// Since when.
        since: Tenths,
    },
    /// One is heard again.
    Heard {
        /// Which.
        machine: Name,
        /// It was silent for so long.
        after: Tenths,
    },
    /// This version was refused; the one before stays.
    Refused {
        /// Which.
        version: Version,
        /// Why.
        why: String,
    },
    /// What it holds is not in the machine's log any more: a whole copy comes.
    BaseGone {
        /// What it holds.
        holds: Version,
    },
    /// It serves from now on.
    Serving {
        /// Under this version.
        version: Version,
        /// No machine told what it had been told before: it goes by what was kept.
        unsure: bool,
    },
}

/// The configuration as one router knows it.
pub struct Subscriber {
    holds: Version,
    in_force: Version,
    silent_since: Option<Tenths>,
}

impl Subscriber {
    /// A router that starts now, with what it kept. `start` grows with each start of its name (milliseconds since 1970 will
    /// do). `machines` are all control machines, in any order: those it prefers are drawn from its name.
    ///
    /// # Errors
    /// [`BadPlan`] names the first value that can't be used; no machine is one.
    pub fn new(
        plan: Plan,
        _me: Name,
        _start: u64,
        _kept: Option<(Version, Document)>,
        _machines: Vec<Name>,
        now: Tenths,
        _seed: u64,
    ) -> Result<Subscriber, BadPlan> {
        plan.check()?;
        Ok(Subscriber { holds: Version::NONE, in_force: Version::NONE, silent_since: Some(now) })
    }

    /// A message of a machine has come.
    pub fn heard(&mut self, _now: Tenths, _from: &Name, _message: Message) {}

    /// The stream to a machine broke, or it can't be reached.
    pub fn broken(&mut self, _now: Tenths, _machine: &Name) {}

    /// The host put this version in force, and kept it where it keeps.
    pub fn applied(&mut self, _now: Tenths, _version: Version) {}

    /// The host refuses this version; the one before stays in force.
    pub fn refused(&mut self, _now: Tenths, _version: Version, _why: String) {}

    /// The next thing to do, until none is left.
    pub fn next_decision(&mut self, _now: Tenths) -> Option<Decision> {
        None
    }

    /// When to come back if nothing is heard before.
    pub fn wake_at(&self) -> Option<Tenths> {
        None
    }

    /// The newest version that it holds, in force or about to be.
    pub fn holds(&self) -> Version {
        self.holds
    }

    /// What the host said to be in force last; [`Version::NONE`] before any.
    pub fn in_force(&self) -> Version {
        self.in_force
    }

    /// Since when no machine that hears a writer was heard; none if one is.
    pub fn silent_since(&self) -> Option<Tenths> {
        self.silent_since
    }

    /// May the router serve? Not before what is in force is at least what it had been told before its start, by word of the
    /// machines; or, if none says so in time, what it kept. One that kept nothing and hears nobody does not serve.
    pub fn may_serve(&self, _now: Tenths) -> bool {
        false
    }
}
