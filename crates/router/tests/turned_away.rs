//! A router whose members work sends to them within 4 s, whatever went before: a start, a reload, or a while in which
//! none of them answered.

mod common;

use common::*;
use rstest::rstest;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// With no attempt for so long a router turns away all that it gets.
const IDLE_MOST: Duration = Duration::from_secs(4);

/// What a member leaves unanswered while it is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lost {
    /// Its probes and its commands.
    All,
    /// Its probes alone.
    Probes,
}

/// Members that may be out of reach, and when each attempt came to one that works.
struct Members {
    nodes: Vec<Node>,
    out: Arc<AtomicBool>,
    attempts: Receiver<Instant>,
}

impl Members {
    /// A primary and two replicas.
    fn start(lost: Lost, out: bool) -> Members {
        let (tell, attempts) = channel();
        let out = Arc::new(AtomicBool::new(out));
        let nodes = ["primary", "replica", "replica"].map(|role| {
            let (out, tell): (_, Mutex<Sender<Instant>>) = (out.clone(), Mutex::new(tell.clone()));
            Node::probed(role, move |statement| {
                let probe = statement == "SHOW load";
                if out.load(Relaxed) && (probe || lost == Lost::All) {
                    return Some(Reply::Silence);
                }
                if probe {
                    return None;
                }
                tell.lock().expect("one at a time").send(Instant::now()).expect("the test listens");
                Some(Reply::Send(row("r")))
            })
        });
        Members { nodes: nodes.into(), out, attempts }
    }

    fn entries(&self) -> Vec<String> {
        let roles = ["primary", "replica", "replica"];
        let named = self.nodes.iter().zip(roles).enumerate();
        named.map(|(i, (node, role))| entry(&format!("s-{i}"), node, "ready", role)).collect()
    }

    /// In reach again. No attempt that came before counts.
    fn back(&self) -> Instant {
        self.out.store(false, Relaxed);
        self.attempts.try_iter().for_each(drop);
        Instant::now()
    }

    fn begins_again(&self, since: Instant) {
        let first = self.attempts.recv_timeout(2 * WAIT).expect("an attempt");
        let took = first.saturating_duration_since(since);
        println!("the first attempt after {took:?}");
        assert!(took < IDLE_MOST, "{took:?} without an attempt");
    }
}

/// Clients that ask one read or write after another, each waiting for a second, until the scope's end.
fn ask_on(address: SocketAddr, number: usize, over: &AtomicBool) {
    let mut client = None;
    for i in 0.. {
        if over.load(Relaxed) {
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

struct Over<'a>(&'a AtomicBool);

impl Drop for Over<'_> {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}

/// Runs this while clients ask.
fn beside_clients(address: SocketAddr, run: impl FnOnce()) {
    let over = &AtomicBool::new(false);
    scope(|s| {
        let _end = Over(over);
        (0..6).for_each(|number| _ = s.spawn(move || ask_on(address, number, over)));
        run();
    });
}

fn telling(told: String) -> Discovery {
    Discovery::acting(move |_, asked| {
        asked.begin();
        asked.send(&told);
    })
}

#[rstest]
#[case::that_tells_its_list(true, false)]
#[case::silent_with_a_list_known(false, true)]
fn after_a_start_beside_an_agent(#[case] tells: bool, #[case] knows: bool) {
    let members = Members::start(Lost::All, false);
    let told = list(41, true, &members.entries());
    let known = if knows { told.clone() } else { "null".into() };
    let discovery = if tells { telling(told) } else { Discovery::acting(|_, _| {}) };
    let started = Instant::now();
    let text = configuration(discovery.address, 1024, 192, &known);
    let router = Router::beside(discovery, &text, None);
    beside_clients(router.address, || members.begins_again(started));
}

#[rstest]
#[case::all_is_lost_at_first(Lost::All, 3_000)]
#[case::probes_are_lost_at_first(Lost::Probes, 3_000)]
fn after_a_start_whose_members_are_out_of_reach_at_first(#[case] lost: Lost, #[case] out: u64) {
    let members = Members::start(lost, true);
    let router = Router::start(&members.entries());
    beside_clients(router.address, || {
        sleep(Duration::from_millis(out));
        let back = members.back();
        members.begins_again(back);
    });
}

/// The new list names one member, which is back just as the router holds it for broken and would let it rest.
#[rstest]
fn after_a_reload_whose_member_is_back_once_it_is_in_doubt() {
    let (old, new) = (Members::start(Lost::All, false), Members::start(Lost::All, true));
    let router = Router::start(&old.entries());
    let named = new.entries()[0].replace("\"s-0\"", "\"t-0\"");
    let other = telling(list(3, true, &[named]));
    beside_clients(router.address, || {
        old.begins_again(Instant::now());
        router.reload(&configuration(other.address, 1024, 192, "null"));
        (0..2).for_each(|_| _ = router.logged("node t-0: Probe ended"));
        let back = new.back();
        new.begins_again(back);
    });
}

#[rstest]
#[case::all(Lost::All)]
#[case::probes(Lost::Probes)]
fn after_all_members_were_in_doubt(#[case] lost: Lost) {
    let members = Members::start(lost, false);
    let router = Router::start(&members.entries());
    beside_clients(router.address, || {
        members.begins_again(Instant::now());
        members.out.store(true, Relaxed);
        sleep(Duration::from_secs(14));
        let back = members.back();
        members.begins_again(back);
    });
}

#[rstest]
#[case::and_the_old_are_gone(true)]
#[case::and_the_old_are_silent(false)]
fn after_a_reload_that_names_other_members(#[case] gone: bool) {
    let (old, new) = (Members::start(Lost::All, false), Members::start(Lost::All, false));
    let router = Router::start(&old.entries());
    let mut entries: Vec<String> = new.entries().iter().map(|e| e.replace("\"s-", "\"t-")).collect();
    if !gone {
        // They drain, and the new take their places.
        entries.extend(
            old.entries().iter().map(|e| e.replace("ready", "draining").replace("primary", "replica")),
        );
    }
    let other = telling(list(3, true, &entries));
    let text = configuration(other.address, 1024, 192, "null");
    beside_clients(router.address, || {
        old.begins_again(Instant::now());
        old.out.store(true, Relaxed);
        sleep(Duration::from_secs(3));
        let reloaded = Instant::now();
        router.reload(&text);
        new.begins_again(reloaded);
    });
}
