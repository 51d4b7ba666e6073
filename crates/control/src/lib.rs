//! A minimal control machine, and the parts that it shares with a router: configuration messages on the link's streams,
//! atomic replacement of files, and values of operator files.

mod disk;
mod plan;
mod program;
mod transport;

pub use disk::{read_if_exists, replace_file};
pub use plan::{address, machines, name, plan};
pub use program::{Check, check, program};
pub use transport::{ConfigurationTransport, Incoming, Traffic};
