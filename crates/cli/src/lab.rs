//! `vetchkeel lab`: run, list, show, compare, chart, export.

use crate::Failed;
use clap::{Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};
use vetchkeel_lab::experiment::{Drives, Experiment};
use vetchkeel_lab::runner::{self, Means};
use vetchkeel_records::{Form, Kept, Listed, Store, Summary, charts, compare, export, table};

#[derive(Subcommand)]
pub enum Lab {
    /// Runs an experiment and keeps its results.
    Run {
        /// The experiment, as HCL.
        file: PathBuf,
        #[command(flatten)]
        store: At,
        /// Where it runs, instead of what the file says.
        #[arg(long, value_enum)]
        driver: Option<Driver>,
        /// Seeds, instead of the file's.
        #[arg(long, value_delimiter = ',')]
        seeds: Vec<u64>,
        /// Simulated runs at once; as many as there are cores if not said.
        #[arg(long)]
        jobs: Option<usize>,
        /// The router program for runs on loopback; the one beside this program if not said.
        #[arg(long)]
        router: Option<PathBuf>,
        /// Captures the load of a single run into this file.
        #[arg(long)]
        capture: Option<PathBuf>,
        /// Writes the charts into this folder as well.
        #[arg(long)]
        charts: Option<PathBuf>,
    },
    /// Plays a scale test: a fleet of a told size, a schedule of steps and faults.
    Scale {
        /// The schedule, as HCL.
        file: PathBuf,
        /// The router program for plays on loopback; the one beside this program if not said.
        #[arg(long)]
        router: Option<PathBuf>,
    },
    /// Lists what has been run.
    List {
        #[command(flatten)]
        store: At,
    },
    /// Shows an experiment's figures.
    Show {
        /// Its number; the last one if not said.
        id: Option<u64>,
        #[command(flatten)]
        store: At,
    },
    /// Compares two experiments figure by figure, with intervals of 95 in a hundred.
    Compare {
        a: u64,
        b: u64,
        #[command(flatten)]
        store: At,
    },
    /// Draws an experiment's charts as SVG files.
    Chart {
        /// Its number; the last one if not said.
        id: Option<u64>,
        /// Folder for the files.
        #[arg(long, default_value = "charts")]
        out: PathBuf,
        #[command(flatten)]
        store: At,
    },
    /// Writes an experiment's figures for other programs.
    Export {
        id: u64,
        #[arg(long, value_enum, default_value_t = Written::Csv)]
        form: Written,
        /// A file instead of standard output.
        #[arg(long)]
        out: Option<PathBuf>,
        #[command(flatten)]
        store: At,
    },
    /// Measures how each cost grows with the size and writes the table that `vetchkeel plan capacity` reads.
    Slopes(crate::slopes::Asked),
}

#[derive(clap::Args)]
pub struct At {
    /// The file that holds the results.
    #[arg(long, default_value = "vetchkeel-lab.redb")]
    store: PathBuf,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Driver {
    Simulated,
    Loopback,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Written {
    /// A line a run and command group.
    Csv,
    /// A line a run and second.
    Seconds,
    /// Everything.
    Json,
}

impl At {
    fn open(&self) -> Result<Store, Failed> {
        Ok(Store::open(&self.store)?)
    }

    fn get(&self, id: Option<u64>) -> Result<Kept, Failed> {
        let store = self.open()?;
        let none =
            || Failed::Input(format!("expected an experiment in {}, found none", self.store.display()));
        let id = id.or(store.latest()?).ok_or_else(none)?;
        Ok(store.get(id)?)
    }
}

pub fn run(lab: Lab, json: bool) -> Result<(), Failed> {
    match lab {
        Lab::Run { file, store, driver, seeds, jobs, router, capture, charts } => {
            let mut experiment = Experiment::read(&file).map_err(|w| Failed::Input(w.to_string()))?;
            if let Some(driver) = driver {
                experiment.drives = match driver {
                    Driver::Simulated => Drives::Simulated,
                    Driver::Loopback => Drives::Loopback,
                };
            }
            if !seeds.is_empty() {
                experiment.seeds = seeds;
            }
            let cores = std::thread::available_parallelism().map_or(1, usize::from);
            let means = Means { jobs: jobs.unwrap_or(cores), router: router.unwrap_or_else(beside), capture };
            play(&experiment, &means, &store, charts.as_deref(), json)
        }
        Lab::Scale { file, router } => crate::scale::run(&file, &router.unwrap_or_else(beside), json),
        Lab::List { store } => list(&store, json),
        Lab::Show { id, store } => show(&store.get(id)?, json),
        Lab::Compare { a, b, store } => {
            let (a, b) = (store.get(Some(a))?, store.get(Some(b))?);
            print_compared(&a, &b, json)
        }
        Lab::Chart { id, out, store } => draw(&store.get(id)?, &out),
        Lab::Export { id, form, out, store } => {
            let form = match form {
                Written::Csv => Form::Csv,
                Written::Seconds => Form::CsvSeconds,
                Written::Json => Form::Json,
            };
            let text = export(&store.get(Some(id))?, form);
            match out {
                Some(path) => {
                    std::fs::write(&path, text).map_err(|e| Failed::Found(format!("{}: {e}", path.display())))
                }
                None => {
                    crate::say(&text);
                    Ok(())
                }
            }
        }
        Lab::Slopes(asked) => crate::slopes::run(&asked, json),
    }
}

/// The router program that was built with this one.
pub fn beside() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("vetchkeel-router")
}

fn progress(count: usize) -> ProgressBar {
    if !std::io::stderr().is_terminal() || count < 2 {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(count as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos} of {len} runs, {eta} left");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar.enable_steady_tick(Duration::from_millis(250));
    bar
}

fn play(
    experiment: &Experiment,
    means: &Means,
    at: &At,
    chart_in: Option<&Path>,
    json: bool,
) -> Result<(), Failed> {
    let loopback = experiment.drives == Drives::Loopback;
    if loopback && !means.router.exists() {
        let why = format!(
            "expected the router program at {}: `cargo build --release` builds it",
            means.router.display()
        );
        return Err(Failed::Input(why));
    }
    let store = at.open()?;
    let count = experiment.points.len() * experiment.seeds.len();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let id = store.begin(&Summary {
        name: experiment.name.clone(),
        about: experiment.about.clone(),
        text: experiment.text.clone(),
        driver: if loopback { "loopback" } else { "simulated" }.into(),
        begun_ms: now.as_millis() as u64,
        planned: count as u32,
        finished: false,
        version: env!("CARGO_PKG_VERSION").into(),
    })?;
    info!(id, name = experiment.name, runs = count, "experiment begins");
    let bar = progress(count);
    let (mut broken, mut void) = (0, 0);
    runner::run(experiment, means, |number, result| -> Result<(), Failed> {
        store.keep(id, number, &result)?;
        broken += result.broken();
        if let Some(why) = &result.void {
            void += 1;
            warn!(seed = result.seed, why, "run is void");
        }
        bar.inc(1);
        Ok(())
    })?;
    bar.finish_and_clear();
    store.finish(id)?;
    let kept = store.get(id)?;
    show(&kept, json)?;
    if let Some(folder) = chart_in {
        draw(&kept, folder)?;
    }
    match (broken, void) {
        (0, 0) => Ok(()),
        (0, _) => Err(Failed::Found(format!("{void} of {count} runs are void"))),
        _ => Err(Failed::Found(format!("rules were broken {broken} times"))),
    }
}

fn state(summary: &Summary, runs: usize) -> String {
    let planned = summary.planned as usize;
    if summary.finished { format!("{runs} runs") } else { format!("cut short: {runs} of {planned} runs") }
}

fn list(at: &At, json: bool) -> Result<(), Failed> {
    let list = at.open()?.list()?;
    if json {
        let all: Vec<serde_json::Value> = list
            .iter()
            .map(|Listed { id, summary, runs }| match summary {
                Ok(s) => serde_json::json!({ "id": id, "name": s.name, "driver": s.driver, "about": s.about,
                    "begun_ms": s.begun_ms, "planned": s.planned, "runs": runs, "finished": s.finished }),
                Err(why) => serde_json::json!({ "id": id, "unreadable": why.to_string() }),
            })
            .collect();
        crate::say(&format!("{:#}\n", serde_json::Value::from(all)));
        return Ok(());
    }
    for Listed { id, summary, runs } in list {
        match summary {
            Ok(s) => crate::say(&format!(
                "{id:>4}  {:<24} {:<10} {:<28} {}\n",
                s.name,
                s.driver,
                state(&s, runs),
                s.about
            )),
            Err(why) => crate::say(&format!("{id:>4}  {why}\n")),
        }
    }
    Ok(())
}

fn show(kept: &Kept, json: bool) -> Result<(), Failed> {
    if json {
        crate::say(&export(kept, Form::Json));
        return Ok(());
    }
    let s = &kept.summary;
    crate::say(&format!(
        "experiment {}: {} ({}, {}) {}\n",
        kept.id,
        s.name,
        s.driver,
        state(s, kept.runs.len()),
        s.about
    ));
    crate::say(&table(&kept.runs));
    Ok(())
}

fn print_compared(a: &Kept, b: &Kept, json: bool) -> Result<(), Failed> {
    let compared = compare(&a.runs, &b.runs);
    if compared.is_empty() {
        return Err(Failed::Input("expected two experiments with a point in common, found none".into()));
    }
    if json {
        let all: Vec<serde_json::Value> = compared
            .iter()
            .map(|c| {
                let (shown, mean, half) = match c.difference {
                    vetchkeel_records::Difference::Shown { mean, half } => (Some(true), Some(mean), Some(half)),
                    vetchkeel_records::Difference::NotShown { mean, half } => (Some(false), Some(mean), Some(half)),
                    vetchkeel_records::Difference::TooFew => (None, None, None),
                };
                serde_json::json!({ "point": c.point, "measure": c.measure, "unit": c.unit, "a": c.a.mean, "b": c.b.mean,
                    "paired": c.paired, "difference": mean, "half": half, "shown": shown })
            })
            .collect();
        crate::say(&format!("{:#}\n", serde_json::Value::from(all)));
        return Ok(());
    }
    crate::say(&format!(
        "A: experiment {} {}; B: experiment {} {}\n",
        a.id, a.summary.name, b.id, b.summary.name
    ));
    let mut point = None;
    for c in &compared {
        if point != Some(&c.point) {
            crate::say(&format!("{}\n", c.point));
            point = Some(&c.point);
        }
        crate::say(&format!("  {c}\n"));
    }
    Ok(())
}

fn draw(kept: &Kept, folder: &Path) -> Result<(), Failed> {
    let wrong = |e: std::io::Error| Failed::Found(format!("{}: {e}", folder.display()));
    std::fs::create_dir_all(folder).map_err(wrong)?;
    for chart in charts(&kept.runs).map_err(Failed::Found)? {
        let path = folder.join(format!("{}-{}-{}.svg", kept.summary.name, kept.id, chart.name));
        std::fs::write(&path, chart.svg).map_err(wrong)?;
        crate::say(&format!("{}\n", path.display()));
    }
    Ok(())
}
