//! `vetchkeel-control`, as the tests of this package start it. With UNCHECKED set it publishes settings without checking them,
//! as a control machine of another version may do.

use std::process::ExitCode;
use vetchkeel_control::{check, program};

fn main() -> ExitCode {
    let unchecked = std::env::var_os("UNCHECKED").is_some();
    program(if unchecked { |_| Ok(()) } else { check })
}
