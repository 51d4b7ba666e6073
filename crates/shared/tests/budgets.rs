//! The sum of what all may spend never passes the budget, and the budget is used where it is wanted.

mod world;

use std::collections::BTreeMap;

use rstest::rstest;
use vetchkeel_shared::budgets::{BadTerms, Borrower, Bucket, Grant, Lender, Seat, Terms};
use vetchkeel_shared::{Name, Start};
use world::{ALL, Faults, names, play, terms};

const TOTAL: i64 = 400_000;

/// The wide run is `cargo run -p vetchkeel-shared --release --example budgets`.
#[rstest]
fn no_schedule_passes_the_budget(#[values((2, 1), (3, 3), (6, 3))] fleet: (usize, usize)) {
    let terms = terms(TOTAL, fleet.0, fleet.1, 50_000);
    let mut blows = 0;
    for seed in 0..40 {
        let audit = play(seed, &terms, ALL, 600_000, None);
        assert!(audit.over <= 0, "seed {seed}: {audit:?}");
        assert!(audit.tokens_over <= 0, "seed {seed}: {audit:?}");
        blows += audit.blows;
    }
    assert!(blows > 100, "the schedules did something: {blows}");
}

/// The auditor sees what it is there for.
#[rstest]
#[case::lends_at_once_after_a_start(Faults { no_quiet: true, ..ALL }, 50_000)]
#[case::clocks_worse_than_the_terms_say(ALL, 0)]
fn a_planted_fault_is_found(#[case] faults: Faults, #[case] drift: i64) {
    let terms = terms(TOTAL, 3, 3, drift);
    assert!((0..200).any(|seed| play(seed, &terms, faults, 600_000, None).over > 0));
}

#[rstest]
#[case::one_wants_all(|at| if at == 4 { 4 * TOTAL } else { 0 }, &[4])]
#[case::two_of_them_lenders(|at| if at < 2 { 4 * TOTAL } else { 0 }, &[0, 1])]
#[case::all(|_| TOTAL, &[0, 1, 2, 3, 4, 5])]
fn shares_go_where_they_are_wanted(#[case] wants: fn(usize) -> i64, #[case] busy: &[usize]) {
    let calm = Faults { delay: 100, ..Faults::default() };
    let terms = terms(TOTAL, 6, 3, 1_000);
    let audit = play(1, &terms, calm, 200_000, Some(&wants));
    let floor = terms.seats().values().next().expect("a seat").floor;
    let idle = floor * (6 - busy.len() as i64);
    let part = (TOTAL - idle) / busy.len() as i64;
    for &at in busy {
        assert!(audit.shares[at] * 100 >= part * 90, "{at}: {audit:?}, of {part}");
    }
}

#[test]
fn terms_above_the_budget_are_refused() {
    let seats = BTreeMap::from([(names(1)[0].clone(), Seat { floor: 3, home: 8 })]);
    assert_eq!(Terms::new(1, 10, seats, 15_000, 0, 0), Err(BadTerms::Over { sum: 11, total: 10 }));
}

/// The old process may only be stopped, and wake up with its loan.
#[test]
fn a_new_life_of_a_borrower_does_not_free_the_loans_of_the_old() {
    let terms = terms(TOTAL, 2, 1, 0);
    let (me, other) = (names(2)[0].clone(), names(2)[1].clone());
    let mut lender = Lender::new(&terms, &me, Start::default(), 0);
    let life = |count| Start { at: 0, count };
    let now = terms.lent_for();
    let half = terms.seat(&me).home / 2;
    for count in [1, 2] {
        let ask = Borrower::new(&terms, life(count)).ask(now, half);
        assert_eq!(lender.asked(now, &other, life(count), &ask).map(|grant| grant.rate), Some(half));
    }
    let ask = Borrower::new(&terms, life(1)).ask(now, TOTAL);
    let third = Name::new("third").expect("short");
    assert_eq!(lender.asked(now, &third, life(1), &ask).map(|grant| grant.rate), Some(0));
}

#[test]
fn a_lender_whose_clock_stepped_back_is_heard_once_its_old_loan_has_ended() {
    let terms = terms(TOTAL, 2, 1, 0);
    let mut borrower = Borrower::new(&terms, Start::default());
    let grant = |number| Grant { terms: 1, number, asked_by: Start::default(), version: 1, rate: 5 };
    borrower.ask(0, 9);
    assert!(borrower.granted(1, Start { at: 7, count: 0 }, &grant(1)));
    borrower.ask(10, 9);
    assert!(!borrower.granted(11, Start { at: 3, count: 0 }, &grant(2)));
    let later = terms.lent_for();
    borrower.ask(later, 9);
    assert!(borrower.granted(later + 1, Start { at: 3, count: 0 }, &grant(3)));
}

#[test]
fn a_bucket_loses_what_its_share_loses() {
    let mut bucket = Bucket::new(1_000, 0);
    bucket.set(0, 1_000_000);
    assert!(bucket.take(1_000, 50), "a thousand a second bring a hundred in 0.1 s");
    bucket.set(1_000, 10_000);
    assert!(bucket.take(1_000, 1));
    assert!(!bucket.take(1_000, 1), "ten a second hold one");
}
