use super::BarrierStep::*;
use super::*;
use rstest::rstest;

/// Guards against a second copy of an answer, or of a refusal, that is taken for the barrier's answer.
#[rstest]
#[case::alone("IZ", Passed)]
#[case::with_parameters("SSNIZ", Passed)]
#[case::behind_a_copy("STDCZIZ", Passed)]
#[case::behind_a_copied_refusal("EZIZ", Passed)]
#[case::copy_alone("STDCZ", Pending)]
#[case::refusal_alone("EZ", Pending)]
#[case::without_ready("STDCZI", Pending)]
#[case::row_behind_the_answer("IT", Garbled)]
#[case::greeting("R", Garbled)]
fn only_the_answer_to_an_empty_query_passes_a_barrier(#[case] kinds: &str, #[case] last: BarrierStep) {
    let mut barrier = Barrier::new(0);
    let steps: Vec<BarrierStep> = kinds.bytes().map(|kind| barrier.take(kind)).collect();
    let (end, before) = steps.split_last().expect("some messages");
    assert_eq!(*end, last);
    assert!(before.iter().all(|step| *step == Pending));
}
