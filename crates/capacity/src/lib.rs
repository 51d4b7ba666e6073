//! The arithmetic of `docs/CAPACITY.md`: what each role and each event asks at a [`Size`], beside its allowance, and the
//! share of that size at which it gives way. Every figure is worked out from [`Slopes`] that a committed command measured;
//! one whose slope is missing is no figure. Nothing here performs I/O.
//!
//! Units: seconds, bytes, counts; "seconds a second" is a part of a core. A megabyte is a million bytes.

mod answer;
mod constants;
mod events;
mod need;
mod page;
mod roles;
mod rows;
mod scaled;
mod size;
mod slopes;
mod universal;

pub use answer::{Figure, Outcome, Used};
pub use constants::{CONSTANTS, Constant, Held};
pub use events::Event;
pub use need::Work;
pub use page::{Built, ConstantRow, EventRow, Page, Row, SlopeRow, page};
pub use roles::{ROLES, Role, RoleSheet};
pub use rows::Unit;
pub use scaled::Scaled;
pub use size::Size;
pub use slopes::{Kind, Slope, Slopes};
pub use universal::{Universal, universal};

#[cfg(test)]
mod tests;
