//! Reads from members: parses bytes into messages, and messages into startup replies and answers.

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
                Ok(_) if conn.stage == Stage::Open && (conn.job.is_none() || conn.has_unwritten_work()) => {
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
        let mut done = None;
        while done.is_none() {
            let message = match pgwire::node_message(&conn.input[at..]) {
                Ok(Some(message)) => message,
                Ok(None) => break,
                Err(_) => {
                    done = Some(Err(Cause::Garbled));
                    break;
                }
            };
            let raw_message = &conn.input[at..at + message.size];
            at += message.size;
            done = match (conn.stage, &mut conn.job) {
                (Stage::Open, Some(job)) => {
                    let ended = job.answer.take(message.kind, message.body, raw_message, &job.fields);
                    ended.then(|| job.answer.outcome())
                }
                (Stage::Open, None) => Some(Err(Cause::Garbled)),
                (_, job) => match message.kind {
                    b'Z' => {
                        conn.stage = Stage::Open;
                        self.deadlines.clear(Due::Dial(key));
                        match job {
                            // These bytes precede the query, which is not sent yet.
                            Some(_) if at < conn.input.len() => Some(Err(Cause::Garbled)),
                            Some(_) => None,
                            None => Some(Ok(())),
                        }
                    }
                    b'E' => {
                        let code = pgwire::sqlstate(message.body).and_then(|c| c.try_into().ok());
                        Some(Err(code.map_or(Cause::Garbled, Cause::Code)))
                    }
                    b'R' if message.body != [0; 4] => Some(Err(Cause::Garbled)),
                    b'S' => {
                        if let Some(primary) = answer::role(message.body) {
                            let (node, asked) = (conn.node.clone(), conn.idle_since);
                            self.results.push_back(NodeResult::Role { node, asked, primary });
                        }
                        None
                    }
                    _ => None,
                },
            };
        }
        conn.input.discard_front(at);
        match done {
            None => {}
            Some(Ok(())) => self.pool_conn(key),
            // After an error that leaves the member ready for the next query, the connection can be reused.
            Some(Err(cause @ Cause::Code(_))) if conn.stage == Stage::Open => {
                if let Some(job) = conn.job.take() {
                    let node = conn.node.clone();
                    self.queue_outcome(node, job, Err(Failure { reached: Reached::Written, cause }));
                }
                self.pool_conn(key);
            }
            Some(Err(cause)) => self.break_conn(key, cause),
        }
    }
}
