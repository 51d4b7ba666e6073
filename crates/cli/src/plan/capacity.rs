//! The size to design for: what each role and event asks, and the share of the size at which it gives way.

use super::wrong;
use crate::{Failed, say};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use vetchkeel_capacity::{
    Built, ConstantRow, EventRow, Figure, Outcome, Page, Row, Size, SlopeRow, Slopes, Unit, Used, page,
};
use vetchkeel_operator::OperatorFile;

#[derive(clap::Args)]
pub struct Asked {
    /// The size, as HCL (examples/size.hcl).
    size: PathBuf,
    /// The table of measured slopes.
    #[arg(long, default_value = "docs/measured/slopes.hcl")]
    slopes: PathBuf,
    /// As if this mechanism was not there.
    #[arg(long, value_enum, conflicts_with = "with")]
    without: Vec<Mechanism>,
    /// As if this mechanism was there.
    #[arg(long, value_enum)]
    with: Vec<Mechanism>,
}

#[derive(Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum Mechanism {
    /// The configuration in force without a start.
    Configuration,
}

impl Asked {
    fn built(&self) -> Built {
        let mut built = Built::TODAY;
        self.with.iter().for_each(|Mechanism::Configuration| built.configuration = true);
        self.without.iter().for_each(|Mechanism::Configuration| built.configuration = false);
        built
    }
}

fn read(path: &Path) -> Result<OperatorFile, Failed> {
    OperatorFile::read(path).map_err(wrong)
}

/// Three digits that count.
fn digits(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let places = (2 - value.abs().log10().floor() as i32).clamp(0, 9) as usize;
    format!("{value:.places$}")
}

/// With a comma behind each thousand.
fn count(value: f64) -> String {
    if value < 1_000.0 {
        return digits(value);
    }
    let whole = format!("{value:.0}");
    let mut out = String::new();
    for (at, digit) in whole.chars().enumerate() {
        if at > 0 && (whole.len() - at) % 3 == 0 {
            out.push(',');
        }
        out.push(digit);
    }
    out
}

fn bytes(value: f64) -> String {
    let steps = [(1e9, "GB"), (1e6, "MB"), (1e3, "KB")];
    let step = steps.into_iter().find(|(step, _)| value >= *step);
    step.map_or_else(|| format!("{} B", digits(value)), |(by, name)| format!("{} {name}", digits(value / by)))
}

fn shown(value: f64, unit: Unit) -> String {
    match unit {
        Unit::Cores => format!("{}% of a core", digits(100.0 * value)),
        Unit::CoreSeconds => format!("{} s of a core", digits(value)),
        Unit::Bytes => bytes(value),
        Unit::BytesASecond => format!("{}/s", bytes(value)),
        Unit::Descriptors => format!("{} descriptors", count(value)),
        Unit::Connections => format!("{} connections", count(value)),
        Unit::ASecond => format!("{} a second", count(value)),
        Unit::Seconds => format!("{} s", count(value)),
    }
}

/// The share of the size at which it gives way.
fn share(outcome: &Outcome) -> String {
    match outcome {
        Outcome::NotMeasured(_) => "?".into(),
        other => other
            .share()
            .map_or("any".into(), |s| if s >= 100.0 { "over 100".into() } else { format!("{s:.3}") }),
    }
}

/// A line that lies farther off than this at one of its sizes is told with how far.
const FAR_OFF: f64 = 0.15;

/// What a figure rests on.
fn basis(figure: &Figure) -> String {
    let mut words = vec![match figure.beyond() {
        b if figure.used.is_empty() || b == 0.0 => "worked out from the size and constants".to_owned(),
        b if b <= 1.0 => "measured".to_owned(),
        b => format!("extrapolated {} times", digits(b)),
    }];
    if figure.simulated() {
        words.push("simulated".into());
    }
    let off = |u: &Used| {
        if u.residual > FAR_OFF { format!(" (residual {})", digits(u.residual)) } else { String::new() }
    };
    words.extend(figure.used.iter().map(|u| format!("{}{}", u.slope, off(u))));
    words.join(", ")
}

/// Need, allowance and ratio of a row, and what they rest on.
fn cells(outcome: &Outcome, unit: Unit) -> [String; 4] {
    match outcome {
        Outcome::Figure(f) => {
            let range = if f.low < f.need || f.high > f.need {
                format!(" ({} to {})", digits(f.low / f.allowance), digits(f.high / f.allowance))
            } else {
                String::new()
            };
            let ratio = format!("{}{range}", digits(f.ratio));
            [shown(f.need, unit), shown(f.allowance, unit), ratio, basis(f)]
        }
        Outcome::NotMeasured(missing) => {
            ["not measured".into(), "".into(), "".into(), format!("no slope {}", missing.join(", "))]
        }
        Outcome::Impossible(why) => ["can't be done".into(), "".into(), "".into(), why.clone()],
    }
}

fn table(out: &mut String, heads: &[&str], rows: impl Iterator<Item = Vec<String>>) {
    let _ = writeln!(out, "| {} |", heads.join(" | "));
    let _ = writeln!(out, "|{}", " --- |".repeat(heads.len()));
    for row in rows {
        let _ = writeln!(out, "| {} |", row.join(" | "));
    }
    out.push('\n');
}

fn row(r: &Row) -> Vec<String> {
    let [need, allowance, ratio, mut rests] = cells(&r.outcome, r.unit);
    if let Some((by, value)) = r.check.filter(|_| matches!(r.outcome, Outcome::Figure(_))) {
        let _ = write!(rests, "; {by}: {}", shown(value, r.unit));
    }
    let (share, role) = (share(&r.outcome), r.role.name().to_owned());
    vec![share, role, r.what.to_owned(), need, allowance, ratio, rests, r.by.to_owned()]
}

fn constant(c: &ConstantRow) -> Vec<String> {
    let (share, need) = match &c.outcome {
        Some(outcome @ Outcome::Figure(f)) => (share(outcome), count(f.need)),
        Some(outcome) => (share(outcome), cells(outcome, Unit::Seconds)[3].clone()),
        None => ("".into(), c.does.clone().unwrap_or_default()),
    };
    let value = format!("{} {}", count(c.value), c.unit);
    vec![share, c.name.to_owned(), value, need, c.follows.to_owned(), c.file.to_owned()]
}

fn event(e: &EventRow) -> Vec<String> {
    let (peak, times) = match &e.peak {
        Some((unit, outcome)) => {
            let [need, _, ratio, _] = cells(outcome, *unit);
            (need, ratio)
        }
        None => Default::default(),
    };
    let [over, within, _, rests] = cells(&e.over, Unit::Seconds);
    let (event, role) = (e.event.name().to_owned(), e.role.name().to_owned());
    vec![share(&e.over), event, role, e.does.to_owned(), peak, times, over, within, rests]
}

fn slope(s: &SlopeRow) -> Vec<String> {
    let range = format!("{:.3e} ({:.3e} to {:.3e})", s.value, s.low, s.high);
    let law = s.universal.map_or(String::new(), |u| {
        format!("sigma {:.2e}, kappa {:.2e}, residual {}", u.sigma, u.kappa, digits(u.residual))
    });
    let base = format!("{:.3e}", s.base);
    let played = format!("{}, {} runs", count(s.largest), s.runs);
    let name = format!("{} ({} per {})", s.name, s.unit, s.per);
    vec![name, base, range, digits(s.residual), played, law, s.command.clone()]
}

fn text(page: &Page) -> String {
    let mut out = String::new();
    let about = [
        "Share: the part of the size at which it gives way; 1 or more holds, `any` does not grow with it, 0 can't be done.",
        "Ratio: need over allowance, with the least and most of the slopes over their runs. Constants and events below.",
    ];
    let _ = writeln!(out, "{}\n", about.join("\n"));
    let heads = ["share", "role", "need of", "need", "allowance", "ratio", "rests on", "carried by"];
    table(&mut out, &heads, page.rows.iter().map(row));
    let _ = writeln!(out, "Constants of the program, which have to be raised:\n");
    let heads = ["share", "constant", "bears", "at the size", "ought to follow from", "file"];
    table(&mut out, &heads, page.constants.iter().map(constant));
    let _ = writeln!(
        out,
        "Events: the peak where all is done at once, beside its allowance; seconds until it is over inside the allowance:\n"
    );
    let heads =
        ["share", "event", "role", "does", "peak", "peak over allowance", "over after", "within", "rests on"];
    table(&mut out, &heads, page.events.iter().map(event));
    if !page.slopes.is_empty() {
        let _ = writeln!(out, "Slopes: need = base + value x size:\n");
        let heads =
            ["slope", "base", "value", "residual", "largest", "universal scalability law", "measured by"];
        table(&mut out, &heads, page.slopes.iter().map(slope));
    }
    let _ = writeln!(out, "Roles: what each holds, sends and receives:\n");
    let heads = ["role", "holds", "sends", "receives", "carried by"];
    let roles = page
        .roles
        .iter()
        .map(|r| [r.name, r.holds, r.sends, r.receives, r.carried_by].map(str::to_owned).to_vec());
    table(&mut out, &heads, roles);
    out.truncate(out.trim_end().len());
    out.push('\n');
    out
}

pub(super) fn run(asked: &Asked, json: bool) -> Result<(), Failed> {
    let size = Size::read(&read(&asked.size)?).map_err(wrong)?;
    let slopes = Slopes::read(&read(&asked.slopes)?).map_err(wrong)?;
    let page = page(&size, &slopes, asked.built());
    if json {
        let document = serde_json::to_value(&page).map_err(|e| Failed::Found(e.to_string()))?;
        say(&format!("{document:#}\n"));
    } else {
        say(&text(&page));
    }
    Ok(())
}
