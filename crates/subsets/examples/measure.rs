//! Compares subsetting methods in Markdown tables: `cargo run --release -p vetchkeel-subsets --example measure`. Each
//! method is implemented here from its publication; only the last is this library's. docs/subsets.md explains the
//! choice.

use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;
use vetchkeel_subsets::{Member, Role, Router, Rule, fleet, numbered_routers, subset};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const SEEDS: u64 = 20;

/// Arguments: replicas of one set (id and weight) in the order in which they joined, picks of each router, weights of
/// the routers. Returns the picks of each router, as indexes.
type Method = fn(&[(String, f64)], usize, &[f64]) -> Vec<Vec<usize>>;

const METHODS: [(&str, Method); 11] = [
    ("rounds of shuffles", shuffled_rounds),
    ("low-discrepancy ring, members numbered as they join", ring),
    ("low-discrepancy ring, members numbered by id", ring_by_id),
    ("low-discrepancy ring, lots of 10", ring_by_groups),
    ("rendezvous, plain", rendezvous),
    ("rendezvous, weighted", weighted_rendezvous),
    ("rendezvous, bounded load 1.1", bounded_rendezvous),
    ("low-discrepancy rendezvous", scrambled_rendezvous),
    ("rendezvous by sixteens, no bounds", stratified_without_bounds),
    ("compact rule, no bounds", compact_rule),
    ("this package", this_package),
];

fn hash_with(id: &str, with: u64) -> u64 {
    xxh3_64_with_seed(&with.to_le_bytes(), xxh3_64(id.as_bytes()))
}

fn unit(id: &str, with: u64) -> f64 {
    ((hash_with(id, with) >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}

/// Deterministic subsetting: routers are divided into rounds, each round shuffles the members, and each router of a
/// round takes the next part.
fn shuffled_rounds(members: &[(String, f64)], picks: usize, routers: &[f64]) -> Vec<Vec<usize>> {
    let routers_per_round = (members.len() / picks).max(1);
    let of = |me: usize| {
        let mut order: Vec<usize> = (0..members.len()).collect();
        WyRand::new_seed((me / routers_per_round) as u64).shuffle(&mut order);
        let from = me % routers_per_round * picks;
        order[from..(from + picks).min(members.len())].to_vec()
    };
    (0..routers.len()).map(of).collect()
}

/// Van der Corput sequence in base 2.
fn van_der_corput(i: usize) -> f64 {
    (i as u32).reverse_bits() as f64 / 2f64.powi(32)
}

fn next_on_ring(at: f64, order: &[usize], picks: usize) -> Vec<usize> {
    let mut ring: Vec<(f64, usize)> =
        order.iter().enumerate().map(|(i, m)| (van_der_corput(i), *m)).collect();
    ring.sort_by(|a, b| a.0.total_cmp(&b.0));
    let from = ring.partition_point(|r| r.0 < at);
    (0..picks.min(ring.len())).map(|i| ring[(from + i) % ring.len()].1).collect()
}

/// Members and routers are placed on one ring by the sequence; a router picks the members that follow it.
fn ring(members: &[(String, f64)], picks: usize, routers: &[f64]) -> Vec<Vec<usize>> {
    let order: Vec<usize> = (0..members.len()).collect();
    (0..routers.len()).map(|me| next_on_ring(van_der_corput(me), &order, picks)).collect()
}

/// The same, with members numbered by the order of their ids.
fn ring_by_id(members: &[(String, f64)], picks: usize, routers: &[f64]) -> Vec<Vec<usize>> {
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by(|a, b| members[*a].0.cmp(&members[*b].0));
    (0..routers.len()).map(|me| next_on_ring(van_der_corput(me), &order, picks)).collect()
}

/// The same with routers in groups of ten, each with a ring of its own, whose members are shuffled by group (by hash,
/// so that the remaining members keep their order).
fn ring_by_groups(members: &[(String, f64)], picks: usize, routers: &[f64]) -> Vec<Vec<usize>> {
    let of = |me: usize| {
        let mut order: Vec<usize> = (0..members.len()).collect();
        order.sort_by_key(|m| hash_with(&members[*m].0, (me / 10) as u64));
        next_on_ring((me % 10) as f64 / 10.0, &order, picks)
    };
    (0..routers.len()).map(of).collect()
}

fn lowest(scores: Vec<f64>, picks: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..scores.len()).collect();
    order.sort_by(|a, b| scores[*a].total_cmp(&scores[*b]));
    order.truncate(picks);
    order
}

fn rendezvous(members: &[(String, f64)], picks: usize, routers: &[f64]) -> Vec<Vec<usize>> {
    let of = |me: usize| lowest(members.iter().map(|m| unit(&m.0, me as u64)).collect(), picks);
    (0..routers.len()).map(of).collect()
}

fn weighted_rendezvous(members: &[(String, f64)], picks: usize, routers: &[f64]) -> Vec<Vec<usize>> {
    let score = |m: &(String, f64), me: usize| -unit(&m.0, me as u64).ln() / m.1;
    let of = |me: usize| lowest(members.iter().map(|m| score(m, me)).collect(), picks);
    (0..routers.len()).map(of).collect()
}

/// Weighted, with each member limited to 1.1 of its share: routers pick in turn and skip members at their limit.
fn bounded_rendezvous(members: &[(String, f64)], picks: usize, routers: &[f64]) -> Vec<Vec<usize>> {
    let (all, sum) = (routers.iter().sum::<f64>() * picks as f64, members.iter().map(|m| m.1).sum::<f64>());
    let mut given = vec![0.0; members.len()];
    let mut of = |(me, weight): (usize, &f64)| {
        let full = |i: usize| given[i] + weight > (all * members[i].1 / sum * 1.1).ceil();
        let score =
            |i: usize| -unit(&members[i].0, me as u64).ln() / members[i].1 + full(i) as u8 as f64 * 1e9;
        let picked = lowest((0..members.len()).map(score).collect(), picks);
        picked.iter().for_each(|i| given[*i] += weight);
        picked
    };
    routers.iter().enumerate().map(&mut of).collect()
}

fn by_package(members: &[(String, f64)], routers: &[f64], rule: &Rule) -> Vec<Vec<usize>> {
    let member = |(id, weight): &(String, f64)| Member {
        id: id.clone(),
        set: 0,
        role: Role::Replica,
        weight: *weight,
        zone: String::new(),
    };
    let members: Vec<Member> = members.iter().map(member).collect();
    let router = |(i, w): (usize, &f64)| Router { number: i as u64, weight: *w };
    let routers: Vec<Router> = routers.iter().enumerate().map(router).collect();
    let all = fleet(&routers, &members, rule).expect("a valid fleet");
    all.into_values().map(|mut sets| sets.remove(&0).unwrap_or_default().replicas).collect()
}

/// The scores of a member over the routers are the van der Corput sequence with Owen's nested scrambling by its id.
fn scrambled_rendezvous(members: &[(String, f64)], picks: usize, routers: &[f64]) -> Vec<Vec<usize>> {
    let score = |(id, weight): &(String, f64), me: usize| {
        let flipped =
            |bit: u32| hash_with(id, 1 << 40 | u64::from(bit) << 32 | (me as u64 & ((1 << bit) - 1))) & 1;
        let even = (0..9).fold(0, |sum, bit| sum << 1 | ((me as u64 >> bit & 1) ^ flipped(bit)));
        -((even as f64 + unit(id, me as u64)) / 512.0).ln() / weight
    };
    let of = |me: usize| lowest(members.iter().map(|m| score(m, me)).collect(), picks);
    (0..routers.len()).map(of).collect()
}

fn stratified_without_bounds(members: &[(String, f64)], picks: usize, routers: &[f64]) -> Vec<Vec<usize>> {
    by_package(members, routers, &Rule { replicas: picks, max_share: 1e9, min_share: 0.0, ..Rule::default() })
}

fn this_package(members: &[(String, f64)], picks: usize, routers: &[f64]) -> Vec<Vec<usize>> {
    by_package(members, routers, &Rule { replicas: picks, ..Rule::default() })
}

/// The rule in the compact form for the router's decisions, which depends only on id and number. See docs/subsets.md.
fn compact_score(id: &str, me: u64) -> u64 {
    let fold = |key: u64, b: u8| (key ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let key = id.bytes().fold(0xcbf2_9ce4_8422_2325, fold);
    let mut order: [u64; 16] = std::array::from_fn(|i| i as u64);
    WyRand::new_seed(key ^ (me / 16 + 1) << 32).shuffle(&mut order);
    order[(me % 16) as usize] << 48 | WyRand::new_seed(key ^ me).generate::<u64>() >> 16
}

fn compact_rule(members: &[(String, f64)], picks: usize, routers: &[f64]) -> Vec<Vec<usize>> {
    let of =
        |me: usize| lowest(members.iter().map(|m| compact_score(&m.0, me as u64) as f64).collect(), picks);
    (0..routers.len()).map(of).collect()
}

/// Number of sets, replicas in each, and replicas of each that a router picks. The primary is in every subset and is
/// not counted.
#[derive(Clone, Copy)]
struct Shape {
    sets: usize,
    replicas: usize,
    picks: usize,
}

const SHAPES: [Shape; 5] = [
    Shape { sets: 40, replicas: 2, picks: 1 },
    Shape { sets: 30, replicas: 3, picks: 1 },
    Shape { sets: 30, replicas: 3, picks: 2 },
    Shape { sets: 12, replicas: 9, picks: 3 },
    Shape { sets: 2, replicas: 59, picks: 12 },
];

struct Fleet {
    /// By set: ids and weights of its replicas.
    sets: Vec<Vec<(String, f64)>>,
    routers: Vec<f64>,
}

/// A random fleet. `uneven`: routers of weight 1, 2 and 3, replicas of weight 1 and 2; otherwise all of weight 1.
fn random_fleet(seed: u64, shape: Shape, routers: usize, uneven: bool) -> Fleet {
    let mut rng = WyRand::new_seed(seed);
    let mut weight = |most: u64| if uneven { rng.generate_range(1..=most) as f64 } else { 1.0 };
    let mut number = 0;
    let mut replica = || {
        number += 1;
        (format!("n-{:08x}", hash_with("member", seed << 32 | number) >> 32), weight(2))
    };
    let sets = (0..shape.sets).map(|_| (0..shape.replicas).map(|_| replica()).collect()).collect();
    let routers = (0..routers).map(|_| weight(3)).collect();
    Fleet { sets, routers }
}

fn picks_of(method: Method, f: &Fleet, picks: usize) -> Vec<Vec<Vec<usize>>> {
    f.sets.iter().map(|set| method(set, picks, &f.routers)).collect()
}

/// Largest and smallest ratio, over all replicas, of a replica's share of the routers' weight to its fair share (in
/// proportion to weight, at most 1).
fn shares(f: &Fleet, all: &[Vec<Vec<usize>>], picks: usize) -> (f64, f64) {
    let (mut most, mut least) = (0.0f64, f64::MAX);
    for (set, picked) in f.sets.iter().zip(all) {
        let mut given = vec![0.0; set.len()];
        picked.iter().zip(&f.routers).for_each(|(p, w)| p.iter().for_each(|m| given[*m] += w));
        // Finds the fair shares by bisection: the scale at which the shares, each at most 1, add up to the picks.
        let (mut low, mut high) = (0.0, 1e6);
        for _ in 0..80 {
            let mid = (low + high) / 2.0;
            let sum: f64 = set.iter().map(|m| (m.1 * mid).min(1.0)).sum();
            if sum < picks as f64 { low = mid } else { high = mid }
        }
        let all: f64 = f.routers.iter().sum();
        for (given, m) in given.iter().zip(set) {
            let part = given / ((m.1 * high).min(1.0) * all);
            (most, least) = (most.max(part), least.min(part));
        }
    }
    (most, least)
}

/// Picks after a growth that are new, relative to the least possible; compared by id.
fn new_picks(method: Method, before: &Fleet, after: &Fleet, picks: usize) -> f64 {
    let (mut new, mut least) = (0.0, 0.0);
    for (old, set) in before.sets.iter().zip(&after.sets) {
        if old.len() == set.len() && before.routers.len() == after.routers.len() {
            continue;
        }
        let (was, is) = (method(old, picks, &before.routers), method(set, picks, &after.routers));
        for (i, picked) in is.iter().enumerate() {
            let kept: BTreeSet<&str> = was.get(i).into_iter().flatten().map(|m| old[*m].0.as_str()).collect();
            new += picked.iter().filter(|m| !kept.contains(set[**m].0.as_str())).count() as f64;
        }
        let (sum, joined): (f64, f64) =
            (set.iter().map(|m| m.1).sum(), set[old.len()..].iter().map(|m| m.1).sum());
        let full = picks as f64 * is.len() as f64;
        least += full * (1.0 - was.len() as f64 / is.len() as f64) + full * joined / sum;
    }
    new / least
}

fn with_routers(f: &Fleet, more: usize) -> Fleet {
    let routers = f.routers.iter().cycle().take(f.routers.len() + more).copied().collect();
    Fleet { sets: f.sets.clone(), routers }
}

/// Adds `more` replicas, to each set in turn.
fn with_members(f: &Fleet, more: usize) -> Fleet {
    let mut sets = f.sets.clone();
    let count = sets.len();
    for i in 0..more {
        let like = f.sets[i % count][i / count % f.sets[i % count].len()].1;
        sets[i % count].push((format!("n-{:08x}", hash_with(&f.sets[0][0].0, i as u64) >> 32), like));
    }
    Fleet { sets, routers: f.routers.clone() }
}

/// Formats mean, smallest and largest value.
fn spread(values: &[f64]) -> String {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let (low, high) = values.iter().fold((f64::MAX, 0.0f64), |(l, h), v| (l.min(*v), h.max(*v)));
    format!("{mean:.2} ({low:.2}-{high:.2})")
}

fn table(shape: Shape, routers: usize, uneven: bool) {
    let Shape { sets, replicas, picks } = shape;
    let fair = (routers * picks) as f64 / replicas as f64;
    let kind = if uneven { ", uneven weights" } else { "" };
    println!("\n### {routers} routers, {sets} sets of 1 + {replicas}, {picks} picked{kind}\n");
    if !uneven {
        let (most, least) = (fair.ceil() / fair, fair.floor() / fair);
        println!("Best in whole routers: largest {most:.2}, smallest {least:.2}.\n");
    }
    println!("| method | largest over fair | smallest | routers +1 | +10% | x2 | members +1 | +10% | x2 |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, method) in METHODS {
        let mut columns: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        for seed in 0..SEEDS {
            let f = random_fleet(seed, shape, routers, uneven);
            let (most, least) = shares(&f, &picks_of(method, &f, picks), picks);
            let count = sets * replicas;
            let grown = [1, routers / 10, routers].map(|n| with_routers(&f, n));
            let joined = [1, count / 10, count].map(|n| with_members(&f, n));
            let parts = grown.iter().chain(&joined).map(|g| new_picks(method, &f, g, picks));
            for (i, value) in [most, least].into_iter().chain(parts).enumerate() {
                columns.entry(i).or_default().push(value);
            }
        }
        let cells: Vec<String> = columns.values().map(|v| spread(v)).collect();
        println!("| {name} | {} |", cells.join(" | "));
    }
}

/// Measures the time to compute one router's subsets of all sets.
fn time(shape: Shape, routers: u64, rule: &Rule) {
    let f = random_fleet(1, shape, 1, false);
    let mut members = Vec::new();
    for (set, of) in f.sets.iter().enumerate() {
        let member =
            |id: String, role| Member { id, set: set as i64, role, weight: 1.0, zone: String::new() };
        members.push(member(format!("p-{set}"), Role::Primary));
        members.extend(of.iter().map(|m| member(m.0.clone(), Role::Replica)));
    }
    let all = numbered_routers(routers);
    let mut times_ms: Vec<f64> = (0..201)
        .map(|_| {
            let from = Instant::now();
            let sets = subset(routers - 1, &all, &members, rule).expect("a valid fleet");
            assert_eq!(std::hint::black_box(sets).len(), shape.sets);
            from.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times_ms.sort_by(f64::total_cmp);
    let Shape { sets, replicas, picks } = shape;
    println!(
        "| {sets} of 1 + {replicas}, {picks} picked | {:.3} | {:.3} | {:.3} |",
        times_ms[0], times_ms[100], times_ms[198]
    );
}

/// Computes the effect of subset sizes on connections. Commands arrive as a Poisson process, evenly over sets, and a
/// connection is closed after `idle` seconds without use. So it is open for the fraction 1 - e^(-rate x idle) of the
/// time, and a command finds it closed with probability e^(-rate x idle). Concurrent commands on one connection are
/// ignored.
fn connections(of_set: usize, reads: f64, idle: f64) {
    let (routers, members, commands) = (300.0, 120.0, 16.0);
    let (sets, replicas) = (members / of_set as f64, (of_set - 1) as f64);
    let to_primary = commands * (1.0 - reads) / sets;
    for picks in 1..of_set {
        let part = picks as f64 / replicas;
        let to_replica = commands * reads / sets / picks as f64;
        let (primary, replica) = ((-to_primary * idle).exp(), (-to_replica * idle).exp());
        let (at_primary, at_replica) = (routers * (1.0 - primary), routers * part * (1.0 - replica));
        println!(
            "| {of_set} | {reads:.2} | {idle:.0} | {picks} | {to_replica:.2} | {at_primary:.0} | {at_replica:.0} | {:.0} | {:.1} | {:.0} |",
            (at_primary + replicas * at_replica) / of_set as f64,
            100.0 * (primary * (1.0 - reads) + replica * reads),
            routers * part,
        );
    }
}

fn main() {
    println!("Mean over {SEEDS} seeds (least-most). Growth: picks that are new, over the least possible.");
    for shape in SHAPES {
        for routers in [10, 100, 300] {
            table(shape, routers, false);
        }
    }
    table(SHAPES[3], 100, true);
    table(SHAPES[3], 300, true);
    println!("\n### Time for one router's subset, 300 routers; then at the bounds, 1024\n");
    println!("| sets | least ms | median | 99th of 100 |\n| --- | --- | --- | --- |");
    for shape in SHAPES {
        time(shape, 300, &Rule { replicas: shape.picks, ..Rule::default() });
    }
    let bounds = Shape { sets: 8, replicas: 127, picks: 16 };
    time(bounds, 1024, &Rule { replicas: 16, ..Rule::default() });
    println!(
        "\n### What it would mean for the router (computed): 300 routers, 120 members, 16 commands a second a router\n"
    );
    println!(
        "| members a set | part read from replicas | idle s | replicas preferred | commands a second, router to replica | connections at a primary | at a replica | mean a member | commands that need a handshake, % | routers that ask a replica after its restart |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (of_set, reads, idle) in
        [(3, 0.75, 15.0), (4, 0.75, 15.0), (4, 0.5, 15.0), (3, 0.75, 5.0), (4, 0.75, 5.0), (4, 0.75, 60.0)]
    {
        connections(of_set, reads, idle);
    }
}
