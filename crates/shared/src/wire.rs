//! Messages between routers about budgets, counts, judgements and turns, in the wire format of the membership.

use serde::{Deserialize, Serialize};
pub use vetchkeel_membership::wire::{LONGEST, Refused, VERSION, decode, encode, length};
use vetchkeel_membership::{Name, Start};

/// One message between two routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Name,
    /// The sender's incarnation.
    pub start: Start,
    /// The payload.
    pub body: Body,
}

/// The payload of a message. Variants are encoded by position, so new ones may only be appended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A borrower's loan request to a lender.
    LoanRequest(crate::budgets::LoanRequest),
    /// A lender's answer.
    LoanGrant(crate::budgets::LoanGrant),
    /// Tallies in any order.
    Counts(Vec<crate::counts::Tally>),
    /// Judgements in any order.
    Judgements(Vec<crate::judgements::Judgement>),
    /// Progress of a turn.
    Turn(crate::turns::Turn, crate::turns::Progress),
}

/// Action for the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send a message. Messages may be lost: each module recovers from the loss.
    Send {
        /// The recipient.
        to: Name,
        /// The message.
        message: Message,
    },
}
