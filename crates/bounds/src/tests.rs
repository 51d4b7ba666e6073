//! The true time stays inside, whatever few lie, sleep or step; and nothing is claimed where nothing is known.

use super::*;
use nanorand::{Rng, WyRand};
use rstest::rstest;

fn told(intervals: &[(i64, i64)]) -> Vec<(SourceId, Interval)> {
    let interval = |(n, (earliest, latest)): (usize, &(i64, i64))| {
        (SourceId(n as u32), Interval { earliest: *earliest, latest: *latest })
    };
    intervals.iter().enumerate().map(interval).collect()
}

#[rstest]
#[case::marzullo_of_the_paper(&[(8, 12), (11, 13), (10, 12)], 0, Some((11, 12)), &[])]
#[case::one_liar_outvoted(&[(8, 12), (11, 13), (90, 91)], 1, Some((11, 12)), &[2])]
#[case::the_hull_of_all_places(&[(0, 10), (0, 3), (7, 10)], 1, Some((0, 10)), &[])]
#[case::too_few_to_outvote(&[(0, 10), (0, 10)], 1, None, &[])]
#[case::no_place(&[(0, 1), (5, 6), (9, 10)], 1, None, &[])]
#[case::ends_belong(&[(0, 5), (5, 9)], 0, Some((5, 5)), &[])]
#[case::the_wrong_way_round(&[(0, 5), (1, 4), (9, 2)], 1, Some((1, 4)), &[2])]
fn sources_agree(
    #[case] intervals: &[(i64, i64)],
    #[case] liars: usize,
    #[case] expected: Option<(i64, i64)>,
    #[case] outside: &[u32],
) {
    let agreement = agree(&told(intervals), liars);
    let found = agreement.as_ref().map(|a| (a.interval.earliest, a.interval.latest));
    assert_eq!(found, expected);
    let named: Vec<u32> = agreement.map(|a| a.outside.iter().map(|s| s.0).collect()).unwrap_or_default();
    assert_eq!(named, outside);
}

const TERMS: Terms = Terms {
    drift_ppm: 200,
    tolerance: 50,
    liars: 1,
    sources: 4,
    heard_within: 60 * SECOND,
    widest: 5 * SECOND,
};

/// The clock of a machine that drifts as fast as is vouched for, sleeps and is stepped, told by four sources of which one
/// lies: played against the true time.
#[rstest]
#[case::fast(1.0 + 199e-6)]
#[case::slow(1.0 - 199e-6)]
fn the_true_time_stays_inside(#[case] rate: f64) {
    let mut known = 0;
    for seed in 0..200 {
        let mut chance = WyRand::new_seed(seed);
        let mut draw = |most: i64| chance.generate_range(0..most as u64) as i64;
        let (mut now, mut mono, mut wall) = (1_000_000_000_i64, 5_000.0_f64, 77_000_000.0_f64);
        let read = |mono: f64, wall: f64| Reading { mono: mono as i64, wall: wall as i64 };
        let mut clock = Clock::new(TERMS, read(mono, wall));
        for _ in 0..200 {
            let passed = draw(2 * SECOND);
            now += passed;
            wall += passed as f64 * rate;
            match draw(20) {
                // Asleep: the monotonic clock stands still.
                0 => {}
                1 => {
                    mono += passed as f64 * rate;
                    wall += (draw(20 * SECOND) - 10 * SECOND) as f64;
                }
                _ => mono += passed as f64 * rate,
            }
            let asked = clock.read(read(mono, wall));
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
            clock.read(read(mono, wall));
            for source in 0..4 {
                let off = if source == 3 { draw(40 * SECOND) - 20 * SECOND } else { 0 };
                let (below, above) = (draw(20), draw(20));
                let theirs = Interval { earliest: answered + off - below, latest: answered + off + above };
                let sample = Sample { asked_mono: asked.mono, asked_count: asked.count, theirs };
                let _ = clock.heard(SourceId(source), sample);
            }
            if let Some(time) = clock.moment().time {
                assert!(time.earliest <= now && now <= time.latest, "seed {seed}: {time:?}, true {now}");
            }
        }
    }
    assert!(known > 10_000, "{known} bounded: too few to prove anything");
}

/// A clock told once by three honest sources, at a round trip of 10 ms.
fn heard_once() -> Clock {
    let mut clock = Clock::new(TERMS, Reading { mono: 0, wall: 0 });
    clock.read(Reading { mono: 100, wall: 100 });
    for source in 0..3 {
        let theirs = Interval { earliest: 5_000_000, latest: 5_000_010 };
        let sample = Sample { asked_mono: 0, asked_count: 0, theirs };
        clock.heard(SourceId(source), sample).unwrap();
    }
    clock
}

#[rstest]
#[case::whole_trip_and_slack(100, 100, Some((5_000_000, 5_000_162)))]
#[case::grows_with_drift(500_100, 500_100, Some((5_499_899, 5_500_262)))]
#[case::asleep_3_s(100, 30_100, Some((5_000_000, 5_030_168)))]
#[case::asleep_beyond_the_widest(100, 100_100, None)]
#[case::heard_nothing_for_too_long(700_000, 700_000, None)]
fn uncertainty_grows(#[case] mono: i64, #[case] wall: i64, #[case] expected: Option<(i64, i64)>) {
    let time = heard_once().read(Reading { mono, wall }).time;
    assert_eq!(time.map(|t| (t.earliest, t.latest)), expected);
}

#[rstest]
#[case::asleep(Reading { mono: 200, wall: 20_200 }, Told::Ahead { by: 20_000 })]
#[case::set_back(Reading { mono: 200, wall: -9_800 }, Told::Back { by: 10_000 })]
#[case::mono_back(Reading { mono: 50, wall: 200 }, Told::MonoBack { by: 50 })]
#[case::lost(Reading { mono: 700_000, wall: 700_000 }, Told::Lost)]
fn what_befell_is_told(#[case] reading: Reading, #[case] expected: Told) {
    let mut clock = heard_once();
    clock.told();
    clock.read(reading);
    assert_eq!(clock.told(), [expected]);
}

#[rstest]
#[case::wrong_way_round(0, Interval { earliest: 9, latest: 8 }, 0, Refused::NotAnInterval)]
#[case::out_of_range(0, Interval { earliest: 0, latest: i64::MAX }, 0, Refused::NotAnInterval)]
#[case::asked_later(0, Interval { earliest: 0, latest: 9 }, 101, Refused::AskedLater)]
#[case::fifth_source(9, Interval { earliest: 0, latest: 9 }, 0, Refused::TooManySources)]
fn samples_are_refused(
    #[case] source: u32,
    #[case] theirs: Interval,
    #[case] asked: i64,
    #[case] expected: Refused,
) {
    let mut clock = heard_once();
    let sample = Sample { asked_mono: asked, asked_count: asked, theirs };
    clock
        .heard(
            SourceId(3),
            Sample { asked_mono: 0, asked_count: 0, theirs: Interval { earliest: 0, latest: 9 } },
        )
        .unwrap();
    assert_eq!(clock.heard(SourceId(source), sample), Err(expected));
}

#[test]
fn a_liar_is_named() {
    let mut clock = heard_once();
    let theirs = Interval { earliest: 9_000_000, latest: 9_000_010 };
    clock.heard(SourceId(3), Sample { asked_mono: 0, asked_count: 0, theirs }).unwrap();
    assert_eq!(clock.told().last(), Some(&Told::Liar { source: SourceId(3) }));
}
