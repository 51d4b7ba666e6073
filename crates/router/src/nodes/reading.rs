//! Reads from members: parses bytes into messages, and messages into startup replies and answers.

use super::barrier::BarrierStep;
use super::pool::Availability;
use super::{ANSWER_STALL_LIMIT, MAX_RECEIVED_BYTES, Stage, answer};
use crate::Program;
use crate::commands::NodeResult;
use crate::deadlines::Due;
use crate::ending::{Cause, Failure, Reached};
use crate::keys::ConnKey;
use crate::transient::is_transient;
use std::io::{ErrorKind, Read};
use vetchkeel_pgwire as pgwire;

impl Program {
    pub(super) fn read_conn(&mut self, key: ConnKey) {
        let mut ended = false;
        while !ended {
            let Some(conn) = self.nodes.conns.get_mut(key) else { return };
            match (&*conn.stream).read(&mut self.scratch) {
                Ok(0) => ended = true,
                // Bytes that are unsolicited, or that arrive before the statement is completely written, put the
                // connection out of step. Danger: a partial message would be read as the beginning of the next answer.
                Ok(_) if conn.expects_nothing() => {
                    return self.break_conn(key, Cause::Garbled);
                }
                Ok(read) => {
                    conn.retry.reset();
                    conn.reads += 1;
                    conn.input.append(&self.scratch[..read]);
                    conn.received += read;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if is_transient(&e) => return self.retry_conn(key),
                Err(_) => ended = true,
            }
            self.take_messages(key);
            self.limit_memory();
            // Danger: an answer that never ends would delay all other connections.
            if let Some(conn) = self.nodes.conns.get(key).filter(|conn| conn.received > MAX_RECEIVED_BYTES) {
                let complete = conn.job.as_ref().is_some_and(|j| j.answer.outcome().is_ok());
                return self.break_conn(key, if complete { Cause::Broken } else { Cause::Garbled });
            }
        }
        if ended {
            return self.break_conn(key, Cause::Broken);
        }
        if let Some(conn) = self.nodes.conns.get(key)
            && let Some(job) =
                conn.job.as_ref().filter(|job| conn.stage == Stage::Open && job.answer_begun(conn))
        {
            // Bytes after a complete answer do not extend its deadline.
            let before = self.deadlines.time(Due::Work(key)).filter(|_| job.answer.outcome().is_ok());
            let limit_at = before.unwrap_or(job.limit_at);
            self.deadlines.set(Due::Work(key), limit_at.min(self.now + ANSWER_STALL_LIMIT));
        }
    }

    /// Processes all complete messages in the input.
    fn take_messages(&mut self, key: ConnKey) {
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        let mut at = 0;
        let mut step = Step::Pending;
        while step == Step::Pending {
            let message = match pgwire::node_message(&conn.input[at..]) {
                Ok(Some(message)) => message,
                Ok(None) => break,
                Err(_) => {
                    step = Step::Ended(Err(Cause::Garbled));
                    break;
                }
            };
            let raw_message = &conn.input[at..at + message.size];
            at += message.size;
            let is_last = at == conn.input.len();
            step = match (conn.stage, &mut conn.job, &mut conn.availability) {
                (Stage::Open, _, Availability::Behind(barrier)) => {
                    let step = barrier.take(message.kind);
                    self.counters.barriers.late_answers += barrier.is_late(message.kind) as u64;
                    match step {
                        // More is here: a second answer to the barrier, which ends alike.
                        BarrierStep::Passed if is_last => Step::Passed,
                        BarrierStep::Passed | BarrierStep::Pending => Step::Pending,
                        BarrierStep::Garbled => Step::Ended(Err(Cause::Garbled)),
                    }
                }
                (Stage::Open, Some(job), _) => {
                    let ended = job.answer.take(message.kind, message.body, raw_message, &job.fields);
                    if ended { Step::Ended(job.answer.outcome()) } else { Step::Pending }
                }
                (Stage::Open, None, _) => Step::Ended(Err(Cause::Garbled)),
                (_, job, _) => match message.kind {
                    // These bytes precede the query, which is not sent yet.
                    b'Z' if job.is_some() && !is_last => Step::Ended(Err(Cause::Garbled)),
                    b'Z' => Step::Opened,
                    b'E' => {
                        let code = pgwire::sqlstate(message.body).and_then(|c| c.try_into().ok());
                        Step::Ended(Err(code.map_or(Cause::Garbled, Cause::Code)))
                    }
                    b'R' if message.body != [0; 4] => Step::Ended(Err(Cause::Garbled)),
                    b'S' => {
                        if let Some(primary) = answer::role(message.body) {
                            let (node, asked) = (conn.node.clone(), conn.idle_since);
                            self.results.push_back(NodeResult::Role { node, asked, primary });
                        }
                        Step::Pending
                    }
                    _ => Step::Pending,
                },
            };
        }
        conn.input.discard_front(at);
        match step {
            Step::Pending => {}
            Step::Opened => self.finish_startup_of(key),
            Step::Passed => self.pass_barrier(key),
            Step::Ended(result) => self.end_answer(key, result),
        }
    }

    /// Handles the end of a startup.
    fn finish_startup_of(&mut self, key: ConnKey) {
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        conn.stage = Stage::Open;
        self.deadlines.clear(Due::Dial(key));
        if conn.job.is_none() {
            self.pool_conn(key);
        }
    }

    /// Handles the end of an answer, or a message that cannot be processed. After an error that leaves the member ready for the
    /// next query, the connection can be used again.
    fn end_answer(&mut self, key: ConnKey, result: Result<(), Cause>) {
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        let result = match result {
            Ok(()) => Ok(()),
            Err(cause @ Cause::Code(_)) if conn.stage == Stage::Open => {
                Err(Failure { reached: Reached::Written, cause })
            }
            Err(cause) => return self.break_conn(key, cause),
        };
        let Some(job) = conn.job.take() else { return };
        let (node, took) = (conn.node.clone(), self.now - job.checked_at);
        self.queue_outcome(node, job, result);
        self.pool_after_answer(key, took);
    }
}

/// What the latest message of a member leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// More messages are needed.
    Pending,
    /// The connection is open.
    Opened,
    /// The barrier of the connection is answered.
    Passed,
    /// The answer has ended, or cannot be processed.
    Ended(Result<(), Cause>),
}
