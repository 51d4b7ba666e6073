//! Tests a router on a host whose wall clock is wrong at start, with members whose clocks are right.

mod common;

use common::faults::*;
use common::*;
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// Staleness bound of bounded reads, in milliseconds.
const STALENESS_BOUND_MS: u128 = 500;

/// Members of one database set: the primary and two lagging replicas. Each counts the reads that it serves.
struct Members {
    nodes: Vec<Node>,
    reads: Vec<Arc<AtomicU64>>,
}

/// A member whose applied position is `lag` milliseconds behind the current time.
fn member(role: &'static str, lag: u128) -> (Node, Arc<AtomicU64>) {
    let reads = Arc::new(AtomicU64::new(0));
    let count = reads.clone();
    let node = Node::with_probe_replies(role, move |statement| {
        let position = unix_ms() - lag;
        if statement == "SHOW load" {
            let report =
                format!("x0={}.{:03},x1={}", position / 1000, position % 1000, (role == "primary") as u8);
            return Some(Reply::Send(row(&report)));
        }
        count.fetch_add(statement.contains("c=look") as u64, Relaxed);
        let applied = parameter("applied_ms", &position.to_string());
        Some(Reply::Send([applied, row("r")].concat()))
    });
    (node, reads)
}

impl Members {
    fn start(lags: [u128; 2]) -> Members {
        let members = [member("primary", 0), member("replica", lags[0]), member("replica", lags[1])];
        let (nodes, reads) = members.into_iter().unzip();
        Members { nodes, reads }
    }

    /// Starts a router whose wall clock is off by `clock_error` milliseconds.
    fn router(&self, faults: &Faults, clock_error: i64) -> Router {
        let entry = |(at, role)| entry(&format!("s-{at}"), &self.nodes[at], "ready", role);
        let entries: Vec<String> =
            ["primary", "replica", "replica"].into_iter().enumerate().map(entry).collect();
        let known = list(41, true, &entries);
        let discovery = Discovery::with_handler(move |_, watch| {
            watch.send_head();
            watch.send(&known);
        });
        let bound =
            format!(r#""lag_allowed_ms":[{STALENESS_BOUND_MS}.0,0.0],"class_read":["bounded","write"]"#);
        let pieces = [
            FULL_BENEFIT,
            (r#""class_read":["any","write"]"#, &*bound),
            (r#""server_checks":"wait""#, r#""server_checks":"none""#),
        ];
        let text = with_replacements(configuration(discovery.address, 1024, 192, "null"), &pieces);
        faults.step_wall_clock(clock_error);
        Router::with_faults(discovery, &text, faults)
    }

    fn served_reads(&self, at: usize) -> u64 {
        self.reads[at].load(Relaxed)
    }
}

/// Sends reads, and a write as every 10th command, for `span`. Returns the number of commands served.
fn run_load(router: &Router, span: Duration) -> usize {
    let (begun, mut served, mut number) = (Instant::now(), 0, 0);
    let mut client = Client::connect(router);
    while begun.elapsed() < span {
        let id = format!("p-{number}");
        let statement = if number % 10 == 9 { order(&id, 2_000) } else { look(&id, 2_000) };
        served += (client.query(&statement) == Answer::Row("r".into())) as usize;
        number += 1;
        thread::sleep(Duration::from_millis(2));
    }
    assert!(served * 10 >= number * 9, "{served} of {number} served");
    served
}

#[rstest]
#[case::clock_right(0)]
#[case::clock_1_s_behind(-1_000)]
#[case::clock_1_h_behind(-3_600_000)]
#[case::clock_2_s_ahead(2_000)]
#[case::clock_1_h_ahead(3_600_000)]
fn bounded_reads_avoid_replicas_beyond_the_staleness_bound(#[case] clock_error: i64) {
    let (members, faults) = (Members::start([1_200, 700]), Faults::new(1));
    let router = members.router(&faults, clock_error);
    run_load(&router, Duration::from_secs(2));
    assert_eq!(
        (members.served_reads(1), members.served_reads(2)),
        (0, 0),
        "reads served beyond the staleness bound"
    );
    assert!(members.served_reads(0) > 0);
}

#[rstest]
#[case::clock_right(0)]
#[case::clock_1_s_behind(-1_000)]
#[case::clock_1_h_behind(-3_600_000)]
#[case::clock_2_s_ahead(2_000)]
#[case::clock_1_h_ahead(3_600_000)]
fn replicas_within_the_staleness_bound_soon_serve_most_reads(#[case] clock_error: i64) {
    let (members, faults) = (Members::start([50, 50]), Faults::new(1));
    let router = members.router(&faults, clock_error);
    run_load(&router, Duration::from_secs(2));
    let before = members.served_reads(1) + members.served_reads(2);
    let served = run_load(&router, Duration::from_secs(1));
    let by_replicas = (members.served_reads(1) + members.served_reads(2) - before) as usize;
    assert!(by_replicas * 2 > served, "{by_replicas} of {served} reads at replicas");
}

#[rstest]
#[case::step_back_1_h(-3_600_000)]
#[case::step_forward_1_h(3_600_000)]
fn wall_clock_step_in_service_does_not_affect_bounded_reads(#[case] step: i64) {
    let (members, faults) = (Members::start([1_200, 50]), Faults::new(1));
    let router = members.router(&faults, 0);
    run_load(&router, Duration::from_millis(500));
    faults.step_wall_clock(step);
    router.signal("-HUP");
    let before = members.served_reads(2);
    run_load(&router, Duration::from_secs(1));
    assert_eq!(members.served_reads(1), 0, "reads served beyond the staleness bound");
    assert!(members.served_reads(2) > before, "no reads at the replica within the bound");
}
