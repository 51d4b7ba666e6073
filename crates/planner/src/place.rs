//! Where things go: which set to split, and in which order members are started again so that none is missed too much.

use crate::resources::{Limit, Resource};
use vetchkeel_emulated::{Micros, Plan, TrafficPlan};

/// The set that a first limit asks to be split: one whose primary is what runs out. A replica's want is met by another
/// replica.
pub fn split(limits: &[Limit]) -> Option<usize> {
    limits.iter().find_map(|l| match l.resource {
        Resource::PrimaryCores { set } | Resource::Queue { set, primary: true } => Some(set),
        _ => None,
    })
}

/// One step of starting members again: these may go at once, and the next step follows after the pause.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub members: Vec<usize>,
    pub pause: Micros,
}

/// The order in which all members are started again: replicas before primaries (each of which hands over first), never
/// two of a set at once, and no more of a zone at once than leaves the others able to carry `busy`, the part of all
/// cores that is in use. After each step it is waited until the list has told all routers, and until the members are
/// warm: routers send a cold one a part of its share only, so that nobody pushes it over.
pub fn restart_order(plan: &Plan, traffic: &TrafficPlan, busy: f64) -> Vec<Step> {
    let told = plan.list.late.mean() + plan.list.spread.mean();
    let pause = 2 * told as Micros + plan.warming.over;
    let mut members = Vec::new();
    let mut number = 0;
    for (set, of_set) in plan.sets.iter().enumerate() {
        for (i, member) in of_set.iter().enumerate() {
            members.push((i == 0, set, member.zone, number));
            number += 1;
        }
    }
    let in_zone = |zone: usize| members.iter().filter(|m| m.2 == zone).count();
    // What a zone may miss: its spare part, one member at least, and none beyond a quarter.
    let spare = |zone: usize| {
        let spare = ((1.0 - busy) * in_zone(zone) as f64 / 2.0).floor() as usize;
        spare.clamp(1, in_zone(zone).div_ceil(4).max(1))
    };
    // Replicas first; among them the sets with the least traffic.
    let mut left = members.clone();
    left.sort_by(|a, b| {
        (a.0, traffic.sets[a.1]).partial_cmp(&(b.0, traffic.sets[b.1])).unwrap_or(std::cmp::Ordering::Equal)
    });
    let mut steps = Vec::new();
    while !left.is_empty() {
        let (mut sets, mut zones, mut now) = (Vec::new(), vec![0; plan.zones.len()], Vec::new());
        let primaries = left[0].0;
        left.retain(|m| {
            let fits = m.0 == primaries && !sets.contains(&m.1) && zones[m.2] < spare(m.2);
            if fits {
                sets.push(m.1);
                zones[m.2] += 1;
                now.push(m.3);
            }
            !fits
        });
        steps.push(Step { members: now, pause });
    }
    steps
}
