//! `vetchkeel-control`, as tests of this package start it. Where UNCHECKED is set it publishes whatever it is given, as one of
//! another version of the program might.

use std::process::ExitCode;
use vetchkeel_control::{check, program};

fn main() -> ExitCode {
    let unchecked = std::env::var_os("UNCHECKED").is_some();
    program(if unchecked { |_| Ok(()) } else { check })
}
