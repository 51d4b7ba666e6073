//! The whole page: rows, constants, events and the slopes they rest on.

use crate::answer::{Outcome, answer};
use crate::constants::{CONSTANTS, Held};
use crate::events::PARTS;
use crate::rows::{Unbuilt, Unit, lines};
use crate::slopes::Kind;
use crate::{Event, ROLES, Role, RoleSheet, Scaled, Size, Slopes, Universal, universal};
use serde::Serialize;
use std::collections::BTreeSet;

/// Mechanisms that may be there or not: the page before and after.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Built {
    /// The configuration is put in force without a start.
    pub configuration: bool,
}

impl Built {
    /// As the program is.
    pub const TODAY: Built = Built { configuration: true };
}

/// A role's need in service.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub role: Role,
    pub what: &'static str,
    pub unit: Unit,
    pub by: &'static str,
    pub outcome: Outcome,
    /// The need worked out another way, and by what.
    pub check: Option<(&'static str, f64)>,
}

#[derive(Clone, Debug, Serialize)]
pub struct ConstantRow {
    pub name: &'static str,
    pub value: f64,
    pub unit: &'static str,
    pub file: &'static str,
    pub follows: &'static str,
    /// How much of what it bounds there is.
    pub outcome: Option<Outcome>,
    /// What one that bounds nothing does at the size.
    pub does: Option<String>,
}

#[derive(Clone, Debug, Serialize)]
pub struct EventRow {
    pub event: Event,
    pub role: Role,
    pub does: &'static str,
    pub by: &'static str,
    /// All done at once.
    pub peak: Option<(Unit, Outcome)>,
    /// Seconds until it is over inside the allowance, beside those it may take.
    pub over: Outcome,
}

/// A slope that the page rests on.
#[derive(Clone, Debug, Serialize)]
pub struct SlopeRow {
    pub name: String,
    pub unit: String,
    pub per: String,
    pub base: f64,
    pub value: f64,
    pub low: f64,
    pub high: f64,
    pub residual: f64,
    pub largest: f64,
    pub runs: u64,
    pub cores: u64,
    pub kind: Kind,
    pub command: String,
    /// Of slopes of one unit of work, where the table tells the means.
    pub universal: Option<Universal>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Page {
    /// Smallest share first, then what never gives way, then what is not measured.
    pub rows: Vec<Row>,
    pub constants: Vec<ConstantRow>,
    pub events: Vec<EventRow>,
    pub slopes: Vec<SlopeRow>,
    pub roles: Vec<RoleSheet>,
}

/// Works a line out, unless its mechanism is not there. None: then there is nothing to need.
fn outcome(missing: Option<Unbuilt>, built: Built, worked: impl FnOnce() -> Outcome) -> Option<Outcome> {
    match missing {
        Some(Unbuilt::LeftOut) if !built.configuration => None,
        Some(Unbuilt::Impossible(why)) if !built.configuration => Some(Outcome::Impossible(why.to_owned())),
        _ => Some(worked()),
    }
}

fn rows(size: &Size, slopes: &Slopes, built: Built) -> Vec<Row> {
    let row = |line: &'static crate::rows::Line| {
        let worked = || answer(size, built, slopes, (line.allowance)(size), &line.need);
        let outcome = outcome(line.configuration, built, worked)?;
        let check = line.check.map(|(by, need)| (by, need(&Scaled::new(size, 1.0))));
        Some(Row { role: line.role, what: line.what, unit: line.unit, by: line.by, outcome, check })
    };
    lines().filter_map(row).collect()
}

fn constants(size: &Size, slopes: &Slopes, built: Built) -> Vec<ConstantRow> {
    let row = |c: &'static crate::Constant| {
        let (outcome, does) = match c.held {
            Held::Bound(need) => (Some(answer(size, built, slopes, c.value, &need)), None),
            Held::Told(does) => (None, Some(does(&Scaled::new(size, 1.0)))),
        };
        let (name, value, unit, file, follows) = (c.name, c.value, c.unit, c.file, c.follows);
        ConstantRow { name, value, unit, file, follows, outcome, does }
    };
    CONSTANTS.iter().map(row).collect()
}

fn events(size: &Size, slopes: &Slopes, built: Built) -> Vec<EventRow> {
    let mut rows = Vec::new();
    for event in Event::ALL {
        for part in PARTS.iter().filter(|part| part.events.contains(&event)) {
            let work = |allowance: f64, need: crate::events::Need| {
                answer(size, built, slopes, allowance, &move |w| need(w, event))
            };
            let over = outcome(part.configuration, built, || work(event.within(size), part.over));
            let Some(over) = over else { continue };
            let there = !matches!(over, Outcome::Impossible(_));
            let peak = part.peak.filter(|_| there);
            let peak = peak.map(|(unit, need, allowance)| (unit, work(allowance(size), need)));
            rows.push(EventRow { event, role: part.role, does: part.does, by: part.by, peak, over });
        }
    }
    rows
}

fn slope_rows(names: &BTreeSet<String>, slopes: &Slopes) -> Vec<SlopeRow> {
    let row = |name: &String| {
        let s = slopes.get(name)?;
        let unit_of_work = s.unit == "seconds";
        Some(SlopeRow {
            name: name.clone(),
            unit: s.unit.clone(),
            per: s.per.clone(),
            base: s.base,
            value: s.value,
            low: s.low,
            high: s.high,
            residual: s.residual,
            largest: s.largest,
            runs: s.runs,
            cores: s.cores,
            kind: s.kind,
            command: s.command.clone(),
            universal: unit_of_work.then(|| universal(s)).flatten(),
        })
    };
    names.iter().filter_map(row).collect()
}

/// Works all of it out.
pub fn page(size: &Size, slopes: &Slopes, built: Built) -> Page {
    let mut rows = rows(size, slopes, built);
    let mut constants = constants(size, slopes, built);
    let events = events(size, slopes, built);
    let mut names = BTreeSet::new();
    let peaks = events.iter().filter_map(|e| e.peak.as_ref().map(|(_, outcome)| outcome));
    let outcomes = rows.iter().map(|r| &r.outcome).chain(constants.iter().filter_map(|c| c.outcome.as_ref()));
    for outcome in outcomes.chain(events.iter().map(|e| &e.over)).chain(peaks) {
        if let Outcome::Figure(figure) = outcome {
            names.extend(figure.used.iter().map(|u| u.slope.clone()));
        }
    }
    let order = |a: &Outcome, b: &Outcome| {
        let (a, b) = (a.order(), b.order());
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    };
    rows.sort_by(|a, b| order(&a.outcome, &b.outcome));
    constants.sort_by(|a, b| match (&a.outcome, &b.outcome) {
        (Some(a), Some(b)) => order(a, b),
        (a, b) => a.is_none().cmp(&b.is_none()),
    });
    let slopes = slope_rows(&names, slopes);
    Page { rows, constants, events, slopes, roles: ROLES.to_vec() }
}
