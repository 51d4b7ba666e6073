//! Live subscriptions to a set's bulletins that move between gateways without a missed ordered message.
//!
//! A set's primary orders bulletins ([`Origin`]); a [`Gateway`] keeps a bounded window of each feed that its desks hold
//! subscriptions to; a [`Desk`] takes each step once, in order, from one gateway at a time. Nothing performs I/O or reads
//! a clock: the host tells time and messages, and pulls decisions until there are none.
//!
//! What must stay true: at any time at most one gateway may push a subscription (its lease); a desk takes nothing of an
//! older subscription epoch; each step says where it begins, so that nothing is left out without being told.

mod desk;
mod gateway;
mod handover;
mod intake;
mod lineage;
mod origin;
mod pace;
pub mod shelf;
pub mod spread;
mod sub;
mod terms;
mod words;

pub use desk::{Decision as DeskDecision, Desk, Token};
pub use gateway::{Counts, Decision, Gateway};
pub use lineage::{ERAS, Era, Lineage, Settled};
pub use origin::Origin;
pub use spread::Place;
pub use sub::Record;
pub use terms::Terms;
pub use words::{
    Entry, FeedId, GatewayId, Item, MILLISECOND, Message, Party, Point, Range, SECOND, SubId, Tenths, What,
};

#[cfg(test)]
mod model;
#[cfg(test)]
mod tests;
