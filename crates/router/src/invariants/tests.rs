use super::*;
use rstest::rstest;

const NOW: Tenths = 1_000_000;

fn invariants() -> Invariants {
    let settings = [
        ("rules.drain_grace_ms", "500"),
        ("request_classes.0.name", "look"),
        ("request_classes.0.semantics", "pure"),
        ("request_classes.1.name", "save"),
        ("request_classes.1.semantics", "token"),
        ("request_classes.1.window_ms", "3000"),
        ("request_classes.2.name", "order"),
        ("request_classes.2.semantics", "side_effect"),
    ];
    Invariants::new(&settings.into_iter().map(|(name, value)| (name.to_owned(), value.to_owned())).collect())
}

fn attempt(number: u32, node: &Id) -> AttemptStart<'_> {
    AttemptStart { number, node, limit_at: NOW + 10_000, has_client: true }
}

#[rstest]
#[case::replayable("look", Ending::TimedOut, 40_000, &[])]
#[case::within_window("save", Ending::TimedOut, 30_000, &[])]
#[case::after_window("save", Ending::TimedOut, 30_001, &[Violation::EffectTwice])]
#[case::not_replayable("order", Ending::Reset, 1, &[Violation::EffectTwice])]
#[case::not_replayable_but_never_ran("order", Ending::Miss, 1, &[])]
#[case::unknown_group("other", Ending::Error, 1, &[Violation::EffectTwice])]
fn repeated_attempt_is_checked_against_the_first_outcome(
    #[case] group: &str,
    #[case] ending: Ending,
    #[case] later: Tenths,
    #[case] expected: &[Violation],
) {
    let (mut invariants, node) = (invariants(), Id::from("a"));
    let mut history = invariants.start_history(group, NOW + 100_000, 0);
    assert_eq!(invariants.check_attempt(NOW, &mut history, &attempt(0, &node)), []);
    history.ended(0, ending);
    assert_eq!(invariants.check_attempt(NOW + later, &mut history, &attempt(1, &node)), expected);
    assert_eq!(invariants.violations.total(), expected.len() as u64);
}

#[rstest]
#[case::within_grace(5_500, true, 10_000, true, &[])]
#[case::after_grace(5_501, true, 10_000, true, &[Violation::Draining])]
#[case::no_longer_draining(9_000, false, 10_000, true, &[])]
#[case::client_left(0, false, 10_000, false, &[Violation::ClientLeft])]
#[case::limit_within_slack(0, false, 21_500, true, &[])]
#[case::limit_too_long(0, false, 21_501, true, &[Violation::TooLong])]
fn attempt_start_is_checked(
    #[case] later: Tenths,
    #[case] drains: bool,
    #[case] limit: Tenths,
    #[case] has_client: bool,
    #[case] expected: &[Violation],
) {
    let (mut invariants, node) = (invariants(), Id::from("a"));
    invariants.update_member(NOW, &node, true);
    invariants.update_member(NOW, &node, drains);
    let mut history = invariants.start_history("look", NOW + 20_000, 0);
    let begun = AttemptStart { limit_at: NOW + limit, has_client, ..attempt(0, &node) };
    assert_eq!(invariants.check_attempt(NOW + later, &mut history, &begun), expected);
}

#[rstest]
fn attempt_while_another_is_in_flight_is_a_second_copy() {
    let (mut invariants, node) = (invariants(), Id::from("a"));
    let mut history = invariants.start_history("look", NOW + 20_000, 0);
    invariants.check_attempt(NOW, &mut history, &attempt(0, &node));
    assert_eq!(invariants.check_attempt(NOW, &mut history, &attempt(1, &node)), [Violation::SecondCopy]);
}

#[rstest]
#[case::in_time(25_000, 0, None)]
#[case::late(25_001, 0, Some(Violation::Late))]
#[case::in_time_behind_another_command(35_000, 30_000, None)]
#[case::late_behind_another_command(35_001, 30_000, Some(Violation::Late))]
fn answer_long_after_its_deadline_is_late(
    #[case] at: Tenths,
    #[case] answer_by: Tenths,
    #[case] expected: Option<Violation>,
) {
    let mut invariants = invariants();
    let history = invariants.start_history("look", NOW + 20_000, NOW + answer_by);
    assert_eq!(invariants.check_answer(NOW + at, &history), expected);
}

/// The time told to a member counts from the arrival of the command, whatever was before it.
#[rstest]
fn limit_of_an_attempt_counts_from_the_arrival() {
    let (mut invariants, node) = (invariants(), Id::from("a"));
    let mut history = invariants.start_history("look", NOW + 20_000, NOW + 30_000);
    let begun = AttemptStart { limit_at: NOW + 21_501, ..attempt(0, &node) };
    assert_eq!(invariants.check_attempt(NOW, &mut history, &begun), [Violation::TooLong]);
}
