//! Experiments read and refused, simulated runs and their hard cases, clients, and what voids a run.

mod helper;
mod loopback;

use crate::clients::{Next, Wish};
use crate::experiment::Experiment;
use crate::loopback::voided;
use crate::result::{Percentiles, RunResult};
use crate::setup::ClientsPlan;
use crate::sim::simulate;
use crate::tally::Outcome;
use helper::{BASE, read, run, with};
use rstest::rstest;
use vetchkeel_emulated::SECOND;

// ---- files ----

#[rstest]
#[case::negative_rate("rate = 60", "rate = -1", "e.hcl:12:10: expected a number above 0")]
#[case::unknown_set(
    "set_skew = 0",
    "set_skew = 0\n}\ntrouble \"hot_set\" {\n  from = \"1s\"\n  until = \"2s\"\n  set = 2\n  share = 0.5",
    "a whole number from 0 to 1 for trouble.hot_set.set, found 2"
)]
#[case::past_the_end(
    "set_skew = 0",
    "set_skew = 0\n}\ntrouble \"hang\" {\n  from = \"1s\"\n  until = \"20s\"\n  members = [0]",
    "expected a time such as \"250ms\" from 1000001us to 8s for trouble.hang.until"
)]
#[case::unknown_member(
    "set_skew = 0",
    "set_skew = 0\n}\ntrouble \"hang\" {\n  from = \"1s\"\n  until = \"2s\"\n  members = [6]",
    "a whole number from 0 to 5 for trouble.hang.members, found 6"
)]
#[case::unknown_trouble(
    "set_skew = 0",
    "set_skew = 0\n}\ntrouble \"fire\" {\n  from = \"1s\"\n  until = \"2s\"",
    "expected one of crash, hang"
)]
#[case::unknown_zone(
    "set_skew = 0",
    "set_skew = 0\n}\ntrouble \"zone_cut\" {\n  from = \"1s\"\n  until = \"2s\"\n  zone = \"west\"",
    "one of \"north\", \"south\" for trouble.zone_cut.zone"
)]
#[case::unknown_group(
    "set_skew = 0",
    "set_skew = 0\n}\ntrouble \"surge\" {\n  from = \"1s\"\n  until = \"2s\"\n  command_group = \"x\"\n  share = 0.5",
    "one of \"look\", \"order\""
)]
#[case::target_past_timeout(
    "target = \"200ms\"",
    "target = \"2s\"",
    "from 1ms to 1s for command_group.look.target"
)]
#[case::no_bound("bound = \"300ms\"", "", "expected a value for command_group.look.bound")]
#[case::load_and_rate("rate = 60", "rate = 60\n  load = 0.5", "either rate or load")]
#[case::bad_draw("work = \"5ms\"", "work = gamma(\"5ms\", 2)", "expected a time, between(low, high)")]
#[case::misspelt("sessions = 100", "session = 100", "expected one of")]
#[case::sweep_of_nothing(
    "set_skew = 0",
    "set_skew = 0\n}\nsweep \"traffic.rat\" {\n  values = [1]",
    "expected the path of a value of this file, found \"traffic.rat\""
)]
#[case::sweep_out_of_range(
    "set_skew = 0",
    "set_skew = 0\n}\nsweep \"fleet.members\" {\n  values = [3, 0]",
    "expected a whole number from 1 to 64 for fleet.members, found 0"
)]
fn bad_files_are_refused(#[case] from: &str, #[case] to: &str, #[case] error: &str) {
    let why = read(&with(from, to)).err().expect("refused").to_string();
    assert!(why.starts_with("e.hcl:") && why.contains(error), "{why}");
}

#[rstest]
fn a_sweep_has_every_combination() {
    let more = "\nsweep \"traffic.rate\" {\n  values = [10, 20]\n}\nsweep \"decides\" {\n  values = [\"module\", \"random\"]\n}\n";
    let e = read(&format!("{BASE}{more}")).expect("right");
    let points: Vec<(f64, &str)> =
        e.points.iter().map(|p| (p.setup.traffic.rate, p.setup.decides.name())).collect();
    assert_eq!(points, [(10.0, "module"), (10.0, "random"), (20.0, "module"), (20.0, "random")]);
    assert_eq!(e.points[3].values[1], ("decides".to_owned(), "random".to_owned()));
}

// ---- simulated runs ----

#[rstest]
fn the_same_seed_gives_the_same_bytes() {
    let trouble = "\ntrouble \"crash\" {\n  from = \"2s\"\n  until = \"4s\"\n  part = 0.5\n}\ntrouble \"resets\" {\n  from = \"1s\"\n  until = \"6s\"\n  part = 1\n  share = 0.1\n}\n";
    let bytes = |seed| serde_json::to_string(&run(trouble, seed)).expect("JSON");
    assert_eq!(bytes(5), bytes(5));
    assert_ne!(bytes(5), bytes(6));
}

fn calm_books(r: &RunResult) {
    let a = &r.all;
    assert_eq!(a.asked, a.in_target + a.late + a.throttled + a.failed + a.unanswered);
    assert_eq!(a.asked, r.groups.iter().map(|g| g.asked).sum::<u64>());
    assert_eq!(a.asked, r.every_second.iter().map(|s| s.asked).sum::<u64>());
}

#[rstest]
fn a_calm_day_is_answered_whole() {
    let r = run("", 1);
    calm_books(&r);
    assert!(r.all.asked > 400 && r.all.share() > 0.99 && r.broken() == 0, "{:?} {:?}", r.all, r.breaches);
}

/// Whatever goes wrong, the five rules hold and every wish is accounted for.
#[rstest]
#[case::crash("crash", "members = [0]")]
#[case::hang("hang", "members = [0]")]
#[case::pauses("pauses", "part = 0.5\n every = \"600ms\"\n length = \"150ms\"")]
#[case::slow("slow", "part = 0.4\n times = 6")]
#[case::slow_apply("slow_apply", "part = 1\n times = 30")]
#[case::flapping("flapping", "members = [1, 3]\n down = \"300ms\"\n up = \"500ms\"")]
#[case::drain("drain", "members = [0, 1]")]
#[case::replace("replace", "members = [0, 4]")]
#[case::zone_cut("zone_cut", "zone = \"north\"")]
#[case::zone_cut_one_way("zone_cut", "zone = \"south\"\n one_way = true")]
#[case::lost("lost_answers", "part = 1\n share = 0.1")]
#[case::resets("resets", "part = 1\n share = 0.1")]
#[case::squeeze("squeeze", "part = 1\n share = 0.004")]
#[case::list_down("list_down", "")]
#[case::list_stale("list_stale", "")]
#[case::routers("routers", "which = [0]")]
#[case::burst("burst", "times = 8")]
#[case::hot_set("hot_set", "set = 1\n share = 0.9")]
#[case::noisy("noisy", "customer = \"b\"\n times = 10")]
#[case::surge("surge", "command_group = \"order\"\n share = 0.5")]
fn rules_hold_in_trouble(#[case] kind: &str, #[case] more: &str) {
    let r = run(&format!("\ntrouble \"{kind}\" {{\n from = \"2s\"\n until = \"5s\"\n {more}\n}}\n"), 3);
    calm_books(&r);
    assert!(r.broken() == 0, "{:?}", r.breaches);
    assert!(r.all.share() > 0.3, "{:?}", r.all);
}

#[rstest]
fn a_killed_router_owes_nothing_and_the_other_answers_its_own() {
    let kill =
        "\ntrouble \"routers\" {\n from = \"2s\"\n until = \"4s\"\n which = [0]\n old_list = true\n}\n";
    let r = run(kill, 2);
    assert!(r.broken() == 0 && r.all.failed + r.all.late + r.all.throttled > 0, "{:?}", r.all);
    assert!(r.every_second[6].in_target * 20 > r.every_second[6].asked * 19, "it serves again");
}

#[rstest]
fn a_replacement_under_the_same_address_is_not_taken_for_the_one_before() {
    let both = "\ntrouble \"replace\" {\n from = \"2s\"\n until = \"3s\"\n members = [1]\n}\n\
        trouble \"list_stale\" {\n from = \"1s\"\n until = \"7s\"\n}\n";
    let r = run(both, 4);
    assert!(r.broken() == 0 && r.per_member.len() == 7, "{:?}", r.breaches);
}

#[rstest]
fn baselines_play_the_same_days_and_a_random_one_reads_stale_data() {
    let share = |decides: &str| run(&format!("\ndecides = \"{decides}\"\n"), 1).all.share();
    assert!(share("all_to_primary") > 0.9);
    let lagging = with("checks = \"wait\"", "checks = \"none\"");
    let trouble = "\ntrouble \"slow_apply\" {\n from = \"1s\"\n until = \"7s\"\n part = 1\n times = 200\n}\n";
    let counts = |decides: &str| {
        let e = read(&format!("{lagging}{trouble}\ndecides = \"{decides}\"\n")).expect("right");
        simulate(&e.points[0].setup, 1).expect("plays").breach_counts
    };
    assert!(counts("random")[5] > 0 && counts("module")[5] == 0);
}

/// Routers whose clocks are ahead of the members' would hold replicas to be older than they are, those behind younger.
/// They learn the members' clock from primaries.
#[rstest]
#[case::together("0ms")]
#[case::far_apart("2s")]
fn clocks_apart_break_no_bound(#[case] apart: &str) {
    let file = with("checks = \"wait\"", &format!("checks = \"none\"\n  clocks_apart = \"{apart}\""));
    let trouble = "\ntrouble \"slow_apply\" {\n from = \"1s\"\n until = \"7s\"\n part = 1\n times = 100\n}\n";
    let e = read(&format!("{file}{trouble}")).expect("right");
    for seed in 1..=4 {
        let play = simulate(&e.points[0].setup, seed).expect("plays");
        assert_eq!(play.breach_counts[5], 0, "seed {seed}: {:?}", play.breaches);
        assert!(play.all.share() > 0.5, "seed {seed}: {:?}", play.all);
    }
}

// ---- clients ----

fn wish(tries: u32, mutating: bool) -> Wish {
    let (asked, deadline) = (0, SECOND);
    Wish { asked, deadline, router: 0, group: 0, set: 0, customer: 0, session: 0, work: 1.0, mutating, tries }
}

#[rstest]
#[case::answered(1, false, Outcome::Answered, 0, Next::End(Outcome::Answered))]
#[case::throttled(1, true, Outcome::Throttled, 0, Next::TryAgain(150_000))]
#[case::heeds_the_hold_off(1, true, Outcome::Throttled, 400_000, Next::TryAgain(500_000))]
#[case::failed_replayable(1, false, Outcome::Failed, 0, Next::TryAgain(150_000))]
#[case::failed_mutating(1, true, Outcome::Failed, 0, Next::End(Outcome::Failed))]
#[case::no_try_left(2, false, Outcome::Failed, 0, Next::End(Outcome::Failed))]
#[case::no_time_left(1, false, Outcome::Throttled, 950_000, Next::End(Outcome::Throttled))]
fn clients_try_again(
    #[case] tries: u32,
    #[case] mutating: bool,
    #[case] outcome: Outcome,
    #[case] hold_off: i64,
    #[case] next: Next,
) {
    let plan =
        ClientsPlan { retries: 1, backoff: 50_000, try_share: 1.0, marks: true, heeds: true, notice: 0 };
    assert_eq!(wish(tries, mutating).next(100_000, outcome, hold_off, &plan), next);
}

// ---- a machine too busy to be believed ----

#[rstest]
#[case::in_time(1.0, 20.0, false)]
#[case::often_late(6.0, 20.0, true)]
#[case::once_very_late(1.0, 300.0, true)]
fn a_late_tool_voids_its_run(#[case] p99: f64, #[case] most: f64, #[case] void: bool) {
    let why = voided(&Percentiles { p99, most, ..Percentiles::default() });
    assert_eq!(why.is_some(), void);
}

#[rstest]
fn experiments_end_at_the_first_error() {
    let e: Experiment = read(BASE).expect("right");
    let means = crate::runner::Means { jobs: 2, router: "nowhere".into(), capture: None };
    let ended = crate::runner::run(&e, &means, |_, _| Err("full".to_owned()));
    assert_eq!(ended, Err("full".to_owned()));
}
