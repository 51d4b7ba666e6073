//! Settings as operators write them: a JSON object, flattened to the names of settings that the simulator's wire has.
//! Names that the settings give stay as they are.

use serde_json::{Map, Value};
use std::collections::BTreeMap;
use vetchkeel::Told;
use vetchkeel_pgwire::parse_metadata;

/// Lists whose entries clients name.
const NAMED: [&str; 2] = ["request_classes", "projects"];

/// The names and values of this object.
pub fn flattened(settings: &Map<String, Value>) -> Told {
    let mut told = Told::new();
    settings.iter().for_each(|(name, value)| flatten(name, value, &mut told));
    told
}

/// Whether a router can tell apart what clients name. The error is one line that says what was expected.
pub fn check(told: &Told) -> Result<(), String> {
    NAMED.into_iter().try_for_each(|list| told_apart(list, told))
}

/// The names of the command groups or customers in this list.
pub fn names<'a>(told: &'a Told, list: &str) -> impl Iterator<Item = &'a String> {
    (0..).map_while(move |i| told.get(&format!("{list}.{i}.name")))
}

/// Danger: a command gets the effect, deadline or share of another's. Each entry has a name of its own, one
/// that clients can word.
fn told_apart(list: &str, told: &Told) -> Result<(), String> {
    let mut places = BTreeMap::new();
    for (at, name) in names(told, list).enumerate() {
        if let Some(first) = places.insert(name, at) {
            return Err(format!(
                "expected another name for each of '{list}', found {name:?} at {first} and {at}"
            ));
        }
        let statement = format!("/*id=i,d=1,c={name},t={name}*/");
        let read = parse_metadata(statement.as_bytes()).map(|s| (s.group, s.customer));
        if read != Ok((name, Some(name))) {
            let expected = "a name that reads the same in a statement's comment";
            return Err(format!("expected {expected} for each of '{list}', found {name:?} at {at}"));
        }
    }
    Ok(())
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn flatten(name: &str, value: &Value, told: &mut Told) {
    match value {
        Value::Null => {}
        Value::Object(parts) => parts.iter().for_each(|(n, v)| flatten(&format!("{name}.{n}"), v, told)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            told.insert(format!("{name}.count"), items.len().to_string());
            items.iter().enumerate().for_each(|(i, v)| flatten(&format!("{name}.{i}"), v, told));
        }
        Value::Array(items) => {
            // Danger: these are read by their places. An entry with a comma would count as two.
            let entry = |item| plain(item).replace(',', "_");
            told.insert(name.to_owned(), items.iter().map(entry).collect::<Vec<_>>().join(","));
        }
        other => {
            told.insert(name.to_owned(), plain(other));
        }
    }
}

#[cfg(test)]
mod tests;
