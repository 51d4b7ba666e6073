//! Runs the contract against every implementation, checks that faulty transports fail it, and tests the decisions
//! without I/O.

mod grounds;
mod many;

use super::*;
use crate::fault::{Fault, Line, MAX_QUEUE_DELAY, RETRANSMIT_DELAY};
use crate::outgoing::SendStream;
use crate::redial::Dial;
use crate::talk::{Action, ConnectionId, Endpoint};
use grounds::{Defect, FaultyEnvironment, Loopback, Simulated};
use rstest::rstest;
use std::io::{Read, Write};
use std::time::Duration;

const UNRELIABLE: Fault = Fault {
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
#[case::no_faults(Fault::default())]
#[case::delayed_lost_duplicated_reordered(UNRELIABLE)]
#[case::limited_bandwidth(Fault { rate: 2_000_000, ..Fault::default() })]
fn memory_transport_conforms_to_the_contract(#[case] fault: Fault) {
    contract::check(|| Simulated::new(7, fault)).unwrap_or_else(|breach| panic!("{breach}"));
}

#[rstest]
#[case::udp(Protocols::Udp)]
#[case::tcp(Protocols::Tcp)]
#[case::udp_and_tcp(Protocols::Both)]
fn socket_transport_conforms_to_the_contract(#[case] protocols: Protocols) {
    contract::check(|| Loopback::new(protocols)).unwrap_or_else(|breach| panic!("{breach}"));
}

#[rstest]
#[case(Defect::DropsBreakEvents, "a crash returns the unacknowledged messages")]
#[case(Defect::AcknowledgesEarly, "unacknowledged bytes are bounded, and none are lost")]
#[case(Defect::SwapsMessages, "a stream delivers each message once and in order")]
#[case(Defect::DuplicatesMessages, "a stream delivers each message once and in order")]
#[case(Defect::AcceptsBeyondBound, "unacknowledged bytes are bounded, and none are lost")]
#[case(Defect::IgnoresIncarnation, "a restarted peer is reached under its name")]
fn faulty_transports_fail_the_violated_clause(#[case] defect: Defect, #[case] clause: &str) {
    let breach = contract::check(|| FaultyEnvironment { inner: Simulated::new(7, Fault::default()), defect });
    assert_eq!(breach.map_err(|b| b.clause), Err(clause));
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// The endpoint of one instance, with `peer` added.
fn endpoint(me: &str, peer: &str) -> Endpoint {
    let me = Sender { name: name(me), incarnation: 1 };
    let mut endpoint = Endpoint::new(me, Kinds::new(&[(1, "note")]), Bounds::default(), 1);
    endpoint.add_peer(0, &name(peer), "127.0.0.1:1".parse().unwrap()).unwrap();
    endpoint
}

fn frame(frame_type: FrameType, body: &[u8]) -> Vec<u8> {
    encode(&Header { from: "a", incarnation: 1, to: "b", kind: 1, frame_type }, body)
}

/// The events at b after a frame from a on a connection that already received the frames `before`.
fn events_at_b(before: &[Vec<u8>], then: &[u8]) -> Vec<Event> {
    let mut b = endpoint("b", "a");
    let conn = b.accepted(0).unwrap();
    before.iter().for_each(|f| b.frame_received(0, conn, f));
    while b.next_event().is_some() {}
    b.frame_received(0, conn, then);
    std::iter::from_fn(|| b.next_event()).collect()
}

#[rstest]
#[case::sequence_gap(frame(FrameType::Stream { stream: 1, epoch: 1, number: 3 }, b""), RejectReason::OutOfOrder)]
#[case::repeated_number(frame(FrameType::Stream { stream: 1, epoch: 1, number: 1 }, b""), RejectReason::OutOfOrder)]
#[case::epoch_starts_after_its_first_number(frame(FrameType::Stream { stream: 2, epoch: 1, number: 2 }, b""), RejectReason::OutOfOrder)]
#[case::older_epoch(frame(FrameType::Stream { stream: 1, epoch: 0, number: 2 }, b""), RejectReason::OutOfOrder)]
#[case::second_hello(frame(FrameType::Hello { connection_number: 9 }, b""), RejectReason::OutOfOrder)]
#[case::other_incarnation(
    encode(&Header { from: "a", incarnation: 2, to: "b", kind: 1, frame_type: FrameType::Stream { stream: 1, epoch: 1, number: 2 } }, b""),
    RejectReason::OutOfOrder
)]
#[case::addressed_to_another_instance(
    encode(&Header { from: "a", incarnation: 1, to: "c", kind: 1, frame_type: FrameType::Stream { stream: 1, epoch: 1, number: 2 } }, b""),
    RejectReason::WrongReceiver("c".into())
)]
#[case::newer_protocol_version(vec![b'V', b'L', 2, 0, 0, 0, 0], RejectReason::Version { theirs: 2, ours: 1 })]
#[case::foreign_protocol(b"GET / HTTP/1.1\r\n".to_vec(), RejectReason::UnknownProtocol)]
fn invalid_frame_on_a_connection_is_refused_with_its_sender(
    #[case] bytes: Vec<u8>,
    #[case] why: RejectReason,
) {
    let before = [
        frame(FrameType::Hello { connection_number: 1 }, b""),
        frame(FrameType::Stream { stream: 1, epoch: 1, number: 1 }, b"x"),
    ];
    assert_eq!(events_at_b(&before, &bytes), [Event::Rejected { from: Some(name("a")), why }]);
}

#[rstest]
#[case::older_connection_number(1, 5, 4)]
#[case::older_incarnation(1, 5, 9)]
fn stale_connection_delivers_nothing_after_a_newer_handshake(
    #[case] incarnation: u64,
    #[case] newer: u64,
    #[case] older: u64,
) {
    let mut b = endpoint("b", "a");
    let hello = |incarnation, connection_number| {
        encode(
            &Header {
                from: "a",
                incarnation,
                to: "b",
                kind: 0,
                frame_type: FrameType::Hello { connection_number },
            },
            b"",
        )
    };
    let (second, first) = (b.accepted(0).unwrap(), b.accepted(0).unwrap());
    b.frame_received(0, second, &hello(if older > newer { incarnation + 1 } else { incarnation }, newer));
    b.frame_received(0, first, &hello(incarnation, older));
    b.frame_received(0, first, &frame(FrameType::Stream { stream: 1, epoch: 1, number: 1 }, b"late"));
    let events: Vec<Event> = std::iter::from_fn(|| b.next_event()).collect();
    assert_eq!(events, [Event::Rejected { from: Some(name("a")), why: RejectReason::StaleConnection }]);
}

#[rstest]
fn newer_connection_closes_the_older_one() {
    let mut b = endpoint("b", "a");
    let (first, second) = (b.accepted(0).unwrap(), b.accepted(0).unwrap());
    b.frame_received(0, first, &frame(FrameType::Hello { connection_number: 1 }, b""));
    b.frame_received(0, second, &frame(FrameType::Hello { connection_number: 2 }, b""));
    b.frame_received(0, first, &frame(FrameType::Stream { stream: 1, epoch: 1, number: 1 }, b"late"));
    assert_eq!(b.next_event(), None);
    assert_eq!(b.next_action(0), Some(Action::Close { conn: first }));
}

#[rstest]
fn undelivered_messages_are_not_acknowledged() {
    let mut b = endpoint("b", "a");
    let conn = b.accepted(0).unwrap();
    b.frame_received(0, conn, &frame(FrameType::Hello { connection_number: 1 }, b""));
    (1..=2).for_each(|number| {
        b.frame_received(0, conn, &frame(FrameType::Stream { stream: 1, epoch: 1, number }, b""))
    });
    assert_eq!(b.next_action(0), None);
    assert!(matches!(b.next_event(), Some(Event::Message { number: 1, .. })));
    let Some(Action::Write { frame, .. }) = b.next_action(0) else { panic!("no acknowledgement") };
    let frame_type = decode(&frame).map(|(header, _)| header.frame_type);
    assert_eq!(frame_type, Ok(FrameType::Acknowledged { stream: 1, epoch: 1, number: 1 }));
}

/// Guards against unbounded replies: b replies to 1,000 messages of a peer that reads none of the replies, with room
/// for 1,000 bytes.
#[rstest]
#[case::acknowledgements(1, false)]
#[case::refusals(9, true)]
fn replies_to_a_peer_that_reads_none_are_bounded(#[case] kind: Kind, #[case] ends: bool) {
    let me = Sender { name: name("b"), incarnation: 1 };
    let mut b =
        Endpoint::new(me, Kinds::new(&[(1, "note")]), Bounds { unsent_bytes: 1_000, ..Bounds::default() }, 1);
    let conn = b.accepted(0).unwrap();
    b.frame_received(0, conn, &frame(FrameType::Hello { connection_number: 1 }, b""));
    let (mut bytes, mut closed) = (0, false);
    for number in 1..=1_000 {
        let frame_type = FrameType::Stream { stream: 1, epoch: number, number };
        b.frame_received(
            0,
            conn,
            &encode(&Header { from: "a", incarnation: 1, to: "b", kind, frame_type }, b""),
        );
        while b.next_event().is_some() {}
        while let Some(action) = b.next_action(0) {
            match action {
                Action::Write { frame, .. } => bytes += frame.len(),
                action => closed |= action == Action::Close { conn },
            }
        }
    }
    assert!((900..1_100).contains(&bytes) && closed == ends, "{bytes} bytes, closed: {closed}");
}

#[rstest]
fn invented_names_do_not_evict_connected_peers() {
    let me = Sender { name: name("b"), incarnation: 1 };
    let mut b = Endpoint::new(
        me,
        Kinds::default(),
        Bounds { peers: 2, inbound_connections: 4, ..Bounds::default() },
        1,
    );
    let hello = |from: &str| {
        encode(
            &Header {
                from,
                incarnation: 1,
                to: "b",
                kind: 0,
                frame_type: FrameType::Hello { connection_number: 1 },
            },
            b"",
        )
    };
    let connections: Vec<ConnectionId> = (0..4).map(|_| b.accepted(0).unwrap()).collect();
    b.frame_received(0, connections[0], &hello("a"));
    b.frame_received(0, connections[1], &hello("x"));
    b.disconnected(0, connections[1]);
    b.frame_received(0, connections[2], &hello("y"));
    b.frame_received(0, connections[3], &hello("z"));
    let events: Vec<Event> = std::iter::from_fn(|| b.next_event()).collect();
    assert_eq!(events, [Event::Rejected { from: Some(name("z")), why: RejectReason::Full }]);
}

#[rstest]
#[case::unwritten_number(1, 3, 0, vec![1, 2, 3])]
#[case::other_epoch(2, 2, 0, vec![1, 2, 3])]
#[case::written_number(1, 2, 2, vec![3])]
fn acknowledgement_covers_only_written_messages(
    #[case] epoch: u64,
    #[case] number: u64,
    #[case] progress: u64,
    #[case] unacknowledged: Vec<u64>,
) {
    let mut stream = SendStream::new(1);
    (0..3).for_each(|_| assert!(stream.send(0, 1, b"x", 1_000).is_ok()));
    (0..2).for_each(|_| assert!(stream.next_unwritten().is_some()));
    assert_eq!(stream.acknowledged(0, epoch, number), progress > 0);
    assert_eq!(stream.fail().iter().map(|m| m.number).collect::<Vec<_>>(), unacknowledged);
}

#[rstest]
#[case::nothing_written(0, vec![], 1)]
#[case::some_written(1, vec![1, 2], 3)]
fn unwritten_messages_survive_the_end_of_a_connection(
    #[case] written: usize,
    #[case] returned: Vec<u64>,
    #[case] epoch: u64,
) {
    let mut stream = SendStream::new(1);
    (0..2).for_each(|_| assert!(stream.send(0, 1, b"x", 1_000).is_ok()));
    (0..written).for_each(|_| assert!(stream.next_unwritten().is_some()));
    assert_eq!(stream.connection_ended().iter().map(|m| m.number).collect::<Vec<_>>(), returned);
    assert_eq!(stream.epoch(), epoch);
}

#[rstest]
#[case::polled_regularly(&[9_999, 10_000, 11_000], vec![1])]
#[case::final_check_pending(&[10_000, 10_999], vec![])]
#[case::suspended_once(&[90_000, 90_999], vec![])]
#[case::suspended_twice(&[90_000, 200_000], vec![1])]
fn stream_times_out_only_at_the_final_check(#[case] polls: &[Tenths], #[case] returned: Vec<u64>) {
    let mut stream = SendStream::new(1);
    stream.send(0, 1, b"x", 1_000).unwrap();
    let timed_out = polls.iter().filter(|now| stream.is_timed_out(**now, 10_000)).count() > 0;
    let unacknowledged = if timed_out { stream.fail() } else { Vec::new() };
    assert_eq!(unacknowledged.iter().map(|m| m.number).collect::<Vec<_>>(), returned);
}

#[rstest]
fn suspended_sender_does_not_break_an_acknowledged_stream() {
    let network = SimulatedNetwork::new(1);
    let start = |n| {
        network.start(
            0,
            Sender { name: name(n), incarnation: 1 },
            Kinds::new(&[(1, "note")]),
            Bounds::default(),
        )
    };
    let (mut a, mut b) = (start("a"), start("b"));
    a.add_peer(0, &name("b"), network.address(&name("b"))).unwrap();
    a.send(0, &name("b"), Channel::Stream(1), 1, b"x").unwrap();
    // a is polled until the message is delivered to b, and then not for 10 s.
    let delivered = (0..100).find(|now| a.poll(*now).is_none() && b.poll(*now).is_some());
    assert!(delivered.is_some_and(|now| b.poll(now).is_none()));
    assert_eq!(a.poll(100_000), Some(Event::Acknowledged { to: name("b"), stream: 1, number: 1 }));
}

#[rstest]
fn oversized_frame_is_refused_with_a_reason() {
    let any = "127.0.0.1:0".parse().unwrap();
    let me = Sender { name: name("b"), incarnation: 1 };
    let mut b = Sockets::bind(me, Kinds::default(), Bounds::default(), any, Protocols::Tcp, 1).unwrap();
    let mut socket = std::net::TcpStream::connect(b.address()).unwrap();
    socket.write_all(&u32::MAX.to_be_bytes()).unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(10))).unwrap();
    let mut answer = [0; 256];
    let length = (0..1_000).find_map(|_| {
        while b.poll(0).is_some() {}
        socket.read(&mut answer).ok()
    });
    let frame_type = decode(&answer[4..length.unwrap()]).map(|(header, _)| header.frame_type);
    let why = RejectReason::TooLong { length: u64::from(u32::MAX), bound: 256 * 1_024 + MAX_OVERHEAD as u64 };
    assert_eq!(frame_type, Ok(FrameType::Refusal { stream: None, why }));
}

#[rstest]
fn transports_can_be_sent_to_another_thread() {
    fn assert_send<T: Transport + Send + 'static>() {}
    assert_send::<Sockets>();
    assert_send::<MemoryTransport>();
}

/// Times at which a peer is dialled that never answers, or that closes the connection after `held`.
fn dial_times(seed: u64, held: Option<Tenths>) -> Vec<Tenths> {
    let backoff = Backoff { initial_delay: 100, max_delay: 1_600, connect_timeout: 50, stable_after: 1_000 };
    let mut redial = Redial::new(backoff, seed);
    let mut connected_since = None;
    let mut at = Vec::new();
    for now in 0..20_000 {
        match redial.next_decision(now, true) {
            Some(Dial::Connect) => {
                at.push(now);
                if held.is_some() {
                    redial.connected(now);
                    connected_since = Some(now);
                }
            }
            Some(Dial::Abort) | None => {}
        }
        if connected_since.zip(held).is_some_and(|(since, held)| now == since + held) {
            redial.disconnected(now);
        }
    }
    at
}

#[rstest]
#[case::peer_never_answers(None, 15, 25)]
#[case::peer_closes_at_once(Some(1), 15, 25)]
#[case::connection_stays_open(Some(2_000), 9, 10)]
fn redial_backs_off_with_jitter(#[case] held: Option<Tenths>, #[case] least: usize, #[case] most: usize) {
    let at = dial_times(3, held);
    assert!((least..=most).contains(&at.len()), "{at:?}");
    assert_eq!(at, dial_times(3, held));
    assert_ne!(at, dial_times(4, held));
}

#[rstest]
fn line_without_faults_adds_no_delay() {
    let mut line = Line::new(1);
    assert_eq!((line.datagram(5, 1_200), line.bytes(5, 1_200)), (vec![5], Some(5)));
}

#[rstest]
#[case::cut(Fault { cut: true, ..Fault::default() }, 0.0, 0.0)]
#[case::drop(Fault { drop: 0.3, ..Fault::default() }, 0.7, 0.03)]
#[case::duplicate(Fault { duplicate: 0.2, ..Fault::default() }, 1.2, 0.03)]
#[case::drop_and_duplicate(Fault { duplicate: 0.2, drop: 0.5, ..Fault::default() }, 0.6, 0.03)]
fn line_drops_and_duplicates_at_the_configured_rates(
    #[case] fault: Fault,
    #[case] share: f64,
    #[case] within: f64,
) {
    let mut line = Line::new(11);
    line.set(fault);
    let arrived: usize = (0..10_000).map(|i| line.datagram(i, 100).len()).sum();
    assert!((arrived as f64 / 10_000.0 - share).abs() <= within, "{arrived}");
}

#[rstest]
fn connection_bytes_stay_in_order_and_wait_during_a_cut() {
    let mut line = Line::new(5);
    line.set(Fault { jitter: 500, drop: 0.2, ..Fault::default() });
    let at: Vec<Tenths> = (0..1_000).filter_map(|i| line.bytes(i, 100)).collect();
    assert_eq!(at.len(), 1_000);
    assert!(at.is_sorted() && at.iter().zip(0..).any(|(at, sent)| at - sent >= RETRANSMIT_DELAY));
    line.set(Fault { cut: true, ..Fault::default() });
    assert_eq!(line.bytes(2_000, 100), None);
}

#[rstest]
fn throttled_line_delivers_at_its_rate_and_drops_the_excess() {
    let mut line = Line::new(5);
    line.set(Fault { rate: 100_000, ..Fault::default() });
    // 1,000 datagrams of 1,000 bytes at once: 100 a second, and none is queued for over half a second.
    let at: Vec<Tenths> = (0..1_000).flat_map(|_| line.datagram(0, 1_000)).collect();
    assert_eq!((at.len(), at.last().copied()), (50, Some(MAX_QUEUE_DELAY)));
}

#[rstest]
fn longest_envelope_fits_within_its_bound() {
    let long = "n".repeat(message::MAX_NAME_BYTES);
    let to = Header {
        from: &long,
        incarnation: u64::MAX,
        to: &long,
        kind: u16::MAX,
        frame_type: FrameType::Datagram,
    };
    let (datagram, most) = (encode(&to, &[]).len(), talk::DATAGRAM_OVERHEAD);
    assert!(datagram <= most, "{datagram}");
    let frame_type = FrameType::Stream { stream: u16::MAX, epoch: u64::MAX, number: u64::MAX };
    assert!(encode(&Header { frame_type, ..to }, &[]).len() <= MAX_OVERHEAD);
}

/// Guards against a bound too small for a router's peers: its whole fleet, members of it that have left, and the
/// control machines.
#[rstest]
fn peers_are_accepted_up_to_the_limit() {
    let me = Sender { name: name("a"), incarnation: 1 };
    let mut endpoint = Endpoint::new(me, Kinds::new(&[(1, "note")]), Bounds::default(), 1);
    let at = |i: u32| std::net::SocketAddr::from(([127, 1, (i >> 8) as u8, i as u8], 7_400));
    for i in 0..8_192 {
        let peer = name(&format!("router-{i}"));
        assert_eq!(endpoint.add_peer(0, &peer, at(i)), Ok(()));
        assert!(endpoint.datagram(&peer, 1, b"x").is_ok(), "{peer}");
    }
    assert_eq!(endpoint.add_peer(0, &name("more"), at(8_192)), Err(SendError::TooMany { bound: 8_192 }));
    endpoint.remove_peer(0, &name("router-7"));
    assert_eq!(endpoint.add_peer(0, &name("more"), at(8_192)), Ok(()));
}
