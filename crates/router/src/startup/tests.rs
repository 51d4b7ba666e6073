use super::*;
use rstest::rstest;

#[rstest]
fn configuration_is_parsed() {
    let text = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
        "settings":{"kinds":["std-4","x,y"],"permissions":{"cancel":true}}}"#;
    let start = start(text, |_| None).expect("readable");
    let settings: Vec<(&str, &str)> = start.settings.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    let want = vec![("kinds", "std-4,x_y"), ("permissions.cancel", "true")];
    assert_eq!((settings, start.seed), (want, 0x8c1f30d27a5be964));
}

#[rstest]
#[case::invalid_json("{", "expected JSON")]
#[case::missing_settings("{}", "'settings'")]
#[case::missing_address(r#"{"settings":{},"seed":"1"}"#, "'listen'")]
#[case::invalid_seed(r#"{"settings":{},"seed":"xyz"}"#, "'seed'")]
fn errors_name_what_was_expected(#[case] text: &str, #[case] expected: &str) {
    let why = start(text, |_| None).err().expect("unreadable");
    assert!(why.contains(expected) && !why.contains('\n'), "{why}");
}
