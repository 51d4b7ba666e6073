//! Formulas against known values and against played fleets, and each answer's hard cases.

use super::*;
use rstest::rstest;
use std::sync::Arc;
use vetchkeel_capture::{Ending, Record};
use vetchkeel_emulated::{Draw, SECOND, TrafficPlan};
use vetchkeel_lab::experiment::fleet_of;
use vetchkeel_lab::setup::Setup;
use vetchkeel_lab::sim::simulate;
use vetchkeel_operator::OperatorFile;

/// Two sets of three members of four cores: reads of 20 ms, writes of 15 ms.
const FLEET: &str = r#"
fleet {
  zones = ["north", "south"]
  sets = 2
  routers = 3
  machine "std" {
    cores = 4
    queue = 60
  }
}
command_group "look" {
  share = 0.75
  access = "bounded"
  bound = "300ms"
  work = lognormal("20ms", 0.8)
  target = "250ms"
  timeout = "1s"
}
command_group "order" {
  share = 0.25
  access = "write"
  work = lognormal("15ms", 0.6)
  target = "500ms"
  timeout = "3s"
}
"#;

const ROOM: RouterRoom =
    RouterRoom { cores: 1.0, cost: 150e-6, memory: 2e8, held: 16_384.0, descriptors: 1_024.0 };

fn setup(from: &str, to: &str) -> Setup {
    assert!(FLEET.contains(from), "{from}");
    let file = OperatorFile::parse("f.hcl", &FLEET.replacen(from, to, 1)).expect("HCL");
    fleet_of(&file.root()).expect("a fleet")
}

fn first(setup: &Setup, lag: f64) -> Limit {
    limits(&setup.plan, &setup.traffic, &ROOM, 100.0, 0.99, lag).swap_remove(0)
}

// ---- queues ----

#[rstest]
#[case::one_core(1, 0.5, 0.5)]
#[case::two_cores(2, 1.0, 1.0 / 3.0)]
#[case::full(2, 2.0, 1.0)]
fn the_chance_to_wait_is_erlangs(#[case] cores: usize, #[case] load: f64, #[case] waits: f64) {
    let classes = vec![Class { rate: load, service: 1.0, scatter: 1.0 }];
    let (found, _) = Station { cores, classes, gaps: 1.0 }.wait();
    assert!((found - waits).abs() < 1e-9, "{found}");
}

/// M/M/1 at one half: the time is exponential with a mean of two services.
#[rstest]
fn waiting_and_its_tail_are_those_of_one_core() {
    let class = Class { rate: 0.5, service: 1.0, scatter: 1.0 };
    let station = Station { cores: 1, classes: vec![class], gaps: 1.0 };
    assert!((station.mean_time(&class) - 2.0).abs() < 1e-9);
    let late = station.later_than(&class, 6.0);
    assert!((late - (-3.0f64).exp()).abs() < 0.015, "{late}");
}

#[rstest]
#[case::room(0.5, 60, 0.0, 1e-6)]
#[case::little_room(0.9, 2, 0.3, 0.9)]
#[case::beyond_full(2.0, 60, 0.49, 0.51)]
fn a_line_overflows(#[case] load: f64, #[case] room: usize, #[case] least: f64, #[case] most: f64) {
    let classes = vec![Class { rate: load, service: 1.0, scatter: 1.0 }];
    let part = Station { cores: 1, classes, gaps: 1.0 }.overflows(room);
    assert!((least..=most).contains(&part), "{part}");
}

// ---- limits ----

#[rstest]
#[case::reads("share = 0.75", "share = 0.9", 1.0, |r: &Resource| matches!(r, Resource::Target { group: 0, .. } | Resource::Queue { primary: false, .. } | Resource::Pace))]
#[case::writes("share = 0.75", "share = 0.05", 1.0, |r: &Resource| matches!(r, Resource::Target { group: 1, .. } | Resource::Apply { .. } | Resource::Queue { primary: true, .. }))]
#[case::apply("sets = 2", "sets = 2\n  copying {\n    apply = \"20ms\"\n  }", 1.0, |r: &Resource| matches!(r, Resource::Apply { .. } | Resource::Target { group: 0, .. }))]
#[case::a_slow_log("share = 0.75", "share = 0.5", 10.0, |r: &Resource| matches!(r, Resource::Apply { .. } | Resource::Target { .. }))]
#[case::connections("queue = 60", "queue = 60\n    connections = 5", 1.0, |r: &Resource| matches!(r, Resource::Connections { .. }))]
#[case::a_router("routers = 3", "routers = 1", 1.0, |_: &Resource| true)]
fn the_first_limit_is_named(
    #[case] from: &str,
    #[case] to: &str,
    #[case] lag: f64,
    #[case] named: fn(&Resource) -> bool,
) {
    let limit = first(&setup(from, to), lag);
    assert!(named(&limit.resource), "{limit:?}");
}

/// Reads that any member may answer, wanted in more than the tightest bound, keep to one replica: the others don't help.
#[rstest]
#[case::short("200ms", false)]
#[case::long("400ms", true)]
fn long_reads_fill_one_replica(#[case] target: &str, #[case] one: bool) {
    let group = format!(
        "command_group \"any\" {{\n share = 3\n access = \"any\"\n work = \"20ms\"\n target = \"{target}\"\n timeout = \"2s\"\n}}\n"
    );
    let s = setup("command_group \"order\"", &format!("{group}command_group \"order\""));
    let limit = first(&s, 1.0);
    let named = matches!(limit.resource, Resource::LongReads { .. } | Resource::Target { group: 1, .. });
    assert!(!one || named, "{limit:?}");
    let below = played(&s, 0.85 * limit.rate);
    assert!(below >= 0.99, "{limit:?} {below}");
}

#[rstest]
fn a_limit_moves_when_the_first_is_mended() {
    let before = first(&setup("sets = 2", "sets = 2"), 1.0);
    let after = first(&setup("sets = 2", "sets = 2\n  members = 5"), 1.0);
    assert!(after.rate > 1.2 * before.rate, "{before:?} {after:?}");
}

/// Surge: warnings rise to half of all, and the primary is what runs out.
#[rstest]
fn a_surge_of_writes_moves_the_limit_to_the_primary() {
    let usual = first(&setup("share = 0.25", "share = 0.25"), 1.0);
    let surge = first(&setup("share = 0.25", "share = 0.75"), 1.0);
    assert!(
        surge.rate < usual.rate && !matches!(surge.resource, Resource::Target { group: 0, .. }),
        "{surge:?}"
    );
}

/// Part answered in target when this rate is played on the busiest set alone.
fn played(setup: &Setup, rate: f64) -> f64 {
    let mut played = setup.clone();
    played.traffic.rate = rate;
    played.length = 12 * SECOND;
    played.traffic.until = played.length;
    let runs: Vec<_> = (1..=2).map(|seed| simulate(&played, seed).expect("plays")).collect();
    let group = |i: usize| {
        let (asked, met) =
            runs.iter().fold((0, 0), |a, r| (a.0 + r.groups[i].asked, a.1 + r.groups[i].in_target));
        met as f64 / asked as f64
    };
    (0..setup.plan.groups.len()).map(group).fold(1.0, f64::min)
}

/// The formula's first limit is within 15 in a hundred of where the played fleet begins to miss its goal.
#[rstest]
#[case::usual("share = 0.25", "share = 0.25")]
#[case::more_members("sets = 2", "sets = 2\n  members = 4")]
#[case::few_cores("cores = 4", "cores = 2")]
#[case::fast_cores("cores = 4", "cores = 4\n    speed = 2")]
#[case::little_scatter("lognormal(\"20ms\", 0.8)", "lognormal(\"20ms\", 0.2)")]
#[case::long_target("target = \"250ms\"", "target = \"500ms\"")]
#[case::many_writes("share = 0.25", "share = 1.5")]
fn formulas_hold_against_played_fleets(#[case] from: &str, #[case] to: &str) {
    let setup = setup(from, to);
    let limit = first(&setup, 1.0);
    let (below, above) = (played(&setup, 0.85 * limit.rate), played(&setup, 1.15 * limit.rate));
    assert!(below >= 0.99 && above < 0.99, "{limit:?} {below} {above}");
}

// ---- sizes ----

#[rstest]
#[case::as_it_is(400.0, false, 6)]
#[case::more_replicas(1_800.0, false, 8)]
#[case::more_sets(4_000.0, true, 18)]
fn fewer_members_come_first(#[case] rate: f64, #[case] split: bool, #[case] least: usize) {
    let s = setup("share = 0.25", "share = 0.25");
    let found = candidates(&s.plan, &s.traffic, &ROOM, rate, 0.99, split, 60);
    let sizes: Vec<usize> = found.iter().map(|c| c.sets * c.members).collect();
    assert!(
        sizes.is_sorted() && sizes.first().is_some_and(|n| (least.saturating_sub(4)..=least + 4).contains(n)),
        "{sizes:?}"
    );
}

#[rstest]
#[case::a_primary_cannot_be_split_by_replicas(4_000.0, false, true)]
#[case::unless_sets_may_be_split(4_000.0, true, false)]
#[case::room_enough(400.0, false, false)]
fn what_no_number_of_members_meets(#[case] rate: f64, #[case] split: bool, #[case] none: bool) {
    let s = setup("share = 0.25", "share = 0.25");
    let why = impossible(&s.plan, &s.traffic, rate, 0.99, split);
    assert_eq!(matches!(why, Some(Impossible::PrimaryFull { .. })), none, "{why:?}");
}

#[rstest]
fn work_longer_than_its_target_is_told() {
    let s = setup("target = \"250ms\"", "target = \"30ms\"");
    let why = impossible(&s.plan, &s.traffic, 10.0, 0.99, true);
    assert!(
        matches!(why, Some(Impossible::WorkTooLong { group: 0, at_most }) if (0.8..0.95).contains(&at_most)),
        "{why:?}"
    );
}

// ---- places ----

#[rstest]
fn a_restart_never_takes_two_of_a_set_and_primaries_come_last() {
    let s = setup("sets = 2", "sets = 4");
    let steps = restart_order(&s.plan, &s.traffic, 0.3);
    let mut seen: Vec<usize> = steps.iter().flat_map(|s| s.members.clone()).collect();
    for step in &steps {
        let mut sets: Vec<usize> = step.members.iter().map(|m| m / 3).collect();
        sets.dedup();
        assert_eq!(sets.len(), step.members.len(), "{step:?}");
        assert!(step.pause >= s.plan.warming.over);
    }
    let first_primary = seen.iter().position(|m| m % 3 == 0).unwrap_or(0);
    assert!(seen[first_primary..].iter().all(|m| m % 3 == 0));
    seen.sort_unstable();
    assert_eq!(seen, (0..12).collect::<Vec<usize>>());
}

#[rstest]
#[case::writes("share = 0.75", "share = 0.05", true)]
#[case::reads("share = 0.25", "share = 0.02", false)]
fn a_set_is_split_where_its_primary_runs_out(#[case] from: &str, #[case] to: &str, #[case] splits: bool) {
    let s = setup(from, to);
    let first_few: Vec<Limit> =
        limits(&s.plan, &s.traffic, &ROOM, 100.0, 0.99, 1.0).into_iter().take(4).collect();
    assert_eq!(split(&first_few).is_some(), splits, "{first_few:?}");
}

// ---- captures ----

fn record(second: i64, i: i64, ending: Ending) -> Record {
    let group: Arc<str> = Arc::from(if i % 4 == 0 { "order" } else { "look" });
    Record {
        arrived: second * SECOND + i * 9_000,
        command_group: group,
        customer: Some(Arc::from(if i % 5 == 0 { "b" } else { "a" })),
        member: None,
        set: i % 2,
        session: i as u64 % 30 + 1,
        time_left: 1_000_000,
        waited: 1_000,
        latency: if ending == Ending::Answered { 21_000 } else { 900_000 },
        ending,
        dispatches: 1,
        bytes: 0,
    }
}

#[rstest]
fn a_load_is_read_from_a_capture_and_seconds_of_trouble_are_left_out() {
    let ending = |second| if second == 4 { Ending::Throttled } else { Ending::Answered };
    let records: Vec<Record> = (0..11).flat_map(|s| (0..100).map(move |i| record(s, i, ending(s)))).collect();
    let load = load(&records, 3).expect("enough");
    assert_eq!((load.rate.mean, load.troubled, load.sessions), (100.0, 1, 30));
    let order = &load.groups[1];
    assert!(order.name == "order" && (order.share.mean - 0.25).abs() < 1e-9 && order.share.low < 0.25);
    let seen = load.groups[0].at_member.expect("enough times");
    assert_eq!((seen.p50, seen.p99), (20.0, 20.0));
    assert!(
        load.untold.iter().any(|u| u.contains("1 of 10 seconds"))
            && load.untold.iter().any(|u| u.contains("3 commands"))
    );
}

#[rstest]
fn too_little_is_no_load() {
    let records: Vec<Record> = (0..50).map(|i| record(0, i, Ending::Answered)).collect();
    assert!(load(&records, 0).is_err_and(|e| e.contains("expected a capture of 3 s")));
}

/// A play in which times are the work and a third of it: the fit must find the work behind that.
#[rstest]
#[case::begun_right(1.0)]
#[case::begun_far_too_high(4.0)]
#[case::begun_far_too_low(0.2)]
fn a_fit_finds_the_work_behind_the_times(#[case] begun: f64) {
    let show = |s: &Shape| {
        let at = |z: f64| 1.33 * s.middle * (s.sigma * z).exp();
        let (p25, p50, p75, p90, p99) = (at(-0.6745), at(0.0), at(0.6745), at(1.2816), at(2.3263));
        Quantiles { count: 1_000, mean: 1.33 * s.mean(), p25, p50, p75, p90, p99 }
    };
    let truth = Shape { middle: 20.0, sigma: 0.7 };
    let seen = [show(&truth)];
    let start = [Shape { middle: 20.0 * begun, sigma: 0.3 }];
    // Much too much work leaves too little answered to tell.
    let play = |s: &[Shape]| Ok(vec![(s[0].middle < 60.0).then(|| show(&s[0]))]);
    let fitted = refine(&seen, &start, 20, play).expect("plays")[0];
    assert!((fitted.shape.mean() / truth.mean() - 1.0).abs() < 0.02 && fitted.off < 0.02, "{fitted:?}");
}

#[rstest]
#[case::even(&[5.0, 5.0, 5.0], 5.0, 5.0)]
#[case::apart(&[2.0, 4.0, 6.0], 0.0, 8.968)]
fn estimates_have_intervals(#[case] values: &[f64], #[case] low: f64, #[case] high: f64) {
    let e = Estimate::of(values);
    assert!((e.low - low).abs() < 0.01 && (e.high - high).abs() < 0.01, "{e:?}");
}

#[rstest]
fn traffic_and_draws_are_those_of_the_fleet() {
    let s = setup("share = 0.25", "share = 0.25");
    let TrafficPlan { sets, .. } = &s.traffic;
    let asked = demand(&s.plan, &s.traffic, 400.0, 0, 1.0);
    assert!(sets.len() == 2 && matches!(s.plan.groups[0].work, Draw::LogNormal(..)));
    // Half of 400, a quarter of that writes of 15 ms, on four cores.
    assert!((asked.primary.usage() - 50.0 * 0.015 / 4.0).abs() < 1e-9);
    assert!((asked.apply - 50.0 * 0.004).abs() < 1e-9);
}
