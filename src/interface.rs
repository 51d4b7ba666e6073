//! The plain types at the border of [`crate::Router`]. Nothing is decided here.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A time or a length of time in whole tenths of a millisecond.
pub type Tenths = i64;

/// An id as the wire gives it.
pub type Id = Arc<str>;

/// The settings that an instance starts with: names to values, as told.
pub type Told = BTreeMap<String, String>;

/// A command as it reaches the router.
#[derive(Clone, Debug)]
pub struct Command {
    pub id: Id,
    pub command_group: String,
    pub customer: Option<String>,
    /// The set of members that holds its data.
    pub set: i64,
    /// Time until the client gives up on this try.
    pub time_left: Tenths,
    /// Age of the session's last write, where clients carry tokens.
    pub token_age: Option<Tenths>,
    pub session: Option<String>,
    /// Known to be a client's further try.
    pub repeat: bool,
}

/// How a dispatch or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Answered,
    /// Answered, from data that may be older than the command may see: not passed on.
    TooOld,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    CalledOff,
    NeverSent,
    /// This machine could not open a connection: no member saw it.
    NotDialled,
    Miss,
}

/// What a member said of itself with an answer: role, and a position (0 if left out).
#[derive(Clone, Copy, Debug, Default)]
pub struct Note {
    pub primary: Option<bool>,
    pub position: Tenths,
}

/// What a member's report said, as old as the report is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    pub primary: Option<bool>,
    pub position: Option<Tenths>,
}

/// How a dispatch came to its end, and what came with that.
#[derive(Clone, Copy, Debug)]
pub struct DispatchEnd {
    pub dispatch: u32,
    pub ending: Ending,
    pub took: Tenths,
    /// How long its connection had idled before; None for a new one.
    pub idled: Option<Tenths>,
    /// The command is over: nothing is owed for it any more.
    pub over: bool,
    pub note: Note,
    pub report: Report,
}

/// How a probe came to its end, and what came with that.
#[derive(Clone, Copy, Debug)]
pub struct ProbeEnd {
    pub ending: Ending,
    pub took: Tenths,
    /// The member's role beside the report, where it told one.
    pub primary: Option<bool>,
    pub report: Report,
}

/// What an attempt may see that has been written whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// Its data may have any age, or the member checks that.
    Free,
    ToPrimary,
    /// The member is this far behind at the most.
    ToReplica {
        behind: Tenths,
    },
    /// Its answer will not be served; whether it may be given up at once.
    TooOld {
        behind: Tenths,
        may_give_up: bool,
    },
}

/// What a replica's position was known by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PositionSource {
    #[default]
    Answer,
    Report,
}

/// How new data have to be that a replica serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataNeed {
    /// No older than this, as the attempt is written.
    Bound(Tenths),
    /// All that the session has written.
    Session,
}

/// What an attempt at a replica may have seen, and by what that is known. For the log and the counters alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DataAge {
    pub need: DataNeed,
    /// How old the data are at the most, as the attempt was written; of a session's read, how far behind its last write.
    pub behind: Tenths,
    pub source: PositionSource,
    /// How long ago, at the write, the position had been heard.
    pub heard_before: Tenths,
    /// By how much the members' clock is taken to be ahead, and may be at the most.
    pub clock_ahead: Tenths,
    pub clock_ahead_most: Tenths,
}

impl DataAge {
    /// How much older the data might have been.
    pub fn spare(&self) -> Tenths {
        match self.need {
            DataNeed::Bound(bound) => bound - self.behind,
            DataNeed::Session => -self.behind,
        }
    }
}

/// One line of the member list.
#[derive(Clone, Debug)]
pub struct Entry {
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

/// What the router wants done next. A dispatch not wholly written by `until` must not be written any more: it
/// was never sent; nor one that the router, asked at the write, does not let through. `CallOff` takes back
/// what was not written whole, and the rest only where `written` says so. `LetGo` closes the connections to a
/// member that idle. `Forget`: the module knows the member no more, unless it has been told of it since.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    Dispatch { command: Id, node: Id, limit: Tenths, until: Tenths },
    Throttle { command: Id, hold_off: Tenths },
    Fail { command: Id },
    CallOff { command: Id, dispatch: u32, written: bool },
    Probe { node: Id },
    LetGo { node: Id },
    Forget { node: Id },
    WatchList,
}

/// What a router takes a member for: the paper's states, best first.
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
    /// An answer or a report named its role.
    Role,
    /// Another member of its set is the primary.
    Superseded,
    /// Connections there fail, or it is silent.
    Broken,
    /// It has answered again.
    Recovered,
    /// The list told of a new start.
    Restarted,
    /// It is broken, and probes that would tell more are not allowed.
    NotAsked,
}

/// What kept a command back from the members that could serve it, in the order in which a command meets them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Gate {
    /// The router slows itself, as answers take long: the cheapest command groups wait.
    Pace,
    /// No primary is known.
    NoPrimary,
    /// No replica is known to be as new as the read needs.
    NotFresh,
    /// The primary may be a replica by now.
    RoleInDoubt,
    /// This machine could not open a connection, and waits before the next.
    NoConnection,
    /// As many attempts are out as the member answers in time.
    Window,
    /// The member has started a short while ago and is sent little.
    SlowStart,
    /// None: others of its group went before it.
    Turn,
}

/// Why a command was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GaveUp {
    /// Its time is up.
    Deadline,
    /// No member was sent it in a time in which an answer was still worth waiting for; what kept it back at the end.
    Withheld(Gate),
    /// It has had all attempts that it may have.
    Attempts,
    /// It may have run, and may not run again.
    MayHaveRun,
    /// It erred where a further attempt does not help.
    Errors,
}

/// What happened inside a router, for the log and the counters alone: nothing depends on it.
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
    /// An answer said "primary" that was asked for so long ago; newer ones may have said otherwise, so it changes nothing.
    OldRole {
        node: Id,
        age: Tenths,
    },
    /// The members' clock is taken to be ahead of this one by so much, by this member's word.
    Clock {
        offset: Tenths,
        node: Id,
    },
    /// A probe was answered with a report from before the member broke, so long ago: it is not taken for well.
    ReportFromBefore {
        node: Id,
        age: Tenths,
    },
}
