//! Small fleets played whole, in told time.

use rstest::rstest;
use vetchkeel_operator::OperatorFile;
use vetchkeel_scale::report::{Arrived, Report};
use vetchkeel_scale::schedule::Schedule;
use vetchkeel_scale::{SECOND, file, simulated};

const FLEET: &str = r#"
seed   = 3
length = "70s"
size {
  routers = 18
  members = 30
}
region "north" { zones = ["north-a", "north-b"] }
region "south" { zones = ["south-a"] }
control {
  machines = 5
  keepers  = 3
  names    = 40
}
signals { judged = 1 }
"#;

fn schedule(text: &str) -> Schedule {
    file::read(&OperatorFile::parse("fleet.hcl", text).expect("HCL")).expect("a schedule")
}

fn played(events: &str) -> Report {
    simulated::play(&schedule(&format!("{FLEET}{events}")), &mut |_| {}).expect("it can be played")
}

fn line<'a>(report: &'a Report, what: &str, event: &str) -> &'a Arrived {
    let line = report.arrived.iter().find(|line| line.what == what && line.event == event);
    line.unwrap_or_else(|| panic!("no line {what} {event}: {}", report.text()))
}

/// All have come to all, in time.
fn assert_in_time(report: &Report, what: &str, event: &str) {
    let line = line(report, what, event);
    assert_eq!((line.arrived, line.late, line.open), (line.due * 18, 0, 0), "{}", report.text());
    assert!(!report.failed(), "{}", report.text());
}

#[rstest]
fn the_small_example_has_one_verdict_and_equal_counts_each_time() {
    let path = std::path::Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/scale-small.hcl"));
    let schedule = file::read(&OperatorFile::read(path).expect("readable")).expect("a schedule");
    let play = || simulated::play(&schedule, &mut |_| {}).expect("it can be played");
    let (one, other) = (play(), play());
    assert_eq!(one.figures().to_string(), other.figures().to_string());
    assert!(!one.failed(), "{}", one.text());
}

#[rstest]
fn another_seed_is_another_play() {
    let one = schedule(FLEET);
    let other = Schedule { seed: 4, ..one.clone() };
    let play = |schedule| simulated::play(schedule, &mut |_| {}).expect("it can be played").figures();
    assert_ne!(play(&one).to_string(), play(&other).to_string());
}

#[rstest]
fn a_change_while_regions_are_apart_reaches_all_after_it_and_nobody_goes_back() {
    let report = played(
        r#"
        cut "apart" {
          from  = ["south"]
          to    = ["north"]
          at    = "20s"
          until = "45s"
        }
        changes "meanwhile" {
          at    = "22s"
          count = 4
          every = "2s"
        }
        "#,
    );
    let line = line(&report, "change", "meanwhile");
    assert_eq!((line.arrived, line.open, line.never.len()), (4 * 18, 0, 0), "{}", report.text());
    // Told on one side at once, on the other after the cut: 6 of 18 routers are in the south.
    assert!(line.p50.is_some_and(|p50| p50 < 2 * SECOND), "{}", report.text());
    assert!(line.last.is_some_and(|last| last >= 23 * SECOND), "{}", report.text());
    assert!(!report.failed(), "{}", report.text());
}

#[rstest]
#[case::killed("machine_killed", "")]
#[case::killed_for_good("machine_killed", "until = \"69s\"")]
#[case::stopped("machine_stopped", "")]
#[case::stopped_for_good("machine_stopped", "until = \"69s\"")]
fn a_change_is_in_force_everywhere_within_14_s_whichever_machine_is_away(
    #[case] kind: &str,
    #[case] until: &str,
    #[values(1, 2, 5)] machine: usize,
) {
    let until = if until.is_empty() { "until = \"40s\"" } else { until };
    let report = played(&format!(
        "{kind} {{\n at = \"20s\"\n machine = {machine}\n {until}\n}}\n\
         changes \"away\" {{\n at = \"20s\"\n count = 5\n every = \"3s\"\n}}\n"
    ));
    assert_in_time(&report, "change", "away");
}

#[rstest]
fn a_broken_change_is_refused_everywhere_and_the_next_one_heals() {
    let report = played("broken_change \"broken\" { at = \"20s\" }\nchanges \"heals\" { at = \"30s\" }\n");
    assert_in_time(&report, "refusal", "broken");
    assert_in_time(&report, "change", "heals");
}

#[rstest]
fn all_are_ready_again_and_seen_after_a_restart_wave() {
    let report = played("restart \"wave\" {\n at = \"20s\"\n over = \"5s\"\n away = \"1s\"\n}\n");
    let starts = line(&report, "start", "starts");
    assert_eq!((starts.due, starts.arrived, starts.late), (36, 36, 0), "{}", report.text());
    assert!(!report.failed(), "{}", report.text());
}

/// Mute ones are asked again every second and some; those that answer once, 3 s after each answer.
#[rstest]
#[case::mute(false, 10)]
#[case::answers_once(true, 5)]
fn agents_that_fall_silent_are_asked_for_everything_again_and_again(
    #[case] answers: bool,
    #[case] least: u64,
) {
    let silent = format!("at = \"20s\"\n until = \"40s\"\n routers = 6\n answers = {answers}\n");
    let report = played(&format!("agents_silent {{\n {silent}}}\n"));
    let asks = report.counts.iter().find(|(name, _)| *name == "asks for the whole list").map(|count| count.1);
    // A start each, then six of them at least so often in 20 s.
    assert!(asks.is_some_and(|asks| asks >= 18 + 6 * least), "{}", report.text());
    assert!(!report.failed(), "{}", report.text());
}

#[rstest]
fn a_lost_zone_is_off_every_list_and_dark_for_all() {
    let report = played("zone_lost \"zone\" {\n at = \"20s\"\n until = \"40s\"\n zone = \"south-a\"\n}\n");
    assert_in_time(&report, "list", "zone");
    assert_in_time(&report, "judgement", "zone");
}
