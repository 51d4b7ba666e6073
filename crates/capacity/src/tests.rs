//! Sizes and slopes read or refused by name; needs against hand-worked ones; and properties that hold for every row.

use super::*;
use nanorand::{Rng, WyRand};
use rstest::rstest;
use std::collections::BTreeSet;
use vetchkeel_operator::OperatorFile;

const SIZE: &str = r#"
routers = 2100
members = 4900
sets = 1225
regions = 4
zones = 11
client_connections = 15000000
statements_a_second = 7500000
router {
  cores = 1
  memory_mb = 1024
  bytes_a_second = 1e8
  descriptors = 16384
  connection_idle = "15s"
}
control {
  cores = 0.023
  memory_mb = 256
  bytes_a_second = 5000
}
control_machines {
  count = 20
  least = 10
  cores = 8
  memory_mb = 16384
  bytes_a_second = 1e8
  descriptors = 65536
}
member {
  cores = 1
  memory_mb = 8192
  bytes_a_second = 1e6
  connections = 800
  dials_a_second = 100
  probes_a_second = 1000
}
primary_changes {
  a_day = 5
  within = "15s"
}
configuration {
  a_day = 6400
  within = "14s"
  document_kb = 256
  change_bytes = 400
}
machines {
  failed_a_day = 15
  restarted_a_day = 830
  in_a_rack = 40
  rows_a_machine = 3
}
apart {
  length = "1h"
}
over {
  machine = "60s"
  rack = "60s"
  zone = "60s"
  regions = "60s"
  wave = "10min"
  start = "10min"
}
shared {
  topics = 16
}
feeds {
  gateways = 100
  subscriptions = 1000000
  pushes_a_second = 2000000
  cores = 8
  memory_mb = 4096
  bytes_a_second = 1e8
  descriptors = 16384
}
embargo {
  edges = 2100
  bulletins = 1000
  cores = 1
  memory_mb = 256
  bytes_a_second = 1e6
  descriptors = 4096
}
"#;

const SLOPE: &str = r#"slope "module.list.memory" {
  unit = "bytes"
  per = "member"
  base = 100
  value = 2000
  low = 1900
  high = 2200
  residual = 0.02
  largest = 2450
  sizes = [50, 500, 1000, 1225, 2450]
  runs = 3
  kind = "measured"
  command = "vetchkeel lab slopes --only module.list.memory"
  cores = 8
}
"#;

const THERE: Built = Built { configuration: true };
const GONE: Built = Built { configuration: false };

fn size() -> Size {
    Size::read(&OperatorFile::parse("size.hcl", SIZE).expect("HCL")).expect("a size")
}

fn read(text: &str) -> Slopes {
    Slopes::read(&OperatorFile::parse("slopes.hcl", text).expect("HCL")).expect("slopes")
}

fn outcomes(page: &Page) -> impl Iterator<Item = (&'static str, &Outcome)> {
    let events = page.events.iter().map(|e| (e.does, &e.over));
    let constants = page.constants.iter().filter_map(|c| Some((c.name, c.outcome.as_ref()?)));
    page.rows.iter().map(|r| (r.what, &r.outcome)).chain(events).chain(constants)
}

/// Every slope that the page asks for.
fn names() -> BTreeSet<String> {
    let page = page(&size(), &Slopes::default(), THERE);
    let peaks = page.events.iter().filter_map(|e| e.peak.as_ref().map(|(_, outcome)| outcome));
    let all = outcomes(&page).map(|(_, outcome)| outcome).chain(peaks);
    let missing = all.filter_map(|outcome| match outcome {
        Outcome::NotMeasured(missing) => Some(missing.clone()),
        _ => None,
    });
    missing.flatten().collect()
}

/// What a slope counts, by its name.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Counts {
    Time,
    Bytes,
    Pieces,
}

fn counts(name: &str) -> Counts {
    let time = [".cpu.", "router.list.change", "module.list.whole", "list.whole.read", "in_force", "accept"];
    let bytes = ["memory", "bytes", "list.silent"];
    match name {
        n if time.iter().any(|t| n.contains(t)) => Counts::Time,
        n if bytes.iter().any(|t| n.contains(t)) => Counts::Bytes,
        _ => Counts::Pieces,
    }
}

/// A table of every slope, drawn by a seed; those that count `of` are `times` as much.
fn drawn(seed: u64, of: Counts, times: f64) -> Slopes {
    let mut chance = WyRand::new_seed(seed);
    let mut text = String::new();
    for name in names() {
        let factor = if counts(&name) == of { times } else { 1.0 };
        let value = factor * (1.0 + chance.generate_range(0..1_000u32) as f64) / 1e6;
        let base = factor * chance.generate_range(0..1_000u32) as f64 / 1e6;
        text += &SLOPE
            .replace("module.list.memory", &name)
            .replace("base = 100", &format!("base = {base}"))
            .replace("value = 2000", &format!("value = {value}"))
            .replace("low = 1900", &format!("low = {}", 0.9 * value))
            .replace("high = 2200", &format!("high = {}", 1.1 * value));
    }
    read(&text)
}

fn slopes(seed: u64) -> Slopes {
    drawn(seed, Counts::Time, 1.0)
}

fn near(found: f64, expected: f64) -> bool {
    (found - expected).abs() <= 1e-9 * found.abs().max(expected.abs())
}

fn figure(outcome: &Outcome) -> &Figure {
    match outcome {
        Outcome::Figure(figure) => figure,
        other => panic!("expected a figure, found {other:?}"),
    }
}

fn row<'a>(page: &'a Page, what: &str) -> &'a Row {
    page.rows.iter().find(|r| r.what == what).unwrap_or_else(|| panic!("expected a row {what}"))
}

/// The row of another page that asks for the same.
fn same<'a>(page: &'a Page, row: &Row) -> &'a Row {
    let found = page.rows.iter().find(|r| (r.role, r.what) == (row.role, row.what));
    found.unwrap_or_else(|| panic!("expected a row {}", row.what))
}

// ---- reading ----

#[rstest]
#[case::missing("members = 4900\n", "", "size.hcl:1:1: expected a value for members, found none")]
#[case::missing_in_a_block(
    "  least = 10\n",
    "",
    "size.hcl:21:1: expected a value for control_machines.least, found none"
)]
#[case::missing_block(
    "shared {\n  topics = 16\n}\n",
    "",
    "size.hcl:1:1: expected a block shared, found none"
)]
#[case::no_number(
    "routers = 2100",
    "routers = \"many\"",
    "size.hcl:2:11: expected a whole number from 1 to 1000000000 for routers, found \"many\""
)]
#[case::nothing(
    "routers = 2100",
    "routers = 0",
    "size.hcl:2:11: expected a whole number from 1 to 1000000000 for routers, found 0"
)]
#[case::no_time(
    "within = \"14s\"",
    "within = 14",
    "size.hcl:43:12: expected a time such as \"250ms\" from 1ms to 86400s for configuration.within, found 14"
)]
#[case::nothing_allowed(
    "cores = 0.023",
    "cores = 0",
    "size.hcl:17:11: expected a number above 0 and up to 1000000000000 for control.cores, found 0"
)]
#[case::more_sets_than_members(
    "sets = 1225",
    "sets = 4901",
    "size.hcl:4:8: expected at most the 4900 of members for sets, found 4901"
)]
#[case::more_regions_than_zones(
    "regions = 4",
    "regions = 12",
    "size.hcl:5:11: expected at most the 11 of zones for regions, found 12"
)]
#[case::more_left_than_there(
    "least = 10",
    "least = 21",
    "size.hcl:23:11: expected at most the 20 of control_machines.count for control_machines.least, found 21"
)]
#[case::unknown(
    "routers = 2100",
    "routers = 2100\nrooters = 1",
    "size.hcl:3:1: expected one of apart, client_connections,"
)]
#[case::unknown_in_a_block(
    "topics = 16",
    "topics = 16\n  tpics = 1",
    "size.hcl:66:3: expected one of topics in shared, found tpics"
)]
fn a_size_is_refused_with_its_place(#[case] from: &str, #[case] to: &str, #[case] why: &str) {
    assert!(SIZE.contains(from), "{from}");
    let text = SIZE.replacen(from, to, 1);
    let found =
        Size::read(&OperatorFile::parse("size.hcl", &text).expect("HCL")).expect_err("refused").to_string();
    assert!(found.starts_with(why), "{found}");
}

#[rstest]
#[case::no_name(
    "slope \"module.list.memory\" {",
    "slope {",
    "slopes.hcl:1:1: expected a name behind slope, found none"
)]
#[case::missing(
    "  base = 100\n",
    "",
    "slopes.hcl:1:1: expected a value for slope.module.list.memory.base, found none"
)]
#[case::low_above(
    "low = 1900",
    "low = 2001",
    "slopes.hcl:6:9: expected at most value, 2000, for slope.module.list.memory.low, found 2001"
)]
#[case::high_below(
    "high = 2200",
    "high = 1999",
    "slopes.hcl:7:10: expected at least value, 2000, for slope.module.list.memory.high, found 1999"
)]
#[case::few_sizes(
    "sizes = [50, 500, 1000, 1225, 2450]",
    "sizes = [50, 500, 1225, 2450]",
    "slopes.hcl:10:11: expected 5 sizes or more, each larger than the one before,"
)]
#[case::sizes_not_in_order(
    "[50, 500,",
    "[500, 50,",
    "slopes.hcl:10:11: expected 5 sizes or more, each larger"
)]
#[case::largest_is_another(
    "largest = 2450",
    "largest = 4900",
    "slopes.hcl:9:13: expected the last of sizes, 2450,"
)]
#[case::few_runs("runs = 3", "runs = 2", "slopes.hcl:11:10: expected a whole number from 3")]
#[case::kind("\"measured\"", "\"guessed\"", "slopes.hcl:12:10: expected one of \"measured\", \"simulated\"")]
#[case::few_means(
    "runs = 3",
    "means = [1, 2]\n  runs = 3",
    "slopes.hcl:11:11: expected 5 numbers, one a size,"
)]
#[case::twice(
    "cores = 8\n}\n",
    "cores = 8\n}\nslope \"module.list.memory\" {}\n",
    "slopes.hcl:16:1: expected slope.module.list.memory once"
)]
#[case::unknown(
    "cores = 8",
    "coers = 8",
    "slopes.hcl:1:1: expected a value for slope.module.list.memory.cores"
)]
#[case::unknown_beside("cores = 8", "cores = 8\n  age = 1", "slopes.hcl:15:3: expected one of base,")]
fn a_slope_is_refused_with_its_place(#[case] from: &str, #[case] to: &str, #[case] why: &str) {
    assert!(SLOPE.contains(from), "{from}");
    let text = SLOPE.replacen(from, to, 1);
    let file = OperatorFile::parse("slopes.hcl", &text).expect("HCL");
    let found = Slopes::read(&file).expect_err("refused").to_string();
    assert!(found.starts_with(why), "{found}");
}

// ---- single figures ----

/// 100 + 2,000 x 4,900 bytes of 256 MB, over twice as far as was played.
#[rstest]
fn a_need_is_base_and_slope_times_the_size() {
    let page = page(&size(), &read(SLOPE), GONE);
    let found = figure(&row(&page, "memory, the module's tables of the list").outcome);
    assert_eq!((found.need, found.low, found.high), (9_800_100.0, 9_310_100.0, 10_780_100.0));
    assert!(near(found.ratio, 9_800_100.0 / 256e6), "{}", found.ratio);
    assert!(found.share.is_some_and(|s| near(s, (256e6 - 100.0) / 9.8e6)), "{:?}", found.share);
    assert!(found.beyond() == 2.0 && !found.simulated(), "{:?}", found.used);
}

/// Lines through runs that agree differ in their last digits, whichever way.
#[rstest]
#[case::low("low = 1900", "low = 2000.0000001")]
#[case::high("high = 2200", "high = 1999.9999999")]
fn rounding_is_no_fault_of_a_slope(#[case] from: &str, #[case] to: &str) {
    let slopes = read(&SLOPE.replacen(from, to, 1));
    let slope = slopes.get("module.list.memory").expect("there");
    assert!(slope.low <= slope.value && slope.value <= slope.high, "{slope:?}");
}

/// A fit that came out below nothing costs nothing, whatever the size.
#[rstest]
fn nothing_gets_cheaper_by_being_more() {
    let text = SLOPE.replace("value = 2000", "value = -1").replace("low = 1900", "low = -2");
    let page = page(&size(), &read(&text), GONE);
    let found = figure(&row(&page, "memory, the module's tables of the list").outcome);
    assert_eq!((found.need, found.low, found.share), (100.0, 100.0, None));
}

#[rstest]
fn what_needs_more_than_is_allowed_at_nothing_gives_way_at_once() {
    let page = page(&size(), &read(&SLOPE.replace("base = 100", "base = 3e8")), GONE);
    let found = figure(&row(&page, "memory, the module's tables of the list").outcome);
    assert_eq!(found.share, Some(0.0));
}

#[rstest]
fn a_simulated_slope_is_said_to_be_one() {
    let page = page(&size(), &read(&SLOPE.replace("\"measured\"", "\"simulated\"")), GONE);
    assert!(figure(&row(&page, "memory, the module's tables of the list").outcome).simulated());
}

const IN_FORCE: &str = "a change of configuration in force everywhere without a start";

/// What can't be done stands first, and what belongs to it is left out; where it is there, it is a figure like all others.
#[rstest]
fn what_is_not_built_can_not_be_done() {
    let (before, after) = (page(&size(), &slopes(1), GONE), page(&size(), &slopes(1), THERE));
    assert!(
        before.rows[0].what == IN_FORCE && before.rows[0].outcome.share() == Some(0.0),
        "{:?}",
        before.rows[0]
    );
    assert!(matches!(before.rows[0].outcome, Outcome::Impossible(_)));
    let machines = |page: &Page| page.rows.iter().filter(|r| r.role == Role::ControlMachine).count();
    assert!(machines(&before) == 0 && machines(&after) > 0);
    let wanted = figure(&row(&after, IN_FORCE).outcome);
    assert!(near(wanted.allowance, 14.0), "{wanted:?}");
    let event = |page: &Page| page.events.iter().filter(|e| e.event == Event::Configuration).count();
    assert_eq!((event(&before), event(&after)), (1, 2));
}

#[rstest]
fn smallest_shares_come_first_and_the_unknown_last() {
    for seed in 0..8 {
        let page = page(&size(), &slopes(seed).without("module.list.memory"), GONE);
        let shares: Vec<f64> = page.rows.iter().filter_map(|r| r.outcome.share()).collect();
        assert!(shares.is_sorted() && shares.len() > 10, "{shares:?}");
        let last = page.rows.last().expect("rows");
        assert_eq!(last.outcome, Outcome::NotMeasured(vec!["module.list.memory".into()]));
    }
}

// ---- properties ----

/// Sizes that grow, those together of which one is a part of the other: a router brings its clients along, members their sets.
#[rstest]
#[case::routers(|s: &mut Size, f| { s.routers *= f; s.client_connections *= f; s.statements *= f; })]
#[case::members(|s: &mut Size, f| s.members *= f)]
#[case::members_and_sets(|s: &mut Size, f| { s.members *= f; s.sets *= f; })]
#[case::clients(|s: &mut Size, f| s.client_connections *= f)]
#[case::statements(|s: &mut Size, f| s.statements *= f)]
#[case::primary_changes(|s: &mut Size, f| s.primary_changes.a_day *= f)]
#[case::changes(|s: &mut Size, f| s.configuration.a_day *= f)]
#[case::document(|s: &mut Size, f| s.document *= f)]
#[case::failed(|s: &mut Size, f| s.machines.failed_a_day *= f)]
#[case::restarted(|s: &mut Size, f| s.machines.restarted_a_day *= f)]
#[case::rack(|s: &mut Size, f| s.machines.in_a_rack *= f)]
#[case::rows(|s: &mut Size, f| s.machines.rows *= f)]
#[case::apart(|s: &mut Size, f| s.apart *= f)]
#[case::topics(|s: &mut Size, f| s.shared_topics *= f)]
#[case::subscriptions(|s: &mut Size, f| s.feeds.subscriptions *= f)]
#[case::pushes(|s: &mut Size, f| s.feeds.pushes *= f)]
#[case::edges(|s: &mut Size, f| s.embargo.edges *= f)]
#[case::bulletins(|s: &mut Size, f| s.embargo.bulletins *= f)]
fn no_need_falls_and_some_need_grows_with_a_size(#[case] grow: fn(&mut Size, f64)) {
    for seed in 0..8 {
        let factor = 1.0 + WyRand::new_seed(seed).generate_range(1..100u32) as f64 / 10.0;
        let mut larger = size();
        grow(&mut larger, factor);
        let (less, more) = (page(&size(), &slopes(seed), THERE), page(&larger, &slopes(seed), THERE));
        let by_name = |page: &Page, members: f64| -> Vec<(&str, f64)> {
            // Of databases, what all of them need: one of more has a smaller part.
            let all = |role: Role| if role == Role::Database { members } else { 1.0 };
            let rows = page.rows.iter().map(|r| (r.what, all(r.role) * figure(&r.outcome).need));
            let events = page.events.iter().map(|e| (e.does, all(e.role) * figure(&e.over).need));
            let bounds =
                page.constants.iter().filter_map(|c| Some((c.name, figure(c.outcome.as_ref()?).need)));
            let mut all: Vec<_> = rows.chain(events).chain(bounds).collect();
            all.sort_by(|a, b| a.0.cmp(b.0));
            all
        };
        let (less, more) = (by_name(&less, size().members), by_name(&more, larger.members));
        let mut grown = 0;
        for ((what, less), (_, more)) in less.iter().zip(more) {
            assert!(more >= *less * (1.0 - 1e-12), "{what}: {less} to {more} by {factor}");
            grown += usize::from(more > *less);
        }
        assert!(grown > 0, "nothing grew by {factor}");
    }
}

/// Each row rests on something that is counted: none stays as it is where all of it is three times as much.
#[rstest]
fn every_row_grows_with_the_size() {
    let (one, three) = (page(&size(), &slopes(1), THERE), page(&at_share(3.0), &slopes(1), THERE));
    for row in &one.rows {
        let (less, more) = (figure(&row.outcome).need, figure(&same(&three, row).outcome).need);
        assert!(more > less, "{}: {less} and {more}", row.what);
    }
}

/// Everything that is counted so many times as often; what one router has of clients and statements, too.
fn at_share(s: f64) -> Size {
    let mut size = size();
    for value in
        [&mut size.routers, &mut size.members, &mut size.sets, &mut size.document, &mut size.shared_topics]
    {
        *value *= s;
    }
    (size.client_connections, size.statements) = (size.client_connections * s * s, size.statements * s * s);
    let machines = &mut size.machines;
    let days = [&mut machines.failed_a_day, &mut machines.restarted_a_day, &mut machines.in_a_rack];
    days.into_iter().for_each(|value| *value *= s);
    (size.primary_changes.a_day, size.configuration.a_day) =
        (size.primary_changes.a_day * s, size.configuration.a_day * s);
    (size.feeds.subscriptions, size.feeds.pushes) = (size.feeds.subscriptions * s, size.feeds.pushes * s);
    (size.embargo.edges, size.embargo.bulletins) = (size.embargo.edges * s, size.embargo.bulletins * s);
    size
}

/// The share tells where: a size made so by hand needs what is allowed, to the last digits.
#[rstest]
fn at_the_share_where_it_gives_way_the_need_is_the_allowance() {
    for seed in 0..4 {
        let slopes = slopes(seed);
        let here = page(&size(), &slopes, THERE);
        for row in &here.rows {
            let found = figure(&row.outcome);
            let Some(share) = found.share else { continue };
            let there = page(&at_share(share), &slopes, THERE);
            let need = figure(&same(&there, row).outcome).need;
            assert!((need / found.allowance - 1.0).abs() < 1e-6, "{}: {need} at {share}", row.what);
            assert_eq!(share >= 1.0, found.ratio <= 1.0, "{}", row.what);
        }
    }
}

#[rstest]
fn twice_the_allowances_halve_every_ratio() {
    let mut ample = size();
    for room in [
        &mut ample.router.room,
        &mut ample.control,
        &mut ample.control_machines.room,
        &mut ample.feeds.room,
        &mut ample.member.room,
        &mut ample.embargo.room,
    ] {
        (room.cores, room.memory, room.bytes) = (2.0 * room.cores, 2.0 * room.memory, 2.0 * room.bytes);
    }
    let m = &mut ample.member;
    (m.connections, m.dials, m.probes) = (2.0 * m.connections, 2.0 * m.dials, 2.0 * m.probes);
    (ample.feeds.descriptors, ample.embargo.descriptors) =
        (2.0 * ample.feeds.descriptors, 2.0 * ample.embargo.descriptors);
    ample.router.descriptors *= 2.0;
    ample.control_machines.descriptors *= 2.0;
    ample.configuration.within *= 2.0;
    for seed in 0..8 {
        let (little, much) = (page(&size(), &slopes(seed), THERE), page(&ample, &slopes(seed), THERE));
        for row in &little.rows {
            let other = same(&much, row);
            let (one, half) = (figure(&row.outcome).ratio, figure(&other.outcome).ratio);
            assert!(near(one, 2.0 * half), "{}: {one} and {half}", row.what);
        }
    }
}

/// Needs of a unit grow with the slopes of that unit, and with no others: what is worked out in seconds can't hold bytes.
#[rstest]
#[case::time(Counts::Time, &[Unit::Cores, Unit::CoreSeconds, Unit::Seconds])]
#[case::bytes(Counts::Bytes, &[Unit::Bytes, Unit::BytesASecond])]
fn a_need_is_made_of_its_own_unit(#[case] of: Counts, #[case] units: &[Unit]) {
    for seed in 0..8 {
        let (one, three) =
            (page(&size(), &drawn(seed, of, 1.0), THERE), page(&size(), &drawn(seed, of, 3.0), THERE));
        for row in &one.rows {
            let other = same(&three, row);
            let (less, more) = (figure(&row.outcome).need, figure(&other.outcome).need);
            let times = if units.contains(&row.unit) { 3.0 } else { 1.0 };
            assert!(near(more, times * less), "{} in {:?}: {less} and {more}", row.what, row.unit);
        }
    }
}

/// Without its slope a row is no figure and names what is missing; all others stay as they are.
#[rstest]
fn a_missing_slope_is_not_measured_and_no_figure() {
    let whole = page(&size(), &slopes(1), THERE);
    for name in names() {
        let partly = page(&size(), &slopes(1).without(&name), THERE);
        let mut unknown = 0;
        for a in &whole.rows {
            let b = &same(&partly, a).outcome;
            let rests = figure(&a.outcome).used.iter().any(|u| u.slope == name);
            match b {
                Outcome::NotMeasured(missing) => {
                    assert!(rests && *missing == vec![name.clone()], "{}", a.what)
                }
                other => assert!(!rests && *other == a.outcome, "{} without {name}", a.what),
            }
            unknown += usize::from(rests);
        }
        let events = partly.events.iter().filter(|e| matches!(e.over, Outcome::NotMeasured(_))).count();
        let constants =
            partly.constants.iter().filter(|c| matches!(c.outcome, Some(Outcome::NotMeasured(_)))).count();
        assert!(unknown + events + constants > 0, "nothing rests on {name}");
    }
}

#[rstest]
fn equal_sizes_and_slopes_give_equal_pages() {
    let one = format!("{:?}", page(&size(), &slopes(3), THERE));
    assert_eq!(one, format!("{:?}", page(&size(), &slopes(3), THERE)));
}

// ---- the universal scalability law ----

fn told(means: impl Fn(f64) -> f64) -> Slope {
    let sizes = [50.0, 500.0, 1_000.0, 1_225.0, 2_450.0];
    let means: Vec<String> = sizes.iter().map(|n| format!("{}", means(*n))).collect();
    let text = SLOPE.replace("runs = 3", &format!("means = [{}]\n  runs = 3", means.join(", ")));
    read(&text).get("module.list.memory").cloned().expect("there")
}

#[rstest]
#[case::no_line(2.0, 0.0, 0.0)]
#[case::in_line(3.0, 0.01, 0.0)]
#[case::compared(1e-6, 0.002, 1e-4)]
fn the_law_finds_what_a_unit_was_made_of(#[case] alone: f64, #[case] sigma: f64, #[case] kappa: f64) {
    let law = |n: f64| alone * (1.0 + sigma * (n - 1.0) + kappa * n * (n - 1.0));
    let found = universal(&told(law)).expect("a fit");
    assert!((found.alone / alone - 1.0).abs() < 1e-6 && found.residual < 1e-6, "{found:?}");
    assert!((found.sigma - sigma).abs() < 1e-6 && (found.kappa - kappa).abs() < 1e-9, "{found:?}");
}

/// A step is no such law: the residual says so.
#[rstest]
fn the_law_tells_how_far_it_lies_off() {
    let found = universal(&told(|n| if n > 600.0 { 3.0 } else { 1.0 })).expect("a fit");
    assert!(found.residual > 0.1, "{found:?}");
}

#[rstest]
fn without_means_there_is_no_law() {
    assert_eq!(universal(read(SLOPE).get("module.list.memory").expect("there")), None);
}

// ---- constants ----

/// The page holds the program's constants against the size, so each stands in its file as the page has it.
#[rstest]
fn constants_are_those_of_the_program() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for constant in &CONSTANTS {
        let text = std::fs::read_to_string(root.join(constant.file)).expect(constant.file);
        assert!(
            text.contains(constant.text),
            "{}: expected {} in {}",
            constant.name,
            constant.text,
            constant.file
        );
    }
}

/// What needs are worked out with beside them.
#[rstest]
#[case::reserve("crates/router/src/limits.rs", "const RESERVED_DESCRIPTORS: usize = 32;")]
#[case::clients("crates/router/src/limits.rs", "const CLIENTS_PART: f64 = 0.45;")]
#[case::staying("crates/router/src/limits.rs", "const BYTES_PER_CLIENT: usize = 2_048;")]
#[case::newcomers(
    "crates/router/src/limits.rs",
    "const RESERVED_FOR_NEW_CLIENTS: usize = MAX_DEPLOYED_DESCRIPTORS / 12;"
)]
#[case::deployed("crates/router/src/limits.rs", "const MAX_DEPLOYED_DESCRIPTORS: usize = 1_024;")]
#[case::silence("src/list_requests.rs", "const MAX_SILENCE: Tenths = 30_000;")]
#[case::pause("src/decide.rs", "const BASE_PAUSE: Tenths = 1_000;")]
#[case::period("crates/membership/src/plan.rs", "period: 5_000,")]
#[case::patience("crates/membership/src/plan.rs", "patience: 4,")]
#[case::slack("crates/membership/src/plan.rs", "slack: 3,")]
fn needs_are_worked_out_with_the_programs_figures(#[case] file: &str, #[case] expected: &str) {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let text = std::fs::read_to_string(root.join(file)).expect(file);
    assert!(text.contains(expected), "expected {expected} in {file}");
}

#[rstest]
#[case::routers("membership MOST_INSTANCES", 4_096.0 / 2_100.0)]
#[case::members("subsets MAX_MEMBERS", 8_192.0 / 4_900.0)]
#[case::a_set("subsets MAX_SET_MEMBERS", 32.0)]
#[case::clients("router BACKLOG", 1_024.0 * 2_100.0 / 15e6)]
#[case::routers_by_a_zone("shared judgements MAX_JUDGEMENTS", (65_536.0f64 / (2_100.0 * 4_900.0 / 11.0)).sqrt())]
fn a_constant_gives_way_at_its_share(#[case] name: &str, #[case] share: f64) {
    let page = page(&size(), &Slopes::default(), GONE);
    let found = page.constants.iter().find(|c| c.name == name).and_then(|c| c.outcome.as_ref()?.share());
    assert!(found.is_some_and(|found| (found / share - 1.0).abs() < 1e-9), "{found:?} and {share}");
}
