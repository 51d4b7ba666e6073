//! Measures configuration distribution in a simulated fleet: `cargo run --release -p vetchkeel-configuration --example
//! figures`.

#[path = "../tests/world/mod.rs"]
mod world;

use std::collections::{BTreeMap, BTreeSet};

use vetchkeel_configuration::{Tenths, Version};
use world::{REGIONS, SECOND, World, edit};

const SIZES: [usize; 5] = [100, 300, 700, 1_400, 2_100];
const MACHINES: usize = 20;
const KEEPERS: usize = 5;
/// Interval between two published changes: 6,400 a day.
const PUBLISH_INTERVAL: Tenths = 135_000;
const SEEDS: u64 = 2;

/// The median, the 99th percentile and the maximum, in milliseconds.
fn quantiles(mut times: Vec<Tenths>) -> String {
    times.sort_unstable();
    let at = |part: usize| times.get((times.len() * part / 100).min(times.len().saturating_sub(1)));
    let ms = |time: Option<&Tenths>| time.map_or("none".into(), |time| format!("{}", time / 10));
    format!("{} | {} | {}", ms(at(50)), ms(at(99)), ms(times.last()))
}

fn seconds(time: Option<Tenths>) -> String {
    time.map_or("not within the time".into(), |time| format!("{:.1}", time as f64 / SECOND as f64))
}

fn fleet(routers: usize, seed: u64) -> World {
    let mut world = World::new_converged(MACHINES, KEEPERS, routers, seed);
    // Routers that moved to another machine before a writer was elected stay where they are.
    world.run(10 * SECOND);
    world
}

/// Publishes a document of this many kilobytes in settings of 200 bytes, with either repetitive or incompressible
/// values.
fn fill(world: &mut World, kilobytes: usize, repeats: bool) {
    use nanorand::Rng;
    let half = kilobytes * 5 / 2;
    for part in 0..2 {
        let edits = (0..half).map(|at| {
            let number = part * half + at;
            let value: String = match repeats {
                true => format!(
                    "response_target = {} ms, client_timeout = {} s, effects = 2",
                    number % 40,
                    number % 7
                )
                .repeat(4),
                false => (0..190).map(|_| char::from(world.rng.generate_range(33..127u8))).collect(),
            };
            edit(&format!("group-{number:04}"), &value[..190])
        });
        let edits: Vec<_> = edits.collect();
        let writer = world.writer().expect("there is a writer");
        world.publish_at(writer, edits).expect("the writer accepts the edits");
        world.run(SECOND);
    }
    world.run_until(120 * SECOND, World::has_converged).expect("all routers have the newest version");
}

/// Average bytes per second of a router and of a control machine.
fn bytes_per_second(world: &mut World, length: Tenths) -> (u64, u64) {
    (world.count_bytes, world.machine_bytes) = (true, 0);
    world.router_bytes = BTreeMap::new();
    world.run(length);
    world.count_bytes = false;
    let routers = world.routers().len() as u64;
    let length = (length / SECOND) as u64;
    let all: u64 = world.router_bytes.values().sum();
    (all / routers / length, (all + 2 * world.machine_bytes) / MACHINES as u64 / length)
}

fn report_changes(routers: usize) {
    let (mut times, mut verdicts) = (Vec::new(), Vec::new());
    for seed in 0..SEEDS {
        let mut world = fleet(routers, seed);
        world.applied.clear();
        let mut published = Vec::new();
        world.verdicts.clear();
        for number in 0..3 {
            let at = world.now;
            assert!(world.publish(&format!("group-{number}"), &"x".repeat(200)));
            world.run(PUBLISH_INTERVAL);
            published.push((world.newest_released, at));
        }
        for (version, at) in published {
            let of = world.applied.iter().filter(|((of, _), _)| *of == version);
            let of: Vec<Tenths> = of.map(|(_, when)| when - at).collect();
            assert_eq!(of.len(), routers, "not in force on every router");
            times.extend(of);
            let known = world.verdicts.iter().find(|(.., verdict)| verdict.version == version);
            let (when, _, verdict) = known.expect("a verdict");
            assert!(verdict.everywhere);
            verdicts.push(when - at);
        }
    }
    let known = verdicts.iter().max().copied();
    println!("| {routers} | {} | {} |", quantiles(times), known.unwrap_or(0) / 10);
}

fn report_traffic(routers: usize) {
    let mut rows = Vec::new();
    for seed in 0..SEEDS {
        let mut world = fleet(routers, seed);
        let idle = bytes_per_second(&mut world, 14 * SECOND);
        (world.count_bytes, world.machine_bytes, world.router_bytes) = (true, 0, BTreeMap::new());
        for number in 0..2 {
            assert!(world.publish(&format!("group-{number}"), &"x".repeat(200)));
            world.run(PUBLISH_INTERVAL);
        }
        let all: u64 = world.router_bytes.values().sum();
        let most = world.router_bytes.values().max().copied().unwrap_or(0);
        let length = 2 * PUBLISH_INTERVAL as u64;
        let each = |all: u64, count: usize| all * SECOND as u64 / length / count as u64;
        let machine = each(all + 2 * world.machine_bytes, MACHINES);
        rows.push([idle.0, each(all, routers), most, idle.1, machine]);
    }
    let range = |column: usize| {
        let of = rows.iter().map(|row: &[u64; 5]| row[column]);
        format!("{} to {}", of.clone().min().unwrap_or(0), of.max().unwrap_or(0))
    };
    let columns: Vec<String> = (0..5).map(range).collect();
    println!("| {routers} | {} |", columns.join(" | "));
}

/// A fleet that holds a document of 50 KB. With `short`, the log no longer reaches back to the empty document.
fn filled(routers: usize, repeats: bool, short: bool) -> World {
    let mut world = World::new(MACHINES, KEEPERS, routers, 7);
    if short {
        world.plan.log_changes = 2;
    }
    world.start_all();
    world.run_until(60 * SECOND, World::has_converged).expect("all routers are at one version");
    fill(&mut world, 50, repeats);
    world
}

/// Starts all routers, which were killed before, at the same time.
fn start_all(world: &mut World, routers: usize, kept: &str, document: &str) {
    world.run(10 * SECOND);
    (world.count_bytes, world.router_bytes) = (true, BTreeMap::new());
    world.messages_by_kind.clear();
    let (from, mut times, mut done) = (world.now, Vec::new(), BTreeSet::new());
    for router in world.routers() {
        world.start(router);
    }
    while done.len() < routers && world.now - from < 300 * SECOND {
        world.run(SECOND / 20);
        for (at, router) in world.live_routers() {
            if router.in_force() == world.newest_released && router.may_serve(world.now) && done.insert(at) {
                times.push(world.now - from);
            }
        }
    }
    world.count_bytes = false;
    let most = world.router_bytes.values().max().copied().unwrap_or(0);
    let whole = world.messages_by_kind.get("whole").copied().unwrap_or(0);
    let all = if done.len() == routers { "" } else { ", not all" };
    println!("| {routers} | {kept} | {document} | {}{all} | {most} | {whole} |", quantiles(times));
}

fn started_at_once(routers: usize) {
    let mut world = filled(routers, true, false);
    let behind = world.nodes[world.routers().start].saved.clone();
    world.routers().for_each(|router| world.kill(router));
    start_all(&mut world, routers, "the newest", "lines that repeat");
    for number in 0..8 {
        assert!(world.publish(&format!("group-{number:04}"), &"y".repeat(190)));
        world.run(SECOND);
    }
    world.run_until(60 * SECOND, World::has_converged).expect("all routers have the newest version");
    for router in world.routers() {
        world.kill(router);
        world.nodes[router].saved = behind.clone();
        world.nodes[router].reported = Version::NONE;
        world.nodes[router].in_force = Version::NONE;
    }
    start_all(&mut world, routers, "8 changes behind", "lines that repeat");
    for (repeats, document) in [(true, "lines that repeat"), (false, "nothing that repeats")] {
        let mut world = filled(routers, repeats, true);
        world.routers().for_each(|router| world.wipe(router));
        start_all(&mut world, routers, "nothing", document);
    }
}

fn killed_and_stopped(routers: usize) {
    let mut times = Vec::new();
    let mut named = Vec::new();
    for seed in 0..SEEDS {
        let mut world = fleet(routers, seed);
        let writer = world.writer().expect("there is a writer");
        let keeper = (0..KEEPERS).find(|at| *at != writer).expect("a keeper");
        world.verdicts.clear();
        let from = world.now;
        // The writer itself is stopped, so the change is published at its successor as soon as one is elected.
        world.kill(keeper);
        world.pause(writer, 3_600 * SECOND);
        let mut taken = false;
        while world.now - from < 60 * SECOND && !(taken && world.in_force_everywhere("limit", "7")) {
            world.run(SECOND / 20);
            taken = taken || world.publish("limit", "7");
        }
        times.push(world.now - from);
        let version = world.newest_released;
        world.run(15 * SECOND);
        let found = world.verdicts.iter().find(|(.., verdict)| verdict.version == version);
        named.push(
            found.map_or("none", |(.., verdict)| if verdict.everywhere { "everywhere" } else { "named" }),
        );
    }
    let (least, most) = (times.iter().min().copied(), times.iter().max().copied());
    println!("| {routers} | {} | {} | {} |", seconds(least), seconds(most), named.join(", "));
}

fn ten_machines_lost(routers: usize) {
    let mut world = fleet(routers, 5);
    let from = world.now;
    for at in [0, 1, 5, 6, 7, 8, 9, 10, 11, 12] {
        match at % 2 {
            0 => world.kill(at),
            _ => world.pause(at, 3_600 * SECOND),
        }
    }
    let mut taken = false;
    while world.now - from < 60 * SECOND && !(taken && world.in_force_everywhere("limit", "7")) {
        world.run(SECOND / 20);
        taken = taken || world.publish("limit", "7");
    }
    let first = world.now - from;
    let served: Vec<usize> = (0..MACHINES).filter_map(|at| world.machine(at)).map(|of| of.served()).collect();
    assert!(world.publish("limit", "8"));
    let next = world.run_until(60 * SECOND, |world| world.in_force_everywhere("limit", "8"));
    println!(
        "| {routers} | {} | {} | {} |",
        seconds(Some(first)),
        seconds(next),
        served.iter().max().unwrap_or(&0)
    );
}

fn region_partitioned(routers: usize) {
    let mut world = fleet(routers, 9);
    // Separates one region from the other three: 5 of the 20 machines, with one or two of the five keepers.
    let alone = |node: usize| usize::from(node % REGIONS == 1);
    world.partition(alone);
    world.run(20 * SECOND);
    let mut published = 0;
    for number in 0..10 {
        published += usize::from(world.publish(&format!("group-{number}"), &"x".repeat(200)));
        world.run(PUBLISH_INTERVAL);
    }
    let behind = world
        .live_routers()
        .filter(|(at, router)| alone(*at) == 1 && router.in_force() < world.newest_released)
        .count();
    let verdict = world.verdicts.last().map(|(.., verdict)| verdict.clone()).expect("a verdict");
    let named = verdict.behind.len() + verdict.silent.len();
    world.heal();
    let (from, mut times, mut done) = (world.now, Vec::new(), BTreeSet::new());
    world.messages_by_kind.clear();
    while done.len() < routers && world.now - from < 120 * SECOND {
        world.run(SECOND / 20);
        for (at, router) in world.live_routers() {
            if router.in_force() == world.newest_released && alone(at) == 1 && done.insert(at) {
                times.push(world.now - from);
            }
        }
        if world.has_converged() {
            break;
        }
    }
    let whole = world.messages_by_kind.get("whole").copied().unwrap_or(0);
    println!("| {routers} | {published} | {behind} | {named} | {} | {whole} |", quantiles(times));
}

fn main() {
    let began = std::time::Instant::now();
    println!("## A change until it is in force, and known to be\n");
    println!("| routers | p50, ms | p99, ms | last, ms | known everywhere by the latest, ms |");
    println!("| --- | --- | --- | --- | --- |");
    SIZES.into_iter().for_each(report_changes);
    println!("\n## Bytes a second\n");
    println!(
        "| routers | a router, idle | a router, changes | a router's most in one second | a machine, idle | a machine, changes |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    SIZES.into_iter().for_each(report_traffic);
    println!("\n## All routers started at once\n");
    println!(
        "| routers | what they kept | the document, 50 KB | p50, ms | p99, ms | last, ms | most bytes in one second | parts of whole copies |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    SIZES.into_iter().for_each(started_at_once);
    println!("\n## A keeper killed and the writer stopped at once\n");
    println!("| routers | least, s | most, s | verdicts |");
    println!("| --- | --- | --- | --- |");
    SIZES.into_iter().for_each(killed_and_stopped);
    println!("\n## Ten of twenty machines lost at once, two keepers among them\n");
    println!(
        "| routers | a change until in force, from the loss, s | the next one, s | most routers at one machine |"
    );
    println!("| --- | --- | --- | --- |");
    SIZES.into_iter().for_each(ten_machines_lost);
    println!("\n## One region cut off for ten changes, and joined\n");
    println!(
        "| routers | changes released meanwhile | routers behind | named by the last verdict | joined: p50, ms | p99, ms | last, ms | parts of whole copies |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    SIZES.into_iter().for_each(region_partitioned);
    eprintln!("took {} s", began.elapsed().as_secs());
}
