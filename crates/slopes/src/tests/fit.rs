use super::helper::on_line;
use crate::{Point, fit};
use rstest::rstest;

fn near(found: f64, expected: f64, within: f64) {
    assert!((found - expected).abs() <= within, "expected {expected} within {within}, found {found}");
}

#[rstest]
#[case::bytes_a_member(1_234.0, 12.5)]
#[case::tiny_seconds(2e-6, 3e-11)]
#[case::nothing_a_member(306.0, 0.0)]
#[case::falling(1e9, -2.0)]
fn an_exact_line_is_found(#[case] base: f64, #[case] value: f64) {
    let sizes = [(50.0, 0.0), (500.0, 0.0), (1_225.0, 0.0), (2_450.0, 0.0), (4_900.0, 0.0)];
    let points: Vec<Point> = (0..3).flat_map(|run| on_line(run, base, value, &sizes)).collect();
    let fit = fit(&points).expect("a line");
    let largest = base.abs().max((value * 4_900.0).abs());
    near(fit.base, base, largest * 1e-9);
    near(fit.value, value, largest * 1e-12);
    near(fit.low, value, largest * 1e-12);
    near(fit.high, value, largest * 1e-12);
    near(fit.residual, 0.0, 1e-9);
    assert_eq!((fit.sizes.len(), fit.runs), (5, 3));
}

/// Off by 1, -2, 1 times something around 10 + 2 x: nothing of slope and mean, so the line stays, and the first is
/// furthest from it as a part of itself, above it or below.
#[rstest]
#[case::above(1.0, 1.0 / 11.0)]
#[case::below(-1.0, 1.0 / 9.0)]
fn what_lies_off_the_line_is_told_as_residual(#[case] times: f64, #[case] expected: f64) {
    let off = [(0.0, times), (10.0, -2.0 * times), (20.0, times)];
    let fit = fit(&on_line(0, 10.0, 2.0, &off)).expect("a line");
    near(fit.base, 10.0, 1e-9);
    near(fit.value, 2.0, 1e-12);
    near(fit.residual, expected, 1e-9);
}

/// Each run has a slope of its own: the range holds them, the line goes through the means.
#[test]
fn the_range_is_that_of_the_runs() {
    let sizes = [(100.0, 0.0), (200.0, 0.0), (300.0, 0.0)];
    let points = [on_line(0, 5.0, 1.0, &sizes), on_line(1, 5.0, 4.0, &sizes), on_line(2, 5.0, 1.6, &sizes)];
    let fit = fit(&points.concat()).expect("a line");
    near(fit.low, 1.0, 1e-12);
    near(fit.high, 4.0, 1e-12);
    near(fit.value, 2.2, 1e-12);
    near(fit.residual, 0.0, 1e-9);
}

/// Noise drawn from a seed moves the slope by no more than the noise allows.
#[rstest]
fn noise_moves_the_slope_little(#[values(1, 2, 3, 4, 5)] seed: u64) {
    use nanorand::{Rng, WyRand};
    let mut chance = WyRand::new_seed(seed);
    let mut off = || (chance.generate::<f64>() - 0.5) * 20.0;
    let sizes: Vec<(f64, f64)> = (1..=5).map(|i| (f64::from(i) * 100.0, off())).collect();
    let fit = fit(&on_line(0, 1_000.0, 3.0, &sizes)).expect("a line");
    // Off by 10 at most at sizes 400 apart.
    near(fit.value, 3.0, 0.1);
    assert!(fit.residual > 0.0, "noise has a residual");
}

/// In other units the same line: a factor on needs is one on base and slope, a factor on sizes divides the slope.
#[rstest]
#[case(1e-6, 1.0)]
#[case(1.0, 1e3)]
#[case(8.0, 60.0)]
fn units_carry_through(#[case] needs: f64, #[case] sizes: f64) {
    let plain = on_line(0, 40.0, 7.0, &[(10.0, 3.0), (20.0, -1.0), (40.0, 2.0)]);
    let other: Vec<Point> =
        plain.iter().map(|p| Point { run: 0, size: p.size * sizes, need: p.need * needs }).collect();
    let (plain, other) = (fit(&plain).expect("a line"), fit(&other).expect("a line"));
    near(other.base, plain.base * needs, 1e-9 * needs);
    near(other.value, plain.value * needs / sizes, 1e-9 * needs / sizes);
    near(other.residual, plain.residual, 1e-9);
}

#[rstest]
#[case::nothing(vec![])]
#[case::one_size(on_line(0, 1.0, 1.0, &[(50.0, 0.0), (50.0, 1.0)]))]
#[case::no_number(vec![Point { run: 0, size: 1.0, need: f64::NAN }, Point { run: 0, size: 2.0, need: 1.0 }])]
#[case::endless(vec![Point { run: 0, size: f64::INFINITY, need: 1.0 }, Point { run: 0, size: 2.0, need: 1.0 }])]
#[case::a_run_that_lacks_a_size(
    [on_line(0, 1.0, 1.0, &[(1.0, 0.0), (2.0, 0.0), (3.0, 0.0)]), on_line(1, 1.0, 1.0, &[(1.0, 0.0), (2.0, 0.0)])].concat()
)]
fn no_line_is_an_error(#[case] points: Vec<Point>) {
    assert!(fit(&points).is_err());
}
