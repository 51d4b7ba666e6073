//! Slopes: how each cost grows with the size. `fit` and `table` are arithmetic and text; the rest measures. Processor
//! time is the thread's or the child's own, never the wall clock's: the machine may be shared.

mod allocated;
mod catalogue;
mod configuration;
mod fit;
mod list;
mod measure;
mod membership;
mod module;
mod processor;
mod router;
mod shared;
mod subsets;
mod table;

pub use catalogue::{Means, Measure, PLAYS, Play, measures};
pub use fit::{Fit, Point, fit, means};
pub use measure::{Measured, Progress, TRIES, Unmeasured, play};
pub use table::{Kind, Slope, SlopeTable};

#[cfg(test)]
mod tests;
