//! Values that operator files of routers and control machines have in common.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use vetchkeel_configuration::{Name, Plan, Tenths};
use vetchkeel_operator::{Section, Value, Wrong};

/// Machines, or routers by other ways, in one file.
const MOST_NAMED: usize = 1_024;
const NAME: &str = "a name of 1 to 32 letters, digits, '-', '_' or '.'";

/// A name of a router or control machine.
pub fn name(value: &Value<'_>) -> Result<Name, Wrong> {
    Name::new(value.text()?).map_err(|_| value.wrong(NAME))
}

/// Where the others reach this one.
pub fn address(section: &Section<'_>) -> Result<SocketAddr, Wrong> {
    let value = section.need("address")?;
    let parsed: Option<SocketAddr> = value.text()?.parse().ok();
    // Danger: others are told this address. One that says "any" would lead each of them to itself.
    let good = parsed.filter(|a| a.port() != 0 && !a.ip().is_unspecified());
    good.ok_or_else(|| value.wrong("an address and port that others reach, such as \"127.0.0.1:7500\""))
}

/// Blocks such as `machine "c1" { address = "127.0.0.2:7500" }`.
pub fn machines(section: &Section<'_>, what: &str) -> Result<BTreeMap<Name, SocketAddr>, Wrong> {
    let mut all = BTreeMap::new();
    for block in section.blocks(what)? {
        let label = block.label.unwrap_or_default();
        let named = Name::new(&label).map_err(|_| block.section.wrong(format!("{NAME} as label"), label))?;
        if all.len() == MOST_NAMED {
            return Err(block.section.wrong(format!("at most {MOST_NAMED} blocks {what}"), "a further one"));
        }
        all.insert(named, address(&block.section)?);
        block.section.done()?;
    }
    Ok(all)
}

/// Operators write times to the microsecond, a plan counts tenths of a millisecond.
fn time(section: &Section<'_>, name: &str, or: Tenths) -> Result<Tenths, Wrong> {
    section.time(name, or * 100, 100..=864_000_000_000).map(|micros| micros / 100)
}

/// The block `plan`, if there is one: the same at all routers and control machines.
pub fn plan(section: &Section<'_>) -> Result<Plan, Wrong> {
    let or = Plan::default();
    let Some(section) = section.block("plan")? else { return Ok(or) };
    let count =
        |name: &str, or: usize, most: u64| section.whole(name, or as u64, 1..=most).map(|n| n as usize);
    let plan = Plan {
        beat: time(&section, "beat", or.beat)?,
        say: time(&section, "say", or.say)?,
        patience: time(&section, "patience", or.patience)?,
        stand: time(&section, "stand", or.stand)?,
        spread: time(&section, "spread", or.spread)?,
        pause: time(&section, "pause", or.pause)?,
        home: time(&section, "home", or.home)?,
        start_wait: time(&section, "start_wait", or.start_wait)?,
        verdict: time(&section, "verdict", or.verdict)?,
        report: time(&section, "report", or.report)?,
        forget: time(&section, "forget", or.forget)?,
        bytes_a_second: section.whole("bytes_a_second", or.bytes_a_second.into(), 1..=1 << 30)? as u32,
        places: count("places", or.places, 65_536)?,
        names: count("names", or.names, 1 << 20)?,
        log_changes: count("log_changes", or.log_changes, 1 << 20)?,
        log_bytes: count("log_bytes", or.log_bytes, 1 << 30)?,
        ..or
    };
    section.done()?;
    plan.check().map_err(|bad| match section.value(bad.what) {
        Some(value) => value.wrong(bad.expected),
        None => section.wrong(format!("{} for {}", bad.expected, bad.what), "the usual value"),
    })?;
    Ok(plan)
}
