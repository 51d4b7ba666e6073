//! The configuration in force without a start: a versioned document, written by one writer at a time, released once a
//! majority of keepers hold it, served by all control machines to routers as changes with resume. Nothing performs I/O,
//! times are told, all chance comes from one seed: equal events give equal decisions.
//!
//! A router tells a [`Subscriber`] what came, a control machine a [`Machine`]; each then pulls `next_decision` until there
//! is none and comes back at `wake_at`. Messages between them may be lost, doubled, late or overtaken: nothing goes wrong
//! by it, it takes longer.

mod change;
mod document;
mod kept;
mod ledger;
mod log;
mod machine;
mod message;
mod name;
mod parts;
mod plan;
mod replica;
mod subscriber;
pub mod whole;
pub mod wire;

pub use change::{Change, Edit, Version};
pub use document::{Bad, DOCUMENT_MOST, Document, NAME_MOST, NAMES_MOST, VALUE_MOST};
pub use kept::{Kept, Record};
pub use ledger::{Entry, Ledger, Verdict};
pub use log::{Log, Since};
pub use machine::{Event, Machine, Order, Refused};
pub use message::{Message, Outcome};
pub use name::{BadName, Name};
pub use plan::{BadPlan, Plan};
pub use subscriber::{Decision, Notice, Subscriber};

/// A time, or a length of time, in tenths of a millisecond.
pub type Tenths = i64;
