//! Five routers that know each other, with links cut and processes killed and stopped; only where the fleet is built in.
#![cfg(feature = "fleet")]

mod common;

use common::{Answer, Client, Discovery, Node, Reply, Router, configuration, entry, list, look, row};
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread::sleep;
use std::time::{Duration, Instant};
use vetchkeel_chaos::{Act, Fleet, Place, Schedule, State};
use vetchkeel_link::Name;
use vetchkeel_link::fault::Fault;

/// How long anything may take on a busy machine.
const LIMIT: Duration = Duration::from_secs(20);
/// A death: two rounds of probes among four others and the longest suspicion, with as much again for a busy machine.
const DEATH: Duration = Duration::from_secs(15);
/// At a period of 300 ms, one that is well is not suspected by a machine with much to do.
const PLAN: &str = "plan {\n period = \"300ms\"\n reach = \"1s\"\n compare = \"3s\"\n forget = \"1min\"\n }";

/// How one router sees the others: standing and start.
type View = BTreeMap<String, (String, String)>;

struct Five {
    fleet: Fleet,
    names: Vec<Name>,
    folder: PathBuf,
    _discovery: Discovery,
}

fn file(address: SocketAddr, rest: &str) -> String {
    format!("fleet {{\n address = \"{address}\"\n {PLAN}\n{rest}}}\n")
}

/// Others are reached through the harness, and say their own addresses.
fn of_place(place: &Place, names: &[Name]) -> String {
    let mut rest = String::new();
    for (i, name) in names.iter().enumerate().filter(|(_, name)| **name != place.name) {
        let IpAddr::V4(ip) = place.listen.ip() else { unreachable!("the harness is on IPv4") };
        let [a, b, c, _] = ip.octets();
        let own = SocketAddr::from(([a, b, c, i as u8 + 1], place.listen.port()));
        rest += &format!(" via \"{name}\" {{ address = \"{}\" }}\n", place.peers[name]);
        rest += &format!(" seed \"{name}\" {{ address = \"{own}\" }}\n");
    }
    file(place.listen, &rest)
}

fn folder() -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, Relaxed);
    let folder = std::env::temp_dir().join(format!("vetchkeel-fleet-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

impl Five {
    fn start() -> Five {
        let names: Vec<Name> = (1..=5).filter_map(|i| Name::new(&format!("r{i}"))).collect();
        let discovery = Discovery::acting(|_, asked| {
            asked.begin();
            asked.send(&list(1, true, &[]));
        });
        let (agent, all, folder) = (discovery.address, names.clone(), folder());
        let files = folder.clone();
        let arguments = move |place: &Place| {
            let path = |kind: &str| files.join(format!("{}.{kind}", place.name));
            let text =
                configuration(agent, 256, 192, "null").replace("\"n0\"", &format!("\"{}\"", place.name));
            std::fs::write(path("json"), text).expect("a file");
            std::fs::write(path("hcl"), of_place(place, &all)).expect("a file");
            let (json, hcl) = (path("json"), path("hcl"));
            vec![
                format!("NODE_CONFIG={}", json.display()),
                format!("VETCHKEEL_FLEET={}", hcl.display()),
                env!("CARGO_BIN_EXE_vetchkeel-router").to_owned(),
            ]
        };
        let schedule = Schedule { seed: 7, ..Schedule::default() };
        let fleet = Fleet::start(Path::new("/usr/bin/env"), arguments, &names, schedule, Some(&folder))
            .expect("five");
        let five = Five { fleet, names, folder, _discovery: discovery };
        five.until("all know each other", LIMIT, || (0..5).all(|i| five.sees(i, &[0, 1, 2, 3, 4], "alive")));
        five
    }

    /// What one that runs prints when it is asked: its counters and its view.
    fn printed(&self, at: usize) -> (BTreeMap<String, u64>, View) {
        let log = self.folder.join(format!("{}.log", self.names[at]));
        let read = || std::fs::read_to_string(&log).unwrap_or_default();
        let began = Instant::now();
        // Signals have no effect before it serves but to end it.
        let serves =
            |text: &str| text.rfind("fleet: this router is reached").map(|i| text[i..].contains("serves on"));
        while serves(&read()) != Some(true) {
            assert!(began.elapsed() < LIMIT, "{} does not serve: {}", self.names[at], read());
            sleep(Duration::from_millis(20));
        }
        let before = read().len();
        let state = self.fleet.state(&self.names[at]).expect("a state");
        let State::Runs { pid, .. } = state else { panic!("{state:?}: {}", read()) };
        assert!(Command::new("kill").args(["-USR1", &pid.to_string()]).status().expect("kill").success());
        loop {
            let text = read();
            if let Some(at) = text[before..].find("fleet view:")
                && let Some((view, _)) = text[before + at..].split_once('\n')
            {
                let counters =
                    text[before..].lines().find(|l| l.starts_with("counters fleet:")).expect("counters");
                let counters = counters.split(' ').filter_map(|p| p.split_once('='));
                let counters = counters.map(|(n, v)| (n.to_owned(), v.parse().expect("a number"))).collect();
                let entry = |p: &str| {
                    let (name, rest) = p.split_once('=')?;
                    let (word, start) = rest.split_once('/')?;
                    Some((name.to_owned(), (word.to_owned(), start.to_owned())))
                };
                return (counters, view.split(' ').filter_map(entry).collect());
            }
            assert!(began.elapsed() < LIMIT, "{} says nothing: {text}", self.names[at]);
            sleep(Duration::from_millis(10));
        }
    }

    /// Whether it sees all of these, itself left out, as `word`.
    fn sees(&self, at: usize, others: &[usize], word: &str) -> bool {
        let (_, view) = self.printed(at);
        let is = |o: &usize| view.get(self.names[*o].as_str()).is_some_and(|(w, _)| w == word);
        others.iter().filter(|o| **o != at).all(is)
    }

    fn until(&self, what: &str, limit: Duration, mut held: impl FnMut() -> bool) {
        let began = Instant::now();
        while !held() {
            assert!(began.elapsed() < limit, "{what}: not within {limit:?}");
            sleep(Duration::from_millis(100));
        }
    }

    fn act(&self, at: usize, act: Act) {
        self.fleet.act(&self.names[at], act).expect("done");
    }
}

impl Drop for Five {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[rstest]
fn a_killed_one_is_known_dead_and_comes_back_under_its_name() {
    let five = Five::start();
    let start = |at: usize| five.printed(at).1["r5"].1.clone();
    let first = start(0);
    five.act(4, Act::Kill);
    five.until("r5 is held dead", DEATH, || (0..4).all(|i| five.sees(i, &[4], "dead")));
    five.act(4, Act::Start);
    five.until("r5 is back", LIMIT, || (0..5).all(|i| five.sees(i, &[0, 1, 2, 3, 4], "alive")));
    let later = start(0);
    let at = |start: &str| start.split('.').next().and_then(|s| s.parse::<u64>().ok()).expect("a time");
    assert!(at(&later) > at(&first), "{first} and {later}");
    assert!((0..4).all(|i| start(i) == later), "one life for all");
}

#[rstest]
fn a_one_way_cut_kills_nobody_and_one_that_leaves_is_known_to_have_left() {
    let five = Five::start();
    let log = five.folder.join("r1.log");
    let suspicions = || std::fs::read_to_string(&log).expect("a log").matches("r2 is suspected").count();
    let (before, lost) = (suspicions(), five.fleet.datagrams().expect("counts").1);
    let cut = Fault { cut: true, ..Fault::default() };
    five.fleet.set(&five.names[0], &five.names[1], cut).expect("set");
    let held_up = || five.fleet.datagrams().expect("counts").1 - lost;
    five.until("the cut holds much up", 2 * LIMIT, || held_up() > 20);
    let deaths: Vec<u64> = (0..5).map(|i| five.printed(i).0["died"]).collect();
    assert_eq!(deaths, [0; 5]);
    // Without helpers it is suspected three to five times meanwhile.
    assert!(suspicions() <= before + 1, "probes through helpers answer for r2: {}", suspicions() - before);
    let State::Runs { pid, .. } = five.fleet.state(&five.names[2]).expect("a state") else { panic!("r3") };
    assert!(Command::new("kill").args(["-TERM", &pid.to_string()]).status().expect("kill").success());
    five.until("r3 has left", LIMIT, || [0, 1, 3, 4].iter().all(|i| five.sees(*i, &[2], "left")));
    five.until("r3 has ended well", LIMIT, || {
        five.fleet.state(&five.names[2]).expect("a state") == State::Over { code: Some(0) }
    });
}

#[rstest]
fn a_stopped_one_is_missed_and_doubts_itself_when_it_wakes() {
    let five = Five::start();
    let began = Instant::now();
    five.act(1, Act::Stop);
    let others = [0, 2, 3, 4];
    five.until("r2 is suspected", DEATH, || others.iter().all(|i| !five.sees(*i, &[1], "alive")));
    sleep(Duration::from_secs(2).saturating_sub(began.elapsed()));
    // Not seen for at least 1.7 s of its own timers, of 300 ms each: it doubts itself at once, and much.
    let log = || std::fs::read_to_string(five.folder.join("r2.log")).expect("a log");
    let before = log().len();
    five.act(1, Act::Continue);
    let much = ["6 of 8", "7 of 8", "8 of 8"].map(|level| format!("doubts itself: {level}"));
    five.until("r2 doubts itself", LIMIT, || much.iter().any(|m| log()[before..].contains(m)));
    five.until("all are back", LIMIT, || (0..5).all(|i| five.sees(i, &[0, 1, 2, 3, 4], "alive")));
    assert_eq!(five.printed(1).0["died"], 0, "who slept holds nobody dead");
}

#[rstest]
fn a_router_whose_port_is_taken_serves_alone_and_says_so() {
    let holder = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = holder.local_addr().expect("bound");
    let path = folder().join("fleet.hcl");
    std::fs::write(&path, file(address, "")).expect("a file");
    let node = Node::start("primary", |_| Reply::Send(row("value")));
    let entries = [entry("a", &node, "ready", "primary")];
    let mut router = Router::with_variable(&entries, "VETCHKEEL_FLEET", &path);
    let mut client = Client::connect(&router);
    assert_eq!(client.query(""), Answer::Empty);
    assert_eq!(client.query(&look("a1", 5_000)), Answer::Row("value".into()));
    drop(client);
    router.signal("-USR1");
    let counters = router.counters("fleet");
    assert_eq!((counters["works"], counters["stopped"]), (0, 1));
    router.signal("-TERM");
    assert!(router.wait().success());
    let _ = std::fs::remove_dir_all(path.parent().expect("a folder"));
}
