//! A router with working members dispatches to them within 4 s, whatever went before: a start, a reload, or a period
//! in which no member answered.

mod common;

use common::*;
use rstest::rstest;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// A router that makes no attempt for this long refuses all commands.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// What a member leaves unanswered while it is unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unanswered {
    /// Probes and commands.
    All,
    /// Probes only.
    Probes,
}

/// Members that may be unreachable, and when each attempt reached a working one.
struct Members {
    nodes: Vec<Node>,
    unreachable: Arc<AtomicBool>,
    attempts: Receiver<Instant>,
}

impl Members {
    /// A primary and two replicas.
    fn start(unanswered: Unanswered, unreachable: bool) -> Members {
        let (attempt_tx, attempts) = channel();
        let unreachable = Arc::new(AtomicBool::new(unreachable));
        let nodes = ["primary", "replica", "replica"].map(|role| {
            let (unreachable, attempt_tx): (_, Mutex<Sender<Instant>>) =
                (unreachable.clone(), Mutex::new(attempt_tx.clone()));
            Node::with_probe_replies(role, move |statement| {
                let probe = statement == "SHOW load";
                if unreachable.load(Relaxed) && (probe || unanswered == Unanswered::All) {
                    return Some(Reply::Nothing);
                }
                if probe {
                    return None;
                }
                attempt_tx
                    .lock()
                    .expect("one at a time")
                    .send(Instant::now())
                    .expect("the test receives attempts");
                Some(Reply::Send(row("r")))
            })
        });
        Members { nodes: nodes.into(), unreachable, attempts }
    }

    fn entries(&self) -> Vec<String> {
        let roles = ["primary", "replica", "replica"];
        let named = self.nodes.iter().zip(roles).enumerate();
        named.map(|(i, (node, role))| entry(&format!("s-{i}"), node, "ready", role)).collect()
    }

    /// Makes the members reachable again and discards earlier attempts.
    fn restore(&self) -> Instant {
        self.unreachable.store(false, Relaxed);
        self.attempts.try_iter().for_each(drop);
        Instant::now()
    }

    /// Checks that the first attempt comes soon enough after `since`.
    fn assert_attempt_soon(&self, since: Instant) {
        let first = self.attempts.recv_timeout(2 * WAIT).expect("an attempt");
        let took = first.saturating_duration_since(since);
        println!("the first attempt after {took:?}");
        assert!(took < MAX_IDLE, "{took:?} without an attempt");
    }
}

/// A client that sends one read or write after another, each with a wait of a second, until it is stopped.
fn keep_querying(address: SocketAddr, number: usize, stopped: &AtomicBool) {
    let mut client = None;
    for i in 0.. {
        if stopped.load(Relaxed) {
            return;
        }
        sleep(Duration::from_millis(20));
        let open = client.take().or_else(|| {
            let stream = TcpStream::connect(address).ok()?;
            stream.set_read_timeout(Some(WAIT)).ok()?;
            let mut client = Client { stream };
            client.send(&startup(3 << 16));
            (client.answer() == Answer::Empty).then_some(client)
        });
        let Some(mut open) = open else { continue };
        let id = format!("c{number}-{i}");
        let statement = if number.is_multiple_of(2) { look(&id, 1_000) } else { order(&id, 1_000) };
        if open.query(&statement) != Answer::Closed {
            client = Some(open);
        }
    }
}

/// Sets the flag when dropped, so that the clients also end if the test fails.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}

/// Runs this while clients send commands.
fn with_clients(address: SocketAddr, run: impl FnOnce()) {
    let stopped = &AtomicBool::new(false);
    scope(|s| {
        let _stop = SetOnDrop(stopped);
        (0..6).for_each(|number| _ = s.spawn(move || keep_querying(address, number, stopped)));
        run();
    });
}

/// A discovery agent that answers each watch with this list.
fn discovery_with_list(members: String) -> Discovery {
    Discovery::with_handler(move |_, watch| {
        watch.send_head();
        watch.send(&members);
    })
}

#[rstest]
#[case::agent_sends_its_list(true, false)]
#[case::silent_agent_with_a_known_list(false, true)]
fn attempts_begin_soon_after_a_start(#[case] sends_list: bool, #[case] has_known_list: bool) {
    let members = Members::start(Unanswered::All, false);
    let member_list = list(41, true, &members.entries());
    let known = if has_known_list { member_list.clone() } else { "null".into() };
    let discovery =
        if sends_list { discovery_with_list(member_list) } else { Discovery::with_handler(|_, _| {}) };
    let started = Instant::now();
    let text = configuration(discovery.address, 1024, 192, &known);
    let router = Router::with_discovery(discovery, &text, None);
    with_clients(router.address, || members.assert_attempt_soon(started));
}

#[rstest]
#[case::nothing_answered_at_first(Unanswered::All, 3_000)]
#[case::no_probe_answered_at_first(Unanswered::Probes, 3_000)]
fn attempts_begin_soon_once_members_unreachable_at_the_start_recover(
    #[case] unanswered: Unanswered,
    #[case] outage_ms: u64,
) {
    let members = Members::start(unanswered, true);
    let router = Router::start(&members.entries());
    with_clients(router.address, || {
        sleep(Duration::from_millis(outage_ms));
        let restored_at = members.restore();
        members.assert_attempt_soon(restored_at);
    });
}

/// The new list names one member, which recovers just as the router has marked it broken and would pause its probes.
#[rstest]
fn attempts_begin_soon_when_the_new_member_recovers_after_failed_probes() {
    let (old, new) = (Members::start(Unanswered::All, false), Members::start(Unanswered::All, true));
    let router = Router::start(&old.entries());
    let member = new.entries()[0].replace("\"s-0\"", "\"t-0\"");
    let new_discovery = discovery_with_list(list(3, true, &[member]));
    with_clients(router.address, || {
        old.assert_attempt_soon(Instant::now());
        router.reload(&configuration(new_discovery.address, 1024, 192, "null"));
        (0..2).for_each(|_| _ = router.wait_for_log("node t-0: Probe ended"));
        let restored_at = new.restore();
        new.assert_attempt_soon(restored_at);
    });
}

#[rstest]
#[case::nothing_answered(Unanswered::All)]
#[case::no_probe_answered(Unanswered::Probes)]
fn attempts_begin_soon_after_all_members_were_unreachable(#[case] unanswered: Unanswered) {
    let members = Members::start(unanswered, false);
    let router = Router::start(&members.entries());
    with_clients(router.address, || {
        members.assert_attempt_soon(Instant::now());
        members.unreachable.store(true, Relaxed);
        sleep(Duration::from_secs(14));
        let restored_at = members.restore();
        members.assert_attempt_soon(restored_at);
    });
}

#[rstest]
#[case::old_members_removed(true)]
#[case::old_members_draining_and_silent(false)]
fn attempts_begin_soon_after_a_reload_to_other_members(#[case] removed: bool) {
    let (old, new) = (Members::start(Unanswered::All, false), Members::start(Unanswered::All, false));
    let router = Router::start(&old.entries());
    let mut entries: Vec<String> = new.entries().iter().map(|e| e.replace("\"s-", "\"t-")).collect();
    if !removed {
        // The old members drain, and the new ones take their place.
        entries.extend(
            old.entries().iter().map(|e| e.replace("ready", "draining").replace("primary", "replica")),
        );
    }
    let new_discovery = discovery_with_list(list(3, true, &entries));
    let text = configuration(new_discovery.address, 1024, 192, "null");
    with_clients(router.address, || {
        old.assert_attempt_soon(Instant::now());
        old.unreachable.store(true, Relaxed);
        sleep(Duration::from_secs(3));
        let reloaded = Instant::now();
        router.reload(&text);
        new.assert_attempt_soon(reloaded);
    });
}
