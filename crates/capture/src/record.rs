//! One command in a capture.

use std::sync::Arc;

/// How a command ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    Answered,
    Throttled,
    Failed,
    /// The client left before there was an answer.
    Left,
}

impl Ending {
    pub(crate) const ALL: [Ending; 4] = [Ending::Answered, Ending::Throttled, Ending::Failed, Ending::Left];
}

/// One command: times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Unix time of its arrival at the router.
    pub arrived: i64,
    pub command_group: Arc<str>,
    pub customer: Option<Arc<str>>,
    /// The member of its last dispatch.
    pub member: Option<Arc<str>>,
    pub set: i64,
    /// A number that stands for its session; 0 for none.
    pub session: u64,
    /// How long its client was to wait.
    pub time_left: u64,
    /// From its arrival until its last dispatch was decided; 0 if it had none.
    pub waited: u64,
    /// From its arrival to its end.
    pub latency: u64,
    pub ending: Ending,
    pub dispatches: u32,
    /// Length of the value answered.
    pub bytes: u64,
}
