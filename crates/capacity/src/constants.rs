//! Constants of the program that the size meets: what each one bears, and what it ought to follow from. They are limits by a
//! number, which only have to be raised, apart from mechanisms that cost too much.

use crate::{Scaled, Work};

/// How a constant is held against the size.
#[derive(Clone, Copy)]
pub enum Held {
    /// It bounds something that grows: how much of it there is.
    Bound(fn(&mut Work<'_>) -> f64),
    /// A period, window or pace that bounds nothing: what it does at the size.
    Told(fn(&Scaled<'_>) -> String),
}

pub struct Constant {
    pub name: &'static str,
    pub value: f64,
    pub unit: &'static str,
    /// From the root of the repository.
    pub file: &'static str,
    /// As it stands there.
    pub text: &'static str,
    pub held: Held,
    /// What it ought to follow from.
    pub follows: &'static str,
}

/// Of a zone: members that go at once.
fn zone(w: &mut Work<'_>) -> f64 {
    w.at.members_a_zone()
}

fn routers(w: &mut Work<'_>) -> f64 {
    w.at.routers()
}

fn clients(w: &mut Work<'_>) -> f64 {
    w.at.clients()
}

fn whole_list(w: &mut Work<'_>) -> f64 {
    w.line("list.whole.bytes", w.at.members())
}

/// Seconds that a whole list takes inside the control's bytes a second.
fn whole_list_seconds(w: &mut Work<'_>) -> f64 {
    whole_list(w) / w.at.control.bytes
}

const fn bound(
    name: &'static str,
    value: f64,
    unit: &'static str,
    place: (&'static str, &'static str),
    need: fn(&mut Work<'_>) -> f64,
    follows: &'static str,
) -> Constant {
    Constant { name, value, unit, file: place.0, text: place.1, held: Held::Bound(need), follows }
}

const fn told(
    name: &'static str,
    value: f64,
    unit: &'static str,
    place: (&'static str, &'static str),
    does: fn(&Scaled<'_>) -> String,
    follows: &'static str,
) -> Constant {
    Constant { name, value, unit, file: place.0, text: place.1, held: Held::Told(does), follows }
}

/// Bytes a client that stays, and places left to newcomers, as `crates/router/src/limits.rs` has them.
const STAYING_COST: f64 = 2_048.0;
const NEWCOMERS: f64 = 85.0;

const FLEET_SIZE: &str = "the size told in the fleet's plan, bounded by its memory an instance";

pub const CONSTANTS: [Constant; 43] = [
    bound(
        "membership MOST_INSTANCES",
        4_096.0,
        "instances",
        ("crates/membership/src/plan.rs", "pub const MOST_INSTANCES: usize = 4_096;"),
        routers,
        FLEET_SIZE,
    ),
    bound(
        "membership MOST_CHANGES",
        8_192.0,
        "changes not pulled",
        ("crates/membership/src/membership.rs", "const MOST_CHANGES: usize = 2 * MOST_INSTANCES;"),
        routers,
        "twice the instances known: all may change at once",
    ),
    told(
        "membership MOST_WAITING",
        4_096.0,
        "messages not pulled",
        ("crates/membership/src/membership.rs", "const MOST_WAITING: usize = 4_096;"),
        |a| format!("a view of {:.0} instances paged through", a.routers()),
        "instances known",
    ),
    told(
        "membership Plan.period, patience, slack",
        0.5,
        "s a probe",
        ("crates/membership/src/plan.rs", "period: 5_000,"),
        |a| {
            let least = 2.0 * a.routers().log10().max(1.0);
            format!(
                "4 periods for each tenfold, up to 3 times: {least:.1} to {:.1} s until one is held dead",
                3.0 * least
            )
        },
        "what a lost router may cost; the logarithm is right",
    ),
    bound(
        "membership Plan.forget",
        3_600.0,
        "s",
        ("crates/membership/src/plan.rs", "forget: 36_000_000,"),
        |w| w.at.apart,
        "twice the longest time that regions may be apart",
    ),
    told(
        "membership NEWS_EVERY, NEWS_TO",
        0.2,
        "s a round",
        ("crates/membership/src/membership/rounds.rs", "const NEWS_EVERY: Tenths = 2_000;"),
        |a| {
            let ratio = 3.0 * 1_200.0 / 0.2 / a.control.bytes;
            format!(
                "three others each 0.2 s, 1,200 bytes: up to {ratio:.1} times the control bytes while news goes round"
            )
        },
        "control bytes a second told",
    ),
    told(
        "membership Plan.compare",
        10.0,
        "s",
        ("crates/membership/src/plan.rs", "compare: 100_000,"),
        |a| format!("where two views differ they page through all {:.0} instances", a.routers()),
        "bytes of a view over control bytes a second",
    ),
    bound(
        "subsets MAX_ROUTERS",
        8_192.0,
        "routers",
        ("crates/subsets/src/told.rs", "pub const MAX_ROUTERS: usize = 8_192;"),
        routers,
        "time that a subset may take over its time a router and member",
    ),
    bound(
        "subsets MAX_MEMBERS",
        8_192.0,
        "members",
        ("crates/subsets/src/told.rs", "pub const MAX_MEMBERS: usize = 8_192;"),
        |w| w.at.members(),
        "the same",
    ),
    bound(
        "subsets MAX_SET_MEMBERS",
        128.0,
        "members a set",
        ("crates/subsets/src/told.rs", "pub const MAX_SET_MEMBERS: usize = 128;"),
        |w| w.at.members_a_set(),
        "time of mending, which is with the square of it",
    ),
    bound(
        "shared MAX_ALLOTMENTS",
        4_096.0,
        "seats",
        ("crates/shared/src/budgets/terms.rs", "pub const MAX_ALLOTMENTS: usize = MOST_INSTANCES;"),
        routers,
        FLEET_SIZE,
    ),
    bound(
        "shared MAX_BORROWERS",
        4_096.0,
        "borrowers a lender",
        ("crates/shared/src/budgets/lender.rs", "pub const MAX_BORROWERS: usize = MOST_INSTANCES;"),
        routers,
        "seats of the terms",
    ),
    bound(
        "shared counts MAX_TALLIES",
        16_384.0,
        "tallies",
        ("crates/shared/src/counts.rs", "pub const MAX_TALLIES: usize = 16_384;"),
        |w| w.at.routers() * w.at.topics(),
        "routers times topics told",
    ),
    bound(
        "shared judgements MAX_JUDGEMENTS",
        65_536.0,
        "judgements",
        ("crates/shared/src/judgements.rs", "pub const MAX_JUDGEMENTS: usize = 65_536;"),
        |w| w.at.routers() * w.at.members_a_zone(),
        "routers times the members of a zone; better, one voice a group of routers",
    ),
    bound(
        "shared judgements MAX_MEMBERS",
        8_192.0,
        "members",
        ("crates/shared/src/judgements.rs", "pub const MAX_MEMBERS: usize = 8_192;"),
        |w| w.at.members(),
        "members listed",
    ),
    bound(
        "shared turns MAX_TURNS",
        4_096.0,
        "turns open",
        ("crates/shared/src/turns.rs", "pub const MAX_TURNS: usize = 4_096;"),
        zone,
        "members of a zone times kinds of turns",
    ),
    bound(
        "link Bounds.peers",
        8_192.0,
        "peers",
        ("crates/link/src/talk.rs", "peers: 8_192,"),
        routers,
        FLEET_SIZE,
    ),
    bound(
        "link Bounds.inbound_connections",
        2_048.0,
        "connections from others",
        ("crates/link/src/talk.rs", "inbound_connections: 2_048,"),
        routers,
        "peers, where streams are used",
    ),
    told(
        "link Bounds.peer_bytes",
        4_194_304.0,
        "bytes a peer",
        ("crates/link/src/talk.rs", "peer_bytes: 4 * 1_024 * 1_024,"),
        |a| format!("{:.0} slow peers fill the control memory", a.control.memory / 4_194_304.0),
        "control memory over peers",
    ),
    bound(
        "fleet view MAX_NAMES",
        8_192.0,
        "names in the loop's view",
        ("crates/router/src/fleet/view.rs", "const MAX_NAMES: usize = 2 * MOST_INSTANCES;"),
        routers,
        "instances that membership knows",
    ),
    bound(
        "fleet MAX_NAMED_ADDRESSES",
        16_384.0,
        "addresses with names",
        (
            "crates/router/src/fleet/host.rs",
            "const MAX_NAMED_ADDRESSES: usize = 2 * (MOST_INSTANCES + MAX_NAMED_ROUTERS);",
        ),
        routers,
        "instances that membership knows",
    ),
    bound(
        "fleet MAX_EVENTS_PER_TURN",
        4_096.0,
        "datagrams before decisions",
        ("crates/router/src/fleet/host.rs", "const MAX_EVENTS_PER_TURN: usize = 4_096;"),
        routers,
        "instances: all may speak at once",
    ),
    bound(
        "fleet MAX_PENDING_UPDATES",
        256.0,
        "changes in the ring",
        ("crates/router/src/fleet.rs", "const MAX_PENDING_UPDATES: usize = 256;"),
        |w| w.at.routers() / w.at.zones,
        "routers of a zone; beyond it the view is told whole, and nothing is lost",
    ),
    bound(
        "router STAYING_PART of the memory",
        0.125,
        "of the memory",
        ("crates/router/src/limits.rs", "const STAYING_PART: f64 = 0.125;"),
        |w| w.at.clients() * STAYING_COST / w.at.router.room.memory,
        "bytes a client as measured (BYTES_PER_CLIENT is 2 KiB)",
    ),
    bound(
        "router CLIENTS_PART of sockets",
        0.45,
        "of the descriptors",
        ("crates/router/src/limits.rs", "const CLIENTS_PART: f64 = 0.45;"),
        |w| (w.at.clients() + NEWCOMERS) / w.at.router.descriptors,
        "descriptors left by members' connections, as counted",
    ),
    bound(
        "router BACKLOG",
        1_024.0,
        "connections not accepted yet",
        ("crates/router/src/main.rs", "const BACKLOG: i32 = 1024;"),
        clients,
        "clients of a router that comes back; net.core.somaxconn bounds it too",
    ),
    told(
        "router MAX_ACCEPTS",
        64.0,
        "connections a turn",
        ("crates/router/src/clients/crowd.rs", "const MAX_ACCEPTS: usize = 64;"),
        |a| {
            format!("{:.0} clients that come back take {:.0} turns", a.clients(), (a.clients() / 64.0).ceil())
        },
        "time of a turn that commands in hand may wait",
    ),
    told(
        "router READ_TIMEOUT, MIN_SILENCE",
        10.0,
        "s",
        ("crates/router/src/clients.rs", "const READ_TIMEOUT: Tenths = 100_000;"),
        |a| format!("at the limit all {:.0} clients are looked through for each that comes", a.clients()),
        "client timeout",
    ),
    told(
        "list requests MAX_SILENCE",
        3.0,
        "s",
        ("src/list_requests.rs", "const MAX_SILENCE: Tenths = 30_000;"),
        |a| format!("a silent agent is asked for all {:.0} members again each 3.1 s and more", a.members()),
        "bytes of what is asked for again over control bytes a second; resume from the version held",
    ),
    told(
        "list requests RESPONSE_TIMEOUT",
        1.0,
        "s",
        ("src/list_requests.rs", "const RESPONSE_TIMEOUT: Tenths = 10_000;"),
        |a| {
            format!(
                "a full list of {:.0} members takes longer, so three requests for it are open at once",
                a.members()
            )
        },
        "bytes of the list over control bytes a second",
    ),
    bound(
        "watch STARTUP_LIST_TIMEOUT",
        1.0,
        "s for the whole list at a start",
        ("crates/router/src/watch.rs", "const STARTUP_LIST_TIMEOUT: Tenths = 10_000;"),
        whole_list_seconds,
        "the same; a start serves by the list kept, and takes only what changed",
    ),
    bound(
        "watch READY_WITHOUT_LIST_AFTER",
        5.0,
        "s without a list at a start",
        ("crates/router/src/watch.rs", "const READY_WITHOUT_LIST_AFTER: Tenths = 50_000;"),
        whole_list_seconds,
        "the same",
    ),
    bound(
        "discovery MAX_VALUE_BYTES",
        4_194_304.0,
        "bytes of a list",
        ("crates/discovery/src/values.rs", "const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;"),
        whole_list,
        "members times bytes a row",
    ),
    told(
        "decide BASE_PAUSE, BACKOFF_MAX",
        5.0,
        "s at most",
        ("src/decide.rs", "const BACKOFF_MAX: Tenths = 5 * SECOND;"),
        |a| format!("{:.0} routers ask again at least each 5 s", a.routers()),
        "bytes asked for over control bytes a second",
    ),
    told(
        "decide LATENCY_HALF_LIFE, LATENCY_RATIO_HALF_LIFE, SET_RATIO_HALF_LIFE, SHARE_HALF_LIFE",
        2.0,
        "s, the shortest half-life",
        ("src/decide.rs", "const LATENCY_RATIO_HALF_LIFE: Tenths = 2 * SECOND;"),
        |a| {
            let rate = a.statements() / a.members();
            format!(
                "one router sends {rate:.2} statements a second to a member: {:.1} answers in 2 s",
                2.0 * rate
            )
        },
        "answers seen, not seconds",
    ),
    told(
        "decide SESSION_RETENTION, SESSIONS_BEFORE_EVICTION",
        60.0,
        "s of last writes",
        ("src/decide.rs", "const SESSION_RETENTION: Tenths = 60 * SECOND;"),
        |a| format!("up to {:.0} sessions, by time alone", 60.0 * a.statements()),
        "client connections held, and the memory told",
    ),
    told(
        "router LINES_PER_SECOND",
        5.0,
        "lines a place",
        ("crates/log/src/lib.rs", "const LINES_PER_SECOND: u32 = 5;"),
        |a| format!("a lost zone's {:.0} members are five lines and a count", a.members_a_zone()),
        "nothing: counters tell the rest",
    ),
    bound(
        "capture frames",
        16_384.0,
        "commands a second waited for",
        ("crates/capture/src/recorder.rs", "RecorderLimits { frame: 2_048, waiting: 8 }"),
        |w| w.at.statements(),
        "seconds that a disk may stall times statements",
    ),
    bound(
        "feeds Terms.room",
        20_000.0,
        "subscriptions a gateway",
        ("crates/feeds/src/terms.rs", "room: 20_000,"),
        |w| w.at.subscriptions(),
        "memory over bytes a subscription",
    ),
    bound(
        "feeds Terms.pushes",
        200_000.0,
        "pushes a second",
        ("crates/feeds/src/terms.rs", "pushes: 200_000,"),
        |w| w.at.pushes(),
        "cores over processor time a push",
    ),
    bound(
        "feeds Terms.admissions",
        2_000.0,
        "desks a second",
        ("crates/feeds/src/terms.rs", "admissions: 2_000,"),
        |w| w.at.subscriptions() / w.at.over.machine,
        "subscriptions of a lost gateway over the time they may be without one",
    ),
    bound(
        "store MAX_LOGS",
        4_096.0,
        "logs",
        ("crates/store/src/batch.rs", "pub const MAX_LOGS: usize = 4_096;"),
        |w| w.at.sets(),
        "feeds",
    ),
    told(
        "embargo BATCH, REQUESTS",
        16.0,
        "schedules a reply",
        ("crates/embargo/src/words.rs", "pub const BATCH: usize = 16;"),
        |a| format!("{:.0} replies after a start", (a.bulletins() / 16.0).ceil()),
        "bytes of a reply over bytes of a schedule",
    ),
];
