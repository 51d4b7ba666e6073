//! The built program whose settings change while it runs: commands that arrive afterwards are served under the new
//! settings, open commands end under those that they arrived with.

mod common;

use common::{
    Answer, Client, Discovery, Node, Reply, Router, configuration, entry, error_response, list, look, order,
    query_bytes, row,
};
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// A router in front of one primary, and the configuration that tests change.
struct Running {
    router: Router,
    node: Node,
    config: Value,
}

fn start(
    change: impl FnOnce(&mut Value),
    role: &'static str,
    reply: impl Fn(&str) -> Reply + Send + Sync + 'static,
) -> Running {
    let node = Node::start(role, reply);
    let known = list(41, true, &[entry("s-a", &node, "ready", "primary")]);
    let members = known.clone();
    let discovery = Discovery::with_handler(move |_, watch| {
        watch.send_head();
        watch.send(&members);
    });
    let text = configuration(discovery.address, 1024, 192, &known);
    let mut config: Value = serde_json::from_str(&text).expect("JSON");
    change(&mut config["settings"]);
    Running { router: Router::with_discovery(discovery, &config.to_string(), None), node, config }
}

impl Running {
    /// Changes the settings in the configuration file and asks the router to read it.
    fn reload(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config["settings"]);
        self.router.reload(&self.config.to_string());
    }

    /// Changes the settings and waits until they are in force.
    fn change(&mut self, change: impl FnOnce(&mut Value)) {
        self.reload(change);
        self.router.wait_for_log("reload: the settings have changed and are in force");
    }

    fn count(&self, line: &str, name: &str) -> u64 {
        self.router.signal("-USR1");
        self.router.counters(line)[name]
    }
}

/// A reply with these bytes that waits for a release by the test.
fn held_reply(bytes: fn() -> Vec<u8>) -> (Sender<()>, impl Fn(&str) -> Reply + Send + Sync + 'static) {
    let (release, released) = channel::<()>();
    let released = Arc::new(Mutex::new(released));
    let reply = move |_: &str| {
        let _ = released.lock().expect("a lock").recv();
        Reply::Send(bytes())
    };
    (release, reply)
}

/// A read in this command group.
fn read_in_group(group: &str, id: &str) -> String {
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
fn reload_adds_a_command_group_and_a_customer() {
    let mut running = start(|_| {}, "primary", |_| Reply::Send(row("value")));
    let mut client = Client::connect(&running.router);
    let (by_group, by_customer) =
        (|id| read_in_group("fresh", id), |id: &str| look(id, 50_000).replace("t=acme", "t=new"));
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
fn removed_group_is_refused_while_its_open_commands_are_answered() {
    let (release, reply) = held_reply(|| row("value"));
    let mut running = start(|_| {}, "primary", reply);
    let mut early = Client::connect(&running.router);
    early.send(&query_bytes(&order("i1", 50_000)));
    assert!(running.node.statement().contains("id=i1"));
    running.change(|settings| {
        settings["request_classes"].as_array_mut().expect("a list").pop();
        settings["family_info"]["class_read"] = json!(["any"]);
    });
    let mut late = Client::connect(&running.router);
    assert_eq!(late.query(&order("i2", 50_000)), refused());
    running.router.wait_for_log("no command group is named 'order'");
    release.send(()).expect("the member waits");
    assert_eq!(early.answer(), value());
    release.send(()).expect("the member waits");
    assert_eq!(late.query(&look("i3", 50_000)), value(), "the others are served as before");
}

/// The semantics decide whether a command whose first attempt ended with an error is sent again.
#[rstest]
#[case::to_pure("side_effect", "pure")]
#[case::to_side_effect("pure", "side_effect")]
fn changed_semantics_apply_to_later_commands(#[case] before: &str, #[case] after: &str) {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let failed_once = Mutex::new(Vec::<String>::new());
    let mut running = start(
        |settings| settings["request_classes"][1]["semantics"] = before.into(),
        "primary",
        move |statement| {
            let id = statement.split("id=").nth(1).and_then(|s| s.split(',').next()).unwrap_or_default();
            let mut failed_once = failed_once.lock().expect("a lock");
            if failed_once.iter().any(|e| e == id) {
                return Reply::Send(row("value"));
            }
            failed_once.push(id.to_owned());
            let _ = released.lock().expect("a lock").recv();
            Reply::Send(error_response("XX000"))
        },
    );
    let expected =
        |semantics: &str| if semantics == "pure" { value() } else { Answer::Error("40003".into(), None) };
    let mut early = Client::connect(&running.router);
    early.send(&query_bytes(&order("i1", 50_000)));
    assert!(running.node.statement().contains("id=i1"));
    running.change(|settings| settings["request_classes"][1]["semantics"] = after.into());
    release.send(()).expect("the member waits");
    assert_eq!(early.answer(), expected(before), "the open command");
    release.send(()).expect("the member waits");
    assert_eq!(early.query(&order("i2", 50_000)), expected(after), "the later command");
}

#[rstest]
fn lower_attempt_limit_applies_to_later_commands() {
    let mut running = start(
        |_| {},
        "primary",
        |statement| {
            Reply::Send(if statement.contains("SELECT") { error_response("XX000") } else { row("value") })
        },
    );
    let dispatches = |running: &Running| {
        running.router.signal("-USR1");
        running.router.counters("dispatches").get("error").copied().unwrap_or(0)
    };
    let mut client = Client::connect(&running.router);
    let failed = client.query(&look("i1", 50_000));
    assert!(matches!(failed, Answer::Error(..)), "{failed:?}");
    let before = dispatches(&running);
    assert!(before > 1, "more than one dispatch: {before}");
    running.change(|settings| settings["permissions"]["max_attempts"] = 1.into());
    let failed = client.query(&look("i2", 50_000));
    assert!(matches!(failed, Answer::Error(..)), "{failed:?}");
    assert_eq!(dispatches(&running) - before, 1);
}

#[rstest]
fn shorter_response_target_applies_to_later_commands() {
    let mut running = start(|_| {}, "primary", |_| Reply::Nothing);
    let mut early = Client::connect(&running.router);
    early.send(&query_bytes(&order("i1", 50_000)));
    assert!(running.node.statement().contains("id=i1"));
    running.change(|settings| settings["request_classes"][1]["aim_ms"] = 300.0.into());
    let mut late = Client::connect(&running.router);
    // The first command still waits under the old target; the later one has passed the new target.
    let answer = late.query(&order("i2", 50_000));
    assert!(matches!(answer, Answer::Error(..)), "{answer:?}");
    assert_eq!(running.count("commands", "open"), 1);
}

/// The longest client timeout determines how long the process keeps running after SIGTERM.
#[rstest]
fn longer_client_timeout_extends_the_shutdown() {
    let (release, reply) = held_reply(|| row("value"));
    let set_timeout = |settings: &mut Value, ms: f64| {
        (0..2).for_each(|i| settings["request_classes"][i]["hard_limit_ms"] = ms.into());
    };
    let mut running = start(|settings| set_timeout(settings, 100.0), "primary", reply);
    running.change(|settings| set_timeout(settings, 60_000.0));
    let mut client = Client::connect(&running.router);
    client.send(&query_bytes(&order("i1", 50_000)));
    assert!(running.node.statement().contains("id=i1"));
    running.router.signal("-TERM");
    running.router.wait_for_log("stopping: 1 commands open");
    // With the shorter timeout the command would be answered as failed after 0.66 s; with the longer one after 3.56 s.
    sleep(Duration::from_millis(1_300));
    release.send(()).expect("the member waits");
    assert_eq!(client.answer(), value());
    drop(client);
    assert!(running.router.wait().success());
}

#[rstest]
fn new_idle_limit_ends_the_reuse_of_connections() {
    let mut running = start(|_| {}, "primary", |_| Reply::Send(row("value")));
    let mut client = Client::connect(&running.router);
    assert_eq!(client.query(&order("i1", 50_000)), value());
    running.change(|settings| settings["permissions"]["conn_idle_ms"] = 0.2.into());
    let reused = running.count("connections", "reused");
    (2..5).for_each(|i| assert_eq!(client.query(&order(&format!("i{i}"), 50_000)), value()));
    assert_eq!(
        running.count("connections", "reused"),
        reused,
        "no connection stays open long enough to be reused"
    );
}

#[rstest]
fn shorter_dial_timeout_applies_to_the_next_dial() {
    let set_long_timeout =
        |settings: &mut Value| settings["permissions"]["dial_timeout_ms"] = 60_000.0.into();
    let mut running = start(set_long_timeout, "mute", |_| Reply::Nothing);
    running.change(|settings| settings["permissions"]["dial_timeout_ms"] = 50.0.into());
    let mut client = Client::connect(&running.router);
    client.send(&query_bytes(&order("i1", 50_000)));
    running.router.wait_for_log("command i1: attempt 0 at s-a ended: DialLimit while Dialling");
}

#[rstest]
fn probes_use_the_report_settings_in_force() {
    let mut running = start(|_| {}, "primary", |_| Reply::Send(row("value")));
    running.change(|settings| settings["report"]["via"] = "none".into());
    let added = Node::start("replica", |_| Reply::Send(row("1")));
    let both = [entry("s-a", &running.node, "ready", "primary"), entry("s-b", &added, "ready", "replica")];
    running.router.discovery.next_watch().send(&list(42, true, &both));
    assert_eq!(added.statement(), "SELECT 1", "a new member is probed as the new settings say");
}

#[rstest]
#[case::not_an_object(json!(7), "expected an object under 'settings'")]
#[case::duplicate_names(json!({"request_classes": [group("a"), group("a")]}), "expected another name for each of 'request_classes'")]
#[case::no_groups(json!({}), "request_classes.count")]
#[case::no_timeout(json!({"request_classes": [{"name": "a"}]}), "request_classes.0.hard_limit_ms")]
#[case::not_a_number(json!({"request_classes": [group("a")], "permissions": {"max_attempts": "many"}}), "permissions.max_attempts")]
fn invalid_settings_are_rejected_as_a_whole(#[case] invalid: Value, #[case] reason: &str) {
    let mut running = start(|_| {}, "primary", |_| Reply::Send(row("value")));
    let elsewhere = Discovery::start();
    let (discovery, settings) = (running.config["discovery"].take(), running.config["settings"].take());
    running.config["discovery"] = elsewhere.address.to_string().into();
    running.reload(|settings| *settings = invalid);
    let line = running.router.wait_for_log("reload: the configuration stays as it is: ");
    assert!(line.contains("expected") && line.contains(reason), "{line}");
    let mut client = Client::connect(&running.router);
    assert_eq!(
        (client.query(&look("i1", 50_000)), client.query(&read_in_group("a", "i2"))),
        (value(), refused())
    );
    assert_eq!(running.count("connections", "reloads"), 0);
    assert!(elsewhere.has_no_watch(), "the watch has not moved");
    running.config["discovery"] = discovery;
    running.reload(|current| *current = settings);
    // The file holds the settings in force again, so nothing changes.
    let line = running.router.wait_for_log("reload: ");
    assert!(line.contains("discovery stays"), "{line}");
}
