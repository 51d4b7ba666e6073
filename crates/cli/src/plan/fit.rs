//! Work by command group, from a capture.

use super::{captured, take_load, wrong};
use crate::{Failed, say};
use std::path::Path;
use std::sync::{Arc, Mutex};
use vetchkeel_capture::{Recorder, RecorderLimits};
use vetchkeel_emulated::{Draw, Micros, SECOND};
use vetchkeel_lab::experiment::fleet_of;
use vetchkeel_lab::setup::Setup;
use vetchkeel_lab::sim::simulate_captured;
use vetchkeel_operator::OperatorFile;
use vetchkeel_planner::{Fitted, Quantiles, Shape, demand, load, refine};

const ROUNDS: usize = 12;
/// How busy members are held to be when the fit begins.
const BUSY: f64 = 0.7;
/// A tail this many times heavier than fitted is told.
const HEAVY: f64 = 1.25;

#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for Memory {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().map_err(|_| std::io::Error::other("poisoned"))?.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The times at members that a load shows with this work, as its capture would have them.
fn times(setup: &Setup, seed: u64, groups: &[String]) -> Result<Vec<Option<Quantiles>>, String> {
    let memory = Memory::default();
    let mut recorder = Recorder::new(memory.clone(), RecorderLimits { frame: 4_096, waiting: 4_096 });
    simulate_captured(setup, seed, &mut recorder)?;
    recorder.finish().map_err(|e| e.to_string())?;
    let bytes = memory.0.lock().map_err(|e| e.to_string())?;
    let shown = load(&vetchkeel_capture::read(&bytes)?.records, 0)?;
    let of = |name: &String| shown.groups.iter().find(|g| g.name == *name).and_then(|g| g.at_member);
    Ok(groups.iter().map(of).collect())
}

pub(super) fn run(capture: &Path, fleet: &Path, out: Option<&Path>, json: bool) -> Result<(), Failed> {
    let file = OperatorFile::read(fleet).map_err(wrong)?;
    let root = file.root();
    root.blocks("router").map_err(wrong)?;
    let mut setup = fleet_of(&root).map_err(wrong)?;
    let seen = captured(capture)?;
    take_load(&mut setup, &seen)?;
    setup.troubles.clear();
    setup.length = (seen.seconds as Micros).clamp(10, 60) * SECOND;
    setup.traffic.until = setup.length;
    let told: Vec<(String, Quantiles)> =
        seen.groups.iter().filter_map(|g| Some((g.name.clone(), g.at_member?))).collect();
    let names: Vec<String> = told.iter().map(|t| t.0.clone()).collect();
    let quantiles: Vec<Quantiles> = told.iter().map(|t| t.1).collect();
    // Times with the waiting in them would be too much work: no member is begun with as more than busy.
    let mut start: Vec<Shape> = quantiles.iter().map(Shape::guess).collect();
    work_is(&mut setup, &names, &start);
    let used = (0..setup.plan.sets.len()).map(|set| {
        let asked = demand(&setup.plan, &setup.traffic, setup.traffic.rate, set, 1.0);
        asked.primary.usage().max(asked.readers.map_or(0.0, |r| r.usage()))
    });
    let used = used.fold(0.0, f64::max);
    start.iter_mut().for_each(|s| s.middle *= (BUSY / used.max(1e-9)).min(1.0));
    let fitted = refine(&quantiles, &start, ROUNDS, |shapes| {
        work_is(&mut setup, &names, shapes);
        times(&setup, 7, &names)
    })
    .map_err(Failed::Found)?;
    let text = rewritten(&file, &names, &fitted)?;
    report(&names, &quantiles, &fitted, &seen.untold, json);
    match out {
        Some(path) => {
            std::fs::write(path, text).map_err(|e| Failed::Found(format!("{}: {e}", path.display())))
        }
        None if json => Ok(()),
        None => {
            say(&format!("\n{text}"));
            Ok(())
        }
    }
}

fn work_is(setup: &mut Setup, names: &[String], shapes: &[Shape]) {
    for (name, shape) in names.iter().zip(shapes) {
        if let Some(group) = setup.plan.groups.iter_mut().find(|g| g.name == *name) {
            group.work = Draw::LogNormal(shape.mean() * 1e3, shape.spread().max(0.01));
        }
    }
}

/// The fleet file with the fitted work in place of its own.
fn rewritten(file: &OperatorFile, names: &[String], fitted: &[Fitted]) -> Result<String, Failed> {
    let root = file.root();
    let mut places = Vec::new();
    for block in root.blocks("command_group").map_err(wrong)? {
        let at = names.iter().position(|n| block.label.as_ref() == Some(n));
        if let (Some(at), Some(work)) = (at, block.section.value("work")) {
            let shape = fitted[at].shape;
            let written =
                format!("lognormal(\"{:.0}us\", {:.3})", shape.mean() * 1e3, shape.spread().max(0.01));
            places.push((work.place(), written));
        }
    }
    places.sort_by_key(|p| std::cmp::Reverse(p.0.start));
    let mut text = file.text().to_owned();
    places.into_iter().for_each(|(place, written)| text.replace_range(place, &written));
    Ok(text)
}

fn report(names: &[String], seen: &[Quantiles], fitted: &[Fitted], untold: &[String], json: bool) {
    if json {
        let groups: Vec<_> = names
            .iter()
            .zip(seen)
            .zip(fitted)
            .map(|((name, seen), f)| {
                serde_json::json!({ "command_group": name, "work_ms": f.shape.mean(), "spread": f.shape.spread(),
                    "half": f.shape.doubt(seen.count), "off": f.off, "rounds": f.rounds, "tail": f.tail, "commands": seen.count })
            })
            .collect();
        return say(&format!("{:#}\n", serde_json::json!({ "groups": groups, "untold": untold })));
    }
    say(&format!(
        "{:<20} {:>10} {:>8} {:>8} {:>9} {:>9}\n",
        "command group", "work ms", "+- %", "spread", "commands", "off by %"
    ));
    for ((name, seen), f) in names.iter().zip(seen).zip(fitted) {
        let (doubt, off) = (100.0 * f.shape.doubt(seen.count), 100.0 * f.off);
        let (mean, spread) = (f.shape.mean(), f.shape.spread());
        say(&format!("{name:<20} {mean:>10.2} {doubt:>8.1} {spread:>8.2} {:>9} {off:>9.1}\n", seen.count));
        if f.tail > HEAVY {
            say(&format!(
                "  its tail is heavier: 1 in 100 takes {:.1} times as long as this work says\n",
                f.tail
            ));
        }
    }
    untold.iter().for_each(|u| say(&format!("The capture can't tell {u}.\n")));
}
