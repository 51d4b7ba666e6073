use super::super::tests::*;
use super::*;
use rstest::rstest;

/// A bounded read that has waited for as long as it should, after a slow time; a check of `b` is out that may let it through.
fn read_beside_a_check() -> Router {
    let mut r = router(&[]);
    open(&mut r, "bounded");
    let cmd = r.open.get_mut(&0).unwrap();
    (cmd.ends, cmd.patience) = (NOW + 2_000, NOW + 1_000);
    let kind = cmd.kind;
    (0..100).for_each(|_| r.groups.places[kind].latency.add(NOW, USUAL_HALF, 1_500.0));
    let m = &mut r.members[1];
    (m.met, m.position, m.probing, m.asked_at) = (true, NOW - 4_000, true, NOW);
    r.settle(NOW, 0);
    r
}

fn is_kept(r: &mut Router, now: Tenths) -> bool {
    r.settle(now, 0);
    !r.take_events().iter().any(|event| matches!(event, Event::GaveUp { .. }))
}

#[rstest]
#[case::a_check_is_out(|_: &mut Router| (), true)]
#[case::none_is_out(|r: &mut Router| r.members[1].probing = false, false)]
#[case::it_is_out_for_long(|r: &mut Router| r.members[1].asked_at = NOW - CHECK_MOST, false)]
#[case::it_is_fresh_without_it(|r: &mut Router| r.members[1].position = NOW, false)]
#[case::answers_are_slow_now(|r: &mut Router| (0..100).for_each(|_| r.slow.add(NOW, SLOW_HALF, 0.9)), false)]
#[case::another_waits(|r: &mut Router| _ = r.sets.get_mut(&1).unwrap().waiting[0].insert((0, Reverse(9))), false)]
#[case::half_its_time_is_over(|r: &mut Router| r.open.get_mut(&0).unwrap().patience = NOW, false)]
fn a_read_with_little_time_left_waits_for_a_check_where_that_helps(
    #[case] happens: impl Fn(&mut Router),
    #[case] kept: bool,
) {
    let mut r = read_beside_a_check();
    happens(&mut r);
    assert_eq!(is_kept(&mut r, NOW), kept);
}
