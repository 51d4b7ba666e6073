//! How many members a target needs: which fleets to look at, in which order, and when none will do.

use crate::resources::{RouterRoom, limits};
use vetchkeel_emulated::{Access, MemberPlan, Plan, SECOND, TrafficPlan};

/// A fleet to look at.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub sets: usize,
    pub members: usize,
    pub plan: Plan,
    pub traffic: TrafficPlan,
    /// The rate of its first limit, by the formulas.
    pub limit: f64,
}

/// Why no number of members meets a target.
#[derive(Clone, Debug, PartialEq)]
pub enum Impossible {
    /// Its own work alone is longer than the response target too often: this part would be in time on an idle member.
    WorkTooLong { group: usize, at_most: f64 },
    /// One set's primary is full and sets may not be split: replicas don't take what only a primary takes.
    PrimaryFull { set: usize, used: f64 },
}

/// The plan with so many sets of so many members, spread over the zones by turns. Sets that are split share their
/// traffic evenly.
pub fn sized(plan: &Plan, traffic: &TrafficPlan, sets: usize, members: usize) -> (Plan, TrafficPlan) {
    let zones = plan.zones.len();
    let kinds = plan.machines.len();
    let member =
        |set: usize, i: usize| MemberPlan { zone: (set + i) % zones, machine: (set * members + i) % kinds };
    let mut sized = plan.clone();
    sized.sets = (0..sets).map(|set| (0..members).map(|i| member(set, i)).collect()).collect();
    let mut load = traffic.clone();
    while load.sets.len() < sets {
        // The set with the most traffic is split in two.
        let largest =
            (0..load.sets.len()).max_by(|a, b| load.sets[*a].total_cmp(&load.sets[*b])).unwrap_or(0);
        load.sets[largest] /= 2.0;
        let half = load.sets[largest];
        load.sets.push(half);
    }
    (sized, load)
}

/// Whether a goal can't be met by any number of members.
pub fn impossible(
    plan: &Plan,
    traffic: &TrafficPlan,
    rate: f64,
    goal: f64,
    may_split: bool,
) -> Option<Impossible> {
    for (group, g) in plan.groups.iter().enumerate() {
        let sigma = (1.0 + g.work.scatter()).ln().sqrt();
        let middle = g.work.mean() * (-sigma * sigma / 2.0).exp();
        let fastest = plan.machines.iter().map(|m| m.speed).fold(0.0, f64::max).max(1e-9);
        let z = ((g.target as f64 * fastest / middle).ln()) / sigma.max(1e-6);
        let at_most = statrs::function::erf::erf(z / std::f64::consts::SQRT_2) / 2.0 + 0.5;
        if at_most < goal {
            return Some(Impossible::WorkTooLong { group, at_most });
        }
    }
    if may_split {
        return None;
    }
    let sum: f64 = traffic.sets.iter().sum();
    let shares: f64 = plan.groups.iter().map(|g| g.share).sum();
    let kept = plan.groups.iter().filter(|g| matches!(g.access, Access::Write | Access::Fresh));
    let work: f64 = kept.map(|g| g.share / shares * g.work.mean() / SECOND as f64).sum();
    let used = |set: usize| {
        let machine = &plan.machines[plan.sets[set][0].machine];
        rate * traffic.sets[set] / sum * work / (machine.cores as f64 * machine.speed)
    };
    let full = (0..plan.sets.len()).max_by(|a, b| used(*a).total_cmp(&used(*b)))?;
    (used(full) >= 1.0).then(|| Impossible::PrimaryFull { set: full, used: used(full) })
}

/// Formulas were seen to fall so far short of what a fleet holds when it is played.
const SHORT: f64 = 0.7;

/// Fleets by their number of members, the fewest first, that may hold the goal at this rate; up to `most` members. The
/// formulas only leave out what is far from it: the caller plays the rest.
pub fn candidates(
    plan: &Plan,
    traffic: &TrafficPlan,
    room: &RouterRoom,
    rate: f64,
    goal: f64,
    may_split: bool,
    most: usize,
) -> Vec<Candidate> {
    let first = plan.sets.len();
    let mut shapes: Vec<(usize, usize)> = Vec::new();
    for sets in first..=if may_split { most } else { first } {
        for members in 1..=(most / sets.max(1)).min(16) {
            shapes.push((sets, members));
        }
    }
    // Fewer members first; of equally many the fewer sets: nothing has to be split.
    shapes.sort_by_key(|(sets, members)| (sets * members, *sets));
    let mut found = Vec::new();
    for (sets, members) in shapes {
        let (plan, traffic) = sized(plan, traffic, sets, members);
        let routers = |r: &crate::resources::Resource| {
            use crate::resources::Resource::{RouterCore, RouterDescriptors, RouterMemory};
            matches!(r, RouterCore { .. } | RouterDescriptors { .. } | RouterMemory { .. })
        };
        // More members don't help a router: its limits are told apart.
        let limit =
            limits(&plan, &traffic, room, rate, goal, 1.0).into_iter().find(|l| !routers(&l.resource));
        let limit = limit.map_or(f64::INFINITY, |l| l.rate);
        if limit >= SHORT * rate {
            found.push(Candidate { sets, members, plan, traffic, limit });
        }
        if found.len() >= 24 {
            break;
        }
    }
    found
}
