use super::helper::{a_fit, a_slope};
use crate::{Fit, Kind, Slope, SlopeTable};
use rstest::rstest;
use vetchkeel_operator::OperatorFile;

fn table(slopes: Vec<Slope>) -> SlopeTable {
    SlopeTable(slopes.into_iter().map(|s| (s.name.clone(), s)).collect())
}

fn read(text: &str) -> Result<SlopeTable, String> {
    let file = OperatorFile::parse("slopes.hcl", text).map_err(|w| w.to_string())?;
    SlopeTable::read(&file).map_err(|w| w.to_string())
}

#[rstest]
#[case::as_it_comes(a_fit())]
#[case::tiny(Fit { base: 1.0 / 3e15, value: -7.123456789e-21, low: -1e-20, high: 0.0, ..a_fit() })]
#[case::huge(Fit { base: 1.5e14, value: 2f64.powi(40), high: 2f64.powi(41), sizes: vec![1.0, 24_010_000.0], ..a_fit() })]
#[case::fractions(Fit { sizes: vec![0.1, 0.25, 1e-7], residual: 1.0 / 3.0, ..a_fit() })]
fn what_is_written_is_read(#[case] fit: Fit) {
    let measured = Slope { kind: Kind::Measured, ..a_slope("module.list.memory", fit.clone()) };
    let written = table(vec![a_slope("router.cpu.statement", fit), measured]);
    assert_eq!(read(&written.written()), Ok(written));
}

#[test]
fn nothing_measured_is_an_empty_table() {
    assert_eq!(read(&SlopeTable::default().written()), Ok(SlopeTable::default()));
}

/// Each piece of a right file in place of another: the error names the line and what was expected.
#[rstest]
#[case("  base     = -1234.5\n", "", "slopes.hcl:3:1: expected a value for slope.a.base")]
#[case("runs     = 3", "runs     = 0", "slopes.hcl:13:14: expected a whole number from 1 to 1000")]
#[case("largest  = 4900", "largest  = 500", "slopes.hcl:11:14: expected the largest of sizes")]
#[case("low      = 0", "low      = 13", "slopes.hcl:8:14: expected no more than high")]
#[case("\"simulated\"", "\"guessed\"", "slopes.hcl:14:14: expected one of \"measured\", \"simulated\"")]
#[case("cores    = 8", "cores    = 8\n  colour   = 1", "slopes.hcl:17:3: expected one of")]
#[case("value    = ", "value    = \"x\" #", "slopes.hcl:7:14: expected a number")]
fn a_wrong_file_is_refused(#[case] piece: &str, #[case] other: &str, #[case] expected: &str) {
    let right = table(vec![a_slope("a", a_fit())]).written();
    assert!(right.contains(piece), "the file holds {piece}:\n{right}");
    let error = read(&right.replace(piece, other)).expect_err("a wrong file");
    assert!(error.starts_with(expected), "expected '{expected}', found '{error}'");
}
