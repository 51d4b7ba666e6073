//! The built program from its start until it is ready, and with all client sockets taken by idle clients, while
//! discovery is down.

mod common;

use common::*;
use rstest::rstest;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

fn start_primary() -> Node {
    Node::start("primary", |_| Reply::Send(row("r")))
}

/// How the discovery agent treats a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Agent {
    /// Accepts connections and never answers.
    Silent,
    /// Does not answer the first two watches, and sends the list on later ones.
    SilentTwice,
    /// Refuses connections.
    Refuses,
}

/// Danger: the front takes a router into service once it answers an empty query. When nine in ten routers are restarted,
/// each has 10 s for that, or 6 s where the day ends sooner.
#[rstest]
#[case::silent_with_a_known_list(Agent::Silent, true, 5, true)]
#[case::silent(Agent::Silent, false, 6, false)]
#[case::refuses_with_a_known_list(Agent::Refuses, true, 5, true)]
#[case::refuses(Agent::Refuses, false, 6, false)]
#[case::silent_at_first(Agent::SilentTwice, false, 6, true)]
fn start_without_discovery_is_ready_within_6_s(
    #[case] agent: Agent,
    #[case] has_known_list: bool,
    #[case] seconds: u64,
    #[case] expect_row: bool,
) {
    let (node, refusing) = (start_primary(), RefusingPort::start());
    let members = list(41, true, &[entry("s-a", &node, "ready", "primary")]);
    let known = if has_known_list { members.clone() } else { "null".to_owned() };
    let discovery = Discovery::with_handler(move |number, watch| {
        if agent == Agent::SilentTwice && number >= 2 {
            watch.send_head();
            watch.send(&members);
        }
    });
    let address = if agent == Agent::Refuses { refusing.address() } else { discovery.address };
    let begun = Instant::now();
    let router = Router::with_discovery(discovery, &configuration(address, 1024, 192, &known), None);
    let mut client = Client::connect(&router);
    let refused = Answer::Error("57P03".into(), None);
    while client.query("") == refused {
        assert!(begun.elapsed() < WAIT, "not ready in {WAIT:?}");
        sleep(Duration::from_millis(50));
    }
    let took = begun.elapsed();
    println!("{agent:?}, known list: {has_known_list}: ready after {took:?}");
    assert!(took < Duration::from_secs(seconds), "{took:?}");
    // A router that is ready without a list refuses commands; the client can safely repeat them at another router.
    let answer = client.query(&look("i1", 5000));
    assert_eq!(answer, if expect_row { Answer::Row("r".into()) } else { refused });
}

/// Keeps this many idle connections open and opens each again when the router closes it: some send nothing, some only
/// a startup packet, some an empty query as well, and some stop in the middle of a message.
fn hold_idle_connections(address: SocketAddr, count: usize, stopped: &AtomicBool) {
    let kinds = [
        Vec::new(),
        startup(3 << 16),
        [startup(3 << 16), query_bytes("")].concat(),
        [startup(3 << 16), query_bytes(&look("half", 5000))[..20].to_vec()].concat(),
    ];
    let connect = |i: usize| {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.write_all(&kinds[i % kinds.len()]).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(stream)
    };
    let mut connections: Vec<Option<TcpStream>> = (0..count).map(connect).collect();
    while !stopped.load(Relaxed) {
        sleep(Duration::from_millis(100));
        for (i, slot) in connections.iter_mut().enumerate() {
            let is_open = |s: &TcpStream| {
                !matches!(s.peek(&mut [0]), Ok(0)) && s.take_error().is_ok_and(|e| e.is_none())
            };
            if !slot.as_ref().is_some_and(is_open) {
                *slot = connect(i);
            }
        }
    }
}

/// Sets the flag when dropped, so that the idle clients also end if the test fails.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}

/// The answer to a command that a new client sends together with its startup packet.
fn answer_to_new_client(router: &Router, id: &str) -> Answer {
    let mut client = Client::raw(router);
    client.send(&[startup(3 << 16), query_bytes(&order(id, 8000))].concat());
    assert_eq!(client.answer(), Answer::Empty, "ready after startup");
    client.answer()
}

#[rstest]
#[case::smallest_limit(256)]
#[case::largest_limit(1024)]
fn idle_clients_on_all_sockets_block_neither_the_watch_nor_new_commands(#[case] sockets: u32) {
    let (first, second, refusing) = (start_primary(), start_primary(), RefusingPort::start());
    let known = list(41, true, &[entry("s-a", &first, "ready", "primary")]);
    let members = list(
        43,
        true,
        &[entry("s-a", &first, "draining", "replica"), entry("s-b", &second, "ready", "primary")],
    );
    let text = configuration(refusing.address(), sockets, 192, &known);
    let router = Router::with_discovery(Discovery::start(), &text, None);
    router.limit_descriptors(sockets);
    let stopped = &AtomicBool::new(false);
    scope(|s| {
        let _stop = SetOnDrop(stopped);
        s.spawn(|| hold_idle_connections(router.address, sockets as usize + 50, stopped));
        let begun = Instant::now();
        while router.descriptors() < sockets as usize * 3 / 4 {
            assert!(begun.elapsed() < WAIT, "not filled in {WAIT:?}");
            sleep(Duration::from_millis(20));
        }
        let expected = Answer::Row("r".into());
        let mut held = 0;
        for i in 0..20 {
            sleep(Duration::from_millis(150));
            held = held.max(router.descriptors());
            assert_eq!(answer_to_new_client(&router, &format!("down-{i}")), expected);
        }
        let discovery = Discovery::at(refusing.open(), move |_, watch| {
            watch.send_head();
            watch.send(&members);
        });
        let restored_at = Instant::now();
        let watch = discovery.next_watch();
        assert!(watch.at - restored_at < Duration::from_secs(4), "{:?}", watch.at - restored_at);
        // Once the first command has reached the second member, all later ones go there.
        first.events.try_iter().for_each(drop);
        while second.events.try_iter().next().is_none() {
            assert!(restored_at.elapsed() < Duration::from_secs(6), "the new list is not in force");
            assert_eq!(
                answer_to_new_client(&router, &format!("back-{}", restored_at.elapsed().as_micros())),
                expected
            );
        }
        println!(
            "{sockets}: {held} descriptors held, watch opened {:?} after discovery was restored",
            watch.at - restored_at
        );
    });
}
