//! Tests a router process that stands still (SIGSTOP, SIGCONT) while signals and bytes arrive: they count from when they
//! arrived, not from when the process handles them.

mod common;

use common::*;
use rstest::rstest;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time from SIGTERM to SIGKILL where the longest client timeout is 3 s or more.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// Commands sent at least this long after SIGTERM must be answered before SIGKILL.
const SENT_AFTER_SIGTERM: Duration = Duration::from_millis(1_500);
/// After SIGTERM new clients connect for this long.
const CONNECTING_AFTER_SIGTERM: Duration = Duration::from_millis(400);
const CLIENT_TIMEOUT_MS: u32 = 3_000;

fn start_with_primary(reply: impl Fn(&str) -> Reply + Send + Sync + 'static) -> (Node, Router) {
    let node = Node::start("primary", reply);
    let router = Router::with_settings(&[entry("s-a", &node, "ready", "primary")], &[FULL_BENEFIT]);
    (node, router)
}

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

/// Guards against a process that counts the time to SIGKILL from the end of its standstill: SIGKILL then found it in full
/// service, with commands unanswered.
#[rstest]
#[case::short(Duration::from_millis(430))]
#[case::medium(Duration::from_millis(700))]
#[case::long(Duration::from_millis(1_380))]
fn commands_after_a_sigterm_during_a_standstill_are_answered_before_sigkill(#[case] standstill: Duration) {
    let (_node, mut router) = start_with_primary(|_| Reply::Nothing);
    let (mut client, mut resting) = (Client::connect(&router), Client::connect(&router));
    assert_eq!(resting.query(""), Answer::Empty);
    router.stop();
    router.signal("-TERM");
    let signalled_at = Instant::now();
    sleep_until(signalled_at + standstill);
    router.signal("-CONT");
    sleep_until(signalled_at + SENT_AFTER_SIGTERM);
    let answer = client.query(&order("late", CLIENT_TIMEOUT_MS));
    assert!(matches!(answer, Answer::Error(..)), "{answer:?}");
    assert!(signalled_at.elapsed() < KILL_DELAY, "answered {:?} after SIGTERM", signalled_at.elapsed());
    assert_eq!((client.answer(), resting.answer()), (Answer::Closed, Answer::Closed));
    assert!(router.wait().success());
    assert!(signalled_at.elapsed() < KILL_DELAY, "ended {:?} after SIGTERM", signalled_at.elapsed());
}

/// SIGTERM may as well have come at the end of the standstill, so clients that connect from then on are still accepted.
#[rstest]
fn clients_connect_after_a_sigterm_during_a_standstill() {
    let (_node, router) = start_with_primary(|_| Reply::Send(row("r")));
    router.stop();
    sleep(Duration::from_millis(1_380));
    router.signal("-TERM");
    let signalled_at = Instant::now();
    router.signal("-CONT");
    sleep_until(signalled_at + CONNECTING_AFTER_SIGTERM);
    let mut client = Client::connect(&router);
    assert_eq!(client.query(&look("late", CLIENT_TIMEOUT_MS)), Answer::Row("r".into()));
}

/// Guards against a sleep in the poll that is taken for a standstill: the process would end too early.
#[rstest]
fn sigterm_after_quiet_time_keeps_the_full_time_to_serve() {
    let (_node, router) = start_with_primary(|_| Reply::Nothing);
    let mut client = Client::connect(&router);
    assert_eq!(client.query(""), Answer::Empty);
    sleep(Duration::from_millis(2_500));
    router.signal("-TERM");
    let signalled_at = Instant::now();
    sleep_until(signalled_at + CONNECTING_AFTER_SIGTERM);
    let _new_client = TcpStream::connect(router.address).expect("the router listens");
    let answer = client.query(&order("late", CLIENT_TIMEOUT_MS));
    assert!(matches!(answer, Answer::Error(..)), "{answer:?}");
    let took = signalled_at.elapsed();
    assert!((Duration::from_millis(3_000)..KILL_DELAY).contains(&took), "answered {took:?} after SIGTERM");
}
