use super::*;
use rstest::rstest;

#[rstest]
fn deployed_example_file_is_valid() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/fleet.hcl");
    let settings = read(Path::new(path)).expect("a good file");
    assert_eq!((settings.plan, settings.seeds.len()), (Plan { fleet: 1, ..Plan::default() }, 2));
}

#[rstest]
#[case::no_port("fleet {\n  address = \"127.0.0.1\"\n}", "f:2:13: expected an address and port")]
#[case::unspecified_address(
    "fleet {\n  address = \"0.0.0.0:7400\"\n}",
    "f:2:13: expected an address and port that"
)]
#[case::unknown_key("fleet {\n  address = \"127.0.0.1:1\"\n  zones = 1\n}", "f:3:3: expected one of")]
#[case::reach_below_period(
    "fleet {\n  address = \"127.0.0.1:1\"\n  plan {\n    reach = \"10ms\"\n  }\n}",
    "f:4:13: expected at least one period"
)]
#[case::invalid_seed_name(
    "fleet {\n  address = \"127.0.0.1:1\"\n  seed \"a b\" { }\n}",
    "f:3:3: expected a label"
)]
fn error_names_position_and_expected_value(#[case] text: &str, #[case] expected: &str) {
    let file = OperatorFile::parse("f", text).expect("HCL");
    let why = parse(&file).expect_err("wrong").to_string();
    assert!(why.starts_with(expected), "{why}");
}
