//! Cost of computing a subset at five fleet sizes, from scratch and incrementally: `cargo run --release -p
//! vetchkeel-subsets --example size`. Each set has a primary and four replicas, of which each router picks two; times
//! are in milliseconds of one thread.

use std::time::Instant;
use vetchkeel_subsets::{Member, Role, Router, Rule, Subsets, numbered_routers, subset};

const SIZES: [(u64, usize); 5] = [(300, 120), (1_000, 1_000), (2_100, 1_000), (2_100, 2_450), (2_100, 4_900)];
const SET_MEMBERS: usize = 5;

fn members(count: usize) -> Vec<Member> {
    let member = |i: usize| Member {
        id: format!("n-{i:06}"),
        set: (i / SET_MEMBERS) as i64,
        role: if i.is_multiple_of(SET_MEMBERS) { Role::Primary } else { Role::Replica },
        weight: 1.0,
        zone: format!("z{}", i % 11),
    };
    (0..count).map(member).collect()
}

/// Runs a function `count` times; returns the median, smallest and largest time.
fn times(count: usize, mut run: impl FnMut(usize)) -> String {
    let mut took: Vec<f64> = (0..count)
        .map(|i| {
            let from = Instant::now();
            run(i);
            from.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    took.sort_by(f64::total_cmp);
    format!("{:.3} ({:.3} to {:.3})", took[count / 2], took[0], took[count - 1])
}

fn main() {
    println!(
        "| routers | members | zones apart | whole, ms | kept, first | a router | a member | sets that changed by 50 of each |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for spread_zones in [false, true] {
        let rule = Rule { spread_zones, ..Rule::default() };
        for (routers, count) in SIZES {
            let (routers, members) = (numbered_routers(routers), members(count));
            let whole = times(9, |_| {
                let sets = subset(7, &routers, &members, &rule).expect("a valid fleet");
                assert_eq!(std::hint::black_box(sets).len(), count / SET_MEMBERS);
            });
            let kept = times(9, |_| {
                let mut own = Subsets::new(7, &routers, &members, &rule).expect("a valid fleet");
                assert_eq!(std::iter::from_fn(|| own.next_change()).count(), count / SET_MEMBERS);
            });
            let mut own = Subsets::new(7, &routers, &members, &rule).expect("a valid fleet");
            let mut changed = [0; 2];
            while own.next_change().is_some() {}
            // One router leaves and joins again, a different one for each pair of runs.
            let by_router = times(100, |i| {
                let router: &Router = &routers[8 + i / 2];
                let result = if i % 2 == 0 {
                    own.remove_router(router.number)
                } else {
                    own.set_router(router.clone())
                };
                result.expect("a valid fleet");
                changed[0] += std::iter::from_fn(|| own.next_change()).count();
            });
            let by_member = times(100, |i| {
                let member = &members[(1 + 2 * (i / 2)) % count];
                match i % 2 {
                    0 => own.remove_member(&member.id),
                    _ => own.set_member(member.clone()).expect("a valid fleet"),
                }
                changed[1] += std::iter::from_fn(|| own.next_change()).count();
            });
            let [routers_changed, members_changed] = changed;
            println!(
                "| {} | {count} | {spread_zones} | {whole} | {kept} | {by_router} | {by_member} | {routers_changed}, {members_changed} |",
                routers.len()
            );
        }
    }
}
