//! Logging to a pipe that is read late or never, to a full disk and to a closed stream: the program never blocks or
//! exits because of the log, and as many lines are written as the stream accepts.

use rstest::rstest;
use std::io::Read;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// The path of the example program, which is built beside the tests.
fn example() -> PathBuf {
    let test = std::env::current_exe().expect("this test's path");
    let folder = test.parent().and_then(|deps| deps.parent()).expect("the folder of the build");
    folder.join("examples/lines")
}

/// Runs the example to its end through a shell that redirects its standard error, and returns whether it succeeded and
/// the lines it logged.
fn run_example(count: usize, redirect: &str) -> (bool, String) {
    let script = format!("exec '{}' {count} {redirect}", example().display());
    let child =
        Command::new("sh").args(["-c", &script]).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn();
    let mut child = child.expect("a shell");
    let mut stdout_text = String::new();
    child.stdout.take().expect("piped").read_to_string(&mut stdout_text).expect("text");
    // Read only after the program has ended, so that a full pipe stays full while it runs.
    let mut lines = String::new();
    child.stderr.take().expect("piped").read_to_string(&mut lines).expect("text");
    (stdout_text == "done\n" && child.wait().expect("a child").success(), lines)
}

#[rstest]
fn pipe_read_after_exit_holds_all_lines_with_their_times() {
    let (ended, lines) = run_example(100, "");
    assert!(ended);
    assert_eq!(lines.lines().count(), 100);
    assert!(lines.starts_with("line 0 at 2") && lines.trim_end().ends_with('Z'), "{lines}");
}

#[rstest]
fn unread_pipe_keeps_first_lines_without_blocking() {
    let (ended, lines) = run_example(20_000, "");
    assert!(ended);
    assert!(lines.starts_with("line 0 at "));
    assert!((1_000..20_000).contains(&lines.lines().count()), "{}", lines.lines().count());
}

#[rstest]
#[case::full_disk("2>/dev/full")]
#[case::closed("2>&-")]
fn unwritable_stream_does_not_end_the_program(#[case] redirect: &str) {
    assert_eq!(run_example(100, redirect), (true, String::new()));
}
