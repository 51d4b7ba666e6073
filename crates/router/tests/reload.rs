//! The built program whose settings change while it runs: what comes in afterwards is served under the new ones, what is
//! in hand ends under those that it came in with.

mod common;

use common::{
    Answer, Client, Discovery, Node, Reply, Router, code, configuration, entry, list, look, order,
    query_bytes, row,
};
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// A router before one primary, and its configuration to be changed.
struct Running {
    router: Router,
    node: Node,
    config: Value,
}

fn started(
    change: impl FnOnce(&mut Value),
    role: &'static str,
    reply: impl Fn(&str) -> Reply + Send + Sync + 'static,
) -> Running {
    let node = Node::start(role, reply);
    let known = list(41, true, &[entry("s-a", &node, "ready", "primary")]);
    let told = known.clone();
    let discovery = Discovery::acting(move |_, asked| {
        asked.begin();
        asked.send(&told);
    });
    let text = configuration(discovery.address, 1024, 192, &known);
    let mut config: Value = serde_json::from_str(&text).expect("JSON");
    change(&mut config["settings"]);
    Running { router: Router::beside(discovery, &config.to_string(), None), node, config }
}

impl Running {
    /// The same configuration with other settings, asked to be read.
    fn reload(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config["settings"]);
        self.router.reload(&self.config.to_string());
    }

    /// In force once this is told.
    fn change(&mut self, change: impl FnOnce(&mut Value)) {
        self.reload(change);
        self.router.logged("reload: the settings have changed and are in force");
    }

    fn count(&self, line: &str, name: &str) -> u64 {
        self.router.signal("-USR1");
        self.router.counters(line)[name]
    }
}

/// A primary that answers with these bytes once it is let to.
fn held(bytes: fn() -> Vec<u8>) -> (Sender<()>, impl Fn(&str) -> Reply + Send + Sync + 'static) {
    let (let_go, may_go) = channel::<()>();
    let may_go = Arc::new(Mutex::new(may_go));
    let reply = move |_: &str| {
        let _ = may_go.lock().expect("a lock").recv();
        Reply::Send(bytes())
    };
    (let_go, reply)
}

fn under(group: &str, id: &str) -> String {
    look(id, 50_000).replace("c=look", &format!("c={group}"))
}

fn refused() -> Answer {
    Answer::Error("22023".into(), None)
}

fn value() -> Answer {
    Answer::Row("value".into())
}

fn group(name: &str) -> Value {
    json!({"name": name, "semantics": "pure", "hard_limit_ms": 60000.0, "aim_ms": 60000.0})
}

#[rstest]
fn a_new_command_group_and_a_new_customer_are_served() {
    let mut running = started(|_| {}, "primary", |_| Reply::Send(row("value")));
    let mut client = Client::connect(&running.router);
    let (by_group, by_customer) =
        (|id| under("fresh", id), |id: &str| look(id, 50_000).replace("t=acme", "t=new"));
    assert_eq!((client.query(&by_group("i1")), client.query(&by_customer("i2"))), (refused(), refused()));
    running.change(|settings| {
        settings["request_classes"].as_array_mut().expect("a list").insert(0, group("fresh"));
        settings["family_info"]["class_read"] = json!(["any", "any", "write"]);
        settings["projects"].as_array_mut().expect("a list").push(json!({"name": "new", "share": 1.0}));
    });
    assert_eq!((client.query(&by_group("i3")), client.query(&by_customer("i4"))), (value(), value()));
    assert_eq!(client.query(&look("i5", 50_000)), value(), "the others are served as before");
}

#[rstest]
fn a_removed_group_is_refused_and_what_is_in_hand_is_answered() {
    let (let_go, reply) = held(|| row("value"));
    let mut running = started(|_| {}, "primary", reply);
    let mut early = Client::connect(&running.router);
    early.send(&query_bytes(&order("i1", 50_000)));
    assert!(running.node.statement().contains("id=i1"));
    running.change(|settings| {
        settings["request_classes"].as_array_mut().expect("a list").pop();
        settings["family_info"]["class_read"] = json!(["any"]);
    });
    let mut late = Client::connect(&running.router);
    assert_eq!(late.query(&order("i2", 50_000)), refused());
    running.router.logged("no command group is named 'order'");
    let_go.send(()).expect("the member waits");
    assert_eq!(early.answer(), value());
    let_go.send(()).expect("the member waits");
    assert_eq!(late.query(&look("i3", 50_000)), value(), "the others are served as before");
}

/// Whether a command may run again: it erred once.
#[rstest]
#[case::to_pure("side_effect", "pure")]
#[case::to_side_effect("pure", "side_effect")]
fn a_changed_effect_holds_for_what_comes_after(#[case] before: &str, #[case] after: &str) {
    let (let_go, may_go) = channel::<()>();
    let may_go = Mutex::new(may_go);
    let erred = Mutex::new(Vec::<String>::new());
    let mut running = started(
        |settings| settings["request_classes"][1]["semantics"] = before.into(),
        "primary",
        move |statement| {
            let id = statement.split("id=").nth(1).and_then(|s| s.split(',').next()).unwrap_or_default();
            let mut erred = erred.lock().expect("a lock");
            if erred.iter().any(|e| e == id) {
                return Reply::Send(row("value"));
            }
            erred.push(id.to_owned());
            let _ = may_go.lock().expect("a lock").recv();
            Reply::Send(code("XX000"))
        },
    );
    let ends = |effect: &str| if effect == "pure" { value() } else { Answer::Error("40003".into(), None) };
    let mut early = Client::connect(&running.router);
    early.send(&query_bytes(&order("i1", 50_000)));
    assert!(running.node.statement().contains("id=i1"));
    running.change(|settings| settings["request_classes"][1]["semantics"] = after.into());
    let_go.send(()).expect("the member waits");
    assert_eq!(early.answer(), ends(before), "what was in hand");
    let_go.send(()).expect("the member waits");
    assert_eq!(early.query(&order("i2", 50_000)), ends(after), "what came after");
}

#[rstest]
fn fewer_attempts_hold_for_what_comes_after() {
    let mut running = started(
        |_| {},
        "primary",
        |statement| Reply::Send(if statement.contains("SELECT") { code("XX000") } else { row("value") }),
    );
    let dispatches = |running: &Running| {
        running.router.signal("-USR1");
        running.router.counters("dispatches").get("error").copied().unwrap_or(0)
    };
    let mut client = Client::connect(&running.router);
    let failed = client.query(&look("i1", 50_000));
    assert!(matches!(failed, Answer::Error(..)), "{failed:?}");
    let before = dispatches(&running);
    assert!(before > 1, "it was sent again: {before}");
    running.change(|settings| settings["permissions"]["max_attempts"] = 1.into());
    let failed = client.query(&look("i2", 50_000));
    assert!(matches!(failed, Answer::Error(..)), "{failed:?}");
    assert_eq!(dispatches(&running) - before, 1);
}

#[rstest]
fn a_shorter_response_target_holds_for_what_comes_after() {
    let mut running = started(|_| {}, "primary", |_| Reply::Silence);
    let mut early = Client::connect(&running.router);
    early.send(&query_bytes(&order("i1", 50_000)));
    assert!(running.node.statement().contains("id=i1"));
    running.change(|settings| settings["request_classes"][1]["aim_ms"] = 300.0.into());
    let mut late = Client::connect(&running.router);
    // The first still waits by its own target; what comes later has waited past its own.
    let answer = late.query(&order("i2", 50_000));
    assert!(matches!(answer, Answer::Error(..)), "{answer:?}");
    assert_eq!(running.count("commands", "open"), 1);
}

/// How long a process lives on after SIGTERM follows from the longest client timeout.
#[rstest]
fn a_longer_client_timeout_lets_a_stopping_process_live_on() {
    let (let_go, reply) = held(|| row("value"));
    let short = |settings: &mut Value, ms: f64| {
        (0..2).for_each(|i| settings["request_classes"][i]["hard_limit_ms"] = ms.into());
    };
    let mut running = started(|settings| short(settings, 100.0), "primary", reply);
    running.change(|settings| short(settings, 60_000.0));
    let mut client = Client::connect(&running.router);
    client.send(&query_bytes(&order("i1", 50_000)));
    assert!(running.node.statement().contains("id=i1"));
    running.router.signal("-TERM");
    running.router.logged("stopping: 1 commands open");
    // By the shorter one it would be told after 0.66 s that it has failed; by the longer one after 3.56 s.
    sleep(Duration::from_millis(1_300));
    let_go.send(()).expect("the member waits");
    assert_eq!(client.answer(), value());
    drop(client);
    assert!(running.router.wait().success());
}

#[rstest]
fn connections_are_kept_and_dialled_by_what_is_in_force() {
    let mut running = started(|_| {}, "primary", |_| Reply::Send(row("value")));
    let mut client = Client::connect(&running.router);
    assert_eq!(client.query(&order("i1", 50_000)), value());
    running.change(|settings| settings["permissions"]["conn_idle_ms"] = 0.2.into());
    let reused = running.count("connections", "reused");
    (2..5).for_each(|i| assert_eq!(client.query(&order(&format!("i{i}"), 50_000)), value()));
    assert_eq!(running.count("connections", "reused"), reused, "none is kept for long enough");
}

#[rstest]
fn a_shorter_dial_time_holds_for_the_next_dial() {
    let long = |settings: &mut Value| settings["permissions"]["dial_timeout_ms"] = 60_000.0.into();
    let mut running = started(long, "mute", |_| Reply::Silence);
    running.change(|settings| settings["permissions"]["dial_timeout_ms"] = 50.0.into());
    let mut client = Client::connect(&running.router);
    client.send(&query_bytes(&order("i1", 50_000)));
    running.router.logged("command i1: attempt 0 at s-a ended: DialLimit while Dialling");
}

#[rstest]
fn probes_ask_by_what_is_in_force() {
    let mut running = started(|_| {}, "primary", |_| Reply::Send(row("value")));
    running.change(|settings| settings["report"]["via"] = "none".into());
    let fresh = Node::start("replica", |_| Reply::Send(row("1")));
    let both = [entry("s-a", &running.node, "ready", "primary"), entry("s-b", &fresh, "ready", "replica")];
    running.router.discovery.asked().send(&list(42, true, &both));
    assert_eq!(fresh.statement(), "SELECT 1", "a member that is new is asked");
}

#[rstest]
#[case::no_object(json!(7), "expected an object under 'settings'")]
#[case::alike(json!({"request_classes": [group("a"), group("a")]}), "expected another name for each of 'request_classes'")]
#[case::no_groups(json!({}), "request_classes.count")]
#[case::no_timeout(json!({"request_classes": [{"name": "a"}]}), "request_classes.0.hard_limit_ms")]
#[case::no_number(json!({"request_classes": [group("a")], "permissions": {"max_attempts": "many"}}), "permissions.max_attempts")]
fn wrong_settings_change_nothing(#[case] wrong: Value, #[case] why: &str) {
    let mut running = started(|_| {}, "primary", |_| Reply::Send(row("value")));
    let elsewhere = Discovery::start();
    let (discovery, settings) = (running.config["discovery"].take(), running.config["settings"].take());
    running.config["discovery"] = elsewhere.address.to_string().into();
    running.reload(|settings| *settings = wrong);
    let line = running.router.logged("reload: the configuration stays as it is: ");
    assert!(line.contains("expected") && line.contains(why), "{line}");
    let mut client = Client::connect(&running.router);
    assert_eq!((client.query(&look("i1", 50_000)), client.query(&under("a", "i2"))), (value(), refused()));
    assert_eq!(running.count("connections", "reloads"), 0);
    assert!(elsewhere.never_asked(), "nor does the watch move");
    running.config["discovery"] = discovery;
    running.reload(|held| *held = settings);
    // The settings are those in force.
    let line = running.router.logged("reload: ");
    assert!(line.contains("discovery stays"), "{line}");
}
