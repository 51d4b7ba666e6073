//! What one connection carries: an attempt or a probe, from its decision to its end, and the writing of its statement.

use super::answer::Answer;
use super::{Conn, Stage};
use crate::ending::Reached;
use crate::keys::{Statement, Work};
use crate::transient::is_transient;
use std::io::{self, ErrorKind, IoSlice, Write};
use std::net::TcpStream;
use std::rc::Rc;
use vetchkeel::Tenths;
use vetchkeel_pgwire as pgwire;

/// Something that one connection carries to its end.
pub(super) struct Job {
    pub(super) work: Work,
    pub(super) statement: Rc<Statement>,
    /// What stands in place of the statement's wait; set when writing begins, and until it is written itself.
    pub(super) wait: Option<String>,
    pub(super) since: Tenths,
    /// How long its connection had idled; None for a new one.
    pub(super) idled: Option<Tenths>,
    pub(super) limit_at: Tenths,
    /// Until when its last byte may be written.
    pub(super) until: Tenths,
    /// What a report's fields were called when it began.
    pub(super) fields: Rc<[String]>,
    pub(super) written: usize,
    pub(super) answer: Answer,
}

impl Job {
    /// Something of its answer has come.
    pub(super) fn begun(&self, conn: &Conn) -> bool {
        self.answer.described || self.answer.code.is_some() || !conn.input.is_empty()
    }

    pub(super) fn reached(&self, stage: Stage) -> Reached {
        match stage {
            Stage::Open if self.wait.is_some() && self.written == self.size() => Reached::Written,
            Stage::Open => Reached::Writing,
            _ => Reached::Dialling,
        }
    }

    fn size(&self) -> usize {
        let wait = self.wait.as_ref().map_or(0, String::len);
        5 + self.statement.text.len() - self.statement.wait_at.len() + wait + 1
    }

    /// Danger: a statement that is held before its wait is written would tell a time that has passed. Its head has
    /// told how long it is, so the wait stays as wide as it was.
    fn tell_wait(&mut self, now: Tenths) {
        let at = &self.statement.wait_at;
        let width = match &self.wait {
            Some(_) if at.is_empty() || self.written > 5 + at.start => return,
            before => before.as_ref().map_or(0, String::len),
        };
        let left = (self.limit_at - now).max(10) / 10;
        self.wait = Some(if at.is_empty() { String::new() } else { format!("{left:0width$}") });
    }

    /// Writes on; true once the last byte is written.
    pub(super) fn write(&mut self, mut stream: &TcpStream, now: Tenths) -> io::Result<bool> {
        self.tell_wait(now);
        let Statement { text, wait_at } = &*self.statement;
        let size = self.size();
        let wait = self.wait.as_deref().unwrap_or_default();
        let head = pgwire::query_head(size - 6);
        while self.written < size {
            let (before, after) = (&text[..wait_at.start], &text[wait_at.end..]);
            let mut slices = [&head[..], before, wait.as_bytes(), after, &[0]].map(IoSlice::new);
            let mut left = &mut slices[..];
            IoSlice::advance_slices(&mut left, self.written);
            match stream.write_vectored(left) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => self.written += written,
                Err(e) if is_transient(&e) => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }
}
