//! The whole of it in a simulated fleet, by seeds, judged by an auditor that shares no code with it.

#[allow(dead_code)]
mod world;

use rstest::rstest;
use vetchkeel_feeds::{GatewayId, SECOND, Terms};
use world::{Plan, World};

#[rstest]
fn no_bulletin_is_missed_disordered_or_doubled_whatever_happens() {
    for seed in 0..4 {
        let mut world = World::new(Plan::troubled(), seed);
        world.play();
        assert!(world.auditor.breaches.is_empty(), "seed {seed}: {:#?}", world.auditor.breaches);
        assert_eq!((world.auditor.gaps, world.auditor.taken > 5_000), (0, true), "seed {seed}");
    }
}

/// Nobody keeps much: what is lost to a desk is told as a gap with its range, and nothing else is.
#[rstest]
fn what_nobody_keeps_is_told_as_a_gap() {
    let mut gaps = 0;
    for seed in 0..3 {
        let terms = Terms { window: 64, shelf: 64, ..Plan::troubled().terms };
        let mut world = World::new(Plan { keep: 40, terms, ..Plan::troubled() }, seed);
        world.play();
        assert!(world.auditor.breaches.is_empty(), "seed {seed}: {:#?}", world.auditor.breaches);
        gaps += world.auditor.gaps;
    }
    assert!(gaps > 0, "no seed came to a gap");
}

/// One gateway holds all and may push less than its feeds bring: it gives desks to the others, and nothing is missed.
#[rstest]
fn a_gateway_that_is_outpaced_sheds() {
    let terms = Terms { pushes: 60, outpaced: SECOND, ..Plan::troubled().terms };
    let plan = Plan {
        troubles: 0,
        lost: 0,
        doubled: 0,
        late: 0,
        desks: 6,
        feeds: 1,
        rate: 25,
        terms,
        ..Plan::troubled()
    };
    let mut world = World::new(plan, 3);
    (1..4).for_each(|id| world.kill(id));
    world.run_until(2 * SECOND);
    assert_eq!(world.held(0), 6);
    (1..4).for_each(|id| world.start(id));
    world.run_until(15 * SECOND);
    assert!(world.held(0) < 4, "still holds {}: {:?}", world.held(0), world.counts(0));
    world.play();
    assert!(world.auditor.breaches.is_empty(), "{:#?}", world.auditor.breaches);
}

/// A desk that takes far longer for a message than they come apart is told to come back, and has everything at last.
#[rstest]
fn a_slow_desk_is_told_to_come_back() {
    let quiet = Plan {
        troubles: 0,
        lost: 0,
        doubled: 0,
        late: 0,
        gateways: 1,
        quiet: 100 * SECOND,
        ..Plan::troubled()
    };
    let mut world = World::new(quiet, 5);
    world.run_until(2 * SECOND);
    world.slow(0, SECOND / 2);
    world.run_until(19 * SECOND);
    assert!(world.counts(0).told_later > 0, "{:?}", world.counts(0));
    assert_eq!(world.gateway_of(1), Some(GatewayId(0)));
    world.slow(0, 0);
    world.play();
    assert!(world.auditor.breaches.is_empty(), "{:#?}", world.auditor.breaches);
}
