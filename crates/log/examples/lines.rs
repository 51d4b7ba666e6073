//! Writes the given number of lines to the log and then prints `done` on standard output. Used by `tests/streams.rs`.

use vetchkeel_log::log_up_to;

const NO_LIMIT: u32 = u32::MAX;

fn main() {
    let count: usize = std::env::args().nth(1).and_then(|count| count.parse().ok()).unwrap_or(1);
    (0..count).for_each(|number| log_up_to!(NO_LIMIT, "line {number}"));
    println!("done");
}
