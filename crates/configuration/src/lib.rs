//! Distributes the configuration to running routers, without a restart. The configuration is a versioned document. One
//! writer at a time changes it; a change is released (committed) once a majority of keepers, the voting machines, hold
//! it. All control machines serve the released changes to routers, which can resume from the version they hold. The
//! crate performs no I/O: the time is passed in and all randomness comes from one seed, so equal events give equal
//! decisions.
//!
//! A router passes what it receives to a [`Subscriber`], a control machine to a [`Machine`]. Each then calls
//! `next_decision` until it returns `None`, and again at the time given by `wake_at`. Messages may be lost, duplicated,
//! delayed or reordered. This only delays distribution; it does not affect correctness.

mod change;
mod document;
mod ledger;
mod log;
mod machine;
mod message;
mod name;
mod parts;
mod persisted_state;
mod plan;
mod replica;
mod subscriber;
pub mod whole;
pub mod wire;

pub use change::{Change, Edit, Version};
pub use document::{Document, DocumentError, MAX_DOCUMENT_BYTES, MAX_NAME_BYTES, MAX_NAMES, MAX_VALUE_BYTES};
pub use ledger::{Ledger, RouterEntry, Verdict};
pub use log::{Log, Since};
pub use machine::{Action, Event, Machine, PublishError};
pub use message::{Message, Outcome};
pub use name::{BadName, Name};
pub use persisted_state::{PersistedState, Record};
pub use plan::{BadPlan, Plan};
pub use subscriber::{Decision, Notice, Subscriber};

/// A point in time or a duration, in tenths of a millisecond.
pub type Tenths = i64;
