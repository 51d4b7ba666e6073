//! The experiment that tests change.

use crate::experiment::Experiment;
use crate::result::RunResult;
use crate::sim::simulate;
use vetchkeel_operator::{FileError, OperatorFile};

/// Two sets of three members in two zones, two routers, 8 s.
pub(super) const BASE: &str = r#"experiment = "test"
length = "8s"
fleet {
  zones = ["north", "south"]
  sets = 2
  routers = 2
  checks = "wait"
  machine "std" {
  }
}
traffic {
  rate = 60
  sessions = 100
  set_skew = 0
}
customer "a" {
}
customer "b" {
}
command_group "look" {
  share = 0.7
  access = "bounded"
  bound = "300ms"
  work = "5ms"
  target = "200ms"
  timeout = "1s"
}
command_group "order" {
  share = 0.3
  access = "write"
  work = "5ms"
  target = "500ms"
  timeout = "3s"
}
"#;

/// The experiment with one part of its text replaced.
pub(super) fn with(from: &str, to: &str) -> String {
    assert!(BASE.contains(from), "{from}");
    BASE.replacen(from, to, 1)
}

pub(super) fn read(text: &str) -> Result<Experiment, FileError> {
    Experiment::of(&OperatorFile::parse("e.hcl", text)?)
}

pub(super) fn run(more: &str, seed: u64) -> RunResult {
    let experiment = read(&format!("{BASE}{more}")).expect("right");
    simulate(&experiment.points[0].setup, seed).expect("plays")
}
