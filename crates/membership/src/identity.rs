//! Identity of an instance: a name that it keeps over restarts, and a start that differs for each run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The name of an instance, as configured by the operator: 1 to [`Name::LONGEST`] bytes, kept over restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Box<str>);

/// The name is empty or too long; holds its length in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadName(pub usize);

impl Name {
    /// Maximum length of a name, in bytes.
    pub const LONGEST: usize = 32;

    /// # Errors
    /// [`BadName`] if it is empty or longer than [`Name::LONGEST`].
    pub fn new(name: &str) -> Result<Name, BadName> {
        match name.len() {
            1..=Self::LONGEST => Ok(Name(name.into())),
            length => Err(BadName(length)),
        }
    }

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

/// Identifies one run of an instance. Of two starts under one name, the later one compares higher: first by wall-clock
/// time, then by a counter that never decreases. The host stores the counter; without a store it is 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Start {
    /// Milliseconds since 1970, by the instance's own clock.
    pub at: u64,
    /// Number of starts that the host has counted, including those raised because they were lower than the previous one.
    pub count: u32,
}

impl fmt::Display for Start {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}", self.at, self.count)
    }
}
