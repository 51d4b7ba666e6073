//! Messaging between the instances of a fleet: small datagrams that may be lost, and streams whose messages are
//! delivered in order or reported as unacknowledged.
//!
//! [`Transport`] is the contract; it is implemented in memory with simulated time, over UDP and over TCP. Decisions
//! (when to connect, when a stream is broken, which peer is refused) are made without I/O; the hosts carry them out.

pub mod contract;
mod dialling;
mod envelope;
pub mod fault;
mod frames;
mod listening;
mod memory;
mod message;
mod outgoing;
mod redial;
mod sockets;
mod talk;
mod tcp;
mod transport;
mod udp;

pub use envelope::{FrameType, Header, MAX_OVERHEAD, VERSION, decode, encode, pack, unpack};
pub use memory::{MemoryTransport, SimulatedNetwork};
pub use message::{
    BreakReason, Channel, Event, Incarnation, Kind, Kinds, Message, Name, RejectReason, SendError, Sender,
    StreamId, Tenths,
};
pub use redial::{Backoff, Redial};
pub use sockets::{Protocols, Sockets, Waker};
pub use talk::Bounds;
pub use transport::Transport;

#[cfg(test)]
mod tests;
