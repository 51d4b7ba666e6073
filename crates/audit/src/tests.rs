//! For each rule: breaches that must be found, and near misses that must not be reported.

use super::*;
use rstest::rstest;

const MS: Micros = 1_000;

fn auditor() -> Auditor {
    Auditor::new(Figures {
        answer_slack: 20 * MS,
        order_slack: 0,
        drain_grace: 500 * MS,
        cold_start_capacity: 0.25,
        cold_duration: 10_000 * MS,
        multiple: 2.0,
        span: 1_000 * MS,
    })
}

fn accept(a: &mut Auditor, command: u64, router: usize, mutating: bool) {
    a.taken(Taken { at: 0, command, router, deadline: 1_000 * MS, mutating });
}

fn broken_rules(mut a: Auditor) -> Vec<u8> {
    a.finish(60_000 * MS);
    a.breaches().iter().map(|b| b.rule).collect()
}

#[rstest]
#[case::never_answered(|_: &mut Auditor| {}, true)]
#[case::after_the_client_timeout(|a: &mut Auditor| a.final_answer(1_021 * MS, 7, Final::Answered), true)]
#[case::answered_twice(|a: &mut Auditor| { a.final_answer(1, 7, Final::Answered); a.final_answer(2, 7, Final::Failed); }, true)]
#[case::sent_after_the_answer(|a: &mut Auditor| { a.final_answer(1, 7, Final::Failed); a.sent(2, 7, 0, 1.0); }, true)]
#[case::just_in_time(|a: &mut Auditor| a.final_answer(1_020 * MS, 7, Final::Answered), false)]
#[case::client_left(|a: &mut Auditor| a.client_left(7), false)]
#[case::own_router_died(|a: &mut Auditor| a.router_died(1), false)]
#[case::another_router_died(|a: &mut Auditor| a.router_died(0), true)]
#[case::sent_before_the_answer(|a: &mut Auditor| { a.sent(1, 7, 0, 1.0); a.final_answer(1, 7, Final::Failed); }, false)]
fn command_gets_one_final_answer_in_time(#[case] events: fn(&mut Auditor), #[case] expected_breach: bool) {
    let mut a = auditor();
    accept(&mut a, 7, 1, false);
    events(&mut a);
    assert_eq!(broken_rules(a), if expected_breach { vec![1] } else { vec![] });
}

#[rstest]
#[case::resent_while_in_flight(Fate::Open, true)]
#[case::resent_after_it_ran(Fate::Ran, true)]
#[case::resent_after_a_miss(Fate::Untouched, false)]
fn mutating_command_is_resent_only_if_not_executed(#[case] fate: Fate, #[case] expected_breach: bool) {
    let mut a = auditor();
    accept(&mut a, 7, 1, true);
    a.sent(10 * MS, 7, 0, 1.0);
    if fate != Fate::Open {
        a.ended(20 * MS, 7, 0, fate, None);
    }
    a.sent(30 * MS, 7, 2, 1.0);
    a.final_answer(40 * MS, 7, Final::Answered);
    assert_eq!(broken_rules(a), if expected_breach { vec![2] } else { vec![] });
}

#[rstest]
#[case::may_have_run(true, Fate::Open, vec![2])]
#[case::untouched(true, Fate::Untouched, vec![])]
#[case::replayable(false, Fate::Ran, vec![])]
fn throttled_mutating_command_must_not_have_run(
    #[case] mutating: bool,
    #[case] fate: Fate,
    #[case] rules: Vec<u8>,
) {
    let mut a = auditor();
    accept(&mut a, 7, 1, mutating);
    a.sent(10 * MS, 7, 0, 1.0);
    a.ended(20 * MS, 7, 0, fate, None);
    a.final_answer(30 * MS, 7, Final::Throttled);
    assert_eq!(broken_rules(a), rules);
}

#[rstest]
#[case::after_the_grace(601, false, 1, vec![3])]
#[case::within_the_grace(600, false, 1, vec![])]
#[case::reported_up_again(900, true, 1, vec![])]
#[case::another_router_was_informed(900, false, 0, vec![])]
fn drain_grace_starts_when_the_router_is_informed(
    #[case] sent_ms: Micros,
    #[case] up: bool,
    #[case] informed: usize,
    #[case] rules: Vec<u8>,
) {
    let mut a = auditor();
    a.member_listed(100 * MS, informed, 4, true, 0);
    if up {
        a.member_listed(200 * MS, informed, 4, false, 0);
    }
    accept(&mut a, 7, 1, false);
    a.sent(sent_ms * MS, 7, 4, 1.0);
    a.final_answer(950 * MS, 7, Final::Answered);
    assert_eq!(broken_rules(a), rules);
}

/// A member of strength 4 that starts with a quarter of its capacity may be sent 2 s of work in its first second, which
/// is twice its capacity.
#[rstest]
#[case::above_the_limit(1_050, 2, vec![4])]
#[case::just_below_the_limit(950, 2, vec![])]
#[case::half_from_an_uninformed_router(1_050, 1, vec![])]
fn cold_member_overloaded_by_all_routers_together(
    #[case] each_ms: Micros,
    #[case] informed: usize,
    #[case] rules: Vec<u8>,
) {
    let mut a = auditor();
    a.started(1, 3, 4.0);
    (0..informed).for_each(|router| a.member_listed(1, router, 3, false, 1));
    for router in 0..2 {
        accept(&mut a, 7 + router as u64, router, false);
        a.sent(2, 7 + router as u64, 3, (each_ms * MS) as f64);
        a.final_answer(3, 7 + router as u64, Final::Answered);
    }
    let names_both_routers = |b: &Breach| b.text.contains("by router 0") && b.text.contains("by router 1");
    assert!(a.breaches().iter().all(names_both_routers));
    assert_eq!(broken_rules(a), rules);
}

#[rstest]
#[case::too_old(99, false, false, vec![5])]
#[case::just_fresh_enough(100, false, false, vec![])]
#[case::former_primary_role_change_unknown(99, true, false, vec![])]
#[case::former_primary_role_change_known(99, true, true, vec![5])]
fn stale_read_is_a_breach(
    #[case] seen: Micros,
    #[case] was_primary: bool,
    #[case] informed: bool,
    #[case] rules: Vec<u8>,
) {
    let mut a = auditor();
    if was_primary {
        a.primary(0);
    }
    if informed {
        a.role_reported(1, 0, false);
    }
    accept(&mut a, 7, 1, false);
    a.sent(10, 7, 0, 1.0);
    a.ended(20, 7, 0, Fate::Ran, Some((seen, 100)));
    a.final_answer(30, 7, Final::Answered);
    assert_eq!(broken_rules(a), rules);
}

#[rstest]
fn breach_text_names_command_times_and_dispatches() {
    let mut a = auditor();
    accept(&mut a, 7, 1, true);
    a.sent(10 * MS, 7, 0, 1.0);
    a.sent(30 * MS, 7, 2, 1.0);
    let text = &a.breaches()[0].text;
    let work_by_router =
        ["command 7", "router 1", "member 0 at 0.0100 s", "member 2 at 0.0300 s", "1.0000 s"];
    assert!(work_by_router.iter().all(|p| text.contains(p)), "{text}");
}

#[rstest]
fn old_commands_are_forgotten() {
    let mut a = auditor();
    for n in 0..100 {
        a.taken(Taken {
            at: n * 1_000 * MS,
            command: n as u64,
            router: 0,
            deadline: (n * 1_000 + 500) * MS,
            mutating: false,
        });
        a.final_answer(n * 1_000 * MS + 1, n as u64, Final::Answered);
    }
    assert!(a.held() < 10 && a.breaches().is_empty());
}
