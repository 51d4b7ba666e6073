//! The program as it is called: exit codes, what goes where, and a run that is killed.

use rstest::rstest;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

const FILE: &str = "experiment = \"t\"\nlength = \"2s\"\nseeds = [1, 2, 3]\nfleet {\n  machine \"m\" {}\n}\n\
    traffic {\n  rate = 50\n}\ncommand_group \"look\" {\n  share = 1\n  access = \"any\"\n  work = \"10ms\"\n  target = \"100ms\"\n  timeout = \"1s\"\n}\n";

/// A folder of its own with an experiment in it.
struct Place(PathBuf);

impl Place {
    fn new(text: &str) -> Place {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let name = format!("vetchkeel-cli-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
        std::fs::write(path.join("e.hcl"), text).expect("a file");
        Place(path)
    }

    fn command(&self, line: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_vetchkeel"));
        command.args(line.split(' ')).current_dir(&self.0);
        command
    }

    fn call(&self, line: &str) -> (i32, String, String) {
        let Output { status, stdout, stderr } = self.command(line).output().expect("runs");
        let text = |bytes| String::from_utf8(bytes).expect("text");
        (status.code().expect("ended by itself"), text(stdout), text(stderr))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[rstest]
fn an_experiment_is_run_listed_shown_compared_drawn_and_exported() {
    let place = Place::new(FILE);
    let (code, out, log) = place.call("lab run e.hcl");
    assert!(
        code == 0 && out.contains("answered in target") && out.contains("no rule broken"),
        "{code} {out}"
    );
    assert!(log.contains("experiment begins") && !log.contains("runs, "), "no progress bar in a pipe: {log}");
    let again = place.call("lab run e.hcl --json --log json");
    let document: serde_json::Value = serde_json::from_str(&again.1).expect("one JSON document");
    assert_eq!(document["runs"].as_array().map(Vec::len), Some(3));
    assert!(again.2.lines().all(|l| serde_json::from_str::<serde_json::Value>(l).is_ok()), "{}", again.2);
    let (_, list, _) = place.call("lab list");
    assert!(list.lines().count() == 2 && list.contains("3 runs"), "{list}");
    let (_, shown, _) = place.call("lab show 1");
    assert_eq!(shown.lines().skip(1).collect::<Vec<_>>(), out.lines().skip(1).collect::<Vec<_>>());
    let (_, compared, _) = place.call("lab compare 1 2");
    assert!(compared.contains("no difference shown") && !compared.contains("B - A ="), "{compared}");
    let (_, drawn, _) = place.call("lab chart 1 --out c");
    assert!(drawn.lines().count() == 3 && drawn.lines().all(|f| place.0.join(f).exists()), "{drawn}");
    let (_, csv, _) = place.call("lab export 1");
    assert_eq!(csv.lines().count(), 1 + 3 * 2);
}

#[rstest]
#[case::right("check e.hcl", FILE, 0, "right, experiment t", "")]
#[case::wrong("check e.hcl", "experiment = 1\n", 2, "", "e.hcl:1:14: expected a text")]
#[case::wrong_run("lab run e.hcl", "experiment = \"t\"\n", 2, "", "expected a block command_group")]
#[case::no_file("check f.hcl", FILE, 2, "", "f.hcl:1:1: expected a readable file")]
#[case::no_number("lab show 9", FILE, 2, "", "no experiment has the number 9")]
#[case::nothing_yet("lab show", FILE, 2, "", "expected an experiment")]
#[case::no_router(
    "lab run e.hcl --driver loopback --router nowhere",
    FILE,
    2,
    "",
    "expected the router program"
)]
#[case::no_level("--log-level loud check e.hcl", FILE, 2, "", "--log-level")]
fn exit_codes(
    #[case] line: &str,
    #[case] text: &str,
    #[case] code: i32,
    #[case] out: &str,
    #[case] log: &str,
) {
    let got = Place::new(text).call(line);
    assert!(got.0 == code && got.1.contains(out) && got.2.contains(log), "{got:?}");
}

#[rstest]
fn a_broken_rule_is_a_failure() {
    let text = FILE.replace("access = \"any\"", "access = \"bounded\"\n  bound = \"10ms\"");
    let text = text.replace("fleet {", "decides = \"random\"\nfleet {\n  checks = \"none\"");
    let (code, out, why) = Place::new(&text).call("lab run e.hcl");
    assert!(
        code == 1 && out.contains("BROKEN rule 5") && why.contains("rules were broken"),
        "{code} {out} {why}"
    );
}

#[rstest]
fn a_run_that_is_killed_leaves_what_was_kept() {
    let seeds: Vec<String> = (1..6_000).map(|s| s.to_string()).collect();
    let place = Place::new(&FILE.replace("1, 2, 3", &seeds.join(", ")));
    let mut child = place.command("lab run e.hcl --jobs 1").stderr(Stdio::piped()).spawn().expect("runs");
    let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
    assert!(lines.any(|l| l.is_ok_and(|l| l.contains("experiment begins"))));
    // The store is held by the one that writes: what is kept shows in the file's growth.
    let size = || std::fs::metadata(place.0.join("vetchkeel-lab.redb")).map_or(0, |m| m.len());
    let begun = size();
    while size() <= begun && child.try_wait().is_ok_and(|ended| ended.is_none()) {
        std::thread::yield_now();
    }
    child.kill().expect("killed");
    child.wait().expect("ended");
    let (code, list, _) = place.call("lab list");
    assert!(code == 0 && list.contains("cut short") && list.contains("of 5999 runs"), "{list}");
}

// ---- plans ----

const FLEET: &str = "fleet {\n  zones = [\"a\", \"b\"]\n  sets = 2\n  routers = 2\n  machine \"m\" {}\n}\ntraffic {\n  rate = 200\n}\n\
    command_group \"look\" {\n  share = 3\n  access = \"any\"\n  work = lognormal(\"20ms\", 0.6)\n  target = \"250ms\"\n  timeout = \"1s\"\n}\n\
    command_group \"order\" {\n  share = 1\n  access = \"write\"\n  work = lognormal(\"15ms\", 0.6)\n  target = \"500ms\"\n  timeout = \"3s\"\n}\n";

#[rstest]
#[case::limit("plan limit --fleet e.hcl", 0, &["The first limit is met at", "Played in the lab", "what runs out next"])]
#[case::size("plan size --fleet e.hcl --scale 8", 0, &["members hold 0.99 at 1600", "holds when played"])]
#[case::size_of_one_set("plan size --fleet e.hcl --scale 40 --keep-sets", 1, &[])]
#[case::lose("plan lose-zone --fleet e.hcl", 0, &["Losing zone a", "Losing the primary", "until the election", "replacements get warm"])]
#[case::restart("plan restart --fleet e.hcl", 0, &["1. members", "rules broken 0 times, 0 members pushed over"])]
#[case::bad_goal("plan limit --fleet e.hcl --goal 2", 2, &[])]
#[case::no_capture("plan limit --fleet e.hcl --load e.hcl", 2, &[])]
fn plans_answer_in_words(#[case] line: &str, #[case] code: i32, #[case] words: &[&str]) {
    let got = Place::new(FLEET).call(line);
    assert!(got.0 == code && words.iter().all(|w| got.1.contains(w)), "{got:?}");
    if !line.contains("--goal") && !line.contains("--load") {
        let json = Place::new(FLEET).call(&format!("{line} --json"));
        assert!(serde_json::from_str::<serde_json::Value>(&json.1).is_ok(), "{json:?}");
    }
}

/// A capture of 60 simulated seconds; the fleet file that is fitted to it begins with all work at 50 ms.
#[rstest]
fn work_is_fitted_to_a_capture_within_ten_in_a_hundred() {
    let text = format!("experiment = \"t\"\nlength = \"60s\"\n{FLEET}");
    let place = Place::new(&text);
    assert_eq!(place.call("lab run e.hcl --capture c.vkl").0, 0);
    let guess =
        FLEET.replace("lognormal(\"20ms\", 0.6)", "\"50ms\"").replace("lognormal(\"15ms\", 0.6)", "\"50ms\"");
    std::fs::write(place.0.join("f.hcl"), guess).expect("a file");
    let (code, out, log) = place.call("plan fit c.vkl --fleet f.hcl --out g.hcl --json");
    assert_eq!(code, 0, "{log}");
    let document: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    let work = |i: usize| document["groups"][i]["work_ms"].as_f64().unwrap_or(0.0);
    assert!((work(0) / 20.0 - 1.0).abs() < 0.1 && (work(1) / 15.0 - 1.0).abs() < 0.1, "{out}");
    let limit = place.call("plan limit --fleet g.hcl --load c.vkl");
    assert!(
        limit.0 == 0 && limit.1.contains("The capture can't tell the cost of applying a write"),
        "{limit:?}"
    );
}

/// Two slopes: 2,000 bytes and 20 microseconds a member.
const SLOPES: &str = r#"
slope "module.list.memory" {
  unit = "bytes"
  per = "member"
  base = 0
  value = 2000
  low = 1900
  high = 2200
  residual = 0.02
  largest = 2450
  sizes = [50, 500, 1000, 1225, 2450]
  runs = 3
  kind = "measured"
  command = "by hand"
  cores = 8
}
slope "router.cpu.idle.member" {
  unit = "seconds"
  per = "member"
  base = 0.001
  value = 0.00002
  low = 0.00002
  high = 0.00002
  residual = 0.01
  largest = 4900
  sizes = [50, 500, 1225, 2450, 4900]
  means = [0.002, 0.011, 0.0255, 0.05, 0.099]
  runs = 3
  kind = "simulated"
  command = "by hand"
  cores = 8
}
"#;

const CAPACITY: &str = "plan capacity e.hcl --slopes s.hcl";
const TABLES: &str = "module's tables of the list";

/// A size and the two slopes.
fn sized(from: &str, to: &str) -> Place {
    let size = include_str!("size.hcl");
    assert!(size.contains(from), "{from}");
    let place = Place::new(&size.replacen(from, to, 1));
    std::fs::write(place.0.join("s.hcl"), SLOPES).expect("a file");
    place
}

fn line<'a>(out: &'a str, words: &str) -> &'a str {
    out.lines().find(|l| l.contains(words)).unwrap_or_else(|| panic!("expected {words} in {out}"))
}

#[rstest]
fn the_size_to_design_for_is_told_smallest_share_first() {
    let (code, out, _) = sized("", "").call(&format!("{CAPACITY} --without configuration"));
    let rows: Vec<&str> = out.lines().filter(|l| l.starts_with("| ") && !l.starts_with("| ---")).collect();
    assert!(
        code == 0 && rows[1].starts_with("| 0.000 |") && rows[1].contains("without a start"),
        "{code} {out}"
    );
    // 9.8 MB of 256 MB, played up to half of it; 9.9% of a core where 2.3% are allowed.
    let tables = line(&out, TABLES);
    assert!(
        tables.starts_with("| 26.122 |")
            && tables.contains("| 9.80 MB | 256 MB | 0.0383 (0.0364 to 0.0421) |"),
        "{tables}"
    );
    assert!(tables.contains("extrapolated 2.00 times"), "{tables}");
    let idle = line(&out, "nothing asked, all members listed");
    assert!(idle.starts_with("| 0.224 |") && idle.contains("measured, simulated"), "{idle}");
    let probes = line(&out, "bytes, probes of members");
    assert!(probes.starts_with("| ? |") && probes.contains("| not measured |  |  | no slope"), "{probes}");
    assert!(line(&out, "| membership MOST_INSTANCES |").starts_with("| "), "{out}");
    assert!(line(&out, "| the whole fleet started at once |").contains("not measured"), "{out}");
}

#[rstest]
fn another_size_gives_other_answers() {
    let (_, out, _) = sized("members = 4900", "members = 9800").call(CAPACITY);
    assert!(line(&out, TABLES).starts_with("| 13.061 |"), "{out}");
    let (_, out, _) = sized("memory_mb = 256", "memory_mb = 128").call(CAPACITY);
    assert!(line(&out, TABLES).starts_with("| 13.061 |"), "{out}");
}

#[rstest]
fn the_page_is_one_document() {
    let (code, out, _) = sized("", "").call(&format!("{CAPACITY} --json --without configuration"));
    let page: serde_json::Value = serde_json::from_str(&out).expect("one JSON document");
    let rows = page["rows"].as_array().expect("rows");
    let found =
        rows.iter().find(|r| r["what"] == "memory, the module's tables of the list").expect("the row");
    assert!(code == 0 && found["outcome"]["figure"]["need"] == 9.8e6 && found["unit"] == "bytes", "{found}");
    assert!(found["outcome"]["figure"]["used"][0]["beyond"] == 2.0, "{found}");
    assert!(rows[0]["outcome"]["impossible"].is_string(), "{}", rows[0]);
    let missing = rows.iter().filter(|r| r["outcome"]["not_measured"].is_array()).count();
    assert_eq!(missing + 3, rows.len(), "one can't be done, two are measured");
    let laws: Vec<bool> =
        page["slopes"].as_array().expect("slopes").iter().map(|s| s["universal"].is_object()).collect();
    assert_eq!(laws, [false, true]);
    assert!(page["constants"].as_array().is_some_and(|c| c.iter().any(|c| c["does"].is_string())));
    assert!(page["events"].as_array().is_some_and(|e| e.iter().any(|e| e["event"] == "wave")));
}

/// Before and after a mechanism, from one program.
#[rstest]
fn a_mechanism_can_be_looked_at_as_there_and_not_there() {
    let place = sized("", "");
    let without = place.call(&format!("{CAPACITY} --without configuration")).1;
    let with = place.call(&format!("{CAPACITY} --with configuration")).1;
    assert!(line(&without, "without a start").starts_with("| 0.000 |"), "{without}");
    assert!(line(&with, "without a start").starts_with("| ? |"), "{with}");
}

#[rstest]
#[case::a_size_left_out("members = 4900\n", "", "e.hcl:1:1: expected a value for members, found none")]
#[case::more_sets_than_members(
    "sets = 1225",
    "sets = 5000",
    "e.hcl:3:8: expected at most the 4900 of members"
)]
#[case::no_hcl("sets = 1225", "sets = = 1225", "e.hcl:3:8: expected HCL")]
fn a_wrong_size_is_wrong_input(#[case] from: &str, #[case] to: &str, #[case] why: &str) {
    let (code, out, log) = sized(from, to).call(CAPACITY);
    assert!(code == 2 && out.is_empty() && log.contains(why), "{code} {out} {log}");
}

#[rstest]
#[case::slope("runs = 3", "runs = 1", "s.hcl:12:10: expected a whole number from 3")]
#[case::unknown("cores = 8", "cores = 8\n  age = 1", "s.hcl:16:3: expected one of base,")]
fn a_wrong_slope_is_wrong_input(#[case] from: &str, #[case] to: &str, #[case] why: &str) {
    let place = sized("", "");
    std::fs::write(place.0.join("s.hcl"), SLOPES.replacen(from, to, 1)).expect("a file");
    let (code, out, log) = place.call(CAPACITY);
    assert!(code == 2 && out.is_empty() && log.contains(why), "{code} {out} {log}");
}

#[rstest]
fn a_table_of_slopes_that_is_not_there_is_wrong_input() {
    let (code, _, log) = sized("", "").call("plan capacity e.hcl");
    assert!(
        code == 2 && log.contains("docs/measured/slopes.hcl:1:1: expected a readable file"),
        "{code} {log}"
    );
}

const SCALE: &str = "length = \"40s\"\nsize {\n  routers = 6\n  members = 8\n}\nregion \"n\" { zones = [\"a\"] }\n\
    region \"s\" { zones = [\"b\"] }\ncontrol {\n  machines = 3\n  keepers = 3\n  names = 30\n}\n\
    changes \"c\" { at = \"20s\" }\n";

/// What comes to all ends with 0; a region that stays cut off never has its change, which ends with 1 and is named.
#[rstest]
#[case::all("", 0)]
#[case::cut_off("cut {\n  from = [\"n\"]\n  to = [\"s\"]\n  at = \"15s\"\n  until = \"40s\"\n}\n", 1)]
fn a_scale_test_ends_by_what_arrived(#[case] event: &str, #[case] expected: i32) {
    let place = Place::new(&format!("{SCALE}{event}"));
    let (code, text, _) = place.call("lab scale e.hcl");
    let (_, json, _) = place.call("lab scale e.hcl --json");
    let document: serde_json::Value = serde_json::from_str(&json).expect("one JSON document");
    assert_eq!((code, document["failed"].as_bool()), (expected, Some(expected == 1)), "{text}");
    assert_eq!(text.contains("never arrived, change c: 2 at router-0001"), expected == 1, "{text}");
    assert!(text.starts_with("simulated: 6 routers, 8 members"), "{text}");
}

#[rstest]
fn a_wrong_scale_file_is_told_with_its_place() {
    let place = Place::new(&format!("{SCALE}restart {{ at = \"41s\" }}\n"));
    let (code, _, log) = place.call("lab scale e.hcl");
    assert_eq!(code, 2);
    assert!(log.contains("e.hcl:14:16: expected a time such as \"250ms\" from 0s to 40s"), "{log}");
}
