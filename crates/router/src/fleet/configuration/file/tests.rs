use super::*;
use rstest::rstest;

const GOOD: &str = r#"configuration {
  address = "127.0.0.1:7500"
  keep = "r1.kept"
  near = ["c1"]
  machine "c1" { address = "127.0.0.2:7600" }
  plan { beat = "250ms" }
}"#;

fn parsed(text: &str) -> Result<ConfigurationSettings, FileError> {
    parse(&OperatorFile::parse("c.hcl", text)?)
}

#[rstest]
fn valid_file_is_parsed() {
    let settings = parsed(GOOD).expect("readable");
    assert_eq!((settings.machines.len(), settings.near.len(), settings.plan.beat), (1, 1, 2_500));
}

#[rstest]
#[case::unspecified_address("127.0.0.1:7500", "0.0.0.0:7500", 2)]
#[case::missing_keep("keep =", "kept =", 1)]
#[case::invalid_machine_name(r#"machine "c1""#, r#"machine "c 1""#, 5)]
#[case::no_machine(r#"machine "c1" { address = "127.0.0.2:7600" }"#, "", 1)]
#[case::beat_too_short("250ms", "1us", 6)]
fn error_names_line_of_invalid_value(#[case] piece: &str, #[case] other: &str, #[case] line: usize) {
    let wrong = parsed(&GOOD.replacen(piece, other, 1)).expect_err("refused");
    assert_eq!(wrong.line, line, "{wrong}");
}

#[rstest]
fn deployed_example_file_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/configuration.hcl");
    let settings = read(&path).expect("readable");
    assert_eq!((settings.machines.len(), settings.plan), (3, Plan::default()));
}
