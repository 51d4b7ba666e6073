//! The built program when a system call fails for a moment during its start, and when the reading of signals is
//! interrupted.

mod common;

use common::faults::*;
use common::*;
use rstest::rstest;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

fn start_primary() -> Node {
    Node::start("primary", |_| Reply::Send(row("r")))
}

fn start_discovery(node: &Node) -> Discovery {
    let known = list(41, true, &[entry("s-a", node, "ready", "primary")]);
    Discovery::with_handler(move |_, watch| {
        watch.send_head();
        watch.send(&known);
    })
}

fn assert_serves(router: &Router, id: &str) {
    assert_eq!(Client::connect(router).query(&order(id, 5_000)), Answer::Row("r".into()));
}

/// During a handover the previous process may still listen on the address.
#[rstest]
fn start_retries_while_the_listen_address_is_in_use() {
    let (node, holder) = (start_primary(), TcpListener::bind("127.0.0.1:0").expect("a port"));
    let listen = format!(r#""listen":"{}""#, holder.local_addr().expect("bound"));
    let discovery = start_discovery(&node);
    let text = configuration(discovery.address, 1024, 192, "null");
    let text = with_replacements(text, &[(r#""listen":"127.0.0.1:0""#, &listen)]);
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(1));
        drop(holder);
    });
    assert_serves(&Router::with_discovery(discovery, &text, None), "after");
}

#[rstest]
fn start_retries_after_a_failed_socket_call() {
    let (node, faults) = (start_primary(), Faults::new(1));
    faults.set(Fault::FailedSocket, ALWAYS);
    let discovery = start_discovery(&node);
    let text = configuration(discovery.address, 1024, 192, "null");
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_secs(1));
            faults.clear();
        });
        assert_serves(&Router::with_faults(discovery, &text, &faults), "after");
    });
}

#[rstest]
fn interrupted_signal_reads_do_not_end_the_process() {
    let (node, faults) = (start_primary(), Faults::new(1));
    let discovery = start_discovery(&node);
    let text = configuration(discovery.address, 1024, 192, "null");
    let mut router = Router::with_faults(discovery, &text, &faults);
    faults.set(Fault::InterruptedRead, 700_000);
    for number in 0..40 {
        router.signal(if number % 2 == 0 { "-HUP" } else { "-USR1" });
        assert_serves(&router, &format!("i{number}"));
    }
    assert!(faults.injected(Fault::InterruptedRead) > 0);
    router.signal("-TERM");
    assert!(router.wait().success());
}
