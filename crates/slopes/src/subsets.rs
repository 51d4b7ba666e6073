//! What one router's subset of all sets costs.

use crate::catalogue::{Means, Measure, Play, measured};
use crate::list::{SET, ZONES};
use crate::processor;
use std::hint::black_box;
use vetchkeel_subsets::{Member, Role, Rule, numbered_routers, subset};

/// Routers by members: fleets that grow to the size that decides the design.
const FLEETS: [(u64, usize); 6] =
    [(300, 120), (500, 500), (1_000, 1_000), (1_400, 2_450), (2_100, 2_450), (2_100, 4_900)];

pub static SUBSET: Play = Play {
    measures: &[Measure {
        counted: |at| FLEETS[at].0 as f64 * FLEETS[at].1 as f64,
        ..measured("subset.cpu.router_member", "seconds", "router times member")
    }],
    sizes: &[0, 1, 2, 3, 4, 5],
    run: one_subset,
    processes: false,
};

fn member(at: usize) -> Member {
    let role = if at.is_multiple_of(SET) { Role::Primary } else { Role::Replica };
    let (id, zone) = (format!("db-{at:05}"), format!("zone-{:02}", at % ZONES));
    Member { id, set: (at / SET) as i64, role, weight: 1.0, zone }
}

/// The least of three: what others do on the machine only adds.
fn one_subset(_: &Means, fleet: usize, run: u32) -> Result<Vec<f64>, String> {
    let (routers, members) = FLEETS[fleet];
    let all = numbered_routers(routers);
    let members: Vec<Member> = (0..members).map(member).collect();
    let mut least = f64::INFINITY;
    for again in 0..3 {
        let me = (u64::from(run) * 3 + again) * 97 % routers;
        let mut made = Ok(());
        let seconds = processor::spent(|| {
            made = subset(me, &all, &members, &Rule::default()).map(|sets| drop(black_box(sets)));
        });
        made.map_err(|why| why.to_string())?;
        least = least.min(seconds);
    }
    Ok(vec![least])
}
