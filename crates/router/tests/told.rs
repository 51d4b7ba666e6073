//! The wait that a dispatch states to its member: at most the time left to the client, however long the dispatch was
//! delayed.

mod common;

use common::member::*;
use common::*;
use rstest::rstest;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the client waits, in milliseconds.
const CLIENT_WAIT: u32 = 20_000;
/// By how much the stated wait may exceed the time left to the client, in milliseconds.
const SLACK: u32 = 150;
/// How long a dispatch is delayed: long enough that a wait computed before the delay is clearly wrong.
const DELAY: Duration = Duration::from_millis(700);

/// The wait in the comment of this statement, in milliseconds.
fn stated_wait(statement: &str) -> u32 {
    let wait = statement.rsplit(",d=").next().and_then(|s| s.split(',').next());
    wait.and_then(|w| w.parse().ok()).unwrap_or_else(|| panic!("no wait in '{statement}'"))
}

fn router(member: &Member) -> Router {
    without_probes_replacing(&[("s-a", member)], &[FULL_BENEFIT])
}

/// A client, when it sent its command and how long it waits in all, in milliseconds.
struct Waiting {
    client: Client,
    since: Instant,
    wait: u32,
}

impl Waiting {
    fn send(router: &Router, statement: &str, wait: u32) -> Waiting {
        let mut client = Client::connect(router);
        let since = Instant::now();
        client.send(&query_bytes(statement));
        Waiting { client, since, wait }
    }

    /// The time left to the client, in milliseconds.
    fn left(&self) -> u32 {
        self.wait.saturating_sub(self.since.elapsed().as_millis() as u32)
    }

    /// Checks that the next statement on this connection states no more than `left`, the time left before it was sent.
    fn check_next(&self, link: &mut Link, left: u32) {
        self.check(&link.read_statement().expect("a statement"), left);
    }

    fn check(&self, statement: &str, left: u32) {
        let stated = stated_wait(statement);
        assert!(stated <= left + SLACK, "stated {stated} with {left} left");
        // Nor is the stated wait far below the time left.
        assert!(stated + 8_000 >= left, "stated {stated} with {left} left");
    }

    fn finish(&mut self, mut link: Link) {
        link.answer_last("r");
        assert_eq!(self.client.answer(), Answer::Row("r".into()));
    }
}

/// How a dispatch ends so that another one may follow.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Error(&'static str),
    Reset,
}

impl Ending {
    /// An error comes together with the end of the connection, so that the router reads both in one turn.
    fn end(self, router: &Router, mut link: Link) {
        match self {
            Ending::Error(sqlstate) => {
                router.stop();
                link.send(&[error_response(sqlstate), ready()].concat());
                link.close(false);
                router.signal("-CONT");
            }
            Ending::Reset => link.close(true),
        }
    }
}

#[rstest]
#[case::error(Ending::Error("XX000"))]
#[case::miss(Ending::Error("72000"))]
#[case::rejected(Ending::Error("53300"))]
#[case::reset(Ending::Reset)]
fn retry_after_a_slow_dial_states_the_remaining_wait(#[case] ending: Ending) {
    let member = Member::start();
    let router = router(&member);
    let mut waiting = Waiting::send(&router, &look("i1", CLIENT_WAIT), CLIENT_WAIT);
    let mut first = member.accept_without_reply();
    sleep(DELAY);
    let left = waiting.left();
    first.greet();
    waiting.check_next(&mut first, left);
    ending.end(&router, first);
    let mut retry = member.accept_without_reply();
    sleep(DELAY);
    let left = waiting.left();
    retry.greet();
    waiting.check_next(&mut retry, left);
    waiting.finish(retry);
}

#[rstest]
#[case::same_width(20_000)]
#[case::one_digit_fewer(10_300)]
fn retry_written_in_parts_states_the_remaining_wait(#[case] wait: u32) {
    let member = Member::narrow();
    let router = router(&member);
    let long = order("i1", wait).replace(r"\x01", &format!(r"\x{}", "01".repeat(64_000)));
    let mut waiting = Waiting::send(&router, &long, wait);
    let mut link = member.accept();
    let left = waiting.left();
    waiting.check_next(&mut link, left);
    Ending::Error("25006").end(&router, link);
    let mut link = member.accept();
    // A part of the statement has arrived: the router has sent the message length, and its socket buffer is full.
    link.stream.peek(&mut [0]).expect("a statement");
    sleep(DELAY);
    let left = waiting.left();
    waiting.check_next(&mut link, left);
    waiting.finish(link);
}

#[rstest]
#[case::dial_completes(true)]
#[case::attempt_ends(false)]
fn dispatch_after_a_stop_states_the_remaining_wait(#[case] during_dial: bool) {
    let member = Member::start();
    let router = router(&member);
    let mut waiting = Waiting::send(&router, &look("i1", CLIENT_WAIT), CLIENT_WAIT);
    let mut link = member.accept();
    let left = waiting.left();
    waiting.check_next(&mut link, left);
    if during_dial {
        link.close(true);
        link = member.accept_without_reply();
        router.stop();
        link.greet();
    } else {
        router.stop();
        // This connection is not used again at once, so the next attempt uses a new one.
        link.send(&[error_response("XX000"), ready()].concat());
    }
    sleep(DELAY);
    let left = waiting.left();
    router.signal("-CONT");
    let mut link = if during_dial { link } else { member.accept() };
    waiting.check_next(&mut link, left);
    waiting.finish(link);
}

#[rstest]
fn query_received_during_a_stop_states_the_remaining_wait() {
    let member = Member::start();
    let router = router(&member);
    // An earlier command has opened the connection, so that the next one is written at once.
    let mut waiting = Waiting::send(&router, &look("i0", CLIENT_WAIT), CLIENT_WAIT);
    let mut link = member.accept();
    let left = waiting.left();
    waiting.check_next(&mut link, left);
    link.answer("r");
    assert_eq!(waiting.client.answer(), Answer::Row("r".into()));
    router.stop();
    waiting.since = Instant::now();
    waiting.client.send(&query_bytes(&look("i1", CLIENT_WAIT)));
    sleep(DELAY);
    let left = waiting.left();
    router.signal("-CONT");
    waiting.check_next(&mut link, left);
    waiting.finish(link);
}
