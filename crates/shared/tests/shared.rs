//! Counts, judgements and turns between simulated routers, over links that lose, duplicate, delay and cut off messages.

mod world;

use std::collections::BTreeSet;

use nanorand::Rng;
use rstest::rstest;
use vetchkeel_shared::counts::{Counts, Reading};
use vetchkeel_shared::judgements::{Judgements, Output, QuorumFraction, Rules};
use vetchkeel_shared::turns::{Action, Kind, Turn, Turns};
use vetchkeel_shared::wire::{self, Decision};
use vetchkeel_shared::{Name, Start, Tenths};
use world::{Faults, Net, names};

const UNRELIABLE: Faults = Faults {
    loss_percent: 20,
    duplicate_percent: 20,
    max_delay: 2_000,
    kill_rate: 0,
    suspend_rate: 0,
    partitions: 0,
    drift_ppm: 0,
    skip_quiet_period: false,
};
const SECOND: Tenths = 10_000;
const STEP: Tenths = 100;

fn all(count: usize) -> BTreeSet<Name> {
    names(count).into_iter().collect()
}

fn index(name: &Name) -> usize {
    name.as_str()[7..].parse().expect("a router number")
}

fn counting_routers(count: usize) -> Vec<Counts> {
    let one = |(at, name): (usize, Name)| {
        let mut counts = Counts::new(name, Start::default(), 10 * SECOND, SECOND / 4, 0, at as u64);
        counts.set_live(all(count));
        counts
    };
    names(count).into_iter().enumerate().map(one).collect()
}

fn run_counts(routers: &mut [Counts], net: &mut Net, from: Tenths, to: Tenths) {
    for now in (from..to).step_by(STEP as usize) {
        while let Some((at, message)) = net.receive(now) {
            routers[at].handle_message(now, &message);
        }
        for (at, router) in routers.iter_mut().enumerate() {
            while let Some(Decision::Send { to, message }) = router.next_decision(now) {
                net.send(now, at, index(&to), &message);
            }
        }
    }
}

#[rstest]
#[case(3)]
#[case(40)]
fn routers_converge_on_one_count(#[case] count: usize) {
    let (mut routers, mut net) = (counting_routers(count), Net::new(count, 7, UNRELIABLE));
    for router in &mut routers {
        assert!(router.add(0, 1, 1_000));
    }
    run_counts(&mut routers, &mut net, 0, 10 * SECOND);
    let now = 10 * SECOND;
    // One half-life has passed, less at most one tick per tally.
    let expected = 500 * count as u64;
    for router in &routers {
        let Reading { total, included, live, .. } = router.read(now, 1);
        assert_eq!((included, live), (count, count));
        assert!(total.abs_diff(expected) * 100 <= expected * 5, "{total} of {expected}");
    }
}

#[test]
fn count_across_a_partition_reports_its_age() {
    let (mut routers, mut net) =
        (counting_routers(3), Net::new(3, 7, Faults { max_delay: 100, ..Faults::default() }));
    routers.iter_mut().for_each(|router| assert!(router.add(0, 1, 1_000)));
    run_counts(&mut routers, &mut net, 0, 2 * SECOND);
    net.partitions = vec![vec![false, false, true], vec![false, false, true], vec![true, true, false]];
    for second in 2..22 {
        routers.iter_mut().for_each(|router| assert!(router.add(second * SECOND, 1, 100)));
        run_counts(&mut routers, &mut net, second * SECOND, (second + 1) * SECOND);
    }
    let reading = routers[0].read(22 * SECOND, 1);
    assert!(reading.oldest >= 20 * SECOND && reading.oldest < 23 * SECOND, "{reading:?}");
    routers[0].set_live(all(2));
    let reading = routers[0].read(22 * SECOND, 1);
    assert_eq!((reading.included, reading.live), (2, 2));
    assert!(reading.oldest < 3 * SECOND, "{reading:?}");
}

const RULES: Rules = Rules {
    quorum: QuorumFraction { numerator: 1, denominator: 2 },
    judgement_ttl: 10 * SECOND,
    departed_ttl: 60 * SECOND,
    gossip_interval: SECOND / 4,
};

struct JudgingFleet {
    routers: Vec<Judgements>,
    net: Net,
    now: Tenths,
    outputs: Vec<(usize, Output)>,
}

fn judging_fleet(count: usize) -> JudgingFleet {
    let one = |(at, name): (usize, Name)| {
        let mut one = Judgements::new(name, Start::default(), RULES, 0, at as u64).expect("valid rules");
        one.set_live(0, all(count));
        one
    };
    let routers = names(count).into_iter().enumerate().map(one).collect();
    JudgingFleet { routers, net: Net::new(count, 3, UNRELIABLE), now: 0, outputs: Vec::new() }
}

impl JudgingFleet {
    /// Runs for `length`. The routers in `against` repeat their judgement against this incarnation of the member every
    /// second.
    fn run(&mut self, length: Tenths, against: &[usize], member: &Name, incarnation: u64) {
        let end = self.now + length;
        while self.now < end {
            if self.now % SECOND == 0 {
                against.iter().for_each(|at| self.routers[*at].judge(self.now, member, incarnation, true));
            }
            while let Some((at, message)) = self.net.receive(self.now) {
                self.routers[at].handle_message(self.now, &message);
            }
            for at in 0..self.routers.len() {
                while let Some(output) = self.routers[at].next_decision(self.now) {
                    match output {
                        Output::Send(Decision::Send { to, message }) => {
                            self.net.send(self.now, at, index(&to), &message);
                        }
                        other => self.outputs.push((at, other)),
                    }
                }
            }
            self.now += STEP;
        }
    }

    fn down(&self, member: &Name, incarnation: u64) -> Vec<bool> {
        self.routers.iter().map(|router| router.verdict(self.now, member, incarnation).down).collect()
    }
}

#[rstest]
#[case::no_observer(&[], false)]
#[case::one_observer(&[4], false)]
#[case::half_of_the_electorate(&[0, 2, 4, 6, 8], false)]
#[case::majority_of_the_electorate(&[0, 2, 4, 6, 8, 9], true)]
fn only_a_majority_marks_a_member_down(#[case] against: &[usize], #[case] down: bool) {
    let member = Name::new("set-3/replica-1").expect("short");
    let mut fleet = judging_fleet(10);
    fleet.run(30 * SECOND, against, &member, 5);
    assert_eq!(fleet.down(&member, 5), vec![down; 10]);
    fleet.run(12 * SECOND, &[], &member, 5);
    assert_eq!(fleet.down(&member, 5), vec![false; 10], "judgements that are not repeated expire");
    let recoveries =
        fleet.outputs.iter().filter(|(_, output)| matches!(output, Output::Recovered(..))).count();
    assert_eq!(recoveries, if down { 10 } else { 0 });
}

#[test]
fn partitioned_minority_does_not_become_a_majority_at_once() {
    let member = Name::new("set-3/replica-1").expect("short");
    let mut fleet = judging_fleet(9);
    let minority: BTreeSet<Name> = names(3).into_iter().collect();
    for at in 0..3 {
        fleet.routers[at].set_live(0, minority.clone());
    }
    fleet.run(50 * SECOND, &[0, 1, 2], &member, 5);
    assert_eq!(fleet.down(&member, 5), vec![false; 9]);
    fleet.run(30 * SECOND, &[0, 1, 2], &member, 5);
    // Once the departed routers no longer count, the minority is the whole electorate in its own view; the other
    // routers are not affected.
    assert_eq!(fleet.down(&member, 5), [[true; 3], [false; 3], [false; 3]].concat());
}

#[test]
fn judgement_is_dropped_with_the_member_incarnation() {
    let member = Name::new("set-3/replica-1").expect("short");
    let mut fleet = judging_fleet(5);
    fleet.run(20 * SECOND, &[0, 1, 2, 3], &member, 5);
    assert_eq!(fleet.down(&member, 5), vec![true; 5]);
    assert_eq!(fleet.down(&member, 6), vec![false; 5]);
    let now = fleet.now;
    fleet.routers[4].observe_incarnation(&member, 6);
    fleet.routers[4].next_decision(now);
    assert!(!fleet.routers[4].verdict(now, &member, 5).down);
}

fn turn(target: &str, round: u32) -> Turn {
    Turn { kind: Kind::Probe, target: Name::new(target).expect("short"), incarnation: 1, round }
}

/// Simulates turns among `count` routers, of which those in `dead` do nothing, while the others do not know that they
/// are dead. Every action takes 0.2 s. Returns for each turn when which router acted.
fn simulate_turns(
    seed: u64,
    count: usize,
    dead: &[usize],
    faults: Faults,
    turns: u32,
) -> Vec<Vec<(Tenths, usize)>> {
    let (step, hold_time) = (SECOND / 2, SECOND);
    let mut net = Net::new(count, seed, faults);
    let mut routers: Vec<Turns> =
        names(count).into_iter().map(|name| Turns::new(name, Start::default(), step, hold_time)).collect();
    routers.iter_mut().for_each(|router| router.set_live(0, all(count), true));
    let mut acts = vec![Vec::new(); turns as usize];
    let mut busy: Vec<(Tenths, usize, Turn)> = Vec::new();
    let mut openings: Vec<(Tenths, usize, u32)> = Vec::new();
    for round in 0..turns {
        for at in 0..count {
            // Each router learns of the cause within 0.3 s.
            openings.push((net.chance.generate_range(0..3_000u64) as Tenths, at, round));
        }
    }
    for now in (0..20 * SECOND).step_by(STEP as usize) {
        openings.retain(|(when, at, round)| {
            let due = *when <= now;
            if due {
                routers[*at].open(now, turn("set-1/replica-2", *round));
            }
            !due
        });
        busy.retain(|(until, at, turn)| {
            let due = *until <= now;
            if due {
                routers[*at].complete(now, turn);
            }
            !due
        });
        while let Some((at, message)) = net.receive(now) {
            routers[at].handle_message(now, &message);
        }
        for at in (0..count).filter(|at| !dead.contains(at)) {
            while let Some(action) = routers[at].next_decision(now) {
                match action {
                    Action::Send(Decision::Send { to, message }) => net.send(now, at, index(&to), &message),
                    Action::Run(turn, _) => {
                        acts[turn.round as usize].push((now, at));
                        busy.push((now + 2_000, at, turn));
                    }
                    Action::Expired(_) => {}
                }
            }
        }
    }
    acts
}

#[test]
fn turns_are_held_once_on_reliable_links() {
    let reliable = Faults { max_delay: 50, ..Faults::default() };
    let acts = simulate_turns(1, 20, &[], reliable, 200);
    assert!(acts.iter().all(|acts| acts.len() == 1));
    let mut each = vec![0; 20];
    acts.iter().for_each(|acts| each[acts[0].1] += 1);
    assert!(
        each.iter().all(|turns| (2..=25).contains(turns)),
        "turns must be spread over all routers: {each:?}"
    );
}

/// A third of the routers is dead and the others do not know it yet: a turn must wait only one step for each dead
/// candidate ahead.
#[test]
fn turns_survive_dead_holders_and_message_loss() {
    let dead: Vec<usize> = (0..20).filter(|at| at % 3 == 0).collect();
    let acts =
        simulate_turns(2, 20, &dead, Faults { loss_percent: 10, max_delay: 50, ..Faults::default() }, 300);
    let held = acts.iter().filter(|acts| !acts.is_empty()).count();
    let latest = acts.iter().filter_map(|acts| acts.first()).map(|(at, _)| *at).max().unwrap_or(0);
    let twice = acts.iter().filter(|acts| acts.len() > 1).count();
    assert!(held >= 299, "{held} of 300: a turn may fail only if all eight candidates are dead");
    assert!(latest <= 8 * (SECOND / 2) + 3_000, "{latest}");
    println!("held {held}, latest {latest}, twice {twice}");
    assert!(twice < 30, "{twice}");
}

#[test]
fn turn_of_a_known_dead_holder_is_taken_over() {
    let live = all(5);
    let mut routers: Vec<Turns> =
        names(5).into_iter().map(|name| Turns::new(name, Start::default(), SECOND, 100 * SECOND)).collect();
    let turn = turn("set-1/replica-2", 0);
    let mut taken = Vec::new();
    for router in &mut routers {
        router.set_live(0, live.clone(), true);
        router.open(0, turn.clone());
    }
    let mut holder = None;
    for (at, router) in routers.iter_mut().enumerate() {
        while let Some(action) = router.next_decision(0) {
            match action {
                Action::Run(..) => holder = Some(at),
                Action::Send(Decision::Send { to, message }) => taken.push((index(&to), message)),
                Action::Expired(_) => {}
            }
        }
    }
    let holder = holder.expect("the first candidate acts at once");
    taken.iter().for_each(|(to, message)| assert!(routers[*to].handle_message(1, message)));
    let mut left = live;
    left.remove(&names(5)[holder]);
    let mut acts = 0;
    for (_, router) in routers.iter_mut().enumerate().filter(|(at, _)| *at != holder) {
        assert_eq!(router.next_decision(10 * SECOND), None, "the turn is taken");
        router.set_live(10 * SECOND, left.clone(), true);
        while let Some(action) = router.next_decision(10 * SECOND) {
            acts += u32::from(matches!(action, Action::Run(..)));
        }
    }
    assert_eq!(acts, 1);
}

#[rstest]
#[case::empty_message(&[], wire::Refused::Empty)]
#[case::newer_version(&[9, 0], wire::Refused::Version(9))]
#[case::unknown_kind(&[1, 1, b'a', 0, 0, 77], wire::Refused::Malformed)]
fn undecodable_messages_are_rejected(#[case] bytes: &[u8], #[case] refused: wire::Refused) {
    assert_eq!(wire::decode::<wire::Message>(bytes), Err(refused));
}
