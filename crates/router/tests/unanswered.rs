//! Every command gets its final answer within its client timeout and at most half a second more, whatever its members
//! do.

mod common;

use common::*;
use rstest::rstest;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// How long a client waits.
const CLIENT_WAIT: Duration = Duration::from_millis(1_500);
/// How much later than that its answer may come.
const MAX_DELAY: Duration = Duration::from_millis(500);
const CLIENTS: usize = 100;

/// How the members fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Members {
    Silent,
    HalfAnAnswer,
    AnsweringErrors,
    Rejecting,
    /// The system accepts connections, and the member sends no greeting.
    NotGreeting,
    Refusing,
}

/// Keeps the longest delay that the busy machine added to a short sleep, in microseconds.
fn measure_stalls(stopped: &AtomicBool, worst: &AtomicU64) {
    while !stopped.load(Relaxed) {
        let begun = Instant::now();
        sleep(Duration::from_millis(5));
        worst.fetch_max(begun.elapsed().as_micros() as u64 - 5_000, Relaxed);
    }
}

#[rstest]
#[case::silent(Members::Silent)]
#[case::half_an_answer(Members::HalfAnAnswer)]
#[case::answering_errors(Members::AnsweringErrors)]
#[case::rejecting(Members::Rejecting)]
#[case::not_greeting(Members::NotGreeting)]
#[case::refusing(Members::Refusing)]
fn every_command_is_answered_in_time(#[case] members: Members) {
    let node = Node::start("primary", move |_| match members {
        Members::HalfAnAnswer => Reply::Raw(row("r")[..30].to_vec()),
        Members::AnsweringErrors => Reply::Send(error_response("XX000")),
        Members::Rejecting => Reply::Send(error_response("53300")),
        _ => Reply::Nothing,
    });
    let (not_greeting, refusing) = (TcpListener::bind("127.0.0.1:0").expect("a port"), RefusingPort::start());
    let address = match members {
        Members::NotGreeting => not_greeting.local_addr().expect("bound"),
        Members::Refusing => refusing.address(),
        _ => node.address,
    };
    let router = Router::with_settings(&[entry_at("s-a", address, "ready", "primary")], &[FULL_BENEFIT]);
    let (stopped, worst) = (&AtomicBool::new(false), &AtomicU64::new(0));
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| Client::connect(&router)).collect();
    let results: Vec<(Answer, Duration)> = scope(|s| {
        s.spawn(|| measure_stalls(stopped, worst));
        let queries: Vec<_> = clients
            .iter_mut()
            .enumerate()
            .map(|(i, client)| {
                s.spawn(move || {
                    let id = format!("i{i}");
                    let wait = CLIENT_WAIT.as_millis() as u32;
                    let begun = Instant::now();
                    let answer =
                        client.query(&if i.is_multiple_of(2) { look(&id, wait) } else { order(&id, wait) });
                    (answer, begun.elapsed())
                })
            })
            .collect();
        let answers = queries.into_iter().map(|client| client.join().expect("an answer")).collect();
        stopped.store(true, Relaxed);
        answers
    });
    // A stall of the machine itself is not counted against the router.
    let limit = CLIENT_WAIT + MAX_DELAY + 3 * Duration::from_micros(worst.load(Relaxed));
    let wrong = |(answer, took): &&(Answer, Duration)| !matches!(answer, Answer::Error(..)) || *took > limit;
    let wrong: Vec<&(Answer, Duration)> = results.iter().filter(wrong).collect();
    assert!(wrong.is_empty(), "{} of {CLIENTS} past {limit:?}: {:?}", wrong.len(), wrong.first());
}
