//! A rate limit in tokens per second for the whole fleet, divided by escrow.
//!
//! The budget is divided once, in the [`Terms`]: every router has a floor that is always its own, and some routers (the
//! lenders) have a lendable rate. A router may spend its floor, its unexpired loans, and what it has not lent of its
//! own lendable rate. There is no consensus and no stored state: the limit follows from arithmetic and time alone.
//!
//! Why the budget is never exceeded: a lender counts a loan from when it *sent* the grant and extends it by the clock
//! drift; a borrower counts it from when it sent the *request* and shortens it by the same. A borrower that receives a
//! grant late, twice or out of order therefore stops earlier, never later. After a start, a lender neither lends nor
//! uses its lendable rate for the lender's duration of one loan, by when all loans of its earlier incarnations have
//! ended.

mod borrower;
mod bucket;
mod budget;
mod demand;
mod lender;
mod terms;

pub use borrower::Borrower;
pub use bucket::Bucket;
pub use budget::{Budget, Usage};
pub use demand::Demand;
pub use lender::Lender;
pub use terms::{Allotment, Terms, TermsError};

use serde::{Deserialize, Serialize};
use vetchkeel_membership::Start;

/// Thousandths of a token per second.
pub type Rate = i64;

/// A borrower's request for a loan. The borrower promises not to act under any loan of this lender older than
/// `holding`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Version of the terms; a request with another version is not answered.
    pub terms: u32,
    /// Sequence number of the request within one incarnation of the borrower.
    pub number: u64,
    /// The rate that the borrower could use of this lender.
    pub want: Rate,
    /// Version of the loan that the borrower acts under; 0 for none.
    pub holding: u64,
    /// Incarnation of the lender that granted that loan.
    pub holding_lender: Start,
}

/// A lender's answer to one request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoanGrant {
    /// Version of the terms.
    pub terms: u32,
    /// Sequence number of the request that this answers.
    pub number: u64,
    /// Incarnation of the borrower that sent the request. Danger: a restarted borrower numbers its requests from the
    /// beginning. Without its incarnation in the grant, a grant for the first request of the old incarnation would be
    /// counted from the first request of the new one, and end too late.
    pub borrower_start: Start,
    /// Version of the loan; grows with every loan of one incarnation of the lender.
    pub version: u64,
    /// The granted rate. It replaces every older loan of this lender.
    pub rate: Rate,
}
