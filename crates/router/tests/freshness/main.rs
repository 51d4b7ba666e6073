//! Freshness of reads through a real router, with replicas that pause applying, primary handovers, delayed answers, wall clock
//! offsets and a stalled router: no read may be answered from data older than its requirement allows.
//!
//!     FRESHNESS_SEEDS=1..51 cargo test --release -p vetchkeel-router --test freshness -- storm --nocapture
//!
//! With `VETCHKEEL_LOG=all` the log lines about each stale answer are printed.

mod cluster;
#[path = "../common/mod.rs"]
mod common;

use cluster::{Cluster, ClusterOptions};
use common::draw::Rng;
use common::faults::*;
use common::history::{History, Need};
use common::*;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// How long the faults of one run last, and the number of its clients and members.
const RUN_TIME: Duration = Duration::from_secs(6);
const CLIENTS: usize = 12;
const MEMBERS: usize = 3;
/// The number of the first database set in the member list.
const FIRST_SET: usize = 2;
/// Ranges of the client timeout, in milliseconds.
const LONG_TIMEOUTS_MS: [u64; 2] = [2_000, 2_001];
const SHORT_TIMEOUTS_MS: [u64; 2] = [150, 900];

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Replacements in the text of the settings for request classes with bounded, session and fresh reads.
fn settings(options: ClusterOptions, semantics: &str) -> [(String, String); 4] {
    let bound = options.bound.as_millis();
    let classes = format!(
        r#""lag_allowed_ms":[{bound}.0,0.0,0.0,0.0],"class_read":["bounded","write","session","fresh"]"#
    );
    let class = |name: &str, semantics: &str| {
        format!(
            r#"{{"name":"{name}","semantics":"{semantics}","hard_limit_ms":60000.0,"late_value":1.0,"aim_ms":2000.0,"importance":1.0}}"#
        )
    };
    let old = r#"{"name":"order","semantics":"side_effect","hard_limit_ms":60000.0,"late_value":1.0,"aim_ms":2000.0,"importance":6.0}"#;
    let more = [old.to_owned(), class("mine", semantics), class("now", semantics)].join(",");
    [
        (r#""class_read":["any","write"]"#.to_owned(), classes),
        (r#""server_checks":"wait""#.to_owned(), r#""server_checks":"none""#.to_owned()),
        (
            r#""name":"look","semantics":"pure""#.to_owned(),
            format!(r#""name":"look","semantics":"{semantics}""#),
        ),
        (old.to_owned(), more),
    ]
}

/// Starts a router for the clusters, each a database set of its own. The member list never announces a new primary.
fn start_router(
    clusters: &[&Cluster],
    options: ClusterOptions,
    semantics: &str,
    faults: &Faults,
    extra: &[(&str, &str)],
) -> Router {
    let entry = |set: usize, at: usize, member: &cluster::Member| {
        let role = if at == 0 { "primary" } else { "replica" };
        let entry = entry_at(&format!("s-{set}-{at}"), member.address, "ready", role);
        entry.replace(r#""cell":2"#, &format!(r#""cell":{}"#, FIRST_SET + set))
    };
    let of_set = |(set, cluster): (usize, &&Cluster)| -> Vec<String> {
        cluster.members.iter().enumerate().map(|(at, member)| entry(set, at, member)).collect()
    };
    let entries: Vec<String> = clusters.iter().enumerate().flat_map(of_set).collect();
    let known = list(41, true, &entries);
    let discovery = Discovery::with_handler(move |_, watch| {
        watch.send_head();
        watch.send(&known);
    });
    let replacements = settings(options, semantics);
    let replacements = replacements.iter().map(|(piece, other)| (&**piece, &**other));
    let pieces: Vec<(&str, &str)> =
        [FULL_BENEFIT].into_iter().chain(replacements).chain(extra.iter().copied()).collect();
    let text = with_replacements(configuration(discovery.address, 1024, 192, "null"), &pieces);
    Router::with_faults(discovery, &text, faults)
}

#[derive(Debug, Default)]
struct Outcome {
    sent: usize,
    served: usize,
    reads_at_replicas: u64,
    stale: Vec<String>,
}

/// One client session: mostly reads and some writes, each sent after the answer to the previous one.
struct Session<'a> {
    router: SocketAddr,
    cluster: &'a Cluster,
    set: usize,
    bound: Duration,
    client_timeouts: [u64; 2],
    number: usize,
    rng: Rng,
    last_write: Option<Instant>,
}

impl Session<'_> {
    /// The next statement: its id, whether it is a write, and its text.
    fn statement(&mut self, sent: usize) -> (String, bool, String) {
        let id = format!("c{}-{sent}", self.number);
        let class = ["order", "order", "mine", "now", "look", "look", "look", "look", "look", "look"]
            [self.rng.below(10) as usize];
        let need = match class {
            "look" => Some(Need::MaxAge(self.bound)),
            "mine" => self.last_write.map(Need::CommittedBy),
            "now" => self.cluster.last_commit().map(Need::CommittedBy),
            _ => None,
        };
        need.into_iter().for_each(|need| self.cluster.require(&id, need));
        let wait =
            self.client_timeouts[0] + self.rng.below(self.client_timeouts[1] - self.client_timeouts[0]);
        let set = self.set;
        let comment = format!("/* id={id},c={class},t=acme,d={wait},cluster={set} */");
        let key = format!("k{}", self.number);
        let statement = if class == "order" {
            format!(r"INSERT INTO records (k, v) VALUES ('{key}', '\x01') RETURNING v {comment}")
        } else {
            format!("SELECT v FROM records WHERE k = '{key}' {comment}")
        };
        (id, class == "order", statement)
    }

    fn run(mut self, finished: &AtomicBool) -> Outcome {
        let mut outcome = Outcome::default();
        let mut client = Client::at(self.router);
        while !finished.load(Relaxed) {
            outcome.sent += 1;
            let (id, write, statement) = self.statement(outcome.sent);
            match client.query(&statement) {
                Answer::Row(value) => {
                    outcome.served += 1;
                    let stale = self.cluster.stale(&value).map(|age| format!("{value}: {age:?} old"));
                    outcome.stale.extend(stale);
                    self.last_write = if write { self.cluster.commit(&id) } else { self.last_write };
                }
                Answer::Closed => client = Client::at(self.router),
                _ => {}
            }
            thread::sleep(milliseconds(self.rng.below(8)));
        }
        outcome
    }
}

/// Runs clients at the router until `disturbance` returns.
fn run_clients(
    router: &Router,
    clusters: &[&Cluster],
    options: ClusterOptions,
    client_timeouts: [u64; 2],
    disturbance: impl FnOnce(Instant),
) -> Outcome {
    let (finished, address) = (AtomicBool::new(false), router.address);
    let session = |number: usize| Session {
        router: address,
        cluster: clusters[number % clusters.len()],
        set: FIRST_SET + number % clusters.len(),
        bound: options.bound,
        client_timeouts,
        number,
        rng: Rng::new(number as u64 + 1),
        last_write: None,
    };
    let outcome = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let (session, finished) = (session(number), &finished);
                scope.spawn(move || session.run(finished))
            })
            .collect();
        disturbance(Instant::now() + RUN_TIME);
        finished.store(true, Relaxed);
        let reads_at_replicas = clusters.iter().map(|cluster| cluster.reads_at_replicas.load(Relaxed)).sum();
        let mut all = Outcome { reads_at_replicas, ..Outcome::default() };
        for client in clients {
            let one = client.join().expect("no panic");
            (all.sent, all.served) = (all.sent + one.sent, all.served + one.served);
            all.stale.extend(one.stale);
        }
        all
    });
    println!("{outcome:?}");
    print_log_lines(router, &outcome.stale);
    outcome
}

/// Prints the router's log lines about stale reads; with `VETCHKEEL_LOG=all` the log names every command.
fn print_log_lines(router: &Router, stale: &[String]) {
    let ids: Vec<&str> = stale.iter().filter_map(|summary| summary.split('@').next()).collect();
    let names_command = |line: &String| ids.iter().any(|id| line.contains(&format!("command {id}:")));
    let is_about_members =
        |line: &String| !ids.is_empty() && (line.contains("node ") || line.contains("clock"));
    let lines = router.take_log().into_iter().filter(|line| names_command(line) || is_about_members(line));
    lines.for_each(|line| println!("{line}"));
}

/// Pauses the replicas one after another, each for longer than the bound.
fn pause_replicas(cluster: &Cluster, bound: Duration, until: Instant) {
    while Instant::now() < until {
        for member in &cluster.members[1..] {
            member.pause();
            thread::sleep(bound + milliseconds(150));
            member.resume();
            thread::sleep(milliseconds(60));
        }
    }
}

/// Hands the primary role over repeatedly; each former primary applies nothing for a while.
fn hand_over_repeatedly(cluster: &Cluster, every: Duration, until: Instant) {
    let mut rng = Rng::new(7);
    let mut primary = 0;
    while Instant::now() < until {
        thread::sleep(every + milliseconds(rng.below(every.as_millis() as u64)));
        let next = (primary + 1 + rng.below(MEMBERS as u64 - 1) as usize) % MEMBERS;
        cluster.hand_over(primary, next);
        primary = next;
    }
}

/// Hangs the current primary again and again while its probes are still answered; another member is elected each time.
fn hang_primaries(cluster: &Cluster, seed: u64, until: Instant) {
    let mut rng = Rng::new(seed);
    rng.below(1);
    let mut primary = 0;
    while Instant::now() < until {
        thread::sleep(milliseconds(300 + rng.below(400)));
        let to = (primary + 1 + rng.below(MEMBERS as u64 - 1) as usize) % MEMBERS;
        let [detection_time, duration, catch_up_time] =
            [1_500 + rng.below(2_000), rng.below(1_500), rng.below(600)];
        let duration = milliseconds(detection_time + duration);
        cluster.hang(primary, to, milliseconds(detection_time), duration, milliseconds(catch_up_time));
        primary = to;
    }
}

/// Guards against stale reads from replicas after the primary hangs. The primary still answers probes with a report from
/// before the hang, whose age is unknown. The primary of a second set hangs shortly after, so that no member
/// provides current time.
#[rstest]
#[case::position_only_after_commits(300, false, 0)]
#[case::position_in_every_answer(300, true, 0)]
#[case::delayed_answers(150, true, 300)]
fn hung_primary_does_not_make_replicas_look_fresh(
    #[case] bound: u64,
    #[case] position_in_every_answer: bool,
    #[case] max_answer_delay: u64,
) {
    let options = ClusterOptions {
        bound: milliseconds(bound),
        max_answer_delay: milliseconds(max_answer_delay),
        position_in_every_answer,
        ..ClusterOptions::default()
    };
    let (one, other) = (Cluster::start(MEMBERS, options), Cluster::start(MEMBERS, options));
    let (clusters, faults) = ([&*one, &*other], Faults::new(1));
    let router = start_router(&clusters, options, "pure", &faults, &[]);
    let outcome = run_clients(&router, &clusters, options, SHORT_TIMEOUTS_MS, |until| {
        let until = until + RUN_TIME;
        thread::scope(|scope| {
            scope.spawn(|| hang_primaries(&one, 1, until));
            hang_primaries(&other, 2, until);
        });
    });
    assert!(outcome.stale.is_empty(), "{:?}", outcome.stale);
    assert!(outcome.served * 10 >= outcome.sent * 4, "{outcome:?}");
}

/// Freezes the primary repeatedly, each time for too short to be detected as failed, and sometimes hands the role over.
fn freeze_primaries(cluster: &Cluster, until: Instant) {
    let mut rng = Rng::new(5);
    rng.below(1);
    let mut primary = 0;
    while Instant::now() < until {
        for _ in 0..1 + rng.below(3) {
            thread::sleep(milliseconds(50 + rng.below(100)));
            cluster.freeze(primary, milliseconds(100 + rng.below(200)));
        }
        let next = (primary + 1 + rng.below(MEMBERS as u64 - 1) as usize) % MEMBERS;
        cluster.hand_over(primary, next);
        primary = next;
    }
}

/// Pauses all replicas together for longer than the bound, so that reads go to the primary.
fn pause_all_replicas(cluster: &Cluster, bound: Duration, until: Instant) {
    while Instant::now() < until {
        cluster.members.iter().for_each(|member| member.pause());
        thread::sleep(bound + milliseconds(400));
        cluster.members.iter().for_each(|member| member.resume());
        thread::sleep(milliseconds(150));
    }
}

/// Guards against stale reads from replicas while a primary freezes. Answers carry the position at the receipt of the read, or
/// at the start of the freeze.
#[rstest]
fn frozen_primary_does_not_make_replicas_look_fresh() {
    let options = ClusterOptions {
        bound: milliseconds(300),
        position_in_every_answer: true,
        position_at_receipt: true,
        ..ClusterOptions::default()
    };
    let (cluster, faults) = (Cluster::start(MEMBERS, options), Faults::new(1));
    let router = start_router(&[&cluster], options, "pure", &faults, &[]);
    let outcome = run_clients(&router, &[&cluster], options, LONG_TIMEOUTS_MS, |until| {
        thread::scope(|scope| {
            scope.spawn(|| pause_all_replicas(&cluster, options.bound, until + RUN_TIME));
            freeze_primaries(&cluster, until + RUN_TIME);
        });
    });
    assert!(outcome.stale.is_empty(), "{:?}", outcome.stale);
    assert!(outcome.served * 10 >= outcome.sent * 8, "{outcome:?}");
}

/// Tests the checker itself: a read that arrives just after an election may be dated up to one clock tick before it, and counts
/// as having seen the data of the new primary. A read that arrives earlier counts as stale.
#[rstest]
#[case::within_one_tick(4, false)]
#[case::earlier_than_one_tick(11, true)]
fn arrival_time_tolerance_is_one_clock_tick(#[case] ms_early: u64, #[case] stale: bool) {
    let begun = Instant::now();
    let mut history = History::new(milliseconds(5));
    history.pause(begun);
    let elected = begun + milliseconds(2_000);
    history.become_primary(elected);
    let age = history.stale(0, elected - milliseconds(ms_early), Need::MaxAge(milliseconds(300)));
    assert_eq!(age.is_some(), stale, "{age:?}");
}

/// Guards against stale reads when the router stalls between its decision and the write to the member. One write in eight
/// is delayed.
#[rstest]
#[case::pure("pure", 300, false)]
#[case::side_effect_reads("side_effect", 300, false)]
#[case::position_in_every_answer("pure", 200, true)]
fn router_stalled_before_a_write_serves_no_stale_reads(
    #[case] semantics: &str,
    #[case] bound: u64,
    #[case] position_in_every_answer: bool,
) {
    let options =
        ClusterOptions { bound: milliseconds(bound), position_in_every_answer, ..ClusterOptions::default() };
    let (cluster, faults) = (Cluster::start(MEMBERS, options), Faults::new(1));
    let router = start_router(&[&cluster], options, semantics, &faults, &[]);
    faults.set(Fault::DelayedSend, 125_000);
    let outcome = run_clients(&router, &[&cluster], options, LONG_TIMEOUTS_MS, |until| {
        pause_replicas(&cluster, options.bound, until)
    });
    assert!(outcome.stale.is_empty(), "{:?}", outcome.stale);
    assert!(outcome.served * 10 >= outcome.sent * 8, "{outcome:?}");
}

/// Guards against taking a replica for the primary because of an old answer. Answers arrive in order on each connection, but
/// out of order between connections, while the primary role is handed over.
#[rstest]
#[case::short_bound(100, 600, false)]
#[case::long_bound(200, 1_000, false)]
#[case::position_in_every_answer(200, 800, true)]
fn delayed_answer_does_not_make_a_replica_the_primary(
    #[case] bound: u64,
    #[case] max_answer_delay: u64,
    #[case] position_in_every_answer: bool,
) {
    let options = ClusterOptions {
        bound: milliseconds(bound),
        max_answer_delay: milliseconds(max_answer_delay),
        position_in_every_answer,
        ..ClusterOptions::default()
    };
    let (cluster, faults) = (Cluster::start(MEMBERS, options), Faults::new(1));
    let router = start_router(&[&cluster], options, "pure", &faults, &[]);
    let outcome = run_clients(&router, &[&cluster], options, LONG_TIMEOUTS_MS, |until| {
        hand_over_repeatedly(&cluster, milliseconds(500), until);
    });
    assert!(outcome.stale.is_empty(), "{:?}", outcome.stale);
    assert!(outcome.served * 10 >= outcome.sent * 5, "{outcome:?}");
}

/// Guards against stale reads, and against unused replicas, when the router's wall clock is off. The positions in the answers
/// to writes are what lets the router correct it.
#[rstest]
#[case::exact(0)]
#[case::slightly_behind(-60)]
#[case::behind(-150)]
#[case::ahead(300)]
#[case::far_ahead(5_000)]
fn small_clock_offset_keeps_replicas_usable_and_reads_fresh(#[case] offset_ms: i64) {
    let options = ClusterOptions {
        bound: milliseconds(300),
        position_in_every_answer: false,
        ..ClusterOptions::default()
    };
    let (cluster, faults) = (Cluster::start(MEMBERS, options), Faults::new(1));
    faults.step_wall_clock(offset_ms);
    let router = start_router(&[&cluster], options, "pure", &faults, &[]);
    let outcome = run_clients(&router, &[&cluster], options, LONG_TIMEOUTS_MS, |until| {
        pause_replicas(&cluster, options.bound, until)
    });
    assert!(outcome.stale.is_empty(), "{:?}", outcome.stale);
    assert!(outcome.served * 10 >= outcome.sent * 9, "{outcome:?}");
    assert!(outcome.reads_at_replicas as usize * 10 >= outcome.served * 4, "{outcome:?}");
}

fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("FRESHNESS_SEEDS").unwrap_or_else(|_| "1..3".into());
    let (first, end) = text.split_once("..").expect("FRESHNESS_SEEDS as in 1..20");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Runs a combination of all these faults, drawn from a seed; true if no stale read was served.
fn random_faults(seed: u64) -> bool {
    let mut rng = Rng::new(seed);
    rng.below(1);
    let mut options = ClusterOptions {
        bound: milliseconds([100, 150, 200, 300, 500][rng.below(5) as usize]),
        max_answer_delay: milliseconds([0, 200, 600, 1_000][rng.below(4) as usize]),
        position_in_every_answer: rng.below(2) == 0,
        position_at_receipt: seed.is_multiple_of(2),
        role_in_greeting: false,
    };
    let faults = Faults::new(seed);
    let offset_ms = [0, 0, -150, 300, -1_000][rng.below(5) as usize];
    let semantics = ["pure", "pure", "side_effect"][rng.below(3) as usize];
    let variants: [&[(&str, &str)]; 4] = [
        &[],
        &[(r#""cancel":true"#, r#""cancel":false"#)],
        &[(r#""max_attempts":6"#, r#""max_attempts":2"#)],
        &[(r#""token_mode":"remembered""#, r#""token_mode":"remembered","progress_told":true"#)],
    ];
    let extra = variants[rng.below(4) as usize];
    let client_timeouts = [LONG_TIMEOUTS_MS, SHORT_TIMEOUTS_MS][rng.below(2) as usize];
    let send_delays = [0, 30_000, 125_000][rng.below(3) as usize];
    let clock_stalls = [0, 300][rng.below(2) as usize];
    let short_receives = [0, 300_000][rng.below(2) as usize];
    let short_sends = [0, 300_000][rng.below(2) as usize];
    let (pauses, handovers, stop_signals) = (rng.below(3) > 0, rng.below(3) > 0, rng.below(3) == 0);
    let every = milliseconds([300, 600, 1_500][rng.below(3) as usize]);
    options.role_in_greeting = rng.below(2) == 0;
    let disturbance = rng.below(4);
    let cluster = Cluster::start(MEMBERS, options);
    println!(
        "seed {seed}: {options:?}, disturbance {disturbance}, wall clock offset {offset_ms} ms, {semantics}, {extra:?}, client timeouts {client_timeouts:?}"
    );
    faults.step_wall_clock(offset_ms);
    let router = start_router(&[&cluster], options, semantics, &faults, extra);
    faults.set(Fault::DelayedSend, send_delays);
    faults.set(Fault::ClockStall, clock_stalls);
    faults.set(Fault::ShortReceive, short_receives);
    faults.set(Fault::ShortSend, short_sends);
    let outcome = run_clients(&router, &[&cluster], options, client_timeouts, |until| {
        thread::scope(|scope| {
            scope.spawn(|| {
                if pauses {
                    pause_replicas(&cluster, options.bound, until)
                }
            });
            scope.spawn(|| {
                if handovers {
                    match disturbance {
                        0 => hang_primaries(&cluster, seed, until),
                        1 => freeze_primaries(&cluster, until),
                        _ => hand_over_repeatedly(&cluster, every, until),
                    }
                }
            });
            while Instant::now() < until {
                thread::sleep(milliseconds(50 + rng.below(300)));
                if stop_signals {
                    router.signal("-STOP");
                    thread::sleep(milliseconds(rng.below(200)));
                    router.signal("-CONT");
                }
            }
        });
    });
    println!("seed {seed}: {} of {} served, {} stale", outcome.served, outcome.sent, outcome.stale.len());
    outcome.stale.is_empty()
}

#[rstest]
fn fault_storm_serves_no_stale_reads() {
    let failed: Vec<u64> = seeds().filter(|seed| !random_faults(*seed)).collect();
    assert!(failed.is_empty(), "seeds with stale reads: {failed:?}");
}
