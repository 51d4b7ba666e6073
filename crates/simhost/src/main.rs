//! Hosts router instances for the simulator: reads events from standard input, calls the routers and writes their
//! decisions to standard output. No decisions are made here, and instances share only the numbered member lists that
//! the simulator sends.

mod wire;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 18, io::stdout().lock());
    match wire::Host::default().run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            let _ = writeln!(io::stderr(), "vetchkeel-simhost: {why}");
            ExitCode::from(2)
        }
    }
}
