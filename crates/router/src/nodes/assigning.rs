//! Assigns work to a connection: to a pooled one that is available, to one whose barrier is about to be answered, or to a new
//! one.

use super::answer::Answer;
use super::dial_cause;
use super::job::Job;
use crate::Program;
use crate::deadlines::Due;
use crate::ending::{Failure, Reached};
use crate::keys::{ConnKey, Statement, Work};
use crate::leaving::{Unread, unread};
use crate::reasons::MemberClose;
use std::rc::Rc;
use vetchkeel::{Id, Tenths};
use vetchkeel_log::log;

/// When the statement may be written to an available connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteAt {
    Once,
    /// After all input of this round has been processed.
    EndOfRound,
}

impl Program {
    /// Sends a health probe to a member.
    pub fn probe(&mut self, node: &Id) {
        let limit_at = self.now + self.nodes.dial_limit;
        self.begin_work(node, Work::Probe, self.nodes.probe.clone(), limit_at, limit_at);
    }

    /// Begins work at a member. A statement that is not completely written by `until` is not written any more.
    pub fn begin_work(
        &mut self,
        node: &Id,
        work: Work,
        statement: Rc<Statement>,
        limit_at: Tenths,
        until: Tenths,
    ) {
        let (since, wait, answer) = (self.now, None, Answer::new(&self.memory));
        let (idled, written, fields) = (None, 0, self.nodes.report_fields.clone());
        let checked_at = since;
        let job =
            Job { work, statement, wait, since, idled, limit_at, until, fields, written, checked_at, answer };
        // Danger: the writes of many decisions may each be held up, and answers that are ready would wait for all.
        let write_at = if self.round_is_long() { WriteAt::EndOfRound } else { WriteAt::Once };
        self.assign(node, job, write_at);
    }

    /// Gives work of a pooled connection that has become unusable to another connection.
    pub(super) fn move_work(&mut self, node: &Id, job: Job) {
        self.assign(node, Job { idled: None, ..job }, WriteAt::EndOfRound);
    }

    fn assign(&mut self, node: &Id, job: Job, write_at: WriteAt) {
        if let Some((key, checked_at)) = self.take_usable(node) {
            self.assign_pooled(key, Job { checked_at, ..job });
            return match write_at {
                WriteAt::Once => self.write_work(key),
                WriteAt::EndOfRound => self.nodes.writable.push(key),
            };
        }
        match self.take_behind_barrier(node) {
            Some(key) => {
                self.assign_pooled(key, job);
                self.deadlines.set(Due::Dial(key), self.now + self.nodes.dial_limit);
            }
            None => self.assign_new(node, job),
        }
    }

    /// Takes an available connection, and the time just before a check that nothing is unread on it. One that has ended
    /// meanwhile, or that holds unsolicited bytes, cannot be reused.
    fn take_usable(&mut self, node: &Id) -> Option<(ConnKey, Tenths)> {
        while let Some(key) = self.take_reusable(node) {
            self.deadlines.clear(Due::Idle(key));
            let Some(conn) = self.nodes.conns.get(key) else { continue };
            if self.now - conn.idle_since > self.nodes.idle_limit {
                self.drop_conn(key, MemberClose::Idle);
                continue;
            }
            let checked_at = self.clock.now();
            match unread(&conn.stream) {
                Ok(Unread::Nothing) => return Some((key, checked_at)),
                _ => self.drop_conn(key, MemberClose::EndedIdle),
            }
        }
        None
    }

    fn assign_pooled(&mut self, key: ConnKey, job: Job) {
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        self.counters.reused += 1;
        self.deadlines.clear(Due::Idle(key));
        self.deadlines.set(Due::Work(key), job.limit_at.min(job.until));
        conn.job = Some(Job { idled: Some(self.now - conn.idle_since), ..job });
    }

    fn assign_new(&mut self, node: &Id, job: Job) {
        match self.open_conn(node) {
            Ok(key) => {
                self.counters.dials += 1;
                self.deadlines.set(Due::Work(key), job.limit_at.min(job.until));
                self.deadlines.set(Due::Dial(key), self.now + self.nodes.dial_limit);
                self.nodes.conns[key].job = Some(job);
            }
            Err(e) => {
                log!("node {node}: cannot open a connection: {e}");
                let cause = dial_cause(&e);
                self.queue_outcome(node.clone(), job, Err(Failure { reached: Reached::Dialling, cause }));
            }
        }
    }
}
