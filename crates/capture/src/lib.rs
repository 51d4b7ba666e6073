//! Load captures: for each command when it came, what it was and what became of it. Statements, keys and values are not
//! in them; a session is a number.
//!
//! A capture begins with the 8 bytes `VKLOAD` and its version (big endian, 1). Then come frames, each on its own:
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | `VKF` and the byte 1 |
//! | 4 | length of the body, big endian |
//! | 4 | CRC-32 of the body, big endian |
//! | length | the body, one zstd frame |
//!
//! A body holds, as variable-length integers (seven bits a byte, the lowest first): number of the frame from 0; records
//! dropped before it, in all; a table of names (count, then length and bytes of each); count of records; then the
//! records column by column: arrival (microseconds of Unix time, the first whole, then each as the zigzag difference to
//! the one before), and for each further column a plain number a record: command group (place in the names), customer
//! (place plus one, 0 for none), member that answered last (place plus one, 0 for none), set (zigzag), session, time
//! left, time until the last dispatch was written, latency (all in microseconds), ending, dispatches, bytes of the answer.
//!
//! What is whole is read, wherever the file was cut: a frame that is not whole or whose sum is wrong is passed over, the
//! next one is found by its mark, and what was lost is told.

mod frame;
mod read;
mod record;
mod recorder;

pub use read::{Loss, Read, read};
pub use record::{Ending, Record};
pub use recorder::{Recorder, RecorderLimits, Written};

/// Version of the format.
pub const VERSION: u16 = 1;

#[cfg(test)]
mod tests;
