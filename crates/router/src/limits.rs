//! Derives all internal limits from the configured ones: connections of clients and to nodes, and the bytes held for
//! clients.

/// Descriptors reserved for the listener, four connections to discovery, signals, the event loop and future needs.
const RESERVED_DESCRIPTORS: usize = 32;
/// The share of connections that belongs to clients. The rest is enough for one node connection per open command, and
/// for probes and idle connections.
const CLIENTS_PART: f64 = 0.45;
/// The share of connections that is never lent to clients: dials use these until lent connections are returned.
const SPARE_PART: f64 = 0.125;
/// In the deployment, clients hold a third of the descriptors at most. Once clients that have sent a query hold three
/// quarters of that third (0.75 / 3.0), idle ones are closed, so that some descriptors stay free.
const IDLE_CLOSE_PART: f64 = 0.75 / 3.0;
/// The largest descriptor limit that the deployment configures. A router with a larger limit serves clients that stay
/// connected: they may hold the whole client share, except for a twelfth of this limit, which is kept for new clients.
const MAX_DEPLOYED_DESCRIPTORS: usize = 1_024;
const RESERVED_FOR_NEW_CLIENTS: usize = MAX_DEPLOYED_DESCRIPTORS / 12;
/// The share of the memory limit for clients that stay connected, and the bytes that one of them takes: 0.8 KiB were
/// measured (`docs/measured/clients.md`), and queries may be longer.
const STAYING_PART: f64 = 0.125;
const BYTES_PER_CLIENT: usize = 2_048;
/// The share of the memory limit for all bytes held for clients: input, statements, answers and output. The program, its
/// connections, the member list and the module's tables need the rest.
const HELD_PART: f64 = 0.5;
/// The share of the bytes held above which nothing more is read ahead of an open command.
const READ_AHEAD_PART: f64 = 0.5;
/// The share of the bytes held that is given up beyond the excess, so that not every read gives something up.
const RECLAIM_MARGIN_PART: f64 = 1.0 / 64.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections of clients and to nodes in total.
    pub room: usize,
    /// The clients' share of `room`, and the nodes' share.
    pub clients: usize,
    pub nodes: usize,
    /// The part of the nodes' share that is never lent to clients.
    pub spare: usize,
    /// If more clients than this have sent a query, idle ones are closed.
    pub staying_clients: usize,
    /// Bytes that may be held for clients in total.
    pub held: usize,
    /// While more bytes than this are held, nothing is read ahead of an open command.
    pub held_for_read_ahead: usize,
    /// Once more than `held` are held, bytes are given up until no more than this are.
    pub held_after_reclaim: usize,
}

fn part(of: usize, share: f64) -> usize {
    (of as f64 * share) as usize
}

fn staying_clients(sockets: usize, memory: usize, clients: usize) -> usize {
    let deployed = part(sockets.min(MAX_DEPLOYED_DESCRIPTORS), IDLE_CLOSE_PART);
    if sockets <= MAX_DEPLOYED_DESCRIPTORS {
        return deployed;
    }
    let by_memory = part(memory, STAYING_PART) / BYTES_PER_CLIENT;
    clients.saturating_sub(RESERVED_FOR_NEW_CLIENTS).min(by_memory).max(deployed)
}

impl Limits {
    pub fn new(sockets: usize, memory: usize) -> Limits {
        let room = sockets.saturating_sub(RESERVED_DESCRIPTORS).max(4);
        let clients = part(room, CLIENTS_PART);
        let (nodes, spare) = (room - clients, part(room, SPARE_PART));
        let held = part(memory, HELD_PART);
        Limits {
            room,
            clients,
            nodes,
            spare,
            staying_clients: staying_clients(sockets, memory, clients),
            held,
            held_for_read_ahead: part(held, READ_AHEAD_PART),
            held_after_reclaim: held - part(held, RECLAIM_MARGIN_PART),
        }
    }
}

#[cfg(test)]
mod tests;
