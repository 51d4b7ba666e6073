//! What a capture tells of the load: rates and shares with intervals, and in which seconds something was wrong.

use crate::fit::{Quantiles, quantiles};
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;
use vetchkeel_capture::{Ending, Record};

/// A figure, and the interval that holds it with 95 in a hundred.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

impl Estimate {
    /// From values that count as independent.
    pub fn of(values: &[f64]) -> Estimate {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
        let student = StudentsT::new(0.0, 1.0, (count - 1.0).max(1.0)).map_or(12.7, |t| t.inverse_cdf(0.975));
        let half = student * (variance / count.max(1.0)).sqrt();
        Estimate { mean, low: (mean - half).max(0.0), high: mean + half }
    }

    /// A part of `count` cases.
    pub fn part(part: f64, count: u64) -> Estimate {
        let half = 1.96 * (part * (1.0 - part) / count.max(1) as f64).sqrt();
        Estimate { mean: part, low: (part - half).max(0.0), high: (part + half).min(1.0) }
    }
}

/// What one command group asked.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupLoad {
    pub name: String,
    pub count: u64,
    pub share: Estimate,
    pub answered: f64,
    /// Of the time at members, in calm seconds, of commands answered by their only dispatch: milliseconds.
    pub at_member: Option<Quantiles>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    pub seconds: f64,
    pub commands: u64,
    /// Commands a second.
    pub rate: Estimate,
    /// Variance over mean of the counts of each second: 1 for Poisson.
    pub scatter: f64,
    pub groups: Vec<GroupLoad>,
    /// Parts of the traffic, by number and by name.
    pub sets: Vec<(i64, f64)>,
    pub customers: Vec<(String, f64)>,
    pub sessions: usize,
    /// Seconds in which much was not answered: left out of the times at members.
    pub troubled: usize,
    /// What this capture can't tell, in words.
    pub untold: Vec<String>,
}

const SECOND: i64 = 1_000_000;
/// A second counts as troubled if less of what came in it was answered.
const CALM: f64 = 0.9;
/// So many times at members are needed to tell their quantiles.
const TIMES_LEAST: usize = 50;

/// Reads a load out of a capture's records, in any order. An error if there are too few to tell anything.
pub fn load(records: &[Record], dropped: u64) -> Result<Load, String> {
    let first = records.iter().map(|r| r.arrived).min().unwrap_or(0);
    let last = records.iter().map(|r| r.arrived).max().unwrap_or(0);
    let seconds = ((last - first) / SECOND) as usize;
    if seconds < 3 || records.len() < 100 {
        let found = format!("{} commands in {seconds} s", records.len());
        return Err(format!("expected a capture of 3 s and 100 commands at least, found {found}"));
    }
    // The last second is not whole.
    let mut by_second = vec![(0u64, 0u64); seconds];
    for record in records {
        if let Some(second) = by_second.get_mut(((record.arrived - first) / SECOND) as usize) {
            second.0 += 1;
            second.1 += (record.ending == Ending::Answered) as u64;
        }
    }
    let counts: Vec<f64> = by_second.iter().map(|s| s.0 as f64).collect();
    let rate = Estimate::of(&counts);
    let variance = counts.iter().map(|c| (c - rate.mean).powi(2)).sum::<f64>() / (counts.len() as f64 - 1.0);
    let calm = |r: &Record| {
        let second = by_second.get(((r.arrived - first) / SECOND) as usize);
        second.is_none_or(|s| s.1 as f64 >= CALM * s.0 as f64)
    };
    let troubled = by_second.iter().filter(|s| (s.1 as f64) < CALM * s.0 as f64).count();
    let mut groups: BTreeMap<&str, (u64, u64, Vec<f64>)> = BTreeMap::new();
    let (mut sets, mut customers, mut sessions) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
    for record in records {
        let group = groups.entry(&record.command_group).or_default();
        group.0 += 1;
        group.1 += (record.ending == Ending::Answered) as u64;
        if record.ending == Ending::Answered && record.dispatches == 1 && calm(record) {
            group.2.push(record.latency.saturating_sub(record.waited) as f64 / 1e3);
        }
        *sets.entry(record.set).or_insert(0u64) += 1;
        if let Some(customer) = &record.customer {
            *customers.entry(customer.to_string()).or_insert(0u64) += 1;
        }
        if record.session > 0 {
            sessions.insert(record.session, ());
        }
    }
    let all = records.len() as f64;
    let mut untold = Vec::new();
    let groups: Vec<GroupLoad> = groups
        .into_iter()
        .map(|(name, (count, answered, mut times))| {
            let at_member = (times.len() >= TIMES_LEAST).then(|| quantiles(&mut times));
            if at_member.is_none() {
                untold.push(format!(
                    "how much work {name} is: only {} of its commands were answered at once",
                    times.len()
                ));
            }
            let share = Estimate::part(count as f64 / all, records.len() as u64);
            GroupLoad {
                name: name.to_owned(),
                count,
                share,
                answered: answered as f64 / count as f64,
                at_member,
            }
        })
        .collect();
    if troubled > 0 {
        untold.push(format!(
            "what the {troubled} of {seconds} seconds with trouble would have asked without it"
        ));
    }
    if dropped > 0 {
        untold.push(format!(
            "the {dropped} commands that were dropped while it was written: rates are too low by as much"
        ));
    }
    untold.push("the cost of applying a write, the number of cores, and limits that were not met".into());
    let part = |count: u64| count as f64 / all;
    Ok(Load {
        seconds: seconds as f64,
        commands: records.len() as u64,
        rate,
        scatter: variance / rate.mean.max(1e-9),
        groups,
        sets: sets.into_iter().map(|(set, count)| (set, part(count))).collect(),
        customers: customers.into_iter().map(|(name, count)| (name, part(count))).collect(),
        sessions: sessions.len().max(1),
        troubled,
        untold,
    })
}
