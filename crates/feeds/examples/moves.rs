//! What moving 10,000 subscriptions costs, in simulated time: `cargo run --release -p vetchkeel-feeds --example moves --
//! planned|killed SEED`, and bytes a subscription: `... --example moves -- bytes`.
//!
//! Ten gateways, 10,000 desks on 100 feeds, 2,000 bulletins a second in all. Each gateway in turn is drained (or killed
//! without a word) and comes back: a rolling restart of the fleet.

#[path = "../tests/world/mod.rs"]
#[allow(dead_code)]
mod world;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use vetchkeel_feeds::*;
use world::{Plan, World};

struct Counting;
static LIVE: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all is passed on to the system's allocator unchanged; only sizes are summed.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let seed = arguments.get(1).and_then(|s| s.parse().ok()).unwrap_or(1);
    match arguments.first().map(String::as_str) {
        Some("bytes") => bytes(),
        Some("planned") => rolling(seed, true),
        Some("killed") => rolling(seed, false),
        _ => {
            eprintln!("planned, killed or bytes expected");
            std::process::exit(2);
        }
    }
}

fn rolling(seed: u64, planned: bool) {
    let plan = Plan {
        gateways: 10,
        desks: 10_000,
        feeds: 100,
        rate: 2_000,
        length: 1_000 * SECOND,
        quiet: 0,
        latency: (2, 10),
        lost: 0,
        doubled: 0,
        late: 0,
        troubles: 0,
        keep: 20_000,
        terms: Terms { room: 2_000, ..Terms::default() },
    };
    let mut world = World::new(plan, seed);
    world.measure = true;
    world.run_until(6 * SECOND);
    let (mut pauses, mut delays, mut usual) = (Vec::new(), Vec::new(), Vec::new());
    for id in 0..10 {
        world.pauses.clear();
        world.delays.clear();
        let begins = world.now;
        if planned {
            world.drain(id, 3 * SECOND);
        } else {
            world.kill(id);
        }
        world.run_until(begins + 3 * SECOND);
        for (desk, pause) in &world.pauses {
            if pause.begun == 0 {
                println!("desk {desk}: not moved within 3 s");
                continue;
            }
            pauses.push(pause.begun - pause.ended);
            let during = |at: i64| pause.ended - 50 * MILLISECOND <= at && at <= pause.begun + SECOND;
            let worst =
                world.delays.get(desk).into_iter().flatten().filter(|(at, _)| during(*at)).map(|(_, d)| *d);
            delays.extend(worst.max());
        }
        usual.extend(
            world
                .delays
                .iter()
                .filter(|(d, _)| !world.pauses.contains_key(d))
                .flat_map(|(_, d)| d)
                .map(|d| d.1),
        );
        if planned {
            world.kill(id);
        }
        world.start(id);
        world.run_until(world.now + 3 * SECOND);
    }
    let a = &world.auditor;
    println!(
        "{} moves, seed {seed}: nobody may push p50 {} p99 {} max {} ms; worst delay of a bulletin p50 {} p99 {} max {} ms; \
         others' bulletins p50 {} p99 {} ms",
        pauses.len(),
        quantile(&mut pauses, 0.5),
        quantile(&mut pauses, 0.99),
        quantile(&mut pauses, 1.0),
        quantile(&mut delays, 0.5),
        quantile(&mut delays, 0.99),
        quantile(&mut delays, 1.0),
        quantile(&mut usual, 0.5),
        quantile(&mut usual, 0.99),
    );
    let held: Vec<usize> = (0..10).map(|id| world.held(id)).collect();
    println!(
        "taken {}, missed {}, out of order {}, doubled {}, pushes under an older epoch {}, gaps {}, breaches {:?}; held {held:?}",
        a.taken, a.missed, a.disordered, a.doubled, a.late_pushes, a.gaps, a.breaches
    );
}

fn quantile(values: &mut [i64], part: f64) -> f64 {
    values.sort_unstable();
    let index = ((values.len() as f64 * part).ceil() as usize).clamp(1, values.len().max(1)) - 1;
    values.get(index).copied().unwrap_or(0) as f64 / 10.0
}

/// A gateway alone with 10,000 subscriptions to one feed.
fn bytes() {
    let desks = 10_000;
    let terms = Terms { admissions: 1_000_000, ..Terms::default() };
    let mut origin = Origin::new(FeedId(0), 100);
    let mut gateway = Gateway::new(0, GatewayId(0), terms, 1, Vec::new(), Vec::new());
    let mut now = 0;
    let begun = LIVE.load(Ordering::Relaxed);
    for desk in 0..desks {
        now += 1;
        let (sub, party) = (SubId(desk), Party::Desk(SubId(desk)));
        let resume = Message::Resume { sub, feed: FeedId(0), epoch: 1, at: Point::NEW, slot: None };
        gateway.on_message(now, party, resume);
        pull(now, &mut gateway, &mut origin);
        let ack = Message::Ack { sub, epoch: 1, at: Point::new(1, 0), echo: now, again: false };
        gateway.on_message(now, party, ack);
        pull(now, &mut gateway, &mut origin);
    }
    let live = LIVE.load(Ordering::Relaxed) - begun;
    println!("{} held, {} bytes a subscription", gateway.held(), live / gateway.held());
}

fn pull(now: Tenths, gateway: &mut Gateway, origin: &mut Origin) {
    while let Some(decision) = gateway.next_decision(now) {
        if let Decision::Send { to: Party::Primary(_), message } = decision {
            origin.on_message(now, GatewayId(0), &message);
        }
    }
    while let Some((_, message)) = origin.next_decision() {
        gateway.on_message(now, Party::Primary(FeedId(0)), message);
    }
}
