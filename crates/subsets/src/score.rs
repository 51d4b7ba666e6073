//! How much a member and a router suit each other: rendezvous hashing whose chance is spread evenly over the routers.
//!
//! Plain rendezvous draws each score on its own, and a member's part is off by chance. Here the scores of one member
//! with 16 routers of following numbers are in the 16 parts of 0..1, one in each, in an order shuffled by the member's
//! id and the sixteen (Latin hypercube sampling). Sixteens are shuffled apart: one shuffle for all, as in a scrambled
//! sequence, keeps its own unevenness however many the routers. A score depends on nothing but router and member.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const BLOCK: u64 = 16;

/// The member's scores with routers of these numbers, each above 0 and below 1; the lowest suits best. Fastest if the
/// numbers rise.
pub(crate) fn scores(id: &str, numbers: impl Iterator<Item = u64>) -> Vec<f64> {
    let key = xxh3_64(id.as_bytes());
    let (mut block, mut order) = (None, [0; BLOCK as usize]);
    let score = |number: u64| {
        if block != Some(number / BLOCK) {
            block = Some(number / BLOCK);
            order = shuffled(xxh3_64_with_seed(&(number / BLOCK).to_le_bytes(), !key));
        }
        let drawn = xxh3_64_with_seed(&number.to_le_bytes(), key) >> 16;
        let within = (drawn as f64 + 0.5) / (1u64 << 48) as f64;
        (order[(number % BLOCK) as usize] as f64 + within) / BLOCK as f64
    };
    numbers.map(score).collect()
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
