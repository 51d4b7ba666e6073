//! What one connection carries: an attempt or a probe, from its decision to its end, and the writing of its statement.

use super::answer::Answer;
use super::{Conn, Stage};
use crate::Clock;
use crate::arrival::came_after_sent;
use crate::ending::Reached;
use crate::keys::{Statement, Work};
use crate::leaving::{Unread, unread};
use crate::transient::is_transient;
use std::io::{self, ErrorKind, IoSlice, Write};
use std::net::TcpStream;
use std::rc::Rc;
use vetchkeel::Tenths;
use vetchkeel_pgwire as pgwire;

/// From a look that finds nothing at a connection to the end of the write behind it. What lies there after a longer time may
/// have come before the statement was whole.
const LOOK_TO_WRITTEN_MOST: Tenths = 50;

/// What ends the text of a query.
const LAST_BYTE: [u8; 1] = [0];

/// How far a write has brought a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    Whole,
    /// The system takes no more for now.
    Blocked,
    /// Bytes lie there before the statement is whole: they answer nothing that was asked.
    Unasked,
    /// Whole; but the write was held up, and bytes lie there that came before its end, as far as the system tells.
    Doubtful,
}

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
    /// Before the last look at its connection that found nothing there.
    pub(super) looked_at: Tenths,
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

    /// Writes on. Danger: the system may take a part, and between two parts, or within a write, any time may pass. What comes
    /// from the member in it would be taken for the answer. So once a write was short the last byte is held back and goes alone,
    /// behind a look that finds nothing; and after a hold-up only what has come behind the last byte may be an answer.
    pub(super) fn write(&mut self, stream: &TcpStream, clock: &Clock) -> io::Result<Progress> {
        self.tell_wait(clock.now());
        let size = self.size();
        while self.written < size {
            let old = clock.now() - self.looked_at > LOOK_TO_WRITTEN_MOST;
            if old || self.has_last_byte_left() {
                self.looked_at = clock.now();
                match unread(stream) {
                    Ok(Unread::Nothing) => {}
                    Ok(Unread::Bytes) => return Ok(Progress::Unasked),
                    Ok(Unread::End) => return Err(ErrorKind::UnexpectedEof.into()),
                    Err(e) if is_transient(&e) => return Ok(Progress::Blocked),
                    Err(e) => return Err(e),
                }
            }
            match self.write_part(stream) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => self.written += written,
                Err(e) if is_transient(&e) => return Ok(Progress::Blocked),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        let held_up = clock.now() - self.looked_at > LOOK_TO_WRITTEN_MOST;
        let doubtful =
            held_up && unread(stream).is_ok_and(|unread| unread == Unread::Bytes) && !came_after_sent(stream);
        Ok(if doubtful { Progress::Doubtful } else { Progress::Whole })
    }

    fn has_last_byte_left(&self) -> bool {
        self.written > 0 && self.written + 1 == self.size()
    }

    /// All of it at first; then all but the last byte; then that.
    fn write_part(&self, mut stream: &TcpStream) -> io::Result<usize> {
        let Statement { text, wait_at } = &*self.statement;
        let wait = self.wait.as_deref().unwrap_or_default();
        let head = pgwire::query_head(self.size() - 6);
        let (before, after) = (&text[..wait_at.start], &text[wait_at.end..]);
        let mut slices = [&head[..], before, wait.as_bytes(), after, &LAST_BYTE].map(IoSlice::new);
        let held_back = self.written > 0 && !self.has_last_byte_left();
        let parts = slices.len() - held_back as usize;
        let mut left = &mut slices[..parts];
        IoSlice::advance_slices(&mut left, self.written);
        stream.write_vectored(left)
    }
}
