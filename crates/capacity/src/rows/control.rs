//! What a router spends on control.

use super::{Line, Unbuilt, Unit, line};
use crate::Role::RouterControl;
use crate::{Role, Size, Work};

const LIST: &str = "crates/router (watch.rs), crates/discovery, src/decide.rs";
const MEMBERSHIP: &str = "crates/membership (membership/rounds.rs, rumours.rs)";
const SHARED: &str = "crates/shared (counts.rs, judgements.rs, budgets, turns.rs)";
const SUBSETS: &str = "crates/subsets (share.rs, whole.rs); not wired to the router";
const FOLLOWED: &str = "crates/subsets (own.rs, set.rs); not wired to the router";
pub(super) const CONFIGURATION: &str = "crates/configuration (subscriber.rs)";

/// From the last word of a silent agent until it is asked again: `MAX_SILENCE` in `src/list_requests.rs` and `PAUSE`
/// in `src/decide.rs`.
const ASKED_AGAIN: f64 = 3.1;

pub(crate) fn changed_rows(w: &mut Work<'_>, rows: f64) -> f64 {
    rows * w.line("router.list.change", w.at.members())
}

pub(crate) fn changed_bytes(w: &mut Work<'_>, rows: f64) -> f64 {
    rows * w.line("list.change.bytes", 1.0)
}

/// Processor time of one whole list.
pub(crate) fn whole_list(w: &mut Work<'_>) -> f64 {
    let members = w.at.members();
    w.line("module.list.whole", members) + w.line("list.whole.read", members)
}

fn ordinary_rows(w: &mut Work<'_>) -> f64 {
    let rows = w.at.rows();
    changed_rows(w, rows)
}

fn ordinary_bytes(w: &mut Work<'_>) -> f64 {
    let rows = w.at.rows();
    changed_bytes(w, rows)
}

fn probe_bytes(w: &mut Work<'_>) -> f64 {
    w.line("router.probes.member", w.at.members()) * w.each("router.bytes.probe", 1.0)
}

fn shared(w: &mut Work<'_>, names: [&str; 3]) -> f64 {
    let routers = w.at.routers();
    names.iter().map(|name| w.line(name, routers)).sum()
}

fn shared_processor(w: &mut Work<'_>) -> f64 {
    shared(w, ["shared.counts.cpu.instance", "shared.judgements.cpu.instance", "shared.budgets.cpu.instance"])
}

fn shared_bytes(w: &mut Work<'_>) -> f64 {
    shared(
        w,
        ["shared.counts.bytes.instance", "shared.judgements.bytes.instance", "shared.budgets.bytes.instance"],
    )
}

fn membership(w: &mut Work<'_>, name: &str) -> f64 {
    let routers = w.at.routers();
    w.line(name, routers)
}

fn subsets(w: &mut Work<'_>, a_second: f64) -> f64 {
    a_second * w.line("subset.cpu.router_member", w.at.routers() * w.at.members())
}

fn change_processor(w: &mut Work<'_>) -> f64 {
    w.at.changes() * w.each("configuration.cpu.change", 1.0)
}

fn change_bytes(w: &mut Work<'_>) -> f64 {
    w.at.changes() * w.each("configuration.bytes.change", 1.0)
}

fn document(w: &mut Work<'_>) -> f64 {
    w.each("configuration.memory.document", w.at.document())
}

fn all_processor(w: &mut Work<'_>) -> f64 {
    let built = w.built.configuration;
    let idle = w.line("router.cpu.idle.member", w.at.members());
    let configuration = if built { change_processor(w) } else { 0.0 };
    let fleet = membership(w, "membership.cpu.instance") + shared_processor(w);
    idle + ordinary_rows(w) + fleet + configuration
}

fn all_memory(w: &mut Work<'_>) -> f64 {
    let built = w.built.configuration;
    let list = w.line("router.memory.member", w.at.members());
    list + membership(w, "membership.memory.instance") + if built { document(w) } else { 0.0 }
}

fn all_bytes(w: &mut Work<'_>) -> f64 {
    let built = w.built.configuration;
    let configuration = if built { change_bytes(w) } else { 0.0 };
    let fleet = membership(w, "membership.bytes.instance") + shared_bytes(w);
    ordinary_bytes(w) + probe_bytes(w) + fleet + configuration
}

const fn processor(what: &'static str, by: &'static str, need: fn(&mut Work<'_>) -> f64) -> Line {
    line(RouterControl, what, Unit::Cores, by, need, |s| s.control.cores)
}

const fn memory(what: &'static str, by: &'static str, need: fn(&mut Work<'_>) -> f64) -> Line {
    line(RouterControl, what, Unit::Bytes, by, need, |s| s.control.memory)
}

const fn bytes(what: &'static str, by: &'static str, need: fn(&mut Work<'_>) -> f64) -> Line {
    line(RouterControl, what, Unit::BytesASecond, by, need, |s| s.control.bytes)
}

const fn of_configuration(line: Line) -> Line {
    Line { configuration: Some(Unbuilt::LeftOut), ..line }
}

const IN_FORCE: Line = Line {
    configuration: Some(Unbuilt::Impossible(
        "without crates/configuration and Router::reconfigure a change took effect at the next start alone",
    )),
    ..line(
        Role::RouterControl,
        "a change of configuration in force everywhere without a start",
        Unit::Seconds,
        CONFIGURATION,
        |w| w.line("configuration.in_force.router", w.at.routers()),
        within,
    )
};

fn within(size: &Size) -> f64 {
    size.configuration.within
}

pub(super) const LINES: [Line; 24] = [
    IN_FORCE,
    processor("processor, rows of the list that change on an ordinary day", LIST, ordinary_rows),
    bytes("bytes, rows of the list that change on an ordinary day", LIST, ordinary_bytes),
    memory("memory, list and its tables", LIST, |w| w.line("router.memory.member", w.at.members())),
    memory("memory, the module's tables of the list", "src/decide.rs, src/state.rs", |w| {
        w.line("module.list.memory", w.at.members())
    }),
    bytes("bytes, whole list asked again while the agent is silent, by the list", LIST, |w| {
        w.line("list.whole.bytes", w.at.members()) / ASKED_AGAIN
    }),
    bytes("bytes, whole list asked again while the agent is silent, a router process", LIST, |w| {
        w.line("router.list.silent", w.at.members())
    }),
    processor("processor, whole list taken in again while the agent is silent", LIST, |w| {
        whole_list(w) / ASKED_AGAIN
    }),
    processor("processor, nothing asked, all members listed", "crates/router (main.rs)", |w| {
        w.line("router.cpu.idle.member", w.at.members())
    }),
    bytes("bytes, probes of members", "crates/router (nodes.rs), src/decide.rs", probe_bytes),
    processor("processor, membership", MEMBERSHIP, |w| membership(w, "membership.cpu.instance")),
    memory("memory, membership", MEMBERSHIP, |w| membership(w, "membership.memory.instance")),
    bytes("bytes, membership", MEMBERSHIP, |w| membership(w, "membership.bytes.instance")),
    processor("processor, shared signals", SHARED, shared_processor),
    bytes("bytes, shared signals", SHARED, shared_bytes),
    processor("processor, subsets worked out whole at each change of configuration", SUBSETS, |w| {
        let changes = w.at.changes();
        subsets(w, changes)
    }),
    processor("processor, subsets worked out whole at each changed row of the list", SUBSETS, |w| {
        let rows = w.at.rows();
        subsets(w, rows)
    }),
    processor("processor, subsets that follow each changed row of the list", FOLLOWED, |w| {
        w.at.rows() * w.line("subset.cpu.change", w.at.routers() * w.at.members())
    }),
    of_configuration(processor("processor, changes of configuration", CONFIGURATION, change_processor)),
    of_configuration(bytes("bytes, changes of configuration", CONFIGURATION, change_bytes)),
    of_configuration(memory("memory, settings document", CONFIGURATION, document)),
    processor("processor, all control together on an ordinary day", "the rows above", all_processor),
    memory("memory, all control together", "the rows above", all_memory),
    bytes("bytes, all control together on an ordinary day", "the rows above", all_bytes),
];
