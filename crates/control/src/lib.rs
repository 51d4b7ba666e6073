//! A stand-in for a control machine, and what it shares with a router's thread: messages of the configuration on the link's
//! streams, files that are whole or not there, and the operator's values.

mod carrier;
mod disk;
mod plan;
mod program;

pub use carrier::{Came, Carrier, Traffic};
pub use disk::{found, keep};
pub use plan::{address, machines, name, plan};
pub use program::{Check, check, program};
