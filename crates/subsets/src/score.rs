//! How much a member and a router suit each other: rendezvous hashing whose chance is spread evenly over the routers.
//!
//! Plain rendezvous draws each score on its own, and a member's part is off by chance. Here the scores of one member
//! with 16 routers of following numbers are in the 16 parts of 0..1, one in each, in an order shuffled by the member's
//! id and the sixteen (Latin hypercube sampling). Sixteens are shuffled apart: one shuffle for all, as in a scrambled
//! sequence, keeps its own unevenness however many the routers. A score depends on nothing but router and member.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const BLOCK: u64 = 16;

/// One member's scores with routers. Those of following numbers come cheapest one after another.
pub(crate) struct Scores {
    key: u64,
    /// The sixteen last asked for, and its order.
    block: Option<u64>,
    order: [u8; BLOCK as usize],
}

impl Scores {
    pub(crate) fn new(id: &str) -> Scores {
        Scores { key: xxh3_64(id.as_bytes()), block: None, order: [0; BLOCK as usize] }
    }

    /// Its score with the router of this number, above 0 and below 1; the lowest suits best.
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

/// One drawn number tells a whole shuffle: there are fewer shuffles of 16 than numbers.
fn shuffled(mut drawn: u64) -> [u8; BLOCK as usize] {
    let mut order = std::array::from_fn(|i| i as u8);
    for last in (1..BLOCK).rev() {
        order.swap(last as usize, (drawn % (last + 1)) as usize);
        drawn /= last + 1;
    }
    order
}
