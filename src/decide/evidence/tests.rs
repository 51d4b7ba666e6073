use super::super::tests::*;
use super::*;
use rstest::rstest;

#[rstest]
#[case::requested_before_replica_claim(NOW + 4, State::TopologyReject)]
#[case::requested_after_replica_claim(NOW + 10, State::Healthy)]
fn delayed_primary_claim_does_not_override_replica_claim(#[case] requested_at: Tenths, #[case] state: State) {
    let mut r = router(&[]);
    r.learn_role(NOW, 0, role_claim(true, NOW));
    r.learn_role(NOW + 10, 0, role_claim(false, NOW + 5));
    r.learn_role(NOW + 20, 0, role_claim(true, requested_at));
    assert_eq!(r.members[0].state, state);
    let event_reported = r.take_events().iter().any(|event| matches!(event, Event::StaleRoleClaim { .. }));
    assert_eq!(event_reported, state != State::Healthy);
}

#[rstest]
fn delayed_claim_of_former_primary_does_not_demote_new_primary() {
    let mut r = router(&[]);
    r.learn_role(NOW, 0, role_claim(true, NOW));
    r.learn_role(NOW + 20, 1, role_claim(true, NOW + 10));
    r.learn_role(NOW + 30, 0, role_claim(true, NOW + 5));
    assert_eq!([r.members[0].state, r.members[1].state], [State::Unknown, State::Healthy]);
    r.learn_role(NOW + 50, 0, role_claim(true, NOW + 40));
    assert_eq!([r.members[0].state, r.members[1].state], [State::Healthy, State::Unknown]);
}

#[rstest]
fn delayed_replica_claim_restricts_new_primary_to_writes() {
    let mut r = router(&[]);
    r.learn_role(NOW + 10, 1, role_claim(true, NOW + 5));
    r.learn_role(NOW + 20, 1, role_claim(false, NOW));
    assert_eq!(r.members[1].state, State::Healthy);
    assert!(!Router::is_confirmed_primary(&r.members[1]), "the replica claim may be the later one");
    r.learn_role(NOW + 30, 1, role_claim(true, NOW + 21));
    assert!(Router::is_confirmed_primary(&r.members[1]));
}

#[rstest]
fn overlapping_primary_claim_allows_writes_but_no_reads() {
    let mut r = router(&[]);
    r.learn_role(NOW + 10, 1, role_claim(false, NOW));
    r.learn_role(NOW + 20, 1, role_claim(true, NOW + 5));
    assert_eq!(r.members[1].state, State::Healthy);
    assert!(!Router::is_confirmed_primary(&r.members[1]));
}

#[rstest]
#[case::healthy(false)]
#[case::recovering(true)]
fn probe_role_is_learned_without_a_report(#[case] recovers: bool) {
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
fn role_sent_on_connect_is_learned(#[case] primary: bool, #[case] state: State) {
    let mut r = router(&[]);
    r.role_announced(NOW, "a", NOW - 10, primary);
    r.role_announced(NOW, "nobody", NOW - 10, primary);
    assert_eq!(r.members[0].state, state);
}

/// Reports that arrive long after they were made, as the router was suspended or the network is slow, must not
/// contradict a correct clock.
#[rstest]
fn delayed_reports_do_not_contradict_the_clock() {
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
fn report_is_dated_by_its_position(#[case] after: Tenths, #[case] state: State) {
    let mut r = router(&[]);
    r.learn_role(NOW, 1, role_claim(false, NOW - 5));
    let report = Report { primary: Some(true), position: Some(NOW + after) };
    r.probe_ended(NOW + 200, "b", ProbeEnd { took: 150, ..probe_end(Ending::Answered, report) });
    assert_eq!(r.members[1].state, state);
}

/// A member that hangs keeps sending its last report from before the hang. Such reports must not move the clock.
#[rstest]
#[case::one_member(&["a"])]
#[case::three_members(&["a", "b", "c"])]
fn report_from_before_a_hang_does_not_move_the_clock(#[case] hanging: &[&str]) {
    let mut r = router(&[]);
    for at in (0..50).map(|n| NOW + n * 1_000) {
        for node in hanging {
            let report = Report { primary: Some(true), position: Some(NOW - 1_000) };
            r.probe_ended(at, node, probe_end(Ending::Answered, report));
            assert_eq!(r.clock.latest(at), Some(at), "the clock is right");
        }
    }
}

/// A primary that hangs answers later requests with its position from before the hang.
#[rstest]
fn unchanging_position_in_answers_does_not_move_the_clock() {
    let mut r = router(&[]);
    for at in (0..20).map(|n| NOW + n * 100) {
        let note = AnswerNote { primary: Some(true), position: NOW - 50 };
        r.without_future_position(at + 10, at, 0, note, false);
        assert_eq!(r.clock.latest(at + 10), Some(at + 10), "the clock is right");
    }
}

/// The members' clock is 1 s behind the router's; a primary's position advances, with 0.2 s between requests.
#[rstest]
fn advancing_positions_correct_a_clock_that_is_ahead() {
    let mut r = router(&[]);
    r.clock = MemberClock::default();
    for at in (0..5).map(|n| NOW + n * 2_000) {
        let note = AnswerNote { primary: Some(true), position: at + 5 - SECOND };
        r.without_future_position(at + 10, at, 0, note, false);
    }
    let latest = r.clock.latest(NOW + SECOND).expect("confirmed") - NOW - SECOND;
    assert!((-SECOND..-SECOND + 2_050).contains(&latest), "{latest}");
}

#[rstest]
#[case::made_before(NOW - 100, State::TransportError)]
#[case::made_after(NOW + 100, State::Healthy)]
fn report_from_before_the_break_does_not_restore_the_primary(#[case] made_at: Tenths, #[case] state: State) {
    let mut r = router(&[]);
    r.learn_role(NOW - 200, 0, role_claim(true, NOW - 200));
    r.mark_broken(NOW, 0);
    let report = Report { primary: Some(true), position: Some(made_at) };
    r.probe_ended(NOW + 300, "a", ProbeEnd { took: 10, ..probe_end(Ending::Answered, report) });
    assert_eq!(r.members[0].state, state);
    let probed_soon = r.members[0].retry_at <= NOW + 300 + 2 * BASE_PAUSE;
    assert!(probed_soon || state == State::Healthy, "the member is probed again soon");
}

#[rstest]
fn position_sent_as_primary_is_not_a_replica_position() {
    let mut r = router(&[]);
    r.learn_position(NOW, NOW - 10, 0, AnswerNote { primary: Some(true), position: NOW });
    r.learn_report(NOW, NOW - 10, 0, Report { primary: Some(true), position: Some(NOW) });
    assert_eq!(r.members[0].position, 0);
}

#[rstest]
#[case::requested_later(NOW + 20, NOW - 500)]
#[case::overtaken(NOW + 5, NOW)]
fn lower_position_of_a_replica_replaces_a_higher_one(#[case] requested_at: Tenths, #[case] position: Tenths) {
    let mut r = router(&[]);
    r.learn_position(NOW + 10, NOW, 1, AnswerNote { primary: Some(false), position: NOW });
    r.learn_position(NOW + 30, requested_at, 1, AnswerNote { primary: Some(false), position: NOW - 500 });
    assert_eq!(r.members[1].position, position);
}
