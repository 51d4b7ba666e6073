//! Parses the settings: single values, command groups and customers' shares.

use crate::decay::DecayingSum;
use crate::interface::{SettingValues, Tenths};
use crate::state::{Access, CommandGroup, Effect};
use std::collections::BTreeMap;
use std::str::FromStr;

/// Converts milliseconds to tenths of a millisecond, rounded down.
pub(crate) fn tenths_from_ms(ms: f64) -> Tenths {
    (ms * 10.0).floor() as Tenths
}

/// The value of a setting, or `default` if it is absent. A value that cannot be parsed is an error.
pub(crate) fn setting_or<T: FromStr>(settings: &SettingValues, name: &str, default: T) -> Result<T, String> {
    settings
        .get(name)
        .map_or(Ok(default), |v| v.parse().map_err(|_| format!("setting {name}: cannot read '{v}'")))
}

/// The value of a setting that must be present.
pub(crate) fn required<T: FromStr>(settings: &SettingValues, name: &str) -> Result<T, String> {
    let value = settings.get(name).ok_or_else(|| format!("setting {name} is missing"))?;
    value.parse().map_err(|_| format!("setting {name}: cannot read '{value}'"))
}

/// Settings that are non-negative numbers and are parsed each time they are used.
const NUMERIC_SETTINGS: [&str; 10] = [
    "me",
    "balancers",
    "penalties.cross_zone",
    "permissions.dial_timeout_ms",
    "permissions.max_retry_after_ms",
    "rules.drain_grace_ms",
    "rules.fall_ms",
    "rules.start_capacity",
    "rules.tip_multiple",
    "rules.warm_after_ms",
];

/// Checks that all numeric settings that are present can be parsed. Without this check, a malformed one would
/// silently be replaced by its default where it is used.
pub(crate) fn check_numbers(settings: &SettingValues) -> Result<(), String> {
    let is_valid =
        |value: &String| value.parse().is_ok_and(|number: f64| number.is_finite() && number >= 0.0);
    let present = NUMERIC_SETTINGS.iter().filter_map(|name| Some((name, settings.get(*name)?)));
    let invalid = present.into_iter().find(|(_, value)| !is_valid(value));
    invalid.map_or(Ok(()), |(name, value)| {
        Err(format!("setting {name}: expected a number from 0, found '{value}'"))
    })
}

/// One value of a comma-separated list.
fn list_item<'a>(settings: &'a SettingValues, name: &str, index: usize) -> Option<&'a str> {
    settings.get(name)?.split(',').nth(index)
}

/// The command groups with their names, in the order of the settings; `access` and `effect` are the defaults.
pub(crate) fn command_groups(
    settings: &SettingValues,
    access: Access,
    effect: Effect,
) -> Result<Vec<(String, CommandGroup)>, String> {
    let (mut groups, mut indexes) = (Vec::new(), BTreeMap::new());
    for i in 0..required(settings, "request_classes.count")? {
        let (name, group) = command_group(settings, i, access, effect)?;
        if let Some(first) = indexes.insert(name.clone(), i) {
            return Err(format!(
                "expected another name for request_classes.{i}, found '{name}' at {first} too"
            ));
        }
        groups.push((name, group));
    }
    Ok(groups)
}

/// The customers' traffic shares by customer name, each with an empty traffic count.
pub(crate) fn customer_shares(
    settings: &SettingValues,
) -> Result<BTreeMap<String, (f64, DecayingSum)>, String> {
    let share = |i: usize| {
        let share = setting_or(settings, &format!("projects.{i}.share"), 1.0)?;
        Ok((required(settings, &format!("projects.{i}.name"))?, (share, DecayingSum::default())))
    };
    (0..setting_or(settings, "projects.count", 0)?).map(share).collect()
}

fn command_group(
    settings: &SettingValues,
    index: usize,
    access: Access,
    effect: Effect,
) -> Result<(String, CommandGroup), String> {
    let key = |name: &str| format!("request_classes.{index}.{name}");
    let bound = list_item(settings, "family_info.lag_allowed_ms", index)
        .and_then(|b| b.parse().ok())
        .map_or(0, tenths_from_ms);
    let access = match list_item(settings, "family_info.class_read", index) {
        Some("any") => Access::Any,
        Some("bounded") => Access::Bounded(bound),
        Some("session") => Access::Session,
        Some("fresh") => Access::Fresh,
        Some("write") => Access::Write,
        _ => access,
    };
    let scope = setting_or(settings, &key("group"), String::new())?;
    let window = tenths_from_ms(setting_or(settings, &key("window_ms"), 0.0)?);
    let (everywhere, by_zone) = (scope == "all", scope == "zone");
    let effect = match settings.get(&key("semantics")).map(String::as_str) {
        Some("pure") => Effect::Replayable,
        Some("token") => Effect::Keyed { everywhere, by_zone, window },
        Some("side_effect") => Effect::Mutating,
        _ => effect,
    };
    let timeout: f64 = required(settings, &key("hard_limit_ms"))?;
    let target = tenths_from_ms(setting_or(settings, &key("aim_ms"), timeout)?).max(1);
    let late_share = setting_or(settings, &key("late_value"), 0.0)?;
    let benefit = setting_or(settings, &key("importance"), 1.0)?;
    let attempts = setting_or(settings, "permissions.max_attempts", 1)?;
    let (retry_after, latency) = (0, Default::default());
    let group = CommandGroup { access, effect, target, late_share, benefit, attempts, retry_after, latency };
    Ok((required(settings, &key("name"))?, group))
}

/// Whether a setting is present with exactly this value.
pub(crate) fn setting_is(settings: &SettingValues, name: &str, value: &str) -> bool {
    settings.get(name).is_some_and(|v| v == value)
}
