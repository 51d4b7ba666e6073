use super::super::tests::*;
use super::*;
use rstest::rstest;

/// Guards against overloading a cold member: over one span, the credit held at its start plus the credit earned in it
/// must not exceed the allowed multiple of the member's capacity, however far it has warmed. One router has all the
/// traffic here, so that its credit can hold more than a few commands.
#[rstest]
#[case::just_started(0.0, 0.8)]
#[case::half_warm(0.5, 0.9)]
#[case::almost_warm(0.99, 0.998)]
fn held_and_earned_credit_stay_within_the_allowed_multiple(#[case] warmth: f64, #[case] part: f64) {
    let span = SECOND;
    let extra =
        [("rules.warm_after_ms", "20000"), ("rules.start_capacity", "0.2"), ("rules.tip_multiple", "2")];
    let mut r = router(&extra);
    r.started_at = NOW - 100 * LATENCY_HALF_LIFE;
    let ordinary = 1_000.0;
    let nodes = r.node_by_id.len() as f64;
    r.answered_work.add(
        NOW,
        LATENCY_HALF_LIFE,
        ordinary * nodes * LATENCY_HALF_LIFE as f64 * std::f64::consts::LOG2_E,
    );
    let started = NOW - (warmth * 20.0 * SECOND as f64) as Tenths;
    let m = &mut r.members[1];
    (m.started, m.start_learned_at, m.credit, m.credit_updated_at) = (started, started, f64::MAX, NOW);
    let held = r.slow_start_credit(NOW, &r.members[1]);
    let earned = r.slow_start_rate(NOW, warmth) * span as f64;
    let may = ordinary * (0.2 + 0.8 * warmth) * 2.0 * span as f64;
    assert!((earned / may - part).abs() < 0.01, "{}", earned / may);
    assert!(held + earned <= may * 1.001 + r.min_credit_cap as f64, "{}", (held + earned) / may);
}
