use super::*;
use crate::compare::difference;
use rstest::rstest;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use vetchkeel_lab::experiment::Experiment;
use vetchkeel_lab::result::RunResult;
use vetchkeel_lab::sim::simulate;
use vetchkeel_operator::OperatorFile;

const FILE: &str = "experiment = \"t\"\nlength = \"3s\"\nsweep \"traffic.rate\" {\n  values = [40, 80]\n}\nfleet {\n  machine \"m\" {}\n}\n\
    traffic {\n  rate = 50\n}\ncommand_group \"look\" {\n  share = 1\n  access = \"any\"\n  work = \"10ms\"\n  target = \"100ms\"\n  timeout = \"1s\"\n}\n";

fn runs() -> Vec<RunResult> {
    let file = OperatorFile::parse("t.hcl", FILE).expect("readable");
    let experiment = Experiment::of(&file).expect("right");
    let mut runs = Vec::new();
    for point in &experiment.points {
        for seed in 1..=3 {
            let mut run = simulate(&point.setup, seed).expect("plays");
            run.point = point.values.clone();
            runs.push(run);
        }
    }
    runs
}

fn summary(planned: u32) -> Summary {
    let (name, driver, version) = ("t".to_owned(), "simulated".to_owned(), "0".to_owned());
    Summary {
        name,
        about: "a, \"b\"".into(),
        text: FILE.into(),
        driver,
        begun_ms: 1,
        planned,
        finished: false,
        version,
    }
}

fn path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("vetchkeel-records-{}-{name}.redb", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

#[rstest]
fn what_is_kept_is_there_again() {
    let path = path("again");
    let runs = runs();
    {
        let store = Store::open(&path).expect("opens");
        let id = store.begin(&summary(2)).expect("begins");
        runs.iter().take(2).enumerate().for_each(|(i, r)| store.keep(id, i as u32, r).expect("keeps"));
        store.finish(id).expect("finishes");
    }
    let store = Store::open(&path).expect("opens again");
    let kept = store.get(store.latest().expect("reads").expect("one")).expect("kept");
    assert!(kept.runs == runs[..2] && kept.summary.finished);
    assert!(matches!(store.get(99), Err(StoreError::Missing(99))));
    let _ = std::fs::remove_file(&path);
}

/// Not a test of its own: the writer that the next one kills. It tells each run that is kept and goes on for ever.
#[rstest]
fn writer_that_is_killed() {
    let Ok(path) = std::env::var("VETCHKEEL_WRITER") else { return };
    let runs = runs();
    let store = Store::open(path.as_ref()).expect("opens");
    let id = store.begin(&summary(u32::MAX)).expect("begins");
    for number in 0.. {
        store.keep(id, number, &runs[number as usize % runs.len()]).expect("keeps");
        println!("kept {number}");
    }
}

#[rstest]
fn a_writer_killed_in_the_middle_loses_nothing_that_it_was_told_is_kept() {
    let path = path("killed");
    let mut child = Command::new(std::env::current_exe().expect("this program"))
        .args(["--exact", "tests::writer_that_is_killed", "--nocapture"])
        .env("VETCHKEEL_WRITER", &path)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("starts");
    let lines = BufReader::new(child.stdout.take().expect("piped")).lines();
    let told = |line: std::io::Result<String>| line.ok()?.rsplit_once("kept ")?.1.trim().parse::<u32>().ok();
    let last = lines.filter_map(told).find(|n| *n >= 25).expect("it writes");
    child.kill().expect("killed");
    child.wait().expect("ended");
    let store = Store::open(&path).expect("opens after the kill");
    let kept = store.get(1).expect("what was begun is there");
    let runs = runs();
    assert!(kept.runs.len() > last as usize && !kept.summary.finished, "{} {last}", kept.runs.len());
    assert!(kept.runs.iter().enumerate().all(|(i, r)| *r == runs[i % runs.len()]));
    store.begin(&summary(1)).expect("and it can be written again");
    let _ = std::fs::remove_file(&path);
}

#[rstest]
#[case::one(&[2.0], 2.0, 2.0, None)]
#[case::three(&[1.0, 2.0, 6.0], 3.0, 2.0, Some(6.572))]
#[case::same(&[4.0, 4.0], 4.0, 4.0, Some(0.0))]
fn spreads(#[case] values: &[f64], #[case] mean: f64, #[case] median: f64, #[case] half: Option<f64>) {
    let s = spread(values);
    let near = |a: Option<f64>, b: Option<f64>| a.zip(b).map_or(a == b, |(a, b)| (a - b).abs() < 0.001);
    assert!(s.mean == mean && s.median == median && near(s.half, half), "{s:?}");
}

fn values(values: &[(u64, f64)]) -> BTreeMap<u64, f64> {
    values.iter().copied().collect()
}

#[rstest]
#[case::pairs_show_what_their_scatter_hides(&[(1, 1.0), (2, 5.0), (3, 9.0)], &[(1, 1.5), (2, 5.4), (3, 9.6)], true, true)]
#[case::other_seeds_do_not(&[(1, 1.0), (2, 5.0), (3, 9.0)], &[(4, 1.5), (5, 5.4), (6, 9.6)], false, false)]
#[case::other_seeds_far_apart(&[(1, 1.0), (2, 1.1), (3, 0.9)], &[(4, 2.0), (5, 2.1), (6, 1.9)], false, true)]
#[case::no_difference(&[(1, 1.0), (2, 2.0)], &[(1, 1.0), (2, 2.0)], true, false)]
fn differences(
    #[case] a: &[(u64, f64)],
    #[case] b: &[(u64, f64)],
    #[case] paired: bool,
    #[case] shown: bool,
) {
    let (was_paired, difference) = difference(&values(a), &values(b));
    assert_eq!(
        (was_paired, matches!(difference, Difference::Shown { .. })),
        (paired, shown),
        "{difference:?}"
    );
}

#[rstest]
fn one_run_gives_no_interval() {
    assert_eq!(difference(&values(&[(1, 1.0)]), &values(&[(1, 2.0)])).1, Difference::TooFew);
}

#[rstest]
fn comparisons_say_where_no_difference_is_shown() {
    let runs = runs();
    let same = compare(&runs, &runs);
    assert!(
        same.len() == 2 * MEASURES.len()
            && same.iter().all(|c| c.to_string().contains("no difference shown"))
    );
}

#[rstest]
fn charts_are_svg_with_their_data() {
    let charts = charts(&runs()).expect("drawn");
    let names: Vec<&str> = charts.iter().map(|c| c.name.as_str()).collect();
    assert_eq!(
        names,
        [
            "latency-1",
            "over-time-1",
            "members-1",
            "latency-2",
            "over-time-2",
            "members-2",
            "sweep-1-1",
            "sweep-1-7"
        ]
    );
    assert!(charts.iter().all(|c| c.svg.starts_with("<svg") && c.svg.trim_end().ends_with("</svg>")));
    assert!(charts[0].svg.contains("look") && charts[6].svg.contains("traffic.rate"));
}

#[rstest]
#[case::groups(Form::Csv, 1 + 6 * 2, "traffic.rate,decides,driver,seed,command_group,asked")]
#[case::seconds(Form::CsvSeconds, 1 + 6 * 3, "traffic.rate,decides,driver,seed,second,asked")]
fn exports_as_lines(#[case] form: Form, #[case] lines: usize, #[case] head: &str) {
    let text = export(&Kept { id: 1, summary: summary(6), runs: runs() }, form);
    let columns = |line: &str| line.split(',').count();
    assert!(text.starts_with(head), "{text}");
    assert_eq!(text.lines().count(), lines);
    assert!(text.lines().all(|l| columns(l) == columns(text.lines().next().unwrap_or_default())));
}

#[rstest]
fn exports_as_json_that_reads_back() {
    let runs = runs();
    let text = export(&Kept { id: 1, summary: summary(6), runs: runs.clone() }, Form::Json);
    let document: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let read: Vec<RunResult> = serde_json::from_value(document["runs"].clone()).expect("results");
    assert_eq!((read, document["experiment"]["about"].as_str()), (runs, Some("a, \"b\"")));
}

#[rstest]
fn the_report_names_points_groups_and_rules() {
    let mut runs = runs();
    runs[0].breach_counts[2] = 3;
    let text = table(&runs);
    let parts = ["traffic.rate = 40", "traffic.rate = 80", "look", "BROKEN rule 2 3 times", "no rule broken"];
    assert!(parts.iter().all(|p| text.contains(p)), "{text}");
}
