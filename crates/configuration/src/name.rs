//! Names of routers and control machines.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The name of a router or control machine, the same across restarts: 1 to [`Name::MAX_BYTES`] letters, digits, `-`,
/// `_` or `.`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// A name that is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadName(pub String);

impl Name {
    /// Maximum length of a name, in bytes.
    pub const MAX_BYTES: usize = 32;

    /// # Errors
    /// [`BadName`] if the name is empty, too long, or has other characters.
    pub fn new(name: &str) -> Result<Name, BadName> {
        let fits = (1..=Self::MAX_BYTES).contains(&name.len());
        let plain = name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        if fits && plain { Ok(Name(name.into())) } else { Err(BadName(name.into())) }
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
        name.0.as_ref().into()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0)
    }
}

impl fmt::Display for BadName {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let most = Name::MAX_BYTES;
        write!(out, "{:?}: expected 1 to {most} letters, digits, '-', '_' or '.'", self.0)
    }
}

impl std::error::Error for BadName {}
