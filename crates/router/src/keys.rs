//! Keys by which clients, commands, connections and deadlines refer to each other, and the statements that commands and
//! connections share, without dependencies on any of them.

use crate::memory::HeldBytes;
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

/// A statement as its client sent it, and the position of the client timeout in its text.
#[derive(Debug)]
pub struct Statement {
    pub text: HeldBytes,
    pub wait_at: Range<usize>,
}

/// What a node connection carries: a dispatch, by its command and number, or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    Dispatch(CommandKey, u32),
    Probe,
}
