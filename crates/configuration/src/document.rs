//! The settings under one version.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{Edit, Version};

/// Longest name of a setting, in bytes.
pub const NAME_MOST: usize = 256;
/// Longest value, in bytes.
pub const VALUE_MOST: usize = 65_536;
/// Most names of a document.
pub const NAMES_MOST: usize = 16_384;
/// Most bytes of all names and values of a document.
pub const DOCUMENT_MOST: usize = 1_048_576;

/// Names and their values, within the bounds of this module.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    names: BTreeMap<String, String>,
}

/// Why a document or a change was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Bad {
    /// A name that is empty or longer than [`NAME_MOST`].
    Name(String),
    /// The value of this name is longer than [`VALUE_MOST`].
    Value(String),
    /// More names than [`NAMES_MOST`].
    Names(usize),
    /// More bytes than [`DOCUMENT_MOST`].
    Bytes(usize),
    /// One change says two things of this name.
    Twice(String),
    /// The change is made for another version than the one held.
    Base {
        /// What is held.
        held: Version,
        /// What it is made for.
        after: Version,
    },
    /// The change leads to no later version.
    Order(Version),
    /// The document after it has another digest than said.
    Digest {
        /// As worked out.
        found: u64,
        /// As said.
        expected: u64,
    },
    /// A whole copy that can't be read.
    Copy,
}

impl fmt::Display for Bad {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Bad::Name(name) => {
                write!(out, "name of {} bytes, expected 1 to {NAME_MOST}", name.len())
            }
            Bad::Value(name) => write!(out, "value of {name:?}: expected at most {VALUE_MOST} bytes"),
            Bad::Names(count) => write!(out, "{count} names, expected at most {NAMES_MOST}"),
            Bad::Bytes(bytes) => write!(out, "{bytes} bytes, expected at most {DOCUMENT_MOST}"),
            Bad::Twice(name) => write!(out, "{name:?} twice in one change"),
            Bad::Base { held, after } => write!(out, "made for {after}, held is {held}"),
            Bad::Order(version) => write!(out, "leads back, to {version}"),
            Bad::Digest { found, expected } => write!(out, "digest {found:016x}, said was {expected:016x}"),
            Bad::Copy => write!(out, "a whole copy that can't be read"),
        }
    }
}

impl std::error::Error for Bad {}

impl Document {
    /// # Errors
    /// [`Bad`] names the first bound that does not hold.
    pub fn from(names: BTreeMap<String, String>) -> Result<Document, Bad> {
        let document = Document { names };
        document.check()?;
        Ok(document)
    }

    /// The value of a name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.names.get(name).map(String::as_str)
    }

    /// All names with their values, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.names.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// All names with their values.
    pub fn into_map(self) -> BTreeMap<String, String> {
        self.names
    }

    /// Bytes of all names and values.
    pub fn bytes(&self) -> usize {
        self.names.iter().map(|(name, value)| name.len() + value.len()).sum()
    }

    /// Check sum of all names and values: XXH3, 64 bits, over each length and text in order.
    pub fn digest(&self) -> u64 {
        let mut sum = Xxh3Default::new();
        for text in self.names.iter().flat_map(|(name, value)| [name, value]) {
            sum.update(&(text.len() as u64).to_le_bytes());
            sum.update(text.as_bytes());
        }
        sum.digest()
    }

    /// The document after these edits: all of them, or an error.
    ///
    /// # Errors
    /// [`Bad`] names the first bound that does not hold.
    pub fn changed(&self, edits: &[Edit]) -> Result<Document, Bad> {
        let mut seen = std::collections::BTreeSet::new();
        let mut names = self.names.clone();
        for edit in edits {
            if !seen.insert(&edit.name) {
                return Err(Bad::Twice(edit.name.clone()));
            }
            match &edit.value {
                Some(value) => names.insert(edit.name.clone(), value.clone()),
                None => names.remove(&edit.name),
            };
        }
        Document::from(names)
    }

    /// What leads from this document to the other, by name.
    pub fn edits_to(&self, other: &Document) -> Vec<Edit> {
        let gone = self.names.keys().filter(|name| !other.names.contains_key(*name));
        let gone = gone.map(|name| Edit { name: name.clone(), value: None });
        let new = other.names.iter().filter(|(name, value)| self.names.get(*name) != Some(value));
        let new = new.map(|(name, value)| Edit { name: name.clone(), value: Some(value.clone()) });
        let mut edits: Vec<Edit> = gone.chain(new).collect();
        edits.sort_by(|one, other| one.name.cmp(&other.name));
        edits
    }

    /// # Errors
    /// [`Bad`] names the first bound that does not hold.
    pub(crate) fn check(&self) -> Result<(), Bad> {
        for (name, value) in &self.names {
            if !(1..=NAME_MOST).contains(&name.len()) {
                return Err(Bad::Name(name.clone()));
            }
            if value.len() > VALUE_MOST {
                return Err(Bad::Value(name.clone()));
            }
        }
        match (self.names.len(), self.bytes()) {
            (count, _) if count > NAMES_MOST => Err(Bad::Names(count)),
            (_, bytes) if bytes > DOCUMENT_MOST => Err(Bad::Bytes(bytes)),
            _ => Ok(()),
        }
    }
}
