//! Who does what: what state each role holds, and what it sends and receives.

use serde::Serialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    RouterClients,
    RouterMembers,
    RouterControl,
    Agent,
    ControlMachine,
    Database,
    Gateway,
    Publisher,
    Edge,
}

/// One role in words.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RoleSheet {
    pub role: Role,
    pub name: &'static str,
    pub holds: &'static str,
    pub sends: &'static str,
    pub receives: &'static str,
    /// Packages and files.
    pub carried_by: &'static str,
}

impl Role {
    pub fn name(self) -> &'static str {
        ROLES.iter().find(|sheet| sheet.role == self).map_or("", |sheet| sheet.name)
    }
}

pub const ROLES: [RoleSheet; 9] = [
    RoleSheet {
        role: Role::RouterClients,
        name: "router towards clients",
        holds: "connections, what clients have sent and was not taken, commands in hand, last writes of sessions",
        sends: "answers, refusals with a time to stay away",
        receives: "statements, ends of connections",
        carried_by: "crates/router (clients.rs, clients/crowd.rs, limits.rs), crates/pgwire, src/decide.rs",
    },
    RoleSheet {
        role: Role::RouterMembers,
        name: "router towards members",
        holds: "connections open and kept, attempts under way, windows and latencies by member",
        sends: "statements, probes, cancels",
        receives: "rows, errors, positions",
        carried_by: "crates/router (nodes.rs, nodes/answer.rs), src/decide.rs",
    },
    RoleSheet {
        role: Role::RouterControl,
        name: "router's control",
        holds: "member list and its tables, settings, view of the fleet, tallies, judgements, loans, turns",
        sends: "asks of the list, probes, membership's datagrams, shared signals, which settings are in force",
        receives: "list and its changes, settings and their changes, membership's datagrams, shared signals",
        carried_by: "crates/router (watch.rs, fleet), src/decide.rs, crates/membership, crates/shared, crates/subsets",
    },
    RoleSheet {
        role: Role::Agent,
        name: "discovery's agent",
        holds: "the member list, a watch a router",
        sends: "the whole list where asked, changed rows, an empty line each 2 s",
        receives: "asks with the version held",
        carried_by: "not ours; crates/discovery reads it, crates/lab (loopback/listing.rs) stands in",
    },
    RoleSheet {
        role: Role::ControlMachine,
        name: "control machine",
        holds: "the settings document, its log, a stream a router, which version each router has in force",
        sends: "changes, whole copies where the log is gone, votes",
        receives: "asks with the version held, in force or refused, votes",
        carried_by: "crates/configuration",
    },
    RoleSheet {
        role: Role::Database,
        name: "database, all routers together",
        holds: "a connection and its process for each that a router keeps",
        sends: "rows, positions",
        receives: "statements, probes, dials",
        carried_by: "not ours; what reaches it is decided in src/decide.rs and dialled in crates/router (nodes.rs)",
    },
    RoleSheet {
        role: Role::Gateway,
        name: "gateway of feeds",
        holds: "subscriptions, a window and a shelf a feed, ended epochs",
        sends: "bulletins, stamps, handovers",
        receives: "bulletins of the primary, echoes, resume tokens",
        carried_by: "crates/feeds (gateway.rs, sub.rs, shelf.rs), crates/store; no host yet",
    },
    RoleSheet {
        role: Role::Publisher,
        name: "publisher of embargoes",
        holds: "schedules, holders of leases, changes not settled",
        sends: "leases, schedules, changes",
        receives: "asks, acknowledgements",
        carried_by: "crates/embargo (publisher.rs, record.rs); no host yet",
    },
    RoleSheet {
        role: Role::Edge,
        name: "edge of embargoes",
        holds: "schedules, its lease, readers held, the clock's interval",
        sends: "asks, acknowledgements",
        receives: "leases, schedules, times of sources",
        carried_by: "crates/embargo (gate.rs, edge.rs), crates/bounds; no host yet",
    },
];
