//! Faults between processes on loopback. A [`Schedule`] says what is wrong from when until when; a [`Course`] plays it
//! without I/O, against relays and child processes here, or against a simulated network. A [`Fleet`] starts one program
//! under several names, with a relay in each direction between any two, and ends what it started.

mod children;
mod course;
mod draw;
mod file;
mod fleet;
mod harness;
mod passage;
mod relays;
mod schedule;

pub use course::{Course, Decision};
pub use draw::{Drawn, draw};
pub use file::read;
pub use fleet::{Fleet, Place, State};
pub use schedule::{Act, Deed, Schedule, Window};

#[cfg(test)]
mod tests;
