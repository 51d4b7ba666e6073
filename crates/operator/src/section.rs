//! A file or one of its blocks, whose values are requested by name.

use crate::{FileError, OperatorFile, Value};
use hcl_edit::Span;
use hcl_edit::structure::{Body, Structure};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::{Range, RangeInclusive};

/// A file or one of its blocks. It records the requested names.
pub struct Section<'a> {
    file: &'a OperatorFile,
    body: &'a Body,
    /// Where the block begins, as the position of errors about missing values.
    at: Range<usize>,
    path: String,
    requested: RefCell<BTreeSet<String>>,
}

/// A block with its label, if it has one.
pub struct Labelled<'a> {
    pub label: Option<String>,
    pub section: Section<'a>,
}

impl<'a> Section<'a> {
    pub(crate) fn new(file: &'a OperatorFile, body: &'a Body, at: Range<usize>, path: String) -> Section<'a> {
        Section { file, body, at, path, requested: RefCell::default() }
    }

    pub fn path(&self) -> &str {
        &self.path
    }

    fn full_path(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// An error at the position of this block.
    pub fn wrong(&self, expected: impl Into<String>, found: impl Into<String>) -> FileError {
        self.file.wrong(self.at.clone(), expected, found)
    }

    /// The value of this name, if the file or an override has it.
    pub fn value(&self, name: &str) -> Option<Value<'a>> {
        self.requested.borrow_mut().insert(name.to_owned());
        let path = self.full_path(name);
        let attribute = self.body.get_attribute(name);
        let fallback_span = attribute.and_then(|a| a.span()).unwrap_or(self.at.clone());
        let own = attribute.map(|a| &a.value);
        let expression = match self.file.overrides.get(&path) {
            Some(other) => {
                self.file.used_overrides.borrow_mut().insert(path.clone());
                Some(other)
            }
            None => own,
        }?;
        Some(Value { file: self.file, expression, path, fallback_span })
    }

    pub fn require(&self, name: &str) -> Result<Value<'a>, FileError> {
        let missing = || self.wrong(format!("a value for {}", self.full_path(name)), "none");
        self.value(name).ok_or_else(missing)
    }

    pub fn number(&self, name: &str, default: f64, range: RangeInclusive<f64>) -> Result<f64, FileError> {
        self.value(name).map_or(Ok(default), |v| v.number(range))
    }

    pub fn whole(&self, name: &str, default: u64, range: RangeInclusive<u64>) -> Result<u64, FileError> {
        self.value(name).map_or(Ok(default), |v| v.whole(range))
    }

    pub fn time(&self, name: &str, default: i64, range: RangeInclusive<i64>) -> Result<i64, FileError> {
        self.value(name).map_or(Ok(default), |v| v.time(range))
    }

    pub fn flag(&self, name: &str, default: bool) -> Result<bool, FileError> {
        self.value(name).map_or(Ok(default), |v| v.flag())
    }

    pub fn text(&self, name: &str, default: &str) -> Result<String, FileError> {
        self.value(name).map_or(Ok(default.to_owned()), |v| v.text().map(str::to_owned))
    }

    pub fn choice<T: Copy>(&self, name: &str, default: T, words: &[(&str, T)]) -> Result<T, FileError> {
        self.value(name).map_or(Ok(default), |v| v.choice(words))
    }

    /// The blocks of this name, in order. Paths inside one are `name.label.`, or `name.` where it has no label.
    pub fn blocks(&self, name: &str) -> Result<Vec<Labelled<'a>>, FileError> {
        self.requested.borrow_mut().insert(name.to_owned());
        let mut blocks = Vec::new();
        let mut paths = BTreeSet::new();
        for block in self.body.iter().filter_map(Structure::as_block).filter(|b| b.ident.as_str() == name) {
            let at = block.ident.span().or(block.span()).unwrap_or(self.at.clone());
            let labels: Vec<&str> = block.labels.iter().map(|l| l.as_str()).collect();
            let mut path = self.full_path(name);
            for label in &labels {
                path = format!("{path}.{label}");
            }
            if !paths.insert(path.clone()) {
                return Err(self.file.wrong(
                    at,
                    format!("{path} once (a further label tells them apart)"),
                    "it again",
                ));
            }
            let section = Section::new(self.file, &block.body, at, path);
            blocks.push(Labelled { label: labels.first().map(|l| (*l).to_owned()), section });
        }
        Ok(blocks)
    }

    /// The one block of this name, if there is one.
    pub fn block(&self, name: &str) -> Result<Option<Section<'a>>, FileError> {
        let mut blocks = self.blocks(name)?;
        if blocks.len() > 1 {
            return Err(blocks[1].section.wrong(format!("one block {}", self.full_path(name)), "another"));
        }
        Ok(blocks.pop().map(|b| b.section))
    }

    pub fn require_block(&self, name: &str) -> Result<Section<'a>, FileError> {
        let missing = || self.wrong(format!("a block {}", self.full_path(name)), "none");
        self.block(name)?.ok_or_else(missing)
    }

    /// Returns an error if the block contains a name that was never requested.
    pub fn done(&self) -> Result<(), FileError> {
        let requested = self.requested.borrow();
        for structure in self.body.iter() {
            let (name, span) = match structure {
                Structure::Attribute(a) => (a.key.as_str(), a.key.span().or(a.span())),
                Structure::Block(b) => (b.ident.as_str(), b.ident.span().or(b.span())),
            };
            if !requested.contains(name) {
                let names: Vec<&str> = requested.iter().map(String::as_str).collect();
                let within = if self.path.is_empty() { String::new() } else { format!(" in {}", self.path) };
                let expected = format!("one of {}{within}", names.join(", "));
                return Err(self.file.wrong(span.unwrap_or(self.at.clone()), expected, name));
            }
        }
        Ok(())
    }
}
