//! What the simulated driver holds: tries, flights, probes, hosts and the pools of connections.

use crate::clients::Wish;
use crate::decider::Decider;
use std::collections::{BTreeMap, BTreeSet};
use vetchkeel_emulated::Micros;

/// One try of a client: a command, as its router knows it.
pub(super) struct Try {
    pub(super) wish: Wish,
    pub(super) router: usize,
    pub(super) taken: Micros,
    pub(super) deadline: Micros,
    pub(super) ended: bool,
    /// The member of the last dispatch, and when that was decided.
    pub(super) last: Option<(usize, Micros)>,
    /// The flight of each dispatch.
    pub(super) flights: Vec<u64>,
    /// Flights of which either side has not seen the end.
    pub(super) out: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Dialling,
    Written,
}

/// One connection that carries nothing now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Conn {
    /// The member at its other end, and that member's life when it was opened.
    pub(super) by: usize,
    pub(super) life: u32,
    pub(super) since: Micros,
}

/// One dispatch on its way.
pub(super) struct Flight {
    pub(super) router: usize,
    pub(super) command: u64,
    pub(super) dispatch: u32,
    /// The member that was meant, and the one at the other end once there is a connection.
    pub(super) node: usize,
    pub(super) conn: Option<Conn>,
    pub(super) stage: Stage,
    pub(super) decided: Micros,
    pub(super) written: Micros,
    pub(super) until: Micros,
    /// How long its connection had idled; None for a new one.
    pub(super) idled: Option<Micros>,
    pub(super) work: f64,
    pub(super) needed: Option<Micros>,
    /// The router waits for it; a member holds it.
    pub(super) open: bool,
    pub(super) at_member: bool,
}

pub(super) struct Probe {
    pub(super) router: usize,
    pub(super) life: u32,
    pub(super) node: usize,
    pub(super) sent: Micros,
    pub(super) done: bool,
}

/// A router's place: its decisions while it lives.
pub(super) struct Host {
    pub(super) decider: Option<Decider>,
    pub(super) life: u32,
    pub(super) wake: Micros,
    pub(super) died_at: Micros,
    /// Members that its lists have named.
    pub(super) heard: BTreeSet<usize>,
}

impl Default for Host {
    fn default() -> Host {
        Host { decider: None, life: 0, wake: Micros::MAX, died_at: Micros::MIN / 2, heard: BTreeSet::new() }
    }
}

#[derive(Default)]
struct Pool {
    idle: Vec<Conn>,
    watched: bool,
}

/// The connections that routers keep, by router and member.
pub(super) struct Pools(Vec<BTreeMap<usize, Pool>>);

impl Pools {
    pub(super) fn new(routers: usize) -> Pools {
        Pools((0..routers).map(|_| BTreeMap::new()).collect())
    }

    pub(super) fn pop(&mut self, router: usize, node: usize) -> Option<Conn> {
        self.0[router].get_mut(&node)?.idle.pop()
    }

    /// Keeps a connection. True if nobody looks at this pool yet.
    pub(super) fn keep(&mut self, router: usize, node: usize, conn: Conn) -> bool {
        let pool = self.0[router].entry(node).or_default();
        pool.idle.push(conn);
        !std::mem::replace(&mut pool.watched, true)
    }

    /// Takes out what has idled since `before`; the time of the oldest that is left.
    pub(super) fn older(
        &mut self,
        router: usize,
        node: usize,
        before: Micros,
    ) -> (Vec<Conn>, Option<Micros>) {
        let Some(pool) = self.0[router].get_mut(&node) else { return (Vec::new(), None) };
        let (old, kept) = pool.idle.drain(..).partition(|c| c.since <= before);
        pool.idle = kept;
        let oldest = pool.idle.iter().map(|c| c.since).min();
        pool.watched = oldest.is_some();
        (old, oldest)
    }

    pub(super) fn take_all(&mut self, router: usize, node: usize) -> Vec<(usize, Conn)> {
        let idle = self.0[router].get_mut(&node).map(|p| std::mem::take(&mut p.idle)).unwrap_or_default();
        idle.into_iter().map(|c| (node, c)).collect()
    }

    pub(super) fn drain(&mut self, router: usize) -> Vec<(usize, Conn)> {
        let pools = self.0[router].iter_mut();
        pools.flat_map(|(node, p)| std::mem::take(&mut p.idle).into_iter().map(|c| (*node, c))).collect()
    }
}
