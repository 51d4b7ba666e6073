//! Routers at their clients' work, and the databases that all of them reach.

use super::{Line, Unit, line};
use crate::Role::{Database, RouterClients, RouterMembers};
use crate::{Scaled, Size, Work};

/// Descriptors that a router keeps for its own (`RESERVED_DESCRIPTORS` in `crates/router/src/limits.rs`).
const RESERVE: f64 = 32.0;

const CLIENTS: &str = "crates/router (clients.rs), src/decide.rs";
const NODES: &str = "crates/router (nodes.rs), src/decide.rs";

/// The part of connections that is the clients' own (`CLIENTS_PART`, there).
const CLIENTS_PART: f64 = 0.45;

/// What the limits leave to members.
fn for_members(size: &Size) -> f64 {
    size.router.descriptors * (1.0 - CLIENTS_PART)
}

/// Connections of one router to members.
fn connections(work: &mut Work<'_>) -> f64 {
    let members = work.at.members();
    work.line("router.connections.member", members)
}

fn client_descriptors(work: &mut Work<'_>) -> f64 {
    let clients = work.at.clients();
    work.each("router.descriptors.client", clients) + RESERVE
}

/// One member's part of what all routers have to members.
pub(crate) fn at_member(work: &mut Work<'_>, slope: &str) -> f64 {
    let members = work.at.members();
    work.at.routers() * work.line(slope, members) / members
}

fn connections_at_member(work: &mut Work<'_>) -> f64 {
    at_member(work, "router.connections.member")
}

/// A second.
fn probes_at_member(work: &mut Work<'_>) -> f64 {
    at_member(work, "router.probes.member")
}

/// A connection is there while the last statement to its member is younger than the time it is kept: with statements by
/// chance over all members, so many of them. Little's law adds the ones at work, which are fewer than one a member here.
fn kept(at: &Scaled<'_>) -> f64 {
    let members = at.members();
    let rate = at.statements() / members;
    members * (1.0 - (-rate * at.router.connection_idle).exp())
}

fn kept_at_member(at: &Scaled<'_>) -> f64 {
    at.routers() * kept(at) / at.members()
}

pub(super) const LINES: [Line; 16] = [
    line(
        RouterClients,
        "processor, statements, few members listed",
        Unit::Cores,
        CLIENTS,
        |w| w.line("router.cpu.statement", w.at.statements()),
        |s| s.router.room.cores,
    ),
    line(
        RouterClients,
        "processor, statements, all members listed",
        Unit::Cores,
        CLIENTS,
        |w| w.at.statements() * w.line("router.cpu.statement.member", w.at.members()),
        |s| s.router.room.cores,
    ),
    line(
        RouterClients,
        "memory, client connections",
        Unit::Bytes,
        CLIENTS,
        |w| w.line("router.memory.client", w.at.clients()),
        |s| s.router.room.memory,
    ),
    line(
        RouterClients,
        "descriptors, clients",
        Unit::Descriptors,
        "crates/router (limits.rs, clients/crowd.rs)",
        client_descriptors,
        |s| s.router.descriptors,
    ),
    line(
        RouterClients,
        "bytes, statements and answers",
        Unit::BytesASecond,
        CLIENTS,
        |w| w.line("router.bytes.statement", w.at.statements()),
        |s| s.router.room.bytes,
    ),
    Line {
        check: Some(("kept by chance", kept)),
        ..line(
            RouterMembers,
            "connections kept",
            Unit::Connections,
            "crates/router (limits.rs, nodes.rs)",
            connections,
            for_members,
        )
    },
    line(
        RouterMembers,
        "descriptors, clients and members together",
        Unit::Descriptors,
        "crates/router (limits.rs, nodes.rs)",
        |w| connections(w) + client_descriptors(w),
        |s| s.router.descriptors,
    ),
    line(
        RouterMembers,
        "memory, connections to members",
        Unit::Bytes,
        NODES,
        |w| {
            let open = connections(w);
            w.each("router.memory.connection", open)
        },
        |s| s.router.room.memory,
    ),
    line(
        RouterMembers,
        "processor, connections kept",
        Unit::Cores,
        NODES,
        |w| {
            let open = connections(w);
            w.line("router.cpu.connection", open)
        },
        |s| s.router.room.cores,
    ),
    line(
        RouterMembers,
        "bytes, statements and rows",
        Unit::BytesASecond,
        NODES,
        |w| w.line("router.bytes.dispatch", w.at.statements()),
        |s| s.router.room.bytes,
    ),
    line(
        Database,
        "processor, probes",
        Unit::Cores,
        "not ours",
        |w| {
            let probes = probes_at_member(w);
            w.each("database.cpu.probe", probes)
        },
        |s| s.member.room.cores,
    ),
    line(
        Database,
        "bytes, probes",
        Unit::BytesASecond,
        NODES,
        |w| {
            let probes = probes_at_member(w);
            w.each("router.bytes.probe", probes)
        },
        |s| s.member.room.bytes,
    ),
    Line {
        check: Some(("kept by chance", kept_at_member)),
        ..line(Database, "connections", Unit::Connections, NODES, connections_at_member, |s| {
            s.member.connections
        })
    },
    line(
        Database,
        "connections opened",
        Unit::ASecond,
        NODES,
        |w| at_member(w, "router.dials.member"),
        |s| s.member.dials,
    ),
    line(Database, "probes", Unit::ASecond, NODES, probes_at_member, |s| s.member.probes),
    line(
        Database,
        "memory, connections",
        Unit::Bytes,
        "not ours",
        |w| {
            let open = connections_at_member(w);
            w.each("database.memory.connection", open)
        },
        |s| s.member.room.memory,
    ),
];
