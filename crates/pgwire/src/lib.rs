//! Messages of the PostgreSQL wire protocol, version 3: parsed in place, and written for vectored writes. This crate
//! performs no I/O and makes no decisions.

mod read;
mod statement;
mod write;

pub use read::*;
pub use statement::*;
pub use write::*;

#[cfg(test)]
mod tests;
