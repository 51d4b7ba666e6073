//! Operator files: HCL read together with its positions. A [`Section`] hands out values by name, each checked for its
//! kind and range; what it was not asked for by the end is an error. Errors are one line: file, line, column, what
//! was expected and what was found. Nothing here knows what the values mean.

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

/// What is wrong with an operator file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    pub file: String,
    /// Both from 1.
    pub line: usize,
    pub column: usize,
    pub expected: String,
    pub found: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Wrong { file, line, column, expected, found } = self;
        write!(f, "{file}:{line}:{column}: expected {expected}, found {found}")
    }
}

impl std::error::Error for Wrong {}

/// A file as it was read, with values that stand in for its own.
pub struct OperatorFile {
    name: String,
    text: String,
    body: Body,
    instead: BTreeMap<String, Expression>,
    used: RefCell<BTreeSet<String>>,
}

impl OperatorFile {
    pub fn read(path: &Path) -> Result<OperatorFile, Wrong> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| Wrong {
            file: name.clone(),
            line: 1,
            column: 1,
            expected: "a readable file".into(),
            found: e.to_string(),
        })?;
        OperatorFile::parse(&name, &text)
    }

    pub fn parse(name: &str, text: &str) -> Result<OperatorFile, Wrong> {
        let body: Body = text.parse().map_err(|e: hcl_edit::parser::Error| Wrong {
            file: name.to_owned(),
            line: e.location().line(),
            column: e.location().column(),
            expected: "HCL".into(),
            found: e.message().trim().to_owned(),
        })?;
        let (name, text) = (name.to_owned(), text.to_owned());
        Ok(OperatorFile { name, text, body, instead: BTreeMap::new(), used: RefCell::default() })
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// The file's text as it was read.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The same file with other values: path (`block.label.name`) to value. See [`OperatorFile::unused`].
    pub fn with(&self, values: &[(String, Value<'_>)]) -> OperatorFile {
        let instead = values.iter().map(|(path, v)| (path.clone(), v.expression().clone())).collect();
        let (name, text, body) = (self.name.clone(), self.text.clone(), self.body.clone());
        OperatorFile { name, text, body, instead, used: RefCell::default() }
    }

    /// Values that were to stand in for others, and nobody asked for them: their paths name nothing.
    pub fn unused(&self) -> Vec<String> {
        let used = self.used.borrow();
        self.instead.keys().filter(|path| !used.contains(*path)).cloned().collect()
    }

    /// All of it.
    pub fn root(&self) -> Section<'_> {
        Section::new(self, &self.body, 0..0, String::new())
    }

    fn wrong(&self, at: Range<usize>, expected: impl Into<String>, found: impl Into<String>) -> Wrong {
        let before = &self.text[..at.start.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        Wrong { file: self.name.clone(), line, column, expected: expected.into(), found: found.into() }
    }
}

#[cfg(test)]
mod tests;
