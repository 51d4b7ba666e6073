//! Counts, judgements and turns between routers, over links that lose, double, delay and are cut.

mod world;

use std::collections::BTreeSet;

use nanorand::Rng;
use rstest::rstest;
use vetchkeel_shared::counts::{Counts, Reading};
use vetchkeel_shared::judgements::{Judgements, Part, Rules, Ruling};
use vetchkeel_shared::turns::{Call, Kind, Turn, Turns};
use vetchkeel_shared::wire::{self, Decision};
use vetchkeel_shared::{Name, Start, Tenths};
use world::{Faults, Net, names};

const ROUGH: Faults =
    Faults { lost: 20, doubled: 20, delay: 2_000, killed: 0, stopped: 0, cut: 0, drift: 0, no_quiet: false };
const SECOND: Tenths = 10_000;
const STEP: Tenths = 100;

fn all(count: usize) -> BTreeSet<Name> {
    names(count).into_iter().collect()
}

fn index(name: &Name) -> usize {
    name.as_str()[7..].parse().expect("a number")
}

fn counting(count: usize) -> Vec<Counts> {
    let one = |(at, name): (usize, Name)| {
        let mut counts = Counts::new(name, Start::default(), 10 * SECOND, SECOND / 4, 0, at as u64);
        counts.live(all(count));
        counts
    };
    names(count).into_iter().enumerate().map(one).collect()
}

fn run_counts(routers: &mut [Counts], net: &mut Net, from: Tenths, to: Tenths) {
    for now in (from..to).step_by(STEP as usize) {
        while let Some((at, message)) = net.come(now) {
            routers[at].heard(now, &message);
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
fn all_read_one_count(#[case] count: usize) {
    let (mut routers, mut net) = (counting(count), Net::new(count, 7, ROUGH));
    for router in &mut routers {
        assert!(router.add(0, 1, 1_000));
    }
    run_counts(&mut routers, &mut net, 0, 10 * SECOND);
    let now = 10 * SECOND;
    // One half-life has passed, but for a tick of each.
    let expected = 500 * count as u64;
    for router in &routers {
        let Reading { total, heard, live, .. } = router.read(now, 1);
        assert_eq!((heard, live), (count, count));
        assert!(total.abs_diff(expected) * 100 <= expected * 5, "{total} of {expected}");
    }
}

#[test]
fn a_count_from_behind_a_cut_fades_and_tells_its_age() {
    let (mut routers, mut net) = (counting(3), Net::new(3, 7, Faults { delay: 100, ..Faults::default() }));
    routers.iter_mut().for_each(|router| assert!(router.add(0, 1, 1_000)));
    run_counts(&mut routers, &mut net, 0, 2 * SECOND);
    net.cut = vec![vec![false, false, true], vec![false, false, true], vec![true, true, false]];
    for second in 2..22 {
        routers.iter_mut().for_each(|router| assert!(router.add(second * SECOND, 1, 100)));
        run_counts(&mut routers, &mut net, second * SECOND, (second + 1) * SECOND);
    }
    let reading = routers[0].read(22 * SECOND, 1);
    assert!(reading.oldest >= 20 * SECOND && reading.oldest < 23 * SECOND, "{reading:?}");
    routers[0].live(all(2));
    let reading = routers[0].read(22 * SECOND, 1);
    assert_eq!((reading.heard, reading.live), (2, 2));
    assert!(reading.oldest < 3 * SECOND, "{reading:?}");
}

const RULES: Rules =
    Rules { part: Part { of: 1, in_all: 2 }, lasts: 10 * SECOND, lingers: 60 * SECOND, every: SECOND / 4 };

struct Court {
    routers: Vec<Judgements>,
    net: Net,
    now: Tenths,
    rulings: Vec<(usize, Ruling)>,
}

fn court(count: usize) -> Court {
    let one = |(at, name): (usize, Name)| {
        let mut one = Judgements::new(name, Start::default(), RULES, 0, at as u64).expect("good rules");
        one.live(0, all(count));
        one
    };
    let routers = names(count).into_iter().enumerate().map(one).collect();
    Court { routers, net: Net::new(count, 3, ROUGH), now: 0, rulings: Vec::new() }
}

impl Court {
    /// Those in `against` hold it against the member in that life, again every second.
    fn run(&mut self, length: Tenths, against: &[usize], member: &Name, life: u64) {
        let end = self.now + length;
        while self.now < end {
            if self.now % SECOND == 0 {
                against.iter().for_each(|at| self.routers[*at].judge(self.now, member, life, true));
            }
            while let Some((at, message)) = self.net.come(self.now) {
                self.routers[at].heard(self.now, &message);
            }
            for at in 0..self.routers.len() {
                while let Some(ruling) = self.routers[at].next_decision(self.now) {
                    match ruling {
                        Ruling::Send(Decision::Send { to, message }) => {
                            self.net.send(self.now, at, index(&to), &message);
                        }
                        other => self.rulings.push((at, other)),
                    }
                }
            }
            self.now += STEP;
        }
    }

    fn dark(&self, member: &Name, life: u64) -> Vec<bool> {
        self.routers.iter().map(|router| router.verdict(self.now, member, life).dark).collect()
    }
}

#[rstest]
#[case::none(&[], false)]
#[case::one(&[4], false)]
#[case::half(&[0, 2, 4, 6, 8], false)]
#[case::more_than_half(&[0, 2, 4, 6, 8, 9], true)]
fn only_more_than_half_darken_a_member_for_all(#[case] against: &[usize], #[case] dark: bool) {
    let member = Name::new("set-3/replica-1").expect("short");
    let mut court = court(10);
    court.run(30 * SECOND, against, &member, 5);
    assert_eq!(court.dark(&member, 5), vec![dark; 10]);
    court.run(12 * SECOND, &[], &member, 5);
    assert_eq!(court.dark(&member, 5), vec![false; 10], "what is not repeated expires");
    let told = court.rulings.iter().filter(|(_, ruling)| matches!(ruling, Ruling::Light(..))).count();
    assert_eq!(told, if dark { 10 } else { 0 });
}

#[test]
fn a_cut_off_minority_stays_a_minority_by_itself() {
    let member = Name::new("set-3/replica-1").expect("short");
    let mut court = court(9);
    let few: BTreeSet<Name> = names(3).into_iter().collect();
    for at in 0..3 {
        court.routers[at].live(0, few.clone());
    }
    court.run(50 * SECOND, &[0, 1, 2], &member, 5);
    assert_eq!(court.dark(&member, 5), vec![false; 9]);
    court.run(30 * SECOND, &[0, 1, 2], &member, 5);
    // Past the time that the gone still count, the few are all there is for them; the rest are not touched.
    assert_eq!(court.dark(&member, 5), [[true; 3], [false; 3], [false; 3]].concat());
}

#[test]
fn a_judgement_dies_with_the_life_it_was_about() {
    let member = Name::new("set-3/replica-1").expect("short");
    let mut court = court(5);
    court.run(20 * SECOND, &[0, 1, 2, 3], &member, 5);
    assert_eq!(court.dark(&member, 5), vec![true; 5]);
    assert_eq!(court.dark(&member, 6), vec![false; 5]);
    let now = court.now;
    court.routers[4].seen(&member, 6);
    court.routers[4].next_decision(now);
    assert!(!court.routers[4].verdict(now, &member, 5).dark);
}

fn turn(about: &str, round: u32) -> Turn {
    Turn { kind: Kind::Probe, about: Name::new(about).expect("short"), life: 1, round }
}

/// Plays turns among `count`, of whom those in `dead` do nothing, and `known` of them are known dead after 5 s. Every act
/// takes 0.2 s. Who acted on which turn, when; and who saw it lapse.
fn play_turns(
    seed: u64,
    count: usize,
    dead: &[usize],
    faults: Faults,
    turns: u32,
) -> Vec<Vec<(Tenths, usize)>> {
    let (step, lasts) = (SECOND / 2, SECOND);
    let mut net = Net::new(count, seed, faults);
    let mut routers: Vec<Turns> =
        names(count).into_iter().map(|name| Turns::new(name, Start::default(), step, lasts)).collect();
    routers.iter_mut().for_each(|router| router.live(0, all(count), true));
    let mut acts = vec![Vec::new(); turns as usize];
    let mut busy: Vec<(Tenths, usize, Turn)> = Vec::new();
    let mut opens: Vec<(Tenths, usize, u32)> = Vec::new();
    for round in 0..turns {
        for at in 0..count {
            // Each learns of the cause within 0.3 s.
            opens.push((net.chance.generate_range(0..3_000u64) as Tenths, at, round));
        }
    }
    for now in (0..20 * SECOND).step_by(STEP as usize) {
        opens.retain(|(when, at, round)| {
            let due = *when <= now;
            if due {
                routers[*at].open(now, turn("set-1/replica-2", *round));
            }
            !due
        });
        busy.retain(|(until, at, turn)| {
            let due = *until <= now;
            if due {
                routers[*at].done(now, turn);
            }
            !due
        });
        while let Some((at, message)) = net.come(now) {
            routers[at].heard(now, &message);
        }
        for at in (0..count).filter(|at| !dead.contains(at)) {
            while let Some(call) = routers[at].next_decision(now) {
                match call {
                    Call::Send(Decision::Send { to, message }) => net.send(now, at, index(&to), &message),
                    Call::Act(turn, _) => {
                        acts[turn.round as usize].push((now, at));
                        busy.push((now + 2_000, at, turn));
                    }
                    Call::Lapsed(_) => {}
                }
            }
        }
    }
    acts
}

#[test]
fn on_whole_links_every_turn_is_held_once() {
    let calm = Faults { delay: 50, ..Faults::default() };
    let acts = play_turns(1, 20, &[], calm, 200);
    assert!(acts.iter().all(|acts| acts.len() == 1));
    let mut each = vec![0; 20];
    acts.iter().for_each(|acts| each[acts[0].1] += 1);
    assert!(each.iter().all(|turns| (2..=25).contains(turns)), "turns go round: {each:?}");
}

/// A third is dead and nobody knows yet: a turn waits a step for each dead one ahead.
#[test]
fn a_turn_outlives_dead_holders_and_loss() {
    let dead: Vec<usize> = (0..20).filter(|at| at % 3 == 0).collect();
    let acts = play_turns(2, 20, &dead, Faults { lost: 10, delay: 50, ..Faults::default() }, 300);
    let held = acts.iter().filter(|acts| !acts.is_empty()).count();
    let latest = acts.iter().filter_map(|acts| acts.first()).map(|(at, _)| *at).max().unwrap_or(0);
    let twice = acts.iter().filter(|acts| acts.len() > 1).count();
    assert!(held >= 299, "{held} of 300: only where all eight who stand by are dead");
    assert!(latest <= 8 * (SECOND / 2) + 3_000, "{latest}");
    println!("held {held}, latest {latest}, twice {twice}");
    assert!(twice < 30, "{twice}");
}

#[test]
fn the_next_takes_over_when_the_holder_is_known_dead() {
    let live = all(5);
    let mut routers: Vec<Turns> =
        names(5).into_iter().map(|name| Turns::new(name, Start::default(), SECOND, 100 * SECOND)).collect();
    let turn = turn("set-1/replica-2", 0);
    let mut taken = Vec::new();
    for router in &mut routers {
        router.live(0, live.clone(), true);
        router.open(0, turn.clone());
    }
    let mut holder = None;
    for (at, router) in routers.iter_mut().enumerate() {
        while let Some(call) = router.next_decision(0) {
            match call {
                Call::Act(..) => holder = Some(at),
                Call::Send(Decision::Send { to, message }) => taken.push((index(&to), message)),
                Call::Lapsed(_) => {}
            }
        }
    }
    let holder = holder.expect("the first acts at once");
    taken.iter().for_each(|(to, message)| assert!(routers[*to].heard(1, message)));
    let mut left = live;
    left.remove(&names(5)[holder]);
    let mut acts = 0;
    for (_, router) in routers.iter_mut().enumerate().filter(|(at, _)| *at != holder) {
        assert_eq!(router.next_decision(10 * SECOND), None, "it is taken");
        router.live(10 * SECOND, left.clone(), true);
        while let Some(call) = router.next_decision(10 * SECOND) {
            acts += u32::from(matches!(call, Call::Act(..)));
        }
    }
    assert_eq!(acts, 1);
}

#[rstest]
#[case::empty(&[], wire::Refused::Empty)]
#[case::newer(&[9, 0], wire::Refused::Version(9))]
#[case::unknown_kind(&[1, 1, b'a', 0, 0, 77], wire::Refused::Malformed)]
fn unknown_bytes_are_refused_by_name(#[case] bytes: &[u8], #[case] refused: wire::Refused) {
    assert_eq!(wire::decode::<wire::Message>(bytes), Err(refused));
}
