//! A seeded pseudo-random number generator.

pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns a number from 0 up to, but not including, `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33) % limit.max(1)
    }

    /// Chooses a subset of the indices below `count`: about one in `one_in`, and at least one.
    pub fn subset(&mut self, count: usize, one_in: u64) -> Vec<usize> {
        let first = self.below(count as u64) as usize;
        let mut subset: Vec<usize> =
            (0..count).filter(|at| *at == first || self.below(one_in) == 0).collect();
        subset.sort_unstable();
        subset
    }
}
