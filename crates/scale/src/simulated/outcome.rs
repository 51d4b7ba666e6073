//! The report of a simulated play.

use super::{Role, START_ALLOWED, World, control, hollow, router_name};
use crate::arrivals::{Arrivals, Outcome};
use crate::report::{Arrived, Carried, Report, Served, Spent};
use crate::tally::{Duty, Traffic};
use crate::{SECOND, Tenths};

/// The views of all are to agree after this.
const VIEW_ALLOWED: Tenths = 60 * SECOND;

impl World<'_> {
    pub(super) fn report(mut self) -> Report {
        let size = self.schedule.size;
        let mut sizes = vec![
            ("routers", size.routers),
            ("members", size.members),
            ("sets", size.sets),
            ("module instances", size.modules),
            ("control machines", self.machines.len()),
            ("zones", self.zones.len()),
        ];
        sizes.retain(|(_, count)| *count > 0);
        Report {
            driver: "simulated",
            sizes,
            length: self.schedule.length,
            arrived: self.arrived(),
            carried: Duty::ALL.into_iter().map(|duty| self.carried(duty)).collect(),
            rates: self.tally.rates(None),
            served: self.served(),
            counts: self.counts(),
            breaches: self.breaches(),
            spent: self.spent(),
            memory: None,
        }
    }

    fn arrived(&mut self) -> Vec<Arrived> {
        let mut lines = vec![self.starts()];
        let configuration = &self.configuration;
        lines.extend(self.lines("change", &configuration.changes));
        configuration.refused.values().for_each(|refused| lines.extend(self.lines("refusal", refused)));
        lines.extend(self.lines("list", &self.lists));
        self.dark.values().for_each(|dark| lines.extend(self.lines("judgement", dark)));
        lines.extend(self.views());
        lines
    }

    fn event_name(&self, event: Option<usize>) -> String {
        event.map_or("starts".into(), |event| self.event(event).name.clone())
    }

    fn lines(&self, what: &'static str, arrivals: &Arrivals) -> Vec<Arrived> {
        let outcomes = arrivals.outcomes(self.schedule.length);
        let name = |outcome: &Outcome| self.event_name(Some(outcome.event));
        outcomes.iter().map(|outcome| Arrived::of(what, name(outcome), arrivals.allowed(), outcome)).collect()
    }

    fn starts(&mut self) -> Arrived {
        let end = self.schedule.length;
        self.starts.took.sort_unstable();
        let waits = |router: &usize| self.routers[*router].as_ref().is_some_and(|hollow| !hollow.is_ready);
        let due = |router: usize| self.routers[router].as_ref().map_or(end, |hollow| hollow.due);
        let waiting = (0..self.routers.len()).filter(waits);
        let (open, never): (Vec<usize>, Vec<usize>) =
            waiting.partition(|router| due(*router) + START_ALLOWED > end);
        let never = never.into_iter().map(|router| router_name(router).to_string()).collect();
        Arrived::starts(self.starts.count, &self.starts.took, START_ALLOWED, open.len(), never)
    }

    /// When the observers' views agreed with the truth.
    fn views(&self) -> Vec<Arrived> {
        let line = |event: Option<usize>, took: Option<Tenths>, due: Tenths| {
            let open = took.is_none() && due + VIEW_ALLOWED > self.schedule.length;
            let never = took.is_none() && !open;
            Arrived {
                what: "view",
                event: self.event_name(event),
                due: 1,
                arrived: usize::from(took.is_some()),
                p50: took,
                p99: took,
                last: took,
                allowed: VIEW_ALLOWED,
                late: usize::from(took.is_some_and(|took| took > VIEW_ALLOWED)),
                open: usize::from(open),
                never: never
                    .then(|| format!("{} instances at the worst observer", self.agreement.worst))
                    .into_iter()
                    .collect(),
            }
        };
        let took = self.agreement.took.iter().map(|(event, took)| line(*event, Some(*took), 0));
        took.chain(self.agreement.pending().map(|(event, due)| line(event, None, due))).collect()
    }

    fn carried(&self, duty: Duty) -> Carried {
        let (sent, heard) = self.tally.traffic(duty);
        Carried { duty, sent, heard, rates: self.tally.rates(Some(duty)) }
    }

    fn served(&self) -> Vec<Served> {
        let machine = |control: &control::Control| Served {
            name: control.name.to_string(),
            sent: control.sent,
            heard: control.heard,
            opened: control.opened,
            most_open: control.most_open,
        };
        self.machines.iter().map(machine).collect()
    }

    fn counts(&self) -> Vec<(&'static str, u64)> {
        let counted = &self.configuration.counted;
        let [all, since]: [Traffic; 2] = self.asks;
        let mut counts = vec![
            ("asks for the whole list", all.messages),
            ("asks for changes", since.messages),
            ("datagrams lost", self.lost),
        ];
        if !self.machines.is_empty() {
            counts.extend([
                ("writers", counted.writers),
                ("verdicts", counted.verdicts),
                ("verdicts everywhere", counted.everywhere),
                ("refused", counted.refused),
                ("routers silent", counted.silences),
                ("bases gone", counted.bases_gone),
                ("published anew", counted.published_anew),
                ("sent elsewhere", counted.sent_elsewhere),
                ("uncounted", counted.uncounted),
            ]);
        }
        if self.schedule.signals.topics > 0 {
            let (heard, live, oldest) = self.worst_reading();
            counts.extend([
                ("tallies heard at the worst observer", heard as u64),
                ("routers live there", live as u64),
                ("seconds old at most there", (oldest / SECOND) as u64),
            ]);
        }
        counts
    }

    /// The observer that has heard of fewest: how many, of how many, and how old the oldest of them is.
    fn worst_reading(&self) -> (usize, usize, Tenths) {
        let size = self.schedule.size;
        let observers =
            (0..size.routers).filter(|router| hollow::is_sampled(*router, size.routers, size.observers));
        let readings = observers.filter_map(|router| {
            let counts = self.routers[router].as_ref()?.counts.as_ref()?;
            let reading = counts.read(self.now, 0);
            Some((reading.included, reading.live, reading.oldest))
        });
        readings.min_by_key(|(heard, ..)| *heard).unwrap_or_default()
    }

    fn breaches(&self) -> Vec<(&'static str, u64)> {
        let counted = &self.configuration.counted;
        vec![
            ("lists that went back", self.lists.went_back()),
            ("configurations that went back", self.configuration.changes.went_back()),
            ("two documents under one version", counted.two_under_one),
            ("broken changes in force", counted.broken_in_force),
            ("wrongly said to be everywhere", counted.wrongly_everywhere),
            ("messages that can't be read", counted.unread),
        ]
    }

    fn spent(&self) -> Vec<Spent> {
        let size = self.schedule.size;
        let spent = |role: Role| {
            let at = match role {
                Role::List => size.readers,
                Role::Module => size.modules,
                Role::ControlMachine => self.machines.len(),
                _ => size.routers,
            };
            let seconds = self.costs.nanos(role) as f64 / 1e9;
            let played = self.schedule.length as f64 / SECOND as f64;
            let share = seconds / played / at.max(1) as f64;
            Spent { role: role.name(), seconds, calls: self.costs.calls(role), share, at }
        };
        Role::ALL.into_iter().filter(|role| self.costs.calls(*role) > 0).map(spent).collect()
    }
}
