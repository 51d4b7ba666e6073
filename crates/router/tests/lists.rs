//! Whole lists that repeat, shrink to nothing, come twice in one piece, or are told whole again behind changes.

mod common;

use common::member::*;
use common::*;
use rstest::rstest;

fn at(id: &str, member: &Member, state: &str) -> String {
    entry_at(id, member.address, state, if state == "ready" { "primary" } else { "replica" })
}

fn asks(router: &Router, id: &str) -> Client {
    let mut client = Client::connect(router);
    client.send(&query_bytes(&order(id, 30_000)));
    client
}

/// The next write is served by this member on a new connection.
fn goes_to(router: &Router, member: &Member, id: &str) {
    let mut client = asks(router, id);
    member.met().serve(&format!("id={id},"), "own");
    assert_eq!(client.answer(), Answer::Row("own".into()));
}

/// A router that was told this list, its watch, and this list's text.
fn told(members: &[(&str, &Member)]) -> (Router, Asked, String) {
    let entries: Vec<String> = members.iter().map(|(id, m)| at(id, m, "ready")).collect();
    let router = without_probes_but(members, &[WORTH]);
    let watch = router.discovery.asked();
    (router, watch, list(41, true, &entries))
}

/// Told to the router, which has acted upon it.
fn tell(router: &Router, watch: &mut Asked, text: &str) {
    watch.send(text);
    watch.delivered();
    router.turn();
}

#[rstest]
fn a_whole_list_that_repeats_changes_nothing() {
    let member = Member::start();
    let (router, mut watch, text) = told(&[("s-a", &member)]);
    let mut client = asks(&router, "i1");
    let mut link = member.met();
    assert!(link.asked().is_some_and(|s| s.contains("id=i1")));
    (0..3).for_each(|_| tell(&router, &mut watch, &text));
    // Neither the command in hand nor its connection is lost, and that carries the next.
    link.answer("r1");
    assert_eq!(client.answer(), Answer::Row("r1".into()));
    std::thread::sleep(std::time::Duration::from_millis(5));
    (0..3).for_each(|_| tell(&router, &mut watch, &text));
    let mut client = asks(&router, "i2");
    link.serve("id=i2", "r2");
    assert_eq!(client.answer(), Answer::Row("r2".into()));
    assert!(router.discovery.never_asked(), "the watch is kept");
}

#[rstest]
fn a_list_that_shrinks_to_nothing_sends_to_nobody_until_one_is_told_again() {
    let member = Member::start();
    let (router, mut watch, _) = told(&[("s-a", &member)]);
    let mut busy = asks(&router, "i1");
    let mut link = member.met();
    assert!(link.asked().is_some_and(|s| s.contains("id=i1")));
    tell(&router, &mut watch, &list(42, true, &[]));
    // What runs may finish, and what comes waits for a member.
    link.answer("r1");
    assert_eq!(busy.answer(), Answer::Row("r1".into()));
    assert_eq!(Client::connect(&router).query(""), Answer::Empty);
    let mut waits = asks(&router, "i2");
    router.turn();
    member.listener.set_nonblocking(true).expect("a listener");
    assert!(member.listener.accept().is_err(), "sent to whom no list names");
    assert!(link.heard_nothing(), "sent to whom no list names");
    link.stream.set_nonblocking(false).expect("open");
    tell(&router, &mut watch, &list(43, true, &[at("s-a", &member, "ready")]));
    link.serve("id=i2", "own");
    assert_eq!(waits.answer(), Answer::Row("own".into()));
}

#[rstest]
#[case::both_whole(true)]
#[case::a_change_between(false)]
fn of_two_whole_lists_in_one_piece_the_later_holds(#[case] whole: bool) {
    let (first, second, third) = (Member::start(), Member::start(), Member::start());
    let (router, mut watch, _) = told(&[("s-a", &first)]);
    let one = list(42, whole, &[at("s-a", &first, "draining"), at("s-b", &second, "ready")]);
    let two = list(43, true, &[at("s-c", &third, "ready")]);
    tell(&router, &mut watch, &format!("{one}\n{two}"));
    goes_to(&router, &third, "i1");
}

/// Who drained is up again, and who took its place drains.
#[rstest]
fn a_list_told_whole_again_behind_changes_holds() {
    let (first, second) = (Member::start(), Member::start());
    let (router, mut watch, _) = told(&[("s-a", &first)]);
    tell(
        &router,
        &mut watch,
        &list(42, false, &[at("s-a", &first, "draining"), at("s-b", &second, "ready")]),
    );
    goes_to(&router, &second, "i1");
    tell(&router, &mut watch, &list(43, true, &[at("s-a", &first, "ready"), at("s-b", &second, "draining")]));
    goes_to(&router, &first, "i2");
    assert!(router.discovery.never_asked(), "the watch is kept");
}
