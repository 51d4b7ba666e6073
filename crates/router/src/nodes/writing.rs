//! Writes statements to members: the checks before a write, and the age of the data that a written statement may read.

use super::Conn;
use super::job::{Job, Progress};
use crate::Program;
use crate::deadlines::Due;
use crate::ending::Cause;
use crate::keys::{ConnKey, Work};
use std::time::Instant;
use vetchkeel::{Written, may_continue};
use vetchkeel_log::{log, log_trace};

impl Program {
    /// Writes to all connections that are ready. Danger: after the process was stopped, the event that a member is writable
    /// may be processed before the event that cancels the command. So statements are written only once the module has
    /// received all input, including a list or a cancel that arrived during this turn. Bytes that arrived from the member by
    /// then are read first, as they would otherwise be read as the answer. Any write may be held up, so after a while the rest is
    /// left to the next round: clients wait for answers that are ready.
    pub fn write_nodes(&mut self) {
        if !self.nodes.writable.is_empty() {
            self.read_watches();
            self.accept_waiting();
        }
        let began = Instant::now();
        let mut writable = std::mem::take(&mut self.nodes.writable).into_iter();
        while may_continue(began.elapsed(), true)
            && let Some(key) = writable.next()
        {
            if let Some(job) = self.nodes.conns.get_mut(key).and_then(|conn| conn.job.as_mut()) {
                job.checked_at = self.clock.now();
            }
            self.read_conn(key);
            if self.nodes.conns.get(key).is_some_and(Conn::has_unwritten_work) {
                self.write_work(key);
            }
        }
        let meanwhile = std::mem::replace(&mut self.nodes.writable, writable.collect());
        self.nodes.writable.extend(meanwhile);
    }

    /// Writes the work of a connection. Danger: the process may be delayed between a decision and its write, repeatedly within
    /// one turn. So the clock is read at the write and once more after it, and input that arrived during a delay is
    /// processed first.
    pub(super) fn write_work(&mut self, key: ConnKey) {
        self.catch_up();
        self.read_clock();
        let now = self.now;
        let work = self.nodes.conns.get(key).and_then(|c| c.job.as_ref()).map(|j| j.work);
        if let Some(Work::Dispatch(command, _)) = work {
            self.drop_disconnected_client(command);
        }
        if let Some(Work::Dispatch(command, _)) = work.filter(|_| !self.has_begun(key))
            && !self.is_client_confirmed(command)
        {
            return self.retry_conn(key);
        }
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        let Some(job) = &mut conn.job else { return };
        // The deadline may have passed without being processed yet, and a held write may no longer be allowed.
        let may_write = match job.work {
            Work::Dispatch(command, dispatch) => self.commands.may_write(now, command, dispatch),
            Work::Probe => true,
        };
        if now > job.until.min(job.limit_at) || !may_write {
            return self.give_up_work(key, Cause::Limit);
        }
        if let (Work::Dispatch(command, number), 0) = (job.work, job.written) {
            let begun = (number, job.limit_at);
            self.commands.check_begin(now, command, begun, &conn.node, &mut self.invariants);
        }
        match job.write(&conn.stream, &self.clock) {
            Ok(Progress::Complete) => {
                conn.retry.reset();
                self.deadlines.set(Due::Work(key), job.limit_at);
                self.handle_written(key);
            }
            Ok(Progress::Blocked) => self.retry_conn(key),
            Ok(Progress::Unsolicited | Progress::Ambiguous) => self.break_conn(key, Cause::Garbled),
            Err(_) => self.break_conn(key, Cause::Broken),
        }
    }

    /// Whether a part of the work's statement has been written.
    fn has_begun(&self, key: ConnKey) -> bool {
        self.nodes.conns.get(key).and_then(|conn| conn.job.as_ref()).is_some_and(|job| job.written > 0)
    }

    /// Handles work whose statement has just been completely written.
    fn handle_written(&mut self, key: ConnKey) {
        let now = self.clock.now();
        let Some(conn) = self.nodes.conns.get(key) else { return };
        let Some(&Job { work: Work::Dispatch(command, number), since, .. }) = conn.job.as_ref() else {
            return;
        };
        let written = self.commands.attempt_written(now, command, number);
        self.counters.freshness.written(written);
        let (id, node, after) = (self.commands.id(command), &conn.node, (now - since) / 10);
        log_trace!(
            "command {id}: attempt {number} at {node} is written {after} ms after it was decided: {written:?}"
        );
        if let Written::TooOld { behind, may_give_up } = written {
            let behind = behind / 10;
            log!(
                "command {id}: attempt {number} at {node} may see data {behind} ms old, {after} ms after it was decided"
            );
            if may_give_up {
                self.break_conn(key, Cause::TooOld);
            }
        }
    }
}
