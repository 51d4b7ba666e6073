//! Discovery's agent, and the machines that hold the configuration.

use super::{Line, Unbuilt, Unit, control, line};
use crate::Role::{Agent, ControlMachine};
use crate::{Size, Work};

const AGENT: &str = "not ours";
const MACHINE: &str = "crates/configuration (machine.rs)";

fn ordinary(w: &mut Work<'_>) -> f64 {
    let rows = w.at.rows();
    control::changed_bytes(w, rows)
}

const fn machine(
    what: &'static str,
    unit: Unit,
    need: fn(&mut Work<'_>) -> f64,
    allowance: fn(&Size) -> f64,
) -> Line {
    let line = line(ControlMachine, what, unit, MACHINE, need, allowance);
    Line { configuration: Some(Unbuilt::LeftOut), ..line }
}

pub(super) const LINES: [Line; 9] = [
    line(Agent, "bytes, rows that change on an ordinary day", Unit::BytesASecond, AGENT, ordinary, |s| {
        s.control.bytes
    }),
    line(
        Agent,
        "processor, rows told",
        Unit::Cores,
        AGENT,
        |w| w.at.rows() * w.line("agent.cpu.row", w.at.members()),
        |s| s.control.cores,
    ),
    line(
        Agent,
        "memory, the list",
        Unit::Bytes,
        AGENT,
        |w| w.line("agent.memory.member", w.at.members()),
        |s| s.control.memory,
    ),
    machine(
        "processor, changes to the routers it serves",
        Unit::Cores,
        |w| w.at.changes() * w.line("configuration.machine.cpu.router", w.at.served()),
        |s| s.control_machines.room.cores,
    ),
    machine(
        "processor, the same with as few machines as may be left",
        Unit::Cores,
        |w| w.at.changes() * w.line("configuration.machine.cpu.router", w.at.served_at_worst()),
        |s| s.control_machines.room.cores,
    ),
    machine(
        "memory, with as few machines as may be left",
        Unit::Bytes,
        |w| w.line("configuration.machine.memory.router", w.at.served_at_worst()),
        |s| s.control_machines.room.memory,
    ),
    machine(
        "bytes, changes to the routers it serves",
        Unit::BytesASecond,
        |w| w.at.changes() * w.line("configuration.machine.bytes.router", w.at.served()),
        |s| s.control_machines.room.bytes,
    ),
    machine(
        "bytes, the same with as few machines as may be left",
        Unit::BytesASecond,
        |w| w.at.changes() * w.line("configuration.machine.bytes.router", w.at.served_at_worst()),
        |s| s.control_machines.room.bytes,
    ),
    machine(
        "descriptors, with as few machines as may be left",
        Unit::Descriptors,
        |w| w.at.served_at_worst() + w.at.control_machines.count,
        |s| s.control_machines.descriptors,
    ),
];
