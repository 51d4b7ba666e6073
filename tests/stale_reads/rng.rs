//! Random numbers from a seed, so that a run can be repeated.

use nanorand::{Rng, WyRand};
use vetchkeel::Tenths;

pub struct SeededRng(WyRand);

impl SeededRng {
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(WyRand::new_seed(seed))
    }

    /// A number from 0 up to, but not including, `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.0.generate_range(0..end.max(1))
    }

    /// A number from `least` to `most`, both included.
    pub fn in_range(&mut self, least: Tenths, most: Tenths) -> Tenths {
        least + self.below((most - least + 1) as u64) as Tenths
    }

    pub fn choose(&mut self, choices: &[Tenths]) -> Tenths {
        choices[self.below(choices.len() as u64) as usize]
    }
}
