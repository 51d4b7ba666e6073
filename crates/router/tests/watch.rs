//! The built program beside an agent that indents, cuts, stalls and replays.

mod common;

use common::*;
use rstest::rstest;

fn served() -> Node {
    Node::start("primary", |_| Reply::Send(row("r")))
}

/// The same value over many lines.
fn indented(value: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(value).expect("JSON");
    format!("{value:#}")
}

#[rstest]
fn an_indented_list_is_read_however_it_is_cut_and_rubbish_loses_nothing() {
    let (first, second) = (served(), served());
    let router = Router::start(&[]);
    let mut watch = router.discovery.asked();
    let whole = indented(&list(42, true, &[entry("s-a", &first, "ready", "primary")]));
    let changed = [entry("s-a", &first, "draining", "replica"), entry("s-b", &second, "ready", "primary")];
    let change = indented(&list(43, false, &changed));
    let (head, tail) = whole.split_at(whole.len() / 2);
    let more = format!("{change}{{\"version\":44,\n\"servers\":[]}} no list");
    [head, tail, "", &more].iter().for_each(|text| watch.send(text));
    let again = router.discovery.asked();
    assert!(again.path.contains("index=0"), "{}", again.path);
    let mut client = Client::connect(&router);
    assert_eq!(client.query(&order("i1", 5000)), Answer::Row("r".into()));
    assert!(second.statement().contains("id=i1"));
    router.signal("-USR1");
    assert_eq!(router.counters("connections")["lists"], 4, "three values and the list known at the start");
}
