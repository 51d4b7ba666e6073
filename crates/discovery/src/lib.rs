//! The member list as discovery sends it: parses the watch's HTTP response and its chunks into JSON values,
//! and values into entries and addresses. This crate performs no I/O and decides nothing.

mod list;
mod values;
mod watch;

pub use list::*;
pub use watch::*;

#[cfg(test)]
mod tests;
