//! What experiments leave: a store that outlives a kill, figures over repetitions with intervals, charts and exports.

mod chart;
mod compare;
mod export;
mod measure;
mod store;

pub use chart::{Charted, charts};
pub use compare::{Compared, Difference, compare};
pub use export::{Form, export};
pub use measure::{MEASURES, Measure, Spread, spread, table};
pub use store::{Kept, Listed, Store, StoreError, Summary};

#[cfg(test)]
mod tests;
