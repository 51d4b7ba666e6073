//! Parses the settings: single values, command groups and customers' shares.

use crate::decay::Decay;
use crate::interface::{Tenths, Told};
use crate::state::{Access, CommandGroup, Effect};
use std::collections::BTreeMap;
use std::str::FromStr;

/// Converts milliseconds to tenths of a millisecond, rounded down.
pub(crate) fn tenths(ms: f64) -> Tenths {
    (ms * 10.0).floor() as Tenths
}

/// The value of a setting, or `or` if it is absent. A value that cannot be parsed is an error.
pub(crate) fn pick<T: FromStr>(told: &Told, name: &str, or: T) -> Result<T, String> {
    told.get(name).map_or(Ok(or), |v| v.parse().map_err(|_| format!("setting {name}: cannot read '{v}'")))
}

/// The value of a setting that must be present.
pub(crate) fn need<T: FromStr>(told: &Told, name: &str) -> Result<T, String> {
    let value = told.get(name).ok_or_else(|| format!("setting {name} is missing"))?;
    value.parse().map_err(|_| format!("setting {name}: cannot read '{value}'"))
}

/// Settings that are non-negative numbers and are parsed each time they are used.
const NUMBERS: [&str; 10] = [
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
pub(crate) fn numbers(told: &Told) -> Result<(), String> {
    let good = |value: &String| value.parse().is_ok_and(|number: f64| number.is_finite() && number >= 0.0);
    let told = NUMBERS.iter().filter_map(|name| Some((name, told.get(*name)?)));
    let wrong = told.into_iter().find(|(_, value)| !good(value));
    wrong.map_or(Ok(()), |(name, value)| {
        Err(format!("setting {name}: expected a number from 0, found '{value}'"))
    })
}

/// One value of a comma-separated list.
fn item<'a>(told: &'a Told, name: &str, at: usize) -> Option<&'a str> {
    told.get(name)?.split(',').nth(at)
}

/// The command groups with their names, in the order of the settings; `access` and `effect` are the defaults.
pub(crate) fn command_groups(
    told: &Told,
    access: Access,
    effect: Effect,
) -> Result<Vec<(String, CommandGroup)>, String> {
    let (mut groups, mut places) = (Vec::new(), BTreeMap::new());
    for i in 0..need(told, "request_classes.count")? {
        let (name, group) = command_group(told, i, access, effect)?;
        if let Some(first) = places.insert(name.clone(), i) {
            return Err(format!(
                "expected another name for request_classes.{i}, found '{name}' at {first} too"
            ));
        }
        groups.push((name, group));
    }
    Ok(groups)
}

/// The customers' traffic shares by customer name, each with an empty traffic count.
pub(crate) fn shares(told: &Told) -> Result<BTreeMap<String, (f64, Decay)>, String> {
    let share = |i: usize| {
        let share = pick(told, &format!("projects.{i}.share"), 1.0)?;
        Ok((need(told, &format!("projects.{i}.name"))?, (share, Decay::default())))
    };
    (0..pick(told, "projects.count", 0)?).map(share).collect()
}

fn command_group(
    told: &Told,
    at: usize,
    access: Access,
    effect: Effect,
) -> Result<(String, CommandGroup), String> {
    let key = |name: &str| format!("request_classes.{at}.{name}");
    let bound = item(told, "family_info.lag_allowed_ms", at).and_then(|b| b.parse().ok()).map_or(0, tenths);
    let access = match item(told, "family_info.class_read", at) {
        Some("any") => Access::Any,
        Some("bounded") => Access::Bounded(bound),
        Some("session") => Access::Session,
        Some("fresh") => Access::Fresh,
        Some("write") => Access::Write,
        _ => access,
    };
    let scope = pick(told, &key("group"), String::new())?;
    let window = tenths(pick(told, &key("window_ms"), 0.0)?);
    let (everywhere, by_zone) = (scope == "all", scope == "zone");
    let effect = match told.get(&key("semantics")).map(String::as_str) {
        Some("pure") => Effect::Replayable,
        Some("token") => Effect::Keyed { everywhere, by_zone, window },
        Some("side_effect") => Effect::Mutating,
        _ => effect,
    };
    let timeout: f64 = need(told, &key("hard_limit_ms"))?;
    let target = tenths(pick(told, &key("aim_ms"), timeout)?).max(1);
    let late_share = pick(told, &key("late_value"), 0.0)?;
    let benefit = pick(told, &key("importance"), 1.0)?;
    let attempts = pick(told, "permissions.max_attempts", 1)?;
    let (hold_off, latency) = (0, Default::default());
    let group = CommandGroup { access, effect, target, late_share, benefit, attempts, hold_off, latency };
    Ok((need(told, &key("name"))?, group))
}

/// Whether a setting is present with exactly this value.
pub(crate) fn is(told: &Told, name: &str, value: &str) -> bool {
    told.get(name).is_some_and(|v| v == value)
}
