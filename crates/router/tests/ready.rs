//! The built program from its start until it is ready, and with idle clients in every place, while discovery is down.

mod common;

use common::*;
use rstest::rstest;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

fn served() -> Node {
    Node::start("primary", |_| Reply::Send(row("r")))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Agent {
    /// Accepts and says nothing, to the first two or for ever.
    Silent,
    SilentTwice,
    Refuses,
}

/// Danger: the front takes in whoever answers an empty query. Nine in ten started again have 10 s for that, 6 s where the
/// day ends sooner.
#[rstest]
#[case::silent_with_a_list_known(Agent::Silent, true, 5, true)]
#[case::silent(Agent::Silent, false, 6, false)]
#[case::refuses_with_a_list_known(Agent::Refuses, true, 5, true)]
#[case::refuses(Agent::Refuses, false, 6, false)]
#[case::silent_at_first(Agent::SilentTwice, false, 6, true)]
fn a_start_is_ready_inside_6_s(
    #[case] agent: Agent,
    #[case] knows: bool,
    #[case] seconds: u64,
    #[case] serves: bool,
) {
    let (node, refusing) = (served(), Refusing::start());
    let told = list(41, true, &[entry("s-a", &node, "ready", "primary")]);
    let known = if knows { told.clone() } else { "null".to_owned() };
    let discovery = Discovery::acting(move |number, asked| {
        if agent == Agent::SilentTwice && number >= 2 {
            asked.begin();
            asked.send(&told);
        }
    });
    let address = if agent == Agent::Refuses { refusing.address() } else { discovery.address };
    let begun = Instant::now();
    let router = Router::beside(discovery, &configuration(address, 1024, 192, &known), None);
    let mut client = Client::connect(&router);
    let refused = Answer::Error("57P03".into(), None);
    while client.query("") == refused {
        assert!(begun.elapsed() < WAIT, "not ready in {WAIT:?}");
        sleep(Duration::from_millis(50));
    }
    let took = begun.elapsed();
    println!("{agent:?}, a list known: {knows}: ready after {took:?}");
    assert!(took < Duration::from_secs(seconds), "{took:?}");
    // Ready without any list, it refuses: a repeat elsewhere is harmless.
    let answer = client.query(&look("i1", 5000));
    assert_eq!(answer, if serves { Answer::Row("r".into()) } else { refused });
}

/// Connections that stay, and come again when they are ended: silent ones, ones that have said who they are, ones
/// that asked for nothing, and ones in the middle of a message.
fn fill(address: SocketAddr, count: usize, over: &AtomicBool) {
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
    let mut crowd: Vec<Option<TcpStream>> = (0..count).map(connect).collect();
    while !over.load(Relaxed) {
        sleep(Duration::from_millis(100));
        for (i, place) in crowd.iter_mut().enumerate() {
            let rests = |s: &TcpStream| {
                !matches!(s.peek(&mut [0]), Ok(0)) && s.take_error().is_ok_and(|e| e.is_none())
            };
            if !place.as_ref().is_some_and(rests) {
                *place = connect(i);
            }
        }
    }
}

/// Ends the crowd, also where the test fails.
struct Over<'a>(&'a AtomicBool);

impl Drop for Over<'_> {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}

/// The answer to a command that comes with its client.
fn asks(router: &Router, id: &str) -> Answer {
    let mut client = Client::raw(router);
    client.send(&[startup(3 << 16), query_bytes(&order(id, 8000))].concat());
    assert_eq!(client.answer(), Answer::Empty, "ready after startup");
    client.answer()
}

#[rstest]
#[case::the_fewest(256)]
#[case::the_most(1024)]
fn idle_clients_in_every_place_keep_out_neither_the_watch_nor_who_asks(#[case] sockets: u32) {
    let (first, second, refusing) = (served(), served(), Refusing::start());
    let known = list(41, true, &[entry("s-a", &first, "ready", "primary")]);
    let told = list(
        43,
        true,
        &[entry("s-a", &first, "draining", "replica"), entry("s-b", &second, "ready", "primary")],
    );
    let text = configuration(refusing.address(), sockets, 192, &known);
    let router = Router::beside(Discovery::start(), &text, None);
    router.limit_descriptors(sockets);
    let over = &AtomicBool::new(false);
    scope(|s| {
        let _end = Over(over);
        s.spawn(|| fill(router.address, sockets as usize + 50, over));
        let begun = Instant::now();
        while router.descriptors() < sockets as usize * 3 / 4 {
            assert!(begun.elapsed() < WAIT, "not filled in {WAIT:?}");
            sleep(Duration::from_millis(20));
        }
        let served = Answer::Row("r".into());
        let mut held = 0;
        for i in 0..20 {
            sleep(Duration::from_millis(150));
            held = held.max(router.descriptors());
            assert_eq!(asks(&router, &format!("down-{i}")), served);
        }
        let discovery = Discovery::at(refusing.open(), move |_, asked| {
            asked.begin();
            asked.send(&told);
        });
        let back = Instant::now();
        let asked = discovery.asked();
        assert!(asked.at - back < Duration::from_secs(4), "{:?}", asked.at - back);
        // From the first that goes there on all do.
        first.seen.try_iter().for_each(drop);
        while second.seen.try_iter().next().is_none() {
            assert!(back.elapsed() < Duration::from_secs(6), "the list is not had");
            assert_eq!(asks(&router, &format!("back-{}", back.elapsed().as_micros())), served);
        }
        println!("{sockets}: {held} descriptors held, asked {:?} after discovery was back", asked.at - back);
    });
}
