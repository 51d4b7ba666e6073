//! Tests full member lists from discovery that repeat, become empty, arrive twice in one chunk, or follow incremental
//! changes.

mod common;

use common::member::*;
use common::*;
use rstest::rstest;

fn member_entry(id: &str, member: &Member, state: &str) -> String {
    entry_at(id, member.address, state, if state == "ready" { "primary" } else { "replica" })
}

fn send_order(router: &Router, id: &str) -> Client {
    let mut client = Client::connect(router);
    client.send(&query_bytes(&order(id, 30_000)));
    client
}

/// Checks that the next write is served by this member on a new connection.
fn assert_next_write_at(router: &Router, member: &Member, id: &str) {
    let mut client = send_order(router, id);
    member.accept().serve(&format!("id={id},"), "own");
    assert_eq!(client.answer(), Answer::Row("own".into()));
}

/// A router that has received a list of these members, its discovery watch, and the text of the list.
fn router_with_list(members: &[(&str, &Member)]) -> (Router, Watch, String) {
    let entries: Vec<String> = members.iter().map(|(id, m)| member_entry(id, m, "ready")).collect();
    let router = without_probes_replacing(members, &[FULL_BENEFIT]);
    let watch = router.discovery.next_watch();
    (router, watch, list(41, true, &entries))
}

/// Sends a list to the router and returns once the router has processed it.
fn apply_list(router: &Router, watch: &mut Watch, text: &str) {
    watch.send(text);
    watch.wait_until_acknowledged();
    router.wait_for_loop_turn();
}

#[rstest]
fn repeated_full_list_keeps_commands_and_connections() {
    let member = Member::start();
    let (router, mut watch, text) = router_with_list(&[("s-a", &member)]);
    let mut client = send_order(&router, "i1");
    let mut link = member.accept();
    assert!(link.read_statement().is_some_and(|s| s.contains("id=i1")));
    (0..3).for_each(|_| apply_list(&router, &mut watch, &text));
    // Neither the command in flight nor its connection is lost, and the connection carries the next command.
    link.answer("r1");
    assert_eq!(client.answer(), Answer::Row("r1".into()));
    std::thread::sleep(std::time::Duration::from_millis(5));
    (0..3).for_each(|_| apply_list(&router, &mut watch, &text));
    let mut client = send_order(&router, "i2");
    link.serve("id=i2", "r2");
    assert_eq!(client.answer(), Answer::Row("r2".into()));
    assert!(router.discovery.has_no_watch(), "the router opened another watch");
}

#[rstest]
fn empty_list_stops_dispatch_until_a_member_is_listed_again() {
    let member = Member::start();
    let (router, mut watch, _) = router_with_list(&[("s-a", &member)]);
    let mut busy = send_order(&router, "i1");
    let mut link = member.accept();
    assert!(link.read_statement().is_some_and(|s| s.contains("id=i1")));
    apply_list(&router, &mut watch, &list(42, true, &[]));
    // The command in flight may finish, and a new command waits for a member.
    link.answer("r1");
    assert_eq!(busy.answer(), Answer::Row("r1".into()));
    assert_eq!(Client::connect(&router).query(""), Answer::Empty);
    let mut waiting = send_order(&router, "i2");
    router.wait_for_loop_turn();
    member.listener.set_nonblocking(true).expect("the listener is non-blocking");
    assert!(member.listener.accept().is_err(), "sent to a member that is not listed");
    assert!(link.received_nothing(), "sent to a member that is not listed");
    link.stream.set_nonblocking(false).expect("the socket is open");
    apply_list(&router, &mut watch, &list(43, true, &[member_entry("s-a", &member, "ready")]));
    link.serve("id=i2", "own");
    assert_eq!(waiting.answer(), Answer::Row("own".into()));
}

#[rstest]
#[case::both_full(true)]
#[case::first_is_incremental(false)]
fn later_of_two_lists_in_one_chunk_applies(#[case] full: bool) {
    let (first, second, third) = (Member::start(), Member::start(), Member::start());
    let (router, mut watch, _) = router_with_list(&[("s-a", &first)]);
    let one =
        list(42, full, &[member_entry("s-a", &first, "draining"), member_entry("s-b", &second, "ready")]);
    let two = list(43, true, &[member_entry("s-c", &third, "ready")]);
    apply_list(&router, &mut watch, &format!("{one}\n{two}"));
    assert_next_write_at(&router, &third, "i1");
}

/// The member that was draining is ready again, and the member that replaced it drains.
#[rstest]
fn full_list_after_incremental_changes_applies() {
    let (first, second) = (Member::start(), Member::start());
    let (router, mut watch, _) = router_with_list(&[("s-a", &first)]);
    apply_list(
        &router,
        &mut watch,
        &list(42, false, &[member_entry("s-a", &first, "draining"), member_entry("s-b", &second, "ready")]),
    );
    assert_next_write_at(&router, &second, "i1");
    apply_list(
        &router,
        &mut watch,
        &list(43, true, &[member_entry("s-a", &first, "ready"), member_entry("s-b", &second, "draining")]),
    );
    assert_next_write_at(&router, &first, "i2");
    assert!(router.discovery.has_no_watch(), "the router opened another watch");
}
