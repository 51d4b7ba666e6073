//! Flattens the operators' settings, a JSON object, to the setting names of the simulator's wire. Names that occur as
//! values, such as those of command groups, stay unchanged.

use serde_json::{Map, Value};
use std::collections::BTreeMap;
use vetchkeel::SettingValues;
use vetchkeel_pgwire::parse_metadata;

/// Lists whose entries clients refer to by name.
const CLIENT_NAMED_LISTS: [&str; 2] = ["request_classes", "projects"];

/// The settings of a JSON object as flat names and values.
pub fn flatten_settings(settings: &Map<String, Value>) -> SettingValues {
    let mut values = SettingValues::new();
    settings.iter().for_each(|(name, value)| flatten(name, value, &mut values));
    values
}

/// Checks that the names in the lists that clients refer to are distinct and can be read from a statement's comment.
/// The error is one line that states what was expected.
pub fn check_client_names(values: &SettingValues) -> Result<(), String> {
    CLIENT_NAMED_LISTS.into_iter().try_for_each(|list| check_names(list, values))
}

/// The names of the command groups or customers in this list.
pub fn list_names<'a>(values: &'a SettingValues, list: &str) -> impl Iterator<Item = &'a String> {
    (0..).map_while(move |i| values.get(&format!("{list}.{i}.name")))
}

/// Checks that each entry of a list has a distinct name that clients can write in a statement's comment. Otherwise a
/// command would get the effect, deadline or share of another entry.
fn check_names(list: &str, values: &SettingValues) -> Result<(), String> {
    let mut indexes = BTreeMap::new();
    for (index, name) in list_names(values, list).enumerate() {
        if let Some(first) = indexes.insert(name, index) {
            return Err(format!(
                "expected another name for each of '{list}', found {name:?} at {first} and {index}"
            ));
        }
        let statement = format!("/*id=i,d=1,c={name},t={name}*/");
        let parsed = parse_metadata(statement.as_bytes()).map(|s| (s.group, s.customer));
        if parsed != Ok((name, Some(name))) {
            let expected = "a name that reads the same in a statement's comment";
            return Err(format!("expected {expected} for each of '{list}', found {name:?} at {index}"));
        }
    }
    Ok(())
}

fn scalar_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn flatten(name: &str, value: &Value, values: &mut SettingValues) {
    match value {
        Value::Null => {}
        Value::Object(fields) => fields.iter().for_each(|(n, v)| flatten(&format!("{name}.{n}"), v, values)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            values.insert(format!("{name}.count"), items.len().to_string());
            items.iter().enumerate().for_each(|(i, v)| flatten(&format!("{name}.{i}"), v, values));
        }
        Value::Array(items) => {
            // Entries are read by index from comma-separated text: one that contains a comma would count as two.
            let entry = |item| scalar_text(item).replace(',', "_");
            values.insert(name.to_owned(), items.iter().map(entry).collect::<Vec<_>>().join(","));
        }
        other => {
            values.insert(name.to_owned(), scalar_text(other));
        }
    }
}

#[cfg(test)]
mod tests;
