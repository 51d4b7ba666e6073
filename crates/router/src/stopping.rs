//! The steps of stopping after SIGTERM, and when each is due. SIGKILL follows SIGTERM after the longest client timeout,
//! so the steps count from the earliest time at which SIGTERM may have come. New clients connect for a while after
//! SIGTERM, so the listener stays open for as long counted from the latest such time.

use crate::polls::{MAX_UNDISTURBED, TimeRange};
use vetchkeel::Tenths;

/// After SIGTERM the process runs for the longest client timeout, capped at `MAX_CLIENT_TIMEOUT`, plus this time, in
/// which new clients may still connect.
const ACCEPTING_TIME: Tenths = 7_000;
/// New clients still arrive for 0.4 s after SIGTERM, so clients are accepted and read for at least this long, however
/// short the client timeouts are.
const MIN_ACCEPTING_TIME: Tenths = 4_500;
const MAX_CLIENT_TIMEOUT: Tenths = 30_000;
/// Steps of stopping, as the time that remains until the process may be killed: when the listener closes
/// (`STOP_ACCEPTING_MARGIN`); what commands that arrive after SIGTERM must leave unused (`COMMAND_MARGIN`); when all
/// open commands are answered (`FINAL_ANSWER_MARGIN`); when the process ends, whether or not all clients have closed
/// by then (`EXIT_MARGIN`, as SIGTERM may have come that much before it was handled, without a standstill). A router may
/// be stalled for 0.15 s between reading the clock and writing, and again before it sleeps.
const STOP_ACCEPTING_MARGIN: Tenths = 12_000;
const COMMAND_MARGIN: Tenths = 3_600;
const FINAL_ANSWER_MARGIN: Tenths = 3_500;
const EXIT_MARGIN: Tenths = MAX_UNDISTURBED;
/// After the final answers clients have at least this long to read them and to close.
const MIN_CLOSING_TIME: Tenths = 2_000;

/// When each step of stopping is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Commands that arrive after SIGTERM must be answered by then.
    pub answer_commands_by: Tenths,
    /// The listener closes.
    pub stop_accepting_at: Tenths,
    /// All open commands are answered, and nothing more is read.
    pub final_answers_at: Tenths,
    /// The process ends, whether or not all clients have closed.
    pub exit_at: Tenths,
}

impl StopSchedule {
    pub fn new(signalled: TimeRange, longest_client_timeout: Tenths) -> StopSchedule {
        let kill_at =
            signalled.limit_start() + ACCEPTING_TIME + longest_client_timeout.min(MAX_CLIENT_TIMEOUT);
        let final_answers_at = (kill_at - FINAL_ANSWER_MARGIN).max(signalled.latest + MIN_ACCEPTING_TIME);
        // Danger: nothing is read after the final answers, so the last clients must be accepted and read before them.
        let stop_accepting_at =
            (signalled.latest + ACCEPTING_TIME).max(kill_at - STOP_ACCEPTING_MARGIN).min(final_answers_at);
        StopSchedule {
            answer_commands_by: kill_at - COMMAND_MARGIN,
            stop_accepting_at,
            final_answers_at,
            exit_at: (kill_at - EXIT_MARGIN).max(final_answers_at + MIN_CLOSING_TIME),
        }
    }
}

#[cfg(test)]
mod tests;
