use super::*;
use rstest::rstest;

const NOW: Tenths = 1_000_000;
/// A primary was asked at NOW and answered 20 ms later.
const HEARD: Tenths = NOW + 200;

/// Evidence where their clock is ahead of ours by this.
fn evidence(ahead: Tenths) -> Evidence {
    Evidence::of_primary(NOW + 100 + ahead, NOW, HEARD, 0)
}

/// A clock that learned these, the last at NOW, over long enough for a correction.
fn clock(evidence: &[Evidence]) -> MemberClock {
    let mut clock = MemberClock::default();
    for (at, e) in evidence.iter().enumerate() {
        clock.learn(NOW - AGREE_OVER * (evidence.len() - 1 - at) as Tenths, *e);
    }
    clock
}

#[rstest]
fn a_clock_that_nobody_has_borne_out_says_nothing_of_the_latest() {
    assert_eq!(clock(&[]).latest(NOW), None);
    assert_eq!(clock(&[Evidence::of_any(NOW - 500, NOW)]).latest(NOW), None);
}

#[rstest]
fn a_clock_that_is_right_is_left_alone() {
    assert_eq!(clock(&[evidence(0); 5]).latest(NOW), Some(NOW));
}

#[rstest]
#[case::behind(10_000)]
#[case::long_behind(36_000_000)]
#[case::ahead(-20_000)]
#[case::long_ahead(-36_000_000)]
fn primaries_that_agree_correct_it_and_rather_too_late(#[case] wrong: Tenths) {
    let clock = clock(&[evidence(wrong); AGREE]);
    let latest = clock.latest(NOW).expect("borne out") - NOW;
    assert!((wrong..=wrong + 200).contains(&latest), "{latest}");
    assert_eq!(clock.now(NOW) - NOW, latest);
}

/// What comes in a burst may have one cause, and be refuted by what comes next.
#[rstest]
#[case::in_a_burst(AGREE_OVER - 1, 0)]
#[case::over_long_enough(AGREE_OVER, -2_000)]
fn a_correction_takes_its_time(#[case] over: Tenths, #[case] offset: Tenths) {
    let mut clock = clock(&[evidence(0)]);
    let standing_still = Evidence::of_primary(NOW - 2_000, NOW, HEARD, 0);
    (0..20).for_each(|at| _ = clock.learn(NOW + at * over / 19, standing_still));
    let found = clock.now(NOW) - NOW;
    assert!((offset..=offset + 100).contains(&found), "{found}");
    let mut refuted = clock.clone();
    refuted.learn(NOW + over + 1, evidence(0));
    assert!(refuted.against.is_empty() || offset != 0, "{refuted:?}");
}

#[rstest]
fn one_spoilt_position_is_doubted_and_then_forgotten() {
    let mut clock = clock(&[evidence(0), evidence(36_000_000)]);
    assert_eq!(clock.now(NOW), NOW);
    assert!(clock.latest(NOW) > Some(NOW + 35_000_000), "until it is refuted nothing is fresh");
    clock.learn(NOW, evidence(0));
    assert_eq!(clock.latest(NOW), Some(NOW));
}

#[rstest]
fn contradictions_that_disagree_correct_nothing() {
    let clock = clock(&[evidence(10_000), evidence(50_000), evidence(90_000), evidence(130_000)]);
    assert_eq!(clock.now(NOW), NOW);
}

#[rstest]
fn a_position_yet_to_come_is_evidence_but_moves_no_clock_alone() {
    let clock = clock(&[[evidence(0)].as_slice(), &[Evidence::of_any(NOW + 9_000, NOW); 9]].concat());
    assert_eq!(clock.now(NOW), NOW);
    assert_eq!(clock.latest(NOW), Some(NOW + 9_000));
}

/// A wall clock that is behind by less than the age of the report agrees with it.
#[rstest]
#[case::reports_alone(None, NOW + 6_750)]
#[case::beside_an_answer(Some(evidence(0)), NOW)]
fn a_report_that_is_old_contradicts_nothing_and_proves_little(
    #[case] answer: Option<Evidence>,
    #[case] latest: Tenths,
) {
    let report = Evidence::of_primary(NOW - 3_000, NOW, HEARD, 10_000);
    let mut clock = clock(&[report; 3]);
    answer.into_iter().for_each(|answer| _ = clock.learn(NOW, answer));
    assert_eq!((clock.now(NOW), clock.latest(NOW)), (NOW, Some(latest)));
}

#[rstest]
fn a_host_whose_time_is_theirs_needs_no_bounds() {
    let mut clock = MemberClock::default();
    clock.is_theirs();
    assert_eq!(clock.latest(NOW), Some(NOW));
    let standing_still = Evidence::of_primary(NOW - 3_000, NOW, HEARD, 0);
    [evidence(9_000), Evidence::of_any(NOW + 9_000, NOW)].iter().chain(&[standing_still; 5]).for_each(|e| {
        assert!(!clock.learn(NOW, *e), "nothing moves it: {e:?}");
    });
    assert_eq!(clock.latest(NOW), Some(NOW));
}

/// A report of a primary where their clock is ahead by so much; it was this old when it was heard.
fn report(ahead: Tenths, age: Tenths) -> Evidence {
    Evidence::of_primary(HEARD + ahead - age, NOW, HEARD, 10_000)
}

#[rstest]
#[case::behind(1_500)]
#[case::ahead(-3_000)]
fn reports_that_may_be_old_refute_no_answers(#[case] wrong: Tenths) {
    let answer = evidence(wrong);
    let one = clock(&[report(wrong, 2_500), answer, report(wrong, 2_500)]);
    // Half of the way there and back is not known.
    assert!(one.latest(NOW).expect("borne out") >= NOW + wrong - 100, "what is proven stays");
    let three = clock(&[answer, report(wrong, 2_500), answer, report(wrong, 2_500), answer]);
    let latest = three.latest(NOW).expect("borne out") - NOW;
    assert!((wrong..=wrong + 200).contains(&latest), "{latest}");
}

#[rstest]
fn a_corrected_clock_is_narrowed_by_what_comes_later() {
    let mut clock = clock(&[report(15_000, 1_000); AGREE]);
    let before = clock.latest(NOW).expect("borne out") - NOW;
    assert!(before > 15_000 + 5_000, "as late as reports allow: {before}");
    clock.learn(NOW, evidence(15_000));
    let after = clock.latest(NOW).expect("borne out") - NOW;
    assert!((15_000..=15_200).contains(&after), "{after}");
}

#[rstest]
#[case::fast(60)]
#[case::slow(-60)]
fn bounds_widen_as_clocks_drift(#[case] a_minute: Tenths) {
    let mut clock = clock(&[evidence(10_000); AGREE]);
    let span = 600_000;
    for step in 1..=4 {
        let drifted = 10_000 + step * a_minute;
        let (asked, heard) = (NOW + step * span, HEARD + step * span);
        clock.learn(heard, Evidence::of_primary(asked + 100 + drifted, asked, heard, 0));
        let latest = clock.latest(heard).expect("borne out") - heard;
        assert!((drifted..=drifted + 200).contains(&latest), "step {step}: {latest}");
    }
}

/// Danger: after a long quiet without a write nothing would count as fresh.
#[rstest]
#[case::minutes(3_000_000, 150)]
#[case::an_hour(36_000_000, 3_450)]
fn bounds_outlast_a_quiet_time(#[case] quiet: Tenths, #[case] late_most: Tenths) {
    let mut clock = clock(&[evidence(0)]);
    let later = NOW + quiet;
    clock.learn(later, Evidence::of_primary(later - 2_000, later, later, 10_000));
    let latest = clock.latest(later).expect("borne out") - later;
    assert!((0..=late_most).contains(&latest), "{latest}");
}
