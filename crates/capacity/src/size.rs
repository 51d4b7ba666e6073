//! The size to design for, read from an operator file. Every value is wanted: a size that leaves one out would be worked out
//! from a guess.

use std::ops::RangeInclusive;
use vetchkeel_operator::{FileError, OperatorFile, Section};

/// A fleet and what it may spend. Times in seconds, sizes in bytes, rates a second unless their names say otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct Size {
    pub routers: f64,
    pub members: f64,
    pub sets: f64,
    pub regions: f64,
    pub zones: f64,
    /// Over all routers.
    pub client_connections: f64,
    /// Over all routers, a second.
    pub statements: f64,
    pub router: RouterRoom,
    pub control: Room,
    pub control_machines: ControlMachines,
    pub member: MemberRoom,
    pub primary_changes: Changes,
    pub configuration: Changes,
    /// Bytes of the settings document, and of one change of it.
    pub document: f64,
    pub change: f64,
    pub machines: Machines,
    /// How long two regions may be apart.
    pub apart: f64,
    pub over: Over,
    pub shared_topics: f64,
    pub feeds: Feeds,
    pub embargo: Embargo,
}

/// Part of a core (or cores), memory and bytes a second that may be spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    pub cores: f64,
    pub memory: f64,
    pub bytes: f64,
}

/// What a router has for clients and members, beside its control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterRoom {
    pub room: Room,
    pub descriptors: f64,
    /// A connection to a member is closed after so long without use.
    pub connection_idle: f64,
}

/// What one member bears of all routers together, beside its statements.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberRoom {
    pub room: Room,
    pub connections: f64,
    /// Connections opened a second, and probes.
    pub dials: f64,
    pub probes: f64,
}

/// The machines that hold the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlMachines {
    pub count: f64,
    /// So many are left at worst.
    pub least: f64,
    pub room: Room,
    pub descriptors: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Changes {
    pub a_day: f64,
    /// Each is over in.
    pub within: f64,
}

/// Machines of routers and members together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machines {
    pub failed_a_day: f64,
    pub restarted_a_day: f64,
    pub in_a_rack: f64,
    /// Rows of the member list that change when one member goes and comes back.
    pub rows: f64,
}

/// When each event ought to be over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Over {
    pub machine: f64,
    pub rack: f64,
    pub zone: f64,
    pub regions: f64,
    pub wave: f64,
    pub start: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Feeds {
    pub gateways: f64,
    pub subscriptions: f64,
    /// Over all gateways, a second.
    pub pushes: f64,
    pub room: Room,
    pub descriptors: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Embargo {
    pub edges: f64,
    /// Schedules that an edge holds.
    pub bulletins: f64,
    /// Of a publisher, and of an edge.
    pub room: Room,
    pub descriptors: f64,
}

const MEGABYTE: f64 = 1e6;
const ANY: RangeInclusive<f64> = f64::MIN_POSITIVE..=1e12;

fn number(s: &Section<'_>, name: &str, range: RangeInclusive<f64>) -> Result<f64, FileError> {
    s.require(name)?.number(range)
}

fn count(s: &Section<'_>, name: &str) -> Result<f64, FileError> {
    Ok(s.require(name)?.whole(1..=1_000_000_000)? as f64)
}

fn seconds(s: &Section<'_>, name: &str) -> Result<f64, FileError> {
    const DAY: i64 = 86_400_000_000;
    Ok(s.require(name)?.time(1_000..=DAY)? as f64 / 1e6)
}

/// A count of parts that can't be more than the whole.
fn part(s: &Section<'_>, name: &str, of: &str, whole: f64) -> Result<f64, FileError> {
    let value = s.require(name)?;
    let found = value.whole(1..=1_000_000_000)? as f64;
    let expected = || format!("at most the {whole} of {of}");
    if found <= whole { Ok(found) } else { Err(value.wrong(expected())) }
}

/// A block whose values are all asked for by `read`.
fn block<T>(
    root: &Section<'_>,
    name: &str,
    read: impl Fn(&Section<'_>) -> Result<T, FileError>,
) -> Result<T, FileError> {
    let section = root.require_block(name)?;
    let found = read(&section)?;
    section.done()?;
    Ok(found)
}

fn room(s: &Section<'_>) -> Result<Room, FileError> {
    Ok(Room {
        cores: number(s, "cores", ANY)?,
        memory: number(s, "memory_mb", ANY)? * MEGABYTE,
        bytes: number(s, "bytes_a_second", ANY)?,
    })
}

fn router(s: &Section<'_>) -> Result<RouterRoom, FileError> {
    let descriptors = count(s, "descriptors")?;
    Ok(RouterRoom { room: room(s)?, descriptors, connection_idle: seconds(s, "connection_idle")? })
}

fn control_machines(s: &Section<'_>) -> Result<ControlMachines, FileError> {
    let all = count(s, "count")?;
    let least = part(s, "least", "control_machines.count", all)?;
    Ok(ControlMachines { count: all, least, room: room(s)?, descriptors: count(s, "descriptors")? })
}

fn member(s: &Section<'_>) -> Result<MemberRoom, FileError> {
    let (dials, probes) = (number(s, "dials_a_second", ANY)?, number(s, "probes_a_second", ANY)?);
    Ok(MemberRoom { room: room(s)?, connections: count(s, "connections")?, dials, probes })
}

fn changes(s: &Section<'_>) -> Result<Changes, FileError> {
    Ok(Changes { a_day: number(s, "a_day", ANY)?, within: seconds(s, "within")? })
}

fn machines(s: &Section<'_>) -> Result<Machines, FileError> {
    Ok(Machines {
        failed_a_day: number(s, "failed_a_day", ANY)?,
        restarted_a_day: number(s, "restarted_a_day", ANY)?,
        in_a_rack: count(s, "in_a_rack")?,
        rows: number(s, "rows_a_machine", ANY)?,
    })
}

fn over(s: &Section<'_>) -> Result<Over, FileError> {
    Ok(Over {
        machine: seconds(s, "machine")?,
        rack: seconds(s, "rack")?,
        zone: seconds(s, "zone")?,
        regions: seconds(s, "regions")?,
        wave: seconds(s, "wave")?,
        start: seconds(s, "start")?,
    })
}

fn feeds(s: &Section<'_>) -> Result<Feeds, FileError> {
    let pushes = number(s, "pushes_a_second", ANY)?;
    Ok(Feeds {
        gateways: count(s, "gateways")?,
        subscriptions: count(s, "subscriptions")?,
        pushes,
        room: room(s)?,
        descriptors: count(s, "descriptors")?,
    })
}

fn embargo(s: &Section<'_>) -> Result<Embargo, FileError> {
    Ok(Embargo {
        edges: count(s, "edges")?,
        bulletins: count(s, "bulletins")?,
        room: room(s)?,
        descriptors: count(s, "descriptors")?,
    })
}

impl Size {
    /// # Errors
    /// The first value that is missing, out of range or unknown, with file, line, column and what was expected.
    pub fn read(file: &OperatorFile) -> Result<Size, FileError> {
        let root = file.root();
        let document = |s: &Section<'_>| {
            let (document, change) = (number(s, "document_kb", ANY)?, number(s, "change_bytes", ANY)?);
            Ok((changes(s)?, document * 1e3, change))
        };
        let (configuration, document, change) = block(&root, "configuration", document)?;
        let members = count(&root, "members")?;
        let zones = count(&root, "zones")?;
        let size = Size {
            routers: count(&root, "routers")?,
            members,
            sets: part(&root, "sets", "members", members)?,
            regions: part(&root, "regions", "zones", zones)?,
            zones,
            client_connections: count(&root, "client_connections")?,
            statements: number(&root, "statements_a_second", ANY)?,
            router: block(&root, "router", router)?,
            control: block(&root, "control", room)?,
            control_machines: block(&root, "control_machines", control_machines)?,
            member: block(&root, "member", member)?,
            primary_changes: block(&root, "primary_changes", changes)?,
            configuration,
            document,
            change,
            machines: block(&root, "machines", machines)?,
            apart: block(&root, "apart", |s| seconds(s, "length"))?,
            over: block(&root, "over", over)?,
            shared_topics: block(&root, "shared", |s| count(s, "topics"))?,
            feeds: block(&root, "feeds", feeds)?,
            embargo: block(&root, "embargo", embargo)?,
        };
        root.done()?;
        Ok(size)
    }
}
