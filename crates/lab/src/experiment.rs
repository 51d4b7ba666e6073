//! Experiments as operators write them: a fleet, traffic, troubles, routers, a sweep, seeds. Everything is checked
//! before anything runs.

mod parts;

use crate::setup::{ClientsPlan, Decides, Permits, Setup};
use parts::{command_group, customers, fleet_plan, traffic_plan, trouble};
use std::path::Path;
use vetchkeel_emulated::{Micros, Rhythm, SECOND, TrafficPlan};
use vetchkeel_operator::{FileError, OperatorFile, Section, Value};

/// No experiment has more points than this.
const POINTS_MOST: usize = 1_000;
const LONGEST: Micros = 3_600 * SECOND;

/// Where an experiment runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drives {
    Simulated,
    Loopback,
}

/// One combination of the swept values.
pub struct Point {
    /// Path and value as written.
    pub values: Vec<(String, String)>,
    pub setup: Setup,
}

pub struct Experiment {
    pub name: String,
    pub about: String,
    /// The file's text, kept with its results.
    pub text: String,
    pub drives: Drives,
    pub seeds: Vec<u64>,
    pub points: Vec<Point>,
}

impl Experiment {
    pub fn read(path: &Path) -> Result<Experiment, FileError> {
        Experiment::of(&OperatorFile::read(path)?)
    }

    pub fn of(file: &OperatorFile) -> Result<Experiment, FileError> {
        let root = file.root();
        let name = root.require("experiment")?;
        let title = name.text()?;
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
        if title.is_empty() || !title.chars().all(plain) {
            return Err(name.wrong("a name of letters, digits, - and _"));
        }
        let about = root.text("about", "")?;
        let words = [("simulated", Drives::Simulated), ("loopback", Drives::Loopback)];
        let drives = root.choice("driver", Drives::Simulated, &words)?;
        let seeds = match root.value("seeds") {
            None => vec![1],
            Some(seeds) => {
                let list = seeds.list()?;
                if list.is_empty() {
                    return Err(seeds.wrong("at least one seed"));
                }
                list.iter().map(|s| s.whole(0..=u32::MAX as u64)).collect::<Result<_, _>>()?
            }
        };
        let points = sweep(file, &root)?
            .into_iter()
            .map(|values| {
                let swept = file.with(&values);
                let setup = setup(&swept.root(), false)?;
                if let Some(path) = swept.unused().first() {
                    let block = root.blocks("sweep")?.into_iter().find(|b| b.label.as_ref() == Some(path));
                    let section = block.map_or(file.root(), |b| b.section);
                    return Err(section.wrong("the path of a value of this file", format!("\"{path}\"")));
                }
                let values = values.iter().map(|(p, v)| (p.clone(), v.shown().trim_matches('"').to_owned()));
                Ok(Point { values: values.collect(), setup })
            })
            .collect::<Result<Vec<Point>, FileError>>()?;
        Ok(Experiment { name: title.to_owned(), about, text: file.text().to_owned(), drives, seeds, points })
    }
}

/// Every combination of the values that are swept.
fn sweep<'a>(file: &'a OperatorFile, root: &Section<'a>) -> Result<Vec<Vec<(String, Value<'a>)>>, FileError> {
    let mut points: Vec<Vec<(String, Value)>> = vec![Vec::new()];
    for block in root.blocks("sweep")? {
        let label = || block.section.wrong("a path such as \"traffic.rate\" behind sweep", "none");
        let path = block.label.clone().ok_or_else(label)?;
        let values = block.section.require("values")?;
        let list = values.list()?;
        block.section.done()?;
        if list.is_empty() || points.len() * list.len() > POINTS_MOST {
            return Err(values.wrong(format!("1 value or more, {POINTS_MOST} points in all at most")));
        }
        let with = |point: &Vec<(String, Value<'a>)>, value: &Value<'a>| {
            let mut point = point.clone();
            point.push((path.clone(), value.clone()));
            point
        };
        points = points.iter().flat_map(|p| list.iter().map(|v| with(p, v)).collect::<Vec<_>>()).collect();
    }
    let _ = file;
    Ok(points)
}

/// A fleet alone, its traffic as far as the file has it. Blocks of the caller's own must have been asked for.
pub fn fleet_of(root: &Section<'_>) -> Result<Setup, FileError> {
    setup(root, true)
}

fn setup(root: &Section<'_>, of_fleet: bool) -> Result<Setup, FileError> {
    // Read where the file is read as a whole.
    for name in ["experiment", "about", "driver", "seeds"] {
        root.value(name);
    }
    root.blocks("sweep")?;
    let length = root.time("length", 20 * SECOND, SECOND..=LONGEST)?;
    let decides = root.choice("decides", Decides::Module, &Decides::ALL)?;
    let mut groups = Vec::new();
    for block in root.blocks("command_group")? {
        groups.push(command_group(&block)?);
    }
    if groups.is_empty() {
        return Err(root.wrong("a block command_group", "none"));
    }
    let customers = customers(root)?;
    let section = root.require_block("fleet")?;
    let plan = fleet_plan(&section, groups)?;
    section.done()?;
    let traffic = match root.block("traffic")? {
        None if of_fleet => {
            let even = |count: usize| vec![1.0; count];
            TrafficPlan {
                rate: 1.0,
                rhythm: Rhythm::Poisson,
                sets: even(plan.sets.len()),
                customers: even(customers.len().max(1)),
                routers: even(plan.routers.len()),
                sessions: 2_000,
                until: length,
            }
        }
        None => return Err(root.wrong("a block traffic", "none")),
        Some(section) => {
            let traffic = traffic_plan(&section, &plan, &customers, length)?;
            section.done()?;
            traffic
        }
    };
    let clients = match root.block("clients")? {
        None => ClientsPlan {
            retries: 1,
            backoff: 50_000,
            try_share: 1.0,
            marks: true,
            heeds: true,
            notice: SECOND,
        },
        Some(s) => {
            let plan = ClientsPlan {
                retries: s.whole("retries", 1, 0..=20)? as u32,
                backoff: s.time("backoff", 50_000, 0..=60 * SECOND)?,
                try_share: s.number("try_share", 1.0, 0.05..=1.0)?,
                marks: s.flag("marks", true)?,
                heeds: s.flag("heeds", true)?,
                notice: s.time("notice", SECOND, 0..=60 * SECOND)?,
            };
            s.done()?;
            plan
        }
    };
    let permits = match root.block("permits")? {
        None => Permits { attempts: 6, probes: true, cancel: true, hold_off: true, answer_slack: 20_000 },
        Some(s) => {
            let permits = Permits {
                attempts: s.whole("attempts", 6, 1..=100)? as u32,
                probes: s.flag("probes", true)?,
                cancel: s.flag("cancel", true)?,
                hold_off: s.flag("hold_off", true)?,
                answer_slack: s.time("answer_slack", 20_000, 0..=SECOND)?,
            };
            s.done()?;
            permits
        }
    };
    let mut troubles = Vec::new();
    for block in root.blocks("trouble")? {
        troubles.push(trouble(&block, &plan, &customers, length)?);
    }
    root.done()?;
    Ok(Setup { plan, traffic, troubles, clients, permits, customers, decides, length })
}
