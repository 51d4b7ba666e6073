//! The fewest members that hold a target.

use super::Question;
use super::played::{busiest, holds};
use crate::{Failed, say};
use vetchkeel_planner::{Candidate, Impossible, candidates, impossible};

fn why_not(q: &Question, impossible: &Impossible) -> String {
    match impossible {
        Impossible::WorkTooLong { group, at_most } => {
            let g = &q.setup.plan.groups[*group];
            let (target, part) = (g.target as f64 / 1e3, 100.0 * at_most);
            format!(
                "the work of {} alone takes over {target:.0} ms too often: {part:.1}% are in time on an idle member",
                g.name
            )
        }
        Impossible::PrimaryFull { set, used } => {
            let (asked, found) = (q.rate, 100.0 * used);
            format!(
                "{asked:.0} commands a second ask {found:.0}% of the primary of set {set}, which replicas can't share"
            )
        }
    }
}

/// Sets, members of each, and whether they held when played.
pub(super) type Tried = (usize, usize, bool);

/// The fewest members that hold when they are played, and all that were played on the way.
pub(super) fn find(
    q: &Question,
    may_split: bool,
    most: usize,
) -> Result<(Option<Candidate>, Vec<Tried>), Failed> {
    let mut tried = Vec::new();
    for candidate in candidates(&q.setup.plan, &q.setup.traffic, &q.room, q.rate, q.goal, may_split, most) {
        let mut setup = q.setup.clone();
        (setup.plan, setup.traffic) = (candidate.plan.clone(), candidate.traffic.clone());
        let (alone, part) = busiest(&setup);
        let ok = holds(&alone, q.rate * part, q.goal, q.lag)?;
        tried.push((candidate.sets, candidate.members, ok));
        if ok {
            return Ok((Some(candidate), tried));
        }
    }
    Ok((None, tried))
}

pub(super) fn run(q: &Question, may_split: bool, most: usize, json: bool) -> Result<(), Failed> {
    let (plan, traffic) = (&q.setup.plan, &q.setup.traffic);
    let none = |why: String| {
        if json {
            say(&format!("{:#}\n", serde_json::json!({ "possible": false, "why": why })));
        }
        Err(Failed::Found(format!("no number of members holds {}: {why}", q.goal)))
    };
    if let Some(impossible) = impossible(plan, traffic, q.rate, q.goal, may_split) {
        return none(why_not(q, &impossible));
    }
    let (found, tried) = find(q, may_split, most)?;
    let Some(found) = found else {
        return none(format!("none of up to {most} members holds it ({} fleets were played)", tried.len()));
    };
    let count = found.sets * found.members;
    if json {
        let tried: Vec<_> = tried
            .iter()
            .map(|(s, m, ok)| serde_json::json!({ "sets": s, "members": m, "holds": ok }))
            .collect();
        let document = serde_json::json!({ "possible": true, "sets": found.sets, "members_a_set": found.members,
            "members": count, "rate": q.rate, "goal": q.goal, "limit": found.limit, "played": tried });
        say(&format!("{document:#}\n"));
        return Ok(());
    }
    let now = plan.members();
    say(&format!(
        "{count} members hold {} at {:.0} commands a second: {} sets of {} (now {now}: {} sets of {}).\n",
        q.goal,
        q.rate,
        found.sets,
        found.members,
        plan.sets.len(),
        plan.sets[0].len()
    ));
    for (sets, members, ok) in tried {
        let held = if ok { "holds" } else { "does not hold" };
        say(&format!("  {sets:>4} sets of {members:>2}: {held} when played\n"));
    }
    say(&format!("By the formulas the first limit is then met at {:.0} commands a second.\n", found.limit));
    Ok(())
}
