//! Work that waits for its connection, and bytes of a member that come when nothing was asked: every step of
//! the member is the test's.

mod common;

use common::faults::*;
use common::member::*;
use common::*;
use rstest::rstest;
use std::io::{Read, Write};
use std::thread::{sleep, spawn};
use std::time::Duration;

fn error(code: &str) -> Answer {
    Answer::Error(code.to_owned(), None)
}

fn ask(router: &Router, id: &str) -> Client {
    let mut client = Client::connect(router);
    client.send(&query_bytes(&order(id, 30_000)));
    client
}

/// A router, its one member's connection, which idles, and a client that was served.
fn rests() -> (Member, Router, Link, Client) {
    let member = Member::start();
    let router = without_probes(&[("s-a", &member)]);
    let mut client = ask(&router, "i0");
    let mut link = member.met();
    link.serve("id=i0", "r0");
    assert_eq!(client.answer(), Answer::Row("r0".into()));
    // What follows at once goes to another connection: this one rests for 1 ms before it is used again.
    sleep(Duration::from_millis(5));
    (member, router, link, client)
}

#[rstest]
#[case::half_a_line(row("spare")[..3].to_vec())]
#[case::half_an_answer(row("spare")[..40].to_vec())]
#[case::an_answer([row("spare"), ready()].concat())]
fn what_comes_on_a_resting_connection_ends_it(#[case] bytes: Vec<u8>) {
    let (member, router, mut link, _) = rests();
    link.say(&bytes);
    assert_eq!(link.ended(), 0);
    let mut client = ask(&router, "i1");
    member.met().serve("id=i1", "own");
    assert_eq!(client.answer(), Answer::Row("own".into()));
}

#[rstest]
fn a_spare_answer_and_a_query_in_one_turn_never_meet(#[values(true, false)] spare_first: bool) {
    let (member, router, mut link, mut client) = rests();
    for i in 0..20 {
        let mut spare = || link.say(&[row("spare"), ready()].concat());
        router.stop();
        spare_first.then(&mut spare);
        client.send(&query_bytes(&order(&format!("i{i}"), 30_000)));
        (!spare_first).then(&mut spare);
        router.signal("-CONT");
        assert_eq!(link.ended(), 0);
        link = member.met();
        link.serve(&format!("id=i{i}"), "own");
        assert_eq!(client.answer(), Answer::Row("own".into()));
    }
}

#[rstest]
#[case::half_of_it(row("spare")[..40].to_vec(), false)]
#[case::with_its_end([row("spare"), ready()].concat(), false)]
#[case::with_room_for_the_rest([row("spare"), ready()].concat(), true)]
fn what_comes_before_a_statement_is_written_whole_is_no_answer(#[case] bytes: Vec<u8>, #[case] room: bool) {
    let member = Member::narrow();
    let router = without_probes(&[("s-a", &member)]);
    let long = order("i1", 60_000).replace(r"\x01", &format!(r"\x{}", "01".repeat(64_000)));
    let mut client = Client::connect(&router);
    client.send(&query_bytes(&long));
    let mut link = member.met();
    // A part of it has come, and the rest waits for room.
    link.stream.peek(&mut [0]).expect("a statement");
    let mut came = Vec::new();
    if room {
        router.stop();
        came = link.take_all();
    }
    link.say(&bytes);
    assert!(came.len() < 128_000, "it was written whole");
    if room {
        router.signal("-CONT");
    }
    assert!(came.len() + link.ended() < 128_000, "written on");
    member.met().serve("id=i1", "own");
    assert_eq!(client.answer(), Answer::Row("own".into()));
}

/// The system takes a statement in parts, and the process is held up between them: what came by then is taken for the answer.
#[rstest]
fn what_comes_between_two_parts_of_a_statement_is_no_answer() {
    let (member, faults) = (Member::start(), Faults::new(3));
    let router = without_probes_failing(&[("s-a", &member)], &[], &faults);
    let mut client = ask(&router, "i1");
    let mut link = member.dialled();
    faults.set(Fault::ShortSend, ALWAYS);
    faults.set(Fault::HeldSend, ALWAYS);
    link.greet();
    link.stream.peek(&mut [0]).expect("a part of it");
    link.say(&[row("spare"), ready()].concat());
    faults.none();
    assert!(link.ended() < query_bytes(&order("i1", 30_000)).len(), "written on");
    member.met().serve("id=i1", "own");
    assert_eq!(client.answer(), Answer::Row("own".into()));
}

/// Nobody can tell whose answer it is that came while the one write of a statement was held up: a read goes elsewhere, a write may
/// have run, and neither gets the bytes.
#[rstest]
fn what_comes_while_a_statement_is_written_at_once_is_no_answer(#[values(true, false)] read: bool) {
    let (member, faults) = (Member::start(), Faults::new(3));
    let router = without_probes_failing(&[("s-a", &member)], &[], &faults);
    let mut client = ask_either(&router, read);
    let mut link = member.dialled();
    faults.set(Fault::HeldSend, ALWAYS);
    link.greet();
    faults.met(Fault::HeldSend);
    faults.none();
    comes_before_the_end(&mut link, 0);
    assert!(link.asked().is_some_and(|s| s.contains("id=i1")));
    assert_eq!(link.ended(), 0);
    is_not_answered_by_it(&member, &mut client, read);
}

/// The same with the last byte, which goes alone where the first write was short.
#[rstest]
fn what_comes_while_the_last_byte_of_a_statement_is_written_is_no_answer(#[values(true, false)] read: bool) {
    let (member, faults) = (Member::start(), Faults::new(5));
    let router = without_probes_failing(&[("s-a", &member)], &[], &faults);
    let mut client = ask_either(&router, read);
    let mut link = member.dialled();
    faults.set(Fault::ShortSend, ALWAYS);
    faults.set(Fault::HeldSend, ALWAYS);
    link.greet();
    let mut head = [0; 5];
    while link.stream.peek(&mut head).expect("a statement") < head.len() {}
    let size = 1 + u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    while link.stream.peek(&mut vec![0; size]).expect("a statement") < size - 1 {}
    // The look before the last byte is over by then, and that is held up for 100 ms or more.
    sleep(Duration::from_millis(30));
    faults.none();
    comes_before_the_end(&mut link, size - 1);
    assert!(link.asked().is_some_and(|s| s.contains("id=i1")));
    assert_eq!(link.ended(), 0);
    is_not_answered_by_it(&member, &mut client, read);
}

/// The process may be held up behind the write as well: what comes then is the answer, as the system tells when it came.
#[rstest]
fn an_answer_that_comes_while_the_process_is_held_up_behind_the_write_counts(
    #[values(true, false)] read: bool,
) {
    let (member, faults) = (Member::start(), Faults::new(11));
    let router = without_probes_failing(&[("s-a", &member)], &[], &faults);
    let mut client = ask_either(&router, read);
    let mut link = member.dialled();
    faults.set(Fault::HeldSent, ALWAYS);
    link.greet();
    assert!(link.asked().is_some_and(|s| s.contains("id=i1")));
    faults.none();
    // A member works for a while.
    sleep(Duration::from_millis(30));
    link.answer("own");
    assert_eq!(client.answer(), Answer::Row("own".into()));
}

fn ask_either(router: &Router, read: bool) -> Client {
    let mut client = Client::connect(router);
    client.send(&query_bytes(&if read { look("i1", 30_000) } else { order("i1", 30_000) }));
    client
}

/// A spare answer comes while only so many bytes of the statement have.
fn comes_before_the_end(link: &mut Link, bytes: usize) {
    link.say(&[row("spare"), ready()].concat());
    link.stream.set_nonblocking(true).expect("an option");
    let came = link.stream.peek(&mut vec![0; bytes + 1]).unwrap_or(0);
    link.stream.set_nonblocking(false).expect("an option");
    assert_eq!(came, bytes, "the spare answer came too late for this test");
}

fn is_not_answered_by_it(member: &Member, client: &mut Client, read: bool) {
    if read {
        member.met().serve("id=i1", "own");
        assert_eq!(client.answer(), Answer::Row("own".into()));
    } else {
        assert_eq!(client.answer(), error("40003"));
    }
}

/// A report that came while the probe was written is not believed, and its connection is not used again.
#[rstest]
#[case::at_once(false)]
#[case::in_parts(true)]
fn what_comes_while_a_probe_is_written_is_no_report(#[case] in_parts: bool) {
    let (member, faults) = (Member::start(), Faults::new(7));
    let probes = [(r#""may_probe":false"#, r#""may_probe":true"#)];
    let _router = without_probes_failing(&[("s-a", &member)], &probes, &faults);
    let mut link = member.dialled();
    faults.set(Fault::HeldSend, ALWAYS);
    faults.set(Fault::ShortSend, if in_parts { ALWAYS } else { 0 });
    link.greet();
    faults.met(Fault::HeldSend);
    if in_parts {
        link.stream.peek(&mut [0]).expect("a part of it");
    }
    link.say(&[row("x0=1767225600.123,x1=1"), ready()].concat());
    faults.none();
    let probe = query_bytes("SHOW load").len();
    assert!(link.ended() <= probe - in_parts as usize, "written on");
    assert_eq!(member.met().asked().as_deref(), Some("SHOW load\0"), "it is asked anew");
}

/// What comes before the startup packet is written whole answers nothing either.
#[rstest]
fn what_comes_between_two_parts_of_an_opening_is_no_greeting() {
    let (member, faults) = (Member::start(), Faults::new(9));
    let router = without_probes_failing(&[("s-a", &member)], &[], &faults);
    let mut client = Client::connect(&router);
    faults.set(Fault::ShortSend, ALWAYS);
    faults.set(Fault::HeldOpening, ALWAYS);
    client.send(&query_bytes(&order("i1", 30_000)));
    let (stream, _) = member.listener.accept().expect("a connection");
    stream.set_read_timeout(Some(WAIT)).expect("a time-out");
    let mut link = Link { stream };
    link.stream.peek(&mut [0]).expect("a part of it");
    link.greet();
    faults.none();
    let mut came = vec![0; 4];
    link.stream.read_exact(&mut came).expect("its size");
    let size = u32::from_be_bytes([came[0], came[1], came[2], came[3]]) as usize;
    assert!(came.len() + link.ended() < size, "written whole");
    member.met().serve("id=i1", "own");
    assert_eq!(client.answer(), Answer::Row("own".into()));
}

#[rstest]
#[case::flood_behind_half_of_it(39, 0, error("40003"))]
#[case::flood_behind_a_whole_one(53, 0, Answer::Row("r".into()))]
#[case::drip_behind_a_whole_one(53, 20, Answer::Row("r".into()))]
fn an_answer_that_never_ends_is_ended(#[case] begun: usize, #[case] pause: u64, #[case] want: Answer) {
    let member = Member::start();
    let router = without_probes(&[("s-a", &member)]);
    let mut client = ask(&router, "i1");
    let mut link = member.met();
    assert!(link.asked().is_some_and(|s| s.contains("id=i1")));
    link.say(&row("r")[..begun]);
    let notices = b"N\0\0\0\x05\0".repeat(if pause == 0 { 10_000 } else { 1 });
    let speaker = spawn(move || {
        while link.stream.write_all(&notices).is_ok() {
            sleep(Duration::from_millis(pause))
        }
    });
    assert_eq!(client.answer(), want);
    let mut other = ask(&router, "i2");
    member.met().serve("id=i2", "own");
    assert_eq!(other.answer(), Answer::Row("own".into()));
    speaker.join().expect("its connection is ended");
}

#[rstest]
fn a_kept_connection_that_ends_before_the_write_is_not_written_to(
    #[values(true, false)] reset: bool,
    #[values(true, false)] end_first: bool,
) {
    let (member, router, link, mut client) = rests();
    router.stop();
    let mut link = Some(link);
    let mut end = || link.take().expect("ended once").end(reset);
    end_first.then(&mut end);
    client.send(&query_bytes(&order("i1", 30_000)));
    (!end_first).then(&mut end);
    router.signal("-CONT");
    member.met().serve("id=i1", "own");
    assert_eq!(client.answer(), Answer::Row("own".into()));
}

#[rstest]
#[case::closed(true, false)]
#[case::reset(true, true)]
#[case::closed_over_unread_bytes(false, false)]
fn what_a_kept_connection_took_whole_may_have_run(#[case] read: bool, #[case] reset: bool) {
    let (member, router, mut link, _) = rests();
    let mut client = ask(&router, "i1");
    if read {
        assert!(link.asked().is_some_and(|s| s.contains("id=i1")));
    } else {
        let whole = query_bytes(&order("i1", 30_000)).len();
        while link.stream.peek(&mut vec![0; whole]).expect("a statement") < whole - 1 {}
    }
    link.end(reset);
    assert_eq!(client.answer(), error("40003"));
    // Nothing was sent again: the next connection carries the next command first.
    let mut other = ask(&router, "i2");
    member.met().serve("id=i2", "own");
    assert_eq!(other.answer(), Answer::Row("own".into()));
}

#[rstest]
#[case::behind_its_row([row("r")[..39].to_vec()].concat(), error("40003"))]
#[case::behind_its_completion(row("r"), Answer::Row("r".into()))]
#[case::behind_its_end([row("r"), ready()].concat(), Answer::Row("r".into()))]
fn a_whole_answer_counts_though_its_connection_is_reset(#[case] bytes: Vec<u8>, #[case] want: Answer) {
    let (_member, router, mut link, _) = rests();
    let mut client = ask(&router, "i1");
    assert!(link.asked().is_some_and(|s| s.contains("id=i1")));
    router.stop();
    link.say(&bytes);
    link.end(true);
    router.signal("-CONT");
    assert_eq!(client.answer(), want);
}

/// Waits until the router has taken this many lists.
fn taken(router: &Router, lists: u64) {
    let count = || {
        router.signal("-USR1");
        router.counters("connections")["lists"]
    };
    while count() < lists {}
}

#[rstest]
#[case::draining("draining")]
#[case::gone("gone")]
#[case::restarted("restarted")]
#[case::moved("moved")]
fn what_waited_for_a_dial_is_not_written_where_it_may_not_go(
    #[case] change: &str,
    #[values(true, false)] at_once: bool,
) {
    let (member, other) = (Member::start(), Member::start());
    let router = without_probes(&[("s-a", &member)]);
    let mut watch = router.discovery.asked();
    let mut client = ask(&router, "i1");
    let mut link = member.dialled();
    let instead = entry_at("s-b", other.address, "ready", "primary");
    let now = format!(r#""started_ms":{}"#, unix_ms());
    let change = match change {
        "moved" => vec![entry_at("s-a", other.address, "ready", "primary")],
        "restarted" => {
            let restarted = entry_at("s-a", member.address, "ready", "replica");
            vec![restarted.replace(r#""started_ms":0"#, &now), instead]
        }
        state => vec![entry_at("s-a", member.address, state, "replica"), instead],
    };
    if at_once {
        router.stop();
        link.greet();
    }
    watch.send(&list(42, false, &change));
    watch.delivered();
    if at_once {
        router.signal("-CONT");
    } else {
        taken(&router, 2);
        // That connection may be ended by now.
        _ = link.stream.write_all(&greeting());
    }
    other.met().serve("id=i1", "own");
    assert_eq!(client.answer(), Answer::Row("own".into()));
    assert!(link.heard_nothing(), "a statement was written there");
}

#[rstest]
fn a_connection_to_where_a_member_was_is_not_used_again() {
    let (_member, router, mut link, _) = rests();
    let other = Member::start();
    let mut watch = router.discovery.asked();
    let mut client = ask(&router, "i1");
    assert!(link.asked().is_some_and(|s| s.contains("id=i1")));
    watch.send(&list(42, false, &[entry_at("s-a", other.address, "ready", "primary")]));
    taken(&router, 2);
    link.answer("r1");
    assert_eq!((client.answer(), link.ended()), (Answer::Row("r1".into()), 0));
    let mut client = ask(&router, "i2");
    other.met().serve("id=i2", "own");
    assert_eq!(client.answer(), Answer::Row("own".into()));
}

#[rstest]
fn what_waited_says_how_long_its_router_still_waits() {
    let member = Member::start();
    let router = without_probes(&[("s-a", &member)]);
    let mut client = ask(&router, "i1");
    let mut link = member.dialled();
    sleep(Duration::from_millis(300));
    link.greet();
    let statement = link.asked().expect("a statement");
    let wait = statement.split(",d=").nth(1).and_then(|s| s.split(',').next()).expect("a wait");
    assert!(wait.parse::<u32>().is_ok_and(|wait| wait <= 29_700), "{wait}");
    link.answer("r");
    assert_eq!(client.answer(), Answer::Row("r".into()));
}

/// The module looks at a command again one tick after it was sent. What ends in the turn of that look has its further
/// attempt all the same, also where it has no time for a third.
#[rstest]
fn a_miss_that_comes_with_a_look_at_its_command_walks_on() {
    let (first, second) = (Member::start(), Member::start());
    let members = [("s-a", &first), ("s-b", &second)];
    let router = without_probes_but(&members, &[(r#""tick_ms":5.0"#, r#""tick_ms":2000.0"#)]);
    let mut client = ask(&router, "i1");
    let mut link = first.met();
    assert!(link.asked().is_some_and(|s| s.contains("id=i1")));
    router.stop();
    link.say(&[parameter("role", "replica"), code("25006"), ready()].concat());
    sleep(Duration::from_millis(2_500));
    router.signal("-CONT");
    second.met().serve("id=i1", "own");
    assert_eq!(client.answer(), Answer::Row("own".into()));
}

/// What may have run may be sent again inside its window alone, and that closes while the further attempt dials.
#[rstest]
fn a_keyed_command_is_not_written_once_its_window_has_closed_during_a_dial(
    #[values(true, false)] at_once: bool,
) {
    let (member, second) = (Member::start(), Member::start());
    let keyed = (r#""semantics":"side_effect""#, r#""semantics":"token","group":"all","window_ms":3000.0"#);
    let router = without_probes_but(&[("s-a", &member), ("s-b", &second)], &[WORTH, keyed]);
    let mut client = ask(&router, "i1");
    let mut link = member.met();
    assert!(link.asked().is_some_and(|s| s.contains("id=i1")));
    link.say(&[code("XX000"), ready()].concat());
    let mut further = second.dialled();
    if at_once {
        // It comes up in the turn in which its window has closed.
        router.stop();
        further.greet();
        sleep(Duration::from_millis(3_300));
        router.signal("-CONT");
    }
    let answer = client.answer();
    assert!(matches!(answer, Answer::Error(..)), "{answer:?}");
    if !at_once {
        further.greet();
    }
    router.turn();
    assert!(further.heard_nothing(), "written past its window");
}
