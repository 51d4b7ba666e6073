//! Tests signals and kills that reach the router while it starts.

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

/// Time from SIGTERM to SIGKILL where the longest wait is 3 s or more, plus what a busy machine may add.
const MAX_TIME_TO_EXIT: Duration = Duration::from_millis(3_700 + 900);

fn serving_node(value: &'static str) -> Node {
    Node::start("primary", move |_| Reply::Send(row(value)))
}

fn row_answer(value: &str) -> Answer {
    Answer::Row(value.into())
}

/// A client that has sent its startup message and a query together.
fn connect_with_order(router: &Router, id: &str) -> Client {
    let mut client = Client::raw(router);
    client.send(&[startup(3 << 16), query_bytes(&order(id, 3_000))].concat());
    client
}

/// The cases give what the discovery agent sends on the first watch before SIGTERM, and after it.
#[rstest]
#[case::no_bytes("", "")]
#[case::no_bytes_then_list("", "HTTP/1.1 200 OK\r\n\r\n{list}\n")]
#[case::head_only("HTTP/1.1 200 OK\r\n\r\n", "")]
#[case::head_then_list("HTTP/1.1 200 OK\r\n\r\n", "{list}\n")]
#[case::half_of_the_list("HTTP/1.1 200 OK\r\n\r\n{half}", "")]
#[case::half_of_the_list_then_the_rest("HTTP/1.1 200 OK\r\n\r\n{half}", "{rest}\n")]
fn sigterm_during_the_first_discovery_answer_loses_no_command(
    #[case] bytes_before: &str,
    #[case] bytes_after: &str,
    #[values(true, false)] knows_list: bool,
) {
    let (first, second) = (serving_node("first"), serving_node("second"));
    let known = list(41, true, &[entry("s-a", &first, "ready", "primary")]);
    let listed = list(
        43,
        true,
        &[entry("s-a", &first, "draining", "replica"), entry("s-b", &second, "ready", "primary")],
    );
    let (half, rest) = listed.split_at(listed.len() / 2);
    let expanded =
        |text: &str| text.replace("{list}", &listed).replace("{half}", half).replace("{rest}", rest);
    let discovery = Discovery::with_handler(|_, _| {});
    let known = if knows_list { known } else { "null".into() };
    let text = with_replacements(configuration(discovery.address, 1024, 192, &known), &LONG_TIMEOUTS);
    let mut router = Router::with_discovery(discovery, &text, None);
    let mut watch = router.discovery.next_watch();
    let mut early = connect_with_order(&router, "early");
    watch.raw(&expanded(bytes_before));
    watch.wait_until_acknowledged();
    router.wait_for_loop_turn();
    router.signal("-TERM");
    let signalled = Instant::now();
    router.wait_for_log("stopping");
    let mut late = connect_with_order(&router, "late");
    watch.raw(&expanded(bytes_after));
    let want = match (bytes_after.is_empty(), knows_list) {
        (false, _) => row_answer("second"),
        (true, true) => row_answer("first"),
        // Without any list the router refuses the commands, so that clients can safely repeat them elsewhere.
        (true, false) => Answer::Error("57P03".into(), None),
    };
    for client in [&mut early, &mut late] {
        assert_eq!((client.answer(), client.answer()), (Answer::Empty, want.clone()));
        assert_eq!(client.answer(), Answer::Closed);
    }
    drop((early, late));
    let ended = router.wait();
    assert!(
        ended.success() && signalled.elapsed() < MAX_TIME_TO_EXIT,
        "{ended} after {:?}",
        signalled.elapsed()
    );
}

/// A free port outside the range of ephemeral ports, which the system assigns to outgoing connections.
fn fixed_port() -> u16 {
    let from = 20_000 + (std::process::id() % 10_000) as u16;
    (from..).find(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok()).expect("a free port")
}

/// Kills the router twice at each step of its start, with clients connected: the next router must be able to listen on
/// the same address at once.
#[rstest]
fn router_killed_during_start_can_restart_at_the_same_address() {
    let node = serving_node("r");
    let listed = list(41, true, &[entry("s-a", &node, "ready", "primary")]);
    let listens = format!("\"listen\":\"127.0.0.1:{}\"", fixed_port());
    let steps = ["", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n{\"version\":41,", "whole"];
    for step in steps.iter().chain(&steps) {
        let discovery = Discovery::with_handler(|_, _| {});
        let text = configuration(discovery.address, 1024, 192, "null");
        let text = with_replacements(text, &[("\"listen\":\"127.0.0.1:0\"", &listens)]);
        let router = Router::with_discovery(discovery, &text, None);
        let mut watch = router.discovery.next_watch();
        let mut client = connect_with_order(&router, "waits");
        if *step == "whole" {
            watch.raw(&format!("HTTP/1.1 200 OK\r\n\r\n{listed}\n"));
            assert_eq!((client.answer(), client.answer()), (Answer::Empty, row_answer("r")));
        } else {
            watch.raw(step);
            watch.wait_until_acknowledged();
            router.wait_for_loop_turn();
        }
        // Dropping the router kills the process while its client connections are open.
        drop(router);
        assert!(matches!(client.stream.peek(&mut [0]), Ok(0) | Err(_)), "the connection is still open");
    }
}

/// A router process that is reading its configuration from a named pipe.
struct ReadingRouter {
    child: Child,
    config: PathBuf,
}

impl ReadingRouter {
    fn start(name: &str) -> ReadingRouter {
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
        ReadingRouter { child, config }
    }

    /// Writes the configuration once the router has opened the pipe, and calls `between` just before the write.
    fn write_configuration(&self, text: &str, between: impl FnOnce()) {
        // Opening a pipe for writing blocks until a reader has opened it.
        let mut pipe = OpenOptions::new().write(true).open(&self.config).expect("a pipe");
        between();
        // A router that has exited by then reads nothing.
        let _ = pipe.write_all(text.as_bytes());
    }

    fn signal(&self, number: libc::c_int) {
        // SAFETY: numbers are given and none is kept.
        assert_eq!(unsafe { libc::kill(self.child.id() as libc::pid_t, number) }, 0, "a signal");
    }
}

impl Drop for ReadingRouter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Danger: a new configuration is signalled to all routers, also to one that has just been started. The signal must not
/// end that router.
#[rstest]
#[case::reload(libc::SIGHUP, "reload: discovery stays")]
#[case::counters(libc::SIGUSR1, "counters commands:")]
fn signal_during_the_configuration_read_does_not_end_the_router(
    #[case] signal: libc::c_int,
    #[case] expected_line: &str,
) {
    let node = serving_node("r");
    let listed = list(41, true, &[entry("s-a", &node, "ready", "primary")]);
    let discovery = Discovery::with_handler(move |_, watch| {
        watch.send_head();
        watch.send(&listed);
    });
    let text = configuration(discovery.address, 1024, 192, "null");
    let mut router_process = ReadingRouter::start(&signal.to_string());
    router_process.write_configuration(&text, || router_process.signal(signal));
    let lines = BufReader::new(router_process.child.stderr.take().expect("piped")).lines();
    let mut lines = lines.map_while(Result::ok);
    let serving = lines.find(|line| line.contains("serves on ")).expect("the router ended before it served");
    // A reload reads the configuration from the pipe again.
    if signal == libc::SIGHUP {
        router_process.write_configuration(&text, || {});
    }
    assert!(lines.any(|line| line.contains(expected_line)), "the expected line is not in the log");
    let address = serving.rsplit(' ').next().expect("an address");
    let mut client = Client { stream: TcpStream::connect(address).expect("it listens") };
    client.stream.set_read_timeout(Some(WAIT)).expect("the read timeout is set");
    client.send(&[startup(3 << 16), query_bytes(&order("i1", 8_000))].concat());
    assert_eq!((client.answer(), client.answer()), (Answer::Empty, row_answer("r")));
}

#[rstest]
fn sigterm_during_the_configuration_read_causes_no_crash() {
    let text = configuration(RefusingPort::start().address(), 1024, 192, "null");
    let mut router_process = ReadingRouter::start("term");
    router_process.write_configuration(&text, || router_process.signal(libc::SIGTERM));
    let signalled = Instant::now();
    let ended = router_process.child.wait().expect("it ends");
    assert!(ended.success() || ended.signal() == Some(libc::SIGTERM), "{ended}");
    assert!(signalled.elapsed() < MAX_TIME_TO_EXIT, "after {:?}", signalled.elapsed());
}
