use super::*;
use rstest::rstest;

fn progress(told: &[(Tenths, Tenths)]) -> Option<Tenths> {
    let mut progress = Progress::default();
    told.iter().fold(None, |_, (position, asked)| progress.tells(*position, *asked))
}

#[rstest]
#[case::the_first(&[(100, 90)], None)]
#[case::advances(&[(100, 90), (200, 190)], Some(90))]
#[case::stands_still(&[(100, 90), (100, 190), (100, 290)], None)]
#[case::goes_on_after_it_stood_still(&[(100, 90), (100, 190), (300, 290)], Some(190))]
#[case::overtaken(&[(200, 190), (100, 90)], None)]
#[case::overtaken_and_then_later(&[(200, 190), (100, 290), (300, 280)], Some(190))]
#[case::both_under_way(&[(100, 90), (101, 80)], Some(90))]
fn only_a_position_that_advances_dates_itself(
    #[case] told: &[(Tenths, Tenths)],
    #[case] since: Option<Tenths>,
) {
    assert_eq!(progress(told), since);
}

#[rstest]
fn a_later_reign_is_not_compared_with_an_earlier_one() {
    let mut progress = Progress::default();
    progress.tells(100, 90);
    progress.ends();
    assert_eq!(progress.tells(200, 190), None);
}
