//! Tests the router with clients that disconnect, in every order in which a disconnect can arrive.

mod common;

use common::member::greeting;
use common::*;
use rstest::rstest;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

#[derive(Clone, Copy)]
enum Disconnect {
    Close,
    Reset,
    HalfClose,
}

/// Ends a client's connection. The returned client keeps a half-closed connection open.
fn disconnect_client(client: Client, disconnect: Disconnect) -> Option<Client> {
    match disconnect {
        Disconnect::Close => None,
        Disconnect::Reset => {
            SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).expect("the socket is open");
            None
        }
        Disconnect::HalfClose => {
            client.stream.shutdown(Shutdown::Write).expect("the socket is open");
            Some(client)
        }
    }
}

/// `count` queries of about 94 bytes each. With 300, the router stops reading after the first query, and the rest stays
/// unread in the system's receive buffer.
fn queries(count: usize) -> Vec<u8> {
    (0..count).flat_map(|i| query_bytes(&look(&format!("behind-{i}"), 30_000))).collect()
}

/// Returns once the router has processed everything that arrived before this call.
fn settle(router: &Router) {
    assert_eq!(Client::connect(router).query(""), Answer::Empty);
}

/// A member that the test operates by hand, and a router whose settings keep probes from interfering.
struct ManualMember {
    listener: Socket,
    router: Router,
}

const WITHOUT_PROBES: [(&str, &str); 3] = [
    ("\"may_probe\":true", "\"may_probe\":false"),
    ("\"dial_timeout_ms\":1000.0", "\"dial_timeout_ms\":60000.0"),
    ("\"drain_grace_ms\":500.0", "\"drain_grace_ms\":60000.0"),
];

impl ManualMember {
    fn start(backlog: i32, cancel: bool) -> ManualMember {
        let permission = ("\"cancel\":true", if cancel { "\"cancel\":true" } else { "\"cancel\":false" });
        ManualMember::start_with(backlog, &[permission])
    }

    /// The same with further pieces of the settings' text replaced.
    fn start_with(backlog: i32, pieces: &[(&str, &str)]) -> ManualMember {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("the socket is ready");
        listener
            .bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into())
            .expect("the port is bound");
        // With small segments and buffers, the system accepts a long statement in parts.
        let size: libc::c_int = 536;
        let at = (&raw const size).cast();
        // SAFETY: the system reads this one value.
        let set =
            unsafe { libc::setsockopt(listener.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_MAXSEG, at, 4) };
        assert_eq!(set, 0);
        listener.set_recv_buffer_size(4096).expect("the buffer size is set");
        listener.set_nonblocking(true).expect("the socket is ready");
        listener.listen(backlog).expect("it listens");
        let address = listener.local_addr().expect("bound").as_socket().expect("an address");
        let entries = [entry_at("s-a", address, "ready", "primary")];
        let router = Router::with_settings(&entries, &[&WITHOUT_PROBES[..], pieces].concat());
        ManualMember { listener, router }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound").as_socket().expect("an address")
    }

    /// Waits for the next connection.
    fn accept(&self) -> TcpStream {
        let begun = Instant::now();
        loop {
            if let Ok((stream, _)) = self.listener.accept() {
                let stream = TcpStream::from(stream);
                stream.set_nonblocking(false).expect("the socket is open");
                stream.set_read_timeout(Some(WAIT)).expect("the read timeout is set");
                return stream;
            }
            assert!(begun.elapsed() < WAIT, "the router does not connect");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Reads a startup packet and answers it.
fn greet(stream: &mut TcpStream) {
    read_packet(stream, true).expect("a startup packet arrives");
    stream.write_all(&greeting()).expect("the socket is open");
}

/// Number of bytes that still arrive, up to the end of the connection or `most`. A reset counts as an end, and what
/// arrived before it can be read.
fn remaining_bytes(stream: &mut TcpStream, most: usize) -> usize {
    read_to_end(stream, most).len()
}

/// Everything that arrives on the connection until it ends.
fn remaining_input(stream: &mut TcpStream) -> Vec<u8> {
    read_to_end(stream, usize::MAX)
}

fn read_to_end(stream: &mut TcpStream, most: usize) -> Vec<u8> {
    let mut all = Vec::new();
    match stream.take(most as u64).read_to_end(&mut all) {
        Err(e) if e.kind() != ErrorKind::ConnectionReset => panic!("the connection did not end: {e}"),
        _ => all,
    }
}

#[rstest]
#[case::closed(Disconnect::Close)]
#[case::reset(Disconnect::Reset)]
#[case::half_closed(Disconnect::HalfClose)]
fn disconnect_behind_unread_queries_is_detected(#[case] disconnect: Disconnect) {
    let node = Node::start("primary", |_| Reply::Nothing);
    let router = Router::start(&[entry("s-a", &node, "ready", "primary")]);
    let mut client = Client::connect(&router);
    client.stream.set_nodelay(true).expect("the socket is open");
    client.send(&query_bytes(&look("i1", 30_000)));
    assert!(node.statement().contains("id=i1"));
    client.send(&queries(300));
    settle(&router);
    let _half_closed = disconnect_client(client, disconnect);
    assert_eq!(node.next(), NodeEvent::Closed, "the command in flight was not cancelled");
    router.signal("-USR1");
    let counters = router.counters("commands");
    assert_eq!((counters["taken"], counters["left"], counters["open"]), (1, 1, 0));
}

#[rstest]
fn waiting_command_is_not_sent_after_a_disconnect_behind_unread_queries() {
    let node = Node::start("primary", |_| Reply::Send(row("w")));
    let router = Router::start(&[entry("s-a", &node, "draining", "primary")]);
    let mut client = Client::connect(&router);
    client.stream.set_nodelay(true).expect("the socket is open");
    client.send(&query_bytes(&order("i1", 30_000)));
    router.wait_for_counter("commands", "taken", 1);
    client.send(&queries(300));
    settle(&router);
    drop(client);
    router.wait_for_counter("commands", "left", 1);
    router.discovery.next_watch().send(&list(42, false, &[entry("s-a", &node, "ready", "primary")]));
    assert_eq!(Client::connect(&router).query(&order("i2", 30_000)), Answer::Row("w".into()));
    assert!(node.statement().contains("id=i2"));
}

/// A write of the longest value.
fn long_write(id: &str) -> String {
    order(id, 30_000).replace(r"\x01", &format!(r"\x{}", "07".repeat(64 * 1024)))
}

#[rstest]
fn statement_written_in_parts_arrives_complete() {
    let member = ManualMember::start(64, true);
    let mut client = Client::connect(&member.router);
    client.send(&query_bytes(&long_write("i1")));
    let mut node = member.accept();
    greet(&mut node);
    let (kind, body) = read_packet(&mut node, false).expect("a statement arrives");
    assert!(kind == b'Q' && body.len() > 128 * 1024, "{} bytes", body.len());
    node.write_all(&[row("w"), ready()].concat()).expect("the socket is open");
    assert_eq!(client.answer(), Answer::Row("w".into()));
}

#[derive(Clone, Copy, PartialEq)]
enum DispatchStage {
    Dialling,
    Greeting,
    PartiallyWritten,
}

#[rstest]
#[case::dialling(DispatchStage::Dialling)]
#[case::waiting_for_the_greeting(DispatchStage::Greeting)]
#[case::partially_written(DispatchStage::PartiallyWritten)]
fn incomplete_statement_is_withdrawn_when_its_client_disconnects(
    #[case] stage: DispatchStage,
    #[values(true, false)] cancel: bool,
) {
    let member = ManualMember::start(if stage == DispatchStage::Dialling { 0 } else { 64 }, cancel);
    // A connection that is not accepted fills the listen queue, so the router's connect stays pending and succeeds when
    // the system retries it.
    let first =
        (stage == DispatchStage::Dialling).then(|| TcpStream::connect(member.address()).expect("it listens"));
    let mut client = Client::connect(&member.router);
    let statement = long_write("i1");
    client.send(&query_bytes(&statement));
    let mut node = None;
    match stage {
        DispatchStage::Dialling => member.router.wait_for_counter("connections", "dials", 1),
        DispatchStage::Greeting => node = Some(member.accept()),
        DispatchStage::PartiallyWritten => {
            let stream = node.insert(member.accept());
            greet(stream);
            assert_eq!(stream.peek(&mut [0]).expect("the statement begins"), 1);
        }
    }
    drop(client);
    member.router.wait_for_counter("commands", "left", 1);
    settle(&member.router);
    first.is_some().then(|| member.accept());
    let mut node = node.unwrap_or_else(|| member.accept());
    if stage != DispatchStage::PartiallyWritten {
        greet(&mut node);
        settle(&member.router);
        drop(member);
    }
    let received = remaining_bytes(&mut node, statement.len());
    assert!(
        received < statement.len() && (received > 0) == (stage == DispatchStage::PartiallyWritten),
        "{received} bytes"
    );
}

#[rstest]
fn nothing_is_sent_for_clients_that_left_while_the_router_was_suspended() {
    let member = ManualMember::start(64, true);
    let send_look =
        |client: &mut Client, i: usize| client.send(&query_bytes(&look(&format!("i{i}"), 30_000)));
    let mut early_clients: Vec<Client> = (0..25).map(|_| Client::connect(&member.router)).collect();
    early_clients.iter_mut().enumerate().for_each(|(i, client)| send_look(client, i));
    member.router.wait_for_counter("commands", "taken", 25);
    // Some commands are dispatched by now; their connections wait for the member's greeting.
    settle(&member.router);
    let mut late_clients: Vec<Client> = (0..25).map(|_| Client::connect(&member.router)).collect();
    member.router.signal("-STOP");
    let mut nodes = vec![member.accept()];
    while let Ok((stream, _)) = member.listener.accept() {
        stream.set_nonblocking(false).expect("the socket is open");
        nodes.push(stream.into());
    }
    nodes.iter_mut().for_each(greet);
    late_clients.iter_mut().enumerate().for_each(|(i, client)| send_look(client, 25 + i));
    // A shutdown ends the connections even where other processes still hold their descriptors, as programs that are
    // being started do.
    early_clients
        .iter()
        .chain(&late_clients)
        .for_each(|c| c.stream.shutdown(Shutdown::Both).expect("the socket is open"));
    member.router.signal("-CONT");
    settle(&member.router);
    drop(member);
    let received: Vec<usize> = nodes.iter_mut().map(|node| remaining_bytes(node, usize::MAX)).collect();
    assert!(received.len() > 1 && received.iter().all(|bytes| *bytes == 0), "{received:?}");
}

#[rstest]
#[case::read_at_once(300)]
#[case::more_than_is_read_at_once(1_700)]
fn no_command_starts_for_a_client_that_left_while_the_router_was_suspended(
    #[case] count: usize,
    #[values(true, false)] connected_before: bool,
) {
    let node = Node::start("primary", |_| Reply::Send(row("r")));
    let router = Router::start(&[entry("s-a", &node, "ready", "primary")]);
    let connected = connected_before.then(|| Client::connect(&router));
    router.signal("-STOP");
    // A connection that the router has not accepted yet waits in the listen queue.
    let opening = if connected_before { Vec::new() } else { startup(3 << 16) };
    let mut client = connected.unwrap_or_else(|| Client::raw(&router));
    client.stream.set_nodelay(true).expect("the socket is open");
    client.send(&[opening, queries(count)].concat());
    client.stream.shutdown(Shutdown::Both).expect("the socket is open");
    router.signal("-CONT");
    settle(&router);
    assert_eq!(Client::connect(&router).query(&look("last", 30_000)), Answer::Row("r".into()));
    drop(router);
    // The connections of the stand-in report their statements in no particular order.
    let seen = std::iter::from_fn(|| node.events.recv_timeout(Duration::from_millis(300)).ok());
    let others = |seen: &NodeEvent| matches!(seen, NodeEvent::Statement(s) if !s.contains("id=last"));
    assert_eq!(seen.filter(others).collect::<Vec<NodeEvent>>(), []);
}

/// The dispatches of some commands fail so that a retry may follow. Their clients disconnect after more other clients
/// than one poll reports, so the router learns of it only in a later turn of the event loop.
#[rstest]
fn no_retry_starts_when_many_clients_leave_at_once() {
    const IN_FLIGHT: usize = 4;
    let member = ManualMember::start_with(64, &[FULL_BENEFIT, ("\"sockets\":1024", "\"sockets\":6000")]);
    let send_look =
        |client: &mut Client, i: usize| client.send(&query_bytes(&look(&format!("i{i}"), 30_000)));
    let other_clients: Vec<Client> = (0..1_200).map(|_| Client::connect(&member.router)).collect();
    let mut busy: Vec<Client> = (0..IN_FLIGHT).map(|_| Client::connect(&member.router)).collect();
    busy.iter_mut().enumerate().for_each(|(i, client)| send_look(client, i));
    let mut nodes: Vec<TcpStream> = (0..IN_FLIGHT).map(|_| member.accept()).collect();
    for node in &mut nodes {
        greet(node);
        let (kind, _) = read_packet(node, false).expect("a statement arrives");
        assert_eq!(kind, b'Q');
    }
    settle(&member.router);
    member.router.stop();
    for node in &mut nodes {
        node.write_all(&[error_response("XX000"), ready()].concat()).expect("the socket is open");
        wait_until_acknowledged(node);
    }
    other_clients
        .iter()
        .chain(&busy)
        .for_each(|c| c.stream.shutdown(Shutdown::Both).expect("the socket is open"));
    member.router.signal("-CONT");
    settle(&member.router);
    member.router.wait_for_counter("commands", "left", IN_FLIGHT as u64);
    // A retry would be sent on a new connection, or on one of the idle connections.
    while let Ok((stream, _)) = member.listener.accept() {
        stream.set_nonblocking(false).expect("the socket is open");
        nodes.push(stream.into());
    }
    nodes[IN_FLIGHT..].iter_mut().for_each(greet);
    settle(&member.router);
    drop(member);
    let received: Vec<Vec<u8>> = nodes.iter_mut().map(remaining_input).collect();
    // Only the empty query that follows an answer may be there, once.
    let is_no_retry = |bytes: &Vec<u8>| bytes.is_empty() || *bytes == query_bytes("");
    let startups = received[IN_FLIGHT..].iter().filter(|bytes| !bytes.is_empty()).count();
    assert!(received[..IN_FLIGHT].iter().all(is_no_retry) && startups == 0, "{received:?}");
}

/// A router and a member that answers all commands except those with the id i1.
fn silent_for_i1() -> (Node, Router) {
    let answers = |s: &str| if s.contains("id=i1") { Reply::Nothing } else { Reply::Send(row("r")) };
    let node = Node::start("primary", answers);
    let router = Router::start(&[entry("s-a", &node, "ready", "primary")]);
    (node, router)
}

#[rstest]
fn cancel_ends_the_query_in_flight_and_no_later_one() {
    let (node, router) = silent_for_i1();
    let (mut client, key) = Client::connect_with_key(&router);
    client.send(&[query_bytes(&look("i1", 30_000)), query_bytes(&look("i2", 30_000))].concat());
    assert!(node.statement().contains("id=i1"));
    assert_eq!(Client::cancel(&router, &key).answer(), Answer::Closed);
    let cancelled = Answer::Error("57014".into(), None);
    assert_eq!((client.answer(), client.answer()), (cancelled, Answer::Row("r".into())));
    // With no query in flight, a cancel has no effect.
    assert_eq!(Client::cancel(&router, &key).answer(), Answer::Closed);
    assert_eq!(client.query(&look("i3", 30_000)), Answer::Row("r".into()));
    router.signal("-USR1");
    let counters = router.counters("commands");
    assert_eq!((counters["left"], counters["answered"], counters["open"]), (1, 2, 0));
}

/// The router reads the cancel request and the end of its connection together.
#[rstest]
fn cancel_followed_by_a_close_ends_the_query() {
    let (node, router) = silent_for_i1();
    let (mut client, key) = Client::connect_with_key(&router);
    client.send(&query_bytes(&look("i1", 30_000)));
    assert!(node.statement().contains("id=i1"));
    router.stop();
    let cancel_connection = Client::cancel(&router, &key);
    cancel_connection.stream.shutdown(Shutdown::Write).expect("the socket is open");
    wait_until_acknowledged(&cancel_connection.stream);
    router.signal("-CONT");
    assert_eq!(client.answer(), Answer::Error("57014".into(), None));
}

#[rstest]
fn cancel_with_a_wrong_secret_ends_no_query() {
    let (node, router) = silent_for_i1();
    let ((mut client, mut key), (_, other)) =
        (Client::connect_with_key(&router), Client::connect_with_key(&router));
    client.send(&query_bytes(&look("i1", 30_000)));
    assert!(node.statement().contains("id=i1"));
    assert_ne!(key[4..], other[4..], "two clients have the same secret");
    key[7] ^= 1;
    for key in [&key, &other] {
        assert_eq!(Client::cancel(&router, key).answer(), Answer::Closed);
    }
    router.wait_for_counter("commands", "open", 1);
    router.signal("-USR1");
    assert_eq!(router.counters("commands")["left"], 0);
}

#[rstest]
#[case::query_before_cancel(true)]
#[case::cancel_before_query(false)]
fn cancel_read_together_with_a_query_ends_it_only_if_sent_after_it(#[case] query_first: bool) {
    let (_node, router) = silent_for_i1();
    let (mut client, key) = Client::connect_with_key(&router);
    router.signal("-STOP");
    // An earlier connection makes the router handle the listener before the client.
    let _other = Client::raw(&router);
    let mut cancel_connection = None;
    if !query_first {
        cancel_connection = Some(Client::cancel(&router, &key));
        // The wait is longer than the uncertainty about when bytes arrived.
        std::thread::sleep(Duration::from_millis(150));
    }
    client.send(&query_bytes(&look(if query_first { "i1" } else { "i2" }, 30_000)));
    let mut cancel_connection = cancel_connection.unwrap_or_else(|| Client::cancel(&router, &key));
    router.signal("-CONT");
    let want = if query_first { Answer::Error("57014".into(), None) } else { Answer::Row("r".into()) };
    assert_eq!((client.answer(), cancel_connection.answer()), (want, Answer::Closed));
}

#[rstest]
fn cancel_before_the_greeting_is_read_prevents_the_query() {
    let member = ManualMember::start(64, true);
    let (mut client, key) = Client::connect_with_key(&member.router);
    client.send(&query_bytes(&order("i1", 30_000)));
    let mut node = member.accept();
    // The connection is established, but the router has not written the query.
    read_packet(&mut node, true).expect("a startup packet arrives");
    member.router.signal("-STOP");
    node.write_all(&greeting()).expect("the socket is open");
    let mut cancel_connection = Client::cancel(&member.router, &key);
    member.router.signal("-CONT");
    assert_eq!(
        (client.answer(), cancel_connection.answer()),
        (Answer::Error("57014".into(), None), Answer::Closed)
    );
    drop(member);
    assert_eq!(remaining_bytes(&mut node, usize::MAX), 0, "statement bytes were sent to the member");
}
