use super::super::tests::*;
use super::*;
use rstest::rstest;

/// A router with a bounded read (300 ms) out at the member `b`, sent at NOW.
fn reading(extra: &[(&str, &str)]) -> Router {
    let mut r = router(extra);
    add_open_command(&mut r, "bounded");
    r.open.get_mut(&0).unwrap().out.insert(0, (1, NOW));
    r
}

fn answered(r: &Router) -> bool {
    r.may_serve("cmd", 0, Note::default())
}

#[rstest]
#[case::in_time(NOW + 2_999, true)]
#[case::held_up(NOW + 3_000, false)]
fn a_bound_counts_from_the_write(#[case] written: Tenths, #[case] served: bool) {
    let mut r = reading(&[]);
    r.members[1].position = NOW;
    assert!(r.may_write(NOW + 1, "cmd", 0), "by the decision's clock");
    let found = r.attempt_written(written, "cmd", 0);
    let behind = written - NOW;
    let expected =
        if served { Written::ToReplica { behind } } else { Written::TooOld { behind, may_give_up: true } };
    assert_eq!((found, answered(&r)), (expected, served));
}

#[rstest]
#[case::allowed("true", true)]
#[case::not_allowed("false", false)]
fn what_was_written_too_late_is_given_up_where_that_is_allowed(#[case] cancel: &str, #[case] allowed: bool) {
    let mut r = reading(&[("permissions.cancel", cancel)]);
    let found = r.attempt_written(NOW, "cmd", 0);
    assert!(matches!(found, Written::TooOld { may_give_up, .. } if may_give_up == allowed), "{found:?}");
    assert!(!answered(&r));
}

#[rstest]
#[case::any("any", &[])]
#[case::write("write", &[])]
#[case::nodes_check("bounded", &[("family_info.server_checks", "refuse")])]
fn what_has_no_age_is_served_whenever_it_is_written(#[case] kind: &str, #[case] extra: &[(&str, &str)]) {
    let mut r = router(extra);
    add_open_command(&mut r, kind);
    r.open.get_mut(&0).unwrap().out.insert(0, (1, NOW));
    assert_eq!(r.attempt_written(NOW + 60 * SECOND, "cmd", 0), Written::Free);
    assert!(answered(&r));
}

#[rstest]
#[case::asked_before_the_write(NOW - 1, false)]
#[case::asked_in_the_moment_of_the_write(NOW + 10, false)]
#[case::asked_after_the_write(NOW + 11, true)]
fn word_of_a_replica_that_may_be_older_than_the_write_bars_the_answer(
    #[case] asked: Tenths,
    #[case] served: bool,
) {
    for kind in ["bounded", "session", "fresh"] {
        let mut r = router(&[]);
        add_open_command(&mut r, kind);
        r.open.get_mut(&0).unwrap().out.insert(0, (1, NOW));
        r.learn_role(NOW - 2, 1, role_claim(true, NOW - 2));
        assert_eq!(r.attempt_written(NOW + 10, "cmd", 0), Written::ToPrimary);
        r.heard_replica(NOW + 20, "b", asked);
        assert_eq!(answered(&r), served, "{kind}");
        // It is the primary again: that makes the read no fresher.
        r.learn_role(NOW + 40, 1, role_claim(true, NOW + 30));
        assert_eq!(answered(&r), served, "{kind}");
    }
}

#[rstest]
#[case::fresh_enough(NOW - 3_000, true)]
#[case::too_old(NOW - 3_001, false)]
fn an_answer_that_tells_too_old_a_position_is_not_served(#[case] position: Tenths, #[case] served: bool) {
    let mut r = reading(&[]);
    r.members[1].position = NOW;
    assert_eq!(r.attempt_written(NOW, "cmd", 0), Written::ToReplica { behind: 0 });
    let note = Note { primary: Some(false), position };
    assert_eq!(r.may_serve("cmd", 0, note), served);
}

/// What was known of the members' time at the write may turn out to be wrong until the answer comes.
#[rstest]
#[case::as_it_was_taken_to_be(0, true)]
#[case::later_than_it_was_taken_to_be(500, false)]
fn an_answer_is_judged_by_what_is_known_of_the_clock_as_it_comes(
    #[case] later: Tenths,
    #[case] served: bool,
) {
    let mut r = reading(&[]);
    r.members[1].position = NOW - 2_800;
    assert_eq!(r.attempt_written(NOW, "cmd", 0), Written::ToReplica { behind: 2_800 });
    r.clock.learn(NOW + 100, Evidence::of_any(NOW + 100 + later, NOW + 100));
    assert_eq!(answered(&r), served);
}

#[rstest]
#[case::replayable("pure", true)]
#[case::mutating("side_effect", false)]
fn a_read_that_was_not_served_goes_out_again_if_it_may(#[case] semantics: &str, #[case] again: bool) {
    let mut r = reading(&[("request_classes.1.semantics", semantics)]);
    r.members[2].position = NOW + 10;
    r.dispatch_ended(NOW + 10, "cmd", dispatch_end(Ending::TooOld, Some(false)));
    let decisions: Vec<Decision> = std::iter::from_fn(|| r.next_decision(NOW + 10)).collect();
    let sent = decisions.iter().any(|d| matches!(d, Decision::Dispatch { node, .. } if &**node == "c"));
    let failed = decisions.contains(&Decision::Fail { command: "cmd".into() });
    assert_eq!((sent, failed), (again, !again), "{decisions:?}");
}

#[rstest]
fn a_primary_that_may_be_a_replica_is_asked_while_reads_wait_for_it() {
    let mut r = router(&[]);
    (1..3).for_each(|n| r.members[n].shut = true);
    add_open_command(&mut r, "fresh");
    r.learn_role(NOW, 0, role_claim(true, NOW));
    r.heard_replica(NOW + 5, "a", NOW);
    assert!(!r.offer(NOW + PAUSE, 1, 0));
    assert_eq!(r.next_decision(NOW + PAUSE), Some(Decision::Probe { node: "a".into() }));
}

/// Beside reads alone only reports tell the members' time.
#[rstest]
#[case::not_yet_borne_out(MemberClock::default(), true)]
#[case::borne_out(confirmed(), false)]
fn a_primary_is_asked_for_the_time_until_the_clock_is_borne_out(
    #[case] clock: MemberClock,
    #[case] asks: bool,
) {
    let mut r = router(&[]);
    r.clock = clock;
    while r.next_decision(NOW).is_some() {}
    r.members.iter_mut().for_each(|m| (m.probing, m.asked_at) = (false, NOW - PAUSE));
    (1..3).for_each(|n| r.members[n].shut = true);
    add_open_command(&mut r, "bounded");
    r.learn_role(NOW, 0, role_claim(true, NOW));
    assert!(r.offer(NOW, 1, 0), "the primary serves it");
    let decisions: Vec<Decision> = std::iter::from_fn(|| r.next_decision(NOW)).collect();
    assert_eq!(decisions.contains(&Decision::Probe { node: "a".into() }), asks, "{decisions:?}");
}

fn confirmed() -> MemberClock {
    let mut clock = MemberClock::default();
    clock.learn(NOW, Evidence::of_primary(NOW, NOW, NOW, 0));
    clock
}

/// A session's write is answered at NOW + 20, with its commit at NOW + 10.
fn session_writes(r: &mut Router) {
    r.next_key = 1;
    let (id, command_group, session) = ("w".into(), "write".into(), Some("s".into()));
    let (customer, time_left, token_age) = (None, 9_000, None);
    let cmd = Command { id, command_group, customer, set: 1, time_left, token_age, session, repeat: false };
    r.command_arrived(NOW, cmd).unwrap();
    let key = r.by_id["w"];
    r.open.get_mut(&key).unwrap().out.insert(0, (0, NOW));
    let note = Note { primary: Some(true), position: NOW + 10 };
    r.dispatch_ended(NOW + 20, "w", DispatchEnd { note, ..dispatch_end(Ending::Answered, None) });
}

#[rstest]
#[case::remembered("remembered", "s", false)]
#[case::of_another_session("remembered", "t", true)]
#[case::carried_by_the_client("carried", "s", true)]
fn a_read_that_waits_sees_what_its_session_writes_meanwhile(
    #[case] mode: &str,
    #[case] session: &str,
    #[case] lawful: bool,
) {
    let mut r = router(&[("family_info.token_mode", mode)]);
    add_open_command(&mut r, "session");
    let read = r.open.get_mut(&0).unwrap();
    (read.session, read.needs) = (Some(session.into()), NOW - 100);
    read.out.insert(0, (1, NOW));
    r.members[1].position = NOW - 50;
    session_writes(&mut r);
    assert_eq!(r.may_write(NOW + 30, "cmd", 0), lawful);
}

/// What was written before is judged by what it had to see then.
#[rstest]
fn a_read_that_was_written_before_the_write_was_answered_is_served() {
    let mut r = router(&[("family_info.token_mode", "remembered")]);
    add_open_command(&mut r, "session");
    let read = r.open.get_mut(&0).unwrap();
    (read.session, read.needs) = (Some("s".into()), NOW - 100);
    read.out.insert(0, (1, NOW));
    r.members[1].position = NOW - 50;
    r.attempt_written(NOW + 5, "cmd", 0);
    session_writes(&mut r);
    let note = Note { primary: Some(false), position: NOW - 50 };
    assert!(r.may_serve("cmd", 0, note));
    assert_eq!(r.data_age(NOW + 30, "cmd", 0).map(|age| age.spare()), Some(50));
}
