//! A member behind a way whose time varies sends a second copy of its answers, which arrives after the connection could have
//! been used again. Each client compares the value with its command, and the member counts what runs.

mod common;

use common::member::Member;
use common::*;
use rstest::rstest;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const CLIENTS: usize = 6;
const COMMANDS: usize = 30;
/// The member refuses these statements with 53300, by their number. More would keep the router from sending.
const REFUSED: [usize; 3] = [8, 30, 60];
/// What the client waits at most, in milliseconds.
const CLIENT_WAIT: u32 = 8_000;

/// What the member does with an empty query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EmptyQuery {
    Answered,
    Ignored,
    Closes,
}

/// How long an answer takes, and how much later its copy arrives.
#[derive(Clone, Copy, Debug)]
struct Delays {
    answer: Duration,
    copy: Duration,
}

/// The way back to the router: bytes arrive at a given time, in the order in which they were sent.
struct Way(Sender<(Instant, Vec<u8>)>);

impl Way {
    fn new(mut stream: TcpStream) -> Way {
        let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
        thread::spawn(move || {
            for (due, bytes) in receiver {
                sleep(due.saturating_duration_since(Instant::now()));
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
        });
        Way(sender)
    }

    fn send(&self, after: Duration, bytes: &[u8]) {
        let _ = self.0.send((Instant::now() + after, bytes.to_vec()));
    }
}

/// A member that runs each statement it doesn't refuse, and sends each answer twice.
struct CopyingMember {
    empty_query: EmptyQuery,
    delays: Delays,
    refuses: bool,
    statements: Mutex<usize>,
    runs: Mutex<HashMap<String, u32>>,
}

impl CopyingMember {
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        // Otherwise a copy is held back until the answer before it is acknowledged.
        stream.set_nodelay(true).ok()?;
        read_packet(&mut stream, true)?;
        let way = Way::new(stream.try_clone().ok()?);
        way.send(Duration::ZERO, &common::member::greeting());
        while let Some((b'Q', body)) = read_packet(&mut stream, false) {
            let statement = String::from_utf8_lossy(&body).into_owned();
            let Some(id) = statement.split_once("id=").and_then(|(_, rest)| rest.split(',').next()) else {
                match self.empty_query {
                    EmptyQuery::Answered => way.send(Duration::ZERO, &empty_query_answer()),
                    EmptyQuery::Ignored => {}
                    EmptyQuery::Closes => return stream.shutdown(std::net::Shutdown::Both).ok(),
                }
                continue;
            };
            let answer = [self.run(id), ready()].concat();
            way.send(self.delays.answer, &answer);
            way.send(self.delays.answer + self.delays.copy, &answer);
        }
        Some(())
    }

    fn run(&self, id: &str) -> Vec<u8> {
        let mut statements = self.statements.lock().expect("no panic");
        *statements += 1;
        if self.refuses && REFUSED.contains(&*statements) {
            return error_response("53300");
        }
        *self.runs.lock().expect("no panic").entry(id.to_owned()).or_default() += 1;
        row(id)
    }

    /// Starts the member on this listener.
    fn start(self, member: &Member) -> Arc<CopyingMember> {
        let copying = Arc::new(self);
        let (listener, serving) = (member.listener.try_clone().expect("a handle"), copying.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        copying
    }
}

/// Sends commands one after another; returns how many were answered.
fn run_client(mut client: Client, client_number: usize, write: bool) -> usize {
    let mut answered = 0;
    for number in 0..COMMANDS {
        let id = format!("c{client_number}x{number}");
        let statement = if write { order(&id, CLIENT_WAIT) } else { look(&id, CLIENT_WAIT) };
        match client.query(&statement) {
            Answer::Row(value) => {
                assert_eq!(value, id, "a value that was made for another command");
                answered += 1;
            }
            Answer::Error(code, _) => assert_eq!(code, "53300", "only refusals are expected"),
            other => panic!("{other:?}"),
        }
    }
    answered
}

/// Guards against a late second copy of an answer that is taken for the answer of the next command on its connection: a value
/// made for another command, or a write that is sent again although it runs, as a copied refusal ended it.
#[rstest]
#[case::some_ms_later(EmptyQuery::Answered, 5, 8)]
#[case::much_later(EmptyQuery::Answered, 10, 60)]
#[case::member_ignores_empty_queries(EmptyQuery::Ignored, 40, 25)]
#[case::member_closes_on_empty_queries(EmptyQuery::Closes, 40, 25)]
fn late_copy_is_not_taken_for_the_next_answer(
    #[case] empty_query: EmptyQuery,
    #[case] answer_ms: u64,
    #[case] copy_ms: u64,
    #[values(false, true)] write: bool,
) {
    let delays = Delays { answer: Duration::from_millis(answer_ms), copy: Duration::from_millis(copy_ms) };
    let member = Member::start();
    let (statements, runs) = (Mutex::default(), Mutex::default());
    let copying = CopyingMember { empty_query, delays, refuses: write, statements, runs }.start(&member);
    let router = member::without_probes_replacing(&[("s-a", &member)], &[FULL_BENEFIT]);
    let clients = (0..CLIENTS).map(|number| {
        let client = Client::connect(&router);
        thread::spawn(move || run_client(client, number, write))
    });
    let clients: Vec<_> = clients.collect();
    let answered = clients.into_iter().map(|c| c.join().expect("no wrong answer")).sum::<usize>();
    let runs = copying.runs.lock().expect("no panic");
    assert!(runs.values().all(|times| *times == 1 || !write), "an effect twice: {runs:?}");
    assert!(answered >= CLIENTS * COMMANDS / 2, "{answered} answered");
}
