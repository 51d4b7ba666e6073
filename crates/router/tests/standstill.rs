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

/// A second SIGTERM, which comes during a standstill, does not begin the steps of stopping again.
#[rstest]
fn second_sigterm_during_a_standstill_leaves_the_time_to_sigkill() {
    let (_node, mut router) = start_with_primary(|_| Reply::Nothing);
    let mut client = Client::connect(&router);
    router.signal("-TERM");
    let signalled_at = Instant::now();
    router.wait_for_log("stopping");
    router.stop();
    router.signal("-TERM");
    sleep_until(signalled_at + Duration::from_millis(1_380));
    router.signal("-CONT");
    sleep_until(signalled_at + SENT_AFTER_SIGTERM);
    let answer = client.query(&order("late", CLIENT_TIMEOUT_MS));
    assert!(matches!(answer, Answer::Error(..)), "{answer:?}");
    assert!(router.wait().success());
    assert!(signalled_at.elapsed() < KILL_DELAY, "ended {:?} after SIGTERM", signalled_at.elapsed());
}

/// After SIGHUP the list of the new discovery address counts as known 4 s later, also if SIGHUP comes at the beginning of a
/// standstill and the first request is not answered.
#[rstest]
fn list_is_requested_again_within_4_s_of_a_sighup_during_a_standstill() {
    let (_node, router) = start_with_primary(|_| Reply::Send(row("r")));
    let new = Discovery::with_handler(|_, _| {});
    router.stop();
    router.reload(&configuration(new.address, 1024, 192, "null"));
    let signalled_at = Instant::now();
    sleep(STANDSTILL);
    router.signal("-CONT");
    let _unanswered = new.next_watch();
    let took = new.next_watch().at - signalled_at;
    assert!(took < Duration::from_millis(4_000), "requested again after {took:?}");
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

// ---- commands ----

/// Tolerance of the operators' documentation for an answer, and for the time that an attempt tells its member.
const MAX_LATENESS: Duration = Duration::from_millis(500);
const TIME_LEFT_SLACK: Duration = Duration::from_millis(150);
const STANDSTILL: Duration = Duration::from_millis(1_350);
/// What follows a command on its connection comes so long after it.
const FOLLOWS_AFTER: Duration = Duration::from_millis(1_200);
const STANDSTILL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The time that a statement states as the client's remaining time.
fn stated_time(statement: &str) -> Duration {
    let (_, from) = statement.split_once(",d=").expect("a time");
    let digits: String = from.chars().take_while(char::is_ascii_digit).collect();
    Duration::from_millis(digits.parse().expect("a number"))
}

/// Stops a router; a client that is connected before or after that, and the time of the stop.
fn stop_with_client(router: &Router, on_new_connection: bool) -> (Client, Instant) {
    let connected = (!on_new_connection).then(|| Client::connect(router));
    router.stop();
    let stopped_at = Instant::now();
    let client = connected.unwrap_or_else(|| {
        let mut client = Client::raw(router);
        client.send(&startup(3 << 16));
        client
    });
    (client, stopped_at)
}

/// Lets a router go on once it has stood still for the whole time, and checks the time that its member is told of what the
/// client has left since `sent_at`.
fn assert_stated_time_after_standstill(router: &Router, node: &Node, stopped_at: Instant, sent_at: Instant) {
    sleep_until(stopped_at + STANDSTILL);
    router.signal("-CONT");
    let stated = stated_time(&node.statement());
    let left = STANDSTILL_TIMEOUT.saturating_sub(sent_at.elapsed());
    assert!(stated < left + TIME_LEFT_SLACK, "{stated:?} stated of {left:?}");
}

/// Guards against a command that counts from the arrival of the bytes behind it: its answer came after its deadline, and
/// its member was told more time than its client had left.
#[rstest]
#[case::second_command(query_bytes(&order("second", 2_000)))]
#[case::part_of_a_command(query_bytes(&order("second", 2_000))[..30].to_vec())]
fn command_received_during_a_standstill_keeps_its_deadline(
    #[case] behind: Vec<u8>,
    #[values(false, true)] on_new_connection: bool,
) {
    let (node, router) = start_with_primary(|_| Reply::Nothing);
    let (mut client, stopped_at) = stop_with_client(&router, on_new_connection);
    client.send(&query_bytes(&order("first", STANDSTILL_TIMEOUT.as_millis() as u32)));
    let sent_at = Instant::now();
    sleep_until(sent_at + FOLLOWS_AFTER);
    client.send(&behind);
    assert_stated_time_after_standstill(&router, &node, stopped_at, sent_at);
    if on_new_connection {
        assert_eq!(client.answer(), Answer::Empty, "ready after startup");
    }
    let answer = client.answer();
    assert!(matches!(answer, Answer::Error(..)), "{answer:?}");
    let took = sent_at.elapsed();
    assert!(took < STANDSTILL_TIMEOUT + MAX_LATENESS, "answered after {took:?}");
}

/// Guards against a command that is larger than the system's receive buffer and counts from when its last bytes came in, which
/// they could only once the router read: its client had written them long before.
#[rstest]
#[case::on_an_open_connection(false)]
#[case::on_a_new_connection(true)]
fn large_command_sent_during_a_standstill_keeps_its_deadline(#[case] on_new_connection: bool) {
    let (node, router) = start_with_primary(|_| Reply::Nothing);
    let (mut client, stopped_at) = stop_with_client(&router, on_new_connection);
    client.send(&query_bytes(&large_order("first", STANDSTILL_TIMEOUT.as_millis() as u32)));
    let sent_at = Instant::now();
    assert!(sent_at - stopped_at < Duration::from_millis(100), "written while the router stood still");
    assert_stated_time_after_standstill(&router, &node, stopped_at, sent_at);
}

/// A command that came late in a standstill, with nothing behind it, keeps the time that its client has left.
#[rstest]
fn command_received_at_the_end_of_a_standstill_is_served() {
    let (_node, router) = start_with_primary(|_| Reply::Send(row("r")));
    let mut client = Client::connect(&router);
    assert_eq!(client.query(&look("before", CLIENT_TIMEOUT_MS)), Answer::Row("r".into()));
    router.stop();
    sleep(STANDSTILL);
    client.send(&query_bytes(&look("late", 400)));
    router.signal("-CONT");
    assert_eq!(client.answer(), Answer::Row("r".into()));
}

/// Guards against quiet time that is taken for a standstill: commands would be refused with time left. All but the last one
/// of the commands that are read at once have no known arrival.
#[rstest]
#[case::one_command(1, 60)]
#[case::two_commands(2, 200)]
#[case::four_commands(4, 400)]
fn commands_after_quiet_time_are_served(#[case] count: usize, #[case] timeout_ms: u32) {
    let node = Node::start("primary", |_| Reply::Send(row("r")));
    // Probes would end the quiet.
    let no_probes = (r#""may_probe":true"#, r#""may_probe":false"#);
    let router =
        Router::with_settings(&[entry("s-a", &node, "ready", "primary")], &[FULL_BENEFIT, no_probes]);
    let mut client = Client::connect(&router);
    assert_eq!(client.query(&look("before", CLIENT_TIMEOUT_MS)), Answer::Row("r".into()));
    for round in 0..3 {
        sleep(Duration::from_millis(900));
        let queries: Vec<u8> =
            (0..count).flat_map(|i| query_bytes(&look(&format!("{round}-{i}"), timeout_ms))).collect();
        client.send(&queries);
        for number in 0..count {
            assert_eq!(client.answer(), Answer::Row("r".into()), "round {round}, command {number}");
        }
    }
}

// ---- time limits of the router's own ----

/// A watch that is silent for this long is replaced; what it misses counts as known 6 s after it fell silent.
const MAX_SILENCE: Duration = Duration::from_millis(3_000);
const TOLERANCE: Duration = Duration::from_millis(300);

/// Guards against a watch whose silence counts from the end of a standstill: the list was requested again that much later.
#[rstest]
fn silence_of_the_watch_counts_from_its_last_bytes() {
    let discovery = Discovery::start();
    let text = configuration(discovery.address, 1024, 192, "null");
    let router = Router::with_discovery(discovery, &text, None);
    let mut watch = router.discovery.next_watch();
    watch.send(&list(1, true, &[]));
    router.wait_for_log("clients are heard");
    router.stop();
    watch.send("");
    let silent_since = Instant::now();
    sleep(STANDSTILL);
    router.signal("-CONT");
    let requested_at = router.discovery.next_watch().at;
    let silence = requested_at - silent_since;
    assert!(silence < MAX_SILENCE + TOLERANCE, "requested again after {silence:?}");
}

/// A client with a part of a message gets an error, or the end of its connection, within this time of its first byte.
const PARTIAL_MESSAGE_MAX: Duration = Duration::from_millis(3_000);

/// Guards against a part of a message whose time limit counts from the end of a standstill.
#[rstest]
#[case::on_an_open_connection(false)]
#[case::on_a_new_connection(true)]
fn part_of_a_message_received_during_a_standstill_gets_its_error_in_time(#[case] on_new_connection: bool) {
    let (_node, router) = start_with_primary(|_| Reply::Send(row("r")));
    let mut client = Client::raw(&router);
    if !on_new_connection {
        client.send(&startup(3 << 16));
        assert_eq!(client.answer(), Answer::Empty);
        assert_eq!(client.query(&look("before", CLIENT_TIMEOUT_MS)), Answer::Row("r".into()));
    }
    router.stop();
    if on_new_connection {
        client = Client::raw(&router);
        client.send(&startup(3 << 16));
    }
    client.send(&query_bytes("SELECT 1")[..7]);
    let sent_at = Instant::now();
    sleep(STANDSTILL);
    router.signal("-CONT");
    if on_new_connection {
        assert_eq!(client.answer(), Answer::Empty, "ready after startup");
    }
    assert!(matches!(client.answer(), Answer::Error(..) | Answer::Closed));
    assert!(sent_at.elapsed() < PARTIAL_MESSAGE_MAX, "ended after {:?}", sent_at.elapsed());
}

/// A slow client that has sent a part of its message during a standstill still has time to send the rest.
#[rstest]
fn message_that_is_completed_after_a_standstill_is_served() {
    let (_node, router) = start_with_primary(|_| Reply::Send(row("r")));
    let mut client = Client::connect(&router);
    assert_eq!(client.query(&look("before", CLIENT_TIMEOUT_MS)), Answer::Row("r".into()));
    let query = query_bytes(&look("slow", CLIENT_TIMEOUT_MS));
    router.stop();
    sleep(STANDSTILL);
    client.send(&query[..30]);
    router.signal("-CONT");
    sleep(Duration::from_millis(1_300));
    client.send(&query[30..]);
    assert_eq!(client.answer(), Answer::Row("r".into()));
}
