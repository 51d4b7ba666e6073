//! Reads input that arrived during a stall before anything is decided or written. Any amount of time may pass between
//! the event loop's poll and a write (a page fault, a busy machine, a stopped process), and input that arrives
//! meanwhile may forbid the write: a cancel request, a member's report that it is no longer primary, a changed member
//! list.

use crate::polls::processor_time;
use crate::{Program, STALL_THRESHOLD};
use calloop::EventLoop;
use std::time::Duration;
use vetchkeel::Tenths;
use vetchkeel_log::log;

/// The maximum number of consecutive polls when each of them stalls.
const MAX_POLLS: u32 = 4;

/// Waits for events and handles them; polls again without waiting if that took long, as more input may have arrived.
pub fn poll(event_loop: &mut EventLoop<'static, Program>, program: &mut Program) -> calloop::Result<()> {
    poll_once(event_loop, program, Program::poll_timeout)?;
    let mut behind = program.is_behind();
    for _ in 1..MAX_POLLS {
        if !behind {
            break;
        }
        poll_once(event_loop, program, |_| 0)?;
        behind = program.poll_is_stale();
    }
    Ok(())
}

fn poll_once(
    event_loop: &mut EventLoop<'static, Program>,
    program: &mut Program,
    timeout: impl Fn(&Program) -> Tenths,
) -> calloop::Result<()> {
    let began = program.clock.now();
    if let Some(standstill) = program.polls.begin(began, processor_time()) {
        log!(
            "the process stood still: {} ms passed between two polls, of which it ran for {} ms",
            standstill.length / 10,
            standstill.ran / 10
        );
    }
    let timeout = timeout(program);
    event_loop
        .dispatch(Duration::from_micros(timeout as u64 * 100), program)
        .inspect_err(|_| program.polls.fail())?;
    program.polls.end(began + timeout, program.clock.now());
    Ok(())
}

impl Program {
    /// True if the last poll was long ago or a deadline is overdue: the process may have been stalled. Danger: when a
    /// stopped process continues, its poll returns without the input that arrived meanwhile.
    pub fn is_behind(&self) -> bool {
        self.poll_is_stale()
            || self.deadlines.first().is_some_and(|at| at + STALL_THRESHOLD < self.clock.now())
    }

    /// True if the round has taken long, whatever input was read since its poll.
    pub fn round_is_long(&self) -> bool {
        self.polls.is_long_ago(self.clock.now())
    }

    fn poll_is_stale(&self) -> bool {
        self.polls.is_stale(self.clock.now())
    }

    /// Reads pending input if the last poll was long ago; called before decisions are pulled and before an attempt is
    /// written.
    pub fn catch_up(&mut self) {
        self.read_clock();
        if self.poll_is_stale() {
            self.read_pending_input();
            self.pass_results();
        }
    }

    /// Reads all input that may forbid a write. A client's own connection is checked at each write (`drop_disconnected_client`).
    fn read_pending_input(&mut self) {
        self.polls.check_input(self.now);
        self.read_watches();
        self.accept_waiting();
        for key in self.clients.opening() {
            self.client_event(key, false);
        }
        for key in self.nodes.keys() {
            self.conn_event(key, false);
        }
    }
}
