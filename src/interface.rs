//! The public data types that [`crate::Router`] takes and returns. No decisions are made here.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A time or a length of time in whole tenths of a millisecond.
pub type Tenths = i64;

/// An id of a command, member, zone or machine, as received on the wire.
pub type Id = Arc<str>;

/// The settings of a router instance: flat names to their values, both as text.
pub type SettingValues = BTreeMap<String, String>;

/// A command as it arrives at the router.
#[derive(Clone, Debug)]
pub struct Command {
    pub id: Id,
    pub command_group: String,
    pub customer: Option<String>,
    /// The member set that holds the command's data.
    pub set: i64,
    /// Time left until the client times out.
    pub time_left: Tenths,
    /// Age of the session's last write, if clients send session tokens.
    pub token_age: Option<Tenths>,
    pub session: Option<String>,
    /// Set if the command is known to be a retry by the client.
    pub repeat: bool,
    /// The bytes of the statement that the host holds until the command ends. None if it could not hold the whole
    /// statement: then the command cannot be sent.
    pub statement_bytes: Option<usize>,
}

/// A message that a client has begun to send and the host holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialMessage {
    /// When its last bytes were received.
    pub received_at: Tenths,
    /// Whether the host may shorten it: it holds a value that a refusal does not need.
    pub can_be_shortened: bool,
}

/// One step by which the host gets memory back. Partial messages go by their place in the list that the host passed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReclaimStep {
    /// Give up this command, which waits: `Router::give_up_for_memory`.
    GiveUp(Id),
    /// Drop the values of this message: once it is complete, its command is refused.
    Shorten(usize),
    /// End the client that sends this message.
    EndClient(usize),
}

/// How a dispatch or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Answered,
    /// Answered from data that may be older than the command's staleness bound, so the answer is not passed on.
    TooOld,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    CalledOff,
    NeverSent,
    /// This machine could not open a connection, so no member has seen the dispatch.
    NotDialled,
    Miss,
}

/// The role and the position (0 if left out) that a member attaches to an answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerNote {
    pub primary: Option<bool>,
    pub position: Tenths,
}

/// The content of a member's report, which may be older than the message that carries it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    pub primary: Option<bool>,
    pub position: Option<Tenths>,
}

/// The outcome of a dispatch and the data that came with it.
#[derive(Clone, Copy, Debug)]
pub struct DispatchEnd {
    pub dispatch: u32,
    pub ending: Ending,
    pub took: Tenths,
    /// How long the connection was idle before the dispatch; None for a new connection.
    pub idled: Option<Tenths>,
    /// The command is complete: no answer to the client is outstanding any more.
    pub command_complete: bool,
    pub note: AnswerNote,
    pub report: Report,
}

/// The outcome of a probe and the data that came with it.
#[derive(Clone, Copy, Debug)]
pub struct ProbeEnd {
    pub ending: Ending,
    pub took: Tenths,
    /// The member's role, if it was sent apart from the report.
    pub primary: Option<bool>,
    pub report: Report,
}

/// What data an attempt may read, judged when it has been written completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The data may have any age, or the member checks the age itself.
    Free,
    ToPrimary,
    /// Written to a replica that lags by at most this much.
    ToReplica {
        behind: Tenths,
    },
    /// The data is too old, so the answer will not be served; `may_give_up` allows cancelling the attempt at once.
    TooOld {
        behind: Tenths,
        may_give_up: bool,
    },
}

/// Which kind of message a replica's position was learned from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PositionSource {
    #[default]
    Answer,
    Report,
}

/// How fresh the data must be that a replica serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataNeed {
    /// No older than this at the time the attempt is written.
    Bound(Tenths),
    /// Includes everything that the session has written.
    Session,
}

/// The age of the data that an attempt at a replica may have read, and the source of that knowledge.
/// Only for the log and the counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DataAge {
    pub need: DataNeed,
    /// The maximum age of the data when the attempt was written; for a session read, how far the data lags behind
    /// the session's last write.
    pub behind: Tenths,
    pub source: PositionSource,
    /// How long before the write the position was received.
    pub heard_before: Tenths,
    /// The estimated offset by which the members' clock is ahead, and its upper bound.
    pub clock_ahead: Tenths,
    pub clock_ahead_most: Tenths,
}

impl DataAge {
    /// How much older the data could have been without violating the need.
    pub fn margin(&self) -> Tenths {
        match self.need {
            DataNeed::Bound(bound) => bound - self.behind,
            DataNeed::Session => -self.behind,
        }
    }
}

/// One row of the member list.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    pub node: Id,
    pub zone: Id,
    pub machine: Id,
    pub set: i64,
    pub phase: Phase,
    pub started: Tenths,
    pub primary: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Up,
    Draining,
    Removed,
}

/// An action that the host must carry out. A dispatch that has not been written completely by `until`, or that
/// `Router::may_write` rejects at the time of the write, must not be written; it ends as `NeverSent`. `CancelDispatch`
/// cancels a dispatch that has not been written completely, and one that has been only if `written` is set.
/// `CloseIdle` closes the idle connections to a member. `ForgetMember`: the router has removed the member and does not know
/// it any more, unless the list has named it again since.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    Dispatch { command: Id, node: Id, limit: Tenths, until: Tenths },
    Throttle { command: Id, retry_after: Tenths },
    Fail { command: Id },
    CancelDispatch { command: Id, dispatch: u32, written: bool },
    Probe { node: Id },
    CloseIdle { node: Id },
    ForgetMember { node: Id },
    WatchMembers,
}

/// The state of a member as this router sees it. The states are those of the paper, in order of preference.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    Healthy,
    #[default]
    Unknown,
    TransportError,
    TopologyReject,
}

/// Why a member's state changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateReason {
    /// An answer or a report stated the member's role.
    Role,
    /// Another member of the set has become the primary.
    Superseded,
    /// Connections to the member fail, or it does not answer.
    Broken,
    /// The member has answered again.
    Recovered,
    /// The member list shows a newer start time.
    Restarted,
    /// The member is broken, and the probes that would establish its state are not allowed.
    NotAsked,
}

/// What prevented a command from being sent to the members that could serve it, in the order in which the checks
/// are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Gate {
    /// The router paces itself because answers take long: the command groups of the lowest benefit wait.
    Pace,
    /// No primary is known.
    NoPrimary,
    /// No replica is known to be as fresh as the read requires.
    NotFresh,
    /// The member known as the primary may have become a replica.
    RoleInDoubt,
    /// This machine could not open a connection and backs off before the next attempt.
    NoConnection,
    /// The member's window is full: as many attempts are in flight as it answers in time.
    Window,
    /// The member started recently, and slow start limits what it is sent.
    SlowStart,
    /// No gate is closed: other commands of the group went first.
    Turn,
}

/// Why a command was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GaveUp {
    /// The command's deadline has passed.
    Deadline,
    /// The command was not sent to any member while an answer in time was still likely; the gate that held it last.
    Withheld(Gate),
    /// The maximum number of attempts has been made.
    Attempts,
    /// The command may have run and must not run again.
    MayHaveRun,
    /// The command failed with an error that a further attempt is unlikely to cure.
    Errors,
    /// The host has no memory left for the command's statement.
    Memory,
}

/// An event inside a router, only for the log and the counters: no decision depends on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    GaveUp {
        command: Id,
        reason: GaveUp,
        attempts: u32,
    },
    State {
        node: Id,
        from: MemberState,
        to: MemberState,
        reason: StateReason,
    },
    /// An answer to a request of this age claimed the primary role. Newer answers may contradict it, so it is ignored.
    StaleRoleClaim {
        node: Id,
        age: Tenths,
    },
    /// The estimate of how far the members' clock is ahead of this router's has changed; `node` sent the position
    /// that changed it.
    ClockOffset {
        offset: Tenths,
        node: Id,
    },
    /// A probe was answered with a report of this age, made before the member broke, so the member stays broken.
    StaleReport {
        node: Id,
        age: Tenths,
    },
}
