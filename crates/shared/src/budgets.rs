//! A budget of tokens a second for the whole fleet, by escrow.
//!
//! The budget is cut once, in the [`Terms`]: every seat has a floor that is always its own, and some seats (the lenders)
//! have a home that they lend. A router spends its floor, what it holds on loan until the loan ends, and what its own home
//! has not lent. Nothing is agreed on and nothing is stored: the sum holds by arithmetic and by time alone.
//!
//! Why it never passes: a lender counts a loan from when it *sent* it, lengthened by the drift of clocks; a borrower
//! counts it from when it *asked*, shortened by the same. So whoever hears late, twice or out of order stops earlier,
//! never later. A lender that starts lends and uses nothing of its home for one lengthened loan: what it lent in an earlier
//! life has ended by then.

mod borrower;
mod bucket;
mod budget;
mod demand;
mod lender;
mod terms;

pub use borrower::Borrower;
pub use bucket::Bucket;
pub use budget::{Budget, Reading};
pub use demand::Demand;
pub use lender::Lender;
pub use terms::{BadTerms, Seat, Terms};

use serde::{Deserialize, Serialize};
use vetchkeel_membership::Start;

/// Thousandths of a token a second.
pub type Rate = i64;

/// A borrower asks for a share, and promises to act under no loan of this lender older than `holding`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ask {
    /// Version of the terms; another one is not answered.
    pub terms: u32,
    /// Grows by one with each ask of one life.
    pub number: u64,
    /// What it could use of this lender's home.
    pub want: Rate,
    /// Version of the loan it acts under; 0 is none.
    pub holding: u64,
    /// Life of the lender that gave it.
    pub holding_of: Start,
}

/// A lender answers one ask.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Version of the terms.
    pub terms: u32,
    /// The ask that it answers, and the life of the one who asked.
    pub number: u64,
    /// Danger: a borrower that restarted counts its asks anew. Without its life in the answer, an answer to the first ask
    /// of the old life would count from the first ask of the new one, and end too late.
    pub asked_by: Start,
    /// Grows with every loan of one life of the lender.
    pub version: u64,
    /// How much, in place of every older loan of this lender.
    pub rate: Rate,
}
