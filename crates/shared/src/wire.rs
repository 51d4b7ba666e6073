//! What routers say to each other of budgets, counts, judgements and turns, in the wire form of the membership.

use serde::{Deserialize, Serialize};
pub use vetchkeel_membership::wire::{LONGEST, Refused, VERSION, decode, encode, length};
use vetchkeel_membership::{Name, Start};

/// One message between two routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who sent it.
    pub from: Name,
    /// In which life.
    pub start: Start,
    /// What is said.
    pub body: Body,
}

/// What is said. New kinds only go to the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A borrower asks a lender.
    Ask(crate::budgets::Ask),
    /// A lender answers.
    Grant(crate::budgets::Grant),
    /// Tallies, in any order.
    Counts(Vec<crate::counts::Tally>),
    /// Judgements, in any order.
    Judgements(Vec<crate::judgements::Judgement>),
    /// How far a turn is.
    Turn(crate::turns::Turn, crate::turns::Progress),
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it; every part makes good a lost one.
    Send {
        /// To whom.
        to: Name,
        /// What.
        message: Message,
    },
}
