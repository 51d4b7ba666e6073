use super::*;
use rstest::rstest;

fn last_dated(answers: &[(Tenths, Tenths)]) -> Option<Tenths> {
    let mut progress = Progress::default();
    answers.iter().fold(None, |_, (position, requested_at)| progress.record(*position, *requested_at))
}

#[rstest]
#[case::first(&[(100, 90)], None)]
#[case::advances(&[(100, 90), (200, 190)], Some(90))]
#[case::unchanged(&[(100, 90), (100, 190), (100, 290)], None)]
#[case::advances_after_unchanged(&[(100, 90), (100, 190), (300, 290)], Some(190))]
#[case::overtaken(&[(200, 190), (100, 90)], None)]
#[case::advances_after_overtaken(&[(200, 190), (100, 290), (300, 280)], Some(190))]
#[case::concurrent_requests(&[(100, 90), (101, 80)], Some(90))]
fn only_an_advancing_position_is_dated(#[case] answers: &[(Tenths, Tenths)], #[case] since: Option<Tenths>) {
    assert_eq!(last_dated(answers), since);
}

#[rstest]
fn positions_of_different_terms_are_not_compared() {
    let mut progress = Progress::default();
    progress.record(100, 90);
    progress.reset();
    assert_eq!(progress.record(200, 190), None);
}
