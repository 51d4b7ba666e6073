//! A barrier on a connection: an empty query whose answer shows that everything the member sent before has arrived. What
//! arrives before that answer is discarded.

use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;
use vetchkeel::Tenths;
use vetchkeel_pgwire as pgwire;

/// The state of a barrier that has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Barrier {
    pub(super) written_at: Tenths,
    /// Whether EmptyQueryResponse has arrived, which no statement's answer contains.
    answered: bool,
}

/// What a message that arrived behind a written barrier shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BarrierStep {
    /// It belongs to an earlier statement, or it is only a part of the barrier's answer.
    Pending,
    /// The barrier's answer is complete.
    Passed,
    /// No member that is ready for statements sends it.
    Garbled,
}

impl Barrier {
    pub(super) fn new(written_at: Tenths) -> Barrier {
        Barrier { written_at, answered: false }
    }

    /// Processes a message by its kind.
    pub(super) fn take(&mut self, kind: u8) -> BarrierStep {
        match kind {
            b'I' => self.answered = true,
            b'Z' if self.answered => return BarrierStep::Passed,
            b'S' | b'N' | b'A' => {}
            b'T' | b'D' | b'C' | b'E' | b'Z' if !self.answered => {}
            _ => return BarrierStep::Garbled,
        }
        BarrierStep::Pending
    }

    /// Whether a message just taken ends an answer that is older than the barrier.
    pub(super) fn is_late(&self, kind: u8) -> bool {
        kind == b'Z' && !self.answered
    }
}

/// Writes a barrier. It is so short that a connection which accepts only a part of it is not usable.
pub(super) fn write_barrier(mut stream: &TcpStream) -> io::Result<()> {
    let mut message = Vec::new();
    pgwire::query(&mut message, "");
    loop {
        match stream.write(&message) {
            Ok(written) if written == message.len() => return Ok(()),
            Ok(_) => return Err(ErrorKind::WriteZero.into()),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

#[cfg(test)]
mod tests;
