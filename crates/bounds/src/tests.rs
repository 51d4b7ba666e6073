//! Tests that the interval contains the true time despite faulty sources, sleep and clock steps, and that no interval
//! is returned when nothing is known.

use super::*;
use nanorand::{Rng, WyRand};
use rstest::rstest;

fn intervals_of(intervals: &[(i64, i64)]) -> Vec<(SourceId, Interval)> {
    let interval = |(n, (earliest, latest)): (usize, &(i64, i64))| {
        (SourceId(n as u32), Interval { earliest: *earliest, latest: *latest })
    };
    intervals.iter().enumerate().map(interval).collect()
}

#[rstest]
#[case::all_sources_overlap(&[(8, 12), (11, 13), (10, 12)], 0, Some((11, 12)), &[])]
#[case::one_faulty_source_is_outvoted(&[(8, 12), (11, 13), (90, 91)], 1, Some((11, 12)), &[2])]
#[case::hull_of_disjoint_overlaps(&[(0, 10), (0, 3), (7, 10)], 1, Some((0, 10)), &[])]
#[case::too_few_sources_to_outvote_a_faulty_one(&[(0, 10), (0, 10)], 1, None, &[])]
#[case::no_common_instant(&[(0, 1), (5, 6), (9, 10)], 1, None, &[])]
#[case::bounds_are_inclusive(&[(0, 5), (5, 9)], 0, Some((5, 5)), &[])]
#[case::reversed_interval_is_ignored(&[(0, 5), (1, 4), (9, 2)], 1, Some((1, 4)), &[2])]
fn agreement_tolerates_faulty_sources(
    #[case] intervals: &[(i64, i64)],
    #[case] max_faulty: usize,
    #[case] expected: Option<(i64, i64)>,
    #[case] outliers: &[u32],
) {
    let agreement = agree(&intervals_of(intervals), max_faulty);
    let found = agreement.as_ref().map(|a| (a.interval.earliest, a.interval.latest));
    assert_eq!(found, expected);
    let named: Vec<u32> = agreement.map(|a| a.outliers.iter().map(|s| s.0).collect()).unwrap_or_default();
    assert_eq!(named, outliers);
}

const ASSUMPTIONS: Assumptions = Assumptions {
    drift_ppm: 200,
    step_tolerance: 50,
    max_faulty: 1,
    max_sources: 4,
    max_age: 60 * SECOND,
    max_width: 5 * SECOND,
};

/// Plays the clock of a machine with the maximum assumed drift, with sleep and clock steps, and four sources of which
/// one is faulty, against the true time. Fails if an interval excludes the true time.
#[rstest]
#[case::fast_clock(1.0 + 199e-6)]
#[case::slow_clock(1.0 - 199e-6)]
fn interval_contains_true_time_despite_faults(#[case] rate: f64) {
    let mut known = 0;
    for seed in 0..200 {
        let mut chance = WyRand::new_seed(seed);
        let mut draw = |most: i64| chance.generate_range(0..most as u64) as i64;
        let (mut now, mut mono, mut wall) = (1_000_000_000_i64, 5_000.0_f64, 77_000_000.0_f64);
        let read = |mono: f64, wall: f64| Reading { mono: mono as i64, wall: wall as i64 };
        let mut clock = Clock::new(ASSUMPTIONS, read(mono, wall));
        for _ in 0..200 {
            let passed = draw(2 * SECOND);
            now += passed;
            wall += passed as f64 * rate;
            match draw(20) {
                // The machine sleeps: the monotonic clock stops.
                0 => {}
                1 => {
                    mono += passed as f64 * rate;
                    wall += (draw(20 * SECOND) - 10 * SECOND) as f64;
                }
                _ => mono += passed as f64 * rate,
            }
            let asked = clock.update(read(mono, wall));
            if let Some(time) = asked.time {
                known += 1;
                assert!(time.earliest <= now && now <= time.latest, "seed {seed}: {time:?}, true {now}");
            }
            if draw(3) == 0 {
                continue;
            }
            let (there, back) = (draw(300), draw(300));
            let answered = now + there;
            now += there + back;
            mono += (there + back) as f64 * rate;
            wall += (there + back) as f64 * rate;
            clock.update(read(mono, wall));
            for source in 0..4 {
                let off = if source == 3 { draw(40 * SECOND) - 20 * SECOND } else { 0 };
                let (below, above) = (draw(20), draw(20));
                let answer = Interval { earliest: answered + off - below, latest: answered + off + above };
                let sample = Sample { sent_mono: asked.mono, sent_count: asked.count, answer };
                let _ = clock.add_sample(SourceId(source), sample);
            }
            if let Some(time) = clock.moment().time {
                assert!(time.earliest <= now && now <= time.latest, "seed {seed}: {time:?}, true {now}");
            }
        }
    }
    assert!(known > 10_000, "{known} bounded moments, too few for the test to be meaningful");
}

/// A clock with one sample of each of three correct sources, at a round trip of 10 ms.
fn clock_with_one_sample_each() -> Clock {
    let mut clock = Clock::new(ASSUMPTIONS, Reading { mono: 0, wall: 0 });
    clock.update(Reading { mono: 100, wall: 100 });
    for source in 0..3 {
        let answer = Interval { earliest: 5_000_000, latest: 5_000_010 };
        let sample = Sample { sent_mono: 0, sent_count: 0, answer };
        clock.add_sample(SourceId(source), sample).unwrap();
    }
    clock
}

#[rstest]
#[case::round_trip_and_slack(100, 100, Some((5_000_000, 5_000_162)))]
#[case::drift(500_100, 500_100, Some((5_499_899, 5_500_262)))]
#[case::sleep_of_3_s(100, 30_100, Some((5_000_000, 5_030_168)))]
#[case::sleep_wider_than_max_width(100, 100_100, None)]
#[case::samples_expired(700_000, 700_000, None)]
fn interval_widens_with_elapsed_time(
    #[case] mono: i64,
    #[case] wall: i64,
    #[case] expected: Option<(i64, i64)>,
) {
    let time = clock_with_one_sample_each().update(Reading { mono, wall }).time;
    assert_eq!(time.map(|t| (t.earliest, t.latest)), expected);
}

#[rstest]
#[case::sleep(Reading { mono: 200, wall: 20_200 }, ClockEvent::SteppedForward { by: 20_000 })]
#[case::wall_clock_set_back(Reading { mono: 200, wall: -9_800 }, ClockEvent::SteppedBack { by: 10_000 })]
#[case::monotonic_clock_went_back(Reading { mono: 50, wall: 200 }, ClockEvent::MonotonicWentBack { by: 50 })]
#[case::bound_lost(Reading { mono: 700_000, wall: 700_000 }, ClockEvent::Unbounded)]
fn clock_faults_are_reported(#[case] reading: Reading, #[case] expected: ClockEvent) {
    let mut clock = clock_with_one_sample_each();
    clock.take_events();
    clock.update(reading);
    assert_eq!(clock.take_events(), [expected]);
}

#[rstest]
#[case::reversed_interval(0, Interval { earliest: 9, latest: 8 }, 0, SampleError::InvalidInterval)]
#[case::out_of_range(0, Interval { earliest: 0, latest: i64::MAX }, 0, SampleError::InvalidInterval)]
#[case::request_sent_in_future(0, Interval { earliest: 0, latest: 9 }, 101, SampleError::SentInFuture)]
#[case::too_many_sources(9, Interval { earliest: 0, latest: 9 }, 0, SampleError::TooManySources)]
fn invalid_samples_are_rejected(
    #[case] source: u32,
    #[case] answer: Interval,
    #[case] asked: i64,
    #[case] expected: SampleError,
) {
    let mut clock = clock_with_one_sample_each();
    let sample = Sample { sent_mono: asked, sent_count: asked, answer };
    clock
        .add_sample(
            SourceId(3),
            Sample { sent_mono: 0, sent_count: 0, answer: Interval { earliest: 0, latest: 9 } },
        )
        .unwrap();
    assert_eq!(clock.add_sample(SourceId(source), sample), Err(expected));
}

#[test]
fn disagreeing_source_is_reported() {
    let mut clock = clock_with_one_sample_each();
    let answer = Interval { earliest: 9_000_000, latest: 9_000_010 };
    clock.add_sample(SourceId(3), Sample { sent_mono: 0, sent_count: 0, answer }).unwrap();
    assert_eq!(clock.take_events().last(), Some(&ClockEvent::Disagrees { source: SourceId(3) }));
}
