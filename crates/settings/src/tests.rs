use super::*;
use rstest::rstest;

fn flattened_json(text: &str) -> SettingValues {
    flatten_settings(serde_json::from_str::<Value>(text).expect("JSON").as_object().expect("an object"))
}

#[rstest]
fn json_object_is_flattened_with_names_unchanged() {
    let values = flattened_json(
        r#"{"me":2,"zone":"big hall","kinds":["std-4","big one","x,y"],
        "permissions":{"cancel":true,"dial_timeout_ms":250.0},
        "request_classes":[{"name":"map view, old","aim_ms":600.0}]}"#,
    );
    let want = [
        ("kinds", "std-4,big one,x_y"),
        ("me", "2"),
        ("permissions.cancel", "true"),
        ("permissions.dial_timeout_ms", "250.0"),
        ("request_classes.0.aim_ms", "600.0"),
        ("request_classes.0.name", "map view, old"),
        ("request_classes.count", "1"),
        ("zone", "big hall"),
    ];
    let values: Vec<(&str, &str)> = values.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    assert_eq!(values, want);
}

#[rstest]
#[case::duplicate(r#"{"request_classes":[{"name":"a"},{"name":"a"}]}"#, "found \"a\" at 0 and 1")]
#[case::unreadable_in_a_comment(r#"{"projects":[{"name":"a*/"}]}"#, "'projects', found \"a*/\" at 0")]
fn ambiguous_names_are_rejected(#[case] text: &str, #[case] found: &str) {
    let why = check_client_names(&flattened_json(text)).expect_err("rejected");
    assert!(why.starts_with("expected ") && why.contains(found), "{why}");
}
