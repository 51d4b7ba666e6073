//! One keeper, one writer, one router, told message by message what a fleet brings about rarely.

use std::collections::BTreeMap;

use vetchkeel_configuration::{
    Action, Change, Decision, Document, Edit, Machine, Message, Name, PersistedState, Plan, Record,
    RouterEntry, Subscriber, Tenths, Version, whole,
};

fn name(text: &str) -> Name {
    Name::new(text).expect("a good name")
}

fn names() -> Vec<Name> {
    (0..5).map(|at| name(&format!("m{at}"))).collect()
}

fn at(epoch: u32, number: u64) -> Version {
    Version { epoch, number }
}

fn edited(value: &str) -> (Vec<Edit>, Document) {
    let document = Document::from(BTreeMap::from([("limit".to_string(), value.to_string())]));
    (vec![Edit { name: "limit".into(), value: Some(value.into()) }], document.expect("within the bounds"))
}

/// From the empty document to one with this limit.
fn first(value: &str) -> Change {
    let (edits, document) = edited(value);
    Change { version: at(1, 1), base: Version::NONE, published: 0, edits, digest: document.digest() }
}

/// A keeper that counts, and has promised epoch 1.
fn settled() -> PersistedState {
    let mut kept = PersistedState::default();
    kept.apply(&Record::Promised(1), &Plan::default());
    kept.apply(&Record::Voting, &Plan::default());
    kept
}

fn keeper(kept: Option<PersistedState>) -> Machine {
    let machine = Machine::new(Plan::default(), name("m0"), names(), names(), kept, |_| Ok(()), 0, 1);
    machine.expect("a good plan")
}

fn orders(machine: &mut Machine, now: Tenths) -> Vec<Action> {
    std::iter::from_fn(|| machine.next_decision(now)).collect()
}

/// Asks for the promise of an epoch; was it granted, and what was kept before it was said?
fn ask(machine: &mut Machine, from: &str, epoch: u32, held: Version, founding: bool) -> (bool, Vec<Record>) {
    machine.handle_message(10, &name(from), Message::Prepare { epoch, held, trial: false, founding });
    let mut kept = Vec::new();
    for order in orders(machine, 10) {
        match order {
            Action::Persist(record) => kept.push(record),
            Action::Send { message: Message::Promised { granted, .. }, .. } => return (granted, kept),
            _ => {}
        }
    }
    panic!("no answer")
}

#[test]
fn a_promise_is_on_disk_before_it_is_given_and_holds_over_a_restart() {
    let mut machine = keeper(Some(settled()));
    let (granted, records) = ask(&mut machine, "m1", 2, Version::NONE, false);
    assert!(granted);
    assert!(records.contains(&Record::Promised(2)), "{records:?}");
    let mut kept = settled();
    records.iter().for_each(|record| kept.apply(record, &Plan::default()));
    let mut again = keeper(Some(kept));
    assert!(!ask(&mut again, "m2", 2, Version::NONE, false).0, "one epoch for two");
    assert!(ask(&mut again, "m2", 3, Version::NONE, false).0);
}

#[test]
fn a_keeper_promises_nothing_to_one_that_holds_less() {
    let mut kept = settled();
    kept.apply(&Record::Unreleased(vec![first("7")]), &Plan::default());
    let mut machine = keeper(Some(kept));
    assert!(!ask(&mut machine, "m1", 2, Version::NONE, false).0);
    assert!(ask(&mut machine, "m1", 3, at(1, 1), false).0);
}

#[test]
fn a_keeper_that_kept_nothing_promises_only_to_a_founder() {
    let mut machine = keeper(None);
    assert!(!ask(&mut machine, "m1", 2, at(1, 1), false).0);
    let (granted, records) = ask(&mut machine, "m1", 3, Version::NONE, true);
    assert!(granted && records.contains(&Record::Voting), "{records:?}");
}

/// Lets a machine stand and be promised everything, in which epoch.
fn elect(machine: &mut Machine, nonvoting: bool) -> (Tenths, Option<u32>) {
    let now = 100_000;
    let mut asked = orders(machine, now);
    for _ in 0..2 {
        let prepared: Vec<Message> = asked
            .into_iter()
            .filter_map(|order| match order {
                Action::Send { message: message @ Message::Prepare { .. }, .. } => Some(message),
                _ => None,
            })
            .collect();
        let Some(Message::Prepare { epoch, trial, .. }) = prepared.first().cloned() else { break };
        for from in ["m1", "m2", "m3"] {
            let held = at(1, 1);
            let answer = Message::Promised { epoch, trial, granted: true, promised: epoch, held, nonvoting };
            machine.handle_message(now, &name(from), answer);
        }
        asked = orders(machine, now);
    }
    (now, machine.writer_epoch())
}

#[test]
fn one_that_kept_nothing_does_not_write_whoever_would_have_it() {
    let mut machine = keeper(None);
    assert_eq!(elect(&mut machine, false).1, None);
}

#[test]
fn promises_of_those_that_kept_nothing_do_not_count() {
    let mut machine = keeper(Some(settled()));
    assert_eq!(elect(&mut machine, true).1, None);
}

#[test]
fn what_an_earlier_writer_left_is_released_only_below_a_change_of_this_epoch() {
    let mut kept = settled();
    kept.apply(&Record::Unreleased(vec![first("7")]), &Plan::default());
    let mut machine = keeper(Some(kept));
    let (now, epoch) = elect(&mut machine, false);
    let epoch = epoch.expect("it writes");
    let accepted = |machine: &mut Machine, round: u64, held: Version| {
        for from in ["m1", "m2"] {
            let released = Version::NONE;
            let message = Message::Accepted { epoch, round, held, released, nonvoting: false };
            machine.handle_message(now, &name(from), message);
        }
        orders(machine, now);
        machine.version()
    };
    // A majority holds it, and yet another writer of a later epoch may still take it back.
    assert_eq!(accepted(&mut machine, 1, at(1, 1)), Version::NONE);
    assert_eq!(accepted(&mut machine, 2, at(epoch, 2)), at(epoch, 2));
    assert_eq!(machine.document().get("limit"), Some("7"));
}

#[test]
fn keepers_that_kept_nothing_do_not_release() {
    let mut machine = keeper(Some(settled()));
    let (now, epoch) = elect(&mut machine, false);
    let epoch = epoch.expect("it writes");
    let mut accepted = |round: u64, nonvoting: bool| {
        for from in ["m1", "m2"] {
            let held = at(epoch, 1);
            let message = Message::Accepted { epoch, round, held, released: Version::NONE, nonvoting };
            machine.handle_message(now, &name(from), message);
        }
        orders(&mut machine, now);
        machine.version()
    };
    assert_eq!(accepted(1, true), Version::NONE);
    assert_eq!(accepted(2, false), at(epoch, 1));
}

/// A router with what it is served by, and the number of its ask.
fn asking(kept: Option<(Version, Document)>) -> (Subscriber, Name, u32) {
    let router = Subscriber::new(Plan::default(), name("r1"), 1, kept, names(), 0, 1);
    let mut router = router.expect("a good plan");
    let (mut now, mut asked) = (0, None);
    while asked.is_none() {
        while let Some(decision) = router.next_decision(now) {
            match decision {
                Decision::Send { to, message: Message::Subscribe { turn, .. } } => asked = Some((to, turn)),
                Decision::Apply { version, .. } => router.applied(now, version),
                _ => {}
            }
        }
        now = router.wake_at().expect("it goes on").max(now);
    }
    let (to, turn) = asked.expect("it asked");
    (router, to, turn)
}

fn applies(router: &mut Subscriber, now: Tenths) -> Vec<Version> {
    let decisions = std::iter::from_fn(|| router.next_decision(now));
    let version = |decision| match decision {
        Decision::Apply { version, .. } => Some(version),
        _ => None,
    };
    decisions.filter_map(version).collect()
}

#[test]
fn machines_of_its_own_zone_are_asked_first() {
    for near in names() {
        let router = Subscriber::new(Plan::default(), name("r1"), 1, None, names(), 0, 1);
        let mut router = router.expect("a good plan");
        router.prefer_machines(std::slice::from_ref(&near));
        let now = Plan::default().spread;
        let asked = std::iter::from_fn(|| router.next_decision(now)).find_map(|decision| match decision {
            Decision::Send { to, message: Message::Subscribe { .. } } => Some(to),
            _ => None,
        });
        assert_eq!(asked, Some(near));
    }
}

#[test]
fn an_older_whole_copy_does_not_lead_back() {
    let (_, newer) = edited("8");
    let (_, older) = edited("7");
    let (mut router, machine, turn) = asking(Some((at(2, 5), newer)));
    let bytes = whole::pack(at(2, 4), 0, &older);
    let message = Message::SnapshotPart { turn, version: at(2, 4), published: 0, part: 0, of: 1, bytes };
    router.handle_message(30_000, &machine, message);
    assert_eq!(applies(&mut router, 30_000), vec![]);
    assert_eq!(router.holds(), at(2, 5));
}

#[test]
fn one_apply_at_a_time_and_the_newest_next() {
    let (mut router, machine, turn) = asking(None);
    router.handle_message(30_000, &machine, Message::Changes { turn, changes: vec![first("7")] });
    assert_eq!(applies(&mut router, 30_000), vec![at(1, 1)]);
    let (edits, document) = edited("8");
    let digest = document.digest();
    let next = Change { version: at(1, 2), base: at(1, 1), published: 0, edits: edits.clone(), digest };
    let last = Change { version: at(1, 3), base: at(1, 2), published: 0, edits, digest };
    router.handle_message(30_000, &machine, Message::Changes { turn, changes: vec![next, last] });
    assert_eq!(applies(&mut router, 30_000), vec![], "the host has one in hand");
    router.applied(30_000, at(1, 1));
    assert_eq!(applies(&mut router, 30_000), vec![at(1, 3)]);
    router.refused(30_000, at(1, 3), "no".into());
    assert_eq!(router.in_force(), at(1, 1));
}

#[test]
fn a_gap_is_asked_for_from_where_it_is() {
    let (document, later) = (edited("7").1, edited("8"));
    let (mut router, machine, turn) = asking(Some((at(1, 1), document)));
    let change =
        Change { version: at(1, 3), base: at(1, 2), published: 0, edits: later.0, digest: later.1.digest() };
    router.handle_message(30_000, &machine, Message::Changes { turn, changes: vec![change] });
    let asked = std::iter::from_fn(|| router.next_decision(31_000)).find_map(|decision| match decision {
        Decision::Send { message: Message::Subscribe { holds, .. }, .. } => Some(holds),
        _ => None,
    });
    assert_eq!(asked, Some(at(1, 1)));
}

#[test]
fn what_answers_an_earlier_ask_is_passed_over() {
    let (mut router, machine, turn) = asking(None);
    router.handle_message(30_000, &machine, Message::Changes { turn: turn - 1, changes: vec![first("7")] });
    router.handle_message(30_000, &name("m9"), Message::Changes { turn, changes: vec![first("7")] });
    assert_eq!(router.holds(), Version::NONE);
}

#[test]
fn one_that_kept_nothing_says_so_until_it_is_told_its_floor() {
    let (mut router, machine, turn) = asking(None);
    router.handle_message(30_000, &machine, Message::Changes { turn, changes: vec![first("7")] });
    assert_eq!(applies(&mut router, 30_000), vec![at(1, 1)]);
    router.applied(30_000, at(1, 1));
    // What it was sent since its start is not what it had been told before.
    let mut ask_again = |now: Tenths, from: &Name| {
        router.connection_lost(now, from);
        let asked =
            std::iter::from_fn(|| router.next_decision(now + 2_000)).find_map(|decision| match decision {
                Decision::Send { to, message: Message::Subscribe { state_lost, turn, .. } } => {
                    Some((to, state_lost, turn))
                }
                _ => None,
            });
        let (to, state_lost, turn) = asked.expect("it asks another one");
        let beat = Message::Beat { turn, version: at(1, 1), floor: Some(at(1, 1)), no_writer: false };
        router.handle_message(now + 2_100, &to, beat);
        (to, state_lost)
    };
    let (second, state_lost) = ask_again(30_000, &machine);
    assert!(state_lost, "it asks like one that kept a file");
    assert!(!ask_again(40_000, &second).1, "its floor is known");
}

fn report(machine: &mut Machine, from: &str, turn: u32, connected: bool) -> Vec<Action> {
    let entry = RouterEntry { name: name("r1"), start: 1, turn, version: at(1, 1), refused: None, connected };
    machine.handle_message(
        10,
        &name(from),
        Message::Report { mark: 0, by: name(from), entries: vec![entry] },
    );
    orders(machine, 10)
}

#[test]
fn a_machine_that_the_router_has_left_makes_it_not_silent() {
    let mut machine = keeper(Some(settled()));
    report(&mut machine, "m1", 2, true);
    report(&mut machine, "m2", 1, false);
    assert!(machine.ledger().get(&name("r1")).is_some_and(|entry| entry.connected));
}

#[test]
fn a_keeper_knows_its_routers_by_name_after_a_restart() {
    let mut machine = keeper(Some(settled()));
    let mut kept = settled();
    for order in report(&mut machine, "m1", 1, true) {
        if let Action::Persist(record) = order {
            kept.apply(&record, &Plan::default());
        }
    }
    let again = keeper(Some(kept));
    assert!(again.ledger().get(&name("r1")).is_some_and(|entry| !entry.connected));
}

#[test]
fn a_keeper_tells_a_new_writer_of_routers_of_other_machines() {
    let mut machine = keeper(Some(settled()));
    report(&mut machine, "m2", 1, true);
    let (released, tail) = (Version::NONE, Vec::new());
    let message =
        Message::Accept { epoch: 2, round: 1, released, tail, judged: released, mark: 0, stable: 0 };
    machine.handle_message(20, &name("m1"), message);
    let told = orders(&mut machine, 10_000).into_iter().any(|order| match order {
        Action::Send { to, message: Message::Report { by, entries, .. } } => {
            to == name("m1") && by == name("m2") && entries.len() == 1
        }
        _ => false,
    });
    assert!(told);
}
