//! `vetchkeel-control`: a stand-in for one of the control machines that hold the configuration and serve it to routers.

use std::process::ExitCode;

fn main() -> ExitCode {
    vetchkeel_control::program(vetchkeel_control::check)
}
