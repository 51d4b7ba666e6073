use super::super::tests::*;
use super::*;
use rstest::rstest;

#[rstest]
#[case::asked_before_the_replica(NOW + 4, State::TopologyReject)]
#[case::asked_since(NOW + 10, State::Healthy)]
fn an_answer_that_comes_late_makes_no_primary(#[case] asked: Tenths, #[case] state: State) {
    let mut r = router(&[]);
    r.learn_role(NOW, 0, role_claim(true, NOW));
    r.learn_role(NOW + 10, 0, role_claim(false, NOW + 5));
    r.learn_role(NOW + 20, 0, role_claim(true, asked));
    assert_eq!(r.members[0].state, state);
    let old = r.take_events().iter().any(|event| matches!(event, Event::OldRole { .. }));
    assert_eq!(old, state != State::Healthy);
}

#[rstest]
fn an_old_answer_of_the_former_primary_ends_no_newer_one() {
    let mut r = router(&[]);
    r.learn_role(NOW, 0, role_claim(true, NOW));
    r.learn_role(NOW + 20, 1, role_claim(true, NOW + 10));
    r.learn_role(NOW + 30, 0, role_claim(true, NOW + 5));
    assert_eq!([r.members[0].state, r.members[1].state], [State::Unknown, State::Healthy]);
    r.learn_role(NOW + 50, 0, role_claim(true, NOW + 40));
    assert_eq!([r.members[0].state, r.members[1].state], [State::Healthy, State::Unknown]);
}

#[rstest]
fn an_old_answer_as_replica_leaves_a_new_primary_to_writes_alone() {
    let mut r = router(&[]);
    r.learn_role(NOW + 10, 1, role_claim(true, NOW + 5));
    r.learn_role(NOW + 20, 1, role_claim(false, NOW));
    assert_eq!(r.members[1].state, State::Healthy);
    assert!(!Router::is_current(&r.members[1]), "it may have said so since");
    r.learn_role(NOW + 30, 1, role_claim(true, NOW + 21));
    assert!(Router::is_current(&r.members[1]));
}

#[rstest]
fn a_primary_asked_before_the_replica_was_heard_takes_writes_and_no_reads() {
    let mut r = router(&[]);
    r.learn_role(NOW + 10, 1, role_claim(false, NOW));
    r.learn_role(NOW + 20, 1, role_claim(true, NOW + 5));
    assert_eq!(r.members[1].state, State::Healthy);
    assert!(!Router::is_current(&r.members[1]));
}

#[rstest]
#[case::first(false)]
#[case::after_the_other(true)]
fn both_the_roles_that_a_probe_tells_count(#[case] recovers: bool) {
    let mut r = router(&[]);
    r.learn_role(NOW, 0, role_claim(true, NOW));
    r.members[0].state = if recovers { State::TransportError } else { State::Healthy };
    let end = ProbeEnd { primary: Some(false), took: 5, ..probe_end(Ending::Answered, Report::default()) };
    r.probe_ended(NOW + 10, "a", end);
    assert_eq!(r.members[0].state, State::TopologyReject);
}

#[rstest]
#[case::replica(false, State::TopologyReject)]
#[case::primary(true, State::Healthy)]
fn a_role_that_is_told_as_a_connection_is_opened_counts(#[case] primary: bool, #[case] state: State) {
    let mut r = router(&[]);
    r.role_told(NOW, "a", NOW - 10, primary);
    r.role_told(NOW, "nobody", NOW - 10, primary);
    assert_eq!(r.members[0].state, state);
}

/// A router that stood still, a slow way: reports that were given long before they are heard.
#[rstest]
fn reports_that_lay_for_long_say_nothing_against_the_clock() {
    let mut r = router(&[]);
    for at in (0..5).map(|n| NOW + n * 100) {
        let report = Report { primary: Some(true), position: Some(at - 13_000) };
        r.probe_ended(at, "a", ProbeEnd { took: 13_000, ..probe_end(Ending::Answered, report) });
        assert_eq!(r.clock.latest(at), Some(at), "the clock is right");
    }
}

#[rstest]
#[case::newer(100, State::Healthy)]
#[case::older(-100, State::TopologyReject)]
fn a_report_is_dated_by_its_position(#[case] after: Tenths, #[case] state: State) {
    let mut r = router(&[]);
    r.learn_role(NOW, 1, role_claim(false, NOW - 5));
    let report = Report { primary: Some(true), position: Some(NOW + after) };
    r.probe_ended(NOW + 200, "b", ProbeEnd { took: 150, ..probe_end(Ending::Answered, report) });
    assert_eq!(r.members[1].state, state);
}

/// Reports that a member which hangs hands on: what it told last, for as long as it does.
#[rstest]
#[case::one_member(&["a"])]
#[case::three_that_hang_together(&["a", "b", "c"])]
fn a_report_from_before_a_hang_moves_no_clock(#[case] hanging: &[&str]) {
    let mut r = router(&[]);
    for at in (0..50).map(|n| NOW + n * 1_000) {
        for node in hanging {
            let report = Report { primary: Some(true), position: Some(NOW - 1_000) };
            r.probe_ended(at, node, probe_end(Ending::Answered, report));
            assert_eq!(r.clock.latest(at), Some(at), "the clock is right");
        }
    }
}

/// A primary that stands still tells what was so as it stopped, in answers to what was asked since.
#[rstest]
fn an_answer_with_a_position_that_stands_still_moves_no_clock() {
    let mut r = router(&[]);
    for at in (0..20).map(|n| NOW + n * 100) {
        let note = Note { primary: Some(true), position: NOW - 50 };
        r.past(at + 10, at, 0, note, false);
        assert_eq!(r.clock.latest(at + 10), Some(at + 10), "the clock is right");
    }
}

/// Their clock is 1 s behind this one; a primary's positions go on, 0.2 s from one request to the next.
#[rstest]
fn positions_that_go_on_correct_a_clock_that_is_ahead() {
    let mut r = router(&[]);
    r.clock = MemberClock::default();
    for at in (0..5).map(|n| NOW + n * 2_000) {
        let note = Note { primary: Some(true), position: at + 5 - SECOND };
        r.past(at + 10, at, 0, note, false);
    }
    let latest = r.clock.latest(NOW + SECOND).expect("borne out") - NOW - SECOND;
    assert!((-SECOND..-SECOND + 2_050).contains(&latest), "{latest}");
}

#[rstest]
#[case::from_before(NOW - 100, State::TransportError)]
#[case::made_since(NOW + 100, State::Healthy)]
fn a_report_from_before_it_broke_brings_no_primary_back(#[case] made: Tenths, #[case] state: State) {
    let mut r = router(&[]);
    r.learn_role(NOW - 200, 0, role_claim(true, NOW - 200));
    r.break_member(NOW, 0);
    let report = Report { primary: Some(true), position: Some(made) };
    r.probe_ended(NOW + 300, "a", ProbeEnd { took: 10, ..probe_end(Ending::Answered, report) });
    assert_eq!(r.members[0].state, state);
    let asked_again = r.members[0].retry_at <= NOW + 300 + 2 * PAUSE;
    assert!(asked_again || state == State::Healthy, "soon");
}

#[rstest]
fn a_position_told_as_the_primary_is_none_of_a_replica() {
    let mut r = router(&[]);
    r.learn_position(NOW, NOW - 10, 0, Note { primary: Some(true), position: NOW });
    r.learn_report(NOW, NOW - 10, 0, Report { primary: Some(true), position: Some(NOW) });
    assert_eq!(r.members[0].position, 0);
}

#[rstest]
#[case::asked_later(NOW + 20, NOW - 500)]
#[case::overtaken(NOW + 5, NOW)]
fn a_replica_that_tells_less_than_before_is_believed(#[case] asked: Tenths, #[case] position: Tenths) {
    let mut r = router(&[]);
    r.learn_position(NOW + 10, NOW, 1, Note { primary: Some(false), position: NOW });
    r.learn_position(NOW + 30, asked, 1, Note { primary: Some(false), position: NOW - 500 });
    assert_eq!(r.members[1].position, position);
}
