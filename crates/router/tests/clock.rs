//! The built program on a machine whose wall clock is wrong when it starts, beside members whose clocks are right.

mod common;

use common::faults::*;
use common::*;
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// How old the data of a bounded read may be, in milliseconds.
const BOUND: u128 = 500;

/// Members of one set: the primary and two replicas that lag, each counting the reads that it served.
struct Members {
    nodes: Vec<Node>,
    reads: Vec<Arc<AtomicU64>>,
}

/// Answers as a member that has applied all up to so many milliseconds ago.
fn member(role: &'static str, lag: u128) -> (Node, Arc<AtomicU64>) {
    let reads = Arc::new(AtomicU64::new(0));
    let count = reads.clone();
    let node = Node::probed(role, move |statement| {
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

    /// Started while the wall clock is wrong by so many milliseconds.
    fn router(&self, faults: &Faults, wrong: i64) -> Router {
        let entry = |(at, role)| entry(&format!("s-{at}"), &self.nodes[at], "ready", role);
        let entries: Vec<String> =
            ["primary", "replica", "replica"].into_iter().enumerate().map(entry).collect();
        let known = list(41, true, &entries);
        let discovery = Discovery::acting(move |_, asked| {
            asked.begin();
            asked.send(&known);
        });
        let bound = format!(r#""lag_allowed_ms":[{BOUND}.0,0.0],"class_read":["bounded","write"]"#);
        let pieces = [
            WORTH,
            (r#""class_read":["any","write"]"#, &*bound),
            (r#""server_checks":"wait""#, r#""server_checks":"none""#),
        ];
        let text = with_pieces(configuration(discovery.address, 1024, 192, "null"), &pieces);
        faults.step_wall_clock(wrong);
        Router::failing(discovery, &text, faults)
    }

    fn read(&self, at: usize) -> u64 {
        self.reads[at].load(Relaxed)
    }
}

/// Reads, and a write now and then, for so long; how many were served.
fn play(router: &Router, span: Duration) -> usize {
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
#[case::right(0)]
#[case::behind(-1_000)]
#[case::long_behind(-3_600_000)]
#[case::ahead(2_000)]
#[case::long_ahead(3_600_000)]
fn no_bounded_read_goes_to_a_replica_beyond_its_bound(#[case] wrong: i64) {
    let (members, faults) = (Members::start([1_200, 700]), Faults::new(1));
    let router = members.router(&faults, wrong);
    play(&router, Duration::from_secs(2));
    assert_eq!((members.read(1), members.read(2)), (0, 0), "stale reads");
    assert!(members.read(0) > 0);
}

#[rstest]
#[case::right(0)]
#[case::behind(-1_000)]
#[case::long_behind(-3_600_000)]
#[case::ahead(2_000)]
#[case::long_ahead(3_600_000)]
fn replicas_inside_the_bound_are_read_from_soon(#[case] wrong: i64) {
    let (members, faults) = (Members::start([50, 50]), Faults::new(1));
    let router = members.router(&faults, wrong);
    play(&router, Duration::from_secs(2));
    let before = members.read(1) + members.read(2);
    let served = play(&router, Duration::from_secs(1));
    let replicas = (members.read(1) + members.read(2) - before) as usize;
    assert!(replicas * 2 > served, "{replicas} of {served} at replicas");
}

#[rstest]
#[case::back(-3_600_000)]
#[case::forward(3_600_000)]
fn a_wall_clock_that_is_stepped_in_service_changes_nothing(#[case] step: i64) {
    let (members, faults) = (Members::start([1_200, 50]), Faults::new(1));
    let router = members.router(&faults, 0);
    play(&router, Duration::from_millis(500));
    faults.step_wall_clock(step);
    router.signal("-HUP");
    let before = members.read(2);
    play(&router, Duration::from_secs(1));
    assert_eq!(members.read(1), 0, "stale reads");
    assert!(members.read(2) > before, "none at a fresh replica");
}
