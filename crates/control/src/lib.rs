//! A minimal control machine, and the parts that it shares with a router: configuration messages on the link's streams,
//! atomic replacement of files, and values of operator files.

mod carrier;
mod disk;
mod plan;
mod program;

pub use carrier::{Came, Carrier, Traffic};
pub use disk::{found, keep};
pub use plan::{address, machines, name, plan};
pub use program::{Check, check, program};
