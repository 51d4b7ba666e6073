//! Tests three routers that get their settings from three control machines, while processes are killed and suspended,
//! links are cut in one direction and files are damaged. Compiled only with the `fleet` feature.
#![cfg(feature = "fleet")]

mod common;

use common::faults::Faults;
use common::{Answer, Discovery, Node, Reply, configuration, entry, list, look, query_bytes, row, startup};
use rstest::rstest;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread::sleep;
use std::time::{Duration, Instant};
use vetchkeel_chaos::{Act, Fleet, Place, Schedule, State};
use vetchkeel_link::Name;
use vetchkeel_link::fault::Fault;

/// Time limit for any single step on a busy machine.
const LIMIT: Duration = Duration::from_secs(60);
const PLAN: &str = "plan {\n beat = \"200ms\"\n say = \"200ms\"\n patience = \"2s\"\n stand = \"1s\"\n spread = \"100ms\"\n \
                    pause = \"1s\"\n home = \"20s\"\n start_wait = \"4s\"\n verdict = \"8s\"\n report = \"50ms\"\n }";
const MACHINES: [&str; 3] = ["c1", "c2", "c3"];
const ROUTERS: [&str; 3] = ["r1", "r2", "r3"];

/// Three control machines and three routers behind the fault-injecting network harness.
struct Processes {
    fleet: Fleet,
    folder: PathBuf,
    settings: Value,
    /// Number of starts of each process.
    starts: RefCell<BTreeMap<String, usize>>,
    _node: Node,
    _discovery: Discovery,
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn folder() -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, Relaxed);
    let folder = std::env::temp_dir().join(format!("vetchkeel-conf-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    folder
}

/// Settings blocks with the addresses of the other processes, which are reached through the harness.
fn peer_blocks(place: &Place, what: &str, names: &[&str]) -> String {
    let others = names.iter().filter_map(|n| Some((n, place.peers.get(&name(n))?)));
    others.map(|(n, at)| format!(" {what} \"{n}\" {{ address = \"{at}\" }}\n")).collect()
}

fn control_file(place: &Place, folder: &Path) -> String {
    let (me, at, folder) = (&place.name, place.listen, folder.display());
    format!(
        "control {{\n name = \"{me}\"\n address = \"{at}\"\n document = \"{folder}/settings.json\"\n \
         keep = \"{folder}/{me}.kept\"\n keepers = [\"c1\", \"c2\", \"c3\"]\n{}{} {PLAN}\n}}\n",
        peer_blocks(place, "machine", &MACHINES),
        peer_blocks(place, "router", &ROUTERS)
    )
}

fn router_file(place: &Place, folder: &Path) -> String {
    let (me, at, folder) = (&place.name, place.listen, folder.display());
    let machines = peer_blocks(place, "machine", &MACHINES);
    format!("configuration {{\n address = \"{at}\"\n keep = \"{folder}/{me}.kept\"\n{machines} {PLAN}\n}}\n")
}

impl Processes {
    fn start() -> Processes {
        Processes::with_machines(Vec::new())
    }

    /// Starts the control machines with these environment variables.
    fn with_machines(variables: Vec<String>) -> Processes {
        let node = Node::start("primary", |_| Reply::Send(row("value")));
        let known = list(41, true, &[entry("s-a", &node, "ready", "primary")]);
        let known_list = known.clone();
        let discovery = Discovery::with_handler(move |_, watch| {
            watch.send_head();
            watch.send(&known_list);
        });
        let text = configuration(discovery.address, 256, 192, &known);
        let config: Value = serde_json::from_str(&text).expect("JSON");
        let folder = folder();
        let files = folder.clone();
        let arguments = move |place: &Place| {
            let path = |kind: &str| files.join(format!("{}.{kind}", place.name));
            let (json, hcl) = (path("json"), path("hcl"));
            if MACHINES.contains(&place.name.as_str()) {
                std::fs::write(&hcl, control_file(place, &files)).expect("the file is written");
                let program = [env!("CARGO_BIN_EXE_control-machine").to_owned(), hcl.display().to_string()];
                return variables.iter().cloned().chain(program).collect();
            }
            std::fs::write(&json, text.replace("\"n0\"", &format!("\"{}\"", place.name)))
                .expect("the file is written");
            std::fs::write(&hcl, router_file(place, &files)).expect("the file is written");
            vec![
                format!("NODE_CONFIG={}", json.display()),
                format!("VETCHKEEL_CONFIGURATION={}", hcl.display()),
                env!("CARGO_BIN_EXE_vetchkeel-router").to_owned(),
            ]
        };
        let names: Vec<Name> = MACHINES.iter().chain(&ROUTERS).map(|n| name(n)).collect();
        let schedule = Schedule { seed: 7, ..Schedule::default() };
        let fleet = Fleet::start(Path::new("/usr/bin/env"), arguments, &names, schedule, Some(&folder));
        let fleet = fleet.expect("six processes start");
        let settings = config["settings"].clone();
        let starts = MACHINES.iter().chain(&ROUTERS).map(|n| ((*n).to_owned(), 1)).collect();
        Processes {
            fleet,
            folder,
            settings,
            starts: RefCell::new(starts),
            _node: node,
            _discovery: discovery,
        }
    }

    fn log(&self, of: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{of}.log"))).unwrap_or_default()
    }

    fn wait_until(&self, what: &str, mut condition: impl FnMut() -> bool) {
        let began = Instant::now();
        while !condition() {
            let logs: Vec<String> = MACHINES.iter().chain(&ROUTERS).map(|n| self.log(n)).collect();
            assert!(began.elapsed() < LIMIT, "{what}: not within {LIMIT:?}\n{}", logs.join("---\n"));
            sleep(Duration::from_millis(100));
        }
    }

    fn act(&self, of: &str, act: Act) {
        if act == Act::Start {
            *self.starts.borrow_mut().get_mut(of).expect("one of the six processes") += 1;
        }
        self.fleet.act(&name(of), act).expect("the harness acts");
    }

    fn signal(&self, of: &str, signal: &str) {
        let State::Runs { pid, .. } = self.fleet.state(&name(of)).expect("process state") else { return };
        assert!(Command::new("kill").args([signal, &pid.to_string()]).status().expect("kill runs").success());
    }

    /// Cuts or restores the links from all control machines to this router.
    fn cut(&self, to: &str, cut: bool) {
        let fault = Fault { cut, ..Fault::default() };
        MACHINES
            .iter()
            .for_each(|from| self.fleet.set(&name(from), &name(to), fault).expect("the fault is set"));
    }

    /// The settings with these command groups added.
    fn settings_with(&self, groups: &[&str]) -> Value {
        let mut settings = self.settings.clone();
        for group in groups {
            let group =
                json!({"name": group, "semantics": "pure", "hard_limit_ms": 60000.0, "aim_ms": 60000.0});
            settings["request_classes"].as_array_mut().expect("a list").push(group);
            settings["family_info"]["class_read"].as_array_mut().expect("a list").push("any".into());
        }
        settings
    }

    /// Writes the document and signals all control machines to publish it, until one of them logs `expected_line`.
    fn publish(&self, document: &Value, expected_line: &str) {
        let before: Vec<usize> = MACHINES.iter().map(|m| self.log(m).len()).collect();
        let path = self.folder.join("settings.json");
        std::fs::write(path, document.to_string()).expect("the file is written");
        let mut last_signal = Instant::now() - LIMIT;
        self.wait_until(expected_line, || {
            if last_signal.elapsed() > Duration::from_secs(2) {
                // Before the process serves, a signal would only end it.
                let serves = |m: &&&str| {
                    self.log(m).rsplit("\n").next().is_some() && self.log(m).contains("serves version")
                };
                MACHINES.iter().filter(serves).for_each(|m| self.signal(m, "-HUP"));
                last_signal = Instant::now();
            }
            MACHINES.iter().zip(&before).any(|(m, from)| self.log(m)[*from..].contains(expected_line))
        });
    }

    /// The address for clients of a router, as of its last start.
    fn address(&self, of: &str) -> SocketAddr {
        let mut address = None;
        self.wait_until("the router listens", || {
            let log = self.log(of);
            let lines: Vec<&str> = log.split("serves on ").skip(1).collect();
            // The log has one such line for each start.
            let last = lines.last().filter(|_| lines.len() == self.starts.borrow()[of]);
            address = last.filter(|l| l.contains('\n')).and_then(|l| l.lines().next()?.parse().ok());
            address.is_some()
        });
        address.expect("an address")
    }

    /// The answer to a command of this group; None if the router sends nothing to the client within `wait`.
    fn query(&self, of: &str, group: &str, wait: Duration) -> Option<Answer> {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let id = format!("i{}", COUNT.fetch_add(1, Relaxed));
        let mut stream = TcpStream::connect(self.address(of)).expect("it listens");
        let statement = look(&id, 50_000).replace("c=look", &format!("c={group}"));
        stream.write_all(&[startup(3 << 16), query_bytes(&statement)].concat()).expect("the bytes are sent");
        stream.set_read_timeout(Some(wait)).expect("the read timeout is set");
        let began = Instant::now();
        while let Err(e) = stream.peek(&mut [0]) {
            match e.kind() {
                // A read with a timeout returns early where the test process itself was suspended.
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                    if began.elapsed() < wait => {}
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => {
                    println!("{of} sent nothing for {:?}:\n{}", began.elapsed(), self.log(of));
                    return None;
                }
                _ => panic!("{of}, {group}: {e}\n{}", self.log(of)),
            }
        }
        stream.set_read_timeout(Some(LIMIT)).expect("the read timeout is set");
        let mut client = common::Client { stream };
        assert_eq!(client.answer(), Answer::Empty, "ready after startup");
        Some(client.answer())
    }

    fn serves(&self, of: &str, group: &str) -> bool {
        self.query(of, group, LIMIT) == Some(value_answer())
    }

    fn wait_until_all_serve(&self, group: &str) {
        self.wait_until(group, || ROUTERS.iter().all(|r| self.serves(r, group)));
    }

    /// The configuration counters that a router logs on SIGUSR1.
    fn counters(&self, of: &str) -> BTreeMap<String, String> {
        let before = self.log(of).len();
        self.signal(of, "-USR1");
        let mut line = None;
        self.wait_until("counters", || {
            let log = self.log(of);
            let found = log[before..].lines().find(|l| l.starts_with("counters configuration:"));
            line = found.filter(|l| l.contains("hung=")).map(str::to_owned);
            line.is_some()
        });
        let line = line.expect("a line");
        line.split(' ').filter_map(|p| p.split_once('=')).map(|(n, v)| (n.into(), v.into())).collect()
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn value_answer() -> Answer {
    Answer::Row("value".into())
}

fn unknown_group_answer() -> Answer {
    Answer::Error("22023".into(), None)
}

#[rstest]
fn valid_document_reaches_all_routers_and_an_invalid_one_none() {
    let processes = Processes::start();
    ROUTERS
        .iter()
        .for_each(|r| assert_eq!(processes.query(r, "fresh", LIMIT), Some(unknown_group_answer()), "{r}"));
    processes.publish(&processes.settings_with(&["fresh"]), "control: published: ");
    processes.wait_until_all_serve("fresh");
    processes.wait_until("in force everywhere", || {
        MACHINES.iter().any(|m| processes.log(m).contains("is in force everywhere: 3 routers"))
    });
    let before = processes.counters("r1")["in_force"].clone();
    processes.publish(
        &processes.settings_with(&["spoilt", "spoilt"]),
        "nothing is published: expected another name",
    );
    // The next valid document finds the last valid one in force.
    ROUTERS
        .iter()
        .for_each(|r| assert_eq!(processes.query(r, "spoilt", LIMIT), Some(unknown_group_answer()), "{r}"));
    assert_eq!(processes.counters("r1")["in_force"], before);
    processes.publish(&processes.settings_with(&["next"]), "control: published: ");
    processes.wait_until_all_serve("next");
    ROUTERS.iter().for_each(|r| {
        assert_eq!(
            processes.query(r, "fresh", LIMIT),
            Some(unknown_group_answer()),
            "{r}: a group that was removed"
        )
    });
}

/// The control machines accept a document that no router can use.
#[rstest]
fn refused_document_is_reported_and_the_last_valid_one_stays_in_force() {
    let processes = Processes::with_machines(vec!["UNCHECKED=1".into()]);
    processes.publish(&processes.settings_with(&["one"]), "control: published: ");
    processes.wait_until_all_serve("one");
    let good = processes.counters("r1")["in_force"].clone();
    processes.publish(&processes.settings_with(&["spoilt", "spoilt"]), "control: published: ");
    let why = "expected another name for each of 'request_classes'";
    processes.wait_until("all have refused", || {
        ROUTERS.iter().all(|r| processes.log(r).contains(&format!("is refused, the one before stays: {why}")))
    });
    ROUTERS.iter().for_each(|r| assert!(processes.serves(r, "one"), "{r}"));
    let counters = processes.counters("r1");
    assert_eq!((&counters["in_force"], counters["refused"].as_str()), (&good, "1"));
    processes.wait_until("the refusing routers are named", || {
        MACHINES.iter().any(|m| ROUTERS.iter().all(|r| processes.log(m).contains(&format!("{r} ({why}"))))
    });
    processes.publish(&processes.settings_with(&["one", "two"]), "control: published: ");
    processes.wait_until_all_serve("two");
}

#[rstest]
fn publishing_continues_with_a_control_machine_killed_or_suspended() {
    let processes = Processes::start();
    processes.publish(&processes.settings_with(&["one"]), "control: published: ");
    processes.wait_until_all_serve("one");
    processes.act("c1", Act::Kill);
    processes.publish(&processes.settings_with(&["one", "two"]), "control: published: ");
    processes.wait_until_all_serve("two");
    processes.act("c1", Act::Start);
    processes.wait_until("c1 serves again", || processes.log("c1").matches("serves version").count() == 2);
    processes.publish(&processes.settings_with(&["one", "two", "three"]), "control: published: ");
    processes.wait_until_all_serve("three");
    processes.act("c2", Act::Stop);
    processes.publish(&processes.settings_with(&["four"]), "control: published: ");
    processes.wait_until_all_serve("four");
    processes.act("c2", Act::Continue);
    processes.publish(&processes.settings_with(&["five"]), "control: published: ");
    processes.wait_until_all_serve("five");
}

#[rstest]
fn isolated_router_keeps_its_last_document_and_is_reported() {
    let processes = Processes::start();
    processes.publish(&processes.settings_with(&["one"]), "control: published: ");
    processes.wait_until_all_serve("one");
    processes.cut("r1", true);
    processes.wait_until("r1 counts its control machines as silent", || {
        processes.counters("r1")["silent_since_ms"] != "none"
    });
    processes.publish(&processes.settings_with(&["one", "two"]), "control: published: ");
    processes
        .wait_until("r2 and r3 serve group two", || ROUTERS[1..].iter().all(|r| processes.serves(r, "two")));
    let named = |log: String| {
        let mut verdicts =
            log.lines().filter(|l| l.contains("is not in force everywhere")).map(str::to_owned);
        verdicts.any(|l| l.contains("r1"))
    };
    processes.wait_until("r1 is named", || MACHINES.iter().any(|m| named(processes.log(m))));
    assert!(processes.serves("r1", "one"));
    assert_eq!(processes.query("r1", "two", LIMIT), Some(unknown_group_answer()));
    processes.cut("r1", false);
    processes.wait_until("r1 serves group two", || processes.serves("r1", "two"));
}

/// `damage` is applied to the router's stored settings while the router is down. Without its own copy and without a
/// control machine that it can reach, the router must not serve.
#[rstest]
#[case::stored_file_intact(|_: &Path| {}, None)]
#[case::stored_file_cut_in_half(|file: &Path| {
    let bytes = std::fs::read(file).expect("a kept file");
    std::fs::write(file, &bytes[..bytes.len() / 2]).expect("the file is written");
}, Some("is not used: a whole copy that can't be read"))]
#[case::stored_file_missing(|file: &Path| std::fs::remove_file(file).expect("a kept file"), Some("nothing was kept"))]
fn restarted_router_never_serves_under_an_older_version(
    #[case] damage: fn(&Path),
    #[case] expected_log: Option<&str>,
) {
    let processes = Processes::start();
    processes.publish(&processes.settings_with(&["one"]), "control: published: ");
    processes.wait_until_all_serve("one");
    processes.wait_until("in force everywhere before the kill", || {
        MACHINES.iter().any(|m| processes.log(m).contains("is in force everywhere: 3 routers"))
    });
    processes.act("r1", Act::Kill);
    damage(&processes.folder.join("r1.kept"));
    processes.cut("r1", true);
    processes.act("r1", Act::Start);
    // The wait is longer than a starting router waits for the control machines.
    let answer = processes.query("r1", "one", Duration::from_secs(6));
    if let Some(expected_line) = expected_log {
        assert_eq!(answer, None, "served without stored settings and without a control machine");
        // The first start also logged that nothing was kept.
        let count = 1 + usize::from(expected_line == "nothing was kept");
        assert_eq!(processes.log("r1").matches(expected_line).count(), count, "{}", processes.log("r1"));
    } else {
        let answer = answer.or_else(|| processes.query("r1", "one", LIMIT));
        assert_eq!(answer, Some(value_answer()), "served under the stored settings");
        assert!(processes.log("r1").contains("by what was kept, as no control machine is heard"));
    }
    processes.cut("r1", false);
    assert_eq!(processes.query("r1", "one", LIMIT), Some(value_answer()));
}

/// The disk is full or fails for a while: nothing that was accepted is lost, and nothing is announced before it is
/// stored.
#[rstest]
fn control_machines_resume_after_temporary_write_failures() {
    let processes = Processes::start();
    processes.publish(&processes.settings_with(&["one"]), "control: published: ");
    processes.wait_until_all_serve("one");
    // The state is first written to a file beside its final place; a folder with the name of that file makes the write
    // fail.
    let blocking_folders: Vec<PathBuf> =
        MACHINES.iter().map(|m| processes.folder.join(format!("{m}.new"))).collect();
    blocking_folders.iter().for_each(|folder| std::fs::create_dir(folder).expect("the folder is created"));
    processes.publish(&processes.settings_with(&["one", "two"]), "control: published: ");
    processes.wait_until("a failed write is logged", || {
        MACHINES.iter().any(|m| processes.log(m).contains("cannot write"))
    });
    sleep(Duration::from_secs(1));
    for machine in MACHINES {
        let state = processes.fleet.state(&name(machine)).expect("process state");
        assert!(matches!(state, State::Runs { .. }), "{machine}: {}", processes.log(machine));
    }
    ROUTERS.iter().for_each(|r| {
        assert_eq!(
            processes.query(r, "two", LIMIT),
            Some(unknown_group_answer()),
            "{r}: in force before it was stored"
        )
    });
    blocking_folders.iter().for_each(|folder| std::fs::remove_dir(folder).expect("the folder is empty"));
    // A control machine that never received the document may write by now.
    processes.wait_until("two is served", || {
        MACHINES.iter().for_each(|m| processes.signal(m, "-HUP"));
        sleep(Duration::from_secs(1));
        ROUTERS.iter().all(|r| processes.serves(r, "two"))
    });
}

/// A write of the state syncs the file and its folder, so it takes 0.9 s here.
#[rstest]
fn publishing_continues_on_slow_disks() {
    let faults = Faults::new(1);
    faults.delay_sync(Duration::from_millis(450));
    let variables = faults.environment().map(|(name, value)| format!("{name}={}", value.display()));
    let processes = Processes::with_machines(variables.to_vec());
    processes.publish(&processes.settings_with(&["one"]), "control: published: ");
    processes.wait_until_all_serve("one");
    assert!(processes.log("c1").contains("control: writing "), "a slow write is logged");
    processes.act("c1", Act::Kill);
    processes.publish(&processes.settings_with(&["one", "two"]), "control: published: ");
    processes.wait_until_all_serve("two");
}
