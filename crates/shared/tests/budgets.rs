//! Tests that the summed rates of all routers never exceed the budget, and that the budget goes to the routers with
//! demand.

mod world;

use std::collections::BTreeMap;

use rstest::rstest;
use vetchkeel_shared::budgets::{Allotment, Borrower, Bucket, Lender, LoanGrant, Terms, TermsError};
use vetchkeel_shared::{Name, Start};
use world::{ALL, Faults, names, simulate, terms};

const TOTAL: i64 = 400_000;

/// A larger run is `cargo run -p vetchkeel-shared --release --example budgets`.
#[rstest]
fn summed_rates_stay_within_the_budget_under_faults(#[values((2, 1), (3, 3), (6, 3))] fleet: (usize, usize)) {
    let terms = terms(TOTAL, fleet.0, fleet.1, 50_000);
    let mut faults_injected = 0;
    for seed in 0..40 {
        let audit = simulate(seed, &terms, ALL, 600_000, None);
        assert!(audit.excess <= 0, "seed {seed}: {audit:?}");
        assert!(audit.token_excess <= 0, "seed {seed}: {audit:?}");
        faults_injected += audit.faults_injected;
    }
    assert!(faults_injected > 100, "the schedules must inject faults, found {faults_injected}");
}

/// Guards against an audit that misses an excess: with an injected bug, or with clocks worse than the terms assume, it
/// must report one.
#[rstest]
#[case::lender_lends_at_once_after_start(Faults { skip_quiet_period: true, ..ALL }, 50_000)]
#[case::clock_drift_above_the_terms(ALL, 0)]
fn audit_detects_an_injected_excess(#[case] faults: Faults, #[case] drift_ppm: i64) {
    let terms = terms(TOTAL, 3, 3, drift_ppm);
    assert!((0..200).any(|seed| simulate(seed, &terms, faults, 600_000, None).excess > 0));
}

#[rstest]
#[case::one_router_wants_all(|at| if at == 4 { 4 * TOTAL } else { 0 }, &[4])]
#[case::two_lenders_want_all(|at| if at < 2 { 4 * TOTAL } else { 0 }, &[0, 1])]
#[case::all_routers_want_all(|_| TOTAL, &[0, 1, 2, 3, 4, 5])]
fn busy_routers_get_their_fair_share(#[case] wants: fn(usize) -> i64, #[case] busy: &[usize]) {
    let reliable = Faults { max_delay: 100, ..Faults::default() };
    let terms = terms(TOTAL, 6, 3, 1_000);
    let audit = simulate(1, &terms, reliable, 200_000, Some(&wants));
    let floor = terms.allotments().values().next().expect("an allotment").floor;
    let idle = floor * (6 - busy.len() as i64);
    let part = (TOTAL - idle) / busy.len() as i64;
    for &at in busy {
        assert!(audit.shares[at] * 100 >= part * 90, "{at}: {audit:?}, of {part}");
    }
}

#[test]
fn terms_above_the_budget_are_rejected() {
    let allotments = BTreeMap::from([(names(1)[0].clone(), Allotment { floor: 3, lendable: 8 })]);
    assert_eq!(
        Terms::new(1, 10, allotments, 15_000, 0, 0),
        Err(TermsError::AboveBudget { sum: 11, total: 10 })
    );
}

/// Guards against lending the same rate twice: the old process of a restarted borrower may only be suspended, and
/// resume with its loan.
#[test]
fn borrower_restart_keeps_earlier_loans_outstanding() {
    let terms = terms(TOTAL, 2, 1, 0);
    let (me, other) = (names(2)[0].clone(), names(2)[1].clone());
    let mut lender = Lender::new(&terms, &me, Start::default(), 0);
    let incarnation = |count| Start { at: 0, count };
    let now = terms.lender_duration();
    let half = terms.allotment(&me).lendable / 2;
    for count in [1, 2] {
        let request = Borrower::new(&terms, incarnation(count)).request(now, half);
        assert_eq!(
            lender.handle_request(now, &other, incarnation(count), &request).map(|grant| grant.rate),
            Some(half)
        );
    }
    let request = Borrower::new(&terms, incarnation(1)).request(now, TOTAL);
    let third = Name::new("third").expect("short");
    assert_eq!(lender.handle_request(now, &third, incarnation(1), &request).map(|grant| grant.rate), Some(0));
}

#[test]
fn lender_with_clock_stepped_back_is_accepted_after_loan_expiry() {
    let terms = terms(TOTAL, 2, 1, 0);
    let mut borrower = Borrower::new(&terms, Start::default());
    let grant =
        |number| LoanGrant { terms: 1, number, borrower_start: Start::default(), version: 1, rate: 5 };
    borrower.request(0, 9);
    assert!(borrower.handle_grant(1, Start { at: 7, count: 0 }, &grant(1)));
    borrower.request(10, 9);
    assert!(!borrower.handle_grant(11, Start { at: 3, count: 0 }, &grant(2)));
    let later = terms.lender_duration();
    borrower.request(later, 9);
    assert!(borrower.handle_grant(later + 1, Start { at: 3, count: 0 }, &grant(3)));
}

#[test]
fn bucket_drops_tokens_above_a_reduced_share() {
    let mut bucket = Bucket::new(1_000, 0);
    bucket.set_rate(0, 1_000_000);
    assert!(bucket.take(1_000, 50), "a thousand tokens per second add a hundred in 0.1 s");
    bucket.set_rate(1_000, 10_000);
    assert!(bucket.take(1_000, 1));
    assert!(!bucket.take(1_000, 1), "at ten per second the bucket holds one token");
}
