//! Query routing for sharded, replicated databases: decides which member each command is sent to.
//! The decisions are made in `decide`; `interface` holds the public types.

mod connection_reuse;
mod decay;
mod decide;
mod fair_share;
mod interface;
mod list_requests;
mod member_clock;
mod progress;
mod roles;
mod setting_values;
mod state;

pub use connection_reuse::{ConnectionReuse, NextUse};
pub use decide::Router;
pub use fair_share::{FairShare, RoundUsage, may_continue};
pub use interface::*;
pub use list_requests::{
    AcceptedList, InputEffect, ListInput, ListRequests, ListTimeout, NewRequest, OlderVersion, RequestId,
};
