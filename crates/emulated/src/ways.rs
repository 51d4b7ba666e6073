//! The ways between zones: how long a message takes, and which ways are cut. A cut one loses what is sent on it
//! without a sign.

use crate::plan::WaysPlan;
use crate::{Dice, Micros};

pub(crate) struct Ways {
    plan: WaysPlan,
    zones: usize,
    /// For each pair from and to, by how many troubles it is cut.
    cut: Vec<u32>,
}

impl Ways {
    pub(crate) fn new(plan: WaysPlan, zones: usize) -> Ways {
        Ways { plan, zones, cut: vec![0; zones * zones] }
    }

    pub(crate) fn open(&self, from: usize, to: usize) -> bool {
        self.cut[from * self.zones + to] == 0
    }

    /// How long a message takes that is sent now; none if it is lost.
    pub(crate) fn delay(&self, from: usize, to: usize, dice: &mut Dice) -> Option<Micros> {
        let draw = if from == to { &self.plan.same } else { &self.plan.cross };
        self.open(from, to).then(|| (draw.sample(dice) as Micros).max(1))
    }

    /// Cuts or mends the ways from one zone to the others and, unless `one_way`, back.
    pub(crate) fn cut(&mut self, zone: usize, to: Option<usize>, one_way: bool, by: i32) {
        for other in (0..self.zones).filter(|o| *o != zone && to.is_none_or(|to| to == *o)) {
            let (there, back) = (zone * self.zones + other, other * self.zones + zone);
            self.cut[there] = self.cut[there].saturating_add_signed(by);
            if !one_way {
                self.cut[back] = self.cut[back].saturating_add_signed(by);
            }
        }
    }
}
