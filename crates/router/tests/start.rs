//! The built program where a system call of its start fails for a moment, and where its signals are read late.

mod common;

use common::faults::*;
use common::*;
use rstest::rstest;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

fn served() -> Node {
    Node::start("primary", |_| Reply::Send(row("r")))
}

fn agent(node: &Node) -> Discovery {
    let known = list(41, true, &[entry("s-a", node, "ready", "primary")]);
    Discovery::acting(move |_, asked| {
        asked.begin();
        asked.send(&known);
    })
}

fn serves(router: &Router, id: &str) {
    assert_eq!(Client::connect(router).query(&order(id, 5_000)), Answer::Row("r".into()));
}

/// A hand-over: the process before it has not let go of the address yet.
#[rstest]
fn a_start_waits_for_its_address() {
    let (node, holder) = (served(), TcpListener::bind("127.0.0.1:0").expect("a port"));
    let listen = format!(r#""listen":"{}""#, holder.local_addr().expect("bound"));
    let discovery = agent(&node);
    let text = configuration(discovery.address, 1024, 192, "null");
    let text = with_pieces(text, &[(r#""listen":"127.0.0.1:0""#, &listen)]);
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(1));
        drop(holder);
    });
    serves(&Router::beside(discovery, &text, None), "after");
}

#[rstest]
fn a_start_that_gets_no_socket_tries_again() {
    let (node, faults) = (served(), Faults::new(1));
    faults.set(Fault::FailedSocket, ALWAYS);
    let discovery = agent(&node);
    let text = configuration(discovery.address, 1024, 192, "null");
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_secs(1));
            faults.none();
        });
        serves(&Router::failing(discovery, &text, &faults), "after");
    });
}

#[rstest]
fn signals_whose_reading_is_interrupted_end_nothing() {
    let (node, faults) = (served(), Faults::new(1));
    let discovery = agent(&node);
    let text = configuration(discovery.address, 1024, 192, "null");
    let mut router = Router::failing(discovery, &text, &faults);
    faults.set(Fault::InterruptedRead, 700_000);
    for number in 0..40 {
        router.signal(if number % 2 == 0 { "-HUP" } else { "-USR1" });
        serves(&router, &format!("i{number}"));
    }
    assert!(faults.injected(Fault::InterruptedRead) > 0);
    router.signal("-TERM");
    assert!(router.wait().success());
}
