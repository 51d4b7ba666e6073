//! Messages in pieces of one byte, each read by itself, cut in two anywhere, and many in one segment, in every form
//! that clients and members may choose.

mod common;

use common::member::*;
use common::*;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// Sends this and returns once the router has read it: what follows is read by itself.
fn say_and_be_read(router: &Router, stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).expect("the router reads");
    delivered(stream);
    router.turn();
}

/// How a sender cuts what it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    Nowhere,
    Everywhere,
    At(usize),
}

fn say(router: &Router, stream: &mut TcpStream, bytes: &[u8], cut: Cut) {
    match cut {
        Cut::Nowhere => stream.write_all(bytes).expect("the router reads"),
        Cut::Everywhere => bytes.chunks(1).for_each(|byte| say_and_be_read(router, stream, byte)),
        Cut::At(at) => {
            say_and_be_read(router, stream, &bytes[..at]);
            stream.write_all(&bytes[at..]).expect("the router reads");
        }
    }
}

/// An answer that stops for 0.1 s is taken for one that never ends. False where the pieces took as long as that, or
/// the connection ended under them.
fn say_in_time(router: &Router, stream: &mut TcpStream, bytes: &[u8], cut: Cut) -> bool {
    let pieces: Vec<&[u8]> = match cut {
        Cut::Nowhere => vec![bytes],
        Cut::Everywhere => bytes.chunks(1).collect(),
        Cut::At(at) => vec![&bytes[..at], &bytes[at..]],
    };
    pieces.into_iter().all(|piece| {
        let begun = Instant::now();
        let written = stream.write_all(piece).is_ok();
        if written {
            router.turn();
        }
        written && begun.elapsed() < Duration::from_millis(50)
    })
}

/// All that a client gets to this up to the end: kinds and bodies but for the key data, which are each one's own.
fn answers(router: &Router, bytes: &[u8], cut: Cut) -> Vec<(u8, Vec<u8>)> {
    let mut client = Client::raw(router);
    client.stream.set_nodelay(true).expect("open");
    // So many declined encryptions come first, a byte each.
    let declined = bytes.windows(8).filter(|w| w[..4] == [0, 0, 0, 8] && w[4..6] == [4, 210]).count();
    say(router, &mut client.stream, bytes, cut);
    let mut no = vec![0; declined];
    client.stream.read_exact(&mut no).expect("declined");
    assert!(no.iter().all(|byte| *byte == b'N'), "{no:?}");
    let all = std::iter::from_fn(|| read_packet(&mut client.stream, false));
    all.filter(|(kind, _)| *kind != b'K').collect()
}

const LEAVE: &[u8] = b"X\0\0\0\x04";

fn encryption(code: u32) -> Vec<u8> {
    [8u32.to_be_bytes(), code.to_be_bytes()].concat()
}

/// Startups with other parameters, and of a later minor version.
fn startup_with(version: u32, parameters: &str) -> Vec<u8> {
    let body = [&version.to_be_bytes()[..], parameters.as_bytes(), b"\0"].concat();
    [&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat()
}

fn extended() -> Vec<u8> {
    [&b"P\0\0\0\x08\0\0\0\0"[..], b"B\0\0\0\x04", b"E\0\0\0\x04", b"H\0\0\0\x04", b"S\0\0\0\x04"].concat()
}

/// The forms that clients choose. Each ends its connection, so that all answers are known.
fn form(name: &str) -> Vec<u8> {
    let asks = |id: &str| query_bytes(&look(id, 60_000));
    let three = || ["i1", "i2", "i3"].map(asks).concat();
    match name {
        "startup and its query" => [startup(3 << 16), asks("i1"), LEAVE.into()].concat(),
        "an empty query" => [startup(3 << 16), query_bytes(""), query_bytes(" ; "), LEAVE.into()].concat(),
        "queries behind one another" => [startup(3 << 16), three(), LEAVE.into()].concat(),
        "reads, writes, empty ones and refused ones" => [
            startup(3 << 16),
            asks("i1"),
            query_bytes(&order("i2", 60_000)),
            query_bytes(""),
            query_bytes("SELECT 1"),
            query_bytes(&look("i3", 0)),
            asks("i4"),
            LEAVE.into(),
        ]
        .concat(),
        "encryptions asked for first" => {
            [encryption(80_877_103), encryption(80_877_104), startup(3 << 16), three(), LEAVE.into()].concat()
        }
        "parameters of its own" => [
            startup_with(3 << 16, "user\0svc\0database\0main\0application_name\0shop\0client_encoding\0UTF8\0"),
            three(),
            LEAVE.into(),
        ]
        .concat(),
        "a later minor version" => [startup_with((3 << 16) + 2, "user\0svc\0database\0main\0"), three(), LEAVE.into()].concat(),
        "extended messages between" => {
            [startup(3 << 16), asks("i1"), extended(), asks("i2"), LEAVE.into()].concat()
        }
        "a key, a customer and a mark" => [
            startup(3 << 16),
            query_bytes("SELECT v FROM records WHERE k = 'a''b /* */' /* id=i1,c=look,t=acme,d=60000,cluster=2,r=1,after=0 */"),
            query_bytes("SELECT v FROM records WHERE k = 'k1' /* id=i2,d=60000,cluster=2,c=look,t=acme */"),
            LEAVE.into(),
        ]
        .concat(),
        other => panic!("no form '{other}'"),
    }
}

/// A member whose rows tell which command they answer.
fn by_id() -> (Node, Router) {
    let node = Node::start("primary", |s| {
        let id = s.split("id=").nth(1).and_then(|s| s.split(',').next()).unwrap_or("none");
        Reply::Send(row(id))
    });
    let router = Router::start(&[entry("s-a", &node, "ready", "primary")]);
    (node, router)
}

fn rows(answers: &[(u8, Vec<u8>)]) -> Vec<String> {
    let rows = answers.iter().filter(|(kind, _)| *kind == b'D');
    rows.map(|(_, body)| String::from_utf8_lossy(&body[6..]).into_owned()).collect()
}

#[rstest]
#[case::first("startup and its query", &["i1"])]
#[case::empty("an empty query", &[])]
#[case::queries("queries behind one another", &["i1", "i2", "i3"])]
#[case::mixed("reads, writes, empty ones and refused ones", &["i1", "i2", "i4"])]
#[case::encryption("encryptions asked for first", &["i1", "i2", "i3"])]
#[case::parameters("parameters of its own", &["i1", "i2", "i3"])]
#[case::version("a later minor version", &["i1", "i2", "i3"])]
#[case::extended("extended messages between", &["i1", "i2"])]
#[case::comment("a key, a customer and a mark", &["i1", "i2"])]
fn however_a_client_cuts_what_it_sends_it_is_answered_alike(#[case] name: &str, #[case] want: &[&str]) {
    let (_node, router) = by_id();
    let bytes = form(name);
    let whole = answers(&router, &bytes, Cut::Nowhere);
    assert_eq!(rows(&whole), want);
    assert_eq!(answers(&router, &bytes, Cut::Everywhere), whole, "a byte at a time");
    // In two, at each place that a head, a length or a text may be cut at.
    for at in (1..bytes.len()).step_by(bytes.len() / 40 + 1) {
        assert_eq!(answers(&router, &bytes, Cut::At(at)), whole, "cut at {at}");
    }
    // A client whose answers are all written takes its leave: no command of it is left open.
    router.signal("-USR1");
    assert_eq!(router.counters("commands")["open"], 0);
}

/// A cancel may come in pieces as well.
#[rstest]
fn a_cancel_in_pieces_ends_the_query_in_hand() {
    let node = Node::start("primary", |_| Reply::Silence);
    let router = Router::start(&[entry("s-a", &node, "ready", "primary")]);
    let mut client = Client::raw(&router);
    client.send(&startup(3 << 16));
    let mut key = Vec::new();
    while let (kind, body) = read_packet(&mut client.stream, false).expect("a welcome")
        && kind != b'Z'
    {
        key = if kind == b'K' { body } else { key };
    }
    client.send(&query_bytes(&look("i1", 60_000)));
    assert!(node.statement().contains("id=i1"));
    let mut asks = Client::raw(&router);
    asks.stream.set_nodelay(true).expect("open");
    let cancel = [&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &key].concat();
    let (last, before) = cancel.split_last().expect("some");
    say(&router, &mut asks.stream, before, Cut::Everywhere);
    asks.stream.write_all(&[*last]).expect("open");
    assert_eq!((asks.answer(), client.answer()), (Answer::Closed, Answer::Error("57014".into(), None)));
}

#[rstest]
#[case::fits_behind_a_command(100)]
#[case::more_than_is_held_behind_one(400)]
fn many_commands_in_one_segment_have_each_its_own_answer_in_their_order(#[case] count: usize) {
    let (_node, router) = by_id();
    let ids: Vec<String> = (0..count).map(|i| format!("i{i}")).collect();
    let all: Vec<u8> = ids.iter().flat_map(|id| query_bytes(&look(id, 60_000))).collect();
    // The whole of it lies there before anything is read.
    router.stop();
    let mut client = Client::raw(&router);
    client.send(&[startup(3 << 16), all].concat());
    delivered(&client.stream);
    router.signal("-CONT");
    assert_eq!(client.answer(), Answer::Empty);
    for id in ids {
        assert_eq!(client.answer(), Answer::Row(id));
    }
}

#[rstest]
fn many_clients_with_many_commands_at_once_have_each_their_own_answers() {
    let (_node, router) = by_id();
    let address = router.address;
    router.stop();
    let clients: Vec<_> = (0..20)
        .map(|c| {
            let mut client = Client { stream: TcpStream::connect(address).expect("it listens") };
            client.stream.set_read_timeout(Some(WAIT)).expect("a time-out");
            let all = (0..30).flat_map(|i| query_bytes(&look(&format!("c{c}-{i}"), 60_000)));
            client.send(&startup(3 << 16).into_iter().chain(all).collect::<Vec<u8>>());
            spawn(move || (c, (0..31).map(|_| client.answer()).collect::<Vec<Answer>>()))
        })
        .collect();
    router.signal("-CONT");
    for client in clients {
        let (c, answers) = client.join().expect("a client");
        let want = (0..30).map(|i| Answer::Row(format!("c{c}-{i}")));
        assert_eq!(answers, std::iter::once(Answer::Empty).chain(want).collect::<Vec<Answer>>());
    }
}

fn notice() -> Vec<u8> {
    b"N\0\0\0\x0fSNOTICE\0M\0\0".to_vec()
}

/// What a member may say to its greeting and to a query, and what the client is answered.
#[rstest]
#[case::a_row([row("r"), ready()].concat(), Answer::Row("r".into()))]
#[case::parameters_before([parameter("role", "primary"), parameter("applied_ms", "5"), row("r"), ready()].concat(), Answer::Row("r".into()))]
#[case::notices_between([notice(), row("r"), notice(), ready()].concat(), Answer::Row("r".into()))]
#[case::parameters_behind([row("r"), parameter("role", "primary"), ready()].concat(), Answer::Row("r".into()))]
#[case::an_error([code("XX000"), parameter("role", "primary"), ready()].concat(), Answer::Error("40003".into(), None))]
fn however_a_member_cuts_what_it_says_it_is_understood_alike(#[case] said: Vec<u8>, #[case] want: Answer) {
    let member = Member::start();
    let router = without_probes(&[("s-a", &member)]);
    let greeted = [
        &b"R\0\0\0\x08\0\0\0\0"[..],
        &parameter("server_version", "15"),
        b"K\0\0\0\x0c\0\0\0\x01\0\0\0\x02",
        &ready(),
    ]
    .concat();
    let cuts = std::iter::once(Cut::Everywhere).chain((1..said.len()).step_by(7).map(Cut::At));
    let mut number = 0;
    for (i, cut) in cuts.enumerate() {
        let mut in_time = false;
        // A machine too busy for the pieces to follow one another says nothing of the router: played again.
        for _ in 0..50 {
            number += 1;
            let id = format!("i{number}");
            let mut client = Client::connect(&router);
            client.send(&query_bytes(&order(&id, 60_000)));
            let mut link = member.dialled();
            link.stream.set_nodelay(true).expect("open");
            say(&router, &mut link.stream, &greeted, if i == 0 { cut } else { Cut::At(i) });
            assert!(link.asked().is_some_and(|s| s.contains(&format!("id={id},"))));
            in_time = say_in_time(&router, &mut link.stream, &said, cut);
            if in_time {
                assert_eq!(client.answer(), want, "{cut:?}");
            }
            // Each greets anew.
            let _ = link.stream.shutdown(Shutdown::Both);
            drop(link);
            router.turn();
            if in_time {
                break;
            }
        }
        assert!(in_time, "{cut:?}: never said in time, or the connection is ended each time");
    }
}
