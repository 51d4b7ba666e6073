//! Scores of members for routers: rendezvous hashing with scores that are stratified over the routers.
//!
//! Plain rendezvous hashing draws each score independently, so a member's share deviates at random. Here the scores of
//! one member for a block of 16 consecutive router numbers fall into the 16 equal parts of 0..1, one in each, in an
//! order shuffled by the member's id and the block (Latin hypercube sampling). Each block has its own shuffle: a single
//! one for all, as in a scrambled sequence, would keep its unevenness for any number of routers. A score depends only
//! on the router and the member.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const BLOCK: u64 = 16;

/// One member's scores. Consecutive router numbers are cheapest to query in sequence, as the block is cached.
pub(crate) struct Scores {
    key: u64,
    /// The block queried last, and its order.
    block: Option<u64>,
    order: [u8; BLOCK as usize],
}

impl Scores {
    pub(crate) fn new(id: &str) -> Scores {
        Scores { key: xxh3_64(id.as_bytes()), block: None, order: [0; BLOCK as usize] }
    }

    /// Score for the router of this number, above 0 and below 1; lower is better.
    pub(crate) fn with(&mut self, number: u64) -> f64 {
        let block = number / BLOCK;
        if self.block != Some(block) {
            self.block = Some(block);
            self.order = shuffled(xxh3_64_with_seed(&block.to_le_bytes(), !self.key));
        }
        let drawn = xxh3_64_with_seed(&number.to_le_bytes(), self.key) >> 16;
        let within = (drawn as f64 + 0.5) / (1u64 << 48) as f64;
        (self.order[(number % BLOCK) as usize] as f64 + within) / BLOCK as f64
    }
}

/// Derives a shuffle from one random number; there are fewer permutations of 16 than 64-bit numbers.
fn shuffled(mut drawn: u64) -> [u8; BLOCK as usize] {
    let mut order = std::array::from_fn(|i| i as u8);
    for last in (1..BLOCK).rev() {
        order.swap(last as usize, (drawn % (last + 1)) as usize);
        drawn /= last + 1;
    }
    order
}
