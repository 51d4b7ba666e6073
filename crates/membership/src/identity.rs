//! Who an instance is: a name that stays and a start that does not.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The name of an instance, as its operators write it: 1 to [`Name::LONGEST`] bytes, kept over restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Box<str>);

/// A name that can't be used, with its length in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadName(pub usize);

impl Name {
    /// Longest name, in bytes.
    pub const LONGEST: usize = 32;

    /// # Errors
    /// [`BadName`] if it is empty or longer than [`Name::LONGEST`].
    pub fn new(name: &str) -> Result<Name, BadName> {
        match name.len() {
            1..=Self::LONGEST => Ok(Name(name.into())),
            length => Err(BadName(length)),
        }
    }

    /// The name as written.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = BadName;

    fn try_from(name: String) -> Result<Name, BadName> {
        Name::new(&name)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.into()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0)
    }
}

impl fmt::Display for BadName {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "a name has 1 to {} bytes, this one has {}", Name::LONGEST, self.0)
    }
}

impl std::error::Error for BadName {}

/// One life of an instance. The later of two starts under one name is the higher one: by wall-clock time, then by a
/// count that only grows (the host keeps it in its store; without one it is 0).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Start {
    /// Milliseconds since 1970, by the instance's own clock.
    pub at: u64,
    /// How often the host has counted a start, or raised one that was lower than its last.
    pub count: u32,
}

impl fmt::Display for Start {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}", self.at, self.count)
    }
}
