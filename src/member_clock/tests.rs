use super::*;
use rstest::rstest;

const NOW: Tenths = 1_000_000;
/// The answer of a primary to a request sent at NOW arrives 20 ms later.
const HEARD: Tenths = NOW + 200;

/// Evidence of a members' clock that is ahead of the router's by this much.
fn evidence_ahead_by(ahead: Tenths) -> OffsetEvidence {
    OffsetEvidence::from_primary(NOW + 100 + ahead, NOW, HEARD, 0)
}

/// A clock that has learned this evidence, the last piece at NOW, over a span long enough for a correction.
fn clock(evidence: &[OffsetEvidence]) -> MemberClock {
    let mut clock = MemberClock::default();
    for (at, e) in evidence.iter().enumerate() {
        clock.learn(NOW - MIN_CONSISTENT_SPAN * (evidence.len() - 1 - at) as Tenths, *e);
    }
    clock
}

#[rstest]
fn unconfirmed_clock_has_no_upper_bound() {
    assert_eq!(clock(&[]).latest(NOW), None);
    assert_eq!(clock(&[OffsetEvidence::from_any_member(NOW - 500, NOW)]).latest(NOW), None);
}

#[rstest]
fn correct_clock_is_unchanged() {
    assert_eq!(clock(&[evidence_ahead_by(0); 5]).latest(NOW), Some(NOW));
}

#[rstest]
#[case::behind(10_000)]
#[case::far_behind(36_000_000)]
#[case::ahead(-20_000)]
#[case::far_ahead(-36_000_000)]
fn consistent_contradictions_correct_the_clock_to_the_late_side(#[case] offset_error: Tenths) {
    let clock = clock(&[evidence_ahead_by(offset_error); MIN_CONSISTENT]);
    let latest = clock.latest(NOW).expect("confirmed") - NOW;
    assert!((offset_error..=offset_error + 200).contains(&latest), "{latest}");
    assert_eq!(clock.now(NOW) - NOW, latest);
}

/// Evidence that arrives in a burst may have a single cause, and the next evidence may refute it.
#[rstest]
#[case::burst(MIN_CONSISTENT_SPAN - 1, 0)]
#[case::long_span(MIN_CONSISTENT_SPAN, -2_000)]
fn correction_requires_evidence_over_a_minimum_span(#[case] over: Tenths, #[case] offset: Tenths) {
    let mut clock = clock(&[evidence_ahead_by(0)]);
    let standing_still = OffsetEvidence::from_primary(NOW - 2_000, NOW, HEARD, 0);
    (0..20).for_each(|at| _ = clock.learn(NOW + at * over / 19, standing_still));
    let found = clock.now(NOW) - NOW;
    assert!((offset..=offset + 100).contains(&found), "{found}");
    let mut refuted = clock.clone();
    refuted.learn(NOW + over + 1, evidence_ahead_by(0));
    assert!(refuted.contradicting.is_empty() || offset != 0, "{refuted:?}");
}

#[rstest]
fn single_corrupted_position_is_dropped_once_refuted() {
    let mut clock = clock(&[evidence_ahead_by(0), evidence_ahead_by(36_000_000)]);
    assert_eq!(clock.now(NOW), NOW);
    assert!(clock.latest(NOW) > Some(NOW + 35_000_000), "no replica is fresh until the position is refuted");
    clock.learn(NOW, evidence_ahead_by(0));
    assert_eq!(clock.latest(NOW), Some(NOW));
}

#[rstest]
fn inconsistent_contradictions_do_not_correct_the_clock() {
    let clock = clock(&[
        evidence_ahead_by(10_000),
        evidence_ahead_by(50_000),
        evidence_ahead_by(90_000),
        evidence_ahead_by(130_000),
    ]);
    assert_eq!(clock.now(NOW), NOW);
}

#[rstest]
fn future_position_raises_the_bound_but_not_the_offset() {
    let clock = clock(
        &[[evidence_ahead_by(0)].as_slice(), &[OffsetEvidence::from_any_member(NOW + 9_000, NOW); 9]]
            .concat(),
    );
    assert_eq!(clock.now(NOW), NOW);
    assert_eq!(clock.latest(NOW), Some(NOW + 9_000));
}

/// A wall clock that is behind by less than a report's age agrees with the report.
#[rstest]
#[case::reports_only(None, NOW + 6_750)]
#[case::with_an_answer(Some(evidence_ahead_by(0)), NOW)]
fn old_report_does_not_contradict_and_bounds_loosely(
    #[case] answer: Option<OffsetEvidence>,
    #[case] latest: Tenths,
) {
    let report = OffsetEvidence::from_primary(NOW - 3_000, NOW, HEARD, 10_000);
    let mut clock = clock(&[report; 3]);
    answer.into_iter().for_each(|answer| _ = clock.learn(NOW, answer));
    assert_eq!((clock.now(NOW), clock.latest(NOW)), (NOW, Some(latest)));
}

#[rstest]
fn exact_clock_ignores_evidence() {
    let mut clock = MemberClock::default();
    clock.use_exact_time();
    assert_eq!(clock.latest(NOW), Some(NOW));
    let standing_still = OffsetEvidence::from_primary(NOW - 3_000, NOW, HEARD, 0);
    [evidence_ahead_by(9_000), OffsetEvidence::from_any_member(NOW + 9_000, NOW)]
        .iter()
        .chain(&[standing_still; 5])
        .for_each(|e| {
            assert!(!clock.learn(NOW, *e), "no evidence changes it: {e:?}");
        });
    assert_eq!(clock.latest(NOW), Some(NOW));
}

/// Evidence from a primary's report that was `age` old when received; the members' clock is ahead by `ahead`.
fn report_ahead_by(ahead: Tenths, age: Tenths) -> OffsetEvidence {
    OffsetEvidence::from_primary(HEARD + ahead - age, NOW, HEARD, 10_000)
}

#[rstest]
#[case::behind(1_500)]
#[case::ahead(-3_000)]
fn possibly_old_reports_do_not_refute_answers(#[case] offset_error: Tenths) {
    let answer = evidence_ahead_by(offset_error);
    let one = clock(&[report_ahead_by(offset_error, 2_500), answer, report_ahead_by(offset_error, 2_500)]);
    // Half of the round trip is unknown.
    assert!(one.latest(NOW).expect("confirmed") >= NOW + offset_error - 100, "the proven bound stays");
    let three = clock(&[
        answer,
        report_ahead_by(offset_error, 2_500),
        answer,
        report_ahead_by(offset_error, 2_500),
        answer,
    ]);
    let latest = three.latest(NOW).expect("confirmed") - NOW;
    assert!((offset_error..=offset_error + 200).contains(&latest), "{latest}");
}

#[rstest]
fn later_evidence_narrows_a_corrected_clock() {
    let mut clock = clock(&[report_ahead_by(15_000, 1_000); MIN_CONSISTENT]);
    let before = clock.latest(NOW).expect("confirmed") - NOW;
    assert!(before > 15_000 + 5_000, "the upper bound that reports allow: {before}");
    clock.learn(NOW, evidence_ahead_by(15_000));
    let after = clock.latest(NOW).expect("confirmed") - NOW;
    assert!((15_000..=15_200).contains(&after), "{after}");
}

#[rstest]
#[case::members_clock_fast(60)]
#[case::members_clock_slow(-60)]
fn bounds_widen_with_clock_drift(#[case] drift_per_step: Tenths) {
    let mut clock = clock(&[evidence_ahead_by(10_000); MIN_CONSISTENT]);
    let span = 600_000;
    for step in 1..=4 {
        let drifted = 10_000 + step * drift_per_step;
        let (asked, heard) = (NOW + step * span, HEARD + step * span);
        clock.learn(heard, OffsetEvidence::from_primary(asked + 100 + drifted, asked, heard, 0));
        let latest = clock.latest(heard).expect("confirmed") - heard;
        assert!((drifted..=drifted + 200).contains(&latest), "step {step}: {latest}");
    }
}

/// Guards against bounds that expire: after a long period without writes no replica would count as fresh.
#[rstest]
#[case::minutes(3_000_000, 150)]
#[case::an_hour(36_000_000, 3_450)]
fn bounds_survive_a_period_without_evidence(#[case] gap: Tenths, #[case] max_upper: Tenths) {
    let mut clock = clock(&[evidence_ahead_by(0)]);
    let later = NOW + gap;
    clock.learn(later, OffsetEvidence::from_primary(later - 2_000, later, later, 10_000));
    let latest = clock.latest(later).expect("confirmed") - later;
    assert!((0..=max_upper).contains(&latest), "{latest}");
}
