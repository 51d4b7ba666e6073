//! What each event asks of each role: the peak where all is done at once, as the program does today, and the time until it is
//! over where each role keeps inside its allowance.

use crate::rows::{Unbuilt, Unit, at_member, changed_bytes, changed_rows, whole_list};
use crate::{Role, Scaled, Size, Work};
use serde::Serialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    Primary,
    Configuration,
    Machine,
    Rack,
    Zone,
    Regions,
    Stream,
    Wave,
    Start,
}

impl Event {
    pub const ALL: [Event; 9] = [
        Event::Primary,
        Event::Configuration,
        Event::Machine,
        Event::Rack,
        Event::Zone,
        Event::Regions,
        Event::Stream,
        Event::Wave,
        Event::Start,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Event::Primary => "a change of primary",
            Event::Configuration => "a change of configuration",
            Event::Machine => "a machine lost and back",
            Event::Rack => "a rack lost and back",
            Event::Zone => "a zone lost and back",
            Event::Regions => "two regions apart and together again",
            Event::Stream => "a day's restarts as a steady stream",
            Event::Wave => "a day's restarts as one wave",
            Event::Start => "the whole fleet started at once",
        }
    }

    /// When it ought to be over, seconds.
    pub fn within(self, size: &Size) -> f64 {
        match self {
            Event::Primary => size.primary_changes.within,
            Event::Configuration => size.configuration.within,
            // A stream is one after the other.
            Event::Machine | Event::Stream => size.over.machine,
            Event::Rack => size.over.rack,
            Event::Zone => size.over.zone,
            Event::Regions => size.over.regions,
            Event::Wave => size.over.wave,
            Event::Start => size.over.start,
        }
    }

    /// Members that go and come back: as many as may, so all machines of a rack or a day.
    fn members(self, at: &Scaled<'_>) -> f64 {
        match self {
            Event::Machine | Event::Stream => 1.0,
            Event::Rack => at.machines_in_a_rack(),
            Event::Zone => at.members_a_zone(),
            Event::Regions => at.members_a_region(),
            Event::Wave => at.restarted(),
            Event::Start => at.members(),
            Event::Primary | Event::Configuration => 0.0,
        }
    }

    /// Rows of the list that change: two where a primary does.
    fn rows(self, at: &Scaled<'_>) -> f64 {
        match self {
            Event::Primary => 2.0,
            other => other.members(at) * at.machines.rows,
        }
    }

    /// Routers that reach a member anew when it is back.
    fn routers(self, at: &Scaled<'_>) -> f64 {
        match self {
            // Those of the other region.
            Event::Regions => at.routers() / at.regions,
            _ => at.routers(),
        }
    }
}

pub(crate) type Need = fn(&mut Work<'_>, Event) -> f64;
/// Of what, how much, and what is allowed.
pub(crate) type Peak = (Unit, Need, fn(&Size) -> f64);

/// What one role does in some events.
pub(crate) struct Part {
    pub(crate) role: Role,
    pub(crate) events: &'static [Event],
    pub(crate) does: &'static str,
    pub(crate) by: &'static str,
    /// Where all is done at once.
    pub(crate) peak: Option<Peak>,
    /// Seconds until it is over inside the allowance.
    pub(crate) over: Need,
    pub(crate) configuration: Option<Unbuilt>,
}

const LISTED: &[Event] =
    &[Event::Primary, Event::Machine, Event::Rack, Event::Zone, Event::Regions, Event::Stream, Event::Wave];
const LOST: &[Event] =
    &[Event::Machine, Event::Rack, Event::Zone, Event::Regions, Event::Stream, Event::Wave];
const BACK: &[Event] =
    &[Event::Machine, Event::Rack, Event::Zone, Event::Regions, Event::Stream, Event::Wave, Event::Start];
const STARTED: &[Event] = &[Event::Stream, Event::Wave, Event::Start];

/// Periods of `crates/membership/src/plan.rs`, seconds: of a probe; least suspicion a tenfold of the fleet; the longest is
/// so many times the least.
const PERIOD: f64 = 0.5;
const TENFOLD: f64 = 4.0 * PERIOD;
const SLACK: f64 = 3.0;

fn rows_work(w: &mut Work<'_>, event: Event) -> f64 {
    let rows = event.rows(&w.at);
    changed_rows(w, rows)
}

fn rows_bytes(w: &mut Work<'_>, event: Event) -> f64 {
    let rows = event.rows(&w.at);
    changed_bytes(w, rows)
}

/// Two rounds of probes and the longest suspicion.
fn held_dead(w: &mut Work<'_>, _: Event) -> f64 {
    2.0 * PERIOD + SLACK * TENFOLD * w.at.routers().log10().max(1.0)
}

/// Connections of all routers that reach one member anew.
fn dials(w: &mut Work<'_>, event: Event) -> f64 {
    event.routers(&w.at) / w.at.routers() * at_member(w, "router.connections.member")
}

fn list_bytes(w: &mut Work<'_>, _: Event) -> f64 {
    w.line("list.whole.bytes", w.at.members())
}

fn document_bytes(w: &mut Work<'_>) -> f64 {
    w.line("configuration.bytes.whole", w.at.document())
}

/// Routers that ask one control machine for a whole copy: as many as may.
fn copies(w: &Work<'_>, event: Event) -> f64 {
    match event {
        Event::Start => w.at.served(),
        Event::Wave => w.at.restarted().min(w.at.routers()) / w.at.control_machines.count,
        _ => 1.0,
    }
}

fn copies_bytes(w: &mut Work<'_>, event: Event) -> f64 {
    copies(w, event) * document_bytes(w)
}

const LIST: &str = "crates/router (watch.rs), src/decide.rs";
const NOT_THERE: Unbuilt =
    Unbuilt::Impossible("takes effect at the next start: every router would be started again");

pub(crate) const PARTS: [Part; 12] = [
    Part {
        role: Role::RouterControl,
        events: LISTED,
        does: "takes in the changed rows",
        by: LIST,
        peak: Some((Unit::CoreSeconds, rows_work, |s| s.control.cores)),
        over: |w, e| rows_work(w, e) / w.at.control.cores,
        configuration: None,
    },
    Part {
        role: Role::RouterControl,
        events: LISTED,
        does: "is told the changed rows",
        by: "crates/discovery (watch.rs)",
        peak: Some((Unit::BytesASecond, rows_bytes, |s| s.control.bytes)),
        over: |w, e| rows_bytes(w, e) / w.at.control.bytes,
        configuration: None,
    },
    Part {
        role: Role::RouterControl,
        events: LOST,
        does: "holds a lost router dead, nobody confirming it",
        by: "crates/membership (suspicion.rs)",
        peak: None,
        over: held_dead,
        configuration: None,
    },
    Part {
        role: Role::Database,
        events: BACK,
        does: "is dialled by the routers that lost it",
        by: "crates/router (nodes.rs)",
        peak: Some((Unit::ASecond, dials, |s| s.member.dials)),
        over: |w, e| dials(w, e) / w.at.member.dials,
        configuration: None,
    },
    Part {
        role: Role::RouterControl,
        events: STARTED,
        does: "is told the whole list at its start",
        by: LIST,
        peak: Some((Unit::BytesASecond, list_bytes, |s| s.control.bytes)),
        over: |w, e| list_bytes(w, e) / w.at.control.bytes,
        configuration: None,
    },
    Part {
        role: Role::RouterControl,
        events: STARTED,
        does: "takes the whole list in at its start",
        by: LIST,
        peak: Some((Unit::CoreSeconds, |w, _| whole_list(w), |s| s.control.cores)),
        over: |w, _| whole_list(w) / w.at.control.cores,
        configuration: None,
    },
    Part {
        role: Role::RouterControl,
        events: &[Event::Start],
        does: "learns which routers are there",
        by: "crates/membership (membership/learn.rs, rumours.rs)",
        peak: None,
        over: |w, _| w.line("membership.bytes.start.instance", w.at.routers()) / w.at.control.bytes,
        configuration: None,
    },
    Part {
        role: Role::RouterControl,
        events: &[Event::Start],
        does: "works out which routers are there",
        by: "crates/membership (membership/learn.rs, rumours.rs)",
        peak: None,
        over: |w, _| w.line("membership.cpu.start.instance", w.at.routers()) / w.at.control.cores,
        configuration: None,
    },
    Part {
        role: Role::RouterClients,
        events: STARTED,
        does: "takes back its clients",
        by: "crates/router (clients/crowd.rs)",
        peak: Some((Unit::Connections, |w, _| w.at.clients(), |s| s.router.descriptors)),
        over: |w, _| w.line("router.accept.client", w.at.clients()) / w.at.router.room.cores,
        configuration: None,
    },
    Part {
        role: Role::RouterControl,
        events: &[Event::Configuration],
        does: "puts it in force",
        by: "crates/configuration (subscriber.rs)",
        peak: Some((
            Unit::BytesASecond,
            |w, _| w.each("configuration.bytes.change", 1.0),
            |s| s.control.bytes,
        )),
        over: |w, _| {
            let told = w.each("configuration.bytes.change", 1.0) / w.at.control.bytes;
            told + w.each("configuration.cpu.change", 1.0) / w.at.control.cores
        },
        configuration: Some(NOT_THERE),
    },
    Part {
        role: Role::ControlMachine,
        events: &[Event::Configuration],
        does: "tells it to the routers it serves, as few machines as may be left",
        by: "crates/configuration (machine.rs)",
        peak: Some((
            Unit::BytesASecond,
            |w, _| w.line("configuration.machine.bytes.router", w.at.served_at_worst()),
            |s| s.control_machines.room.bytes,
        )),
        over: |w, _| {
            let served = w.at.served_at_worst();
            let processor = w.line("configuration.machine.cpu.router", served);
            processor
                + w.line("configuration.machine.bytes.router", served) / w.at.control_machines.room.bytes
        },
        configuration: Some(Unbuilt::LeftOut),
    },
    Part {
        role: Role::ControlMachine,
        events: STARTED,
        does: "gives whole copies, each paced to its router's bytes a second",
        by: "crates/configuration (machine.rs)",
        peak: Some((Unit::BytesASecond, copies_bytes, |s| s.control_machines.room.bytes)),
        over: |w, e| {
            let own = copies_bytes(w, e) / w.at.control_machines.room.bytes;
            own.max(document_bytes(w) / w.at.control.bytes)
        },
        configuration: Some(Unbuilt::LeftOut),
    },
];
