//! Talk between the instances of a fleet: small datagrams that may be lost, and streams whose messages arrive in order
//! or are told as unacknowledged. One contract, [`Transport`], and its implementations: by memory with told time, by
//! UDP, by TCP. What connects when, what counts as broken and who is refused are decided without I/O; hosts carry it out.

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

pub use envelope::{Header, Lane, OVERHEAD_MOST, VERSION, decode, encode, pack, unpack};
pub use memory::{Memory, Network};
pub use message::{
    Event, Incarnation, Kind, Kinds, Message, Name, Refused, Sender, StreamId, Tenths, Unread, Way, Why,
};
pub use redial::{Backoff, Redial};
pub use sockets::{Parts, Sockets, Waker};
pub use talk::Bounds;
pub use transport::Transport;

#[cfg(test)]
mod tests;
