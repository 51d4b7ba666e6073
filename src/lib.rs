//! vetchkeel decides where each command of a sharded, replicated database goes.
//! The decisions are in `decide`, the types at their border in `interface`.

mod decay;
mod decide;
mod interface;
mod member_clock;
mod progress;
mod roles;
mod state;
mod told;

pub use decide::Router;
pub use interface::*;
