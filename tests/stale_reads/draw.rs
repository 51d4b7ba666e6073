//! Random numbers from a seed.

use nanorand::{Rng, WyRand};
use vetchkeel::Tenths;

pub struct Draw(WyRand);

impl Draw {
    pub fn new(seed: u64) -> Draw {
        Draw(WyRand::new_seed(seed))
    }

    /// A number from 0 up to, but not including, `most`.
    pub fn below(&mut self, most: u64) -> u64 {
        self.0.generate_range(0..most.max(1))
    }

    pub fn up_to(&mut self, least: Tenths, most: Tenths) -> Tenths {
        least + self.below((most - least + 1) as u64) as Tenths
    }

    pub fn one_of(&mut self, choices: &[Tenths]) -> Tenths {
        choices[self.below(choices.len() as u64) as usize]
    }
}
