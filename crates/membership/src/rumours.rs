//! News that is passed on with other messages: each so many times, the least told first. One a name, so bounded by the
//! fleet.

use std::collections::{BTreeMap, BTreeSet};

use crate::claim::Claim;
use crate::{Name, wire};

#[derive(Default)]
pub(crate) struct Rumours {
    claims: BTreeMap<Name, (u32, Claim)>,
    /// The same by how often each was told.
    order: BTreeSet<(u32, Name)>,
}

impl Rumours {
    /// News in place of older news about the same instance.
    pub(crate) fn spread(&mut self, claim: Claim) {
        let name = claim.instance.name.clone();
        if let Some((told, _)) = self.claims.insert(name.clone(), (0, claim)) {
            self.order.remove(&(told, name.clone()));
        }
        self.order.insert((0, name));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// What goes with a message that has `room` bytes left, at most `times` times each.
    pub(crate) fn pick(&mut self, mut room: usize, times: u32) -> Vec<Claim> {
        let mut picked = Vec::new();
        for (_, name) in &self.order {
            let Some((_, claim)) = self.claims.get(name) else { continue };
            let length = wire::length(claim);
            if length > room {
                break;
            }
            room -= length;
            picked.push(claim.clone());
        }
        for claim in &picked {
            let name = &claim.instance.name;
            let Some((told, _)) = self.claims.get_mut(name) else { continue };
            self.order.remove(&(*told, name.clone()));
            *told += 1;
            if *told < times {
                self.order.insert((*told, name.clone()));
            } else {
                self.claims.remove(name);
            }
        }
        picked
    }
}
