//! Views of a simulated fleet under packet loss, one-way cuts, pauses, restarts and partitions.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use nanorand::Rng;
use rstest::rstest;
use vetchkeel_membership::{
    Change, Claim, Decision, Instance, Liveness, MOST_INSTANCES, Membership, Name, Plan, Start, Tenths, wire,
};
use world::{SECOND, World, address, name};

/// Maximum time until no live and connected instance is considered dead any more, once all links work.
const MAX_HEAL_TIME: Tenths = 20 * SECOND;
/// Maximum time until all connected instances know that an instance is dead.
const MAX_DETECTION_TIME: Tenths = 20 * SECOND;

fn deaths(world: &World) -> Vec<&(Tenths, usize, Change)> {
    world.changes.iter().filter(|(_, _, change)| matches!(change, Change::Died(_))).collect()
}

#[rstest]
#[case::small(10, 5)]
#[case::large(60, 5)]
#[case::high_loss(10, 15)]
fn packet_loss_alone_declares_no_death(#[case] count: usize, #[case] lost: u32) {
    for seed in 0..5 {
        let mut world = World::all_started(count, seed, 20 * SECOND);
        world.loss_percent = lost;
        world.run(120 * SECOND);
        assert!(world.converged(), "seed {seed}");
        assert!(deaths(&world).is_empty(), "seed {seed}: {:?}", deaths(&world));
    }
}

#[rstest]
fn views_converge_after_random_faults(#[values(0, 100, 200, 300)] base: u64) {
    for seed in base..base + 10 {
        let mut world = World::all_started(11, seed, 20 * SECOND);
        world.loss_percent = 5;
        let mut gone: BTreeMap<usize, Tenths> = BTreeMap::new();
        for _ in 0..12 {
            let at = world.rng.generate_range(0..11usize);
            let other = world.rng.generate_range(0..11usize);
            match world.rng.generate_range(0..6u32) {
                0 => {
                    world.cut_links.insert((at, other));
                }
                1 => world.partition(|node| node % 3 == at % 3),
                2 => world.partition(|node| node < 5),
                3 => world.pause(at, 10 * SECOND),
                4 if gone.len() < 3 => {
                    world.kill(at);
                    gone.entry(at).or_insert(world.now);
                }
                _ => {
                    // The clock may have stepped back by an hour.
                    let clock = 4_000 + world.now as u64 - world.rng.generate_range(0..2u64) * 3_600;
                    world.kill(at);
                    world.start(at, clock);
                    gone.remove(&at);
                }
            }
            let length = world.rng.generate_range(1..20 * SECOND as u64) as Tenths;
            world.run(length);
            if world.rng.generate_range(0..2u32) == 0 {
                world.cut_links.clear();
            }
        }
        world.cut_links.clear();
        // Paused instances resume first.
        world.run(10 * SECOND);
        let took = world.run_until(MAX_HEAL_TIME, World::converged);
        assert!(took.is_some(), "seed {seed}: views did not converge within the bound");
        world.run(MAX_DETECTION_TIME - took.unwrap_or(0) - 10 * SECOND);
        for at in gone.keys() {
            assert!(world.gone_for_all(*at), "seed {seed}: some views still list the dead instance {at}");
        }
    }
}

#[test]
fn paused_instance_declares_no_deaths_and_rejoins() {
    for seed in 0..10 {
        let mut world = World::all_started(10, seed, 20 * SECOND);
        world.pause(4, 10 * SECOND);
        world.run(9 * SECOND);
        let by_it = |change: &&&(Tenths, usize, Change)| change.1 == 4;
        assert!(
            world.gone_for_all(4),
            "seed {seed}: the others declare an instance dead that paused for ten seconds"
        );
        world.run(SECOND + 1_000);
        assert_eq!(deaths(&world).iter().filter(by_it).count(), 0, "seed {seed}");
        assert!(world.nodes[4].membership.as_ref().is_some_and(|own| own.local_health().score() > 0));
        assert!(world.run_until(5 * SECOND, World::converged).is_some(), "seed {seed}");
        world.run(30 * SECOND);
        assert_eq!(
            deaths(&world).iter().filter(by_it).count(),
            0,
            "seed {seed}: deaths were declared after the pause"
        );
    }
}

/// Guards against a suspicion when messages between two instances are lost in one direction only: helpers still reach the
/// probed instance.
#[rstest]
#[case::requests_lost((3, 4))]
#[case::answers_lost((4, 3))]
fn one_way_cut_to_one_peer_raises_no_suspicion(#[case] cut: (usize, usize)) {
    let mut world = World::all_started(10, 1, 20 * SECOND);
    world.cut_links.insert(cut);
    world.run(60 * SECOND);
    let held = |change: &Change| matches!(change, Change::Died(_) | Change::Suspected(_));
    assert_eq!(world.changes.iter().filter(|(_, _, change)| held(change)).count(), 0, "{:?}", world.changes);
}

#[test]
fn views_converge_after_partition_without_flapping() {
    for seed in 0..5 {
        let mut world = World::all_started(30, seed, 30 * SECOND);
        world.partition(|at| at < 12);
        world.run(60 * SECOND);
        assert!(
            (0..12)
                .all(|by| (12..30).all(|at| matches!(world.liveness_seen(by, at), Some(Liveness::Dead(_)))))
        );
        world.cut_links.clear();
        world.changes.clear();
        assert!(world.run_until(MAX_HEAL_TIME, World::converged).is_some(), "seed {seed}");
        assert!(
            deaths(&world).is_empty(),
            "seed {seed}: deaths concluded on one side were applied on the other"
        );
    }
}

#[rstest]
#[case::clock_ahead(1_000_000)]
#[case::clock_back(1)]
#[case::same_clock(1_000)]
fn restart_under_same_name_reaches_all_views(#[case] clock: u64) {
    let mut world = World::all_started(10, 3, 20 * SECOND);
    let before = world.nodes[5].instance.start;
    world.kill(5);
    world.run(SECOND);
    world.start(5, clock);
    let after = |world: &World| world.nodes[5].membership.as_ref().map(|own| own.me().start);
    let took = world.run_until(8 * SECOND, |world| after(world) > Some(before) && world.converged());
    assert!(took.is_some(), "{:?}", after(&world));
}

#[test]
fn older_process_with_same_name_is_superseded() {
    let mut world = World::all_started(6, 3, 20 * SECOND);
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

/// Guards against flapping after a partition: a death that one side concluded must only raise a suspicion on the other
/// side, so that a live instance has time to refute it.
#[test]
fn received_death_of_live_peer_starts_a_suspicion() {
    let mut world = World::all_started(3, 1, 5 * SECOND);
    let claim = |at: usize, liveness: Liveness| Claim {
        instance: world.nodes[at].instance.clone(),
        incarnation: 0,
        liveness,
    };
    let claims = vec![claim(2, Liveness::Dead(name(1)))];
    let from = world.nodes[1].instance.clone();
    let message = wire::Message { fleet: 0, from, incarnation: 0, body: wire::Body::Gossip, claims };
    let own = world.nodes[0].membership.as_mut().expect("it runs");
    own.handle_message(world.now, &message);
    assert_eq!(own.liveness_of(&name(2)), Some(&Liveness::Suspect(name(1))));
}

#[test]
fn equal_events_give_equal_decisions() {
    let play = || {
        let mut world = World::all_started(12, 9, 10 * SECOND);
        world.pause(2, 3 * SECOND);
        world.kill(7);
        world.run(20 * SECOND);
        (world.bytes, world.datagrams, world.changes)
    };
    assert_eq!(play(), play());
}

#[test]
fn leaving_instance_is_not_declared_dead() {
    let mut world = World::all_started(20, 4, 20 * SECOND);
    if let Some(own) = &mut world.nodes[6].membership {
        own.leave();
    }
    world.pause(6, 0);
    world.run(SECOND);
    world.kill(6);
    assert!(world.run_until(5 * SECOND, |world| world.gone_for_all(6)).is_some());
    assert!(deaths(&world).is_empty());
}

#[rstest]
#[case::empty(&[], wire::Refused::Empty)]
#[case::newer_version(&[2, 0, 0], wire::Refused::Version(2))]
#[case::truncated(&[1, 0, 3, b'a'], wire::Refused::Malformed)]
#[case::too_long(&[1; 1_201], wire::Refused::TooLong(1_201))]
fn invalid_messages_are_rejected_with_reason(#[case] bytes: &[u8], #[case] refused: wire::Refused) {
    assert_eq!(wire::decode::<wire::Message>(bytes), Err(refused));
}

#[test]
fn later_start_outranks_higher_count() {
    assert!(Start { at: 2, count: 0 } > Start { at: 1, count: 9 });
}

/// Feeds claims about the numbered instances, six a message, all sent by the first of them.
fn feed_claims(own: &mut Membership, numbers: std::ops::Range<u32>, liveness: &Liveness) {
    let instance = |at: u32| Instance {
        name: Name::new(&format!("router-of-the-wide-fleet-{at:05}")).expect("short"),
        start: Start { at: u64::MAX, count: u32::MAX },
        address: SocketAddr::from(([127, 1, (at >> 8) as u8, at as u8], u16::MAX)),
        zone: Name::new("a-zone-of-the-longest-name-there").ok(),
    };
    let claim = |at: u32| Claim { instance: instance(at), incarnation: u32::MAX, liveness: liveness.clone() };
    let from = instance(0);
    for at in numbers.step_by(6) {
        let claims = (at..at + 6).map(claim).collect();
        let sent =
            wire::Message { fleet: 0, from: from.clone(), incarnation: 0, body: wire::Body::Gossip, claims };
        let bytes = wire::encode(&sent).expect("six claims of maximum length fit");
        own.handle_message(0, &wire::decode(&bytes).expect("what was sent can be read"));
    }
}

/// Guards against a view that grows beyond its bound. 4,098 instances are a multiple of six, and two more than fit.
#[test]
fn instances_beyond_the_view_bound_are_not_added() {
    let me = Instance { name: name(0), start: Start::default(), address: address(0), zone: None };
    let mut own = Membership::new(Plan::default(), me, &[], 0, 1).expect("a valid plan");
    let mut reported = Vec::new();
    feed_claims(&mut own, 0..4_098, &Liveness::Alive);
    while let Some(decision) = own.next_decision(0) {
        reported.extend(if let Decision::Tell(change) = decision { Some(change) } else { None });
    }
    let joined = reported.iter().filter(|change| matches!(change, Change::Joined(_))).count();
    let crowded = reported.iter().filter(|change| matches!(change, Change::ViewFull(_))).count();
    assert_eq!((joined, crowded, own.view().count()), (4_096, 2, MOST_INSTANCES));
}

/// Guards against pages that exceed a datagram, and against instances that no page contains.
#[test]
fn sync_pages_fit_a_datagram_and_cover_the_view() {
    let me = Instance { name: name(0), start: Start::default(), address: address(0), zone: None };
    let mut own = Membership::new(Plan::default(), me, &[], 0, 1).expect("a good plan");
    feed_claims(&mut own, 0..4_098, &Liveness::Alive);
    let asker = Instance { name: name(1), start: Start::default(), address: address(1), zone: None };
    let (mut after, mut listed) = (None, BTreeSet::new());
    loop {
        let body = wire::Body::SyncRequest { digest: None, after };
        let asks = wire::Message { fleet: 0, from: asker.clone(), incarnation: 0, body, claims: vec![] };
        own.handle_message(0, &asks);
        let sent = std::iter::from_fn(|| own.next_decision(0));
        let page = sent.filter_map(|decision| match decision {
            Decision::Send { to, message } if to == address(1) => Some(message),
            _ => None,
        });
        let page = page.filter(|message| matches!(message.body, wire::Body::SyncPage { .. })).last();
        let page = page.expect("a page");
        assert!(wire::encode(&page).is_ok(), "{} claims", page.claims.len());
        listed.extend(page.claims.iter().map(|claim| claim.instance.name.clone()));
        let wire::Body::SyncPage { next } = page.body else { panic!("a page") };
        after = next;
        if after.is_none() {
            break;
        }
    }
    assert_eq!(listed.len(), MOST_INSTANCES);
}

/// Guards against gossip that fails to spread, or does not stop, after all instances start at once. Each receives each
/// claim some ten times, of 40 bytes each: more than needed, and less than thirty times.
#[test]
fn simultaneous_start_converges_with_bounded_traffic() {
    for seed in 0..2 {
        let mut world = World::all_started(100, seed, 30 * SECOND);
        assert!(world.converged(), "seed {seed}");
        let each = world.bytes / 100;
        assert!(each < 55_000, "seed {seed}: {each} bytes a router");
        // The gossip is over: what remains is a ping and its answer each half second, and an occasional comparison.
        world.bytes = 0;
        world.run(30 * SECOND);
        assert!(world.bytes / 30 / 100 < 400, "seed {seed}: {} bytes in 30 s", world.bytes);
    }
}
