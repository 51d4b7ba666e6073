//! Percentiles by nearest rank: a value that was measured, never one between two.

/// The value below or at which `part` (0 to 1) of the sorted `values` lie; none of an empty list.
pub fn nearest_rank<T: Copy>(values: &[T], part: f64) -> Option<T> {
    let rank = (part * values.len() as f64).ceil() as usize;
    values.get(rank.clamp(1, values.len().max(1)) - 1).copied()
}
