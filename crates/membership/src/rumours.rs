//! News that is passed on with other messages: each so many times, the least told first. One a name, so bounded by the
//! fleet.

use std::collections::BTreeMap;

use crate::claim::Claim;
use crate::{Name, wire};

#[derive(Default)]
pub(crate) struct Rumours(BTreeMap<Name, (u32, Claim)>);

impl Rumours {
    /// News in place of older news about the same instance.
    pub(crate) fn spread(&mut self, claim: Claim) {
        self.0.insert(claim.instance.name.clone(), (0, claim));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// What goes with a message that has `room` bytes left, at most `times` times each.
    pub(crate) fn pick(&mut self, mut room: usize, times: u32) -> Vec<Claim> {
        let mut told: Vec<_> = self.0.iter().map(|(name, (told, _))| (*told, name.clone())).collect();
        told.sort_unstable();
        let mut picked = Vec::new();
        for (_, name) in told {
            let Some((told, claim)) = self.0.get_mut(&name) else { continue };
            let length = wire::length(claim);
            if length > room {
                break;
            }
            room -= length;
            picked.push(claim.clone());
            *told += 1;
            if *told >= times {
                self.0.remove(&name);
            }
        }
        picked
    }
}
