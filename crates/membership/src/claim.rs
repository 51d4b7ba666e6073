//! Claims about the state of an instance, and which of two claims takes precedence.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Name, Start, Zone};

/// One run of an instance and its address.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Its name, kept over restarts.
    pub name: Name,
    /// Identifies the run.
    pub start: Start,
    /// The address that it receives messages on.
    pub address: SocketAddr,
    /// The zone it runs in, if configured.
    pub zone: Option<Zone>,
}

/// State of an instance. New variants are added at the end only, because the wire format numbers them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// Present and not suspected.
    Alive,
    /// Did not answer a probe of the named instance.
    Suspect(Name),
    /// Did not refute a suspicion in time; the named instance raised that suspicion.
    Dead(Name),
    /// Announced that it leaves.
    Left,
}

/// A claim about the state of one run of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The subject of the claim.
    pub instance: Instance,
    /// Raised only by the instance itself, to refute a claim against it.
    pub incarnation: u32,
    /// The claimed state.
    pub liveness: Liveness,
}

impl Liveness {
    /// True unless the instance is dead or has left; a suspected instance still counts as present.
    pub fn is_present(&self) -> bool {
        matches!(self, Liveness::Alive | Liveness::Suspect(_))
    }

    fn rank(&self) -> u8 {
        match self {
            Liveness::Alive => 0,
            Liveness::Suspect(_) => 1,
            Liveness::Dead(_) => 2,
            Liveness::Left => 3,
        }
    }
}

impl Claim {
    /// True if this claim takes precedence over `other` about the same instance: a later start wins, then a higher
    /// incarnation, then the worse liveness. So only the instance itself can improve its liveness, by raising its
    /// incarnation.
    pub fn overrides(&self, other: &Claim) -> bool {
        let key = |claim: &Claim| (claim.instance.start, claim.incarnation, claim.liveness.rank());
        key(self) > key(other)
    }
}
