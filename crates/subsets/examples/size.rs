//! What a subset costs at five sizes, whole and as it changes: `cargo run --release -p vetchkeel-subsets --example size`.
//! Sets of a primary and four replicas, of which each router takes two; times in milliseconds of one thread.

use std::time::Instant;
use vetchkeel_subsets::{Member, Role, Router, Rule, Subsets, numbered, subset};

const SIZES: [(u64, usize); 5] = [(300, 120), (1_000, 1_000), (2_100, 1_000), (2_100, 2_450), (2_100, 4_900)];
const OF_SET: usize = 5;

fn members(count: usize) -> Vec<Member> {
    let member = |i: usize| Member {
        id: format!("n-{i:06}"),
        set: (i / OF_SET) as i64,
        role: if i.is_multiple_of(OF_SET) { Role::Primary } else { Role::Replica },
        weight: 1.0,
        zone: format!("z{}", i % 11),
    };
    (0..count).map(member).collect()
}

/// Least, median and most of so many.
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
    for apart in [false, true] {
        let rule = Rule { apart, ..Rule::default() };
        for (routers, count) in SIZES {
            let (routers, members) = (numbered(routers), members(count));
            let whole = times(9, |_| {
                let sets = subset(7, &routers, &members, &rule).expect("a sound fleet");
                assert_eq!(std::hint::black_box(sets).len(), count / OF_SET);
            });
            let kept = times(9, |_| {
                let mut own = Subsets::new(7, &routers, &members, &rule).expect("a sound fleet");
                assert_eq!(std::iter::from_fn(|| own.next_change()).count(), count / OF_SET);
            });
            let mut own = Subsets::new(7, &routers, &members, &rule).expect("a sound fleet");
            let mut changed = [0; 2];
            while own.next_change().is_some() {}
            // One leaves and joins again, another each time.
            let by_router = times(100, |i| {
                let router: &Router = &routers[8 + i / 2];
                let told =
                    if i % 2 == 0 { own.router_left(router.number) } else { own.router(router.clone()) };
                told.expect("a sound fleet");
                changed[0] += std::iter::from_fn(|| own.next_change()).count();
            });
            let by_member = times(100, |i| {
                let member = &members[(1 + 2 * (i / 2)) % count];
                match i % 2 {
                    0 => own.member_left(&member.id),
                    _ => own.member(member.clone()).expect("a sound fleet"),
                }
                changed[1] += std::iter::from_fn(|| own.next_change()).count();
            });
            let [routers_changed, members_changed] = changed;
            println!(
                "| {} | {count} | {apart} | {whole} | {kept} | {by_router} | {by_member} | {routers_changed}, {members_changed} |",
                routers.len()
            );
        }
    }
}
