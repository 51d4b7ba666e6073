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
