//! What a play came to, as text and as one JSON document.

use crate::arrivals::Outcome;
use crate::percentile::nearest_rank;
use crate::tally::{Duty, Rates, Traffic};
use crate::{SECOND, Tenths};
use serde_json::{Value, json};
use std::fmt::Write;

/// What a router may spend on control: bytes a second, hundredths of a percent of a core, and bytes of memory.
pub const BYTES_ALLOWED: f64 = 5_000.0;
pub const CORE_ALLOWED: f64 = 0.023;
pub const MEMORY_ALLOWED: f64 = 256e6;
/// Names told of one line of the report.
const NAMES: usize = 12;

/// One line of what was due and when it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrived {
    /// What: change, list, refusal, judgement, view, start.
    pub what: &'static str,
    /// The event's name.
    pub event: String,
    pub due: usize,
    pub arrived: usize,
    pub p50: Option<Tenths>,
    pub p99: Option<Tenths>,
    pub last: Option<Tenths>,
    pub allowed: Tenths,
    pub late: usize,
    pub open: usize,
    /// What never came, and at whom.
    pub never: Vec<String>,
}

impl Arrived {
    /// What came of one event; what never came is named by number and router.
    pub fn of(what: &'static str, event: String, allowed: Tenths, outcome: &Outcome) -> Arrived {
        Arrived {
            what,
            event,
            due: outcome.due,
            arrived: outcome.arrived,
            p50: outcome.p50,
            p99: outcome.p99,
            last: outcome.last,
            allowed,
            late: outcome.late,
            open: outcome.open,
            never: outcome.never.iter().map(|(number, who)| format!("{number} at router-{who:04}")).collect(),
        }
    }

    /// Starts, with how long each took, in order.
    pub fn starts(due: usize, took: &[Tenths], allowed: Tenths, open: usize, never: Vec<String>) -> Arrived {
        Arrived {
            what: "start",
            event: "starts".into(),
            due,
            arrived: took.len(),
            p50: nearest_rank(took, 0.5),
            p99: nearest_rank(took, 0.99),
            last: took.last().copied(),
            allowed,
            late: took.iter().filter(|took| **took > allowed).count(),
            open,
            never,
        }
    }
}

/// What the routers sent and heard for one duty, and a router's bytes a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Carried {
    pub duty: Duty,
    pub sent: Traffic,
    pub heard: Traffic,
    pub rates: Rates,
}

/// One machine or agent, or many of them together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Served {
    pub name: String,
    pub sent: Traffic,
    pub heard: Traffic,
    pub opened: u64,
    pub most_open: usize,
}

/// Processor time of a role.
#[derive(Clone, Debug, PartialEq)]
pub struct Spent {
    pub role: &'static str,
    pub seconds: f64,
    pub calls: u64,
    /// Of one core, for one of those it was measured at.
    pub share: f64,
    /// How many it was measured at.
    pub at: usize,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// `simulated` or `loopback`.
    pub driver: &'static str,
    /// Sizes really played, by name.
    pub sizes: Vec<(&'static str, usize)>,
    pub length: Tenths,
    pub arrived: Vec<Arrived>,
    pub carried: Vec<Carried>,
    /// All duties of a router at once.
    pub rates: Rates,
    pub served: Vec<Served>,
    /// Further counts, by name.
    pub counts: Vec<(&'static str, u64)>,
    /// What must never happen and did: by name, how often.
    pub breaches: Vec<(&'static str, u64)>,
    /// Processor time and memory: these differ from run to run.
    pub spent: Vec<Spent>,
    /// Resident bytes: of the whole process at its end, and what one router adds.
    pub memory: Option<(u64, u64)>,
}

impl Report {
    /// Did something never arrive that should have, or happen that must not?
    pub fn failed(&self) -> bool {
        self.arrived.iter().any(|line| !line.never.is_empty()) || self.breaches.iter().any(|b| b.1 > 0)
    }

    /// What is the same in each run of one schedule, simulated.
    pub fn figures(&self) -> Value {
        let seconds = |time: Option<Tenths>| time.map(|time| time as f64 / SECOND as f64);
        let traffic = |t: Traffic| json!({ "messages": t.messages, "bytes": t.bytes });
        let rates = |r: Rates| json!({ "mean": r.mean, "p50": r.p50, "p99": r.p99, "most": r.most });
        let arrived: Vec<Value> = self
            .arrived
            .iter()
            .map(|a| {
                json!({ "what": a.what, "event": a.event, "due": a.due, "arrived": a.arrived,
                    "p50_s": seconds(a.p50), "p99_s": seconds(a.p99), "last_s": seconds(a.last),
                    "allowed_s": seconds(Some(a.allowed)), "late": a.late, "open": a.open, "never": a.never })
            })
            .collect();
        let carried: Vec<Value> = self
            .carried
            .iter()
            .map(|c| {
                json!({ "duty": c.duty.name(), "sent": traffic(c.sent), "heard": traffic(c.heard),
                    "bytes_a_second": rates(c.rates) })
            })
            .collect();
        let served: Vec<Value> = self
            .served
            .iter()
            .map(|s| {
                json!({ "name": s.name, "sent": traffic(s.sent), "heard": traffic(s.heard),
                    "connections_opened": s.opened, "connections_most": s.most_open })
            })
            .collect();
        let named = |pairs: &[(&'static str, u64)]| -> Value {
            pairs
                .iter()
                .map(|(name, count)| ((*name).to_owned(), json!(count)))
                .collect::<serde_json::Map<_, _>>()
                .into()
        };
        let sizes: serde_json::Map<_, _> =
            self.sizes.iter().map(|(name, size)| ((*name).to_owned(), json!(size))).collect();
        json!({ "driver": self.driver, "sizes": sizes, "seconds": seconds(Some(self.length)), "arrived": arrived,
            "routers": carried, "bytes_a_second": rates(self.rates), "served": served,
            "counts": named(&self.counts), "breaches": named(&self.breaches) })
    }

    /// Everything.
    pub fn json(&self) -> Value {
        let spent: Vec<Value> = self
            .spent
            .iter()
            .map(|s| {
                json!({ "role": s.role, "seconds": s.seconds, "calls": s.calls, "share_of_a_core": s.share,
                    "measured_at": s.at })
            })
            .collect();
        let memory = self.memory.map(|(all, one)| json!({ "process": all, "a_router": one }));
        json!({ "figures": self.figures(), "spent": spent, "memory": memory, "failed": self.failed() })
    }

    pub fn text(&self) -> String {
        let mut out = String::new();
        let sizes: Vec<String> = self.sizes.iter().map(|(name, size)| format!("{size} {name}")).collect();
        let time = if self.driver == "simulated" { "told seconds" } else { "seconds" };
        let _ = writeln!(
            out,
            "{}: {}, {:.0} {time}",
            self.driver,
            sizes.join(", "),
            self.length as f64 / SECOND as f64
        );
        self.arrivals_text(&mut out);
        self.bytes_text(&mut out);
        self.spent_text(&mut out);
        let named = |pairs: &[(&'static str, u64)]| -> String {
            pairs.iter().map(|(name, count)| format!("{name} {count}")).collect::<Vec<_>>().join(", ")
        };
        let _ = writeln!(out, "\ncounts: {}", named(&self.counts));
        let _ = writeln!(out, "must be 0: {}", named(&self.breaches));
        out
    }

    fn arrivals_text(&self, out: &mut String) {
        let shown =
            |time: Option<Tenths>| time.map_or("-".into(), |t| format!("{:.2}", t as f64 / SECOND as f64));
        let _ = writeln!(
            out,
            "\n{:<10} {:<22} {:>5} {:>9} {:>8} {:>8} {:>8} {:>8} {:>7} {:>6} {:>6}",
            "arrivals",
            "event",
            "due",
            "arrived",
            "p50 s",
            "p99 s",
            "last s",
            "allowed",
            "late",
            "open",
            "never"
        );
        for a in &self.arrived {
            let _ = writeln!(
                out,
                "{:<10} {:<22} {:>5} {:>9} {:>8} {:>8} {:>8} {:>8} {:>7} {:>6} {:>6}",
                a.what,
                a.event,
                a.due,
                a.arrived,
                shown(a.p50),
                shown(a.p99),
                shown(a.last),
                shown(Some(a.allowed)),
                a.late,
                a.open,
                a.never.len()
            );
        }
        for a in self.arrived.iter().filter(|a| !a.never.is_empty()) {
            let names: Vec<&str> = a.never.iter().take(NAMES).map(String::as_str).collect();
            let more = a.never.len() - names.len();
            let more = if more > 0 { format!(" and {more} more") } else { String::new() };
            let _ = writeln!(out, "never arrived, {} {}: {}{more}", a.what, a.event, names.join(", "));
        }
    }

    fn bytes_text(&self, out: &mut String) {
        let _ = writeln!(
            out,
            "\n{:<15} {:>11} {:>14} {:>11} {:>14} {:>9} {:>9} {:>9} {:>9}",
            "routers", "sent", "bytes", "heard", "bytes", "mean B/s", "p50", "p99", "most"
        );
        for c in &self.carried {
            let _ = writeln!(
                out,
                "{:<15} {:>11} {:>14} {:>11} {:>14} {:>9} {:>9} {:>9} {:>9}",
                c.duty.name(),
                c.sent.messages,
                c.sent.bytes,
                c.heard.messages,
                c.heard.bytes,
                c.rates.mean,
                c.rates.p50,
                c.rates.p99,
                c.rates.most
            );
        }
        let r = self.rates;
        let _ =
            writeln!(out, "{:<15} {:>53} {:>9} {:>9} {:>9} {:>9}", "all", "", r.mean, r.p50, r.p99, r.most);
        let share = |bytes: u64| bytes as f64 / BYTES_ALLOWED;
        let _ = writeln!(
            out,
            "of 5,000 bytes a second and router: mean {:.2}, p50 {:.2}, p99 {:.2}, most {:.1} times",
            share(r.mean),
            share(r.p50),
            share(r.p99),
            share(r.most)
        );
        if self.served.is_empty() {
            return;
        }
        let _ = writeln!(
            out,
            "\n{:<22} {:>11} {:>14} {:>11} {:>14} {:>8} {:>10}",
            "served by", "sent", "bytes", "heard", "bytes", "opened", "most open"
        );
        for s in &self.served {
            let _ = writeln!(
                out,
                "{:<22} {:>11} {:>14} {:>11} {:>14} {:>8} {:>10}",
                s.name, s.sent.messages, s.sent.bytes, s.heard.messages, s.heard.bytes, s.opened, s.most_open
            );
        }
    }

    fn spent_text(&self, out: &mut String) {
        if !self.spent.is_empty() {
            let _ = writeln!(
                out,
                "\n{:<16} {:>11} {:>12} {:>13} {:>16}",
                "processor", "seconds", "calls", "measured at", "share of a core"
            );
        }
        for s in &self.spent {
            let _ = writeln!(
                out,
                "{:<16} {:>11.3} {:>12} {:>13} {:>15.3}%",
                s.role,
                s.seconds,
                s.calls,
                s.at,
                s.share * 100.0
            );
        }
        let routers: f64 = self.spent.iter().filter(|s| s.role != "control machine").map(|s| s.share).sum();
        if !self.spent.is_empty() {
            let times = routers / CORE_ALLOWED;
            let _ =
                writeln!(out, "a router's control: {:.3}% of a core, {times:.2} of 2.3%", routers * 100.0);
        }
        if let Some((all, one)) = self.memory {
            let (all, one, part) = (all as f64 / 1e6, one as f64 / 1e6, one as f64 / MEMORY_ALLOWED);
            let _ = writeln!(out, "memory: {all:.0} MB in all, {one:.2} MB a router, {part:.3} of 256 MB");
        }
    }
}
