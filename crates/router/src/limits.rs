//! What the limits told come to: how many connections clients and nodes may hold, and how much clients may have sent.
//! Stated here alone.

/// Descriptors for the listener, two watches, signals, the loop itself and what may come.
const RESERVE: usize = 32;
/// The part of connections that is the clients' own. Each command in hand can have its connection to a node, and
/// probes and kept ones theirs beside it.
const CLIENTS_PART: f64 = 0.45;
/// The part of connections that is not lent to clients: dials take these while what was lent is given back.
const SPARE_PART: f64 = 0.125;
/// Clients hold a third of the descriptors at most, as the deployment has it. From this part of it on whoever is
/// quiet makes way, so that some are left.
const ASKED_PART: f64 = 0.75 / 3.0;
/// The most descriptors that the deployment tells. A router that is told more stands before clients that stay: they
/// may hold all of their own but for what is left to newcomers at the deployment's most, a twelfth of it.
const DEPLOYED_MOST: usize = 1_024;
const NEWCOMERS: usize = DEPLOYED_MOST / 12;
/// Of the memory, the part that clients that stay may fill, and what one takes: 0.8 KiB were measured
/// (`docs/measured/clients.md`), and its queries may be longer. Bytes.
const STAYING_PART: f64 = 0.125;
const STAYING_COST: usize = 2_048;
/// The part of the memory that what clients have sent and is not yet taken may fill. Danger: memory over half
/// of the limit is paid for, and answers, lists and the module's tables stand beside it.
const HELD_PART: f64 = 0.125;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections of clients and to nodes together.
    pub room: usize,
    /// Of these the clients' own and the nodes' own.
    pub clients: usize,
    pub nodes: usize,
    pub spare: usize,
    /// From how many clients that have asked on the quiet ones are ended.
    pub asked: usize,
    /// Bytes.
    pub held: usize,
}

fn part(of: usize, share: f64) -> usize {
    (of as f64 * share) as usize
}

fn asked(sockets: usize, memory: usize, clients: usize) -> usize {
    let deployed = part(sockets.min(DEPLOYED_MOST), ASKED_PART);
    if sockets <= DEPLOYED_MOST {
        return deployed;
    }
    let borne = part(memory, STAYING_PART) / STAYING_COST;
    clients.saturating_sub(NEWCOMERS).min(borne).max(deployed)
}

impl Limits {
    pub fn new(sockets: usize, memory: usize) -> Limits {
        let room = sockets.saturating_sub(RESERVE).max(4);
        let clients = part(room, CLIENTS_PART);
        let (nodes, spare) = (room - clients, part(room, SPARE_PART));
        Limits {
            room,
            clients,
            nodes,
            spare,
            asked: asked(sockets, memory, clients),
            held: part(memory, HELD_PART),
        }
    }
}

#[cfg(test)]
mod tests;
