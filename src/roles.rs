//! Orders the claims that one member makes about its own role by when they can have been made.
//!
//! A claim is made at some time between the sending of the request and the receipt of the answer, and answers on two
//! connections can overtake each other. So the claim received last is not necessarily the latest. A claim to be the
//! primary disproves a claim to be a replica only if its request was sent after the other claim had been received;
//! until then the member may be a replica. Of two claims whose intervals overlap, the one that was requested later is
//! likely the later one.

use crate::interface::Tenths;

/// The role claims of one member. Times are by this router's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Roles {
    /// When the latest request was sent that was answered with "primary".
    primary_requested_at: Option<Tenths>,
    /// The same for "replica", among the claims that have not been disproved, and when the last of these was received.
    replica_requested_at: Option<Tenths>,
    replica_received_at: Option<Tenths>,
}

/// How a claim to be the primary stands against the member's other claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimStanding {
    /// Later than all claims to be a replica.
    Proven,
    /// Requested later than the claims to be a replica, but it may have been made earlier.
    Likely,
    /// Requested no later than a claim to be a replica.
    Old,
}

impl Roles {
    /// Records a claim to be the primary, in the answer to a request sent at `requested_at`.
    pub(crate) fn record_primary_claim(&mut self, requested_at: Tenths) -> ClaimStanding {
        if self.replica_received_at.is_none_or(|received_at| requested_at >= received_at) {
            (self.replica_requested_at, self.replica_received_at) = (None, None);
        } else if self.replica_requested_at.is_some_and(|replica_request| requested_at <= replica_request) {
            return ClaimStanding::Old;
        }
        self.primary_requested_at = self.primary_requested_at.max(Some(requested_at));
        if self.may_be_replica() { ClaimStanding::Likely } else { ClaimStanding::Proven }
    }

    /// Records a claim to be a replica, requested at `requested_at` and received at `received_at`.
    pub(crate) fn record_replica_claim(&mut self, requested_at: Tenths, received_at: Tenths) {
        self.replica_requested_at = self.replica_requested_at.max(Some(requested_at));
        self.replica_received_at = self.replica_received_at.max(Some(received_at));
    }

    /// Whether the latest claim may be the one to be a replica.
    pub(crate) fn may_be_replica(&self) -> bool {
        self.replica_received_at.is_some()
    }

    /// Whether the member has answered "primary" to a request that was sent after `requested_at`.
    pub(crate) fn claimed_primary_after(&self, requested_at: Tenths) -> bool {
        self.primary_requested_at.is_some_and(|latest| latest > requested_at)
    }
}

#[cfg(test)]
mod tests;
