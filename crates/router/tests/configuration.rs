//! Three routers under three control machines, with processes killed and stopped, links cut one way and files broken; only
//! where the fleet is built in.
#![cfg(feature = "fleet")]

mod common;

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

/// How long anything may take on a busy machine.
const LIMIT: Duration = Duration::from_secs(60);
const PLAN: &str = "plan {\n beat = \"200ms\"\n say = \"200ms\"\n patience = \"2s\"\n stand = \"1s\"\n spread = \"100ms\"\n \
                    pause = \"1s\"\n home = \"20s\"\n start_wait = \"4s\"\n verdict = \"8s\"\n report = \"50ms\"\n }";
const MACHINES: [&str; 3] = ["c1", "c2", "c3"];
const ROUTERS: [&str; 3] = ["r1", "r2", "r3"];

struct Six {
    fleet: Fleet,
    folder: PathBuf,
    settings: Value,
    /// Of each process.
    starts: RefCell<BTreeMap<String, usize>>,
    _node: Node,
    _discovery: Discovery,
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn folder() -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, Relaxed);
    let folder = std::env::temp_dir().join(format!("vetchkeel-conf-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Others are reached through the harness.
fn blocks(place: &Place, what: &str, names: &[&str]) -> String {
    let others = names.iter().filter_map(|n| Some((n, place.peers.get(&name(n))?)));
    others.map(|(n, at)| format!(" {what} \"{n}\" {{ address = \"{at}\" }}\n")).collect()
}

fn control_file(place: &Place, folder: &Path) -> String {
    let (me, at, folder) = (&place.name, place.listen, folder.display());
    format!(
        "control {{\n name = \"{me}\"\n address = \"{at}\"\n document = \"{folder}/settings.json\"\n \
         keep = \"{folder}/{me}.kept\"\n keepers = [\"c1\", \"c2\", \"c3\"]\n{}{} {PLAN}\n}}\n",
        blocks(place, "machine", &MACHINES),
        blocks(place, "router", &ROUTERS)
    )
}

fn router_file(place: &Place, folder: &Path) -> String {
    let (me, at, folder) = (&place.name, place.listen, folder.display());
    let machines = blocks(place, "machine", &MACHINES);
    format!("configuration {{\n address = \"{at}\"\n keep = \"{folder}/{me}.kept\"\n{machines} {PLAN}\n}}\n")
}

impl Six {
    fn start() -> Six {
        Six::with_machines(&[])
    }

    /// Control machines with these variables.
    fn with_machines(variables: &'static [&'static str]) -> Six {
        let node = Node::start("primary", |_| Reply::Send(row("value")));
        let known = list(41, true, &[entry("s-a", &node, "ready", "primary")]);
        let told = known.clone();
        let discovery = Discovery::acting(move |_, asked| {
            asked.begin();
            asked.send(&told);
        });
        let text = configuration(discovery.address, 256, 192, &known);
        let config: Value = serde_json::from_str(&text).expect("JSON");
        let folder = folder();
        let files = folder.clone();
        let arguments = move |place: &Place| {
            let path = |kind: &str| files.join(format!("{}.{kind}", place.name));
            let (json, hcl) = (path("json"), path("hcl"));
            if MACHINES.contains(&place.name.as_str()) {
                std::fs::write(&hcl, control_file(place, &files)).expect("a file");
                let program = [env!("CARGO_BIN_EXE_control-machine").to_owned(), hcl.display().to_string()];
                return variables.iter().map(|v| (*v).to_owned()).chain(program).collect();
            }
            std::fs::write(&json, text.replace("\"n0\"", &format!("\"{}\"", place.name))).expect("a file");
            std::fs::write(&hcl, router_file(place, &files)).expect("a file");
            vec![
                format!("NODE_CONFIG={}", json.display()),
                format!("VETCHKEEL_CONFIGURATION={}", hcl.display()),
                env!("CARGO_BIN_EXE_vetchkeel-router").to_owned(),
            ]
        };
        let names: Vec<Name> = MACHINES.iter().chain(&ROUTERS).map(|n| name(n)).collect();
        let schedule = Schedule { seed: 7, ..Schedule::default() };
        let fleet = Fleet::start(Path::new("/usr/bin/env"), arguments, &names, schedule, Some(&folder));
        let fleet = fleet.expect("six processes");
        let settings = config["settings"].clone();
        let starts = MACHINES.iter().chain(&ROUTERS).map(|n| ((*n).to_owned(), 1)).collect();
        Six { fleet, folder, settings, starts: RefCell::new(starts), _node: node, _discovery: discovery }
    }

    fn log(&self, of: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{of}.log"))).unwrap_or_default()
    }

    fn until(&self, what: &str, mut held: impl FnMut() -> bool) {
        let began = Instant::now();
        while !held() {
            let logs: Vec<String> = MACHINES.iter().chain(&ROUTERS).map(|n| self.log(n)).collect();
            assert!(began.elapsed() < LIMIT, "{what}: not within {LIMIT:?}\n{}", logs.join("---\n"));
            sleep(Duration::from_millis(100));
        }
    }

    fn act(&self, of: &str, act: Act) {
        if act == Act::Start {
            *self.starts.borrow_mut().get_mut(of).expect("one of the six") += 1;
        }
        self.fleet.act(&name(of), act).expect("done");
    }

    fn signal(&self, of: &str, signal: &str) {
        let State::Runs { pid, .. } = self.fleet.state(&name(of)).expect("a state") else { return };
        assert!(Command::new("kill").args([signal, &pid.to_string()]).status().expect("kill").success());
    }

    /// The links from all control machines to this router.
    fn cut(&self, to: &str, cut: bool) {
        let fault = Fault { cut, ..Fault::default() };
        MACHINES.iter().for_each(|from| self.fleet.set(&name(from), &name(to), fault).expect("set"));
    }

    /// The settings with these further command groups.
    fn with(&self, groups: &[&str]) -> Value {
        let mut settings = self.settings.clone();
        for group in groups {
            let group =
                json!({"name": group, "semantics": "pure", "hard_limit_ms": 60000.0, "aim_ms": 60000.0});
            settings["request_classes"].as_array_mut().expect("a list").push(group);
            settings["family_info"]["class_read"].as_array_mut().expect("a list").push("any".into());
        }
        settings
    }

    /// Writes the document and asks all machines to publish it, until one has said this.
    fn publish(&self, document: &Value, says: &str) {
        let before: Vec<usize> = MACHINES.iter().map(|m| self.log(m).len()).collect();
        let path = self.folder.join("settings.json");
        std::fs::write(path, document.to_string()).expect("a file");
        let mut asked = Instant::now() - LIMIT;
        self.until(says, || {
            if asked.elapsed() > Duration::from_secs(2) {
                // Signals have no effect before it serves but to end it.
                let serves = |m: &&&str| {
                    self.log(m).rsplit("\n").next().is_some() && self.log(m).contains("serves version")
                };
                MACHINES.iter().filter(serves).for_each(|m| self.signal(m, "-HUP"));
                asked = Instant::now();
            }
            MACHINES.iter().zip(&before).any(|(m, from)| self.log(m)[*from..].contains(says))
        });
    }

    /// A router's clients connect here, since its last start.
    fn address(&self, of: &str) -> SocketAddr {
        let mut address = None;
        self.until("it listens", || {
            let log = self.log(of);
            let lines: Vec<&str> = log.split("serves on ").skip(1).collect();
            // One line for each start.
            let last = lines.last().filter(|_| lines.len() == self.starts.borrow()[of]);
            address = last.filter(|l| l.contains('\n')).and_then(|l| l.lines().next()?.parse().ok());
            address.is_some()
        });
        address.expect("an address")
    }

    /// What a command of this group is answered; None: nobody is let in.
    fn ask(&self, of: &str, group: &str, wait: Duration) -> Option<Answer> {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let id = format!("i{}", COUNT.fetch_add(1, Relaxed));
        let mut stream = TcpStream::connect(self.address(of)).expect("it listens");
        let statement = look(&id, 50_000).replace("c=look", &format!("c={group}"));
        stream.write_all(&[startup(3 << 16), query_bytes(&statement)].concat()).expect("sent");
        stream.set_read_timeout(Some(wait)).expect("a time-out");
        let began = Instant::now();
        while let Err(e) = stream.peek(&mut [0]) {
            match e.kind() {
                // A wait with a time-out ends early where the test's own process was held up.
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                    if began.elapsed() < wait => {}
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => {
                    println!("{of} says nothing for {:?}:\n{}", began.elapsed(), self.log(of));
                    return None;
                }
                _ => panic!("{of}, {group}: {e}\n{}", self.log(of)),
            }
        }
        stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
        let mut client = common::Client { stream };
        assert_eq!(client.answer(), Answer::Empty, "ready after startup");
        Some(client.answer())
    }

    fn serves(&self, of: &str, group: &str) -> bool {
        self.ask(of, group, LIMIT) == Some(value())
    }

    fn all_serve(&self, group: &str) {
        self.until(group, || ROUTERS.iter().all(|r| self.serves(r, group)));
    }

    /// What a router prints when it is asked.
    fn counters(&self, of: &str) -> BTreeMap<String, String> {
        let before = self.log(of).len();
        self.signal(of, "-USR1");
        let mut line = None;
        self.until("counters", || {
            let log = self.log(of);
            let found = log[before..].lines().find(|l| l.starts_with("counters configuration:"));
            line = found.filter(|l| l.contains("hung=")).map(str::to_owned);
            line.is_some()
        });
        let line = line.expect("a line");
        line.split(' ').filter_map(|p| p.split_once('=')).map(|(n, v)| (n.into(), v.into())).collect()
    }
}

impl Drop for Six {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn value() -> Answer {
    Answer::Row("value".into())
}

fn unknown() -> Answer {
    Answer::Error("22023".into(), None)
}

#[rstest]
fn a_change_is_in_force_everywhere_and_a_broken_one_nowhere() {
    let six = Six::start();
    ROUTERS.iter().for_each(|r| assert_eq!(six.ask(r, "fresh", LIMIT), Some(unknown()), "{r}"));
    six.publish(&six.with(&["fresh"]), "control: published: ");
    six.all_serve("fresh");
    six.until("known to be everywhere", || {
        MACHINES.iter().any(|m| six.log(m).contains("is in force everywhere: 3 routers"))
    });
    let before = six.counters("r1")["in_force"].clone();
    six.publish(&six.with(&["spoilt", "spoilt"]), "nothing is published: expected another name");
    // A good one behind it finds the one before in force.
    ROUTERS.iter().for_each(|r| assert_eq!(six.ask(r, "spoilt", LIMIT), Some(unknown()), "{r}"));
    assert_eq!(six.counters("r1")["in_force"], before);
    six.publish(&six.with(&["next"]), "control: published: ");
    six.all_serve("next");
    ROUTERS.iter().for_each(|r| {
        assert_eq!(six.ask(r, "fresh", LIMIT), Some(unknown()), "{r}: a group that was removed")
    });
}

/// The machines take what no router can use.
#[rstest]
fn what_routers_refuse_is_named_and_the_last_good_one_stays() {
    let six = Six::with_machines(&["UNCHECKED=1"]);
    six.publish(&six.with(&["one"]), "control: published: ");
    six.all_serve("one");
    let good = six.counters("r1")["in_force"].clone();
    six.publish(&six.with(&["spoilt", "spoilt"]), "control: published: ");
    let why = "expected another name for each of 'request_classes'";
    six.until("all have refused", || {
        ROUTERS.iter().all(|r| six.log(r).contains(&format!("is refused, the one before stays: {why}")))
    });
    ROUTERS.iter().for_each(|r| assert!(six.serves(r, "one"), "{r}"));
    let counters = six.counters("r1");
    assert_eq!((&counters["in_force"], counters["refused"].as_str()), (&good, "1"));
    six.until("known by name", || {
        MACHINES.iter().any(|m| ROUTERS.iter().all(|r| six.log(m).contains(&format!("{r} ({why}"))))
    });
    six.publish(&six.with(&["one", "two"]), "control: published: ");
    six.all_serve("two");
}

#[rstest]
fn changes_go_on_with_a_control_machine_killed_and_one_stopped() {
    let six = Six::start();
    six.publish(&six.with(&["one"]), "control: published: ");
    six.all_serve("one");
    six.act("c1", Act::Kill);
    six.publish(&six.with(&["one", "two"]), "control: published: ");
    six.all_serve("two");
    six.act("c1", Act::Start);
    six.until("it is back", || six.log("c1").matches("serves version").count() == 2);
    six.publish(&six.with(&["one", "two", "three"]), "control: published: ");
    six.all_serve("three");
    six.act("c2", Act::Stop);
    six.publish(&six.with(&["four"]), "control: published: ");
    six.all_serve("four");
    six.act("c2", Act::Continue);
    six.publish(&six.with(&["five"]), "control: published: ");
    six.all_serve("five");
}

#[rstest]
fn a_router_that_hears_nothing_goes_on_with_the_last_and_is_named() {
    let six = Six::start();
    six.publish(&six.with(&["one"]), "control: published: ");
    six.all_serve("one");
    six.cut("r1", true);
    six.until("r1 is silent", || six.counters("r1")["silent_since_ms"] != "none");
    six.publish(&six.with(&["one", "two"]), "control: published: ");
    six.until("two", || ROUTERS[1..].iter().all(|r| six.serves(r, "two")));
    let named = |log: String| {
        let mut verdicts =
            log.lines().filter(|l| l.contains("is not in force everywhere")).map(str::to_owned);
        verdicts.any(|l| l.contains("r1"))
    };
    six.until("r1 is named", || MACHINES.iter().any(|m| named(six.log(m))));
    assert!(six.serves("r1", "one"));
    assert_eq!(six.ask("r1", "two", LIMIT), Some(unknown()));
    six.cut("r1", false);
    six.until("r1 follows", || six.serves("r1", "two"));
}

/// What was kept, and what is done to it while the router is down.
#[rstest]
#[case::whole(|_: &Path| {}, None)]
#[case::cut_in_half(|file: &Path| {
    let bytes = std::fs::read(file).expect("kept");
    std::fs::write(file, &bytes[..bytes.len() / 2]).expect("a file");
}, Some("is not used: a whole copy that can't be read"))]
#[case::gone(|file: &Path| std::fs::remove_file(file).expect("kept"), Some("nothing was kept"))]
fn a_router_that_starts_again_never_serves_under_an_older_version(
    #[case] harm: fn(&Path),
    #[case] lost: Option<&str>,
) {
    let six = Six::start();
    six.publish(&six.with(&["one"]), "control: published: ");
    six.all_serve("one");
    six.until("known", || MACHINES.iter().any(|m| six.log(m).contains("is in force everywhere: 3 routers")));
    six.act("r1", Act::Kill);
    harm(&six.folder.join("r1.kept"));
    six.cut("r1", true);
    six.act("r1", Act::Start);
    // Longer than a start waits for the control machines.
    let answer = six.ask("r1", "one", Duration::from_secs(6));
    if let Some(says) = lost {
        assert_eq!(answer, None, "nothing was kept, and nobody says what it had been told");
        // Its first start said that nothing was kept as well.
        let count = 1 + usize::from(says == "nothing was kept");
        assert_eq!(six.log("r1").matches(says).count(), count, "{}", six.log("r1"));
    } else {
        let answer = answer.or_else(|| six.ask("r1", "one", LIMIT));
        assert_eq!(answer, Some(value()), "by what was kept");
        assert!(six.log("r1").contains("by what was kept, as no control machine is heard"));
    }
    six.cut("r1", false);
    assert_eq!(six.ask("r1", "one", LIMIT), Some(value()));
}

/// A disk that is full, or fails, for a while: nothing that was taken on is forgotten, and nothing is said before.
#[rstest]
fn machines_that_cannot_write_for_a_while_go_on_once_they_can() {
    let six = Six::start();
    six.publish(&six.with(&["one"]), "control: published: ");
    six.all_serve("one");
    // What is kept is written beside its place first, where a folder stands now.
    let beside: Vec<PathBuf> = MACHINES.iter().map(|m| six.folder.join(format!("{m}.new"))).collect();
    beside.iter().for_each(|folder| std::fs::create_dir(folder).expect("a folder"));
    six.publish(&six.with(&["one", "two"]), "control: published: ");
    six.until("it is seen", || MACHINES.iter().any(|m| six.log(m).contains("cannot write")));
    sleep(Duration::from_secs(1));
    for machine in MACHINES {
        let state = six.fleet.state(&name(machine)).expect("a state");
        assert!(matches!(state, State::Runs { .. }), "{machine}: {}", six.log(machine));
    }
    ROUTERS.iter().for_each(|r| assert_eq!(six.ask(r, "two", LIMIT), Some(unknown()), "{r}: not kept yet"));
    beside.iter().for_each(|folder| std::fs::remove_dir(folder).expect("empty"));
    // Another machine may write by now, that was never given the document.
    six.until("two is served", || {
        MACHINES.iter().for_each(|m| six.signal(m, "-HUP"));
        sleep(Duration::from_secs(1));
        ROUTERS.iter().all(|r| six.serves(r, "two"))
    });
}
