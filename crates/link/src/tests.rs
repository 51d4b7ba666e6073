//! The contract on every implementation, half-broken ones that must fail it, and decisions alone.

mod grounds;

use super::*;
use grounds::Simulated;
use rstest::rstest;

#[rstest]
#[case::whole(fault::Fault::default())]
#[case::late_and_reordered(fault::Fault { delay: 100, jitter: 50, reorder: 0.3, duplicate: 0.2, drop: 0.1, ..Default::default() })]
fn memory_keeps_the_contract(#[case] fault: fault::Fault) {
    contract::check(|| Simulated::new(7, fault)).unwrap_or_else(|breach| panic!("{breach}"));
}
