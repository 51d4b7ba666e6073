use crate::tally::{Duty, Rates, Tally};
use rstest::rstest;

#[rstest]
fn a_second_counts_for_each_router_that_ran_in_it() {
    let mut tally = Tally::new(3);
    tally.sent(0, Duty::List, 100);
    tally.heard(0, Duty::Membership, 50);
    tally.heard(1, Duty::List, 10);
    tally.sent(2, Duty::List, 999);
    tally.end_second(|router| router < 2);
    tally.end_second(|router| router < 2);
    assert_eq!(tally.rates(Some(Duty::List)), Rates { mean: 27, p50: 0, p99: 100, most: 100 });
    assert_eq!(tally.rates(None), Rates { mean: 40, p50: 0, p99: 150, most: 150 });
}
