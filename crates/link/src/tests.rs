//! Runs the contract against every implementation, checks that faulty transports fail it, and tests the decisions
//! without I/O.

mod grounds;
mod many;

use super::*;
use crate::fault::{Fault, LINE_MOST, Line, REPEAT};
use crate::outgoing::Outgoing;
use crate::redial::Dial;
use crate::talk::{Call, Step, Talk};
use grounds::{HalfBrokenGround, Loopback, Simulated, Wrong};
use rstest::rstest;
use std::io::{Read, Write};
use std::time::Duration;

const LATE: Fault = Fault {
    delay: 100,
    jitter: 50,
    reorder: 0.3,
    duplicate: 0.2,
    drop: 0.1,
    cut: false,
    rate: 0,
    reset: false,
};

#[rstest]
#[case::whole(Fault::default())]
#[case::late_lost_doubled_overtaken(LATE)]
#[case::narrow(Fault { rate: 2_000_000, ..Fault::default() })]
fn memory_keeps_the_contract(#[case] fault: Fault) {
    contract::check(|| Simulated::new(7, fault)).unwrap_or_else(|breach| panic!("{breach}"));
}

#[rstest]
#[case::udp(Parts::Udp)]
#[case::tcp(Parts::Tcp)]
#[case::both(Parts::Both)]
fn sockets_keep_the_contract(#[case] parts: Parts) {
    contract::check(|| Loopback::new(parts)).unwrap_or_else(|breach| panic!("{breach}"));
}

#[rstest]
#[case(Wrong::LosesInSilence, "a crash returns the unacknowledged messages")]
#[case(Wrong::AcknowledgesEarly, "unacknowledged bytes are bounded, and none are lost")]
#[case(Wrong::Swaps, "a stream delivers each message once and in order")]
#[case(Wrong::Doubles, "a stream delivers each message once and in order")]
#[case(Wrong::TakesAll, "unacknowledged bytes are bounded, and none are lost")]
#[case(Wrong::ForgetsStarts, "a restarted peer is reached under its name")]
fn half_broken_transports_fail_the_clause_they_break(#[case] wrong: Wrong, #[case] clause: &str) {
    let breach = contract::check(|| HalfBrokenGround { inner: Simulated::new(7, Fault::default()), wrong });
    assert_eq!(breach.map_err(|b| b.clause), Err(clause));
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// The endpoint of one instance, with `peer` added.
fn talk(me: &str, peer: &str) -> Talk {
    let me = Sender { name: name(me), incarnation: 1 };
    let mut talk = Talk::new(me, Kinds::new(&[(1, "note")]), Bounds::default(), 1);
    talk.meet(0, &name(peer), "127.0.0.1:1".parse().unwrap()).unwrap();
    talk
}

fn frame(lane: Lane, body: &[u8]) -> Vec<u8> {
    encode(&Header { from: "a", incarnation: 1, to: "b", kind: 1, lane }, body)
}

/// The events at b after a frame from a on a connection that already received the frames `before`.
fn b_says(before: &[Vec<u8>], then: &[u8]) -> Vec<Event> {
    let mut b = talk("b", "a");
    let call = b.accepted(0).unwrap();
    before.iter().for_each(|f| b.heard(0, call, f));
    while b.next_event().is_some() {}
    b.heard(0, call, then);
    std::iter::from_fn(|| b.next_event()).collect()
}

#[rstest]
#[case::gap(frame(Lane::Stream { stream: 1, epoch: 1, number: 3 }, b""), Unread::OutOfOrder)]
#[case::again(frame(Lane::Stream { stream: 1, epoch: 1, number: 1 }, b""), Unread::OutOfOrder)]
#[case::begins_late(frame(Lane::Stream { stream: 2, epoch: 1, number: 2 }, b""), Unread::OutOfOrder)]
#[case::older_epoch(frame(Lane::Stream { stream: 1, epoch: 0, number: 2 }, b""), Unread::OutOfOrder)]
#[case::greeting_again(frame(Lane::Hello { dial: 9 }, b""), Unread::OutOfOrder)]
#[case::other_start(
    encode(&Header { from: "a", incarnation: 2, to: "b", kind: 1, lane: Lane::Stream { stream: 1, epoch: 1, number: 2 } }, b""),
    Unread::OutOfOrder
)]
#[case::for_another(
    encode(&Header { from: "a", incarnation: 1, to: "c", kind: 1, lane: Lane::Stream { stream: 1, epoch: 1, number: 2 } }, b""),
    Unread::NotMine("c".into())
)]
#[case::newer_version(vec![b'V', b'L', 2, 0, 0, 0, 0], Unread::Version { theirs: 2, ours: 1 })]
#[case::foreign(b"GET / HTTP/1.1\r\n".to_vec(), Unread::Foreign)]
fn a_connection_out_of_order_is_refused_by_name(#[case] bytes: Vec<u8>, #[case] why: Unread) {
    let before =
        [frame(Lane::Hello { dial: 1 }, b""), frame(Lane::Stream { stream: 1, epoch: 1, number: 1 }, b"x")];
    assert_eq!(b_says(&before, &bytes), [Event::Unread { from: Some(name("a")), why }]);
}

#[rstest]
#[case::older_dial(1, 5, 4)]
#[case::older_start(1, 5, 9)]
fn an_older_connection_says_nothing_after_a_newer_one(
    #[case] incarnation: u64,
    #[case] newer: u64,
    #[case] older: u64,
) {
    let mut b = talk("b", "a");
    let hello = |incarnation, dial| {
        encode(&Header { from: "a", incarnation, to: "b", kind: 0, lane: Lane::Hello { dial } }, b"")
    };
    let (second, first) = (b.accepted(0).unwrap(), b.accepted(0).unwrap());
    b.heard(0, second, &hello(if older > newer { incarnation + 1 } else { incarnation }, newer));
    b.heard(0, first, &hello(incarnation, older));
    b.heard(0, first, &frame(Lane::Stream { stream: 1, epoch: 1, number: 1 }, b"late"));
    let told: Vec<Event> = std::iter::from_fn(|| b.next_event()).collect();
    assert_eq!(told, [Event::Unread { from: Some(name("a")), why: Unread::Stale }]);
}

#[rstest]
fn a_newer_connection_ends_the_older_one() {
    let mut b = talk("b", "a");
    let (first, second) = (b.accepted(0).unwrap(), b.accepted(0).unwrap());
    b.heard(0, first, &frame(Lane::Hello { dial: 1 }, b""));
    b.heard(0, second, &frame(Lane::Hello { dial: 2 }, b""));
    b.heard(0, first, &frame(Lane::Stream { stream: 1, epoch: 1, number: 1 }, b"late"));
    assert_eq!(b.next_event(), None);
    assert_eq!(b.next_step(0), Some(Step::Close { call: first }));
}

#[rstest]
fn what_was_not_handed_over_is_not_acknowledged() {
    let mut b = talk("b", "a");
    let call = b.accepted(0).unwrap();
    b.heard(0, call, &frame(Lane::Hello { dial: 1 }, b""));
    (1..=2).for_each(|number| b.heard(0, call, &frame(Lane::Stream { stream: 1, epoch: 1, number }, b"")));
    assert_eq!(b.next_step(0), None);
    assert!(matches!(b.next_event(), Some(Event::Message { number: 1, .. })));
    let Some(Step::Write { frame, .. }) = b.next_step(0) else { panic!("no acknowledgement") };
    let lane = decode(&frame).map(|(header, _)| header.lane);
    assert_eq!(lane, Ok(Lane::Acknowledged { stream: 1, epoch: 1, number: 1 }));
}

/// Guards against unbounded replies: b replies to 1,000 messages of a peer that reads none of the replies, with room
/// for 1,000 bytes.
#[rstest]
#[case::acknowledgements(1, false)]
#[case::refusals(9, true)]
fn who_reads_no_answer_gets_no_more_of_them(#[case] kind: Kind, #[case] ends: bool) {
    let me = Sender { name: name("b"), incarnation: 1 };
    let mut b = Talk::new(me, Kinds::new(&[(1, "note")]), Bounds { ahead: 1_000, ..Bounds::default() }, 1);
    let call = b.accepted(0).unwrap();
    b.heard(0, call, &frame(Lane::Hello { dial: 1 }, b""));
    let (mut bytes, mut closed) = (0, false);
    for number in 1..=1_000 {
        let lane = Lane::Stream { stream: 1, epoch: number, number };
        b.heard(0, call, &encode(&Header { from: "a", incarnation: 1, to: "b", kind, lane }, b""));
        while b.next_event().is_some() {}
        while let Some(step) = b.next_step(0) {
            match step {
                Step::Write { frame, .. } => bytes += frame.len(),
                step => closed |= step == Step::Close { call },
            }
        }
    }
    assert!((900..1_100).contains(&bytes) && closed == ends, "{bytes} bytes, closed: {closed}");
}

#[rstest]
fn made_up_names_leave_room_for_those_that_talk() {
    let me = Sender { name: name("b"), incarnation: 1 };
    let mut b = Talk::new(me, Kinds::default(), Bounds { peers: 2, calls: 4, ..Bounds::default() }, 1);
    let hello = |from: &str| {
        encode(&Header { from, incarnation: 1, to: "b", kind: 0, lane: Lane::Hello { dial: 1 } }, b"")
    };
    let calls: Vec<Call> = (0..4).map(|_| b.accepted(0).unwrap()).collect();
    b.heard(0, calls[0], &hello("a"));
    b.heard(0, calls[1], &hello("x"));
    b.ended(0, calls[1]);
    b.heard(0, calls[2], &hello("y"));
    b.heard(0, calls[3], &hello("z"));
    let told: Vec<Event> = std::iter::from_fn(|| b.next_event()).collect();
    assert_eq!(told, [Event::Unread { from: Some(name("z")), why: Unread::Full }]);
}

#[rstest]
#[case::of_what_was_not_written(1, 3, 0, vec![1, 2, 3])]
#[case::of_another_epoch(2, 2, 0, vec![1, 2, 3])]
#[case::of_what_was_written(1, 2, 2, vec![3])]
fn only_written_messages_count_as_acknowledged(
    #[case] epoch: u64,
    #[case] number: u64,
    #[case] news: u64,
    #[case] left: Vec<u64>,
) {
    let mut stream = Outgoing::new(1);
    (0..3).for_each(|_| assert!(stream.send(0, 1, b"x", 1_000).is_ok()));
    (0..2).for_each(|_| assert!(stream.unwritten().is_some()));
    assert_eq!(stream.acknowledged(0, epoch, number), news > 0);
    assert_eq!(stream.broke().iter().map(|m| m.number).collect::<Vec<_>>(), left);
}

#[rstest]
#[case::nothing_written(0, vec![], 1)]
#[case::some_written(1, vec![1, 2], 3)]
fn what_was_never_written_outlives_its_connection(
    #[case] written: usize,
    #[case] back: Vec<u64>,
    #[case] epoch: u64,
) {
    let mut stream = Outgoing::new(1);
    (0..2).for_each(|_| assert!(stream.send(0, 1, b"x", 1_000).is_ok()));
    (0..written).for_each(|_| assert!(stream.unwritten().is_some()));
    assert_eq!(stream.connection_ended().iter().map(|m| m.number).collect::<Vec<_>>(), back);
    assert_eq!(stream.epoch(), epoch);
}

#[rstest]
#[case::polled_in_time(&[9_999, 10_000, 11_000], vec![1])]
#[case::not_looked_long_enough(&[10_000, 10_999], vec![])]
#[case::away_and_back(&[90_000, 90_999], vec![])]
#[case::away_twice(&[90_000, 200_000], vec![1])]
fn a_stream_breaks_after_a_last_look(#[case] polls: &[Tenths], #[case] back: Vec<u64>) {
    let mut stream = Outgoing::new(1);
    stream.send(0, 1, b"x", 1_000).unwrap();
    let silent = polls.iter().filter(|now| stream.is_silent(**now, 10_000)).count() > 0;
    let broke = if silent { stream.broke() } else { Vec::new() };
    assert_eq!(broke.iter().map(|m| m.number).collect::<Vec<_>>(), back);
}

#[rstest]
fn a_pause_of_its_own_breaks_no_stream_that_was_answered() {
    let network = Network::new(1);
    let start = |n| {
        network.start(
            0,
            Sender { name: name(n), incarnation: 1 },
            Kinds::new(&[(1, "note")]),
            Bounds::default(),
        )
    };
    let (mut a, mut b) = (start("a"), start("b"));
    a.meet(0, &name("b"), network.address(&name("b"))).unwrap();
    a.send(0, &name("b"), Way::Stream(1), 1, b"x").unwrap();
    // a is polled until the message is delivered to b, and then not for 10 s.
    let handed = (0..100).find(|now| a.poll(*now).is_none() && b.poll(*now).is_some());
    assert!(handed.is_some_and(|now| b.poll(now).is_none()));
    assert_eq!(a.poll(100_000), Some(Event::Acknowledged { to: name("b"), stream: 1, number: 1 }));
}

#[rstest]
fn a_frame_over_the_bound_is_refused_in_words() {
    let any = "127.0.0.1:0".parse().unwrap();
    let me = Sender { name: name("b"), incarnation: 1 };
    let mut b = Sockets::bind(me, Kinds::default(), Bounds::default(), any, Parts::Tcp, 1).unwrap();
    let mut socket = std::net::TcpStream::connect(b.address()).unwrap();
    socket.write_all(&u32::MAX.to_be_bytes()).unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(10))).unwrap();
    let mut answer = [0; 256];
    let length = (0..1_000).find_map(|_| {
        while b.poll(0).is_some() {}
        socket.read(&mut answer).ok()
    });
    let lane = decode(&answer[4..length.unwrap()]).map(|(header, _)| header.lane);
    let why = Unread::TooLong { length: u64::from(u32::MAX), bound: 256 * 1_024 + OVERHEAD_MOST as u64 };
    assert_eq!(lane, Ok(Lane::Refusal { stream: None, why }));
}

#[rstest]
fn transports_move_to_their_thread() {
    fn moves<T: Transport + Send + 'static>() {}
    moves::<Sockets>();
    moves::<Memory>();
}

/// Times at which a peer is dialled that never answers, or that closes the connection after `held`.
fn dials(seed: u64, held: Option<Tenths>) -> Vec<Tenths> {
    let backoff = Backoff { first: 100, most: 1_600, answer: 50, steady: 1_000 };
    let mut redial = Redial::new(backoff, seed);
    let mut up_since = None;
    let mut at = Vec::new();
    for now in 0..20_000 {
        match redial.next_decision(now, true) {
            Some(Dial::Begin) => {
                at.push(now);
                if held.is_some() {
                    redial.up(now);
                    up_since = Some(now);
                }
            }
            Some(Dial::GiveUp) | None => {}
        }
        if up_since.zip(held).is_some_and(|(since, held)| now == since + held) {
            redial.ended(now);
        }
    }
    at
}

#[rstest]
#[case::never_answers(None, 15, 25)]
#[case::hangs_up_at_once(Some(1), 15, 25)]
#[case::holds(Some(2_000), 9, 10)]
fn dials_come_later_and_later(#[case] held: Option<Tenths>, #[case] least: usize, #[case] most: usize) {
    let at = dials(3, held);
    assert!((least..=most).contains(&at.len()), "{at:?}");
    assert_eq!(at, dials(3, held));
    assert_ne!(at, dials(4, held));
}

#[rstest]
fn a_line_without_faults_changes_nothing() {
    let mut line = Line::new(1);
    assert_eq!((line.datagram(5, 1_200), line.bytes(5, 1_200)), (vec![5], Some(5)));
}

#[rstest]
#[case::cut(Fault { cut: true, ..Fault::default() }, 0.0, 0.0)]
#[case::drop(Fault { drop: 0.3, ..Fault::default() }, 0.7, 0.03)]
#[case::duplicate(Fault { duplicate: 0.2, ..Fault::default() }, 1.2, 0.03)]
#[case::both(Fault { duplicate: 0.2, drop: 0.5, ..Fault::default() }, 0.6, 0.03)]
fn a_line_loses_and_doubles_as_told(#[case] fault: Fault, #[case] share: f64, #[case] within: f64) {
    let mut line = Line::new(11);
    line.set(fault);
    let arrived: usize = (0..10_000).map(|i| line.datagram(i, 100).len()).sum();
    assert!((arrived as f64 / 10_000.0 - share).abs() <= within, "{arrived}");
}

#[rstest]
fn bytes_of_a_connection_keep_their_order_and_wait_out_a_cut() {
    let mut line = Line::new(5);
    line.set(Fault { jitter: 500, drop: 0.2, ..Fault::default() });
    let at: Vec<Tenths> = (0..1_000).filter_map(|i| line.bytes(i, 100)).collect();
    assert_eq!(at.len(), 1_000);
    assert!(at.is_sorted() && at.iter().zip(0..).any(|(at, sent)| at - sent >= REPEAT));
    line.set(Fault { cut: true, ..Fault::default() });
    assert_eq!(line.bytes(2_000, 100), None);
}

#[rstest]
fn a_narrow_line_passes_its_rate_and_loses_the_rest() {
    let mut line = Line::new(5);
    line.set(Fault { rate: 100_000, ..Fault::default() });
    // 1,000 datagrams of 1,000 bytes at once: 100 a second, and none is queued for over half a second.
    let at: Vec<Tenths> = (0..1_000).flat_map(|_| line.datagram(0, 1_000)).collect();
    assert_eq!((at.len(), at.last().copied()), (50, Some(LINE_MOST)));
}

#[rstest]
fn the_longest_envelope_fits_its_bound() {
    let long = "n".repeat(message::NAME_MOST);
    let to = Header { from: &long, incarnation: u64::MAX, to: &long, kind: u16::MAX, lane: Lane::Datagram };
    let (datagram, most) = (encode(&to, &[]).len(), talk::DATAGRAM_OVERHEAD);
    assert!(datagram <= most, "{datagram}");
    let lane = Lane::Stream { stream: u16::MAX, epoch: u64::MAX, number: u64::MAX };
    assert!(encode(&Header { lane, ..to }, &[]).len() <= OVERHEAD_MOST);
}

/// Guards against a bound too small for a router's peers: its whole fleet, members of it that have left, and the
/// control machines.
#[rstest]
fn the_most_peers_are_met_and_no_further_one() {
    let me = Sender { name: name("a"), incarnation: 1 };
    let mut talk = Talk::new(me, Kinds::new(&[(1, "note")]), Bounds::default(), 1);
    let at = |i: u32| std::net::SocketAddr::from(([127, 1, (i >> 8) as u8, i as u8], 7_400));
    for i in 0..8_192 {
        let peer = name(&format!("router-{i}"));
        assert_eq!(talk.meet(0, &peer, at(i)), Ok(()));
        assert!(talk.datagram(&peer, 1, b"x").is_ok(), "{peer}");
    }
    assert_eq!(talk.meet(0, &name("more"), at(8_192)), Err(Refused::TooMany { bound: 8_192 }));
    talk.forget(0, &name("router-7"));
    assert_eq!(talk.meet(0, &name("more"), at(8_192)), Ok(()));
}
