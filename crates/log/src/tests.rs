use super::*;
use rstest::rstest;

#[rstest]
fn lines_beyond_the_limit_are_suppressed_and_counted() {
    let limiter = RateLimiter::new(LINES_PER_SECOND);
    let first: Vec<Option<u32>> = (0..8).map(|_| limiter.admit_in(3)).collect();
    assert_eq!(first, [Some(0), Some(0), Some(0), Some(0), Some(0), None, None, None]);
    assert_eq!((limiter.admit_in(4), limiter.admit_in(4)), (Some(3), Some(0)));
}

#[rstest]
fn limiter_admits_a_custom_rate() {
    let limiter = RateLimiter::new(7);
    assert_eq!((0..9).filter(|_| limiter.admit_in(3).is_some()).count(), 7);
}

#[rstest]
#[case::usual(1_764_684_164, 500, "2025-12-02T14:02:44.500Z")]
#[case::epoch(0, 0, "1970-01-01T00:00:00.000Z")]
#[case::before_epoch(-3_600, 0, "3600 s before 1970")]
#[case::year_beyond_four_digits(300_000_000_000, 0, "300000000000 s after 1970")]
fn any_wall_clock_time_is_formatted(#[case] seconds: i64, #[case] millis: u64, #[case] text: &str) {
    let span = Duration::from_secs(seconds.unsigned_abs());
    let at = if seconds < 0 { UNIX_EPOCH - span } else { UNIX_EPOCH + span };
    assert_eq!(format_time(at + Duration::from_millis(millis)), text);
}
