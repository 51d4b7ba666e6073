//! Hosts router instances on the simulator's wire: standard input to calls, results to standard output.
//! Nothing is decided here and nothing is shared between instances but the numbered lists of the wire.

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
