use super::super::tests::*;
use super::*;
use rstest::rstest;

/// A router with a bounded read (300 ms) in flight to the member `b`, sent at NOW.
fn router_with_read(extra: &[(&str, &str)]) -> Router {
    let mut r = router(extra);
    add_open_command(&mut r, "bounded");
    r.open.get_mut(&0).unwrap().in_flight.insert(0, (1, NOW));
    r
}

fn is_served(r: &Router) -> bool {
    r.may_serve("cmd", 0, AnswerNote::default())
}

#[rstest]
#[case::in_time(NOW + 2_999, true)]
#[case::delayed(NOW + 3_000, false)]
fn staleness_bound_counts_from_the_write(#[case] written: Tenths, #[case] served: bool) {
    let mut r = router_with_read(&[]);
    r.members[1].position = NOW;
    assert!(r.may_write(NOW + 1, "cmd", 0), "the position is fresh enough at the time of the decision");
    let found = r.attempt_written(written, "cmd", 0);
    let behind = written - NOW;
    let expected =
        if served { Written::ToReplica { behind } } else { Written::TooOld { behind, may_give_up: true } };
    assert_eq!((found, is_served(&r)), (expected, served));
}

#[rstest]
#[case::allowed("true", true)]
#[case::not_allowed("false", false)]
fn stale_attempt_may_be_cancelled_only_if_permitted(#[case] cancel: &str, #[case] allowed: bool) {
    let mut r = router_with_read(&[("permissions.cancel", cancel)]);
    let found = r.attempt_written(NOW, "cmd", 0);
    assert!(matches!(found, Written::TooOld { may_give_up, .. } if may_give_up == allowed), "{found:?}");
    assert!(!is_served(&r));
}

#[rstest]
#[case::any("any", &[])]
#[case::write("write", &[])]
#[case::members_check_age("bounded", &[("family_info.server_checks", "refuse")])]
fn commands_without_staleness_bound_are_always_served(#[case] kind: &str, #[case] extra: &[(&str, &str)]) {
    let mut r = router(extra);
    add_open_command(&mut r, kind);
    r.open.get_mut(&0).unwrap().in_flight.insert(0, (1, NOW));
    assert_eq!(r.attempt_written(NOW + 60 * SECOND, "cmd", 0), Written::Free);
    assert!(is_served(&r));
}

#[rstest]
#[case::requested_before_the_write(NOW - 1, false)]
#[case::requested_at_the_write(NOW + 10, false)]
#[case::requested_after_the_write(NOW + 11, true)]
fn replica_claim_that_may_precede_the_write_bars_the_answer(
    #[case] requested_at: Tenths,
    #[case] served: bool,
) {
    for kind in ["bounded", "session", "fresh"] {
        let mut r = router(&[]);
        add_open_command(&mut r, kind);
        r.open.get_mut(&0).unwrap().in_flight.insert(0, (1, NOW));
        r.learn_role(NOW - 2, 1, role_claim(true, NOW - 2));
        assert_eq!(r.attempt_written(NOW + 10, "cmd", 0), Written::ToPrimary);
        r.replica_role_received(NOW + 20, "b", requested_at);
        assert_eq!(is_served(&r), served, "{kind}");
        // The member becomes the primary again, which does not make the data of the read any fresher.
        r.learn_role(NOW + 40, 1, role_claim(true, NOW + 30));
        assert_eq!(is_served(&r), served, "{kind}");
    }
}

#[rstest]
#[case::fresh_enough(NOW - 3_000, true)]
#[case::too_old(NOW - 3_001, false)]
fn answer_with_a_stale_position_is_not_served(#[case] position: Tenths, #[case] served: bool) {
    let mut r = router_with_read(&[]);
    r.members[1].position = NOW;
    assert_eq!(r.attempt_written(NOW, "cmd", 0), Written::ToReplica { behind: 0 });
    let note = AnswerNote { primary: Some(false), position };
    assert_eq!(r.may_serve("cmd", 0, note), served);
}

/// The estimate of the members' clock may be corrected between the write and the answer.
#[rstest]
#[case::unchanged(0, true)]
#[case::corrected_to_later(500, false)]
fn answer_is_judged_by_the_current_clock_estimate(#[case] correction: Tenths, #[case] served: bool) {
    let mut r = router_with_read(&[]);
    r.members[1].position = NOW - 2_800;
    assert_eq!(r.attempt_written(NOW, "cmd", 0), Written::ToReplica { behind: 2_800 });
    r.clock.learn(NOW + 100, OffsetEvidence::from_any_member(NOW + 100 + correction, NOW + 100));
    assert_eq!(is_served(&r), served);
}

#[rstest]
#[case::replayable("pure", true)]
#[case::mutating("side_effect", false)]
fn stale_read_is_retried_only_if_replayable(#[case] semantics: &str, #[case] retried: bool) {
    let mut r = router_with_read(&[("request_classes.1.semantics", semantics)]);
    r.members[2].position = NOW + 10;
    r.dispatch_ended(NOW + 10, "cmd", dispatch_end(Ending::TooOld, Some(false)));
    let decisions: Vec<Decision> = std::iter::from_fn(|| r.next_decision(NOW + 10)).collect();
    let sent = decisions.iter().any(|d| matches!(d, Decision::Dispatch { node, .. } if &**node == "c"));
    let failed = decisions.contains(&Decision::Fail { command: "cmd".into() });
    assert_eq!((sent, failed), (retried, !retried), "{decisions:?}");
}

#[rstest]
fn primary_in_doubt_is_probed_while_reads_wait() {
    let mut r = router(&[]);
    (1..3).for_each(|n| r.members[n].excluded = true);
    add_open_command(&mut r, "fresh");
    r.learn_role(NOW, 0, role_claim(true, NOW));
    r.replica_role_received(NOW + 5, "a", NOW);
    assert!(!r.try_dispatch(NOW + BASE_PAUSE, 1, 0));
    assert_eq!(r.next_decision(NOW + BASE_PAUSE), Some(Decision::Probe { node: "a".into() }));
}

/// Without writes, only reports give evidence of the members' clock.
#[rstest]
#[case::unconfirmed(MemberClock::default(), true)]
#[case::confirmed(confirmed(), false)]
fn primary_is_probed_until_the_clock_is_confirmed(#[case] clock: MemberClock, #[case] probes: bool) {
    let mut r = router(&[]);
    r.clock = clock;
    while r.next_decision(NOW).is_some() {}
    r.members.iter_mut().for_each(|m| (m.probing, m.probed_at) = (false, NOW - BASE_PAUSE));
    (1..3).for_each(|n| r.members[n].excluded = true);
    add_open_command(&mut r, "bounded");
    r.learn_role(NOW, 0, role_claim(true, NOW));
    assert!(r.try_dispatch(NOW, 1, 0), "the primary serves it");
    let decisions: Vec<Decision> = std::iter::from_fn(|| r.next_decision(NOW)).collect();
    assert_eq!(decisions.contains(&Decision::Probe { node: "a".into() }), probes, "{decisions:?}");
}

fn confirmed() -> MemberClock {
    let mut clock = MemberClock::default();
    clock.learn(NOW, OffsetEvidence::from_primary(NOW, NOW, NOW, 0));
    clock
}

/// A write of the session is answered at NOW + 20, with its commit at NOW + 10.
fn session_writes(r: &mut Router) {
    r.next_key = 1;
    let cmd = Command { session: Some("s".into()), ..command("w", "write") };
    r.command_arrived(NOW, cmd).unwrap();
    let key = r.key_by_id["w"];
    r.open.get_mut(&key).unwrap().in_flight.insert(0, (0, NOW));
    let note = AnswerNote { primary: Some(true), position: NOW + 10 };
    r.dispatch_ended(NOW + 20, "w", DispatchEnd { note, ..dispatch_end(Ending::Answered, None) });
}

#[rstest]
#[case::remembered("remembered", "s", false)]
#[case::of_another_session("remembered", "t", true)]
#[case::carried_by_the_client("carried", "s", true)]
fn waiting_read_must_include_writes_of_its_session(
    #[case] mode: &str,
    #[case] session: &str,
    #[case] may_write: bool,
) {
    let mut r = router(&[("family_info.token_mode", mode)]);
    add_open_command(&mut r, "session");
    let read = r.open.get_mut(&0).unwrap();
    (read.session, read.required_position) = (Some(session.into()), NOW - 100);
    read.in_flight.insert(0, (1, NOW));
    r.members[1].position = NOW - 50;
    session_writes(&mut r);
    assert_eq!(r.may_write(NOW + 30, "cmd", 0), may_write);
}

/// An attempt that was written earlier is judged by the position that was required at that time.
#[rstest]
fn read_written_before_the_commit_was_known_is_served() {
    let mut r = router(&[("family_info.token_mode", "remembered")]);
    add_open_command(&mut r, "session");
    let read = r.open.get_mut(&0).unwrap();
    (read.session, read.required_position) = (Some("s".into()), NOW - 100);
    read.in_flight.insert(0, (1, NOW));
    r.members[1].position = NOW - 50;
    r.attempt_written(NOW + 5, "cmd", 0);
    session_writes(&mut r);
    let note = AnswerNote { primary: Some(false), position: NOW - 50 };
    assert!(r.may_serve("cmd", 0, note));
    assert_eq!(r.data_age(NOW + 30, "cmd", 0).map(|age| age.margin()), Some(50));
}
