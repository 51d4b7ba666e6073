use super::*;
use crate::ending::Reached;
use rstest::rstest;

const NOW: Tenths = 1_000_000;

#[rstest]
#[case::good(Ok(()), NOW, Some(NOW), Some(true))]
#[case::read_only_error(Err(Cause::Code(*b"25006")), NOW, Some(NOW), Some(true))]
#[case::malformed(Err(Cause::Garbled), 0, None, None)]
fn reports_of_a_malformed_answer_are_discarded(
    #[case] result: Result<(), Cause>,
    #[case] applied: Tenths,
    #[case] reported: Option<Tenths>,
    #[case] primary: Option<bool>,
) {
    let result = result.map_err(|cause| Failure { reached: Reached::Written, cause });
    let note = AnswerNote { primary: Some(true), position: NOW };
    let report = Report { primary: Some(true), position: Some(NOW) };
    let (note, report) = trusted(&result, note, report);
    assert_eq!((note.position, note.primary), (applied, primary));
    assert_eq!((report.position, report.primary), (reported, primary));
}

#[rstest]
#[case::valid("x0=100.0,x1=1", Some(999_990), Some(true))]
#[case::not_numeric("x0=soon,x1=yes", None, None)]
#[case::not_finite_and_unknown_role("x0=nan,x1=7", None, None)]
#[case::unconfigured_fields("x3=1,x1=0,,=,x0", None, Some(false))]
fn invalid_report_fields_are_ignored(
    #[case] text: &str,
    #[case] position: Option<Tenths>,
    #[case] primary: Option<bool>,
) {
    let fields = ["x0".to_owned(), "x1".to_owned()];
    let found = report(text, &fields);
    assert_eq!((found.position, found.primary), (position, primary));
}
