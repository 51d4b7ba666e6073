//! The member list as discovery's agents serve it: rows, versions, changes since a version. Nothing performs I/O.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;

/// One member's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    pub number: usize,
    pub zone: Arc<str>,
    pub set: usize,
    pub primary: bool,
    pub listed: bool,
    pub address: SocketAddr,
    pub started_ms: u64,
}

/// The list, with the rows that each version changed.
pub struct List {
    rows: Vec<Row>,
    version: u64,
    /// What version 2 and each later one changed.
    log: Vec<Vec<usize>>,
}

impl List {
    /// `members` over `sets` and zones, the first of each set its primary. Version 1.
    pub fn new(members: usize, sets: usize, zones: &[String], address: impl Fn(usize) -> SocketAddr) -> List {
        let zones: Vec<Arc<str>> = zones.iter().map(|zone| Arc::from(zone.as_str())).collect();
        let row = |number: usize| Row {
            number,
            // A set's members are in zones of their own.
            zone: zones[(number / sets + number % sets) % zones.len()].clone(),
            set: number % sets,
            primary: number < sets,
            listed: true,
            address: address(number),
            started_ms: 0,
        };
        List { rows: (0..members).map(row).collect(), version: 1, log: Vec::new() }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// A change of some rows under a version of its own, which it gives back.
    pub fn change(&mut self, rows: &[usize], change: impl Fn(&mut Row)) -> u64 {
        rows.iter().for_each(|row| change(&mut self.rows[*row]));
        self.log.push(rows.to_vec());
        self.version += 1;
        self.version
    }

    /// The primary of a set moves to the set's next member, if there is one: the rows that change.
    pub fn move_primary(&mut self, set: usize) -> Vec<usize> {
        let sets = self.rows.iter().map(|row| row.set + 1).max().unwrap_or(1);
        let members: Vec<usize> = (set..self.rows.len()).step_by(sets).collect();
        let at = members.iter().position(|row| self.rows[*row].primary).unwrap_or(0);
        let (from, to) = (members[at], members[(at + 1) % members.len()]);
        self.rows[from].primary = false;
        self.rows[to].primary = true;
        if from == to { vec![from] } else { vec![from, to] }
    }

    /// Rows of members in a zone.
    pub fn in_zone(&self, zone: &str) -> Vec<usize> {
        self.rows.iter().filter(|row| &*row.zone == zone).map(|row| row.number).collect()
    }

    /// The whole list, one line.
    pub fn whole(&self) -> String {
        let rows: Vec<Value> = self.rows.iter().filter(|row| row.listed).map(line).collect();
        json!({ "version": self.version, "full": true, "servers": rows }).to_string()
    }

    /// What has changed since a version, one line; the whole where that is not known. None if nothing has.
    pub fn since(&self, version: u64) -> Option<String> {
        if version == self.version {
            return None;
        }
        let from = usize::try_from(version).ok().and_then(|version| version.checked_sub(1));
        let Some(log) = from.and_then(|from| self.log.get(from..)) else { return Some(self.whole()) };
        let mut changed: Vec<usize> = log.iter().flatten().copied().collect();
        changed.sort_unstable();
        changed.dedup();
        let rows: Vec<Value> = changed.iter().map(|row| line(&self.rows[*row])).collect();
        Some(json!({ "version": self.version, "full": false, "servers": rows }).to_string())
    }
}

fn line(row: &Row) -> Value {
    json!({
        "id": format!("m{}", row.number),
        "addr": row.address.to_string(),
        "zone": &*row.zone,
        "kind": "machine",
        "cell": row.set,
        "state": if row.listed { "ready" } else { "gone" },
        "weight": 1.0,
        "started_ms": row.started_ms as f64,
        "role": if row.primary { "primary" } else { "replica" },
    })
}

/// The head of an agent's answer.
pub const HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A line as a chunk of the answer; an empty one tells that the watch lives.
pub fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}
