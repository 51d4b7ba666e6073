//! The list as routers ask for it: one address for each, as if an agent stood on its own machine.

use super::{Due, SourceKey, Stage, listen};
use std::net::SocketAddr;
use vetchkeel_emulated::{Phase, Row, SECOND, Sheet};

/// An empty line comes this often while nothing changes.
pub(super) const BEAT: i64 = 2 * SECOND;

pub(super) struct Watch {
    pub(super) wire: super::wire::Wire,
    pub(super) router: usize,
    /// Its request has been read and the list was told.
    pub(super) told: bool,
}

impl Stage<'_> {
    /// The address at which this router asks.
    pub(super) fn open_list(&mut self, router: usize) -> Result<SocketAddr, String> {
        let listener = listen("127.0.0.1:0".parse().map_err(|_| "an address")?)?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        self.accept_on(listener, SourceKey::List(router))?;
        Ok(address)
    }

    fn row(&self, router: usize, row: &Row) -> serde_json::Value {
        let (node, plan) = (row.node, &self.setup.plan);
        let state = match row.phase {
            Phase::Up => "ready",
            Phase::Draining => "draining",
            Phase::Gone => "gone",
        };
        let started = if row.started > 0 { self.unix_ms(router, row.started) } else { 0.0 };
        serde_json::json!({
            "id": format!("m{node}"),
            "addr": self.address(router, self.members.place_of(node)).to_string(),
            "zone": plan.zones[self.members.zone_of(node)],
            "kind": "machine",
            "cell": self.members.set_of(node),
            "state": state,
            "weight": 1.0,
            "started_ms": started,
            "role": if row.primary { "primary" } else { "replica" },
        })
    }

    pub(super) fn sheet(&self, router: usize, sheet: &Sheet) -> serde_json::Value {
        let rows: Vec<serde_json::Value> = sheet.rows.iter().map(|r| self.row(router, r)).collect();
        serde_json::json!({ "version": sheet.version, "full": sheet.whole, "servers": rows })
    }

    /// The auditor hears what a router is told.
    fn list_audited(&mut self, router: usize, sheet: &Sheet) {
        for row in sheet.rows.iter() {
            self.auditor.member_listed(self.now, router, row.node, row.phase != Phase::Up, row.started);
        }
        if sheet.whole {
            let named: Vec<usize> = sheet.rows.iter().map(|r| r.node).collect();
            let gone: Vec<usize> =
                self.heard[router].iter().copied().filter(|n| !named.contains(n)).collect();
            gone.into_iter().for_each(|node| self.auditor.member_listed(self.now, router, node, true, 0));
        }
        self.heard[router].extend(sheet.rows.iter().map(|r| r.node));
    }

    fn chunk(text: &str) -> Vec<u8> {
        format!("{:x}\r\n{text}\n\r\n", text.len() + 1).into_bytes()
    }

    /// A watch has sent something: its request, in one piece or more.
    pub(super) fn watch_ready(&mut self, key: u64) {
        let Some(watch) = self.watches.get_mut(key) else { return };
        watch.wire.read(&mut self.scratch);
        watch.wire.flush();
        if watch.wire.ended {
            return self.end_watch(key);
        }
        let asked = !watch.told && watch.wire.input.windows(4).any(|w| w == b"\r\n\r\n");
        if asked {
            watch.told = true;
            let router = watch.router;
            if self.list_down {
                // The agent holds the connection and says nothing.
                self.silent_watches.push(key);
                return;
            }
            self.answer_watch(router, key);
        }
    }

    fn answer_watch(&mut self, router: usize, key: u64) {
        let Some(sheet) = self.members.ask_list(router) else { return };
        self.list_audited(router, &sheet);
        let line = self.sheet(router, &sheet).to_string();
        let head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        let text = [&head[..], &Self::chunk(&line)].concat();
        self.watches.get_mut(key).into_iter().for_each(|w| w.wire.send(&text));
        self.agenda.set(self.now + BEAT, Due::Beat(key));
    }

    pub(super) fn beat(&mut self, key: u64) {
        let down = self.list_down;
        if let Some(watch) = self.watches.get_mut(key) {
            if !down {
                watch.wire.send(&Self::chunk(""));
            }
            self.agenda.set(self.now + BEAT, Due::Beat(key));
        }
    }

    /// The list has something new for a router.
    pub(super) fn list_news(&mut self, router: usize) {
        let open = self.watches.iter().find(|(_, w)| w.router == router && w.told).map(|(key, _)| key);
        let Some(key) = open.filter(|key| !self.silent_watches.contains(key)) else { return };
        let Some(sheet) = self.members.list_news(router) else { return };
        self.list_audited(router, &sheet);
        let line = self.sheet(router, &sheet).to_string();
        self.watches.get_mut(key).into_iter().for_each(|w| w.wire.send(&Self::chunk(&line)));
    }

    /// The list is there again: whoever asked meanwhile is answered.
    pub(super) fn list_returns(&mut self) {
        for key in std::mem::take(&mut self.silent_watches) {
            if let Some(router) = self.watches.get(key).map(|w| w.router) {
                self.answer_watch(router, key);
            }
        }
    }

    pub(super) fn end_watch(&mut self, key: u64) {
        self.silent_watches.retain(|k| *k != key);
        if let Some(token) = self.watches.remove(key).and_then(|w| w.wire.token) {
            self.handle.remove(token);
        }
    }
}
