//! How clients, commands, connections and deadlines name each other. This file names none of them.

use slotmap::new_key_type;
use std::ops::Range;

new_key_type! {
    /// A slot of the table of client connections, with its generation.
    pub struct ClientKey;
    /// A slot of the table of commands, with its generation.
    pub struct CommandKey;
    /// A slot of the table of node connections, with its generation.
    pub struct ConnKey;
}

/// A statement as its client worded it, and where in it the wait stands.
#[derive(Debug)]
pub struct Statement {
    pub text: Vec<u8>,
    pub wait_at: Range<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    Dispatch(CommandKey, u32),
    Probe,
}
