//! Messages of version 3 of PostgreSQL's protocol. Heads are parsed where they lie, and messages are written
//! to be sent with gathered writes. Nothing here performs I/O and nothing is decided.

mod read;
mod statement;
mod write;

pub use read::*;
pub use statement::*;
pub use write::*;

#[cfg(test)]
mod tests;
