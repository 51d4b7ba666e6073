use super::*;
use rstest::rstest;

#[rstest]
#[case::refused(Reached::Dialling, Cause::Broken, Ending::ConnectFailed)]
#[case::no_connection_in_time(Reached::Dialling, Cause::DialLimit, Ending::ConnectFailed)]
#[case::full_at_startup(Reached::Dialling, Cause::Code(*b"53300"), Ending::Full)]
#[case::starting_up(Reached::Dialling, Cause::Code(*b"57P03"), Ending::ConnectFailed)]
#[case::limit_before_written(Reached::Writing, Cause::Limit, Ending::NeverSent)]
#[case::called_off_before_written(Reached::Dialling, Cause::CalledOff, Ending::NeverSent)]
#[case::broken_before_written(Reached::Writing, Cause::Broken, Ending::ConnectFailed)]
#[case::broken_after_written(Reached::Written, Cause::Broken, Ending::Reset)]
#[case::limit_after_written(Reached::Written, Cause::Limit, Ending::TimedOut)]
#[case::called_off_after_written(Reached::Written, Cause::CalledOff, Ending::CalledOff)]
#[case::full_after_written(Reached::Written, Cause::Code(*b"53300"), Ending::Full)]
#[case::read_only_member(Reached::Written, Cause::Code(*b"25006"), Ending::Miss)]
#[case::replica_behind(Reached::Written, Cause::Code(*b"72000"), Ending::Miss)]
#[case::internal_error(Reached::Written, Cause::Code(*b"XX000"), Ending::Error)]
#[case::starting_up_after_written(Reached::Written, Cause::Code(*b"57P03"), Ending::Error)]
#[case::malformed_answer(Reached::Written, Cause::Garbled, Ending::Error)]
fn ending_depends_on_cause_and_progress(
    #[case] reached: Reached,
    #[case] cause: Cause,
    #[case] expected: Ending,
) {
    assert_eq!(ending(Failure { reached, cause }), expected);
}

#[rstest]
#[case::no_connection(Reached::Dialling, Cause::Limit, Ending::TimedOut)]
#[case::refused(Reached::Dialling, Cause::Broken, Ending::ConnectFailed)]
fn probe_without_connection_in_time_is_timed_out(
    #[case] reached: Reached,
    #[case] cause: Cause,
    #[case] expected: Ending,
) {
    assert_eq!(probe_ending(Failure { reached, cause }), expected);
}
