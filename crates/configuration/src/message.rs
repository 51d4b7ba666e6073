//! What goes between routers and machines.

use serde::{Deserialize, Serialize};

use crate::ledger::Entry;
use crate::{Change, Name, Tenths, Version};

/// What became of a version at a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is in force, and kept where the router keeps.
    Applied,
    /// It is not, and the one before stays.
    Refused {
        /// For a person.
        why: String,
    },
}

/// One message. All may be lost, doubled, late or overtaken. New kinds only go to the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Router to machine, and machine to machine: serve me from here on.
    Ask {
        /// Grows with each start of its name.
        start: u64,
        /// Grows with each ask of one start.
        turn: u32,
        /// What it holds; [`Version::NONE`] for nothing, or for the whole to be sent.
        holds: Version,
        /// Of the document that it holds.
        digest: u64,
    },
    /// Router to machine: what became of a version. Said again and again, also as a sign of life.
    Told {
        /// As in the ask.
        start: u64,
        /// As in the ask.
        turn: u32,
        /// What is in force.
        in_force: Version,
        /// The version that it speaks of.
        version: Version,
        /// What became of it.
        outcome: Outcome,
    },
    /// Router to machine: I have left for another one.
    Bye {
        /// As in the ask.
        start: u64,
        /// As in the ask.
        turn: u32,
    },
    /// Machine to router: what follows what you hold.
    Changes {
        /// As in the ask that it answers.
        turn: u32,
        /// In order.
        changes: Vec<Change>,
    },
    /// Machine to router: a part of a whole copy.
    Whole {
        /// As in the ask that it answers.
        turn: u32,
        /// Of the copy.
        version: Version,
        /// As in its change.
        published: Tenths,
        /// Which part, from 0.
        part: u16,
        /// Of so many.
        of: u16,
        /// A part of the document, compressed.
        bytes: Vec<u8>,
    },
    /// Machine to router: still here.
    Beat {
        /// As in the ask that it answers.
        turn: u32,
        /// The newest released one that it holds.
        version: Version,
        /// The router is not to serve below this one; none: not known yet.
        floor: Option<Version>,
        /// The machine hears no writer, and may be behind.
        apart: bool,
    },
    /// Machine to router: go elsewhere.
    Away {
        /// As in the ask that it answers.
        turn: u32,
        /// Not back here before this is over.
        wait: Tenths,
    },
    /// Machine to keeper: may I write in this epoch?
    Prepare {
        /// The new one.
        epoch: u32,
        /// What the candidate holds.
        held: Version,
        /// Only: would you? Nothing is promised by the answer.
        trial: bool,
        /// All keepers answered, and none holds anything.
        founding: bool,
    },
    /// Keeper to machine: the answer.
    Promised {
        /// The epoch asked for.
        epoch: u32,
        /// As asked.
        trial: bool,
        /// Yes.
        granted: bool,
        /// The highest epoch that the keeper promised.
        promised: u32,
        /// What the keeper holds.
        held: Version,
        /// It has lost what it kept, or never kept anything: its word does not count yet.
        fresh: bool,
    },
    /// Writer to all machines: my epoch goes on, hold this.
    Accept {
        /// The writer's.
        epoch: u32,
        /// Grows with each one.
        round: u64,
        /// What is released.
        released: Version,
        /// What follows it and is not released yet.
        tail: Vec<Change>,
        /// Up to this one every version has had its verdict.
        judged: Version,
        /// The last report that came from this machine.
        mark: u64,
        /// A majority of keepers still followed this writer after this report had come.
        sure: u64,
    },
    /// Machine to writer: the answer.
    Accepted {
        /// The highest epoch that it promised: above the writer's, that one is over.
        epoch: u32,
        /// As in the accept.
        round: u64,
        /// What it holds, released or not.
        held: Version,
        /// What it knows to be released.
        released: Version,
        /// As in [`Message::Promised`].
        fresh: bool,
    },
    /// Machine to writer, and to the other keepers: what changed in its part of the ledger.
    Report {
        /// Grows with each one; 0 to a keeper that does not write.
        mark: u64,
        /// Whose routers: the sender's, or what a keeper knows of another machine's.
        by: Name,
        /// At most [`crate::wire::ENTRIES_MOST`].
        entries: Vec<Entry>,
    },
    /// Machine to router: a part of changes that are too long for one message.
    Long {
        /// As in the ask that it answers.
        turn: u32,
        /// That the last of them leads to.
        version: Version,
        /// Which part, from 0.
        part: u16,
        /// Of so many.
        of: u16,
        /// A part of the changes, compressed.
        bytes: Vec<u8>,
    },
}
