//! Simulates a budget under schedules of faults and reports how far it is exceeded: `cargo run --release -p
//! vetchkeel-shared --example budgets [seeds]`.

#[path = "../tests/world/mod.rs"]
mod world;

use world::{ALL, Faults, simulate, terms};

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|seeds| seeds.parse().ok()).unwrap_or(200);
    const TOTAL: i64 = 400_000;
    let reliable = Faults { max_delay: 100, ..Faults::default() };
    let unreliable =
        Faults { loss_percent: 20, duplicate_percent: 20, max_delay: 60_000, ..Faults::default() };
    let rows = [
        ("reliable links", reliable, 1_000),
        ("lost, duplicated, late and reordered messages", unreliable, 1_000),
        ("also partitions in either direction", Faults { partitions: 30, ..unreliable }, 1_000),
        (
            "also killed and suspended routers",
            Faults { partitions: 30, kill_rate: 20, suspend_rate: 20, ..unreliable },
            1_000,
        ),
        ("also clocks 5% off", ALL, 50_000),
        (
            "injected bug: a lender lends at once after its start",
            Faults { skip_quiet_period: true, ..ALL },
            50_000,
        ),
        ("injected bug: clocks 5% off, 0 in the terms", ALL, 0),
    ];
    println!(
        "| schedule | routers, lenders | seeds | seeds above the budget | largest excess, fraction of the budget | seeds with excess tokens | mean fraction that could be spent | bytes per second and router |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (what, faults, drift_ppm) in rows {
        for (count, lenders) in [(3, 3), (10, 5)] {
            let terms = terms(TOTAL, count, lenders, drift_ppm);
            let audits: Vec<_> =
                (0..seeds).map(|seed| simulate(seed, &terms, faults, 600_000, None)).collect();
            let above = audits.iter().filter(|audit| audit.excess > 0).count();
            let tokens = audits.iter().filter(|audit| audit.token_excess > 0).count();
            let most = audits.iter().map(|audit| audit.excess).max().unwrap_or(0).max(0);
            let mean_used = audits.iter().map(|audit| audit.mean_used).sum::<i64>() / seeds as i64;
            let bytes = audits.iter().map(|audit| audit.bytes).sum::<u64>() / seeds / 60 / count as u64;
            println!(
                "| {what} | {count}, {lenders} | {seeds} | {above} | {:.2} | {tokens} | {:.2} | {bytes} |",
                most as f64 / TOTAL as f64,
                mean_used as f64 / 1_000.0
            );
        }
    }
}
