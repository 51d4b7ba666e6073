use super::*;
use rstest::rstest;

const GOOD: &str = r#"control {
  name = "c1"
  address = "127.0.0.1:7600"
  document = "settings.json"
  keep = "c1.kept"
  keepers = ["c1", "c2", "c3"]
  machine "c2" { address = "127.0.0.2:7600" }
  machine "c3" { address = "127.0.0.3:7600" }
  plan { beat = "250ms" }
}"#;

fn parsed(text: &str) -> Result<Control, FileError> {
    control(&OperatorFile::parse("c.hcl", text)?)
}

#[rstest]
fn valid_file_is_parsed() {
    let control = parsed(GOOD).expect("readable");
    assert_eq!((control.others.len(), control.keepers.len(), control.plan.beat), (2, 3, 2_500));
}

#[rstest]
#[case::invalid_name(r#""c1""#, r#""c 1""#, 2)]
#[case::unspecified_address("127.0.0.1:7600", "0.0.0.0:7600", 3)]
#[case::even_keepers(r#""c1", "c2", "c3""#, r#""c1", "c2""#, 6)]
#[case::unknown_keeper(r#""c1", "c2", "c3""#, r#""c1", "c2", "c9""#, 6)]
#[case::beat_too_short("250ms", "1us", 9)]
#[case::missing_value("keep =", "kept =", 1)]
fn invalid_values_are_reported_with_their_line(
    #[case] piece: &str,
    #[case] other: &str,
    #[case] line: usize,
) {
    let wrong = parsed(&GOOD.replacen(piece, other, 1)).expect_err("refused");
    assert_eq!(wrong.line, line, "{wrong}");
}

#[rstest]
fn shipped_operator_file_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/control.hcl");
    let control = read(&path).expect("readable");
    assert_eq!((control.others.len(), control.keepers.len(), control.plan), (2, 3, Plan::default()));
}
