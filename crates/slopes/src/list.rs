//! Member lists as discovery's agent tells them: sets of a primary and four replicas.

use serde_json::{Value, json};
use std::net::SocketAddr;
use vetchkeel::MemberEntry;
use vetchkeel_discovery::{MemberList, WatchParser};

/// Members of one set, the primary first.
pub const SET: usize = 5;
pub const ZONES: usize = 11;

/// Where stand-ins listen: primaries at the first, replicas at the others, by turns.
#[derive(Clone, Debug)]
pub struct Places {
    pub primaries: Vec<SocketAddr>,
    pub replicas: Vec<SocketAddr>,
}

impl Places {
    /// Addresses that are only written down.
    pub fn named() -> Places {
        let address = |host: u8| SocketAddr::from(([10, 21, 117, host], 5432));
        Places { primaries: (0..8).map(address).collect(), replicas: (8..40).map(address).collect() }
    }
}

/// One row. `round` tells one change of it from the next: the member drains in odd rounds.
pub fn row(at: usize, round: usize, places: &Places) -> Value {
    let (set, primary) = (at / SET, at.is_multiple_of(SET));
    let of = if primary { &places.primaries } else { &places.replicas };
    json!({
        "id": format!("db-{at:05}"),
        "addr": of[at % of.len()].to_string(),
        "zone": format!("zone-{:02}", at % ZONES),
        "kind": "standard-8",
        "cell": set,
        "state": if round.is_multiple_of(2) { "ready" } else { "draining" },
        "weight": 1.0,
        "started_ms": 0,
        "role": if primary { "primary" } else { "replica" },
    })
}

/// A whole list of so many members.
pub fn whole(members: usize, version: u64, places: &Places) -> Value {
    let rows: Vec<Value> = (0..members).map(|at| row(at, 0, places)).collect();
    json!({ "version": version, "full": true, "servers": rows })
}

pub fn change(at: usize, round: usize, version: u64, places: &Places) -> Value {
    json!({ "version": version, "full": false, "servers": [row(at, round, places)] })
}

/// A value as one chunk of the watch.
pub fn chunk(value: &str) -> Vec<u8> {
    format!("{:x}\r\n{value}\n\r\n", value.len() + 1).into_bytes()
}

pub const HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What the agent's bytes tell, as the router reads them.
pub fn read(bytes: &[u8]) -> Result<MemberList, String> {
    let mut found = Vec::new();
    // As much at a time as the router takes in.
    let mut watched = WatchParser::default();
    bytes.chunks(64 * 1024).try_for_each(|part| watched.feed(part, &mut found))?;
    let value = found.first().ok_or("expected a list")?;
    vetchkeel_discovery::parse_list(value)
}

pub fn entries(list: MemberList) -> Vec<MemberEntry> {
    list.rows.into_iter().map(|row| row.entry).collect()
}

/// A whole list as the agent sends it, with its head.
pub fn told(members: usize, places: &Places) -> Vec<u8> {
    [HEAD, &chunk(&whole(members, 1, places).to_string())].concat()
}
