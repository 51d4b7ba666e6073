//! The settings of one version.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{Edit, Version};

/// Maximum length of a setting's name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Maximum length of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 65_536;
/// Maximum number of names in a document.
pub const MAX_NAMES: usize = 16_384;
/// Maximum number of bytes of all names and values of a document.
pub const MAX_DOCUMENT_BYTES: usize = 1_048_576;

/// Setting names and values, within the bounds of this module.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    names: BTreeMap<String, String>,
}

/// Why a document or a change was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentError {
    /// A name that is empty or longer than [`MAX_NAME_BYTES`].
    InvalidName(String),
    /// The value of this name is longer than [`MAX_VALUE_BYTES`].
    ValueTooLong(String),
    /// More names than [`MAX_NAMES`].
    TooManyNames(usize),
    /// More bytes than [`MAX_DOCUMENT_BYTES`].
    TooLarge(usize),
    /// One change edits this name twice.
    DuplicateName(String),
    /// The change applies to a version other than the one held.
    WrongBase {
        /// The version held.
        held: Version,
        /// The version that the change applies to.
        base: Version,
    },
    /// The change does not lead to a later version.
    NotLater(Version),
    /// The resulting document does not have the digest given in the change or copy.
    DigestMismatch {
        /// The digest computed from the document.
        found: u64,
        /// The digest given in the change or copy.
        expected: u64,
    },
    /// A snapshot that cannot be decoded.
    UnreadableSnapshot,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DocumentError::InvalidName(name) => {
                write!(out, "name of {} bytes, expected 1 to {MAX_NAME_BYTES}", name.len())
            }
            DocumentError::ValueTooLong(name) => {
                write!(out, "value of {name:?}: expected at most {MAX_VALUE_BYTES} bytes")
            }
            DocumentError::TooManyNames(count) => write!(out, "{count} names, expected at most {MAX_NAMES}"),
            DocumentError::TooLarge(bytes) => {
                write!(out, "{bytes} bytes, expected at most {MAX_DOCUMENT_BYTES}")
            }
            DocumentError::DuplicateName(name) => write!(out, "{name:?} twice in one change"),
            DocumentError::WrongBase { held, base } => write!(out, "made for {base}, held is {held}"),
            DocumentError::NotLater(version) => write!(out, "leads back, to {version}"),
            DocumentError::DigestMismatch { found, expected } => {
                write!(out, "digest {found:016x}, said was {expected:016x}")
            }
            DocumentError::UnreadableSnapshot => write!(out, "a whole copy that can't be read"),
        }
    }
}

impl std::error::Error for DocumentError {}

impl Document {
    /// # Errors
    /// [`DocumentError`] names the first bound that is exceeded.
    pub fn from(names: BTreeMap<String, String>) -> Result<Document, DocumentError> {
        let document = Document { names };
        document.check()?;
        Ok(document)
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.names.get(name).map(String::as_str)
    }

    /// All names with their values, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.names.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// All names with their values.
    pub fn into_map(self) -> BTreeMap<String, String> {
        self.names
    }

    /// The total length of all names and values, in bytes.
    pub fn bytes(&self) -> usize {
        self.names.iter().map(|(name, value)| name.len() + value.len()).sum()
    }

    /// Checksum of all names and values: 64-bit XXH3 over each text, preceded by its length, in order.
    pub fn digest(&self) -> u64 {
        let mut sum = Xxh3Default::new();
        for text in self.names.iter().flat_map(|(name, value)| [name, value]) {
            sum.update(&(text.len() as u64).to_le_bytes());
            sum.update(text.as_bytes());
        }
        sum.digest()
    }

    /// The document after these edits. Either all of them apply or none.
    ///
    /// # Errors
    /// [`DocumentError`] names the first bound that is exceeded.
    pub fn changed(&self, edits: &[Edit]) -> Result<Document, DocumentError> {
        let mut seen = std::collections::BTreeSet::new();
        let mut names = self.names.clone();
        for edit in edits {
            if !seen.insert(&edit.name) {
                return Err(DocumentError::DuplicateName(edit.name.clone()));
            }
            match &edit.value {
                Some(value) => names.insert(edit.name.clone(), value.clone()),
                None => names.remove(&edit.name),
            };
        }
        Document::from(names)
    }

    /// The edits that turn this document into the other, ordered by name.
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
    /// [`DocumentError`] names the first bound that is exceeded.
    pub(crate) fn check(&self) -> Result<(), DocumentError> {
        for (name, value) in &self.names {
            if !(1..=MAX_NAME_BYTES).contains(&name.len()) {
                return Err(DocumentError::InvalidName(name.clone()));
            }
            if value.len() > MAX_VALUE_BYTES {
                return Err(DocumentError::ValueTooLong(name.clone()));
            }
        }
        match (self.names.len(), self.bytes()) {
            (count, _) if count > MAX_NAMES => Err(DocumentError::TooManyNames(count)),
            (_, bytes) if bytes > MAX_DOCUMENT_BYTES => Err(DocumentError::TooLarge(bytes)),
            _ => Ok(()),
        }
    }
}
