//! The built program where up to 0.15 s pass between its look at the clock and what it writes.

mod common;

use common::faults::*;
use common::*;
use rstest::rstest;
use std::time::{Duration, Instant};

const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
/// SIGKILL follows SIGTERM after the longest wait and this. What came in by then is owed an answer.
const STILL_COMING: Duration = Duration::from_millis(700);

/// Danger: what SIGKILL finds unanswered is lost.
#[rstest]
fn whoever_came_in_after_sigterm_is_answered_before_the_kill() {
    for round in 0..10 {
        let (node, faults) = (Node::start("primary", |_| Reply::Silence), Faults::new(round));
        let known = list(41, true, &[entry("s-a", &node, "ready", "primary")]);
        let discovery = Discovery::acting(move |_, asked| {
            asked.begin();
            asked.send(&known);
        });
        let text = with_pieces(configuration(discovery.address, 1024, 192, "null"), &[WORTH]);
        let router = Router::failing(discovery, &waiting(&text, "1000.0"), &faults);
        let mut client = Client::connect(&router);
        router.signal("-TERM");
        let told = Instant::now();
        faults.set(Fault::HeldUp, ALWAYS);
        std::thread::sleep(Duration::from_millis(650).saturating_sub(told.elapsed()));
        let answer = client.query(&order("late", 1_000));
        let took = told.elapsed();
        assert!(matches!(answer, Answer::Error(..)), "{answer:?}");
        assert!(took < STILL_COMING + LONGEST_WAIT, "round {round}: {took:?} after SIGTERM");
    }
}

/// So many clients that connect and send nothing are ended in one moment, after 2.5 s.
const SILENT: usize = 60;
/// What clients are owed that stop in the middle of a message, and what a held-up router may take beside it.
const BAD_MOST: Duration = Duration::from_millis(3_000 + 150);
/// A command whose time is up while they are told, and how late its answer may be.
const WAITS: Duration = Duration::from_millis(2_700);
const LATE_MOST: Duration = Duration::from_millis(500);

/// Danger: with each write held up, those who are told their end stand between a command and its answer (soak seed 60).
#[rstest]
fn a_final_answer_does_not_wait_for_all_who_are_ended_before_it() {
    let (node, faults) = (Node::start("primary", |_| Reply::Silence), Faults::new(1));
    let known = list(41, true, &[entry("s-a", &node, "ready", "primary")]);
    let discovery = Discovery::acting(move |_, asked| {
        asked.begin();
        asked.send(&known);
    });
    let text = with_pieces(configuration(discovery.address, 1024, 192, "null"), &[WORTH]);
    let router = Router::failing(discovery, &text, &faults);
    let (mut client, mut half) = (Client::connect(&router), Client::connect(&router));
    let _silent: Vec<Client> = (0..SILENT).map(|_| Client::raw(&router)).collect();
    let begun = Instant::now();
    half.send(&query_bytes("SELECT 1")[..7]);
    client.send(&query_bytes(&look("i1", WAITS.as_millis() as u32)));
    assert!(node.statement().contains("id=i1"));
    std::thread::sleep(Duration::from_millis(2_300).saturating_sub(begun.elapsed()));
    faults.set(Fault::HeldSend, ALWAYS);
    assert!(matches!(half.answer(), Answer::Error(..)), "half a message");
    assert!(begun.elapsed() < BAD_MOST, "half a message stays {:?}", begun.elapsed());
    let answer = client.answer();
    let took = begun.elapsed();
    assert!(matches!(answer, Answer::Error(..)), "{answer:?}");
    assert!(took < WAITS + LATE_MOST, "{took:?}");
}
