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
fn what_passes_by_itself(#[case] error: i32, #[case] transient: bool) {
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
fn which_failed_dials_tell_nothing_of_the_member(#[case] error: i32, #[case] local: bool) {
    assert_eq!(is_local(&io::Error::from_raw_os_error(error)), local);
}

#[rstest]
fn waits_double_up_to_a_bound_and_begin_anew_after_success() {
    let mut backoff = Backoff::default();
    let waits: Vec<Tenths> = (0..9).map(|_| backoff.wait()).collect();
    assert_eq!(waits, [10, 20, 40, 80, 160, 320, 640, 640, 640]);
    assert!(backoff.is_spent());
    backoff.reset();
    assert!(!backoff.is_spent());
    assert_eq!(backoff.wait(), WAIT_LEAST);
}
