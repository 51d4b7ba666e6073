//! The table of slopes as an operator file: one block a slope.

use crate::fit::Fit;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use vetchkeel_operator::{FileError, OperatorFile, Section};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// By processor time, memory and bytes of the real code.
    Measured,
    /// By the real code under told time and told links.
    Simulated,
}

impl Kind {
    const WORDS: [(&str, Kind); 2] = [("measured", Kind::Measured), ("simulated", Kind::Simulated)];

    pub fn name(self) -> &'static str {
        if self == Kind::Measured { "measured" } else { "simulated" }
    }
}

/// Figures beyond this are none of a machine.
const MOST: f64 = 1e15;

/// One slope: need in `unit` = base + value x size, size counted in `per`.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    pub name: String,
    pub unit: String,
    pub per: String,
    pub fit: Fit,
    pub kind: Kind,
    /// What measures it again.
    pub command: String,
    /// Of the machine that measured it.
    pub cores: u64,
}

/// All slopes by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlopeTable(pub BTreeMap<String, Slope>);

/// A number as HCL takes it: digits that read back as the same number, with an exponent where it is tiny.
fn number(value: f64) -> String {
    let plain = format!("{value}");
    if plain.len() > 20 { format!("{value:e}") } else { plain }
}

fn text(section: &Section, name: &str) -> Result<String, FileError> {
    Ok(section.require(name)?.text()?.to_owned())
}

fn read_slope(name: &str, section: &Section) -> Result<Slope, FileError> {
    let figure = |name: &str| section.require(name)?.number(-MOST..=MOST);
    let sizes = section.require("sizes")?;
    let sizes =
        sizes.list()?.iter().map(|s| s.number(0.0..=MOST)).collect::<Result<Vec<f64>, FileError>>()?;
    let largest = section.require("largest")?;
    if sizes.iter().copied().fold(0.0, f64::max) != largest.number(0.0..=MOST)? {
        return Err(largest.wrong("the largest of sizes"));
    }
    let fit = Fit {
        base: figure("base")?,
        value: figure("value")?,
        low: figure("low")?,
        high: figure("high")?,
        residual: section.require("residual")?.number(0.0..=MOST)?,
        sizes,
        runs: section.require("runs")?.whole(1..=1_000)? as u32,
    };
    if fit.low > fit.high {
        return Err(section.require("low")?.wrong("no more than high"));
    }
    let slope = Slope {
        name: name.to_owned(),
        unit: text(section, "unit")?,
        per: text(section, "per")?,
        fit,
        kind: section.require("kind")?.choice(&Kind::WORDS)?,
        command: text(section, "command")?,
        cores: section.require("cores")?.whole(1..=100_000)?,
    };
    section.done()?;
    Ok(slope)
}

impl SlopeTable {
    pub fn read(file: &OperatorFile) -> Result<SlopeTable, FileError> {
        let root = file.root();
        let mut table = BTreeMap::new();
        for block in root.blocks("slope")? {
            let unnamed = || block.section.wrong("a slope with a name", "none");
            let name = block.label.clone().ok_or_else(unnamed)?;
            table.insert(name.clone(), read_slope(&name, &block.section)?);
        }
        root.done()?;
        Ok(SlopeTable(table))
    }

    /// The table as [`SlopeTable::read`] takes it, in the order of names.
    pub fn written(&self) -> String {
        let mut out = String::from(
            "# Measured by `vetchkeel lab slopes`, never by hand: need = base + value x size.\n",
        );
        for slope in self.0.values() {
            let Fit { base, value, low, high, residual, sizes, runs } = &slope.fit;
            let largest = sizes.iter().copied().fold(0.0, f64::max);
            let sizes: Vec<String> = sizes.iter().map(|s| number(*s)).collect();
            let _ = write!(
                out,
                "\nslope \"{}\" {{\n  unit     = \"{}\"\n  per      = \"{}\"\n  base     = {}\n  value    = {}\n  \
                 low      = {}\n  high     = {}\n  residual = {}\n  largest  = {}\n  sizes    = [{}]\n  \
                 runs     = {runs}\n  kind     = \"{}\"\n  command  = \"{}\"\n  cores    = {}\n}}\n",
                slope.name,
                slope.unit,
                slope.per,
                number(*base),
                number(*value),
                number(*low),
                number(*high),
                number(*residual),
                number(largest),
                sizes.join(", "),
                slope.kind.name(),
                slope.command,
                slope.cores,
            );
        }
        out
    }
}
