//! Messages between routers and control machines.

use serde::{Deserialize, Serialize};

use crate::ledger::RouterEntry;
use crate::{Change, Name, Tenths, Version};

/// What a router did with a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The version is in force, and persisted if the router persists its configuration.
    Applied,
    /// The version was refused; the previous one stays in force.
    Refused {
        /// The reason, for the operator.
        why: String,
    },
}

/// A message. Any message may be lost, duplicated, delayed or reordered. New variants have to be added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Router or machine to machine: subscribes from a given version on.
    Subscribe {
        /// Grows with each start of the sender.
        start: u64,
        /// Grows with each subscribe message of one start.
        turn: u32,
        /// The version that the sender holds; [`Version::NONE`] if it holds nothing or requests a snapshot.
        holds: Version,
        /// The digest of the document that the sender holds. With [`Version::NONE`], a digest other than that of the
        /// empty document requests a snapshot.
        digest: u64,
        /// The sender started without a persisted configuration, and no machine has told it its floor yet.
        state_lost: bool,
    },
    /// Router to machine: what the router did with a version. Repeated at intervals as a sign of life.
    Status {
        /// The start given in the subscribe message.
        start: u64,
        /// The turn given in the subscribe message.
        turn: u32,
        /// The version in force.
        in_force: Version,
        /// The version that `outcome` is about.
        version: Version,
        /// What the router did with `version`.
        outcome: Outcome,
    },
    /// Router to machine: the router ends its subscription and moves to another machine.
    Unsubscribe {
        /// The start given in the subscribe message.
        start: u64,
        /// The turn given in the subscribe message.
        turn: u32,
    },
    /// Machine to router or machine: the changes that follow the version held.
    Changes {
        /// The turn of the subscribe message that this answers.
        turn: u32,
        /// The changes, in order.
        changes: Vec<Change>,
    },
    /// Machine to router or machine: a part of a snapshot.
    SnapshotPart {
        /// The turn of the subscribe message that this answers.
        turn: u32,
        /// The version of the snapshot.
        version: Version,
        /// When that version was published.
        published: Tenths,
        /// The number of the part, from 0.
        part: u16,
        /// The number of parts.
        of: u16,
        /// The bytes of this part of the compressed document.
        bytes: Vec<u8>,
    },
    /// Machine to router or machine: a sign of life.
    Beat {
        /// The turn of the subscribe message that this answers.
        turn: u32,
        /// The newest released version that the machine holds.
        version: Version,
        /// The router must not serve below this version; `None` if the floor is not known yet.
        floor: Option<Version>,
        /// The machine has no contact with a writer and may be out of date.
        no_writer: bool,
    },
    /// Machine to router: subscribe elsewhere.
    Redirect {
        /// The turn of the subscribe message that this answers.
        turn: u32,
        /// How long not to ask this machine again.
        wait: Tenths,
    },
    /// Candidate to keeper: requests a vote for an epoch.
    Prepare {
        /// The new epoch.
        epoch: u32,
        /// The newest version that the candidate holds.
        held: Version,
        /// A trial ballot: the keeper answers whether it would grant the vote, but promises nothing.
        trial: bool,
        /// Set if all keepers answered and none of them holds anything.
        founding: bool,
    },
    /// Keeper to candidate: the answer to a vote request.
    Promised {
        /// The epoch given in the request.
        epoch: u32,
        /// Whether the request was a trial ballot.
        trial: bool,
        /// Whether the vote is granted.
        granted: bool,
        /// The highest epoch that the keeper has promised.
        promised: u32,
        /// The newest version that the keeper holds.
        held: Version,
        /// The keeper has lost its persisted state or never had any, so its vote does not count yet.
        nonvoting: bool,
    },
    /// Writer to all machines: renews the writer's epoch and replicates unreleased changes to the keepers.
    Accept {
        /// The writer's epoch.
        epoch: u32,
        /// Grows with each round of the writer.
        round: u64,
        /// The newest released version.
        released: Version,
        /// The changes that follow it and are not released yet.
        tail: Vec<Change>,
        /// Every version up to this one has had its verdict.
        judged: Version,
        /// The mark of the last report that arrived from the recipient.
        mark: u64,
        /// A majority of keepers still followed the writer after the report with this mark had arrived.
        stable: u64,
    },
    /// Machine to writer: the answer to an accept.
    Accepted {
        /// The highest epoch that the sender has promised or follows. If it is above the writer's, the writer has been
        /// deposed.
        epoch: u32,
        /// The round given in the accept.
        round: u64,
        /// The newest version that the sender holds, released or not.
        held: Version,
        /// The newest version that the sender knows to be released.
        released: Version,
        /// The same as in [`Message::Promised`].
        nonvoting: bool,
    },
    /// Machine to the writer and to the other keepers: changes to its part of the ledger.
    Report {
        /// Grows with each report; 0 in the copies for keepers other than the writer.
        mark: u64,
        /// The machine whose routers these are: the sender, or another machine if a keeper relays what it knows.
        by: Name,
        /// At most [`crate::wire::MAX_ENTRIES`] entries.
        entries: Vec<RouterEntry>,
    },
    /// Machine to router or machine: a part of changes that are too long for one message.
    ChangesPart {
        /// The turn of the subscribe message that this answers.
        turn: u32,
        /// The version that the last change leads to.
        version: Version,
        /// The number of the part, from 0.
        part: u16,
        /// The number of parts.
        of: u16,
        /// The bytes of this part of the compressed changes.
        bytes: Vec<u8>,
    },
}
