//! Capacity: what a load asks of each resource of a fleet, which limit comes first as it grows, how many members a target
//! needs, and what a fleet without a zone still does. Nothing performs I/O and nothing is played here: where a formula
//! does not hold, the host plays the same scenario in the lab and says so.

mod fit;
mod load;
mod place;
mod queue;
mod resources;
mod size;

pub use fit::{Fitted, Quantiles, Shape, quantiles, refine};
pub use load::{Estimate, GroupLoad, Load, load};
pub use place::{Step, restart_order, split};
pub use queue::{Class, Station};
pub use resources::{Demand, Limit, Resource, RouterRoom, demand, limits};
pub use size::{Candidate, Impossible, candidates, impossible, sized};

#[cfg(test)]
mod tests;
