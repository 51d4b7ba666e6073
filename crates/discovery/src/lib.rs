//! The member list as discovery gives it: the watch's HTTP and its chunks into lines, lines into entries and
//! addresses. Nothing here performs I/O and nothing is decided.

mod sheet;
mod watch;

pub use sheet::*;
pub use watch::*;

#[cfg(test)]
mod tests;
