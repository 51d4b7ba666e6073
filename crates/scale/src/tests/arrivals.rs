use crate::arrivals::Arrivals;
use crate::percentile::nearest_rank;
use rstest::rstest;

/// Three recipients, 10 allowed; the third one starts at 100.
fn arrivals() -> Arrivals {
    let mut arrivals = Arrivals::new(3, 10);
    arrivals.started(100, 2);
    arrivals
}

#[rstest]
fn time_counts_from_when_it_was_due_or_from_a_later_start() {
    let mut arrivals = arrivals();
    arrivals.due(95, 1, 0);
    arrivals.holds(99, 0, 1);
    arrivals.holds(106, 1, 1);
    arrivals.holds(106, 2, 1);
    let outcome = &arrivals.outcomes(200)[0];
    assert_eq!((outcome.p50, outcome.last, outcome.late, outcome.arrived), (Some(6), Some(11), 1, 3));
}

#[rstest]
fn the_later_one_stands_for_all_before_it() {
    let mut arrivals = arrivals();
    (1..=3).for_each(|number| arrivals.due(100 + number as i64, number, 0));
    (0..3).for_each(|who| arrivals.holds(105, who, 3));
    let outcome = &arrivals.outcomes(200)[0];
    assert_eq!((outcome.due, outcome.arrived, outcome.last), (3, 9, Some(4)));
}

#[rstest]
#[case::time_is_up(111, 0, vec![(1, 1)])]
#[case::time_is_left(109, 1, vec![])]
fn what_did_not_come_is_named_once_its_time_is_up(
    #[case] end: i64,
    #[case] open: usize,
    #[case] never: Vec<(u64, usize)>,
) {
    let mut arrivals = arrivals();
    arrivals.due(100, 1, 0);
    [0, 2].into_iter().for_each(|who| arrivals.holds(101, who, 1));
    let outcome = &arrivals.outcomes(end)[0];
    assert_eq!((outcome.open, &outcome.never), (open, &never));
    assert!(!arrivals.is_everywhere(1));
}

#[rstest]
fn a_step_back_is_counted() {
    let mut arrivals = arrivals();
    [4, 4, 3, 5].into_iter().for_each(|number| arrivals.holds(100, 1, number));
    assert_eq!((arrivals.went_back(), arrivals.held(1)), (1, 5));
}

#[rstest]
#[case::none(&[], 0.5, None)]
#[case::one(&[7], 0.01, Some(7))]
#[case::half(&[1, 2, 3, 4], 0.5, Some(2))]
#[case::most(&[1, 2, 3, 4], 0.99, Some(4))]
#[case::hundred_and_one(&[0; 101], 1.0, Some(0))]
fn percentiles_are_values_that_were_measured(
    #[case] values: &[i64],
    #[case] part: f64,
    #[case] found: Option<i64>,
) {
    assert_eq!(nearest_rank(values, part), found);
}
