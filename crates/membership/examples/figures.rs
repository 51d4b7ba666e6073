//! Prints figures of the simulated membership: `cargo run --release -p vetchkeel-membership --example figures [seeds]
//! [instances] [percentage of lost messages]`.

#[path = "../tests/world/mod.rs"]
mod world;

use vetchkeel_membership::{Change, Tenths};
use world::{SECOND, World, name};

/// Median, 99th percentile and maximum, in milliseconds.
fn quantiles(mut times: Vec<Tenths>) -> String {
    times.sort_unstable();
    let at = |part: usize| times.get((times.len() * part / 100).min(times.len().saturating_sub(1)));
    let ms = |time: Option<&Tenths>| time.map_or("none".into(), |time| format!("{}", time / 10));
    format!("{} | {} | {}", ms(at(50)), ms(at(99)), ms(times.last()))
}

/// Extra time for a large fleet after a simultaneous start: its gossip goes on for longer, though all views are complete.
fn settling(count: usize) -> Tenths {
    if count > 700 { 40 * SECOND } else { 0 }
}

/// One table row about the start of a fleet of `count`: time of the last join in any view, and number of incomplete views.
fn start(world: &World, count: usize) -> String {
    let joined = world.changes.iter().filter(|(_, _, change)| matches!(change, Change::Joined(_)));
    let mut by = vec![0; count];
    let mut last = 0;
    for (at, who, _) in joined {
        by[*who] += 1;
        last = last.max(*at);
    }
    let missing = by.iter().filter(|known| **known < count - 1).count();
    format!("| {count} | {} | {missing} | {:.1} |", last / 10, world.bytes as f64 / 1e3 / count as f64)
}

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|seeds| seeds.parse().ok()).unwrap_or(5);
    let only: Option<usize> = std::env::args().nth(2).and_then(|count| count.parse().ok());
    let loss: Option<u32> = std::env::args().nth(3).and_then(|lost| lost.parse().ok());
    let counts = [10, 100, 300, 700, 1_400, 2_100];
    let sizes = [0, 5].into_iter().flat_map(|lost| counts.map(|count| (count, lost)));
    let sizes: Vec<(usize, u32)> = sizes
        .filter(|(count, lost)| {
            only.is_none_or(|only| only == *count) && loss.is_none_or(|loss| loss == *lost)
        })
        .collect();
    println!(
        "| instances | lost | bytes a second and router | datagrams a second and router | least to most bytes over seeds |"
    );
    println!("| --- | --- | --- | --- | --- |");
    let mut started = Vec::new();
    for &(count, lost) in &sizes {
        let mut rates = Vec::new();
        let mut datagrams = 0;
        for seed in 0..seeds {
            let mut world = World::all_started(count, seed, 30 * SECOND);
            started.push(start(&world, count));
            world.run(settling(count));
            world.changes.clear();
            world.loss_percent = lost;
            world.run(10 * SECOND);
            (world.bytes, world.datagrams) = (0, 0);
            world.run(30 * SECOND);
            rates.push(world.bytes / 30 / count as u64);
            datagrams += world.datagrams;
        }
        let mean = rates.iter().sum::<u64>() / seeds;
        let per_instance = datagrams as f64 / 30.0 / count as f64 / seeds as f64;
        let (least, most) = (rates.iter().min().unwrap_or(&0), rates.iter().max().unwrap_or(&0));
        println!("| {count} | {lost}% | {mean} | {per_instance:.1} | {least} to {most} |");
    }
    println!(
        "\n| instances | all started within 1 s: views whole after, ms | views not whole after 30 s | KB a router in 31 s |"
    );
    println!("| --- | --- | --- | --- |");
    started.iter().for_each(|line| println!("{line}"));
    println!("\n| instances | lost | event | known p50, ms | p99, ms | last, ms | falsely dead |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for &(count, lost) in &sizes {
        let (mut joins, mut learnt, mut deaths, mut heals) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let (mut falsely, mut falsely_healed) = (0, 0);
        for seed in 0..seeds {
            let mut world = World::new(count + 1, seed);
            for at in 0..count {
                world.start(at, 1_000);
            }
            world.run(30 * SECOND + settling(count));
            world.loss_percent = lost;
            world.run(10 * SECOND);
            world.changes.clear();
            let from = world.now;
            world.start(count, 2_000);
            world.run(20 * SECOND);
            let joined_new =
                |change: &Change| matches!(change, Change::Joined(instance) if instance.name == name(count));
            joins.extend(
                world.changes.iter().filter(|(_, _, change)| joined_new(change)).map(|(at, ..)| at - from),
            );
            let joined_by_new = world
                .changes
                .iter()
                .filter(|(_, by, change)| *by == count && matches!(change, Change::Joined(_)));
            learnt.extend(joined_by_new.map(|(at, ..)| at - from));
            world.changes.clear();
            let from = world.now;
            world.kill(count / 2);
            world.run(40 * SECOND);
            let died: Vec<_> =
                world.changes.iter().filter(|(_, _, change)| matches!(change, Change::Died(_))).collect();
            let correct = died.iter().filter(|(_, _, change)| *change == Change::Died(name(count / 2)));
            deaths.extend(correct.map(|(at, ..)| at - from));
            falsely += died.iter().filter(|(_, _, change)| *change != Change::Died(name(count / 2))).count();
            if count <= 100 {
                world.partition(|at| at % 2 == 0);
                world.run(60 * SECOND);
                world.cut_links.clear();
                world.changes.clear();
                heals.extend(world.run_until(60 * SECOND, World::converged));
                let died = world.changes.iter().filter(|(_, _, change)| matches!(change, Change::Died(_)));
                falsely_healed += died.count();
            }
        }
        println!("| {count} | {lost}% | a join, by the others | {} | |", quantiles(joins));
        println!("| {count} | {lost}% | the others, by the one that joins | {} | |", quantiles(learnt));
        println!("| {count} | {lost}% | a death | {} | {falsely} |", quantiles(deaths));
        if count <= 100 {
            println!(
                "| {count} | {lost}% | all agreed after halves are joined | {} | {falsely_healed} |",
                quantiles(heals)
            );
        }
    }
}
