//! `vetchkeel-control`: a minimal control machine. Control machines store the configuration and serve it to routers.

use std::process::ExitCode;

fn main() -> ExitCode {
    vetchkeel_control::program(vetchkeel_control::check)
}
