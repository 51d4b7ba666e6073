//! What each role needs in service, and what it may spend: one line a need.

mod bulletins;
mod control;
mod machines;
mod service;

pub(crate) use control::{changed_bytes, changed_rows, whole_list};
pub(crate) use service::at_member;

use crate::{Role, Scaled, Size, Work};
use serde::Serialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Unit {
    #[serde(rename = "of a core")]
    Cores,
    #[serde(rename = "seconds of a core")]
    CoreSeconds,
    #[serde(rename = "bytes")]
    Bytes,
    #[serde(rename = "bytes a second")]
    BytesASecond,
    #[serde(rename = "descriptors")]
    Descriptors,
    #[serde(rename = "connections")]
    Connections,
    #[serde(rename = "a second")]
    ASecond,
    #[serde(rename = "seconds")]
    Seconds,
}

/// A need worked out another way, from the size alone, and by what.
pub(crate) type Check = (&'static str, fn(&Scaled<'_>) -> f64);

/// One need.
pub(crate) struct Line {
    pub(crate) role: Role,
    pub(crate) what: &'static str,
    pub(crate) unit: Unit,
    /// Package and file that carry it.
    pub(crate) by: &'static str,
    pub(crate) need: fn(&mut Work<'_>) -> f64,
    pub(crate) allowance: fn(&Size) -> f64,
    pub(crate) check: Option<Check>,
    /// Only where the configuration in force without a start is built; without it, why it can't be done.
    pub(crate) configuration: Option<Unbuilt>,
}

/// What becomes of a line whose mechanism is not there.
#[derive(Clone, Copy)]
pub(crate) enum Unbuilt {
    /// It can't be done: why.
    Impossible(&'static str),
    /// There is nothing to need.
    LeftOut,
}

const fn line(
    role: Role,
    what: &'static str,
    unit: Unit,
    by: &'static str,
    need: fn(&mut Work<'_>) -> f64,
    allowance: fn(&Size) -> f64,
) -> Line {
    Line { role, what, unit, by, need, allowance, check: None, configuration: None }
}

pub(crate) fn lines() -> impl Iterator<Item = &'static Line> {
    service::LINES
        .iter()
        .chain(control::LINES.iter())
        .chain(machines::LINES.iter())
        .chain(bulletins::LINES.iter())
}
