use super::*;
use rstest::rstest;

fn run_host(input: &str) -> (Result<(), String>, String) {
    let mut output = Vec::new();
    let done = Host::default().run(input.as_bytes(), &mut output);
    (done, String::from_utf8(output).expect("text"))
}

#[rstest]
#[case::empty_batch("tick\t1.0\t1\neof_batch\n", "end\t1\n")]
#[case::events_for_unknown_instance("tick\t1.0\t2\nleft\t5\tx\ndue\t5\t0\neof_batch\n", "end\t2\n")]
#[case::failed_start(
    "tick\t1.0\t3\nbegin\t0\t9\ta=b\neof_batch\n",
    "die\t0\tsetting request_classes.count is missing\nend\t3\n"
)]
#[case::no_input("", "")]
fn batches_are_answered(#[case] input: &str, #[case] reply: &str) {
    let (done, output) = run_host(input);
    assert_eq!((done, output.as_str()), (Ok(()), reply));
}

#[rstest]
#[case::unknown_message("tick\t1.0\t1\nhello\t0\neof_batch\n", "line 2", "found 'hello'")]
#[case::bad_number("tick\tnoon\t1\neof_batch\n", "line 1", "the clock")]
#[case::cut_off("tick\t1.0\t1\nleft\t0\tx\n", "line 3", "end of the input")]
#[case::short_inventory("tick\t1.0\t1\ninventory\t0\t2\nrow\tn\n", "line 3", "the zone")]
fn malformed_lines_are_reported_with_line_and_cause(
    #[case] input: &str,
    #[case] place: &str,
    #[case] what: &str,
) {
    let why = run_host(input).0.expect_err("malformed");
    assert!(why.contains(place) && why.contains(what), "{why}");
}
