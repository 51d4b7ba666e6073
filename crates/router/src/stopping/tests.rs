use super::*;
use rstest::rstest;

const NOW: Tenths = 1_000_000;

/// All times are relative to `NOW`, when the signal is handled.
#[rstest]
#[case::long_timeouts(0, 60_000, [33_400, 25_000, 33_500, 36_500])]
#[case::three_seconds(0, 30_000, [33_400, 25_000, 33_500, 36_500])]
#[case::short_timeouts(0, 6_000, [9_400, 7_000, 9_500, 12_500])]
#[case::very_short_timeouts(0, 2_000, [5_400, 5_500, 5_500, 8_500])]
#[case::no_timeout(0, 0, [3_400, 4_500, 4_500, 6_500])]
#[case::a_sleep_is_no_standstill(800, 30_000, [33_400, 25_000, 33_500, 36_500])]
#[case::standstill(13_800, 30_000, [19_600, 11_200, 19_700, 22_700])]
#[case::accepts_clients_after_a_standstill(13_800, 15_000, [4_600, 4_700, 4_700, 7_700])]
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
