use super::*;
use rstest::rstest;

#[rstest]
#[case(libc::EAGAIN, true)]
#[case(libc::ENOBUFS, true)]
#[case(libc::ENOMEM, true)]
#[case(libc::EINTR, false)]
#[case(libc::EPIPE, false)]
#[case(libc::ECONNRESET, false)]
#[case(libc::ETIMEDOUT, false)]
fn transient_errors_are_recognised(#[case] error: i32, #[case] transient: bool) {
    assert_eq!(is_transient(&io::Error::from_raw_os_error(error)), transient);
}

#[rstest]
#[case(libc::EADDRNOTAVAIL, true)]
#[case(libc::ENETUNREACH, true)]
#[case(libc::ENFILE, true)]
#[case(libc::ENOBUFS, true)]
#[case(libc::ECONNREFUSED, false)]
#[case(libc::EHOSTUNREACH, false)]
#[case(libc::ETIMEDOUT, false)]
fn local_dial_failures_are_recognised(#[case] error: i32, #[case] local: bool) {
    assert_eq!(is_local_failure(&io::Error::from_raw_os_error(error)), local);
}

#[rstest]
fn backoff_doubles_up_to_maximum_and_resets_after_success() {
    let mut backoff = Backoff::default();
    let waits: Vec<Tenths> = (0..9).map(|_| backoff.next_delay()).collect();
    assert_eq!(waits, [10, 20, 40, 80, 160, 320, 640, 640, 640]);
    assert!(backoff.is_at_maximum());
    backoff.reset();
    assert!(!backoff.is_at_maximum());
    assert_eq!(backoff.next_delay(), MIN_DELAY);
}
