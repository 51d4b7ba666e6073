//! What a fleet knows of itself under loss, one-way cuts, stops, restarts and partitions.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use nanorand::Rng;
use rstest::rstest;
use vetchkeel_membership::{
    Change, Claim, Decision, Instance, MOST_INSTANCES, Membership, Name, Plan, Standing, Start, Tenths, wire,
};
use world::{SECOND, World, address, name};

/// No live and connected instance is held dead for longer, once the links are whole.
const HEALED: Tenths = 20 * SECOND;
/// A dead one is known gone by all who are connected.
const KNOWN_DEAD: Tenths = 20 * SECOND;

fn died(world: &World) -> Vec<&(Tenths, usize, Change)> {
    world.changes.iter().filter(|(_, _, change)| matches!(change, Change::Died(_))).collect()
}

#[rstest]
#[case::small(10, 5)]
#[case::large(60, 5)]
#[case::lossy(10, 15)]
fn loss_alone_kills_nobody(#[case] count: usize, #[case] lost: u32) {
    for seed in 0..5 {
        let mut world = World::whole(count, seed, 20 * SECOND);
        world.lost = lost;
        world.run(120 * SECOND);
        assert!(world.agreed(), "seed {seed}");
        assert!(died(&world).is_empty(), "seed {seed}: {:?}", died(&world));
    }
}

#[rstest]
fn the_fleet_agrees_after_any_schedule(#[values(0, 100, 200, 300)] base: u64) {
    for seed in base..base + 10 {
        let mut world = World::whole(11, seed, 20 * SECOND);
        world.lost = 5;
        let mut gone: BTreeMap<usize, Tenths> = BTreeMap::new();
        for _ in 0..12 {
            let at = world.chance.generate_range(0..11usize);
            let other = world.chance.generate_range(0..11usize);
            match world.chance.generate_range(0..6u32) {
                0 => {
                    world.cut.insert((at, other));
                }
                1 => world.part(|node| node % 3 == at % 3),
                2 => world.part(|node| node < 5),
                3 => world.stop(at, 10 * SECOND),
                4 if gone.len() < 3 => {
                    world.kill(at);
                    gone.entry(at).or_insert(world.now);
                }
                _ => {
                    // Its clock may have stepped back by an hour.
                    let clock = 4_000 + world.now as u64 - world.chance.generate_range(0..2u64) * 3_600;
                    world.kill(at);
                    world.start(at, clock);
                    gone.remove(&at);
                }
            }
            let length = world.chance.generate_range(1..20 * SECOND as u64) as Tenths;
            world.run(length);
            if world.chance.generate_range(0..2u32) == 0 {
                world.cut.clear();
            }
        }
        world.cut.clear();
        // A stopped one wakes first.
        world.run(10 * SECOND);
        let took = world.run_until(HEALED, World::agreed);
        assert!(took.is_some(), "seed {seed}: not agreed within the bound");
        world.run(KNOWN_DEAD - took.unwrap_or(0) - 10 * SECOND);
        for at in gone.keys() {
            assert!(world.known_gone(*at), "seed {seed}: {at} is dead and not known so");
        }
    }
}

#[test]
fn a_stopped_instance_doubts_itself_and_comes_back() {
    for seed in 0..10 {
        let mut world = World::whole(10, seed, 20 * SECOND);
        world.stop(4, 10 * SECOND);
        world.run(9 * SECOND);
        let by_it = |change: &&&(Tenths, usize, Change)| change.1 == 4;
        assert!(world.known_gone(4), "seed {seed}: ten seconds are a death for the others");
        world.run(SECOND + 1_000);
        assert_eq!(died(&world).iter().filter(by_it).count(), 0, "seed {seed}");
        assert!(world.nodes[4].membership.as_ref().is_some_and(|own| own.doubt().level() > 0));
        assert!(world.run_until(5 * SECOND, World::agreed).is_some(), "seed {seed}");
        world.run(30 * SECOND);
        assert_eq!(died(&world).iter().filter(by_it).count(), 0, "seed {seed}: nor later");
    }
}

/// It hears and is not heard, or is heard and does not hear, by one other: helpers reach it.
#[rstest]
#[case::asks((3, 4))]
#[case::answers((4, 3))]
fn a_cut_of_one_way_to_one_is_not_even_suspected(#[case] cut: (usize, usize)) {
    let mut world = World::whole(10, 1, 20 * SECOND);
    world.cut.insert(cut);
    world.run(60 * SECOND);
    let held = |change: &Change| matches!(change, Change::Died(_) | Change::Suspected(_));
    assert_eq!(world.changes.iter().filter(|(_, _, change)| held(change)).count(), 0, "{:?}", world.changes);
}

#[test]
fn a_partition_heals() {
    for seed in 0..5 {
        let mut world = World::whole(30, seed, 30 * SECOND);
        world.part(|at| at < 12);
        world.run(60 * SECOND);
        assert!((0..12).all(|by| (12..30).all(|at| matches!(world.sees(by, at), Some(Standing::Dead(_))))));
        world.cut.clear();
        world.changes.clear();
        assert!(world.run_until(HEALED, World::agreed).is_some(), "seed {seed}");
        assert!(died(&world).is_empty(), "seed {seed}: what one side had concluded flaps the other");
    }
}

#[rstest]
#[case::clock_ahead(1_000_000)]
#[case::clock_back(1)]
#[case::same_clock(1_000)]
fn a_restart_under_one_name_is_seen_by_all(#[case] clock: u64) {
    let mut world = World::whole(10, 3, 20 * SECOND);
    let before = world.nodes[5].instance.start;
    world.kill(5);
    world.run(SECOND);
    world.start(5, clock);
    let after = |world: &World| world.nodes[5].membership.as_ref().map(|own| own.me().start);
    let took = world.run_until(8 * SECOND, |world| after(world) > Some(before) && world.agreed());
    assert!(took.is_some(), "{:?}", after(&world));
}

#[test]
fn of_two_processes_with_one_name_the_older_goes_silent() {
    let mut world = World::whole(6, 3, 20 * SECOND);
    world.nodes[5].instance.name = name(4);
    world.start(5, 9_000_000);
    world.run(5 * SECOND);
    let gone: Vec<_> =
        world.changes.iter().filter(|(_, _, change)| matches!(change, Change::Superseded(_))).collect();
    assert_eq!(gone.iter().map(|(_, at, _)| *at).collect::<Vec<_>>(), [4]);
    let seen = world.nodes[0]
        .membership
        .as_ref()
        .and_then(|own| own.view().find(|seen| seen.instance.name == name(4)));
    assert_eq!(seen.map(|seen| seen.instance.address), Some(address(5)));
}

/// What one side of a partition concluded must not flap the living of the other.
#[test]
fn a_death_told_about_one_held_alive_leaves_it_time_to_answer() {
    let mut world = World::whole(3, 1, 5 * SECOND);
    let claim = |at: usize, standing: Standing| Claim {
        instance: world.nodes[at].instance.clone(),
        incarnation: 0,
        standing,
    };
    let claims = vec![claim(2, Standing::Dead(name(1)))];
    let from = world.nodes[1].instance.clone();
    let message = wire::Message { fleet: 0, from, incarnation: 0, body: wire::Body::News, claims };
    let own = world.nodes[0].membership.as_mut().expect("it runs");
    own.heard(world.now, &message);
    assert_eq!(own.seen(&name(2)), Some(&Standing::Suspect(name(1))));
}

#[test]
fn equal_events_give_equal_decisions() {
    let play = || {
        let mut world = World::whole(12, 9, 10 * SECOND);
        world.stop(2, 3 * SECOND);
        world.kill(7);
        world.run(20 * SECOND);
        (world.bytes, world.datagrams, world.changes)
    };
    assert_eq!(play(), play());
}

#[test]
fn one_that_leaves_is_known_to_have_left() {
    let mut world = World::whole(20, 4, 20 * SECOND);
    if let Some(own) = &mut world.nodes[6].membership {
        own.leave();
    }
    world.stop(6, 0);
    world.run(SECOND);
    world.kill(6);
    assert!(world.run_until(5 * SECOND, |world| world.known_gone(6)).is_some());
    assert!(died(&world).is_empty());
}

#[rstest]
#[case::empty(&[], wire::Refused::Empty)]
#[case::newer(&[2, 0, 0], wire::Refused::Version(2))]
#[case::cut(&[1, 0, 3, b'a'], wire::Refused::Malformed)]
#[case::long(&[1; 1_201], wire::Refused::TooLong(1_201))]
fn unknown_bytes_are_refused_by_name(#[case] bytes: &[u8], #[case] refused: wire::Refused) {
    assert_eq!(wire::decode::<wire::Message>(bytes), Err(refused));
}

#[test]
fn a_later_start_outdoes_a_higher_count() {
    assert!(Start { at: 2, count: 0 } > Start { at: 1, count: 9 });
}

/// One that has heard of this many others, at `from` and after it.
fn heard_of(own: &mut Membership, numbers: std::ops::Range<u32>, standing: &Standing) {
    let instance = |at: u32| Instance {
        name: Name::new(&format!("router-of-the-wide-fleet-{at:05}")).expect("short"),
        start: Start { at: u64::MAX, count: u32::MAX },
        address: SocketAddr::from(([127, 1, (at >> 8) as u8, at as u8], u16::MAX)),
        zone: Name::new("a-zone-of-the-longest-name-there").ok(),
    };
    let claim = |at: u32| Claim { instance: instance(at), incarnation: u32::MAX, standing: standing.clone() };
    let from = instance(0);
    for at in numbers.step_by(6) {
        let claims = (at..at + 6).map(claim).collect();
        let sent =
            wire::Message { fleet: 0, from: from.clone(), incarnation: 0, body: wire::Body::News, claims };
        let bytes = wire::encode(&sent).expect("six of the longest fit");
        own.heard(0, &wire::decode(&bytes).expect("what was sent can be read"));
    }
}

/// 4,098 are a multiple of six, two more than there is room for.
#[test]
fn a_fleet_of_the_most_is_taken_in_whole_and_no_further_one() {
    let me = Instance { name: name(0), start: Start::default(), address: address(0), zone: None };
    let mut own = Membership::new(Plan::default(), me, &[], 0, 1).expect("a good plan");
    let mut told = Vec::new();
    heard_of(&mut own, 0..4_098, &Standing::Alive);
    while let Some(decision) = own.next_decision(0) {
        told.extend(if let Decision::Tell(change) = decision { Some(change) } else { None });
    }
    let joined = told.iter().filter(|change| matches!(change, Change::Joined(_))).count();
    let crowded = told.iter().filter(|change| matches!(change, Change::Crowded(_))).count();
    assert_eq!((joined, crowded, own.view().count()), (4_096, 2, MOST_INSTANCES));
}

/// All pages of a full view are within a datagram and tell all.
#[test]
fn a_full_view_is_told_in_pages() {
    let me = Instance { name: name(0), start: Start::default(), address: address(0), zone: None };
    let mut own = Membership::new(Plan::default(), me, &[], 0, 1).expect("a good plan");
    heard_of(&mut own, 0..4_098, &Standing::Alive);
    let asker = Instance { name: name(1), start: Start::default(), address: address(1), zone: None };
    let (mut after, mut told) = (None, BTreeSet::new());
    loop {
        let body = wire::Body::Compare { digest: None, after };
        let asks = wire::Message { fleet: 0, from: asker.clone(), incarnation: 0, body, claims: vec![] };
        own.heard(0, &asks);
        let sent = std::iter::from_fn(|| own.next_decision(0));
        let page = sent.filter_map(|decision| match decision {
            Decision::Send { to, message } if to == address(1) => Some(message),
            _ => None,
        });
        let page = page.filter(|message| matches!(message.body, wire::Body::Page { .. })).last();
        let page = page.expect("a page");
        assert!(wire::encode(&page).is_ok(), "{} claims", page.claims.len());
        told.extend(page.claims.iter().map(|claim| claim.instance.name.clone()));
        let wire::Body::Page { next } = page.body else { panic!("a page") };
        after = next;
        if after.is_none() {
            break;
        }
    }
    assert_eq!(told.len(), MOST_INSTANCES);
}

/// Each hears of each some ten times, 40 bytes a time: more than all need, and less than thirty.
#[test]
fn a_start_of_all_at_once_is_known_and_over_soon() {
    for seed in 0..2 {
        let mut world = World::whole(100, seed, 30 * SECOND);
        assert!(world.agreed(), "seed {seed}");
        let each = world.bytes / 100;
        assert!(each < 55_000, "seed {seed}: {each} bytes a router");
        // Nothing is left to be told: a ping and its answer each half second, a comparison now and then.
        world.bytes = 0;
        world.run(30 * SECOND);
        assert!(world.bytes / 30 / 100 < 400, "seed {seed}: {} bytes in 30 s", world.bytes);
    }
}
