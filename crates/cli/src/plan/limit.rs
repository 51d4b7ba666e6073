//! The first limit met as the load grows.

use super::played::{busiest, highest};
use super::{Question, named, reason};
use crate::{Failed, say};
use std::fmt::Write;
use vetchkeel_planner::{Limit, Resource, limits};

/// Limits this close to each other are named together.
const CLOSE: f64 = 1.05;
/// A formula that is further off than this from what was played is not used.
const TRUSTED: f64 = 0.15;

pub(super) struct Found {
    pub(super) limits: Vec<Limit>,
    pub(super) played: (f64, f64),
    pub(super) by_formula: bool,
    pub(super) rate: f64,
}

/// Limits by formula, and the highest rate that holds when played.
pub(super) fn find(q: &Question) -> Result<Found, Failed> {
    let limits = limits(&q.setup.plan, &q.setup.traffic, &q.room, q.rate, q.goal, q.lag);
    let first = limits.first().map_or(q.rate, |l| l.rate);
    let (alone, part) = busiest(&q.setup);
    let (low, high) = highest(&alone, first * part, q.goal, q.lag)?;
    let played = (low / part, high / part);
    let middle = (played.0 + played.1) / 2.0;
    let by_formula = (first / middle.max(1e-9) - 1.0).abs() <= TRUSTED;
    Ok(Found { limits, played, by_formula, rate: if by_formula { first } else { middle } })
}

/// The first limit of each kind of resource, and how many more of that kind lie within a few percent of it.
fn one_of_a_kind(limits: &[Limit]) -> Vec<(Limit, usize)> {
    let kind = |r: &Resource| match r {
        Resource::Target { group, .. } => (9, *group),
        Resource::PrimaryCores { .. } => (0, 0),
        Resource::ReplicaCores { .. } => (1, 0),
        Resource::Apply { .. } => (2, 0),
        Resource::Queue { primary, .. } => (3, *primary as usize),
        Resource::Connections { .. } => (4, 0),
        Resource::RouterCore { .. } => (5, 0),
        Resource::RouterMemory { .. } => (6, 0),
        Resource::RouterDescriptors { .. } => (7, 0),
        Resource::Pace => (8, 0),
        Resource::LongReads { .. } => (10, 0),
    };
    let mut firsts: Vec<(Limit, usize)> = Vec::new();
    for limit in limits {
        match firsts.iter_mut().find(|(first, _)| kind(&first.resource) == kind(&limit.resource)) {
            Some((first, others)) => *others += (limit.rate <= first.rate * CLOSE) as usize,
            None => firsts.push((limit.clone(), 0)),
        }
    }
    firsts
}

pub(super) fn run(q: &Question, json: bool) -> Result<(), Failed> {
    let found = find(q)?;
    let Some(first) = found.limits.first() else {
        return Err(Failed::Found("nothing in this load asks anything of this fleet".into()));
    };
    let all = one_of_a_kind(&found.limits);
    let together: Vec<&(Limit, usize)> = all.iter().take_while(|l| l.0.rate <= first.rate * CLOSE).collect();
    let next: Vec<&(Limit, usize)> = all.iter().skip(together.len()).take(3).collect();
    let headroom = found.rate / q.rate - 1.0;
    if json {
        let limit = |(l, others): &&(Limit, usize)| {
            serde_json::json!({ "resource": named(&q.setup, &l.resource), "rate": l.rate, "used": l.used,
                "others_alike": others, "why": reason(&q.setup, &l.resource) })
        };
        let document = serde_json::json!({
            "asked_rate": q.rate, "goal": q.goal, "first": together.iter().map(limit).collect::<Vec<_>>(),
            "next": next.iter().map(limit).collect::<Vec<_>>(), "rate": found.rate, "formula_rate": first.rate,
            "played_rate": [found.played.0, found.played.1], "by": if found.by_formula { "formula" } else { "played" },
            "headroom": headroom,
        });
        say(&format!("{document:#}\n"));
        return Ok(());
    }
    let mut text = String::new();
    let both = if together.len() > 1 { "these together, within 5% of each other" } else { "this" };
    let _ = writeln!(text, "The first limit is met at {:.0} commands a second: {both}:", found.rate);
    for (limit, others) in &together {
        let alike = if *others > 0 { format!(" (and {others} more like it)") } else { String::new() };
        let _ = writeln!(
            text,
            "  {}{alike}. Why: {}.",
            named(&q.setup, &limit.resource),
            reason(&q.setup, &limit.resource)
        );
    }
    let (low, high) = found.played;
    let _ = writeln!(
        text,
        "Played in the lab, {:.2} of every command group is in time up to {low:.0}, and not at {high:.0}.",
        q.goal
    );
    let how = if found.by_formula {
        format!("The formula says {:.0}; both agree, and the formula's figure is given.", first.rate)
    } else {
        format!(
            "The formula says {:.0}, which the played load does not bear out: the played figure is given.",
            first.rate
        )
    };
    let _ = writeln!(text, "{how}");
    let _ = match headroom {
        h if h >= 0.0 => {
            writeln!(text, "The load asked about is {:.0}: room for {:.0}% more.", q.rate, 100.0 * h)
        }
        h => writeln!(text, "The load asked about is {:.0}: {:.0}% too much.", q.rate, -100.0 * h),
    };
    let _ = writeln!(text, "\n{:>12}  {:>8}  what runs out next, once that is mended", "commands/s", "used");
    for (limit, _) in next {
        let _ = writeln!(
            text,
            "{:>12.0}  {:>7.0}%  {}",
            limit.rate,
            100.0 * limit.used,
            named(&q.setup, &limit.resource)
        );
    }
    for untold in q.load.iter().flat_map(|l| &l.untold) {
        let _ = writeln!(text, "The capture can't tell {untold}.");
    }
    say(&text);
    Ok(())
}
