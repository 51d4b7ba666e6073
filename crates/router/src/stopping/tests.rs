use super::*;
use rstest::rstest;

const NOW: Tenths = 1_000_000;

/// All times are relative to `NOW`, when the signal is handled.
#[rstest]
#[case::long_timeouts(0, 60_000, [33_400, 25_000, 33_500, 35_500])]
#[case::three_seconds(0, 30_000, [33_400, 25_000, 33_500, 35_500])]
#[case::short_timeouts(0, 6_000, [9_400, 7_000, 9_500, 11_500])]
#[case::very_short_timeouts(0, 2_000, [5_400, 5_500, 5_500, 7_500])]
#[case::no_timeout(0, 0, [3_400, 4_500, 4_500, 6_500])]
#[case::a_sleep_is_no_standstill(800, 30_000, [33_400, 25_000, 33_500, 35_500])]
#[case::standstill(13_800, 30_000, [19_600, 11_200, 19_700, 21_700])]
#[case::accepts_clients_after_a_standstill(13_800, 15_000, [4_600, 4_700, 4_700, 6_700])]
#[case::kill_is_due_during_the_standstill(13_800, 6_000, [-4_400, 4_500, 4_500, 6_500])]
fn steps_of_stopping(
    #[case] uncertainty: Tenths,
    #[case] longest_client_timeout: Tenths,
    #[case] expected: [Tenths; 4],
) {
    let schedule = StopSchedule::new(TimeRange::new(NOW - uncertainty, NOW), longest_client_timeout);
    let StopSchedule { answer_commands_by, stop_accepting_at, final_answers_at, exit_at } = schedule;
    let steps = [answer_commands_by, stop_accepting_at, final_answers_at, exit_at];
    assert_eq!(steps.map(|at| at - NOW), expected);
}

/// Guards against a process that is killed because SIGTERM waited behind the work of a round, for a time that no standstill
/// shows, and the end counts from when it was handled.
#[rstest]
fn process_ends_before_it_may_be_killed(
    #[values(0, 500, 1_000, 1_500, 2_000, 5_000)] uncertainty: Tenths,
    #[values(15_000, 30_000, 60_000)] longest_client_timeout: Tenths,
) {
    let signalled = TimeRange::new(NOW - uncertainty, NOW);
    let kill_at = signalled.earliest + ACCEPTING_TIME + longest_client_timeout.min(MAX_CLIENT_TIMEOUT);
    let schedule = StopSchedule::new(signalled, longest_client_timeout);
    assert!(schedule.exit_at <= kill_at, "{} after the kill", schedule.exit_at - kill_at);
    assert!(
        schedule.exit_at >= schedule.final_answers_at + MIN_CLOSING_TIME,
        "clients can read their answers"
    );
}
