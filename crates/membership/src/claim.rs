//! What is said about an instance, and which of two claims counts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Name, Start, Zone};

/// One life of an instance and where it is reached.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Its name, kept over restarts.
    pub name: Name,
    /// Its life.
    pub start: Start,
    /// Where it hears.
    pub address: SocketAddr,
    /// Where it runs, if its operators say.
    pub zone: Option<Zone>,
}

/// How an instance is said to be. New kinds only go to the end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// There.
    Alive,
    /// Did not answer the one named.
    Suspect(Name),
    /// A suspicion was not answered in time; the one named said so first.
    Dead(Name),
    /// Said itself that it goes.
    Left,
}

/// What is said about one life of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Who is meant.
    pub instance: Instance,
    /// Raised by the instance alone, to answer a claim against it.
    pub incarnation: u32,
    /// How it is.
    pub standing: Standing,
}

impl Standing {
    /// Is it there, as far as anybody knows?
    pub fn is_there(&self) -> bool {
        matches!(self, Standing::Alive | Standing::Suspect(_))
    }

    fn rank(&self) -> u8 {
        match self {
            Standing::Alive => 0,
            Standing::Suspect(_) => 1,
            Standing::Dead(_) => 2,
            Standing::Left => 3,
        }
    }
}

impl Claim {
    /// Does it count more than `other` about the same instance? A later life does, then a higher incarnation, then the
    /// worse standing: only the instance itself can better its standing, by raising its incarnation.
    pub fn outdoes(&self, other: &Claim) -> bool {
        let key = |claim: &Claim| (claim.instance.start, claim.incarnation, claim.standing.rank());
        key(self) > key(other)
    }
}
