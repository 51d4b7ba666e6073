//! What came while the process was held up counts before anything is decided or written. Between the loop's poll and a write any time may
//! pass (a page fault, a busy machine, a stop), and what lies at the router by then may forbid the write: a cancel, the
//! word of a member that is no primary any more, a change of the list.

use crate::{OVERDUE, Program};
use calloop::EventLoop;
use std::time::Duration;
use vetchkeel::Tenths;

/// How old the last look at what has come may be as an attempt is written. The operators' pages grant 100 ms behind a cancel
/// and behind what an answer tells.
const LOOK_MOST: Tenths = 500;
/// Polls in a row, where each of them is held up.
const POLLS_MOST: u32 = 4;

/// Waits for events and takes them in; once more without waiting where that took long, as what came meanwhile is not known.
pub fn poll(event_loop: &mut EventLoop<'static, Program>, program: &mut Program) -> calloop::Result<()> {
    program.looked_at = program.clock.now();
    event_loop.dispatch(program.sleep(), program)?;
    let mut behind = program.is_behind();
    for _ in 1..POLLS_MOST {
        if !behind {
            break;
        }
        program.looked_at = program.clock.now();
        event_loop.dispatch(Some(Duration::ZERO), program)?;
        behind = program.looked_long_ago();
    }
    Ok(())
}

impl Program {
    /// The last look was long ago, or a deadline is overdue: the process may have stood still. Danger: stopped and let go
    /// again, the poll ends without a look at what came meanwhile.
    pub fn is_behind(&self) -> bool {
        self.looked_long_ago() || self.deadlines.first().is_some_and(|at| at + OVERDUE < self.clock.now())
    }

    fn looked_long_ago(&self) -> bool {
        self.clock.now() - self.looked_at > LOOK_MOST
    }

    /// Asked before decisions are pulled and before an attempt is written.
    pub fn catch_up(&mut self) {
        self.read_clock();
        if self.looked_long_ago() {
            self.look_at_what_forbids();
            self.tell_news();
        }
    }

    /// Takes in all that may forbid a write. A client's own connection is looked at with each write (`see_leaving`).
    fn look_at_what_forbids(&mut self) {
        self.looked_at = self.now;
        self.hear_watch();
        self.accept_waiting();
        for key in self.clients.opening() {
            self.client_event(key, false);
        }
        for key in self.nodes.keys() {
            self.conn_event(key, false);
        }
    }
}
