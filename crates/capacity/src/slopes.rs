//! The measured slopes, read from the table that `vetchkeel lab slopes` writes: need = base + value x size.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use vetchkeel_operator::{FileError, Labelled, OperatorFile, Section};

/// How a slope was come by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Of the real code or program in real time.
    Measured,
    /// In told time.
    Simulated,
}

/// What something needs as one size grows.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    pub unit: String,
    /// What the size counts.
    pub per: String,
    pub base: f64,
    /// More for each one of the size; the least and the most over the runs.
    pub value: f64,
    pub low: f64,
    pub high: f64,
    /// Largest distance of a size's mean from the line, relative to the mean.
    pub residual: f64,
    /// Largest size played.
    pub largest: f64,
    pub sizes: Vec<f64>,
    /// Mean need at each of `sizes`; none if the table does not tell.
    pub means: Vec<f64>,
    pub runs: u64,
    pub kind: Kind,
    pub command: String,
    /// Cores of the machine.
    pub cores: u64,
}

/// All slopes by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Slopes(BTreeMap<String, Slope>);

/// Fewest sizes and runs that a slope may rest on.
const SIZES: usize = 5;
const RUNS: u64 = 3;

const ROUNDING: f64 = 1e-9;

const FINITE: RangeInclusive<f64> = f64::MIN..=f64::MAX;
const POSITIVE: RangeInclusive<f64> = f64::MIN_POSITIVE..=f64::MAX;
const FROM_ZERO: RangeInclusive<f64> = 0.0..=f64::MAX;

fn numbers(s: &Section<'_>, name: &str, range: RangeInclusive<f64>) -> Result<Vec<f64>, FileError> {
    s.require(name)?.list()?.iter().map(|v| v.number(range.clone())).collect()
}

fn sizes(s: &Section<'_>) -> Result<Vec<f64>, FileError> {
    let sizes = numbers(s, "sizes", FROM_ZERO)?;
    let grows = sizes.windows(2).all(|pair| pair[0] < pair[1]);
    if sizes.len() < SIZES || !grows {
        return Err(s
            .require("sizes")?
            .wrong(format!("{SIZES} sizes or more, each larger than the one before,")));
    }
    Ok(sizes)
}

fn slope(s: &Section<'_>) -> Result<Slope, FileError> {
    let text = |name: &str| -> Result<String, FileError> { Ok(s.require(name)?.text()?.to_owned()) };
    let sizes = sizes(s)?;
    let value = s.require("value")?.number(FINITE)?;
    let (low, high) = (s.require("low")?, s.require("high")?);
    let (least, most) = (low.number(FINITE)?, high.number(FINITE)?);
    // Where all runs agree, the three differ by what rounding leaves.
    let rounding = value.abs() * ROUNDING;
    if least > value + rounding {
        return Err(low.wrong(format!("at most value, {value},")));
    }
    if most < value - rounding {
        return Err(high.wrong(format!("at least value, {value},")));
    }
    let (low, high) = (least.min(value), most.max(value));
    let last = sizes.last().copied().unwrap_or_default();
    let largest = s.require("largest")?;
    if largest.number(POSITIVE)? != last {
        return Err(largest.wrong(format!("the last of sizes, {last},")));
    }
    let means = match s.value("means") {
        None => Vec::new(),
        Some(list) => {
            let means = numbers(s, "means", FROM_ZERO)?;
            if means.len() != sizes.len() {
                return Err(list.wrong(format!("{} numbers, one a size,", sizes.len())));
            }
            means
        }
    };
    let kinds = [("measured", Kind::Measured), ("simulated", Kind::Simulated)];
    Ok(Slope {
        unit: text("unit")?,
        per: text("per")?,
        base: s.require("base")?.number(FINITE)?,
        value,
        low,
        high,
        residual: s.require("residual")?.number(FROM_ZERO)?,
        largest: last,
        sizes,
        means,
        runs: s.require("runs")?.whole(RUNS..=1_000_000)?,
        kind: s.require("kind")?.choice(&kinds)?,
        command: text("command")?,
        cores: s.require("cores")?.whole(1..=100_000)?,
    })
}

impl Slopes {
    /// # Errors
    /// The first value that is missing, out of range or unknown, with file, line, column and what was expected.
    pub fn read(file: &OperatorFile) -> Result<Slopes, FileError> {
        let root = file.root();
        let mut slopes = BTreeMap::new();
        for Labelled { label, section } in root.blocks("slope")? {
            let name = label.ok_or_else(|| section.wrong("a name behind slope", "none"))?;
            let found = slope(&section)?;
            section.done()?;
            slopes.insert(name, found);
        }
        root.done()?;
        Ok(Slopes(slopes))
    }

    pub fn get(&self, name: &str) -> Option<&Slope> {
        self.0.get(name)
    }

    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// The same without one of them.
    pub fn without(mut self, name: &str) -> Slopes {
        self.0.remove(name);
        self
    }
}
