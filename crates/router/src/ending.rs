//! Errors of an attempt, as values that include how far the attempt had come, and the single function that maps them to
//! the module's `Ending`.

use std::fmt;
use vetchkeel::Ending;

/// How far an attempt had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reached {
    /// The connection is not open yet.
    Dialling,
    /// The connection is open, but the last byte of the statement is not written.
    Writing,
    /// The last byte was written, so the statement may run.
    Written,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// The connection was refused, reset or closed, or could not be opened.
    Broken,
    /// This machine lacked a resource for opening a connection.
    Local,
    /// The connection was not open within the dial timeout.
    DialLimit,
    /// The work passed its own time limit.
    Limit,
    CalledOff,
    /// When the statement was written, the member's data may have been too old for it.
    TooOld,
    /// The member answered with this SQLSTATE.
    Code([u8; 5]),
    /// The member sent bytes that are not a valid answer.
    Garbled,
}

/// How an attempt failed: how far it had come, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    pub reached: Reached,
    pub cause: Cause,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.cause {
            Cause::Code(code) => {
                write!(f, "code {} while {:?}", String::from_utf8_lossy(&code), self.reached)
            }
            cause => write!(f, "{cause:?} while {:?}", self.reached),
        }
    }
}

/// Maps a failure to what it proves. Unless the failure shows that a statement did not run, it may have run.
pub fn ending(failure: Failure) -> Ending {
    use Cause::*;
    match (failure.cause, failure.reached) {
        (Code(code), _) if &code == b"53300" => Ending::Full,
        (Code(code), Reached::Written) if matches!(&code, b"25006" | b"72000") => Ending::Miss,
        (Code(_) | Garbled, Reached::Written) => Ending::Error,
        (Limit, Reached::Written) => Ending::TimedOut,
        (CalledOff, Reached::Written) => Ending::CalledOff,
        (TooOld, Reached::Written) => Ending::TooOld,
        (Broken | Local | DialLimit, Reached::Written) => Ending::Reset,
        (Local, _) => Ending::NotDialled,
        (Limit | CalledOff | TooOld, _) => Ending::NeverSent,
        (Broken | DialLimit | Code(_) | Garbled, _) => Ending::ConnectFailed,
    }
}

/// Does the same for a probe. A probe that got no connection in time counts as timed out.
pub fn probe_ending(failure: Failure) -> Ending {
    match ending(failure) {
        Ending::NeverSent => Ending::TimedOut,
        ending => ending,
    }
}

#[cfg(test)]
mod tests;
