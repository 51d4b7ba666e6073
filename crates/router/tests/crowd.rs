//! The built program before as many clients as stay where many descriptors are told.

mod common;

use common::*;
use rstest::rstest;
use std::thread::sleep;
use std::time::Duration;

/// What a router has at 2,100 of them before 15 million clients, and the most that stay at 16,384 descriptors.
const CAME: usize = 7_143;
const MOST: usize = 7_273;

/// How many descriptors the system lets this process, and the programs that it starts, hold.
fn descriptors() -> u64 {
    let mut limit = libc::rlimit { rlim_cur: 0, rlim_max: 0 };
    // SAFETY: the system writes one limit.
    assert_eq!(unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit) }, 0);
    limit.rlim_cur
}

#[rstest]
fn the_clients_of_a_wide_fleet_stay_and_are_answered() {
    assert!(descriptors() >= 8_192, "expected 8192 descriptors (ulimit -n), found {}", descriptors());
    let node = Node::start("primary", |_| Reply::Send(row("r")));
    let router = Router::with_sockets(&[entry("s-a", &node, "ready", "primary")], 16_384);
    let ask = |i: usize| {
        let mut client = Client::connect(&router);
        assert_eq!(client.query(&look(&format!("first-{i}"), 8_000)), Answer::Row("r".into()));
        client
    };
    let mut stay: Vec<Client> = (0..CAME).map(ask).collect();
    // Quiet for long enough that any of them would make way.
    sleep(Duration::from_millis(150));
    for (i, client) in stay.iter_mut().enumerate() {
        assert_eq!(client.query(&look(&format!("again-{i}"), 8_000)), Answer::Row("r".into()), "{i}");
    }
    stay.extend((CAME..MOST).map(ask));
    sleep(Duration::from_millis(150));
    router.signal("-USR1");
    let counted = router.counters("connections");
    assert_eq!((counted["gave_way"], counted["quiet"]), (0, 0), "{counted:?}");
    // One more: the one that is quiet for longest makes way.
    let mut more = ask(MOST);
    assert_eq!(stay[0].answer(), Answer::Closed);
    assert_eq!(more.query(&look("more-again", 8_000)), Answer::Row("r".into()));
    assert_eq!(stay[1].query(&look("second-again", 8_000)), Answer::Row("r".into()));
}
