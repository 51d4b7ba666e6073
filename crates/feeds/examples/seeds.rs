//! Plays a troubled fleet for many seeds: `cargo run --release -p vetchkeel-feeds --example seeds -- FROM TO`. Each line
//! that is printed before the last one is a seed that broke something, with what it broke.

#[path = "../tests/world/mod.rs"]
#[allow(dead_code)]
mod world;

use world::{Plan, World};

fn main() {
    let mut numbers = std::env::args().skip(1).map(|a| a.parse::<u64>());
    let (Some(Ok(from)), Some(Ok(to))) = (numbers.next(), numbers.next()) else {
        eprintln!("two numbers expected: the first seed, and the one after the last");
        std::process::exit(2);
    };
    let mut sums = [0_u64; 9];
    let mut broken = 0;
    for seed in from..to {
        let mut world = World::new(Plan::troubled(), seed);
        world.play();
        let a = &world.auditor;
        let of =
            [a.taken, a.missed, a.disordered, a.doubled, a.late_pushes, a.gaps, a.in_gaps, a.retractions];
        sums.iter_mut().zip(of).for_each(|(sum, n)| *sum += n);
        sums[8] += world.messages;
        if !a.breaches.is_empty() {
            broken += 1;
            println!("seed {seed}: {:?}", &a.breaches[..a.breaches.len().min(3)]);
        }
    }
    let [taken, missed, disordered, doubled, late, gaps, in_gaps, retractions, messages] = sums;
    println!(
        "{} seeds, {broken} broken: taken {taken}, missed {missed}, out of order {disordered}, doubled {doubled}, \
         pushes under an older epoch {late}, gaps told {gaps} ({in_gaps} bulletins), retractions told {retractions}, \
         messages {messages}",
        to - from
    );
    std::process::exit(i32::from(broken > 0));
}
