//! What the tests build of.

use crate::{Fit, Kind, Point, Slope};

/// One run's points on a line, with what each lies above it.
pub(super) fn on_line(run: u32, base: f64, value: f64, above: &[(f64, f64)]) -> Vec<Point> {
    above.iter().map(|(size, off)| Point { run, size: *size, need: base + value * size + off }).collect()
}

pub(super) fn a_slope(name: &str, fit: Fit) -> Slope {
    Slope {
        name: name.into(),
        unit: "bytes".into(),
        per: "member".into(),
        fit,
        kind: Kind::Simulated,
        command: format!("vetchkeel lab slopes --only {name}"),
        cores: 8,
    }
}

pub(super) fn a_fit() -> Fit {
    Fit {
        base: -1234.5,
        value: 1.2345678901234e-9,
        low: 0.0,
        high: 12.8,
        residual: 0.02,
        sizes: vec![50.0, 500.0, 4900.0],
        runs: 3,
    }
}
