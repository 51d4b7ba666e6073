//! The pool of idle connections: when a connection may be used again, which one is used next, and which one gives way.

use super::barrier::{Barrier, write_barrier};
use super::{Conn, Member, Nodes};
use crate::Program;
use crate::deadlines::Due;
use crate::keys::ConnKey;
use crate::reasons::MemberClose;
use vetchkeel::{Id, NextUse, Tenths};

/// Whether the next statement may be written to a connection that carries none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// Whatever arrives from now on is sent after the next statement was received.
    Ready,
    /// An older answer may still arrive before this time.
    From(Tenths),
    /// Older answers may arrive until the barrier is answered.
    Behind(Barrier),
}

impl Conn {
    pub(super) fn is_available(&self, now: Tenths) -> bool {
        match self.availability {
            Availability::Ready => true,
            Availability::From(at) => at <= now,
            Availability::Behind(_) => false,
        }
    }

    pub(super) fn has_barrier(&self) -> bool {
        matches!(self.availability, Availability::Behind(_))
    }
}

impl Program {
    /// Takes the most recently used idle connection that is available.
    pub(super) fn take_reusable(&mut self, node: &Id) -> Option<ConnKey> {
        let Nodes { members, conns, .. } = &mut self.nodes;
        let idle = &mut members.get_mut(node)?.idle;
        let at =
            idle.iter().rposition(|key| conns.get(*key).is_none_or(|conn| conn.is_available(self.now)))?;
        Some(idle.remove(at))
    }

    /// Takes the idle connection whose barrier was written first, if waiting for the answer is better than a new connection.
    pub(super) fn take_behind_barrier(&mut self, node: &Id) -> Option<ConnKey> {
        let now = self.now;
        let Nodes { members, conns, .. } = &mut self.nodes;
        let Member { idle, reuse, .. } = members.get_mut(node)?;
        let is_worth_waiting = |key: &ConnKey| match conns.get(*key).map(|conn| conn.availability) {
            Some(Availability::Behind(barrier)) => reuse.is_worth_waiting(now - barrier.written_at),
            _ => false,
        };
        let at = idle.iter().position(is_worth_waiting)?;
        Some(idle.remove(at))
    }

    /// Returns a connection to the pool whose answer has ended, `took` after the statement was written.
    pub(super) fn pool_after_answer(&mut self, key: ConnKey, took: Tenths) {
        let now = self.now;
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        let member = self.nodes.members.get_mut(&conn.node).filter(|m| m.address == Some(conn.address));
        let Some(member) = member else { return self.drop_conn(key, MemberClose::LetGo) };
        conn.availability = match member.reuse.answer_ended(now, took) {
            NextUse::AfterBarrier => Availability::Behind(Barrier::new(now)),
            NextUse::From(at) => Availability::From(at),
        };
        if conn.has_barrier() && write_barrier(&conn.stream).is_err() {
            return self.drop_conn(key, MemberClose::EndedIdle);
        }
        self.counters.barriers.written += conn.has_barrier() as u64;
        self.pool_conn(key);
    }

    /// Returns a connection that carries no work to the pool. What has arrived behind an answer may stay only until a barrier.
    pub(super) fn pool_conn(&mut self, key: ConnKey) {
        self.deadlines.clear(Due::Work(key));
        self.deadlines.clear(Due::Dial(key));
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        (conn.idle_since, conn.received) = (self.now, 0);
        let usable = conn.input.is_empty() || conn.has_barrier();
        let address = Some(conn.address);
        match self.nodes.members.get_mut(&conn.node).filter(|m| usable && m.address == address) {
            Some(member) => {
                member.idle.push(key);
                self.deadlines.set(Due::Idle(key), self.now + self.nodes.idle_limit);
            }
            None => self.drop_conn(key, MemberClose::LetGo),
        }
    }

    /// Handles the complete answer to the barrier of a connection.
    pub(super) fn pass_barrier(&mut self, key: ConnKey) {
        let Some(conn) = self.nodes.conns.get_mut(key) else { return };
        let Availability::Behind(barrier) = conn.availability else { return };
        conn.availability = Availability::Ready;
        if let Some(job) = &mut conn.job {
            job.since = self.now;
        }
        self.deadlines.clear(Due::Dial(key));
        self.counters.barriers.answered += 1;
        if let Some(member) = self.nodes.members.get_mut(&conn.node) {
            member.reuse.barrier_answered(self.now, self.now - barrier.written_at);
        }
    }

    /// Passes on what the end of a connection with an unanswered barrier tells about its member.
    pub(super) fn end_barrier(&mut self, conn: &Conn, reason: MemberClose) {
        let Some(member) = self.nodes.members.get_mut(&conn.node).filter(|_| conn.has_barrier()) else {
            return;
        };
        if reason.is_by_member() || reason == MemberClose::Idle {
            member.reuse.barrier_unanswered(self.now);
        } else {
            member.reuse.barrier_abandoned();
        }
    }

    /// Frees a descriptor by closing the connection that has been idle longest. Without one it closes a client, even if that
    /// may not have received its last answer yet.
    pub(super) fn free_descriptor(&mut self) -> bool {
        let idle = self.nodes.members.values().filter_map(|m| m.idle.first().copied());
        match idle.min_by_key(|key| self.deadlines.time(Due::Idle(*key))) {
            Some(key) => self.drop_conn(key, MemberClose::GaveWay),
            None => return self.nodes.count() < self.limits.nodes && self.make_room(true),
        }
        true
    }

    /// Closes the idle pooled connections to a member.
    pub fn close_idle_conns(&mut self, node: &str) {
        let idle = self.nodes.members.get_mut(node).map(|m| std::mem::take(&mut m.idle)).unwrap_or_default();
        idle.into_iter().for_each(|key| self.drop_conn(key, MemberClose::LetGo));
    }
}
