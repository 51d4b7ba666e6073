//! A schedule from an operator file; see `examples/chaos.hcl`.

use crate::schedule::{Act, Deed, MOST, Schedule, Window};
use vetchkeel_link::fault::Fault;
use vetchkeel_link::{Name, Tenths};
use vetchkeel_operator::{FileError, OperatorFile, Section, Value};

/// The longest time in such a file: a day, in microseconds.
const DAY: i64 = 24 * 3_600 * 1_000_000;
const ACTS: [(&str, Act); 5] = [
    ("kill", Act::Kill),
    ("stop", Act::Stop),
    ("continue", Act::Continue),
    ("start", Act::Start),
    ("restart", Act::Restart),
];

/// The instances' names and what goes wrong between them.
pub fn read(file: &OperatorFile) -> Result<(Vec<Name>, Schedule), FileError> {
    let root = file.root();
    let seed = root.whole("seed", 1, 0..=(1 << 53))?;
    let mut names = Vec::new();
    for value in root.require("names")?.list()? {
        let fits = Name::new(value.text()?).filter(|n| !names.contains(n));
        names.push(fits.ok_or_else(|| value.wrong("a name of 1 to 48 letters, digits, -, _ or ., once"))?);
    }
    let mut schedule = Schedule::quiet(seed);
    for block in root.blocks("fault")? {
        schedule.windows.push(window(&block.section, &names)?);
    }
    for block in root.blocks("process")? {
        let section = block.section;
        let value = section.require("name")?;
        let name = name(&value, value.text()?, &names)?;
        let at = tenths(section.require("at")?.time(0..=DAY)?);
        let act = section.require("act")?.choice(&ACTS)?;
        section.done()?;
        schedule.deeds.push(Deed { at, name, act });
    }
    // Danger: each change looks at each window for each link.
    if schedule.windows.len() + schedule.deeds.len() > MOST {
        return Err(root.wrong(format!("{MOST} blocks fault and process at most"), "more"));
    }
    root.done()?;
    Ok((names, schedule))
}

fn tenths(micros: i64) -> Tenths {
    micros / 100
}

fn window(section: &Section<'_>, names: &[Name]) -> Result<Window, FileError> {
    let from = section.time("from", 0, 0..=DAY)?;
    let until = section.value("until").map(|v| v.time(from + 100..=DAY)).transpose()?;
    let mut links = Vec::new();
    for value in section.require("links")?.list()? {
        links.extend(pairs(&value, names)?);
    }
    let fault = Fault {
        cut: section.flag("cut", false)?,
        reset: section.flag("reset", false)?,
        drop: section.number("drop", 0.0, 0.0..=1.0)?,
        duplicate: section.number("duplicate", 0.0, 0.0..=1.0)?,
        reorder: section.number("reorder", 0.0, 0.0..=1.0)?,
        delay: tenths(section.time("delay", 0, 0..=60_000_000)?),
        jitter: tenths(section.time("jitter", 0, 0..=60_000_000)?),
        rate: section.whole("rate", 0, 0..=10_000_000_000)?,
    };
    if fault == Fault::default() {
        return Err(section.wrong("one of cut, reset, drop, duplicate, reorder, delay, jitter, rate", "none"));
    }
    section.done()?;
    Ok(Window { from: tenths(from), until: until.map(tenths), links, fault })
}

fn name(value: &Value<'_>, text: &str, names: &[Name]) -> Result<Name, FileError> {
    names.iter().find(|n| n.as_str() == text).cloned().ok_or_else(|| value.wrong("one of the file's names"))
}

type Link = (Option<Name>, Option<Name>);

/// `a > b`, `a <> b`; `*` for any.
fn pairs(value: &Value<'_>, names: &[Name]) -> Result<Vec<Link>, FileError> {
    let end = |text: &str| match text.trim() {
        "*" => Ok(None),
        text => name(value, text, names).map(Some),
    };
    let text = value.text()?;
    if let Some((one, other)) = text.split_once("<>") {
        let (one, other) = (end(one)?, end(other)?);
        return Ok(vec![(one.clone(), other.clone()), (other, one)]);
    }
    let Some((from, to)) = text.split_once('>') else {
        return Err(value.wrong("a link such as \"a > b\" or \"a <> b\", * for any"));
    };
    Ok(vec![(end(from)?, end(to)?)])
}
