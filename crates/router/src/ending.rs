//! Errors of an attempt, as values that carry how far it had come, and the one function from there to the
//! module's `Ending`.

use std::fmt;
use vetchkeel::Ending;

/// How far an attempt had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reached {
    /// No open connection yet.
    Dialling,
    /// On an open connection, but for its last byte.
    Writing,
    /// The last byte was written: it may run.
    Written,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Refused, reset, closed, or not to be opened.
    Broken,
    /// Not open within the time for dialling.
    DialLimit,
    /// Past its own limit.
    Limit,
    CalledOff,
    /// The node answered with this SQLSTATE.
    Code([u8; 5]),
    /// The node answered with something that is no answer.
    Garbled,
}

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

/// What a failure proves. Whatever is not known to be harmless may have run.
pub fn ending(failure: Failure) -> Ending {
    use Cause::*;
    match (failure.cause, failure.reached) {
        (Code(code), _) if &code == b"53300" => Ending::Full,
        (Code(code), Reached::Written) if matches!(&code, b"25006" | b"72000") => Ending::Miss,
        (Code(_) | Garbled, Reached::Written) => Ending::Error,
        (Limit, Reached::Written) => Ending::TimedOut,
        (CalledOff, Reached::Written) => Ending::CalledOff,
        (Broken | DialLimit, Reached::Written) => Ending::Reset,
        (Limit | CalledOff, _) => Ending::NeverSent,
        (Broken | DialLimit | Code(_) | Garbled, _) => Ending::ConnectFailed,
    }
}

/// The same of a probe: of one that got no connection in its time only the silence is known.
pub fn probe_ending(failure: Failure) -> Ending {
    match ending(failure) {
        Ending::NeverSent => Ending::TimedOut,
        ending => ending,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case::refused(Reached::Dialling, Cause::Broken, Ending::ConnectFailed)]
    #[case::no_connection_in_time(Reached::Dialling, Cause::DialLimit, Ending::ConnectFailed)]
    #[case::full_at_startup(Reached::Dialling, Cause::Code(*b"53300"), Ending::Full)]
    #[case::starting_up(Reached::Dialling, Cause::Code(*b"57P03"), Ending::ConnectFailed)]
    #[case::limit_before_written(Reached::Writing, Cause::Limit, Ending::NeverSent)]
    #[case::called_off_before_written(Reached::Dialling, Cause::CalledOff, Ending::NeverSent)]
    #[case::broken_before_written(Reached::Writing, Cause::Broken, Ending::ConnectFailed)]
    #[case::broken_after(Reached::Written, Cause::Broken, Ending::Reset)]
    #[case::limit_after(Reached::Written, Cause::Limit, Ending::TimedOut)]
    #[case::called_off_after(Reached::Written, Cause::CalledOff, Ending::CalledOff)]
    #[case::full(Reached::Written, Cause::Code(*b"53300"), Ending::Full)]
    #[case::no_primary(Reached::Written, Cause::Code(*b"25006"), Ending::Miss)]
    #[case::behind(Reached::Written, Cause::Code(*b"72000"), Ending::Miss)]
    #[case::error(Reached::Written, Cause::Code(*b"XX000"), Ending::Error)]
    #[case::starting_up_after(Reached::Written, Cause::Code(*b"57P03"), Ending::Error)]
    #[case::no_answer_at_all(Reached::Written, Cause::Garbled, Ending::Error)]
    fn endings_follow_from_how_far_it_came(
        #[case] reached: Reached,
        #[case] cause: Cause,
        #[case] want: Ending,
    ) {
        assert_eq!(ending(Failure { reached, cause }), want);
    }

    #[rstest]
    #[case::no_connection(Reached::Dialling, Cause::Limit, Ending::TimedOut)]
    #[case::refused(Reached::Dialling, Cause::Broken, Ending::ConnectFailed)]
    fn a_silent_probe_timed_out(#[case] reached: Reached, #[case] cause: Cause, #[case] want: Ending) {
        assert_eq!(probe_ending(Failure { reached, cause }), want);
    }
}
