//! Which instances of the fleet are there: SWIM with suspicion and incarnations, with a slow observer that doubts itself
//! first. Nothing performs I/O, times are told, all chance comes from one seed: equal events give equal decisions.
//!
//! Tell a [`Membership`] what came ([`Membership::heard`]), then pull [`Membership::next_decision`] until there is none,
//! and come back at [`Membership::wake_at`]. The host hears all that waits in its socket before it pulls: what a stopped
//! process finds there is older than its own timers.

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

pub use claim::{Claim, Instance, Standing};
pub use doubt::Doubt;
pub use identity::{BadName, Name, Start};
pub use membership::{Change, Decision, Membership, Seen};
pub use plan::{BadPlan, MOST_INSTANCES, Plan};
pub use wire::{Body, Message, Refused};

/// A time, or a length of time, in tenths of a millisecond.
pub type Tenths = i64;

/// The zone that an instance runs in, as its operators write it.
pub type Zone = Name;
