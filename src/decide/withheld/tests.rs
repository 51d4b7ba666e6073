use super::super::tests::*;
use super::*;
use rstest::rstest;

/// A router without load: `a` is the primary, `b` and `c` are replicas with the current position; all windows have room.
fn unloaded_router(kind: &str) -> Router {
    let mut r = router(&[]);
    add_open_command(&mut r, kind);
    r.learn_role(NOW, 0, RoleClaim { primary: true, requested_at: NOW });
    for replica in [1, 2] {
        let m = &mut r.members[replica];
        (m.known_to_exist, m.position, m.position_received_at) = (true, NOW, NOW);
    }
    r.members.iter_mut().for_each(|m| m.window = 4.0);
    r
}

fn change_replicas(r: &mut Router, change: impl Fn(&mut Member)) {
    [1, 2].into_iter().for_each(|replica| change(&mut r.members[replica]));
}

fn slow_down(r: &mut Router) {
    (0..1_000).for_each(|_| r.latency_ratio.add(NOW, LATENCY_RATIO_HALF_LIFE, 1.0));
    (r.pace, r.pace_allowance) = (PACE_MIN, -1e9);
    r.requested_work.add(NOW, LATENCY_RATIO_HALF_LIFE, 1.0);
    r.pace_updated_at = NOW;
}

fn restart_cold(r: &mut Router, node: Node) {
    r.record_start(NOW, NOW, node);
    r.members[node].window = 4.0;
}

#[rstest]
#[case::no_gate("write", |_: &mut Router| (), Gate::Turn)]
#[case::router_paced("write", slow_down, Gate::Pace)]
#[case::no_primary("write", |r: &mut Router| r.members[0].state = State::TransportError, Gate::NoPrimary)]
#[case::primary_in_doubt("session", |r: &mut Router| {
    change_replicas(r, |m| m.excluded = true);
    r.members[0].roles.record_replica_claim(NOW, NOW);
}, Gate::RoleInDoubt)]
#[case::no_connection("write", |r: &mut Router| r.members[0].next_dial_at = NOW + 1, Gate::NoConnection)]
#[case::window_closed("write", |r: &mut Router| r.members[0].paused_until = NOW + 1, Gate::Window)]
#[case::cold_primary("write", |r: &mut Router| restart_cold(r, 0), Gate::SlowStart)]
#[case::stale_replicas("bounded", |r: &mut Router| change_replicas(r, |m| m.position = NOW - SECOND), Gate::NotFresh)]
#[case::replica_windows_closed("bounded", |r: &mut Router| change_replicas(r, |m| m.paused_until = NOW + 1), Gate::Window)]
#[case::cold_replicas("bounded", |r: &mut Router| (restart_cold(r, 1), restart_cold(r, 2)).0, Gate::SlowStart)]
#[case::one_stale_one_window_closed("bounded", |r: &mut Router| {
    r.members[1].position = NOW - SECOND;
    r.members[2].paused_until = NOW + 1;
}, Gate::Window)]
#[case::no_replica("bounded", |r: &mut Router| {
    change_replicas(r, |m| m.excluded = true);
    r.members[0].state = State::TransportError;
}, Gate::NoPrimary)]
fn withheld_command_reports_the_gate(
    #[case] kind: &str,
    #[case] disturb: impl Fn(&mut Router),
    #[case] gate: Gate,
) {
    let mut r = unloaded_router(kind);
    disturb(&mut r);
    assert_eq!(r.withholding_gate(NOW, 0), gate);
}

/// Guards against reporting a full window for a command held by slow start, which operators would read as overload.
#[rstest]
fn command_held_by_a_cold_primary_reports_slow_start() {
    let mut r = unloaded_router("write");
    restart_cold(&mut r, 0);
    r.open.get_mut(&0).unwrap().wait_until = NOW;
    r.settle(NOW, 0);
    r.settle(NOW, 0);
    let given_up =
        Event::GaveUp { command: "cmd".into(), reason: GaveUp::Withheld(Gate::SlowStart), attempts: 0 };
    assert!(r.take_events().contains(&given_up));
}
