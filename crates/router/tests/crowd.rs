//! Tests the router with as many clients as a high descriptor limit lets stay connected.

mod common;

use common::*;
use rstest::rstest;
use std::thread::sleep;
use std::time::Duration;

/// Clients per router where 2,100 routers serve 15 million clients, and the most clients that stay connected at a limit
/// of 16,384 descriptors.
const CLIENTS_PER_ROUTER: usize = 7_143;
const MAX_CLIENTS: usize = 7_273;

/// Descriptor limit of this process, which the programs that it starts inherit.
fn descriptors() -> u64 {
    let mut limit = libc::rlimit { rlim_cur: 0, rlim_max: 0 };
    // SAFETY: the system writes one limit.
    assert_eq!(unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit) }, 0);
    limit.rlim_cur
}

#[rstest]
fn clients_up_to_the_descriptor_limit_stay_connected_and_are_answered() {
    assert!(descriptors() >= 8_192, "expected 8192 descriptors (ulimit -n), found {}", descriptors());
    let node = Node::start("primary", |_| Reply::Send(row("r")));
    let router = Router::with_sockets(&[entry("s-a", &node, "ready", "primary")], 16_384);
    let connect_and_query = |i: usize| {
        let mut client = Client::connect(&router);
        assert_eq!(client.query(&look(&format!("first-{i}"), 8_000)), Answer::Row("r".into()));
        client
    };
    let mut clients: Vec<Client> = (0..CLIENTS_PER_ROUTER).map(connect_and_query).collect();
    // Idle for long enough that any of them could be closed to make room.
    sleep(Duration::from_millis(150));
    for (i, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.query(&look(&format!("again-{i}"), 8_000)), Answer::Row("r".into()), "{i}");
    }
    clients.extend((CLIENTS_PER_ROUTER..MAX_CLIENTS).map(connect_and_query));
    sleep(Duration::from_millis(150));
    router.signal("-USR1");
    let counters = router.counters("connections");
    assert_eq!((counters["gave_way"], counters["quiet"]), (0, 0), "{counters:?}");
    // One client more: the client that is idle for longest is closed to make room.
    let mut extra = connect_and_query(MAX_CLIENTS);
    assert_eq!(clients[0].answer(), Answer::Closed);
    assert_eq!(extra.query(&look("more-again", 8_000)), Answer::Row("r".into()));
    assert_eq!(clients[1].query(&look("second-again", 8_000)), Answer::Row("r".into()));
}
