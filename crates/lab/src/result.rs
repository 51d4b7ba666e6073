//! What a run leaves: figures only, the same bytes for the same seed.

use serde::{Deserialize, Serialize};
use vetchkeel_audit::Breach;

/// Figures of one run. Times are milliseconds unless named otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    pub driver: String,
    pub decides: String,
    pub seed: u64,
    /// The values of the sweep at this point: path and value.
    pub point: Vec<(String, String)>,
    pub seconds: f64,
    pub routers: usize,
    pub members: usize,
    pub all: Figures,
    pub groups: Vec<Figures>,
    pub sets: Vec<SetFigures>,
    pub every_second: Vec<Second>,
    pub per_member: Vec<MemberFigures>,
    pub sends: Sends,
    pub happened: HappenedFigures,
    pub breach_counts: [u64; 6],
    pub breaches: Vec<Breach>,
    /// On loopback: how late the tool itself was, and why the run is not to be believed if so.
    pub lateness_ms: Option<Percentiles>,
    pub void: Option<String>,
}

impl RunResult {
    pub fn broken(&self) -> u64 {
        self.breach_counts.iter().sum()
    }
}

/// What became of wishes: first tries with their retries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    pub name: String,
    pub asked: u64,
    /// Answered within the response target, and later.
    pub in_target: u64,
    pub late: u64,
    /// Ended throttled, failed, or without any answer (last try).
    pub throttled: u64,
    pub failed: u64,
    pub unanswered: u64,
    /// Part of the benefit asked for that was earned.
    pub benefit: f64,
    /// From the first try's arrival to the answer.
    pub latency_ms: Percentiles,
}

impl Figures {
    /// Part answered within the response target.
    pub fn share(&self) -> f64 {
        if self.asked == 0 { 1.0 } else { self.in_target as f64 / self.asked as f64 }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    pub count: u64,
    pub mean: f64,
    pub p50: f64,
    pub p75: f64,
    pub p90: f64,
    pub p95: f64,
    pub p99: f64,
    pub p999: f64,
    pub most: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SetFigures {
    pub asked: u64,
    pub in_target: u64,
}

/// One second of arrivals: wishes by when they were first asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    pub asked: u64,
    pub in_target: u64,
    pub late: u64,
    pub throttled: u64,
    pub failed: u64,
    pub unanswered: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberFigures {
    pub set: usize,
    /// Dispatches that reached it, those it ran, and the part of its cores that they took.
    pub reached: u64,
    pub ran: u64,
    pub busy: f64,
}

/// What routers sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sends {
    pub tries: u64,
    pub dispatches: u64,
    pub probes: u64,
    pub dials: u64,
    pub reused: u64,
    pub called_off: u64,
    /// How dispatches ended.
    pub answered: u64,
    pub miss: u64,
    pub full: u64,
    pub error: u64,
    pub timed_out: u64,
    pub connect_failed: u64,
    pub reset: u64,
    pub never_sent: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HappenedFigures {
    pub elections: u64,
    pub commits: u64,
    pub lost_commits: u64,
    pub fell: u64,
}
