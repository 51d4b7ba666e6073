//! The work of one connection: an attempt or a probe from the decision to its end, and the writing of its statement.

use super::answer::Answer;
use super::{Conn, Stage};
use crate::Clock;
use crate::arrival::last_received_after_last_sent;
use crate::ending::Reached;
use crate::keys::{Statement, Work};
use crate::leaving::{Unread, unread};
use crate::transient::is_transient;
use std::io::{self, ErrorKind, IoSlice, Write};
use std::net::TcpStream;
use std::rc::Rc;
use vetchkeel::Tenths;
use vetchkeel_pgwire as pgwire;

/// Maximum time from a check that nothing is unread on a connection to the end of the write that follows it. Bytes found
/// after a longer time may have arrived before the statement was completely written.
const MAX_CHECK_TO_WRITTEN: Tenths = 50;

/// The NUL that terminates the text of a query.
const LAST_BYTE: [u8; 1] = [0];

/// Progress of writing a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    Complete,
    /// The system accepts no more bytes for now.
    Blocked,
    /// Bytes are unread before the statement is completely written, so they cannot be its answer.
    Unsolicited,
    /// Completely written, but the write was delayed, and unread bytes arrived before its end as far as the system reports.
    Ambiguous,
}

/// An attempt or a probe that a connection carries.
pub(super) struct Job {
    pub(super) work: Work,
    pub(super) statement: Rc<Statement>,
    /// The text that replaces the statement's wait. Set when writing begins, and updated until it is written itself.
    pub(super) wait: Option<String>,
    pub(super) since: Tenths,
    /// How long its connection had been idle; None for a new connection.
    pub(super) idled: Option<Tenths>,
    pub(super) limit_at: Tenths,
    /// Latest time at which its last byte may be written.
    pub(super) until: Tenths,
    /// The configured names of the load report's fields when the work began.
    pub(super) fields: Rc<[String]>,
    pub(super) written: usize,
    /// A time just before the last check that found nothing unread on its connection.
    pub(super) checked_at: Tenths,
    pub(super) answer: Answer,
}

impl Job {
    /// Whether a part of its answer has arrived.
    pub(super) fn answer_begun(&self, conn: &Conn) -> bool {
        self.answer.described || self.answer.code.is_some() || !conn.input.is_empty()
    }

    /// Whether another connection may carry it instead: it was waiting on a pooled connection and nothing was written.
    pub(super) fn can_move(&self) -> bool {
        self.idled.is_some() && self.wait.is_none()
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

    /// Sets the wait to the time that is left. Danger: a statement that is delayed before its wait is written would carry a
    /// time that has passed. The message header already contains the length, so the wait keeps its width.
    fn set_wait(&mut self, now: Tenths) {
        let at = &self.statement.wait_at;
        let width = match &self.wait {
            Some(_) if at.is_empty() || self.written > 5 + at.start => return,
            before => before.as_ref().map_or(0, String::len),
        };
        let left = (self.limit_at - now).max(10) / 10;
        self.wait = Some(if at.is_empty() { String::new() } else { format!("{left:0width$}") });
    }

    /// Continues to write the statement. Danger: the system may accept only a part, and any time may pass between two parts
    /// or within a write. Bytes that arrive from the member in that time would be read as the answer. So after a short write
    /// the last byte is held back and written separately, right after a check that nothing is unread; and after a delay only
    /// bytes that arrived after the last byte was sent may be the answer.
    pub(super) fn write(&mut self, stream: &TcpStream, clock: &Clock) -> io::Result<Progress> {
        self.set_wait(clock.now());
        let size = self.size();
        while self.written < size {
            let stale = clock.now() - self.checked_at > MAX_CHECK_TO_WRITTEN;
            if stale || self.has_last_byte_left() {
                self.checked_at = clock.now();
                match unread(stream) {
                    Ok(Unread::Nothing) => {}
                    Ok(Unread::Bytes) => return Ok(Progress::Unsolicited),
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
        let held_up = clock.now() - self.checked_at > MAX_CHECK_TO_WRITTEN;
        let ambiguous = held_up
            && unread(stream).is_ok_and(|unread| unread == Unread::Bytes)
            && !last_received_after_last_sent(stream);
        Ok(if ambiguous { Progress::Ambiguous } else { Progress::Complete })
    }

    fn has_last_byte_left(&self) -> bool {
        self.written > 0 && self.written + 1 == self.size()
    }

    /// Writes everything at first; after a short write all but the last byte; then the last byte.
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
