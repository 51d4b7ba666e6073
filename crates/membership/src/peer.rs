//! What is known about one other instance.

use crate::claim::Claim;
use crate::suspicion::Suspicion;
use crate::trip::Trip;
use crate::{Standing, Tenths};

#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) claim: Claim,
    /// Runs while the standing is `Suspect`.
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) trip: Trip,
    /// Since when the standing is what it is.
    pub(crate) since: Tenths,
    /// When it was last told what is said against it.
    pub(crate) told_at: Option<Tenths>,
}

impl Peer {
    pub(crate) fn new(claim: Claim, now: Tenths) -> Peer {
        Peer { claim, suspicion: None, trip: Trip::default(), since: now, told_at: None }
    }

    pub(crate) fn is_there(&self) -> bool {
        self.claim.standing.is_there()
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.claim.standing == Standing::Alive
    }
}
