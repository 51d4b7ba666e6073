//! The built program with a discovery whose answers take longer than the router waits before it requests the list again: the
//! answer still counts when it comes, however the requests were made.

mod common;

use common::*;
use rstest::rstest;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A change counts as known to the router this long after discovery had it, and after a reload; then the drain grace runs.
const KNOWN_AFTER: Duration = Duration::from_secs(6);
const KNOWN_AFTER_RELOAD: Duration = Duration::from_secs(4);
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// A pause between two writes.
const BETWEEN_WRITES: Duration = Duration::from_millis(20);

/// How discovery answers one request; times are milliseconds since the request.
#[derive(Clone, Copy, Debug)]
enum Response {
    Never,
    List {
        head: u64,
        list: u64,
    },
    /// The list comes in eight pieces.
    Pieces {
        last: u64,
    },
}

use Response::{List, Never, Pieces};

fn wait_until(begun: Instant, ms: u64) {
    sleep(Duration::from_millis(ms).saturating_sub(begun.elapsed()));
}

/// Answers one request on a thread of its own.
fn respond(watch: &Watch, response: Response, list: &str) {
    let (mut watch, list) = (watch.second_handle(), list.to_owned());
    spawn(move || match response {
        Never => {}
        List { head, list: at } => {
            wait_until(watch.at, head);
            watch.send_head();
            wait_until(watch.at, at);
            watch.try_send(&list);
        }
        Pieces { last } => {
            watch.raw("HTTP/1.1 200 OK\r\n\r\n");
            send_in_pieces(&mut watch, &format!("{list}\n"), last);
        }
    });
}

/// Sends the text without chunks, in eight pieces, of which the last one is sent this many milliseconds after now.
fn send_in_pieces(watch: &mut Watch, text: &str, last: u64) {
    let begun = Instant::now();
    for (number, piece) in text.as_bytes().chunks(text.len().div_ceil(8)).enumerate() {
        wait_until(begun, last * number as u64 / 7);
        watch.raw(std::str::from_utf8(piece).expect("ASCII"));
    }
}

/// A discovery that answers its requests by these in a circle, with this list.
fn slow_discovery(responses: &'static [Response], list: String) -> Discovery {
    Discovery::with_handler(move |number, watch| respond(watch, responses[number % responses.len()], &list))
}

/// A primary that drains in the newest list, and the one that takes its place.
struct Handover {
    drains: Node,
    successor: Node,
}

impl Handover {
    fn new() -> Handover {
        let start = || Node::start("primary", |_| Reply::Send(row("r")));
        Handover { drains: start(), successor: start() }
    }

    fn old_list(&self) -> String {
        list(41, true, &[entry("s-a", &self.drains, "ready", "primary")])
    }

    fn new_list(&self, version: u32, full: bool) -> String {
        let drains = entry("s-a", &self.drains, "draining", "replica");
        list(version, full, &[drains, entry("s-b", &self.successor, "ready", "primary")])
    }

    /// Sends writes until the new list is in use, and checks when that was.
    fn assert_in_use_within(&self, router: &Router, since: Instant, limit: Duration) {
        let mut number = 0;
        let mut client = Client::connect(router);
        while self.successor.events.try_iter().all(|event| event == NodeEvent::Closed) {
            assert!(since.elapsed() < limit + DRAIN_GRACE, "not in use after {:?}", since.elapsed());
            number += 1;
            client.query(&order(&format!("w{number}"), 5_000));
            sleep(BETWEEN_WRITES);
        }
        println!("in use after {:?}", since.elapsed());
    }
}

fn router(discovery: Discovery, known: &str) -> Router {
    let text = configuration(discovery.address, 1024, 192, known);
    Router::with_discovery(discovery, &text, None)
}

/// Guards against a router that gives up each request for the list before its answer comes, and so never gets the list.
#[rstest]
#[case::list_after_1_5_s(&[List { head: 0, list: 1_500 }])]
#[case::list_after_2_5_s(&[List { head: 0, list: 2_500 }])]
#[case::list_after_4_s(&[List { head: 0, list: 4_000 }])]
#[case::list_after_5_2_s(&[List { head: 0, list: 5_200 }])]
#[case::head_after_1_5_s(&[List { head: 1_500, list: 1_500 }])]
#[case::head_after_2_5_s(&[List { head: 2_500, list: 2_500 }])]
#[case::head_and_then_list(&[List { head: 800, list: 1_600 }])]
#[case::different_for_each(&[List { head: 0, list: 2_800 }, List { head: 0, list: 1_900 }, List { head: 1_200, list: 2_400 }])]
#[case::pieces(&[Pieces { last: 2_500 }])]
#[case::first_never(&[Never, List { head: 0, list: 1_500 }, List { head: 0, list: 1_500 }, List { head: 0, list: 1_500 }])]
#[case::first_two_never(&[Never, Never, List { head: 0, list: 1_500 }, List { head: 0, list: 1_500 }])]
#[case::every_other_never(&[Never, List { head: 0, list: 1_200 }])]
fn list_that_comes_late_after_a_start_is_used(#[case] responses: &'static [Response]) {
    let handover = Handover::new();
    let begun = Instant::now();
    let router = router(slow_discovery(responses, handover.new_list(43, true)), &handover.old_list());
    handover.assert_in_use_within(&router, begun, KNOWN_AFTER);
}

/// Guards against several open requests that keep a discovery busy that answers one after the other.
#[rstest]
fn requests_that_are_answered_in_turn_bring_the_list() {
    let handover = Handover::new();
    let members = handover.new_list(43, true);
    let discovery = Discovery::with_handler(move |_, watch| {
        sleep(Duration::from_millis(1_500));
        watch.send_head();
        watch.try_send(&members);
    });
    let begun = Instant::now();
    let router = router(discovery, &handover.old_list());
    handover.assert_in_use_within(&router, begun, KNOWN_AFTER);
}

/// Guards against a router that serves nothing at all, as it knows no list and gives up each request for it.
#[rstest]
#[case::list_after_1_5_s(List { head: 0, list: 1_500 })]
#[case::pieces(Pieces { last: 2_500 })]
#[case::list_after_9_s(List { head: 0, list: 9_000 })]
fn list_that_comes_late_is_used_where_none_is_known(#[case] response: Response) {
    let handover = Handover::new();
    let members = handover.new_list(43, true);
    let discovery = Discovery::with_handler(move |_, watch| respond(watch, response, &members));
    let begun = Instant::now();
    let router = router(discovery, "null");
    handover.assert_in_use_within(&router, begun, Duration::from_secs(10));
}

/// Guards against a new agent that never gets to tell its list after a reload.
#[rstest]
#[case::list_after_1_5_s(&[List { head: 0, list: 1_500 }])]
#[case::list_after_2_5_s(&[List { head: 0, list: 2_500 }])]
#[case::list_after_3_2_s(&[List { head: 0, list: 3_200 }])]
#[case::head_after_2_5_s(&[List { head: 2_500, list: 2_500 }])]
#[case::first_never(&[Never, List { head: 0, list: 1_200 }, List { head: 0, list: 1_200 }])]
fn list_that_comes_late_after_a_reload_is_used(#[case] responses: &'static [Response]) {
    let handover = Handover::new();
    let router = router(slow_discovery(&[List { head: 0, list: 0 }], handover.old_list()), "null");
    assert_eq!(Client::connect(&router).query(&order("before", 5_000)), Answer::Row("r".into()));
    let new = slow_discovery(responses, handover.new_list(3, true));
    let reloaded = Instant::now();
    router.reload(&configuration(new.address, 1024, 192, "null"));
    handover.assert_in_use_within(&router, reloaded, KNOWN_AFTER_RELOAD);
}

/// Guards against an answer of the address before a reload that is taken for one of the new address.
#[rstest]
fn answer_of_the_address_before_a_reload_is_not_used() {
    let handover = Handover::new();
    let before = slow_discovery(&[List { head: 0, list: 2_500 }], handover.old_list());
    let router = router(before, &handover.old_list());
    router.wait_for_log("watch not answered");
    let new = slow_discovery(&[List { head: 0, list: 0 }], handover.new_list(3, true));
    let reloaded = Instant::now();
    router.reload(&configuration(new.address, 1024, 192, "null"));
    handover.assert_in_use_within(&router, reloaded, KNOWN_AFTER_RELOAD);
    // The old address answers its requests meanwhile.
    sleep(Duration::from_millis(2_500));
    handover.successor.events.try_iter().for_each(drop);
    assert_eq!(Client::connect(&router).query(&order("after", 5_000)), Answer::Row("r".into()));
    assert!(handover.successor.statement().contains("id=after"));
}

/// Guards against a change that a silent watch has missed and that the next, slow one never brings.
#[rstest]
#[case::list_after_1_5_s(List { head: 0, list: 1_500 })]
#[case::list_after_2_5_s(List { head: 0, list: 2_500 })]
#[case::head_after_2_5_s(List { head: 2_500, list: 2_500 })]
fn list_that_comes_late_after_a_silent_watch_is_used(#[case] response: Response) {
    let handover = Handover::new();
    let (before, after) = (handover.old_list(), handover.new_list(43, true));
    let discovery = Discovery::with_handler(move |number, watch| match number {
        0 => respond(watch, List { head: 0, list: 0 }, &before),
        _ => respond(watch, response, &after),
    });
    let router = router(discovery, "null");
    let silent = router.discovery.next_watch();
    handover.assert_in_use_within(&router, silent.at, KNOWN_AFTER);
}

/// Guards against an agent that has started its version numbers anew and whose list is never confirmed, as all requests that
/// could confirm it were made before.
#[rstest]
fn older_versions_are_confirmed_while_several_requests_are_open() {
    let handover = Handover::new();
    let begun = Instant::now();
    let slow = slow_discovery(&[List { head: 0, list: 1_500 }], handover.new_list(7, true));
    let router = router(slow, &handover.old_list());
    handover.assert_in_use_within(&router, begun, KNOWN_AFTER);
}

/// Guards against requests that add up while discovery does not answer.
#[rstest]
fn requests_that_are_open_at_once_are_bounded() {
    let handover = Handover::new();
    let router = router(slow_discovery(&[Never], String::new()), &handover.old_list());
    let mut watches: Vec<Watch> = (0..6).map(|_| router.discovery.next_watch()).collect();
    let distances: Vec<Duration> = watches.windows(2).map(|pair| pair[1].at - pair[0].at).collect();
    assert!(distances[3..].iter().all(|distance| *distance > Duration::from_millis(1_900)), "{distances:?}");
    assert!(distances.iter().all(|distance| *distance < Duration::from_millis(3_000)), "{distances:?}");
    // The first and the last two are open; the others are closed.
    for closed in [1, 2, 3] {
        assert!(watches[closed].wait_for_close(), "request {closed} is open");
    }
    watches[0].send_head();
    watches[0].send(&handover.new_list(43, true));
    handover.assert_in_use_within(&router, Instant::now(), Duration::from_secs(1));
    assert!(watches[4].wait_for_close() && watches[5].wait_for_close(), "the first one is the watch");
}

/// Guards against a change that comes in pieces over a longer time than a watch may be silent, and that is given up halfway.
#[rstest]
#[case::next_list_is_as_slow(Pieces { last: 4_500 })]
#[case::next_request_is_never_answered(Never)]
fn change_that_comes_slowly_on_the_watch_is_used(#[case] next: Response) {
    let handover = Handover::new();
    let (before, after) = (handover.old_list(), handover.new_list(43, true));
    let discovery = Discovery::with_handler(move |number, watch| match number {
        0 => {
            watch.raw("HTTP/1.1 200 OK\r\n\r\n");
            watch.raw(&before);
        }
        _ => respond(watch, next, &after),
    });
    let router = router(discovery, "null");
    let mut watch = router.discovery.next_watch();
    let changed = Instant::now();
    let change = handover.new_list(43, false);
    spawn(move || {
        send_in_pieces(&mut watch, &change, 4_500);
        sleep(WAIT);
    });
    handover.assert_in_use_within(&router, changed, KNOWN_AFTER);
}

/// Guards against a standstill in the middle of a slow answer that makes the router give up what arrived meanwhile.
#[rstest]
#[case::before_the_list(1_200, 680)]
#[case::while_the_list_arrives(1_900, 1_400)]
fn list_that_comes_late_during_a_standstill_is_used(#[case] from_ms: u64, #[case] for_ms: u64) {
    let handover = Handover::new();
    let begun = Instant::now();
    let slow = slow_discovery(&[List { head: 0, list: 2_500 }], handover.new_list(43, true));
    let router = router(slow, &handover.old_list());
    wait_until(begun, from_ms);
    router.signal("-STOP");
    sleep(Duration::from_millis(for_ms));
    router.signal("-CONT");
    handover.assert_in_use_within(&router, begun, Duration::from_millis(from_ms + for_ms).max(KNOWN_AFTER));
}

/// Guards against a second reload that inherits the waits of the first, or an answer to it.
#[rstest]
fn second_of_two_reloads_to_slow_agents_takes_effect() {
    let handover = Handover::new();
    let slow = |list| slow_discovery(&[List { head: 0, list: 2_500 }], list);
    let router = router(slow_discovery(&[List { head: 0, list: 0 }], handover.old_list()), "null");
    assert_eq!(Client::connect(&router).query(&order("before", 5_000)), Answer::Row("r".into()));
    let (first, second) = (slow(handover.old_list()), slow(handover.new_list(3, true)));
    router.reload(&configuration(first.address, 1024, 192, "null"));
    sleep(Duration::from_millis(700));
    let reloaded = Instant::now();
    router.reload(&configuration(second.address, 1024, 192, "null"));
    handover.assert_in_use_within(&router, reloaded, KNOWN_AFTER_RELOAD);
}

/// Guards against changes of the watch before a reload that wait for a new list which comes slowly.
#[rstest]
fn change_on_the_watch_before_a_reload_is_used_while_the_new_list_comes_slowly() {
    let handover = Handover::new();
    let router = router(slow_discovery(&[List { head: 0, list: 0 }], handover.old_list()), "null");
    assert_eq!(Client::connect(&router).query(&order("before", 5_000)), Answer::Row("r".into()));
    let mut before = router.discovery.next_watch();
    let new = slow_discovery(&[Pieces { last: 3_500 }], handover.new_list(3, true));
    router.reload(&configuration(new.address, 1024, 192, "null"));
    sleep(Duration::from_millis(500));
    let changed = Instant::now();
    before.send(&handover.new_list(42, false));
    handover.assert_in_use_within(&router, changed, Duration::from_millis(500));
    assert!(before.wait_for_close(), "the new list has arrived");
}

/// Guards against a further request that fails for want of a descriptor and takes the open ones with it.
#[rstest]
fn open_requests_outlive_one_that_gets_no_descriptor() {
    let handover = Handover::new();
    let router = router(slow_discovery(&[Never], String::new()), &handover.old_list());
    let mut watches: Vec<Watch> = (0..3).map(|_| router.discovery.next_watch()).collect();
    // The limit is below the number of descriptors in use.
    router.limit_descriptors(4);
    router.wait_for_log("watch broken: Too many open files");
    router.limit_descriptors(64);
    watches[0].send_head();
    watches[0].send(&handover.new_list(43, true));
    handover.assert_in_use_within(&router, Instant::now(), Duration::from_secs(1));
}
