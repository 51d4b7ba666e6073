//! Reads values out of the settings as told.

use crate::interface::{Tenths, Told};
use std::str::FromStr;

pub(crate) fn tenths(ms: f64) -> Tenths {
    (ms * 10.0).floor() as Tenths
}

/// The value told, or `or` where none is; an unreadable one is an error.
pub(crate) fn pick<T: FromStr>(told: &Told, name: &str, or: T) -> Result<T, String> {
    told.get(name).map_or(Ok(or), |v| v.parse().map_err(|_| format!("setting {name}: cannot read '{v}'")))
}

pub(crate) fn need<T: FromStr>(told: &Told, name: &str) -> Result<T, String> {
    let value = told.get(name).ok_or_else(|| format!("setting {name} is missing"))?;
    value.parse().map_err(|_| format!("setting {name}: cannot read '{value}'"))
}

/// The values of a plain list; empty where none is told.
pub(crate) fn list<'a>(told: &'a Told, name: &str) -> Vec<&'a str> {
    told.get(name).map(|v| v.split(',').collect()).unwrap_or_default()
}

pub(crate) fn is(told: &Told, name: &str, value: &str) -> bool {
    told.get(name).is_some_and(|v| v == value)
}
