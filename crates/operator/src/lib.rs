//! Operator files: HCL parsed together with the positions of its values. A [`Section`] returns values by name, each checked
//! for its type and range. Names in the file that were never requested are an error. Errors are one line: file, line,
//! column, what was expected and what was found. The meaning of the values is not known here.

mod section;
mod value;

pub use section::{Labelled, Section};
pub use value::{Value, micros_of};

use hcl_edit::expr::Expression;
use hcl_edit::structure::Body;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Range;
use std::path::Path;

/// An error in an operator file and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    pub file: String,
    /// Line and column count from 1.
    pub line: usize,
    pub column: usize,
    pub expected: String,
    pub found: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FileError { file, line, column, expected, found } = self;
        write!(f, "{file}:{line}:{column}: expected {expected}, found {found}")
    }
}

impl std::error::Error for FileError {}

/// A parsed file, with values that override its own.
pub struct OperatorFile {
    name: String,
    text: String,
    body: Body,
    overrides: BTreeMap<String, Expression>,
    used_overrides: RefCell<BTreeSet<String>>,
}

impl OperatorFile {
    pub fn read(path: &Path) -> Result<OperatorFile, FileError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| FileError {
            file: name.clone(),
            line: 1,
            column: 1,
            expected: "a readable file".into(),
            found: e.to_string(),
        })?;
        OperatorFile::parse(&name, &text)
    }

    pub fn parse(name: &str, text: &str) -> Result<OperatorFile, FileError> {
        let body: Body = text.parse().map_err(|e: hcl_edit::parser::Error| FileError {
            file: name.to_owned(),
            line: e.location().line(),
            column: e.location().column(),
            expected: "HCL".into(),
            found: e.message().trim().to_owned(),
        })?;
        let (name, text) = (name.to_owned(), text.to_owned());
        Ok(OperatorFile { name, text, body, overrides: BTreeMap::new(), used_overrides: RefCell::default() })
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// The text of the file.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The same file with values overridden, by path (`block.label.name`). See [`OperatorFile::unused`].
    pub fn with(&self, values: &[(String, Value<'_>)]) -> OperatorFile {
        let overrides = values.iter().map(|(path, v)| (path.clone(), v.expression().clone())).collect();
        let (name, text, body) = (self.name.clone(), self.text.clone(), self.body.clone());
        OperatorFile { name, text, body, overrides, used_overrides: RefCell::default() }
    }

    /// Paths of overrides that were never requested: they match no value of the file.
    pub fn unused(&self) -> Vec<String> {
        let used_overrides = self.used_overrides.borrow();
        self.overrides.keys().filter(|path| !used_overrides.contains(*path)).cloned().collect()
    }

    /// The whole file.
    pub fn root(&self) -> Section<'_> {
        Section::new(self, &self.body, 0..0, String::new())
    }

    fn wrong(&self, at: Range<usize>, expected: impl Into<String>, found: impl Into<String>) -> FileError {
        let before = &self.text[..at.start.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        FileError { file: self.name.clone(), line, column, expected: expected.into(), found: found.into() }
    }
}

#[cfg(test)]
mod tests;
