//! Overrun of a budget under schedules of faults, simulated: `cargo run --release -p vetchkeel-shared --example budgets
//! [seeds]`.

#[path = "../tests/world/mod.rs"]
mod world;

use world::{ALL, Faults, play, terms};

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|seeds| seeds.parse().ok()).unwrap_or(200);
    const TOTAL: i64 = 400_000;
    let calm = Faults { delay: 100, ..Faults::default() };
    let late = Faults { lost: 20, doubled: 20, delay: 60_000, ..Faults::default() };
    let rows = [
        ("whole links", calm, 1_000),
        ("lost, doubled, late and reordered messages", late, 1_000),
        ("also cuts of any way, anew", Faults { cut: 30, ..late }, 1_000),
        ("also kills and stops", Faults { cut: 30, killed: 20, stopped: 20, ..late }, 1_000),
        ("also clocks 5% off", ALL, 50_000),
        ("planted: a lender lends at once after its start", Faults { no_quiet: true, ..ALL }, 50_000),
        ("planted: clocks 5% off, terms say 0", ALL, 0),
    ];
    println!(
        "| schedule | routers, lenders | seeds | seeds above the budget | most above it, of it | tokens above, seeds | could be spent, mean | bytes a second and router |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (what, faults, drift) in rows {
        for (count, lenders) in [(3, 3), (10, 5)] {
            let terms = terms(TOTAL, count, lenders, drift);
            let audits: Vec<_> = (0..seeds).map(|seed| play(seed, &terms, faults, 600_000, None)).collect();
            let above = audits.iter().filter(|audit| audit.over > 0).count();
            let tokens = audits.iter().filter(|audit| audit.tokens_over > 0).count();
            let most = audits.iter().map(|audit| audit.over).max().unwrap_or(0).max(0);
            let used = audits.iter().map(|audit| audit.used).sum::<i64>() / seeds as i64;
            let bytes = audits.iter().map(|audit| audit.bytes).sum::<u64>() / seeds / 60 / count as u64;
            println!(
                "| {what} | {count}, {lenders} | {seeds} | {above} | {:.2} | {tokens} | {:.2} | {bytes} |",
                most as f64 / TOTAL as f64,
                used as f64 / 1_000.0
            );
        }
    }
}
