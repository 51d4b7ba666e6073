//! `vetchkeel-control`, as tests of this package start it.

use std::process::ExitCode;

fn main() -> ExitCode {
    vetchkeel_control::program()
}
