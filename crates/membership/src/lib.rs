//! Group membership of the fleet by gossip: SWIM with suspicion and incarnation numbers, and with the local health score
//! of Lifeguard. The crate performs no I/O, takes the time as an argument and draws all random numbers from one seed, so
//! equal events give equal decisions.
//!
//! Pass each received message to [`Membership::handle_message`], then call [`Membership::next_decision`] until it returns
//! none, and call it again at [`Membership::wake_at`]. The host reads everything queued in its socket before it asks for
//! decisions: after a process was stopped, the queued messages are older than its expired timers.

mod claim;
mod doubt;
mod identity;
mod membership;
mod order;
mod peer;
mod plan;
mod probe;
mod rumours;
mod suspicion;
mod trip;
pub mod wire;

pub use claim::{Claim, Instance, Liveness};
pub use doubt::LocalHealth;
pub use identity::{BadName, Name, Start};
pub use membership::{Change, Decision, Membership, ViewEntry};
pub use plan::{BadPlan, MOST_INSTANCES, Plan};
pub use wire::{Body, Message, Refused};

/// A time, or a length of time, in tenths of a millisecond.
pub type Tenths = i64;

/// The zone that an instance runs in, as configured by the operator.
pub type Zone = Name;
