//! Schedules by chance: from a seed, for tests that want many of them.

use crate::schedule::{Act, Deed, Schedule, Window};
use nanorand::{Rng, WyRand};
use vetchkeel_link::fault::Fault;
use vetchkeel_link::{Name, Tenths};

/// How much goes wrong. Times in tenths of a millisecond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drawn {
    /// Everything is whole and runs again by then.
    pub length: Tenths,
    pub faults: usize,
    /// Processes killed, or stopped for a while.
    pub deeds: usize,
    /// The longest that a fault holds or a process is away.
    pub longest: Tenths,
}

/// Equal seed, names and measure: the same schedule.
pub fn draw(seed: u64, names: &[Name], drawn: &Drawn) -> Schedule {
    let mut chance = WyRand::new_seed(seed);
    let mut schedule = Schedule::quiet(seed);
    if names.len() < 2 || drawn.length <= 0 {
        return schedule;
    }
    for _ in 0..drawn.faults {
        let (from, until) = span(&mut chance, drawn);
        let links = links(&mut chance, names);
        schedule.windows.push(Window { from, until: Some(until), links, fault: fault(&mut chance) });
    }
    for name in names.iter().cycle().skip(chance.generate_range(0..names.len())).take(drawn.deeds) {
        let (from, until) = span(&mut chance, drawn);
        let (away, back) = match chance.generate_range(0..2u8) {
            0 => (Act::Kill, Act::Start),
            _ => (Act::Stop, Act::Continue),
        };
        let deed = |at, act| Deed { at, name: name.clone(), act };
        schedule.deeds.extend([deed(from, away), deed(until, back)]);
    }
    // Danger: of two spans of one process that overlap, the later end would come before the earlier: it would stay away.
    schedule.deeds.extend(names.iter().flat_map(|name| {
        let deed = |act| Deed { at: drawn.length, name: name.clone(), act };
        [deed(Act::Continue), deed(Act::Start)]
    }));
    schedule
}

fn span(chance: &mut WyRand, drawn: &Drawn) -> (Tenths, Tenths) {
    let from = chance.generate_range(0..drawn.length as u64) as Tenths;
    let longest = drawn.longest.clamp(1, drawn.length);
    let long = 1 + chance.generate_range(0..longest as u64) as Tenths;
    (from, (from + long).min(drawn.length))
}

fn links(chance: &mut WyRand, names: &[Name]) -> Vec<(Option<Name>, Option<Name>)> {
    let one = chance.generate_range(0..names.len());
    let other = (one + 1 + chance.generate_range(0..names.len() - 1)) % names.len();
    let (one, other) = (Some(names[one].clone()), Some(names[other].clone()));
    match chance.generate_range(0..4u8) {
        0 => vec![(one, other)],
        1 => vec![(one.clone(), other.clone()), (other, one)],
        2 => vec![(one.clone(), None), (None, one)],
        // Two sides: some names, and all others.
        _ => {
            let (left, right): (Vec<&Name>, Vec<&Name>) =
                names.iter().partition(|_| chance.generate::<bool>());
            let across = left.iter().flat_map(|l| right.iter().map(move |r| (*l, *r)));
            across
                .flat_map(|(l, r)| [(l, r), (r, l)])
                .map(|(f, t)| (Some(f.clone()), Some(t.clone())))
                .collect()
        }
    }
}

fn fault(chance: &mut WyRand) -> Fault {
    let whole = Fault::default();
    match chance.generate_range(0..6u8) {
        0 | 1 => Fault { cut: true, ..whole },
        2 => Fault { reset: true, ..whole },
        3 => Fault { delay: 50 + chance.generate_range(0..1_000i64), jitter: 300, ..whole },
        4 => Fault {
            drop: 0.05 + chance.generate_range(0..30u32) as f64 / 100.0,
            duplicate: 0.1,
            reorder: 0.2,
            ..whole
        },
        _ => Fault { rate: 20_000 + chance.generate_range(0..200_000u64), ..whole },
    }
}
