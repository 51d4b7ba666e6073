//! Tests a router that is delayed by up to 0.15 s between reading the clock and writing.

mod common;

use common::faults::*;
use common::*;
use rstest::rstest;
use std::time::{Duration, Instant};

const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
/// SIGKILL follows SIGTERM after the longest wait plus this time. A command that arrives within this time of SIGTERM is
/// owed an answer.
const ACCEPTED_AFTER_SIGTERM: Duration = Duration::from_millis(700);

/// Danger: a command that is still unanswered at SIGKILL is lost.
#[rstest]
fn command_received_after_sigterm_is_answered_before_sigkill() {
    for round in 0..10 {
        let (node, faults) = (Node::start("primary", |_| Reply::Nothing), Faults::new(round));
        let known = list(41, true, &[entry("s-a", &node, "ready", "primary")]);
        let discovery = Discovery::with_handler(move |_, watch| {
            watch.send_head();
            watch.send(&known);
        });
        let text = with_replacements(configuration(discovery.address, 1024, 192, "null"), &[FULL_BENEFIT]);
        let router = Router::with_faults(discovery, &with_client_timeout(&text, "1000.0"), &faults);
        let mut client = Client::connect(&router);
        router.signal("-TERM");
        let signalled = Instant::now();
        faults.set(Fault::ClockStall, ALWAYS);
        std::thread::sleep(Duration::from_millis(650).saturating_sub(signalled.elapsed()));
        let answer = client.query(&order("late", 1_000));
        let took = signalled.elapsed();
        assert!(matches!(answer, Answer::Error(..)), "{answer:?}");
        assert!(took < ACCEPTED_AFTER_SIGTERM + LONGEST_WAIT, "round {round}: {took:?} after SIGTERM");
    }
}

/// Number of clients that connect and send nothing; the router closes them all at the same moment, after 2.5 s.
const SILENT_CLIENTS: usize = 60;
/// Time that a client has to complete a message, plus what a delayed router may add.
const PARTIAL_MESSAGE_MAX: Duration = Duration::from_millis(3_000 + 150);
/// Timeout of a command that expires while the silent clients are being closed, and how late its answer may be.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_700);
const MAX_LATENESS: Duration = Duration::from_millis(500);

/// Danger: with each write delayed, the final errors to the clients that are closed are all written before the answer
/// to an expired command, which is then late (soak seed 60).
#[rstest]
fn final_answer_is_not_delayed_by_closing_other_clients() {
    let (node, faults) = (Node::start("primary", |_| Reply::Nothing), Faults::new(1));
    let known = list(41, true, &[entry("s-a", &node, "ready", "primary")]);
    let discovery = Discovery::with_handler(move |_, watch| {
        watch.send_head();
        watch.send(&known);
    });
    let text = with_replacements(configuration(discovery.address, 1024, 192, "null"), &[FULL_BENEFIT]);
    let router = Router::with_faults(discovery, &text, &faults);
    let (mut client, mut partial) = (Client::connect(&router), Client::connect(&router));
    let _silent: Vec<Client> = (0..SILENT_CLIENTS).map(|_| Client::raw(&router)).collect();
    let begun = Instant::now();
    partial.send(&query_bytes("SELECT 1")[..7]);
    client.send(&query_bytes(&look("i1", COMMAND_TIMEOUT.as_millis() as u32)));
    assert!(node.statement().contains("id=i1"));
    std::thread::sleep(Duration::from_millis(2_300).saturating_sub(begun.elapsed()));
    faults.set(Fault::DelayedSend, ALWAYS);
    assert!(matches!(partial.answer(), Answer::Error(..)), "no error for a partial message");
    assert!(
        begun.elapsed() < PARTIAL_MESSAGE_MAX,
        "client with a partial message stayed connected for {:?}",
        begun.elapsed()
    );
    let answer = client.answer();
    let took = begun.elapsed();
    assert!(matches!(answer, Answer::Error(..)), "{answer:?}");
    assert!(took < COMMAND_TIMEOUT + MAX_LATENESS, "{took:?}");
}
