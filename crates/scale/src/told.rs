//! Settings of a router without clients, as the platform would tell them: one command group of each kind.

use serde_json::{Map, Value, json};
use vetchkeel::SettingValues;

pub(crate) fn told(router: usize, routers: usize) -> SettingValues {
    let pairs = [
        ("me", router.to_string()),
        ("balancers", routers.to_string()),
        ("membership_mode", "subscribe".into()),
        ("family_info.class_read", "any,write".into()),
        ("permissions.may_probe", "true".into()),
        ("permissions.max_attempts", "6".into()),
        ("permissions.dial_timeout_ms", "250.0".into()),
        ("request_classes.count", "2".into()),
        ("request_classes.0.name", "look".into()),
        ("request_classes.0.semantics", "pure".into()),
        ("request_classes.0.aim_ms", "600.0".into()),
        ("request_classes.0.hard_limit_ms", "1500.0".into()),
        ("request_classes.0.importance", "1.0".into()),
        ("request_classes.1.name", "order".into()),
        ("request_classes.1.semantics", "side_effect".into()),
        ("request_classes.1.aim_ms", "600.0".into()),
        ("request_classes.1.hard_limit_ms", "3000.0".into()),
        ("request_classes.1.importance", "6.0".into()),
    ];
    pairs.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

/// The same as JSON: lists as lists, everything else as its text.
pub(crate) fn settings(told: &SettingValues) -> Value {
    let value = |text: &str| -> Value {
        if text.contains(',') { text.split(',').map(str::to_owned).collect() } else { json!(text) }
    };
    Value::Object(told.iter().map(|(name, text)| (name.clone(), value(text))).collect::<Map<_, _>>())
}
