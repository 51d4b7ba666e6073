use super::super::tests::*;
use super::*;
use rstest::rstest;

/// A bounded read whose usual waiting time is over, after a period of slow answers; a probe of `b` is in flight that may
/// show `b` to be fresh enough.
fn read_with_probe_in_flight() -> Router {
    let mut r = router(&[]);
    add_open_command(&mut r, "bounded");
    let cmd = r.open.get_mut(&0).unwrap();
    (cmd.deadline, cmd.wait_until) = (NOW + 2_000, NOW + 1_000);
    let kind = cmd.group_slot;
    (0..100).for_each(|_| r.groups.slots[kind].latency.add(NOW, LATENCY_HALF_LIFE, 1_500.0));
    let m = &mut r.members[1];
    (m.known_to_exist, m.position, m.probing, m.probed_at) = (true, NOW - 4_000, true, NOW);
    r.settle(NOW, 0);
    r
}

fn keeps_waiting(r: &mut Router, now: Tenths) -> bool {
    r.settle(now, 0);
    !r.take_events().iter().any(|event| matches!(event, Event::GaveUp { .. }))
}

#[rstest]
#[case::probe_in_flight(|_: &mut Router| (), true)]
#[case::no_probe(|r: &mut Router| r.members[1].probing = false, false)]
#[case::probe_overdue(|r: &mut Router| r.members[1].probed_at = NOW - MAX_PROBE_WAIT, false)]
#[case::member_already_fresh(|r: &mut Router| r.members[1].position = NOW, false)]
#[case::answers_slow(|r: &mut Router| (0..100).for_each(|_| r.latency_ratio.add(NOW, LATENCY_RATIO_HALF_LIFE, 0.9)), false)]
#[case::another_command_waits(|r: &mut Router| _ = r.sets.get_mut(&1).unwrap().waiting[0].insert((0, Reverse(9))), false)]
#[case::half_the_timeout_passed(|r: &mut Router| r.open.get_mut(&0).unwrap().wait_until = NOW, false)]
fn read_waits_for_a_probe_only_if_it_can_help(#[case] disturb: impl Fn(&mut Router), #[case] kept: bool) {
    let mut r = read_with_probe_in_flight();
    disturb(&mut r);
    assert_eq!(keeps_waiting(&mut r, NOW), kept);
}

/// A write that has waited for half of its timeout for a cold primary, whose credit grows by the response target of one
/// write in 100 ms.
fn write_for_cold_primary(credit: f64) -> Router {
    let mut r = router(&[("rules.start_capacity", "1"), ("rules.tip_multiple", "1.25")]);
    add_open_command(&mut r, "write");
    let cmd = r.open.get_mut(&0).unwrap();
    (cmd.deadline, cmd.wait_until) = (NOW + 6_000, NOW);
    r.learn_role(NOW, 0, RoleClaim { primary: true, requested_at: NOW });
    let target = r.groups.slots[r.open[&0].group_slot].target as f64;
    let m = &mut r.members[0];
    (m.started, m.start_learned_at, m.credit, m.credit_updated_at) = (NOW, NOW, credit * target, NOW);
    let rate = target / BASE_PAUSE as f64 / COLD_START_SHARE / 1.25 * r.node_by_id.len() as f64;
    r.started_at = NOW - 100 * LATENCY_HALF_LIFE;
    r.answered_work.add(NOW, LATENCY_HALF_LIFE, rate * LATENCY_HALF_LIFE as f64 * std::f64::consts::LOG2_E);
    r.settle(NOW, 0);
    r
}

fn queue_ahead(r: &mut Router, count: u64) {
    let kind = r.open[&0].group_slot;
    (1..=count).for_each(|key| _ = r.sets.get_mut(&1).unwrap().waiting[kind].insert((0, Reverse(key))));
}

/// A command waits if the slow-start credit will suffice in time; otherwise it is throttled at once.
#[rstest]
#[case::none_ahead(0, Some(1_000))]
#[case::two_ahead(2, Some(3_000))]
#[case::too_many_ahead(5, None)]
fn command_waits_for_credit_that_suffices_in_time(
    #[case] commands_ahead: u64,
    #[case] credit_after: Option<Tenths>,
) {
    let mut r = write_for_cold_primary(0.0);
    queue_ahead(&mut r, commands_ahead);
    let at = r.extended_wait_end(NOW, 0);
    let time_until = |at: Tenths| (at - NOW) as f64;
    match credit_after {
        Some(credit_after) => {
            assert!(at.is_some_and(|at| (time_until(at) / credit_after as f64 - 1.0).abs() < 0.02), "{at:?}")
        }
        None => assert_eq!(at, None),
    }
    assert_eq!(keeps_waiting(&mut r, NOW), credit_after.is_some());
}

#[rstest]
fn command_for_a_warm_primary_does_not_wait_longer() {
    let mut r = write_for_cold_primary(0.0);
    r.members[0].started = 0;
    r.members[0].paused_until = NOW + SECOND;
    assert!(!keeps_waiting(&mut r, NOW));
}

/// Other gates are not known to open in time, so the command does not wait for the credit.
#[rstest]
#[case::closed_window(|m: &mut Member| m.paused_until = NOW + SECOND)]
#[case::no_connection(|m: &mut Member| m.next_dial_at = NOW + SECOND)]
fn command_held_by_other_gates_does_not_wait_for_credit(
    #[case] close_gate: impl Fn(&mut Member),
    #[values(0.0, 3.0)] credit: f64,
) {
    let mut r = write_for_cold_primary(credit);
    close_gate(&mut r.members[0]);
    assert!(!keeps_waiting(&mut r, NOW));
}
