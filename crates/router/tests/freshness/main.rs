//! Reads of the built program that must see new data, beside replicas that stop applying, primaries that are handed over,
//! answers that come late, clocks that are wrong and a router that is held up: none is answered from data that is too old.
//!
//!     FRESHNESS_SEEDS=1..51 cargo test --release -p vetchkeel-router --test freshness -- storm --nocapture
//!
//! With `VETCHKEEL_LOG=all` the log's lines on each old answer are printed.

mod cluster;
#[path = "../common/mod.rs"]
mod common;

use cluster::{Cluster, Habits};
use common::draw::Draw;
use common::faults::*;
use common::history::{History, Need};
use common::*;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

const SPAN: Duration = Duration::from_secs(6);
const CLIENTS: usize = 12;
const MEMBERS: usize = 3;
/// The number of the first set, as the list has it.
const FIRST_SET: usize = 2;
/// How long clients wait, in milliseconds.
const PATIENT: [u64; 2] = [2_000, 2_001];
const IMPATIENT: [u64; 2] = [150, 900];

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The settings' text for classes that read within a bound, what their session wrote, and all that is committed.
fn settings(habits: Habits, semantics: &str) -> [(String, String); 4] {
    let bound = habits.bound.as_millis();
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

/// A router beside the clusters, each a set of its own, whose list never tells of a new primary.
fn router(
    clusters: &[&Cluster],
    habits: Habits,
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
    let discovery = Discovery::acting(move |_, asked| {
        asked.begin();
        asked.send(&known);
    });
    let of_test = settings(habits, semantics);
    let of_test = of_test.iter().map(|(piece, other)| (&**piece, &**other));
    let pieces: Vec<(&str, &str)> = [WORTH].into_iter().chain(of_test).chain(extra.iter().copied()).collect();
    let text = with_pieces(configuration(discovery.address, 1024, 192, "null"), &pieces);
    Router::failing(discovery, &text, faults)
}

#[derive(Debug, Default)]
struct Outcome {
    asked: usize,
    served: usize,
    at_replicas: u64,
    stale: Vec<String>,
}

/// One client and its session: mostly reads, some writes, each after the answer to the one before.
struct Session<'a> {
    router: SocketAddr,
    cluster: &'a Cluster,
    set: usize,
    bound: Duration,
    waits: [u64; 2],
    number: usize,
    draw: Draw,
    last_write: Option<Instant>,
}

impl Session<'_> {
    /// The next statement, with its id and whether it writes.
    fn statement(&mut self, asked: usize) -> (String, bool, String) {
        let id = format!("c{}-{asked}", self.number);
        let class = ["order", "order", "mine", "now", "look", "look", "look", "look", "look", "look"]
            [self.draw.below(10) as usize];
        let need = match class {
            "look" => Some(Need::Within(self.bound)),
            "mine" => self.last_write.map(Need::UpTo),
            "now" => self.cluster.last_commit().map(Need::UpTo),
            _ => None,
        };
        need.into_iter().for_each(|need| self.cluster.expect(&id, need));
        let wait = self.waits[0] + self.draw.below(self.waits[1] - self.waits[0]);
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

    fn run(mut self, ends: &AtomicBool) -> Outcome {
        let mut outcome = Outcome::default();
        let mut client = Client::at(self.router);
        while !ends.load(Relaxed) {
            outcome.asked += 1;
            let (id, write, statement) = self.statement(outcome.asked);
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
            thread::sleep(milliseconds(self.draw.below(8)));
        }
        outcome
    }
}

/// Clients at the router for as long as `trouble` goes on.
fn play(
    router: &Router,
    clusters: &[&Cluster],
    habits: Habits,
    waits: [u64; 2],
    trouble: impl FnOnce(Instant),
) -> Outcome {
    let (ends, address) = (AtomicBool::new(false), router.address);
    let session = |number: usize| Session {
        router: address,
        cluster: clusters[number % clusters.len()],
        set: FIRST_SET + number % clusters.len(),
        bound: habits.bound,
        waits,
        number,
        draw: Draw::new(number as u64 + 1),
        last_write: None,
    };
    let outcome = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let (session, ends) = (session(number), &ends);
                scope.spawn(move || session.run(ends))
            })
            .collect();
        trouble(Instant::now() + SPAN);
        ends.store(true, Relaxed);
        let at_replicas = clusters.iter().map(|cluster| cluster.at_replicas.load(Relaxed)).sum();
        let mut all = Outcome { at_replicas, ..Outcome::default() };
        for client in clients {
            let one = client.join().expect("no panic");
            (all.asked, all.served) = (all.asked + one.asked, all.served + one.served);
            all.stale.extend(one.stale);
        }
        all
    });
    println!("{outcome:?}");
    explain(router, &outcome.stale);
    outcome
}

/// What the router's log has on stale reads; with `VETCHKEEL_LOG=all` it names every one.
fn explain(router: &Router, stale: &[String]) {
    let ids: Vec<&str> = stale.iter().filter_map(|story| story.split('@').next()).collect();
    let named = |line: &String| ids.iter().any(|id| line.contains(&format!("command {id}:")));
    let of_members = |line: &String| !ids.is_empty() && (line.contains("node ") || line.contains("clock"));
    let lines = router.log_so_far().into_iter().filter(|line| named(line) || of_members(line));
    lines.for_each(|line| println!("{line}"));
}

/// Replicas by turns stop applying for longer than the bound, and apply again.
fn pause_replicas(cluster: &Cluster, bound: Duration, until: Instant) {
    while Instant::now() < until {
        for member in &cluster.members[1..] {
            member.pause();
            thread::sleep(bound + milliseconds(150));
            member.go_on();
            thread::sleep(milliseconds(60));
        }
    }
}

/// The primary is handed round, and each former one applies nothing for a while.
fn hand_round(cluster: &Cluster, every: Duration, until: Instant) {
    let mut draw = Draw::new(7);
    let mut primary = 0;
    while Instant::now() < until {
        thread::sleep(every + milliseconds(draw.below(every.as_millis() as u64)));
        let next = (primary + 1 + draw.below(MEMBERS as u64 - 1) as usize) % MEMBERS;
        cluster.hand_over(primary, next);
        primary = next;
    }
}

/// The primary hangs by turns, while its probes are answered, and others are elected.
fn hang_primaries(cluster: &Cluster, seed: u64, until: Instant) {
    let mut draw = Draw::new(seed);
    draw.below(1);
    let mut primary = 0;
    while Instant::now() < until {
        thread::sleep(milliseconds(300 + draw.below(400)));
        let to = (primary + 1 + draw.below(MEMBERS as u64 - 1) as usize) % MEMBERS;
        let [detected, lasts, catches_up] = [1_500 + draw.below(2_000), draw.below(1_500), draw.below(600)];
        let lasts = milliseconds(detected + lasts);
        cluster.hang(primary, to, milliseconds(detected), lasts, milliseconds(catches_up));
        primary = to;
    }
}

/// The report from before the hang says what is no longer so, and its age is not known. Another set's primary hangs a little
/// later, so that nobody tells the time.
#[rstest]
#[case::commits_alone_tell_positions(300, false, 0)]
#[case::positions_told(300, true, 0)]
#[case::late_answers(150, true, 300)]
fn a_primary_that_hangs_makes_no_replica_look_fresh(
    #[case] bound: u64,
    #[case] tells_position: bool,
    #[case] held_back: u64,
) {
    let habits = Habits {
        bound: milliseconds(bound),
        held_back: milliseconds(held_back),
        tells_position,
        ..Habits::default()
    };
    let (one, other) = (Cluster::start(MEMBERS, habits), Cluster::start(MEMBERS, habits));
    let (clusters, faults) = ([&*one, &*other], Faults::new(1));
    let router = router(&clusters, habits, "pure", &faults, &[]);
    let outcome = play(&router, &clusters, habits, IMPATIENT, |until| {
        let until = until + SPAN;
        thread::scope(|scope| {
            scope.spawn(|| hang_primaries(&one, 1, until));
            hang_primaries(&other, 2, until);
        });
    });
    assert!(outcome.stale.is_empty(), "{:?}", outcome.stale);
    assert!(outcome.served * 10 >= outcome.asked * 4, "{outcome:?}");
}

/// The primary stands still again and again, for less time than its failure takes to be seen, and is handed over now and then.
fn stand_still_by_turns(cluster: &Cluster, until: Instant) {
    let mut draw = Draw::new(5);
    draw.below(1);
    let mut primary = 0;
    while Instant::now() < until {
        for _ in 0..1 + draw.below(3) {
            thread::sleep(milliseconds(50 + draw.below(100)));
            cluster.stand_still(primary, milliseconds(100 + draw.below(200)));
        }
        let next = (primary + 1 + draw.below(MEMBERS as u64 - 1) as usize) % MEMBERS;
        cluster.hand_over(primary, next);
        primary = next;
    }
}

/// All replicas together stop applying for longer than the bound, so that reads go to the primary.
fn pause_all_replicas(cluster: &Cluster, bound: Duration, until: Instant) {
    while Instant::now() < until {
        cluster.members.iter().for_each(|member| member.pause());
        thread::sleep(bound + milliseconds(400));
        cluster.members.iter().for_each(|member| member.go_on());
        thread::sleep(milliseconds(150));
    }
}

/// Answers tell the position of when the read was taken, in a pause that of its beginning.
#[rstest]
fn a_primary_that_stands_still_makes_no_replica_look_fresh() {
    let habits = Habits {
        bound: milliseconds(300),
        tells_position: true,
        position_as_taken: true,
        ..Habits::default()
    };
    let (cluster, faults) = (Cluster::start(MEMBERS, habits), Faults::new(1));
    let router = router(&[&cluster], habits, "pure", &faults, &[]);
    let outcome = play(&router, &[&cluster], habits, PATIENT, |until| {
        thread::scope(|scope| {
            scope.spawn(|| pause_all_replicas(&cluster, habits.bound, until + SPAN));
            stand_still_by_turns(&cluster, until + SPAN);
        });
    });
    assert!(outcome.stale.is_empty(), "{:?}", outcome.stale);
    assert!(outcome.served * 10 >= outcome.asked * 8, "{outcome:?}");
}

/// The judge's own: a read that came just behind an election, dated up to a tick before it, saw what the new primary had; one
/// that came earlier did not.
#[rstest]
#[case::in_the_tick(4, false)]
#[case::before(11, true)]
fn an_arrival_is_judged_within_the_tick_by_which_it_is_dated(#[case] early: u64, #[case] stale: bool) {
    let begun = Instant::now();
    let mut history = History::new(milliseconds(5));
    history.pause(begun);
    let elected = begun + milliseconds(2_000);
    history.begin_reign(elected);
    let found = history.stale(0, elected - milliseconds(early), Need::Within(milliseconds(300)));
    assert_eq!(found.is_some(), stale, "{found:?}");
}

/// The router waits before one in so many of its writes to members.
#[rstest]
#[case::pure("pure", 300, false)]
#[case::unsafe_reads("side_effect", 300, false)]
#[case::positions_told("pure", 200, true)]
fn a_router_held_up_before_it_writes_serves_nothing_stale(
    #[case] semantics: &str,
    #[case] bound: u64,
    #[case] tells_position: bool,
) {
    let habits = Habits { bound: milliseconds(bound), tells_position, ..Habits::default() };
    let (cluster, faults) = (Cluster::start(MEMBERS, habits), Faults::new(1));
    let router = router(&[&cluster], habits, semantics, &faults, &[]);
    faults.set(Fault::HeldSend, 125_000);
    let outcome =
        play(&router, &[&cluster], habits, PATIENT, |until| pause_replicas(&cluster, habits.bound, until));
    assert!(outcome.stale.is_empty(), "{:?}", outcome.stale);
    assert!(outcome.served * 10 >= outcome.asked * 8, "{outcome:?}");
}

/// Answers are in order on each connection, and out of order between two.
#[rstest]
#[case::short_bound(100, 600, false)]
#[case::long_bound(200, 1_000, false)]
#[case::positions_told(200, 800, true)]
fn an_answer_that_comes_late_makes_no_primary_of_a_replica(
    #[case] bound: u64,
    #[case] held_back: u64,
    #[case] tells_position: bool,
) {
    let habits = Habits {
        bound: milliseconds(bound),
        held_back: milliseconds(held_back),
        tells_position,
        ..Habits::default()
    };
    let (cluster, faults) = (Cluster::start(MEMBERS, habits), Faults::new(1));
    let router = router(&[&cluster], habits, "pure", &faults, &[]);
    let outcome = play(&router, &[&cluster], habits, PATIENT, |until| {
        hand_round(&cluster, milliseconds(500), until);
    });
    assert!(outcome.stale.is_empty(), "{:?}", outcome.stale);
    assert!(outcome.served * 10 >= outcome.asked * 5, "{outcome:?}");
}

/// The wall clock is read while it is wrong; it stays usable by what writes' answers prove.
#[rstest]
#[case::right(0)]
#[case::a_little_behind(-60)]
#[case::behind(-150)]
#[case::ahead(300)]
#[case::far_ahead(5_000)]
fn a_wall_clock_that_is_a_little_wrong_costs_no_replica_and_no_fresh_data(#[case] wrong: i64) {
    let habits = Habits { bound: milliseconds(300), tells_position: false, ..Habits::default() };
    let (cluster, faults) = (Cluster::start(MEMBERS, habits), Faults::new(1));
    faults.step_wall_clock(wrong);
    let router = router(&[&cluster], habits, "pure", &faults, &[]);
    let outcome =
        play(&router, &[&cluster], habits, PATIENT, |until| pause_replicas(&cluster, habits.bound, until));
    assert!(outcome.stale.is_empty(), "{:?}", outcome.stale);
    assert!(outcome.served * 10 >= outcome.asked * 9, "{outcome:?}");
    assert!(outcome.at_replicas as usize * 10 >= outcome.served * 4, "{outcome:?}");
}

fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("FRESHNESS_SEEDS").unwrap_or_else(|_| "1..3".into());
    let (first, end) = text.split_once("..").expect("FRESHNESS_SEEDS as in 1..20");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// All of it at once, drawn from a seed; true if nothing old was served.
fn storm(seed: u64) -> bool {
    let mut draw = Draw::new(seed);
    draw.below(1);
    let mut habits = Habits {
        bound: milliseconds([100, 150, 200, 300, 500][draw.below(5) as usize]),
        held_back: milliseconds([0, 200, 600, 1_000][draw.below(4) as usize]),
        tells_position: draw.below(2) == 0,
        position_as_taken: seed.is_multiple_of(2),
        greets_with_role: false,
    };
    let faults = Faults::new(seed);
    let wrong = [0, 0, -150, 300, -1_000][draw.below(5) as usize];
    let semantics = ["pure", "pure", "side_effect"][draw.below(3) as usize];
    let variants: [&[(&str, &str)]; 4] = [
        &[],
        &[(r#""cancel":true"#, r#""cancel":false"#)],
        &[(r#""max_attempts":6"#, r#""max_attempts":2"#)],
        &[(r#""token_mode":"remembered""#, r#""token_mode":"remembered","progress_told":true"#)],
    ];
    let extra = variants[draw.below(4) as usize];
    let waits = [PATIENT, IMPATIENT][draw.below(2) as usize];
    let sends = [0, 30_000, 125_000][draw.below(3) as usize];
    let clocks = [0, 300][draw.below(2) as usize];
    let receives = [0, 300_000][draw.below(2) as usize];
    let short_sends = [0, 300_000][draw.below(2) as usize];
    let (pauses, hands, stops) = (draw.below(3) > 0, draw.below(3) > 0, draw.below(3) == 0);
    let every = milliseconds([300, 600, 1_500][draw.below(3) as usize]);
    habits.greets_with_role = draw.below(2) == 0;
    let trouble = draw.below(4);
    let cluster = Cluster::start(MEMBERS, habits);
    println!(
        "seed {seed}: {habits:?}, trouble {trouble}, wall clock {wrong} ms, {semantics}, {extra:?}, waits {waits:?}"
    );
    faults.step_wall_clock(wrong);
    let router = router(&[&cluster], habits, semantics, &faults, extra);
    faults.set(Fault::HeldSend, sends);
    faults.set(Fault::HeldUp, clocks);
    faults.set(Fault::ShortReceive, receives);
    faults.set(Fault::ShortSend, short_sends);
    let outcome = play(&router, &[&cluster], habits, waits, |until| {
        thread::scope(|scope| {
            scope.spawn(|| {
                if pauses {
                    pause_replicas(&cluster, habits.bound, until)
                }
            });
            scope.spawn(|| {
                if hands {
                    match trouble {
                        0 => hang_primaries(&cluster, seed, until),
                        1 => stand_still_by_turns(&cluster, until),
                        _ => hand_round(&cluster, every, until),
                    }
                }
            });
            while Instant::now() < until {
                thread::sleep(milliseconds(50 + draw.below(300)));
                if stops {
                    router.signal("-STOP");
                    thread::sleep(milliseconds(draw.below(200)));
                    router.signal("-CONT");
                }
            }
        });
    });
    println!("seed {seed}: {} of {} served, {} stale", outcome.served, outcome.asked, outcome.stale.len());
    outcome.stale.is_empty()
}

#[rstest]
fn a_storm_of_all_this_serves_nothing_stale() {
    let broken: Vec<u64> = seeds().filter(|seed| !storm(*seed)).collect();
    assert!(broken.is_empty(), "seeds: {broken:?}");
}
