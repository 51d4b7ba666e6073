//! A schedule from an operator file; see `examples/scale.hcl`.

use crate::schedule::{Control, Driver, Event, Links, Region, Schedule, Signals, Size, What};
use crate::{SECOND, Tenths};
use vetchkeel_operator::{FileError, OperatorFile, Section, Value};

/// The longest play, in microseconds: a day.
const DAY: i64 = 24 * 3_600 * 1_000_000;
/// Most of each; a file with more is refused.
const MOST_ROUTERS: u64 = 10_000;
const MOST_MEMBERS: u64 = 50_000;
const MOST_MACHINES: u64 = 100;
const MOST_EVENTS: usize = 1_000;
const MOST_CHANGES: u64 = 10_000;
/// Most real router processes.
pub const MOST_PROCESSES: u64 = 250;

/// # Errors
/// [`FileError`]: file, line, column, what was expected and what was found.
pub fn read(file: &OperatorFile) -> Result<Schedule, FileError> {
    let root = file.root();
    let driver = root.choice(
        "driver",
        Driver::Simulated,
        &[("simulated", Driver::Simulated), ("loopback", Driver::Loopback)],
    )?;
    let mut schedule = Schedule {
        driver,
        seed: root.whole("seed", 1, 0..=(1 << 53))?,
        length: tenths(root.require("length")?.time(1_000_000..=DAY)?),
        size: size(&root.require_block("size")?, driver)?,
        regions: regions(&root)?,
        links: links(root.block("links")?)?,
        control: control(root.block("control")?)?,
        signals: signals(root.block("signals")?)?,
        start_over: 0,
        events: Vec::new(),
    };
    if let Some(start) = root.block("start")? {
        schedule.start_over = time(&start, "over", 0, schedule.length)?;
        start.done()?;
    }
    events(&root, &mut schedule)?;
    root.done()?;
    Ok(schedule)
}

fn tenths(micros: i64) -> Tenths {
    micros / 100
}

fn time(section: &Section<'_>, name: &str, or: Tenths, most: Tenths) -> Result<Tenths, FileError> {
    Ok(tenths(section.time(name, or * 100, 0..=most * 100)?))
}

fn size(section: &Section<'_>, driver: Driver) -> Result<Size, FileError> {
    let most = if driver == Driver::Loopback { MOST_PROCESSES } else { MOST_ROUTERS };
    let routers = section.require("routers")?.whole(1..=most)?;
    let members = section.require("members")?.whole(1..=MOST_MEMBERS)?;
    let size = Size {
        routers: routers as usize,
        members: members as usize,
        sets: section.whole("sets", members.div_ceil(7), 1..=members)? as usize,
        modules: section.whole("modules", routers, 0..=routers)? as usize,
        readers: section.whole("readers", routers, 0..=routers)? as usize,
        observers: section.whole("observers", routers.min(20), 0..=routers)? as usize,
    };
    section.done()?;
    Ok(size)
}

fn regions(root: &Section<'_>) -> Result<Vec<Region>, FileError> {
    let mut regions = Vec::new();
    for block in root.blocks("region")? {
        let name = block.label.clone().ok_or_else(|| block.section.wrong("a label for region", "none"))?;
        let zones = block.section.require("zones")?;
        let mut names = Vec::new();
        for value in zones.list()? {
            names.push(short(&value)?);
        }
        if names.is_empty() {
            return Err(zones.wrong("a zone at least"));
        }
        block.section.done()?;
        regions.push(Region { name, zones: names });
    }
    if regions.is_empty() {
        return Err(root.wrong("a block region", "none"));
    }
    Ok(regions)
}

fn short(value: &Value<'_>) -> Result<String, FileError> {
    let text = value.text()?;
    let fits = !text.is_empty() && text.len() <= 32;
    if fits { Ok(text.to_owned()) } else { Err(value.wrong("a name of 1 to 32 bytes")) }
}

fn links(section: Option<Section<'_>>) -> Result<Links, FileError> {
    let usual = Links { within_zone: 3, within_region: 10, between_regions: 300, jitter: 0.5, loss: 0.001 };
    let Some(section) = section else { return Ok(usual) };
    let links = Links {
        within_zone: time(&section, "within_zone", usual.within_zone, 60 * SECOND)?,
        within_region: time(&section, "within_region", usual.within_region, 60 * SECOND)?,
        between_regions: time(&section, "between_regions", usual.between_regions, 60 * SECOND)?,
        jitter: section.number("jitter", usual.jitter, 0.0..=10.0)?,
        loss: section.number("loss", usual.loss, 0.0..=0.9)?,
    };
    section.done()?;
    Ok(links)
}

fn control(section: Option<Section<'_>>) -> Result<Control, FileError> {
    let usual = Control { machines: 0, keepers: 0, names: 400, value_bytes: 24 };
    let Some(section) = section else { return Ok(usual) };
    let machines = section.require("machines")?.whole(0..=MOST_MACHINES)?;
    let or = match machines {
        0 => 0,
        some => (some.min(5) - 1) | 1,
    };
    let keepers = section.whole("keepers", or, 0..=machines.min(9))?;
    if (keepers % 2 == 0) != (machines == 0) {
        return Err(section.require("keepers")?.wrong("an odd number of keepers"));
    }
    let control = Control {
        machines: machines as usize,
        keepers: keepers as usize,
        names: section.whole("names", usual.names as u64, 1..=20_000)? as usize,
        value_bytes: section.whole("value_bytes", usual.value_bytes as u64, 1..=1_000)? as usize,
    };
    section.done()?;
    Ok(control)
}

fn signals(section: Option<Section<'_>>) -> Result<Signals, FileError> {
    let Some(section) = section else { return Ok(Signals { topics: 0, judged: 0 }) };
    let topics = section.whole("topics", 1, 0..=64)? as u32;
    let judged = section.whole("judged", 0, 0..=100)? as usize;
    section.done()?;
    Ok(Signals { topics, judged })
}

/// The blocks that are events, with what reads each.
type Reader = fn(&Section<'_>, &Schedule, Tenths) -> Result<What, FileError>;
const KINDS: [(&str, Reader); 9] = [
    ("restart", restart),
    ("zone_lost", zone_lost),
    ("cut", cut),
    ("machine_killed", machine_killed),
    ("machine_stopped", machine_stopped),
    ("changes", changes),
    ("broken_change", broken_change),
    ("list_changes", list_changes),
    ("agents_silent", agents_silent),
];

/// Events that the player on loopback has no means for.
const SIMULATED_ALONE: [&str; 5] = ["cut", "machine_killed", "machine_stopped", "changes", "broken_change"];

fn events(root: &Section<'_>, schedule: &mut Schedule) -> Result<(), FileError> {
    let mut events = Vec::new();
    for (kind, read) in KINDS {
        for block in root.blocks(kind)? {
            let section = block.section;
            if schedule.driver == Driver::Loopback && SIMULATED_ALONE.contains(&kind) {
                return Err(section.wrong(format!("driver = \"simulated\" for {kind}"), "\"loopback\""));
            }
            let at = tenths(section.require("at")?.time(0..=schedule.length * 100)?);
            let what = read(&section, schedule, at)?;
            section.done()?;
            let name = block.label.unwrap_or_else(|| kind.to_owned());
            events.push(Event { name, at, what });
            if events.len() > MOST_EVENTS {
                return Err(section.wrong(format!("{MOST_EVENTS} events at most"), "more"));
            }
        }
    }
    schedule.events = events;
    Ok(())
}

/// A time after `at` and inside the play.
fn until(section: &Section<'_>, schedule: &Schedule, at: Tenths) -> Result<Option<Tenths>, FileError> {
    let range = (at + 1) * 100..=schedule.length * 100;
    section.value("until").map(|value| value.time(range).map(tenths)).transpose()
}

fn need_until(section: &Section<'_>, schedule: &Schedule, at: Tenths) -> Result<Tenths, FileError> {
    section.require("until")?;
    Ok(until(section, schedule, at)?.unwrap_or(schedule.length))
}

fn restart(section: &Section<'_>, schedule: &Schedule, at: Tenths) -> Result<What, FileError> {
    let all = schedule.size.routers as u64;
    let routers = section.whole("routers", all, 1..=all)? as usize;
    let left = schedule.length - at;
    let over = match section.value("a_minute") {
        Some(value) => {
            let a_minute = value.whole(1..=1_000_000)? as Tenths;
            let over = routers as Tenths * 60 * SECOND / a_minute;
            if over > left { Err(value.wrong("as many a minute as end inside the play")) } else { Ok(over) }?
        }
        None => time(section, "over", 0, left)?,
    };
    Ok(What::Restart { routers, over, away: time(section, "away", 2 * SECOND, left)? })
}

fn zone_lost(section: &Section<'_>, schedule: &Schedule, at: Tenths) -> Result<What, FileError> {
    let value = section.require("zone")?;
    let text = value.text()?;
    let zone = schedule.zones().position(|(_, zone)| zone == text);
    let zone = zone.ok_or_else(|| value.wrong("one of the regions' zones"))?;
    Ok(What::ZoneLost { zone, until: need_until(section, schedule, at)? })
}

fn cut(section: &Section<'_>, schedule: &Schedule, at: Tenths) -> Result<What, FileError> {
    let some = |name: &str| -> Result<Vec<usize>, FileError> {
        let value = section.require(name)?;
        let region = |value: &Value<'_>| {
            let text = value.text()?;
            let found = schedule.regions.iter().position(|region| region.name == text);
            found.ok_or_else(|| value.wrong("one of the regions"))
        };
        let regions: Vec<usize> = value.list()?.iter().map(region).collect::<Result<_, _>>()?;
        if regions.is_empty() { Err(value.wrong("a region at least")) } else { Ok(regions) }
    };
    let (from, to) = (some("from")?, some("to")?);
    let both = section.choice("ways", true, &[("both", true), ("one", false)])?;
    Ok(What::Cut { from, to, both, until: need_until(section, schedule, at)? })
}

/// Control machines are counted from 1.
fn machine(section: &Section<'_>, schedule: &Schedule) -> Result<usize, FileError> {
    let value = section.require("machine")?;
    match schedule.control.machines as u64 {
        0 => Err(value.wrong("a block control with machines")),
        most => Ok(value.whole(1..=most)? as usize - 1),
    }
}

fn machine_killed(section: &Section<'_>, schedule: &Schedule, at: Tenths) -> Result<What, FileError> {
    Ok(What::Killed { machine: machine(section, schedule)?, until: until(section, schedule, at)? })
}

fn machine_stopped(section: &Section<'_>, schedule: &Schedule, at: Tenths) -> Result<What, FileError> {
    Ok(What::Stopped { machine: machine(section, schedule)?, until: until(section, schedule, at)? })
}

/// How many, how often: the last is due inside the play.
fn series(section: &Section<'_>, schedule: &Schedule, at: Tenths) -> Result<(usize, Tenths), FileError> {
    let every = time(section, "every", 0, schedule.length)?;
    let count = section.whole("count", 1, 1..=MOST_CHANGES)? as usize;
    if at + every * (count as Tenths - 1) > schedule.length {
        return Err(section.require("count")?.wrong("as many as are due inside the play"));
    }
    Ok((count, every))
}

fn changes(section: &Section<'_>, schedule: &Schedule, at: Tenths) -> Result<What, FileError> {
    if schedule.control.machines == 0 {
        return Err(section.wrong("a block control with machines", "none"));
    }
    let (count, every) = series(section, schedule, at)?;
    let names = section.whole("names", 1, 1..=schedule.control.names as u64)? as usize;
    Ok(What::Changes { count, every, names })
}

fn broken_change(section: &Section<'_>, schedule: &Schedule, _: Tenths) -> Result<What, FileError> {
    if schedule.control.machines == 0 {
        return Err(section.wrong("a block control with machines", "none"));
    }
    Ok(What::Broken)
}

fn list_changes(section: &Section<'_>, schedule: &Schedule, at: Tenths) -> Result<What, FileError> {
    let (count, every) = series(section, schedule, at)?;
    let rows = section.whole("rows", 1, 1..=schedule.size.members as u64)? as usize;
    Ok(What::ListChanges { count, every, rows })
}

fn agents_silent(section: &Section<'_>, schedule: &Schedule, at: Tenths) -> Result<What, FileError> {
    let all = schedule.size.routers as u64;
    let routers = section.whole("routers", all, 1..=all)? as usize;
    let answers = section.flag("answers", false)?;
    Ok(What::Silent { routers, until: need_until(section, schedule, at)?, answers })
}
