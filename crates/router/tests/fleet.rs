//! Tests five routers that know each other, while links are cut and processes are killed and suspended. Compiled only
//! with the `fleet` feature.
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

/// Time limit for any single step on a busy machine.
const LIMIT: Duration = Duration::from_secs(20);
/// Time limit for a router to be declared dead: two rounds of probes among the four others and the longest suspicion
/// period, doubled for a busy machine.
const DEATH: Duration = Duration::from_secs(15);
/// With a probe period of 300 ms, a healthy router is not suspected on a busy machine.
const PLAN: &str = "plan {\n period = \"300ms\"\n reach = \"1s\"\n compare = \"3s\"\n forget = \"1min\"\n }";

/// One router's view of the others by name: status and start.
type View = BTreeMap<String, (String, String)>;

/// Five routers behind the fault-injecting network harness.
struct Routers {
    fleet: Fleet,
    names: Vec<Name>,
    folder: PathBuf,
    _discovery: Discovery,
}

fn fleet_file(address: SocketAddr, rest: &str) -> String {
    format!("fleet {{\n address = \"{address}\"\n {PLAN}\n{rest}}}\n")
}

/// The fleet file of one router. The other routers are reached through the harness, and announce their own addresses.
fn fleet_file_of(place: &Place, names: &[Name]) -> String {
    let mut rest = String::new();
    for (i, name) in names.iter().enumerate().filter(|(_, name)| **name != place.name) {
        let IpAddr::V4(ip) = place.listen.ip() else { unreachable!("the harness is on IPv4") };
        let [a, b, c, _] = ip.octets();
        let own = SocketAddr::from(([a, b, c, i as u8 + 1], place.listen.port()));
        rest += &format!(" via \"{name}\" {{ address = \"{}\" }}\n", place.peers[name]);
        rest += &format!(" seed \"{name}\" {{ address = \"{own}\" }}\n");
    }
    fleet_file(place.listen, &rest)
}

fn folder() -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, Relaxed);
    let folder = std::env::temp_dir().join(format!("vetchkeel-fleet-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    folder
}

impl Routers {
    fn start() -> Routers {
        let names: Vec<Name> = (1..=5).filter_map(|i| Name::new(&format!("r{i}"))).collect();
        let discovery = Discovery::with_handler(|_, watch| {
            watch.send_head();
            watch.send(&list(1, true, &[]));
        });
        let (agent, all, folder) = (discovery.address, names.clone(), folder());
        let files = folder.clone();
        let arguments = move |place: &Place| {
            let path = |kind: &str| files.join(format!("{}.{kind}", place.name));
            let text =
                configuration(agent, 256, 192, "null").replace("\"n0\"", &format!("\"{}\"", place.name));
            std::fs::write(path("json"), text).expect("the file is written");
            std::fs::write(path("hcl"), fleet_file_of(place, &all)).expect("the file is written");
            let (json, hcl) = (path("json"), path("hcl"));
            vec![
                format!("NODE_CONFIG={}", json.display()),
                format!("VETCHKEEL_FLEET={}", hcl.display()),
                env!("CARGO_BIN_EXE_vetchkeel-router").to_owned(),
            ]
        };
        let schedule = Schedule { seed: 7, ..Schedule::default() };
        let fleet = Fleet::start(Path::new("/usr/bin/env"), arguments, &names, schedule, Some(&folder))
            .expect("five processes start");
        let routers = Routers { fleet, names, folder, _discovery: discovery };
        routers.wait_until("all know each other", LIMIT, || {
            (0..5).all(|i| routers.sees(i, &[0, 1, 2, 3, 4], "alive"))
        });
        routers
    }

    /// The counters and the fleet view that a running router logs on SIGUSR1.
    fn counters_and_view(&self, at: usize) -> (BTreeMap<String, u64>, View) {
        let log = self.folder.join(format!("{}.log", self.names[at]));
        let read = || std::fs::read_to_string(&log).unwrap_or_default();
        let began = Instant::now();
        // Before the router serves, a signal would only end it.
        let serves =
            |text: &str| text.rfind("fleet: this router is reached").map(|i| text[i..].contains("serves on"));
        while serves(&read()) != Some(true) {
            assert!(began.elapsed() < LIMIT, "{} does not serve: {}", self.names[at], read());
            sleep(Duration::from_millis(20));
        }
        let before = read().len();
        let state = self.fleet.state(&self.names[at]).expect("process state");
        let State::Runs { pid, .. } = state else { panic!("{state:?}: {}", read()) };
        assert!(
            Command::new("kill").args(["-USR1", &pid.to_string()]).status().expect("kill runs").success()
        );
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
            assert!(began.elapsed() < LIMIT, "{} logged no counters: {text}", self.names[at]);
            sleep(Duration::from_millis(10));
        }
    }

    /// Whether this router sees all of `others`, except itself, with the status `word`.
    fn sees(&self, at: usize, others: &[usize], word: &str) -> bool {
        let (_, view) = self.counters_and_view(at);
        let has_status = |o: &usize| view.get(self.names[*o].as_str()).is_some_and(|(w, _)| w == word);
        others.iter().filter(|o| **o != at).all(has_status)
    }

    fn wait_until(&self, what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
        let began = Instant::now();
        while !condition() {
            assert!(began.elapsed() < limit, "{what}: not within {limit:?}");
            sleep(Duration::from_millis(100));
        }
    }

    fn act(&self, at: usize, act: Act) {
        self.fleet.act(&self.names[at], act).expect("the harness acts");
    }
}

impl Drop for Routers {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[rstest]
fn killed_router_is_declared_dead_and_rejoins_under_its_name() {
    let routers = Routers::start();
    let start = |at: usize| routers.counters_and_view(at).1["r5"].1.clone();
    let first = start(0);
    routers.act(4, Act::Kill);
    routers.wait_until("r5 is declared dead", DEATH, || (0..4).all(|i| routers.sees(i, &[4], "dead")));
    routers.act(4, Act::Start);
    routers.wait_until("r5 is back", LIMIT, || (0..5).all(|i| routers.sees(i, &[0, 1, 2, 3, 4], "alive")));
    let later = start(0);
    let at = |start: &str| start.split('.').next().and_then(|s| s.parse::<u64>().ok()).expect("a time");
    assert!(at(&later) > at(&first), "{first} and {later}");
    assert!((0..4).all(|i| start(i) == later), "the routers differ on the start of r5");
}

#[rstest]
fn one_way_cut_declares_nobody_dead_and_a_departure_is_seen_as_left() {
    let routers = Routers::start();
    let log = routers.folder.join("r1.log");
    let suspicions =
        || std::fs::read_to_string(&log).expect("the log is readable").matches("r2 is suspected").count();
    let (before, lost) = (suspicions(), routers.fleet.datagrams().expect("the datagrams are counted").1);
    let cut = Fault { cut: true, ..Fault::default() };
    routers.fleet.set(&routers.names[0], &routers.names[1], cut).expect("the fault is set");
    let held_up = || routers.fleet.datagrams().expect("the datagrams are counted").1 - lost;
    routers.wait_until("the cut drops more than 20 datagrams", 2 * LIMIT, || held_up() > 20);
    let deaths: Vec<u64> = (0..5).map(|i| routers.counters_and_view(i).0["died"]).collect();
    assert_eq!(deaths, [0; 5]);
    // Without indirect probes, r2 would be suspected three to five times in this time.
    assert!(
        suspicions() <= before + 1,
        "r2 was suspected in spite of indirect probes: {}",
        suspicions() - before
    );
    let State::Runs { pid, .. } = routers.fleet.state(&routers.names[2]).expect("process state") else {
        panic!("r3")
    };
    assert!(Command::new("kill").args(["-TERM", &pid.to_string()]).status().expect("kill runs").success());
    routers.wait_until("r3 has left", LIMIT, || [0, 1, 3, 4].iter().all(|i| routers.sees(*i, &[2], "left")));
    routers.wait_until("r3 has exited with code 0", LIMIT, || {
        routers.fleet.state(&routers.names[2]).expect("process state") == State::Over { code: Some(0) }
    });
}

#[rstest]
fn suspended_router_is_suspected_and_distrusts_its_own_probes_on_resume() {
    let routers = Routers::start();
    let began = Instant::now();
    routers.act(1, Act::Stop);
    let others = [0, 2, 3, 4];
    routers.wait_until("r2 is suspected", DEATH, || others.iter().all(|i| !routers.sees(*i, &[1], "alive")));
    sleep(Duration::from_secs(2).saturating_sub(began.elapsed()));
    // Its own timers, of 300 ms each, are late by at least 1.7 s, so the router lowers the trust in its own probes at
    // once, and by much.
    let log = || std::fs::read_to_string(routers.folder.join("r2.log")).expect("the log is readable");
    let before = log().len();
    routers.act(1, Act::Continue);
    let high_levels =
        ["6 of 8", "7 of 8", "8 of 8"].map(|level| format!("local health of this router: {level}"));
    routers.wait_until("r2 lowers the trust in its own probes", LIMIT, || {
        high_levels.iter().any(|m| log()[before..].contains(m))
    });
    routers.wait_until("all are back", LIMIT, || (0..5).all(|i| routers.sees(i, &[0, 1, 2, 3, 4], "alive")));
    assert_eq!(routers.counters_and_view(1).0["died"], 0, "the suspended router declared others dead");
}

#[rstest]
fn router_whose_fleet_port_is_taken_serves_without_the_fleet() {
    let holder = UdpSocket::bind("127.0.0.1:0").expect("the port is bound");
    let address = holder.local_addr().expect("bound");
    let path = folder().join("fleet.hcl");
    std::fs::write(&path, fleet_file(address, "")).expect("the file is written");
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
    let _ = std::fs::remove_dir_all(path.parent().expect("the folder is created"));
}
