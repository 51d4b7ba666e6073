use crate::intake::{Found, Intake, Source};
use crate::spread::{caps, moves, preference};
use crate::*;
use rstest::rstest;
use std::collections::BTreeMap;

fn point(epoch: u64, position: u64) -> Point {
    Point::new(epoch, position)
}

fn cut(epoch: u64, from: u64, to: u64) -> Range {
    Range { epoch, from, to }
}

/// Epoch 1 from 0; epoch 2 keeps 100 of it and numbers on; epoch 3 keeps 90 of epoch 1 and begins at 500.
fn three_eras() -> Lineage {
    let mut lineage = Lineage::new(1, 0);
    assert!(lineage.succeed(Era { epoch: 2, start: 100, kept: point(1, 100) }));
    assert!(lineage.succeed(Era { epoch: 3, start: 500, kept: point(1, 90) }));
    lineage
}

#[rstest]
#[case::goes_on(point(3, 510), Settled::Stands)]
#[case::older_and_kept(point(1, 40), Settled::Stands)]
#[case::at_the_end_of_what_is_kept(point(1, 90), Settled::Turn { retracted: vec![], next: point(3, 500) })]
#[case::saw_a_lost_tail(point(1, 120), Settled::Turn { retracted: vec![cut(1, 90, 120)], next: point(3, 500) })]
#[case::of_an_epoch_that_is_lost(
    point(2, 130),
    Settled::Turn { retracted: vec![cut(1, 90, 100), cut(2, 100, 130)], next: point(3, 500) }
)]
#[case::not_known_yet(point(4, 0), Settled::Ahead)]
#[case::from_before_what_is_remembered(Point::NEW, Settled::Forgotten { oldest: point(1, 0) })]
fn a_desk_is_told_what_it_saw_and_what_was_lost(#[case] at: Point, #[case] told: Settled) {
    assert_eq!(three_eras().settle(at), told);
}

fn places(gateways: u32, held: &BTreeMap<SubId, GatewayId>) -> Vec<Place> {
    let count = |id| held.values().filter(|g| **g == id).count() as u32;
    (0..gateways)
        .map(GatewayId)
        .map(|id| Place { id, room: 2_000, held: count(id), draining: false })
        .collect()
}

/// What all gateways choose to move, once each, until nobody chooses more.
fn rebalanced(gateways: u32, held: &mut BTreeMap<SubId, GatewayId>) -> usize {
    let mut moved = 0;
    for _ in 0..5 {
        for me in (0..gateways).map(GatewayId) {
            let mine: Vec<SubId> = held.iter().filter(|(_, g)| **g == me).map(|(s, _)| *s).collect();
            let chosen = moves(me, mine.into_iter(), &places(gateways, held), 110);
            moved += chosen.len();
            held.extend(chosen);
        }
    }
    moved
}

#[rstest]
#[case::one_more(10, 11)]
#[case::a_tenth_more(30, 33)]
#[case::twice_as_many(10, 20)]
fn gateways_that_come_take_their_share_and_little_else_moves(#[case] before: u32, #[case] after: u32) {
    let empty = places(before, &BTreeMap::new());
    let mut held: BTreeMap<SubId, GatewayId> =
        (0..6_000).map(|n| (SubId(n), preference(SubId(n), &empty)[0])).collect();
    rebalanced(before, &mut held);
    let moved = rebalanced(after, &mut held);
    let least = 6_000.0 * f64::from(after - before) / f64::from(after);
    assert!((moved as f64) < 1.3 * least, "{moved} moved, {least:.0} at least");
    let now = places(after, &held);
    for (id, cap) in caps(&now, 110) {
        let place = now.iter().find(|p| p.id == id).expect("there");
        assert!(place.held <= cap, "{id:?} holds {} of {cap}", place.held);
    }
}

/// A gateway that had ended a subscription's second epoch, crashed, and is sent the doubles of what began it.
#[rstest]
#[case::by_its_record(true, None)]
#[case::without_one(false, Some(2))]
fn a_restarted_gateway_takes_up_nothing_that_it_had_ended(#[case] kept: bool, #[case] owns: Option<u64>) {
    let (sub, feed, giver) = (SubId(7), FeedId(0), Party::Gateway(GatewayId(1)));
    let record = Record { feed, epoch: 2, held: false, at: point(1, 0) };
    let records = if kept { vec![(sub, record)] } else { Vec::new() };
    let mut gateway = Gateway::new(0, GatewayId(0), Terms::default(), 1, Vec::new(), records);
    let lineage = Lineage::new(1, 0);
    let (from, head) = (point(1, 0), point(1, 0));
    let entries = Message::Entries { feed, lineage, from, payloads: Vec::new(), first: from, head };
    gateway.on_message(1, giver, Message::Offer { sub, feed, epoch: 1, at: from });
    gateway.on_message(2, Party::Primary(feed), entries);
    gateway.on_message(3, giver, Message::Given { sub, epoch: 1, stamp: 2, left: 5_000 });
    gateway.on_message(4, Party::Desk(sub), Message::Resume { sub, feed, epoch: 2, at: from, slot: None });
    assert_eq!(gateway.owns(5, sub), owns);
}

#[rstest]
fn desks_that_come_together_are_given_times_apart() {
    let terms = Terms { admissions: 100, ..Terms::default() };
    let mut gateway = Gateway::new(0, GatewayId(0), terms, 1, Vec::new(), Vec::new());
    for n in 0..200 {
        let resume = Message::Resume { sub: SubId(n), feed: FeedId(0), epoch: 1, at: Point::NEW, slot: None };
        gateway.on_message(0, Party::Desk(SubId(n)), resume);
    }
    let mut slots = Vec::new();
    while let Some(decision) = gateway.next_decision(0) {
        if let Decision::Send { message: Message::Later { slot: Some(slot), .. }, .. } = decision {
            slots.push(slot);
        }
    }
    assert_eq!(gateway.held() + slots.len(), 200);
    assert!(slots.windows(2).all(|w| w[1] - w[0] == SECOND / 100), "{slots:?}");
}

/// The window begins at 60, the shelf at 50, a peer keeps from 40 on and the primary from 30: a desk at 10.
#[rstest]
fn a_gap_is_told_on_the_primarys_word_alone() {
    let (lineage, terms, at) = (Lineage::new(1, 0), Terms::default(), point(1, 10));
    let mut intake = Intake::shelved(0, lineage.clone(), point(1, 50), point(1, 60));
    intake.hunt(0, at, &[GatewayId(1)]);
    assert_eq!(intake.ask(0), Some((Source::Peer(GatewayId(1)), at)));
    let (peer, primary) = ((&lineage, point(1, 40), point(1, 60)), (&lineage, point(1, 30), point(1, 60)));
    intake.on_entries(1, false, peer, at, &[], &terms);
    assert_eq!(intake.ask(1), Some((Source::Primary, at)));
    // The peer's answer, doubled, while the primary is silent.
    intake.on_entries(2, false, peer, at, &[], &terms);
    assert_eq!(intake.at(at), Found::Older);
    intake.on_entries(3, true, primary, at, &[], &terms);
    assert_eq!(intake.at(at), Found::Gap { to: point(1, 30) });
}
