//! Every request gets its final answer by its time, half a second later at most, whatever its members do.

mod common;

use common::*;
use rstest::rstest;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// What a client waits, and how much later its answer may come.
const WAITS: Duration = Duration::from_millis(1_500);
const LATE: Duration = Duration::from_millis(500);
const CLIENTS: usize = 100;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Members {
    Silent,
    HalfAnAnswer,
    Erring,
    TurningAway,
    /// Their system takes connections, and nobody greets.
    NotGreeting,
    Refusing,
}

/// What the busiest moment of this machine added to a short sleep, in microseconds.
fn watch_machine(over: &AtomicBool, worst: &AtomicU64) {
    while !over.load(Relaxed) {
        let begun = Instant::now();
        sleep(Duration::from_millis(5));
        worst.fetch_max(begun.elapsed().as_micros() as u64 - 5_000, Relaxed);
    }
}

#[rstest]
#[case::silent(Members::Silent)]
#[case::half_an_answer(Members::HalfAnAnswer)]
#[case::erring(Members::Erring)]
#[case::turning_away(Members::TurningAway)]
#[case::not_greeting(Members::NotGreeting)]
#[case::refusing(Members::Refusing)]
fn whoever_asks_is_answered_in_time(#[case] members: Members) {
    let node = Node::start("primary", move |_| match members {
        Members::HalfAnAnswer => Reply::Raw(row("r")[..30].to_vec()),
        Members::Erring => Reply::Send(code("XX000")),
        Members::TurningAway => Reply::Send(code("53300")),
        _ => Reply::Silence,
    });
    let (quiet, refusing) = (TcpListener::bind("127.0.0.1:0").expect("a port"), Refusing::start());
    let address = match members {
        Members::NotGreeting => quiet.local_addr().expect("bound"),
        Members::Refusing => refusing.address(),
        _ => node.address,
    };
    let router = Router::with_settings(&[entry_at("s-a", address, "ready", "primary")], &[WORTH]);
    let (over, worst) = (&AtomicBool::new(false), &AtomicU64::new(0));
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| Client::connect(&router)).collect();
    let late: Vec<(Answer, Duration)> = scope(|s| {
        s.spawn(|| watch_machine(over, worst));
        let asked: Vec<_> = clients
            .iter_mut()
            .enumerate()
            .map(|(i, client)| {
                s.spawn(move || {
                    let id = format!("i{i}");
                    let wait = WAITS.as_millis() as u32;
                    let begun = Instant::now();
                    let answer =
                        client.query(&if i.is_multiple_of(2) { look(&id, wait) } else { order(&id, wait) });
                    (answer, begun.elapsed())
                })
            })
            .collect();
        let answers = asked.into_iter().map(|client| client.join().expect("an answer")).collect();
        over.store(true, Relaxed);
        answers
    });
    // Where the machine itself stood still for a moment, that is not the router's.
    let most = WAITS + LATE + 3 * Duration::from_micros(worst.load(Relaxed));
    let wrong = |(answer, took): &&(Answer, Duration)| !matches!(answer, Answer::Error(..)) || *took > most;
    let wrong: Vec<&(Answer, Duration)> = late.iter().filter(wrong).collect();
    assert!(wrong.is_empty(), "{} of {CLIENTS} past {most:?}: {:?}", wrong.len(), wrong.first());
}
