//! A single keeper, writer or router, driven message by message through cases that rarely occur in a simulated fleet.

use std::collections::BTreeMap;

use vetchkeel_configuration::{
    Action, Change, Decision, Document, Edit, Machine, Message, Name, PersistedState, Plan, Record,
    RouterEntry, Subscriber, Tenths, Version, whole,
};

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn names() -> Vec<Name> {
    (0..5).map(|at| name(&format!("m{at}"))).collect()
}

fn version(epoch: u32, number: u64) -> Version {
    Version { epoch, number }
}

fn document_with_limit(value: &str) -> (Vec<Edit>, Document) {
    let document = Document::from(BTreeMap::from([("limit".to_string(), value.to_string())]));
    (vec![Edit { name: "limit".into(), value: Some(value.into()) }], document.expect("within the limits"))
}

/// The change from the empty document to one that sets `limit` to this value.
fn first_change(value: &str) -> Change {
    let (edits, document) = document_with_limit(value);
    Change { version: version(1, 1), base: Version::NONE, published: 0, edits, digest: document.digest() }
}

/// The persisted state of a voting keeper that has promised epoch 1.
fn voting_state() -> PersistedState {
    let mut kept = PersistedState::default();
    kept.apply(&Record::Promised(1), &Plan::default());
    kept.apply(&Record::Voting, &Plan::default());
    kept
}

fn keeper(kept: Option<PersistedState>) -> Machine {
    let machine = Machine::new(Plan::default(), name("m0"), names(), names(), kept, |_| Ok(()), 0, 1);
    machine.expect("a valid plan")
}

fn orders(machine: &mut Machine, now: Tenths) -> Vec<Action> {
    std::iter::from_fn(|| machine.next_decision(now)).collect()
}

/// Asks the keeper to promise an epoch. Returns whether it is granted and the records persisted before the reply.
fn request_promise(
    machine: &mut Machine,
    from: &str,
    epoch: u32,
    held: Version,
    founding: bool,
) -> (bool, Vec<Record>) {
    machine.handle_message(10, &name(from), Message::Prepare { epoch, held, trial: false, founding });
    let mut kept = Vec::new();
    for order in orders(machine, 10) {
        match order {
            Action::Persist(record) => kept.push(record),
            Action::Send { message: Message::Promised { granted, .. }, .. } => return (granted, kept),
            _ => {}
        }
    }
    panic!("the keeper sent no reply")
}

#[test]
fn promise_is_persisted_before_the_reply_and_survives_a_restart() {
    let mut machine = keeper(Some(voting_state()));
    let (granted, records) = request_promise(&mut machine, "m1", 2, Version::NONE, false);
    assert!(granted);
    assert!(records.contains(&Record::Promised(2)), "{records:?}");
    let mut kept = voting_state();
    records.iter().for_each(|record| kept.apply(record, &Plan::default()));
    let mut restarted = keeper(Some(kept));
    assert!(
        !request_promise(&mut restarted, "m2", 2, Version::NONE, false).0,
        "epoch 2 is promised to two candidates"
    );
    assert!(request_promise(&mut restarted, "m2", 3, Version::NONE, false).0);
}

#[test]
fn keeper_rejects_a_candidate_that_holds_an_older_version() {
    let mut kept = voting_state();
    kept.apply(&Record::Unreleased(vec![first_change("7")]), &Plan::default());
    let mut machine = keeper(Some(kept));
    assert!(!request_promise(&mut machine, "m1", 2, Version::NONE, false).0);
    assert!(request_promise(&mut machine, "m1", 3, version(1, 1), false).0);
}

#[test]
fn keeper_without_state_promises_only_to_a_founding_candidate() {
    let mut machine = keeper(None);
    assert!(!request_promise(&mut machine, "m1", 2, version(1, 1), false).0);
    let (granted, records) = request_promise(&mut machine, "m1", 3, Version::NONE, true);
    assert!(granted && records.contains(&Record::Voting), "{records:?}");
}

/// Lets a machine become a candidate and grants it every promise; returns the epoch in which it writes, if any.
fn elect(machine: &mut Machine, nonvoting: bool) -> (Tenths, Option<u32>) {
    let now = 100_000;
    let mut sent = orders(machine, now);
    for _ in 0..2 {
        let prepared: Vec<Message> = sent
            .into_iter()
            .filter_map(|order| match order {
                Action::Send { message: message @ Message::Prepare { .. }, .. } => Some(message),
                _ => None,
            })
            .collect();
        let Some(Message::Prepare { epoch, trial, .. }) = prepared.first().cloned() else { break };
        for from in ["m1", "m2", "m3"] {
            let held = version(1, 1);
            let answer = Message::Promised { epoch, trial, granted: true, promised: epoch, held, nonvoting };
            machine.handle_message(now, &name(from), answer);
        }
        sent = orders(machine, now);
    }
    (now, machine.writer_epoch())
}

#[test]
fn machine_without_state_does_not_become_the_writer() {
    let mut machine = keeper(None);
    assert_eq!(elect(&mut machine, false).1, None);
}

#[test]
fn promises_of_keepers_without_state_do_not_count() {
    let mut machine = keeper(Some(voting_state()));
    assert_eq!(elect(&mut machine, true).1, None);
}

#[test]
fn changes_of_an_earlier_epoch_are_released_only_with_one_of_the_current_epoch() {
    let mut kept = voting_state();
    kept.apply(&Record::Unreleased(vec![first_change("7")]), &Plan::default());
    let mut machine = keeper(Some(kept));
    let (now, epoch) = elect(&mut machine, false);
    let epoch = epoch.expect("the machine writes");
    let accepted = |machine: &mut Machine, round: u64, held: Version| {
        for from in ["m1", "m2"] {
            let released = Version::NONE;
            let message = Message::Accepted { epoch, round, held, released, nonvoting: false };
            machine.handle_message(now, &name(from), message);
        }
        orders(machine, now);
        machine.version()
    };
    // A majority holds the change, but the writer of a later epoch may still discard it.
    assert_eq!(accepted(&mut machine, 1, version(1, 1)), Version::NONE);
    assert_eq!(accepted(&mut machine, 2, version(epoch, 2)), version(epoch, 2));
    assert_eq!(machine.document().get("limit"), Some("7"));
}

#[test]
fn keepers_without_state_do_not_count_towards_a_release() {
    let mut machine = keeper(Some(voting_state()));
    let (now, epoch) = elect(&mut machine, false);
    let epoch = epoch.expect("the machine writes");
    let mut accepted = |round: u64, nonvoting: bool| {
        for from in ["m1", "m2"] {
            let held = version(epoch, 1);
            let message = Message::Accepted { epoch, round, held, released: Version::NONE, nonvoting };
            machine.handle_message(now, &name(from), message);
        }
        orders(&mut machine, now);
        machine.version()
    };
    assert_eq!(accepted(1, true), Version::NONE);
    assert_eq!(accepted(2, false), version(epoch, 1));
}

/// A router that has sent a request, the machine it asked and the number (`turn`) of the request.
fn router_with_request(kept: Option<(Version, Document)>) -> (Subscriber, Name, u32) {
    let router = Subscriber::new(Plan::default(), name("r1"), 1, kept, names(), 0, 1);
    let mut router = router.expect("a valid plan");
    let (mut now, mut asked) = (0, None);
    while asked.is_none() {
        while let Some(decision) = router.next_decision(now) {
            match decision {
                Decision::Send { to, message: Message::Subscribe { turn, .. } } => asked = Some((to, turn)),
                Decision::Apply { version, .. } => router.applied(now, version),
                _ => {}
            }
        }
        now = router.wake_at().expect("a wake-up time is set").max(now);
    }
    let (to, turn) = asked.expect("the router sent a request");
    (router, to, turn)
}

fn versions_to_apply(router: &mut Subscriber, now: Tenths) -> Vec<Version> {
    let decisions = std::iter::from_fn(|| router.next_decision(now));
    let version = |decision| match decision {
        Decision::Apply { version, .. } => Some(version),
        _ => None,
    };
    decisions.filter_map(version).collect()
}

#[test]
fn router_asks_machines_of_its_own_zone_first() {
    for near in names() {
        let router = Subscriber::new(Plan::default(), name("r1"), 1, None, names(), 0, 1);
        let mut router = router.expect("a valid plan");
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
fn older_snapshot_does_not_roll_a_router_back() {
    let (_, newer) = document_with_limit("8");
    let (_, older) = document_with_limit("7");
    let (mut router, machine, turn) = router_with_request(Some((version(2, 5), newer)));
    let bytes = whole::pack(version(2, 4), 0, &older);
    let message = Message::SnapshotPart { turn, version: version(2, 4), published: 0, part: 0, of: 1, bytes };
    router.handle_message(30_000, &machine, message);
    assert_eq!(versions_to_apply(&mut router, 30_000), vec![]);
    assert_eq!(router.holds(), version(2, 5));
}

#[test]
fn router_applies_one_version_at_a_time_and_the_newest_next() {
    let (mut router, machine, turn) = router_with_request(None);
    router.handle_message(30_000, &machine, Message::Changes { turn, changes: vec![first_change("7")] });
    assert_eq!(versions_to_apply(&mut router, 30_000), vec![version(1, 1)]);
    let (edits, document) = document_with_limit("8");
    let digest = document.digest();
    let next =
        Change { version: version(1, 2), base: version(1, 1), published: 0, edits: edits.clone(), digest };
    let last = Change { version: version(1, 3), base: version(1, 2), published: 0, edits, digest };
    router.handle_message(30_000, &machine, Message::Changes { turn, changes: vec![next, last] });
    assert_eq!(versions_to_apply(&mut router, 30_000), vec![], "the host is still applying a version");
    router.applied(30_000, version(1, 1));
    assert_eq!(versions_to_apply(&mut router, 30_000), vec![version(1, 3)]);
    router.refused(30_000, version(1, 3), "no".into());
    assert_eq!(router.in_force(), version(1, 1));
}

#[test]
fn router_asks_again_from_its_held_version_after_a_gap() {
    let (document, later) = (document_with_limit("7").1, document_with_limit("8"));
    let (mut router, machine, turn) = router_with_request(Some((version(1, 1), document)));
    let change = Change {
        version: version(1, 3),
        base: version(1, 2),
        published: 0,
        edits: later.0,
        digest: later.1.digest(),
    };
    router.handle_message(30_000, &machine, Message::Changes { turn, changes: vec![change] });
    let asked = std::iter::from_fn(|| router.next_decision(31_000)).find_map(|decision| match decision {
        Decision::Send { message: Message::Subscribe { holds, .. }, .. } => Some(holds),
        _ => None,
    });
    assert_eq!(asked, Some(version(1, 1)));
}

#[test]
fn answer_to_an_earlier_request_is_ignored() {
    let (mut router, machine, turn) = router_with_request(None);
    router.handle_message(
        30_000,
        &machine,
        Message::Changes { turn: turn - 1, changes: vec![first_change("7")] },
    );
    router.handle_message(30_000, &name("m9"), Message::Changes { turn, changes: vec![first_change("7")] });
    assert_eq!(router.holds(), Version::NONE);
}

#[test]
fn router_without_state_subscribes_as_lost_until_it_learns_its_floor() {
    let (mut router, machine, turn) = router_with_request(None);
    router.handle_message(30_000, &machine, Message::Changes { turn, changes: vec![first_change("7")] });
    assert_eq!(versions_to_apply(&mut router, 30_000), vec![version(1, 1)]);
    router.applied(30_000, version(1, 1));
    // A version received since the start does not show which version the router had in force before it.
    let mut ask_again = |now: Tenths, from: &Name| {
        router.connection_lost(now, from);
        let asked =
            std::iter::from_fn(|| router.next_decision(now + 2_000)).find_map(|decision| match decision {
                Decision::Send { to, message: Message::Subscribe { state_lost, turn, .. } } => {
                    Some((to, state_lost, turn))
                }
                _ => None,
            });
        let (to, state_lost, turn) = asked.expect("the router asks another machine");
        let beat =
            Message::Beat { turn, version: version(1, 1), floor: Some(version(1, 1)), no_writer: false };
        router.handle_message(now + 2_100, &to, beat);
        (to, state_lost)
    };
    let (second, state_lost) = ask_again(30_000, &machine);
    assert!(state_lost, "the router asks as if it had a saved document");
    assert!(!ask_again(40_000, &second).1, "the router asks as lost although its floor is known");
}

/// A change has to be in force this long after it was published.
const IN_FORCE_WITHIN: Tenths = 140_000;

/// When a router is in contact with a writer if each machine answers its requests after this time, or never.
fn contact_with_slow_machines(answers_after: impl Fn(&Name) -> Option<Tenths>) -> Option<Tenths> {
    let router = Subscriber::new(Plan::default(), name("r1"), 1, None, names(), 0, 1);
    let mut router = router.expect("a valid plan");
    let mut answers: Vec<(Tenths, Name, u32)> = Vec::new();
    let mut now = 0;
    while now <= IN_FORCE_WITHIN {
        for (_, machine, turn) in answers.extract_if(.., |(at, ..)| *at <= now) {
            let beat = Message::Beat { turn, version: Version::NONE, floor: None, no_writer: false };
            router.handle_message(now, &machine, beat);
        }
        while let Some(decision) = router.next_decision(now) {
            if let Decision::Send { to, message: Message::Subscribe { turn, .. } } = decision
                && let Some(after) = answers_after(&to)
            {
                answers.push((now + after, to, turn));
            }
        }
        if router.no_contact_since().is_none() {
            return Some(now);
        }
        let wake_at = router.wake_at().into_iter().chain(answers.iter().map(|(at, ..)| *at)).min();
        now = wake_at.expect("something is due").max(now + 1);
    }
    None
}

/// Guards against machines that all answer more slowly than a router waits, and that it leaves again and again.
#[test]
fn machines_that_answer_late_are_waited_for_in_the_end() {
    for after in [500, 12_000, 15_000, 25_000, 40_000] {
        let contact = contact_with_slow_machines(|_| Some(after));
        assert!(contact.is_some(), "no contact within 14 s with machines that take {after} tenths of a ms");
    }
}

/// Guards against a router that waits long for a machine that is hung although others answer.
#[test]
fn machine_that_does_not_answer_is_left_after_a_second() {
    for hung in names() {
        let contact = contact_with_slow_machines(|machine| (*machine != hung).then_some(500));
        assert!(contact.is_some_and(|at| at < 35_000), "{contact:?}");
    }
}

fn report(machine: &mut Machine, from: &str, turn: u32, connected: bool) -> Vec<Action> {
    let entry =
        RouterEntry { name: name("r1"), start: 1, turn, version: version(1, 1), refused: None, connected };
    machine.handle_message(
        10,
        &name(from),
        Message::Report { mark: 0, by: name(from), entries: vec![entry] },
    );
    orders(machine, 10)
}

#[test]
fn late_report_of_a_former_machine_does_not_make_the_router_silent() {
    let mut machine = keeper(Some(voting_state()));
    report(&mut machine, "m1", 2, true);
    report(&mut machine, "m2", 1, false);
    assert!(machine.ledger().get(&name("r1")).is_some_and(|entry| entry.connected));
}

#[test]
fn keeper_remembers_router_names_over_a_restart() {
    let mut machine = keeper(Some(voting_state()));
    let mut kept = voting_state();
    for order in report(&mut machine, "m1", 1, true) {
        if let Action::Persist(record) = order {
            kept.apply(&record, &Plan::default());
        }
    }
    let restarted = keeper(Some(kept));
    assert!(restarted.ledger().get(&name("r1")).is_some_and(|entry| !entry.connected));
}

#[test]
fn keeper_reports_routers_of_other_machines_to_a_new_writer() {
    let mut machine = keeper(Some(voting_state()));
    report(&mut machine, "m2", 1, true);
    let (released, tail) = (Version::NONE, Vec::new());
    let message =
        Message::Accept { epoch: 2, round: 1, released, tail, judged: released, mark: 0, stable: 0 };
    machine.handle_message(20, &name("m1"), message);
    let relayed = orders(&mut machine, 10_000).into_iter().any(|order| match order {
        Action::Send { to, message: Message::Report { by, entries, .. } } => {
            to == name("m1") && by == name("m2") && entries.len() == 1
        }
        _ => false,
    });
    assert!(relayed);
}
