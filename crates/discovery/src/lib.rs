//! The member list as discovery gives it: the watch's HTTP and its chunks into values, values into entries
//! and addresses. Nothing here performs I/O and nothing is decided.

mod sheet;
mod values;
mod watch;

pub use sheet::*;
pub use watch::*;

#[cfg(test)]
mod tests;
