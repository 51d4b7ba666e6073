//! Values that occur in the operator files of both routers and control machines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use vetchkeel_configuration::{Name, Plan, Tenths};
use vetchkeel_operator::{FileError, Section, Value};

/// Maximum number of blocks with an address of a machine or router in one file.
const MAX_NAMED: usize = 1_024;
const NAME: &str = "a name of 1 to 32 letters, digits, '-', '_' or '.'";

/// Parses the name of a router or control machine.
pub fn name(value: &Value<'_>) -> Result<Name, FileError> {
    Name::new(value.text()?).map_err(|_| value.wrong(NAME))
}

/// Parses the address at which the others reach this process.
pub fn address(section: &Section<'_>) -> Result<SocketAddr, FileError> {
    let value = section.require("address")?;
    let parsed: Option<SocketAddr> = value.text()?.parse().ok();
    // The address is sent to others. Guards against an unspecified address such as 0.0.0.0, with which each of them would
    // connect to itself.
    let good = parsed.filter(|a| a.port() != 0 && !a.ip().is_unspecified());
    good.ok_or_else(|| value.wrong("an address and port that others reach, such as \"127.0.0.1:7500\""))
}

/// Parses blocks such as `machine "c1" { address = "127.0.0.2:7500" }`.
pub fn machines(section: &Section<'_>, what: &str) -> Result<BTreeMap<Name, SocketAddr>, FileError> {
    let mut all = BTreeMap::new();
    for block in section.blocks(what)? {
        let label = block.label.unwrap_or_default();
        let named = Name::new(&label).map_err(|_| block.section.wrong(format!("{NAME} as label"), label))?;
        if all.len() == MAX_NAMED {
            return Err(block.section.wrong(format!("at most {MAX_NAMED} blocks {what}"), "a further one"));
        }
        all.insert(named, address(&block.section)?);
        block.section.done()?;
    }
    Ok(all)
}

/// Reads a time. Operator files have microseconds, a plan has tenths of a millisecond.
fn time(section: &Section<'_>, name: &str, default: Tenths) -> Result<Tenths, FileError> {
    section.time(name, default * 100, 100..=864_000_000_000).map(|micros| micros / 100)
}

/// Parses the optional block `plan`, which is the same on all routers and control machines.
pub fn plan(section: &Section<'_>) -> Result<Plan, FileError> {
    let defaults = Plan::default();
    let Some(section) = section.block("plan")? else { return Ok(defaults) };
    let count = |name: &str, default: usize, most: u64| {
        section.whole(name, default as u64, 1..=most).map(|n| n as usize)
    };
    let plan = Plan {
        beat: time(&section, "beat", defaults.beat)?,
        say: time(&section, "say", defaults.say)?,
        patience: time(&section, "patience", defaults.patience)?,
        stand: time(&section, "stand", defaults.stand)?,
        spread: time(&section, "spread", defaults.spread)?,
        pause: time(&section, "pause", defaults.pause)?,
        home: time(&section, "home", defaults.home)?,
        start_wait: time(&section, "start_wait", defaults.start_wait)?,
        verdict: time(&section, "verdict", defaults.verdict)?,
        report: time(&section, "report", defaults.report)?,
        forget: time(&section, "forget", defaults.forget)?,
        bytes_a_second: section.whole("bytes_a_second", defaults.bytes_a_second.into(), 1..=1 << 30)? as u32,
        places: count("places", defaults.places, 65_536)?,
        names: count("names", defaults.names, 1 << 20)?,
        log_changes: count("log_changes", defaults.log_changes, 1 << 20)?,
        log_bytes: count("log_bytes", defaults.log_bytes, 1 << 30)?,
        ..defaults
    };
    section.done()?;
    plan.check().map_err(|bad| match section.value(bad.what) {
        Some(value) => value.wrong(bad.expected),
        None => section.wrong(format!("{} for {}", bad.expected, bad.what), "the usual value"),
    })?;
    Ok(plan)
}
