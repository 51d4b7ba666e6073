//! The operator file of the fleet: this router's address and zone, the seeds through which it joins, and the timing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use vetchkeel::Tenths;
use vetchkeel_membership::{MOST_INSTANCES, Name, Plan, Zone};
use vetchkeel_operator::{FileError, OperatorFile, Section};

/// Maximum number of `seed` blocks and of `via` blocks in one file: the size of the whole fleet for each.
pub const MAX_NAMED_ROUTERS: usize = MOST_INSTANCES;

/// The validated contents of the file.
#[derive(Debug)]
pub struct FleetSettings {
    pub address: SocketAddr,
    pub zone: Option<Zone>,
    pub seeds: BTreeMap<Name, SocketAddr>,
    /// Addresses of routers that are reached at another address than the one they announce.
    pub via: BTreeMap<Name, SocketAddr>,
    pub plan: Plan,
}

fn address(section: &Section<'_>) -> Result<SocketAddr, FileError> {
    let value = section.require("address")?;
    let parsed: Option<SocketAddr> = value.text()?.parse().ok();
    // Danger: this address is announced to the other routers. An unspecified address would lead each of them to itself.
    let usable = parsed.filter(|a| a.port() != 0 && !a.ip().is_unspecified());
    usable.ok_or_else(|| value.wrong("an address and port that others reach, such as \"127.0.0.1:7400\""))
}

fn named_addresses(section: &Section<'_>, what: &str) -> Result<BTreeMap<Name, SocketAddr>, FileError> {
    let mut all = BTreeMap::new();
    for block in section.blocks(what)? {
        let label = block.label.unwrap_or_default();
        let expected = "a label that is a router's name: 1 to 32 letters, digits, '-', '_' or '.'";
        let name = super::name_of(&label).ok_or_else(|| block.section.wrong(expected, label))?;
        if all.len() == MAX_NAMED_ROUTERS {
            return Err(block
                .section
                .wrong(format!("at most {MAX_NAMED_ROUTERS} blocks {what}"), "a further one"));
        }
        all.insert(name, address(&block.section)?);
        block.section.done()?;
    }
    Ok(all)
}

/// Reads a time. The file has microsecond resolution, a plan uses tenths of a millisecond.
fn time(section: &Section<'_>, name: &str, default: Tenths) -> Result<Tenths, FileError> {
    section.time(name, default * 100, 100..=864_000_000_000).map(|micros| micros / 100)
}

fn plan(section: &Section<'_>, fleet: u32) -> Result<Plan, FileError> {
    let default = Plan::default();
    let plan = Plan {
        fleet,
        period: time(section, "period", default.period)?,
        helpers: section.whole("helpers", default.helpers as u64, 0..=8)? as usize,
        patience: section.whole("patience", default.patience as u64, 1..=32)? as i64,
        slack: section.whole("slack", default.slack as u64, 1..=32)? as i64,
        reach: time(section, "reach", default.reach)?,
        compare: time(section, "compare", default.compare)?,
        forget: time(section, "forget", default.forget)?,
    };
    section.done()?;
    plan.check().map_err(|bad| match section.value(bad.what) {
        Some(value) => value.wrong(bad.expected),
        None => section.wrong(format!("{} for {}", bad.expected, bad.what), "the usual value"),
    })?;
    Ok(plan)
}

fn parse(file: &OperatorFile) -> Result<FleetSettings, FileError> {
    let root = file.root();
    let fleet = root.require_block("fleet")?;
    let number = fleet.whole("number", 0, 0..=u64::from(u32::MAX))? as u32;
    let zone = match fleet.value("zone") {
        None => None,
        Some(value) => Some(Zone::new(value.text()?).map_err(|_| value.wrong("1 to 32 bytes"))?),
    };
    let plan = match fleet.block("plan")? {
        None => Plan { fleet: number, ..Plan::default() },
        Some(section) => plan(&section, number)?,
    };
    let settings = FleetSettings {
        address: address(&fleet)?,
        zone,
        seeds: named_addresses(&fleet, "seed")?,
        via: named_addresses(&fleet, "via")?,
        plan,
    };
    fleet.done()?;
    root.done()?;
    Ok(settings)
}

/// Reads and validates the file. The error is one line: file, line, what was expected.
pub fn read(path: &Path) -> Result<FleetSettings, String> {
    OperatorFile::read(path).and_then(|file| parse(&file)).map_err(|wrong| wrong.to_string())
}

#[cfg(test)]
mod tests;
