//! State kept for one other instance.

use crate::claim::Claim;
use crate::suspicion::Suspicion;
use crate::trip::RttEstimator;
use crate::{Liveness, Tenths};

#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) claim: Claim,
    /// Set while the liveness is `Suspect`.
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) rtt: RttEstimator,
    /// Time of the last change of the liveness.
    pub(crate) since: Tenths,
    /// When the claim against it was last sent to it, so that it can refute it.
    pub(crate) refutation_requested_at: Option<Tenths>,
}

impl Peer {
    pub(crate) fn new(claim: Claim, now: Tenths) -> Peer {
        Peer {
            claim,
            suspicion: None,
            rtt: RttEstimator::default(),
            since: now,
            refutation_requested_at: None,
        }
    }

    pub(crate) fn is_present(&self) -> bool {
        self.claim.liveness.is_present()
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.claim.liveness == Liveness::Alive
    }
}
