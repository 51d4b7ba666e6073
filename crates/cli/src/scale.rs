//! `vetchkeel lab scale`: plays a scale test.

use crate::Failed;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::Path;
use tracing::info;
use vetchkeel_operator::OperatorFile;
use vetchkeel_scale::schedule::Driver;
use vetchkeel_scale::{SECOND, Tenths, file, loopback, simulated};

pub fn run(path: &Path, router: &Path, json: bool) -> Result<(), Failed> {
    let text = OperatorFile::read(path).map_err(|wrong| Failed::Input(wrong.to_string()))?;
    let schedule = file::read(&text).map_err(|wrong| Failed::Input(wrong.to_string()))?;
    let bar = progress(schedule.length);
    let mut told = |now: Tenths| {
        bar.set_position((now / SECOND) as u64);
        if bar.is_hidden() && now % (10 * SECOND) == 0 {
            info!(seconds = now / SECOND, of = schedule.length / SECOND, "played");
        }
    };
    let report = match schedule.driver {
        Driver::Simulated => simulated::play(&schedule, &mut told)?,
        Driver::Loopback => loopback::play(&schedule, router, &mut told)?,
    };
    bar.finish_and_clear();
    let text = if json { format!("{:#}\n", report.json()) } else { report.text() };
    crate::say(&text);
    if report.failed() {
        return Err(Failed::Found(
            "something never arrived that should have, or happened that must not".into(),
        ));
    }
    Ok(())
}

fn progress(length: Tenths) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new((length / SECOND) as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos} of {len} seconds, {elapsed} so far") {
        bar.set_style(style);
    }
    bar
}
