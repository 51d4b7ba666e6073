//! `vetchkeel lab slopes`: measures slopes and keeps them in their table.

use crate::Failed;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use tracing::{info, warn};
use vetchkeel_operator::OperatorFile;
use vetchkeel_slopes::{
    Means, Measure, Measured, PLAYS, Play, Progress, SlopeTable, Unmeasured, measures, play,
};

/// The kept table.
const TABLE: &str = "docs/measured/slopes.hcl";

#[derive(clap::Args)]
pub struct Asked {
    /// Slopes by name; all if not said. Those that the same play measures come along.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// The table to write into; what it holds of other slopes stays.
    #[arg(long, default_value = TABLE)]
    out: PathBuf,
    /// Runs at each size.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=100))]
    runs: u32,
    /// Sizes instead of the plays' own, five or more: a trial, which needs a table of its own (`--out`).
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// The router program; the one beside this program if not said.
    #[arg(long)]
    router: Option<PathBuf>,
}

fn known_names(only: &[String]) -> Result<BTreeSet<&str>, Failed> {
    let all: BTreeSet<&str> = measures().map(|m| m.name).collect();
    if let Some(unknown) = only.iter().find(|name| !all.contains(name.as_str())) {
        let names: Vec<&str> = all.into_iter().collect();
        return Err(Failed::Input(format!("expected one of {}, found {unknown}", names.join(", "))));
    }
    Ok(if only.is_empty() { all } else { only.iter().map(String::as_str).collect() })
}

fn read_table(path: &Path) -> Result<SlopeTable, Failed> {
    if !path.exists() {
        return Ok(SlopeTable::default());
    }
    let table = OperatorFile::read(path).and_then(|file| SlopeTable::read(&file));
    table.map_err(|wrong| Failed::Input(wrong.to_string()))
}

/// Puts slopes into the table. It is read again first: another command may have written meanwhile.
fn keep(path: &Path, measured: &[Measured]) -> Result<(), Failed> {
    let mut table = read_table(path)?;
    table.0.extend(measured.iter().map(|m| (m.slope.name.clone(), m.slope.clone())));
    let new = path.with_extension(format!("hcl.{}", std::process::id()));
    let wrong = |e: std::io::Error| Failed::Found(format!("{}: {e}", path.display()));
    std::fs::write(&new, table.written()).and_then(|()| std::fs::rename(&new, path)).map_err(wrong)
}

fn document(measured: &Measured) -> serde_json::Value {
    let (slope, fit) = (&measured.slope, &measured.slope.fit);
    serde_json::json!({ "name": slope.name, "unit": slope.unit, "per": slope.per, "base": fit.base,
        "value": fit.value, "low": fit.low, "high": fit.high, "residual": fit.residual, "sizes": fit.sizes,
        "runs": fit.runs, "kind": slope.kind.name(), "command": slope.command, "cores": slope.cores,
        "means": measured.means })
}

fn text(measured: &Measured) -> String {
    let (slope, fit) = (&measured.slope, &measured.slope.fit);
    let means: Vec<String> =
        measured.means.iter().map(|(size, need)| format!("{size}: {need:.3e}")).collect();
    format!(
        "{}: {:.4e} {} + {:.4e} a {} ({:.4e} to {:.4e}), residual {:.3}\n  {}\n",
        slope.name,
        fit.base,
        slope.unit,
        fit.value,
        slope.per,
        fit.low,
        fit.high,
        fit.residual,
        means.join(", ")
    )
}

/// Every try, also a void one.
fn told(progress: Progress) {
    let Progress { run, size, needs } = progress;
    match needs {
        Ok(needs) => {
            let needs: Vec<String> = needs.iter().map(|(name, need)| format!("{name} {need:.4e}")).collect();
            info!(run, size, "{}", needs.join(", "));
        }
        Err(why) => warn!(run, size, why, "void"),
    }
}

pub fn run(asked: &Asked, json: bool) -> Result<(), Failed> {
    let names = known_names(&asked.only)?;
    if !asked.sizes.is_empty() && asked.out == Path::new(TABLE) {
        return Err(Failed::Input(format!(
            "expected another table than {TABLE} for a trial with sizes of its own"
        )));
    }
    if !asked.sizes.is_empty() && asked.sizes.len() < 5 {
        return Err(Failed::Input(format!("expected five sizes or more, found {}", asked.sizes.len())));
    }
    read_table(&asked.out)?;
    let wanted = |play: &&&Play| play.measures.iter().any(|m: &Measure| names.contains(m.name));
    let plays: Vec<&Play> = PLAYS.iter().filter(wanted).copied().collect();
    let means = Means { router: asked.router.clone().unwrap_or_else(crate::lab::beside) };
    if plays.iter().any(|p| p.processes) && !means.router.exists() {
        let found = means.router.display();
        let why = format!("expected the router program at {found}: `cargo build --release` builds it");
        return Err(Failed::Input(why));
    }
    let (mut done, mut failed): (Vec<Measured>, Vec<Unmeasured>) = (Vec::new(), Vec::new());
    for one in plays {
        let results = play(
            one,
            if asked.sizes.is_empty() { one.sizes } else { &asked.sizes },
            asked.runs,
            &means,
            told,
        );
        let measured: Vec<Measured> = results.iter().flatten().cloned().collect();
        keep(&asked.out, &measured)?;
        done.extend(measured);
        failed.extend(results.into_iter().filter_map(Result::err));
    }
    failed.iter().for_each(|f| warn!(why = f.why, "{} was not measured", f.name));
    if json {
        let slopes: Vec<serde_json::Value> = done.iter().map(document).collect();
        crate::say(&format!("{:#}\n", serde_json::Value::from(slopes)));
    } else {
        done.iter().for_each(|measured| crate::say(&text(measured)));
    }
    match failed.as_slice() {
        [] => Ok(()),
        _ => Err(Failed::Found(format!("{} slopes were not measured", failed.len()))),
    }
}
