//! The built program beside clients that leave, in every order that a leaving can come in.

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
enum Way {
    Close,
    Reset,
    HalfClose,
}

/// Ends a client's connection. What is handed back keeps a half-closed one open.
fn leave(client: Client, way: Way) -> Option<Client> {
    match way {
        Way::Close => None,
        Way::Reset => {
            SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).expect("open");
            None
        }
        Way::HalfClose => {
            client.stream.shutdown(Shutdown::Write).expect("open");
            Some(client)
        }
    }
}

/// So many queries of some 94 bytes. With 300 reading stops behind a first, and the system takes the rest unread.
fn queries(count: usize) -> Vec<u8> {
    (0..count).flat_map(|i| query_bytes(&look(&format!("behind-{i}"), 30_000))).collect()
}

/// Waits until one of the router's counters has come to this.
fn wait_for(router: &Router, line: &str, name: &str, count: u64) {
    let begun = Instant::now();
    while {
        router.signal("-USR1");
        router.counters(line)[name] < count
    } {
        assert!(begun.elapsed() < WAIT, "never {name}={count}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns once the router has acted upon all that came before this.
fn settle(router: &Router) {
    assert_eq!(Client::connect(router).query(""), Answer::Empty);
}

/// A member that the test plays by hand, and what a router must be told for it: no probe comes in between.
struct Held {
    listener: Socket,
    router: Router,
}

const ALONE: [(&str, &str); 3] = [
    ("\"may_probe\":true", "\"may_probe\":false"),
    ("\"dial_timeout_ms\":1000.0", "\"dial_timeout_ms\":60000.0"),
    ("\"drain_grace_ms\":500.0", "\"drain_grace_ms\":60000.0"),
];

impl Held {
    fn start(backlog: i32, cancel: bool) -> Held {
        let permission = ("\"cancel\":true", if cancel { "\"cancel\":true" } else { "\"cancel\":false" });
        Held::start_with(backlog, &[permission])
    }

    /// With these pieces of the settings' text in place of others as well.
    fn start_with(backlog: i32, pieces: &[(&str, &str)]) -> Held {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
        // Small pieces and buffers: the system takes a long statement in parts.
        let size: libc::c_int = 536;
        let at = (&raw const size).cast();
        // SAFETY: the system reads this one value.
        let set =
            unsafe { libc::setsockopt(listener.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_MAXSEG, at, 4) };
        assert_eq!(set, 0);
        listener.set_recv_buffer_size(4096).expect("a buffer");
        listener.set_nonblocking(true).expect("a socket");
        listener.listen(backlog).expect("it listens");
        let address = listener.local_addr().expect("bound").as_socket().expect("an address");
        let entries = [entry_at("s-a", address, "ready", "primary")];
        let router = Router::with_settings(&entries, &[&ALONE[..], pieces].concat());
        Held { listener, router }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound").as_socket().expect("an address")
    }

    /// The next connection, once it is there.
    fn accept(&self) -> TcpStream {
        let begun = Instant::now();
        loop {
            if let Ok((stream, _)) = self.listener.accept() {
                let stream = TcpStream::from(stream);
                stream.set_nonblocking(false).expect("open");
                stream.set_read_timeout(Some(WAIT)).expect("a time-out");
                return stream;
            }
            assert!(begun.elapsed() < WAIT, "nobody connects");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Reads a startup packet and answers it.
fn greet(stream: &mut TcpStream) {
    read_packet(stream, true).expect("a startup packet");
    stream.write_all(&greeting()).expect("open");
}

/// All that still comes, up to the end or to so many bytes. A reset is an end, and what came before it can be read.
fn rest(stream: &mut TcpStream, most: usize) -> usize {
    let mut all = Vec::new();
    match stream.take(most as u64).read_to_end(&mut all) {
        Err(e) if e.kind() != ErrorKind::ConnectionReset => panic!("no end: {e}"),
        _ => all.len(),
    }
}

#[rstest]
#[case::closed(Way::Close)]
#[case::reset(Way::Reset)]
#[case::half_closed(Way::HalfClose)]
fn a_leaving_behind_unread_queries_is_seen(#[case] way: Way) {
    let node = Node::start("primary", |_| Reply::Silence);
    let router = Router::start(&[entry("s-a", &node, "ready", "primary")]);
    let mut client = Client::connect(&router);
    client.stream.set_nodelay(true).expect("open");
    client.send(&query_bytes(&look("i1", 30_000)));
    assert!(node.statement().contains("id=i1"));
    client.send(&queries(300));
    settle(&router);
    let _kept = leave(client, way);
    assert_eq!(node.next(), Seen::Ended, "the command in hand is called off");
    router.signal("-USR1");
    let counters = router.counters("commands");
    assert_eq!((counters["taken"], counters["left"], counters["open"]), (1, 1, 0));
}

#[rstest]
fn a_held_command_is_not_sent_for_a_client_that_left_behind_unread_queries() {
    let node = Node::start("primary", |_| Reply::Send(row("w")));
    let router = Router::start(&[entry("s-a", &node, "draining", "primary")]);
    let mut client = Client::connect(&router);
    client.stream.set_nodelay(true).expect("open");
    client.send(&query_bytes(&order("i1", 30_000)));
    wait_for(&router, "commands", "taken", 1);
    client.send(&queries(300));
    settle(&router);
    drop(client);
    wait_for(&router, "commands", "left", 1);
    router.discovery.asked().send(&list(42, false, &[entry("s-a", &node, "ready", "primary")]));
    assert_eq!(Client::connect(&router).query(&order("i2", 30_000)), Answer::Row("w".into()));
    assert!(node.statement().contains("id=i2"));
}

/// A write of the longest value.
fn long(id: &str) -> String {
    order(id, 30_000).replace(r"\x01", &format!(r"\x{}", "07".repeat(64 * 1024)))
}

#[rstest]
fn a_statement_that_is_written_in_parts_is_written_whole() {
    let held = Held::start(64, true);
    let mut client = Client::connect(&held.router);
    client.send(&query_bytes(&long("i1")));
    let mut node = held.accept();
    greet(&mut node);
    let (kind, body) = read_packet(&mut node, false).expect("a statement");
    assert!(kind == b'Q' && body.len() > 128 * 1024, "{} bytes", body.len());
    node.write_all(&[row("w"), ready()].concat()).expect("open");
    assert_eq!(client.answer(), Answer::Row("w".into()));
}

#[derive(Clone, Copy, PartialEq)]
enum Stands {
    Dialling,
    Greeting,
    HalfWritten,
}

#[rstest]
#[case::dialling(Stands::Dialling)]
#[case::waiting_for_the_greeting(Stands::Greeting)]
#[case::half_written(Stands::HalfWritten)]
fn what_is_not_written_whole_is_taken_back_when_its_client_leaves(
    #[case] stands: Stands,
    #[values(true, false)] cancel: bool,
) {
    let held = Held::start(if stands == Stands::Dialling { 0 } else { 64 }, cancel);
    // One that is not accepted fills the queue: the next dial stands, and comes up when it is tried again.
    let first = (stands == Stands::Dialling).then(|| TcpStream::connect(held.address()).expect("it listens"));
    let mut client = Client::connect(&held.router);
    let statement = long("i1");
    client.send(&query_bytes(&statement));
    let mut node = None;
    match stands {
        Stands::Dialling => wait_for(&held.router, "connections", "dials", 1),
        Stands::Greeting => node = Some(held.accept()),
        Stands::HalfWritten => {
            let stream = node.insert(held.accept());
            greet(stream);
            assert_eq!(stream.peek(&mut [0]).expect("it begins"), 1);
        }
    }
    drop(client);
    wait_for(&held.router, "commands", "left", 1);
    settle(&held.router);
    first.is_some().then(|| held.accept());
    let mut node = node.unwrap_or_else(|| held.accept());
    if stands != Stands::HalfWritten {
        greet(&mut node);
        settle(&held.router);
        drop(held);
    }
    let came = rest(&mut node, statement.len());
    assert!(came < statement.len() && (came > 0) == (stands == Stands::HalfWritten), "{came} bytes");
}

#[rstest]
fn many_that_left_while_the_process_stood_still_have_nothing_sent_for_them() {
    let held = Held::start(64, true);
    let ask = |client: &mut Client, i: usize| client.send(&query_bytes(&look(&format!("i{i}"), 30_000)));
    let mut before: Vec<Client> = (0..25).map(|_| Client::connect(&held.router)).collect();
    before.iter_mut().enumerate().for_each(|(i, client)| ask(client, i));
    wait_for(&held.router, "commands", "taken", 25);
    // Some are sent on by now: their connections wait to be greeted.
    settle(&held.router);
    let mut after: Vec<Client> = (0..25).map(|_| Client::connect(&held.router)).collect();
    held.router.signal("-STOP");
    let mut nodes = vec![held.accept()];
    while let Ok((stream, _)) = held.listener.accept() {
        stream.set_nonblocking(false).expect("open");
        nodes.push(stream.into());
    }
    nodes.iter_mut().for_each(greet);
    after.iter_mut().enumerate().for_each(|(i, client)| ask(client, 25 + i));
    // Whatever else still holds them, as programs that are being started do: they have gone.
    before.iter().chain(&after).for_each(|c| c.stream.shutdown(Shutdown::Both).expect("open"));
    held.router.signal("-CONT");
    settle(&held.router);
    drop(held);
    let came: Vec<usize> = nodes.iter_mut().map(|node| rest(node, usize::MAX)).collect();
    assert!(came.len() > 1 && came.iter().all(|bytes| *bytes == 0), "{came:?}");
}

#[rstest]
#[case::little(300)]
#[case::more_than_is_read_at_once(1_700)]
fn who_sent_much_and_left_while_the_process_stood_still_has_nothing_begun(
    #[case] count: usize,
    #[values(true, false)] known: bool,
) {
    let node = Node::start("primary", |_| Reply::Send(row("r")));
    let router = Router::start(&[entry("s-a", &node, "ready", "primary")]);
    let connected = known.then(|| Client::connect(&router));
    router.signal("-STOP");
    // One that nobody has accepted yet waits in the listener's queue.
    let opening = if known { Vec::new() } else { startup(3 << 16) };
    let mut client = connected.unwrap_or_else(|| Client::raw(&router));
    client.stream.set_nodelay(true).expect("open");
    client.send(&[opening, queries(count)].concat());
    client.stream.shutdown(Shutdown::Both).expect("open");
    router.signal("-CONT");
    settle(&router);
    assert_eq!(Client::connect(&router).query(&look("last", 30_000)), Answer::Row("r".into()));
    drop(router);
    // The stand-in's connections tell what they carried in no order.
    let seen = std::iter::from_fn(|| node.seen.recv_timeout(Duration::from_millis(300)).ok());
    let others = |seen: &Seen| matches!(seen, Seen::Statement(s) if !s.contains("id=last"));
    assert_eq!(seen.filter(others).collect::<Vec<Seen>>(), []);
}

/// The attempts of some end so that further ones may follow, and more clients than the system tells of at once have left
/// before those whose commands they are: their leaving is told in a later turn.
#[rstest]
fn many_that_leave_at_once_have_no_further_attempt_begun() {
    const IN_HAND: usize = 4;
    let held = Held::start_with(64, &[WORTH, ("\"sockets\":1024", "\"sockets\":6000")]);
    let ask = |client: &mut Client, i: usize| client.send(&query_bytes(&look(&format!("i{i}"), 30_000)));
    let crowd: Vec<Client> = (0..1_200).map(|_| Client::connect(&held.router)).collect();
    let mut busy: Vec<Client> = (0..IN_HAND).map(|_| Client::connect(&held.router)).collect();
    busy.iter_mut().enumerate().for_each(|(i, client)| ask(client, i));
    let mut nodes: Vec<TcpStream> = (0..IN_HAND).map(|_| held.accept()).collect();
    for node in &mut nodes {
        greet(node);
        let (kind, _) = read_packet(node, false).expect("a statement");
        assert_eq!(kind, b'Q');
    }
    settle(&held.router);
    held.router.stop();
    for node in &mut nodes {
        node.write_all(&[code("XX000"), ready()].concat()).expect("open");
        delivered(node);
    }
    crowd.iter().chain(&busy).for_each(|c| c.stream.shutdown(Shutdown::Both).expect("open"));
    held.router.signal("-CONT");
    settle(&held.router);
    wait_for(&held.router, "commands", "left", IN_HAND as u64);
    // A further attempt would go out on a new connection, or on one of those that rest.
    while let Ok((stream, _)) = held.listener.accept() {
        stream.set_nonblocking(false).expect("open");
        nodes.push(stream.into());
    }
    nodes[IN_HAND..].iter_mut().for_each(greet);
    settle(&held.router);
    drop(held);
    let came: Vec<usize> = nodes.iter_mut().map(|node| rest(node, usize::MAX)).collect();
    let startups = came[IN_HAND..].iter().filter(|bytes| **bytes > 0).count();
    assert!(came[..IN_HAND].iter().all(|bytes| *bytes == 0) && startups == 0, "{came:?}");
}

/// A router beside a member that answers all but the commands named i1.
fn but_for_the_first() -> (Node, Router) {
    let answers = |s: &str| if s.contains("id=i1") { Reply::Silence } else { Reply::Send(row("r")) };
    let node = Node::start("primary", answers);
    let router = Router::start(&[entry("s-a", &node, "ready", "primary")]);
    (node, router)
}

#[rstest]
fn a_cancel_ends_the_query_in_hand_and_no_later_one() {
    let (node, router) = but_for_the_first();
    let (mut client, key) = Client::keyed(&router);
    client.send(&[query_bytes(&look("i1", 30_000)), query_bytes(&look("i2", 30_000))].concat());
    assert!(node.statement().contains("id=i1"));
    assert_eq!(Client::cancel(&router, &key).answer(), Answer::Closed);
    let cancelled = Answer::Error("57014".into(), None);
    assert_eq!((client.answer(), client.answer()), (cancelled, Answer::Row("r".into())));
    // With none in hand it asks for nothing.
    assert_eq!(Client::cancel(&router, &key).answer(), Answer::Closed);
    assert_eq!(client.query(&look("i3", 30_000)), Answer::Row("r".into()));
    router.signal("-USR1");
    let counters = router.counters("commands");
    assert_eq!((counters["left"], counters["answered"], counters["open"]), (1, 2, 0));
}

/// Its bytes and its end are read at once.
#[rstest]
fn a_cancel_whose_sender_closes_behind_it_ends_the_query() {
    let (node, router) = but_for_the_first();
    let (mut client, key) = Client::keyed(&router);
    client.send(&query_bytes(&look("i1", 30_000)));
    assert!(node.statement().contains("id=i1"));
    router.stop();
    let asks = Client::cancel(&router, &key);
    asks.stream.shutdown(Shutdown::Write).expect("open");
    delivered(&asks.stream);
    router.signal("-CONT");
    assert_eq!(client.answer(), Answer::Error("57014".into(), None));
}

#[rstest]
fn a_cancel_with_a_wrong_secret_ends_nothing() {
    let (node, router) = but_for_the_first();
    let ((mut client, mut key), (_, other)) = (Client::keyed(&router), Client::keyed(&router));
    client.send(&query_bytes(&look("i1", 30_000)));
    assert!(node.statement().contains("id=i1"));
    assert_ne!(key[4..], other[4..], "each has a secret of its own");
    key[7] ^= 1;
    for key in [&key, &other] {
        assert_eq!(Client::cancel(&router, key).answer(), Answer::Closed);
    }
    wait_for(&router, "commands", "open", 1);
    router.signal("-USR1");
    assert_eq!(router.counters("commands")["left"], 0);
}

#[rstest]
#[case::before(true)]
#[case::behind(false)]
fn a_cancel_read_with_a_query_ends_it_if_it_came_behind_it(#[case] query_first: bool) {
    let (_node, router) = but_for_the_first();
    let (mut client, key) = Client::keyed(&router);
    router.signal("-STOP");
    // One who came first: the listener is heard before the client.
    let _other = Client::raw(&router);
    let mut asks = None;
    if !query_first {
        asks = Some(Client::cancel(&router, &key));
        // Longer than when bytes came is uncertain.
        std::thread::sleep(Duration::from_millis(150));
    }
    client.send(&query_bytes(&look(if query_first { "i1" } else { "i2" }, 30_000)));
    let mut asks = asks.unwrap_or_else(|| Client::cancel(&router, &key));
    router.signal("-CONT");
    let want = if query_first { Answer::Error("57014".into(), None) } else { Answer::Row("r".into()) };
    assert_eq!((client.answer(), asks.answer()), (want, Answer::Closed));
}

#[rstest]
fn a_cancel_that_came_before_a_greeting_was_read_keeps_the_query_from_being_sent() {
    let held = Held::start(64, true);
    let (mut client, key) = Client::keyed(&held.router);
    client.send(&query_bytes(&order("i1", 30_000)));
    let mut node = held.accept();
    // The system has accepted; the router has yet to write.
    read_packet(&mut node, true).expect("a startup packet");
    held.router.signal("-STOP");
    node.write_all(&greeting()).expect("open");
    let mut asks = Client::cancel(&held.router, &key);
    held.router.signal("-CONT");
    assert_eq!((client.answer(), asks.answer()), (Answer::Error("57014".into(), None), Answer::Closed));
    drop(held);
    assert_eq!(rest(&mut node, usize::MAX), 0, "bytes of a statement");
}
