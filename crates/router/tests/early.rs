//! Signals and kills that meet the program while it starts.

mod common;

use common::*;
use rstest::rstest;
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// From SIGTERM to SIGKILL, where the longest wait is 3 s or more, and what a busy machine may add here.
const LIVES: Duration = Duration::from_millis(3_700 + 900);

fn served(value: &'static str) -> Node {
    Node::start("primary", move |_| Reply::Send(row(value)))
}

fn with(value: &str) -> Answer {
    Answer::Row(value.into())
}

/// A client that has sent its startup and a query at once.
fn asks(router: &Router, id: &str) -> Client {
    let mut client = Client::raw(router);
    client.send(&[startup(3 << 16), query_bytes(&order(id, 3_000))].concat());
    client
}

/// What the agent says to the first watch before SIGTERM, and behind it.
#[rstest]
#[case::nothing("", "")]
#[case::nothing_and_its_list_late("", "HTTP/1.1 200 OK\r\n\r\n{list}\n")]
#[case::its_head("HTTP/1.1 200 OK\r\n\r\n", "")]
#[case::its_head_and_its_list_late("HTTP/1.1 200 OK\r\n\r\n", "{list}\n")]
#[case::half_its_list("HTTP/1.1 200 OK\r\n\r\n{half}", "")]
#[case::half_its_list_and_the_rest_late("HTTP/1.1 200 OK\r\n\r\n{half}", "{rest}\n")]
fn sigterm_during_the_first_answer_loses_nobody(
    #[case] before: &str,
    #[case] behind: &str,
    #[values(true, false)] knows: bool,
) {
    let (first, second) = (served("first"), served("second"));
    let known = list(41, true, &[entry("s-a", &first, "ready", "primary")]);
    let told = list(
        43,
        true,
        &[entry("s-a", &first, "draining", "replica"), entry("s-b", &second, "ready", "primary")],
    );
    let (half, rest) = told.split_at(told.len() / 2);
    let said = |text: &str| text.replace("{list}", &told).replace("{half}", half).replace("{rest}", rest);
    let discovery = Discovery::acting(|_, _| {});
    let known = if knows { known } else { "null".into() };
    let text = with_pieces(configuration(discovery.address, 1024, 192, &known), &PATIENT);
    let mut router = Router::beside(discovery, &text, None);
    let mut watch = router.discovery.asked();
    let mut early = asks(&router, "early");
    watch.raw(&said(before));
    watch.delivered();
    router.turn();
    router.signal("-TERM");
    let told = Instant::now();
    router.logged("stopping");
    let mut late = asks(&router, "late");
    watch.raw(&said(behind));
    let want = match (behind.is_empty(), knows) {
        (false, _) => with("second"),
        (true, true) => with("first"),
        // Without any list it refuses: a repeat elsewhere is harmless.
        (true, false) => Answer::Error("57P03".into(), None),
    };
    for client in [&mut early, &mut late] {
        assert_eq!((client.answer(), client.answer()), (Answer::Empty, want.clone()));
        assert_eq!(client.answer(), Answer::Closed);
    }
    drop((early, late));
    let ended = router.wait();
    assert!(ended.success() && told.elapsed() < LIVES, "{ended} after {:?}", told.elapsed());
}

/// A port that is not among those that the system gives to whoever connects.
fn port() -> u16 {
    let from = 20_000 + (std::process::id() % 10_000) as u16;
    (from..).find(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok()).expect("a free port")
}

/// Killed again and again at each step of its start, with clients in hand, it comes up at the same address.
#[rstest]
fn whoever_was_killed_early_starts_again_at_once() {
    let node = served("r");
    let told = list(41, true, &[entry("s-a", &node, "ready", "primary")]);
    let listens = format!("\"listen\":\"127.0.0.1:{}\"", port());
    let steps = ["", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n{\"version\":41,", "whole"];
    for step in steps.iter().chain(&steps) {
        let discovery = Discovery::acting(|_, _| {});
        let text = configuration(discovery.address, 1024, 192, "null");
        let text = with_pieces(text, &[("\"listen\":\"127.0.0.1:0\"", &listens)]);
        let router = Router::beside(discovery, &text, None);
        let mut watch = router.discovery.asked();
        let mut waits = asks(&router, "waits");
        if *step == "whole" {
            watch.raw(&format!("HTTP/1.1 200 OK\r\n\r\n{told}\n"));
            assert_eq!((waits.answer(), waits.answer()), (Answer::Empty, with("r")));
        } else {
            watch.raw(step);
            watch.delivered();
            router.turn();
        }
        // It goes out of scope: killed, with its clients' connections open.
        drop(router);
        assert!(matches!(waits.stream.peek(&mut [0]), Ok(0) | Err(_)), "not ended");
    }
}

/// The program while it reads its configuration, which comes by a pipe.
struct Reading {
    child: Child,
    config: PathBuf,
}

impl Reading {
    fn start(name: &str) -> Reading {
        let config = std::env::temp_dir().join(format!("vetchkeel-early-{}-{name}", std::process::id()));
        let path = std::ffi::CString::new(config.to_str().expect("a path")).expect("no zero");
        // SAFETY: the system reads the path.
        let made = unsafe { libc::mkfifo(path.as_ptr(), 0o600) };
        assert_eq!(made, 0, "a pipe");
        let child = Command::new(env!("CARGO_BIN_EXE_vetchkeel-router"))
            .env("NODE_CONFIG", &config)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        Reading { child, config }
    }

    /// Gives the configuration once the program has opened the pipe, and does this in between.
    fn give(&self, text: &str, between: impl FnOnce()) {
        // Opening waits for the reader.
        let mut pipe = OpenOptions::new().write(true).open(&self.config).expect("a pipe");
        between();
        // Whoever has ended by then reads nothing.
        let _ = pipe.write_all(text.as_bytes());
    }

    fn signal(&self, number: libc::c_int) {
        // SAFETY: numbers are given and none is kept.
        assert_eq!(unsafe { libc::kill(self.child.id() as libc::pid_t, number) }, 0, "a signal");
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Danger: a new configuration is told to all, and one of them has just been started.
#[rstest]
#[case::reload(libc::SIGHUP, "reload: discovery stays")]
#[case::counters(libc::SIGUSR1, "counters commands:")]
fn a_signal_while_the_configuration_is_read_ends_nothing(#[case] signal: libc::c_int, #[case] then: &str) {
    let node = served("r");
    let told = list(41, true, &[entry("s-a", &node, "ready", "primary")]);
    let discovery = Discovery::acting(move |_, asked| {
        asked.begin();
        asked.send(&told);
    });
    let text = configuration(discovery.address, 1024, 192, "null");
    let mut reading = Reading::start(&signal.to_string());
    reading.give(&text, || reading.signal(signal));
    let lines = BufReader::new(reading.child.stderr.take().expect("piped")).lines();
    let mut lines = lines.map_while(Result::ok);
    let serving = lines.find(|line| line.contains("serves on ")).expect("it ended");
    // A reload reads the pipe again.
    if signal == libc::SIGHUP {
        reading.give(&text, || {});
    }
    assert!(lines.any(|line| line.contains(then)), "it ended");
    let address = serving.rsplit(' ').next().expect("an address");
    let mut client = Client { stream: TcpStream::connect(address).expect("it listens") };
    client.stream.set_read_timeout(Some(WAIT)).expect("a time-out");
    client.send(&[startup(3 << 16), query_bytes(&order("i1", 8_000))].concat());
    assert_eq!((client.answer(), client.answer()), (Answer::Empty, with("r")));
}

#[rstest]
fn sigterm_while_the_configuration_is_read_is_no_crash() {
    let text = configuration(Refusing::start().address(), 1024, 192, "null");
    let mut reading = Reading::start("term");
    reading.give(&text, || reading.signal(libc::SIGTERM));
    let told = Instant::now();
    let ended = reading.child.wait().expect("it ends");
    assert!(ended.success() || ended.signal() == Some(libc::SIGTERM), "{ended}");
    assert!(told.elapsed() < LIVES, "after {:?}", told.elapsed());
}
