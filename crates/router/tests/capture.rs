//! Tests the load capture of the router; compiled only with the `capture` feature.
#![cfg(feature = "capture")]

mod common;

use common::{Answer, Client, Node, Reply, Router, entry, look, row};
use rstest::rstest;
use vetchkeel_capture::{Ending, read};

#[rstest]
fn capture_records_answered_and_abandoned_commands() {
    let node = Node::start("primary", |statement| {
        let slow = statement.contains("id=b");
        if slow { Reply::Nothing } else { Reply::Send(row("value")) }
    });
    let folder = std::env::temp_dir().join(format!("vetchkeel-capture-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let file = folder.join("capture.hcl");
    let text = format!("capture {{\n  file = \"{}/load-{{name}}.vkl\"\n  frame = 16\n}}\n", folder.display());
    std::fs::write(&file, text).expect("the file is written");
    let mut router =
        Router::with_variable(&[entry("a", &node, "ready", "primary")], "VETCHKEEL_CAPTURE", &file);
    let mut client = Client::connect(&router);
    assert_eq!(client.query(&look("a1", 5_000)), Answer::Row("value".into()));
    let mut leaving = Client::connect(&router);
    leaving.send(&common::query_bytes(&look("b1", 5_000)));
    node.statement();
    node.statement();
    drop(leaving);
    let left_count = |router: &Router| {
        router.signal("-USR1");
        router.counters("commands")["left"]
    };
    while left_count(&router) == 0 {}
    drop(client);
    router.signal("-TERM");
    assert!(router.wait().success());
    let bytes = std::fs::read(folder.join("load-n0.vkl")).expect("capture file is readable");
    let capture = read(&bytes).expect("capture file decodes completely");
    let ends: Vec<(Ending, u32, &str)> =
        capture.records.iter().map(|r| (r.ending, r.dispatches, &*r.command_group)).collect();
    assert_eq!(ends, [(Ending::Answered, 1, "look"), (Ending::Left, 1, "look")]);
    let first = &capture.records[0];
    assert!(first.set == 2 && first.session > 0 && first.customer.as_deref() == Some("acme"), "{first:?}");
    assert!(first.member.as_deref() == Some("a") && first.latency >= first.waited, "{first:?}");
    let _ = std::fs::remove_dir_all(&folder);
}
