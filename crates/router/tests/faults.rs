//! Tests the router while its system calls fail in the ways that Linux documents, with healthy members.

mod common;

use common::faults::*;
use common::*;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// Client timeout in milliseconds, and how late after it an answer still counts.
const CLIENT_TIMEOUT: u32 = 2_000;
const MAX_LATENESS: Duration = Duration::from_millis(500);
const CLIENTS: usize = 4;
const COMMANDS: usize = 150;
/// Connections to members that a router of 40 descriptors may hold.
const MAX_MEMBER_CONNECTIONS: usize = 5;
/// Commands that a client sends on one connection.
const COMMANDS_PER_CONNECTION: usize = 10;

/// Settings under which a command is worth sending for as long as its client waits, and a connect attempt times out
/// after a quarter of a second.
const SETTINGS: [(&str, &str); 2] =
    [FULL_BENEFIT, ("\"dial_timeout_ms\":1000.0", "\"dial_timeout_ms\":250.0")];

fn discovery_agent(entries: &[String]) -> Discovery {
    let known = list(41, true, entries);
    Discovery::with_handler(move |_, watch| {
        watch.send_head();
        watch.send(&known);
        let mut watch = watch.second_handle();
        thread::spawn(move || {
            for _ in 0..60 {
                thread::sleep(Duration::from_secs(1));
                watch.raw("1\r\n\n\r\n");
            }
        });
    })
}

/// One database set: a primary and two replicas that answer immediately.
struct Members {
    nodes: Vec<Node>,
}

impl Members {
    fn start() -> Members {
        let nodes = ["primary", "replica", "replica"];
        Members { nodes: nodes.map(|role| Node::start(role, |_| Reply::Send(row("r")))).into() }
    }

    fn entries(&self) -> Vec<String> {
        let roles = ["primary", "replica", "replica"];
        let entry = |(at, node): (usize, &Node)| entry(&format!("s-{at}"), node, "ready", roles[at]);
        self.nodes.iter().enumerate().map(entry).collect()
    }

    fn router(&self, faults: &Faults) -> Router {
        let discovery = discovery_agent(&self.entries());
        let text = with_replacements(configuration(discovery.address, 1024, 192, "null"), &SETTINGS);
        Router::with_faults(discovery, &text, faults)
    }
}

/// The answer to a command, and how long it took.
type Outcome = (Answer, Duration);

fn client(router: SocketAddr, name: usize) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while outcomes.len() < COMMANDS {
        let mut client = Client::at(router);
        for _ in 0..COMMANDS_PER_CONNECTION {
            let id = format!("c{name}-{}", outcomes.len());
            let statement =
                if outcomes.len() % 3 == 0 { order(&id, CLIENT_TIMEOUT) } else { look(&id, CLIENT_TIMEOUT) };
            let begun = Instant::now();
            let answer = client.query(&statement);
            outcomes.push((answer, begun.elapsed()));
            thread::sleep(Duration::from_millis(2));
        }
    }
    outcomes
}

fn served(outcomes: &[Outcome]) -> usize {
    outcomes.iter().filter(|(answer, _)| *answer == Answer::Row("r".into())).count()
}

/// Checks that every command has its final answer in time, and that at most `max_given_up` are given up.
fn assert_outcomes(outcomes: &[Outcome], max_given_up: usize) {
    let ended =
        outcomes.iter().filter(|(answer, _)| matches!(answer, Answer::Closed | Answer::Empty)).count();
    let most = Duration::from_millis(CLIENT_TIMEOUT as u64) + MAX_LATENESS;
    let late = outcomes.iter().filter(|(_, took)| *took > most).count();
    let given_up = outcomes.len() - served(outcomes);
    let longest = outcomes.iter().map(|(_, took)| *took).max();
    println!(
        "{} commands: {given_up} not served, {ended} not answered, {late} late, {longest:?}",
        outcomes.len()
    );
    assert_eq!((ended, late), (0, 0), "not answered, late");
    assert!(given_up <= max_given_up, "{given_up} of {} not served", outcomes.len());
}

fn run_clients(router: &Router) -> Vec<Outcome> {
    let address = router.address;
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|name| scope.spawn(move || client(address, name))).collect();
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect()
    })
}

#[rstest]
#[case::no_fault(&[])]
#[case::short_writes(&[(Fault::ShortSend, 500_000)])]
#[case::interrupted_writes(&[(Fault::InterruptedSend, 200_000)])]
#[case::starved_writes(&[(Fault::NoBufferSend, 50_000)])]
#[case::short_reads(&[(Fault::ShortReceive, 500_000)])]
#[case::interrupted_reads(&[(Fault::InterruptedReceive, 200_000)])]
#[case::interrupted_polls(&[(Fault::InterruptedPoll, 300_000)])]
#[case::refused_writes(&[(Fault::BlockedSend, 50_000)])]
#[case::refused_reads(&[(Fault::BlockedReceive, 50_000)])]
#[case::short_and_refused_reads(&[(Fault::ShortReceive, 500_000), (Fault::BlockedReceive, 50_000)])]
#[case::failed_accepts(&[(Fault::FailedAccept, 300_000)])]
#[case::failed_connects(&[(Fault::FailedConnect, 800_000)])]
#[case::interrupted_connects(&[(Fault::InterruptedConnect, 500_000)])]
#[case::failed_sockets(&[(Fault::FailedSocket, 800_000)])]
fn failing_system_calls_lose_no_command(#[case] failing: &[(Fault, u64)]) {
    let (members, faults) = (Members::start(), Faults::new(1));
    let router = members.router(&faults);
    failing.iter().for_each(|(fault, in_a_million)| faults.set(*fault, *in_a_million));
    let outcomes = run_clients(&router);
    failing.iter().for_each(|(fault, _)| assert!(faults.injected(*fault) > 0, "{fault:?} was not injected"));
    assert_outcomes(&outcomes, 0);
}

/// Without permission to cancel, commands of clients that left keep every descriptor for members in use. Guards against
/// a router that takes the lack of a descriptor for a failure of the member.
#[rstest]
fn descriptor_exhaustion_marks_no_member_dead() {
    let release = Arc::new(AtomicBool::new(false));
    let released = release.clone();
    let node = Node::start("primary", move |_| {
        while !released.load(Relaxed) {
            thread::sleep(Duration::from_millis(1));
        }
        Reply::Send(row("r"))
    });
    let cold_rules = "\"drain_grace_ms\":500.0,\"start_capacity\":0.001,\"warm_after_ms\":60000.0";
    let pieces =
        [FULL_BENEFIT, ("\"cancel\":true", "\"cancel\":false"), ("\"drain_grace_ms\":500.0", cold_rules)];
    let discovery = discovery_agent(&[entry("s-a", &node, "ready", "primary")]);
    let text = with_replacements(configuration(discovery.address, 40, 192, "null"), &pieces);
    let router = Router::with_discovery(discovery, &text, None);
    for number in 0..MAX_MEMBER_CONNECTIONS {
        let mut client = Client::connect(&router);
        client.send(&query_bytes(&order(&format!("left-{number}"), 20_000)));
        assert!(node.statement().contains(&format!("left-{number}")));
    }
    let address = router.address;
    let waiting = thread::spawn(move || Client::at(address).query(&order("waits", 5_000)));
    router.wait_for_log("all descriptors for nodes are in use");
    thread::sleep(Duration::from_millis(300));
    release.store(true, Relaxed);
    assert_eq!(waiting.join().expect("a client"), Answer::Row("r".into()));
    for number in 0..20 {
        let served = Client::connect(&router).query(&order(&format!("behind-{number}"), 5_000));
        assert_eq!(served, Answer::Row("r".into()), "{number}");
    }
}

/// Sends commands of an unknown group, which the router answers with an error and logs.
fn send_invalid_commands(router: &Router) {
    let invalid = |number: usize| format!("SELECT {number} /* id=w{number},c=nothing,d=100,cluster=2 */");
    for number in 0..20 {
        let answer = Client::connect(router).query(&invalid(number));
        assert_eq!(answer, Answer::Error("22023".into(), None), "{number}");
    }
}

#[rstest]
fn log_write_failures_lose_no_command() {
    let (members, faults) = (Members::start(), Faults::new(1));
    let mut router = members.router(&faults);
    faults.set(Fault::FailedLog, ALWAYS);
    send_invalid_commands(&router);
    router.signal("-USR1");
    router.signal("-HUP");
    assert_outcomes(&run_clients(&router), 0);
    assert!(faults.injected(Fault::FailedLog) > 0, "no log write failed");
    router.signal("-TERM");
    assert!(router.wait().success());
}

#[rstest]
fn unread_log_pipe_loses_no_command() {
    let (members, faults) = (Members::start(), Faults::new(1));
    let mut router = members.router(&faults);
    router.log_paused.store(true, Relaxed);
    // The log lines are more than a pipe holds.
    for _ in 0..400 {
        router.signal("-USR1");
    }
    send_invalid_commands(&router);
    assert_outcomes(&run_clients(&router), 0);
    router.signal("-TERM");
    assert!(router.wait().success());
}

/// The system grants fewer descriptors than the settings of the router give.
#[rstest]
fn clients_connect_when_the_system_grants_fewer_descriptors_than_configured() {
    let (members, faults) = (Members::start(), Faults::new(1));
    let router = members.router(&faults);
    router.limit_descriptors(48);
    let connect_and_query = |number: usize| {
        let mut client = Client::connect(&router);
        let answer = client.query(&look(&format!("stay-{number}"), CLIENT_TIMEOUT));
        assert_eq!(answer, Answer::Row("r".into()), "{number}");
        client
    };
    let begun = Instant::now();
    // Each client sends one command and stays connected.
    let staying: Vec<Client> = (0..60).map(connect_and_query).collect();
    assert!(begun.elapsed() < Duration::from_secs(10), "{:?} for {}", begun.elapsed(), staying.len());
}
