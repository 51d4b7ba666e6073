//! Assembles a member's answer from its messages, and decides which role and position reports in it are used.

use crate::ending::{Cause, Failure};
use crate::memory::{HeldBytes, Memory, Owner};
use std::ops::Range;
use vetchkeel::{AnswerNote, Report, Tenths};
use vetchkeel_pgwire as pgwire;

/// What the member has answered so far.
pub(super) struct Answer {
    /// Row description, row and command completion, byte for byte as the member sent them.
    pub(super) raw: HeldBytes,
    /// Complete messages processed so far.
    pub(super) messages: u32,
    pub(super) described: bool,
    pub(super) rows: usize,
    /// Range within `raw` of the only column of the first row.
    pub(super) value: Range<usize>,
    pub(super) complete: bool,
    pub(super) code: Option<[u8; 5]>,
    pub(super) garbled: bool,
    /// Whether a late second answer to the barrier before has begun to arrive.
    late_barrier: bool,
    pub(super) note: AnswerNote,
    pub(super) report: Report,
}

impl Answer {
    pub(super) fn new(memory: &Memory) -> Answer {
        Answer {
            raw: memory.buffer(Owner::Answers),
            messages: 0,
            described: false,
            rows: 0,
            value: 0..0,
            complete: false,
            code: None,
            garbled: false,
            late_barrier: false,
            note: AnswerNote::default(),
            report: Report::default(),
        }
    }

    /// Processes one message. Returns true when the answer has ended.
    pub(super) fn take(&mut self, kind: u8, body: &[u8], raw_message: &[u8], fields: &[String]) -> bool {
        self.messages += 1;
        if self.late_barrier {
            self.take_late_barrier(kind);
            return self.garbled;
        }
        match kind {
            b'I' if !self.described && self.code.is_none() => self.late_barrier = true,
            b'T' if !self.described && self.code.is_none() => {
                self.described = true;
                self.garbled |= !pgwire::describes_one_column(body);
                self.raw.append(raw_message);
            }
            b'D' if self.described && self.rows == 0 => {
                self.rows = 1;
                match pgwire::one_column(body) {
                    Some(value) => {
                        let end = self.raw.len() + raw_message.len();
                        self.value = end - value.len()..end;
                    }
                    None => self.garbled = true,
                }
                self.raw.append(raw_message);
            }
            b'C' if self.rows == 1 && !self.complete => {
                self.complete = true;
                self.garbled |= pgwire::text(body).is_none_or(|(_, rest)| !rest.is_empty());
                self.raw.append(raw_message);
            }
            b'E' => {
                let code = pgwire::sqlstate(body).and_then(|c| c.try_into().ok());
                self.code = self.code.or(code);
                self.garbled |= code.is_none();
            }
            b'S' => match pgwire::parameter(body) {
                Some(("role", _)) => self.note.primary = role(body),
                Some(("applied_ms", at)) => {
                    self.note.position = at.parse().map_or(0, |ms: f64| (ms * 10.0).floor() as Tenths);
                }
                Some(("load", load)) => self.report = report(load, fields),
                _ => {}
            },
            b'N' | b'A' => {}
            b'Z' => return true,
            _ => self.garbled = true,
        }
        // No later message can make a malformed answer valid.
        self.garbled
    }

    /// Processes a message of a second answer to the barrier before. What it reported is older than the statement.
    fn take_late_barrier(&mut self, kind: u8) {
        match kind {
            b'Z' => {
                self.late_barrier = false;
                (self.note, self.report) = (AnswerNote::default(), Report::default());
            }
            b'S' | b'N' | b'A' => {}
            _ => self.garbled = true,
        }
    }

    /// The result of the answer so far: success, an error code, or malformed.
    pub(super) fn outcome(&self) -> Result<(), Cause> {
        match self.code {
            // An error after a row description is neither a valid answer nor a valid error.
            Some(code) if !self.described && !self.garbled => Err(Cause::Code(code)),
            None if self.complete && !self.garbled => Ok(()),
            _ => Err(Cause::Garbled),
        }
    }
}

/// The role in a parameter message: true for a primary, false for a replica. None for any other value or parameter.
pub(super) fn role(body: &[u8]) -> Option<bool> {
    match pgwire::parameter(body)? {
        ("role", "primary") => Some(true),
        ("role", "replica") => Some(false),
        _ => None,
    }
}

/// Reads a load report such as `x0=1767225600.123,x1=1`.
pub(super) fn report(text: &str, fields: &[String]) -> Report {
    let mut report = Report::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let Some(value) = value.trim().parse::<f64>().ok().filter(|v| v.is_finite()) else { continue };
        match name.trim() {
            name if !fields.iter().any(|f| f == name) => {}
            // Converts seconds to tenths of a millisecond, less one millisecond in case the text was rounded up.
            "x0" => report.position = Some((value * 10_000.0).floor() as Tenths - 10),
            "x1" => report.primary = Some(value == 1.0).filter(|p| *p || value == 0.0),
            _ => {}
        }
    }
    report
}

/// Discards the role and position that a malformed answer reports.
pub(super) fn trusted(
    result: &Result<(), Failure>,
    note: AnswerNote,
    report: Report,
) -> (AnswerNote, Report) {
    match result {
        Err(Failure { cause: Cause::Garbled, .. }) => (AnswerNote::default(), Report::default()),
        _ => (note, report),
    }
}

#[cfg(test)]
mod tests;
