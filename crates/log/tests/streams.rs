//! What the log gives where its stream is a file, a pipe that is read late or never, a full disk, or closed: never a
//! program that waits or ends, and as many lines as the stream takes.

use rstest::rstest;
use std::io::Read;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// Built beside the tests.
fn example() -> PathBuf {
    let test = std::env::current_exe().expect("this test's path");
    let folder = test.parent().and_then(|deps| deps.parent()).expect("the folder of the build");
    folder.join("examples/lines")
}

/// Runs it to its end through a shell that leads its error stream there.
fn lines_of(count: usize, leads_to: &str) -> (bool, String) {
    let script = format!("exec '{}' {count} {leads_to}", example().display());
    let child =
        Command::new("sh").args(["-c", &script]).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn();
    let mut child = child.expect("a shell");
    let mut said = String::new();
    child.stdout.take().expect("piped").read_to_string(&mut said).expect("text");
    // Only now: the program has ended, whatever the stream took.
    let mut lines = String::new();
    child.stderr.take().expect("piped").read_to_string(&mut lines).expect("text");
    (said == "done\n" && child.wait().expect("a child").success(), lines)
}

#[rstest]
fn a_pipe_that_is_read_at_the_end_has_the_lines_each_with_its_time_behind_it() {
    let (ended, lines) = lines_of(100, "");
    assert!(ended);
    assert_eq!(lines.lines().count(), 100);
    assert!(lines.starts_with("line 0 at 2") && lines.trim_end().ends_with('Z'), "{lines}");
}

#[rstest]
fn a_pipe_that_nobody_reads_keeps_the_first_lines_and_holds_up_nobody() {
    let (ended, lines) = lines_of(20_000, "");
    assert!(ended);
    assert!(lines.starts_with("line 0 at "));
    assert!((1_000..20_000).contains(&lines.lines().count()), "{}", lines.lines().count());
}

#[rstest]
#[case::a_full_disk("2>/dev/full")]
#[case::closed("2>&-")]
fn a_stream_that_takes_nothing_gives_no_line_and_ends_nobody(#[case] leads_to: &str) {
    assert_eq!(lines_of(100, leads_to), (true, String::new()));
}
