//! One value of the watch: the full member list or a change to it.

use serde_json::Value;
use std::net::SocketAddr;
use vetchkeel::{Id, MemberEntry, Phase, Tenths};

/// A full list or a change, with the rows that could be parsed.
#[derive(Clone, Debug)]
pub struct MemberList {
    pub version: u64,
    /// True for a full list, false for a change.
    pub whole: bool,
    pub rows: Vec<Row>,
    /// One error for each row that could not be parsed.
    pub row_errors: Vec<String>,
}

/// One parsed row of the list.
#[derive(Clone, Debug)]
pub struct Row {
    pub entry: MemberEntry,
    /// `None` for a removed member that has no address any more.
    pub address: Option<SocketAddr>,
}

/// Parses one value of the watch.
pub fn parse_list(value: &[u8]) -> Result<MemberList, String> {
    let value = serde_json::from_slice(value).map_err(|e| format!("the list is not JSON: {e}"))?;
    list_from_json(&value)
}

/// Reads a list from parsed JSON.
pub fn list_from_json(value: &Value) -> Result<MemberList, String> {
    let servers = value["servers"].as_array().ok_or("the list has no 'servers'")?;
    let version = value["version"].as_u64().ok_or("the list has no 'version'")?;
    let (mut rows, mut row_errors) = (Vec::new(), Vec::new());
    for server in servers {
        match row(server) {
            Ok(row) => rows.push(row),
            Err(why) => row_errors.push(why),
        }
    }
    Ok(MemberList { version, whole: value["full"].as_bool().unwrap_or(false), rows, row_errors })
}

fn row(value: &Value) -> Result<Row, String> {
    let id = value["id"].as_str().ok_or("an entry has no 'id'")?;
    let phase = match value["state"].as_str() {
        Some("ready") => Phase::Up,
        Some("draining") => Phase::Draining,
        Some("gone") => Phase::Removed,
        other => return Err(format!("entry {id}: expected a state, found {other:?}")),
    };
    let address = value["addr"].as_str().and_then(|a| a.parse().ok());
    if address.is_none() && phase != Phase::Removed {
        return Err(format!("entry {id}: expected an address, found {}", value["addr"]));
    }
    let text = |name: &str| Id::from(value[name].as_str().unwrap_or(""));
    let entry = MemberEntry {
        node: Id::from(id),
        zone: text("zone"),
        machine: text("kind"),
        set: value["cell"].as_i64().unwrap_or(0),
        phase,
        // The start is rounded up, so that a member never counts as warmer than it is.
        started: (value["started_ms"].as_f64().unwrap_or(0.0) * 10.0).ceil() as Tenths,
        primary: value["role"].as_str() == Some("primary"),
    };
    Ok(Row { entry, address })
}
