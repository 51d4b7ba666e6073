//! The watch of the member list: always held, and asked for again when it breaks.

use crate::Program;
use crate::deadlines::Due;
use crate::log;
use crate::nodes::dial;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use vetchkeel::{Entry, Phase, Tenths};
use vetchkeel_discovery::{Lines, Sheet, ask, sheet};

/// An empty line comes every 2 s; after this long without a byte the connection is given up.
const SILENCE_MOST: Tenths = 100_000;

pub struct Watch {
    address: SocketAddr,
    /// The version of the list held; 0 asks for the whole list.
    version: u64,
    open: Option<Open>,
    /// Counts the connections, so that late news of an earlier one is told apart.
    round: u64,
    /// Every set that a list has named.
    pub sets: BTreeSet<i64>,
}

struct Open {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    lines: Lines,
    /// What is still to be written of the request.
    request: Vec<u8>,
}

impl Watch {
    pub fn new(address: SocketAddr) -> Watch {
        Watch { address, version: 0, open: None, round: 0, sets: BTreeSet::new() }
    }

    /// True once a list is held.
    pub fn holds_list(&self) -> bool {
        !self.sets.is_empty()
    }
}

impl Program {
    /// Opens the watch unless it is open.
    pub fn open_watch(&mut self) {
        if self.watch.open.is_some() {
            return;
        }
        self.watch.round += 1;
        let round = self.watch.round;
        let opened = dial(self.watch.address).and_then(|stream| {
            let stream = Rc::new(stream);
            let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
            let token = self.handle.insert_source(source, move |_, _, program: &mut Program| {
                program.guarded("the watch", |p| p.watch_ready(round), |p| p.break_watch("a panic"));
                Ok(PostAction::Continue)
            });
            Ok((stream, token.map_err(|e| io::Error::other(e.to_string()))?))
        });
        self.deadlines.set(Due::Watch, self.now + SILENCE_MOST);
        match opened {
            Ok((stream, token)) => {
                let request = ask(&self.watch.address.to_string(), self.watch.version);
                self.watch.open = Some(Open { stream, token, lines: Lines::default(), request });
            }
            Err(e) => self.break_watch(&e.to_string()),
        }
    }

    /// Ends the watch; the module says when to ask again.
    pub fn break_watch(&mut self, why: &str) {
        log!("watch broken: {why}");
        self.counters.watches_broken += 1;
        self.deadlines.clear(Due::Watch);
        if let Some(open) = self.watch.open.take() {
            self.handle.remove(open.token);
        }
        self.list_failed();
    }

    fn watch_ready(&mut self, round: u64) {
        if self.watch.round == round
            && let Err(why) = self.read_watch()
        {
            self.break_watch(&why);
        }
    }

    fn read_watch(&mut self) -> Result<(), String> {
        loop {
            let Some(open) = &mut self.watch.open else { return Ok(()) };
            while !open.request.is_empty() {
                match (&*open.stream).write(&open.request) {
                    Ok(written) => drop(open.request.drain(..written)),
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                        // Not connected yet, or the dial has failed and says so.
                        return open
                            .stream
                            .take_error()
                            .ok()
                            .flatten()
                            .map_or(Ok(()), |e| Err(e.to_string()));
                    }
                    Err(e) => return Err(e.to_string()),
                }
            }
            let read = match (&*open.stream).read(&mut self.scratch) {
                Ok(0) => return Err("closed by discovery".into()),
                Ok(read) => read,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e.to_string()),
            };
            self.deadlines.set(Due::Watch, self.now + SILENCE_MOST);
            let lines = open.lines.feed(&self.scratch[..read])?;
            let ended = open.lines.ended();
            for line in lines {
                match sheet(&line) {
                    Ok(sheet) => self.list_told(sheet),
                    Err(why) => {
                        // What it said is lost: the whole list is asked for.
                        self.watch.version = 0;
                        return Err(why);
                    }
                }
            }
            if ended {
                return Err("ended by discovery".into());
            }
        }
    }

    /// A list or a change of it, from the watch or the configuration.
    pub fn list_told(&mut self, sheet: Sheet) {
        for why in &sheet.unread {
            log!("member list: {why}");
        }
        self.counters.lists += 1;
        self.watch.version = sheet.version;
        if sheet.whole {
            let listed: BTreeSet<_> = sheet.rows.iter().map(|r| r.entry.node.clone()).collect();
            self.let_go_unless(|node| listed.contains(node));
        }
        for row in &sheet.rows {
            self.watch.sets.insert(row.entry.set);
            let gone = row.entry.phase == Phase::Removed;
            self.member_told(&row.entry.node, row.address, row.entry.started, gone);
        }
        let entries: Vec<Entry> = sheet.rows.into_iter().map(|r| r.entry).collect();
        self.members_changed(sheet.whole, &entries);
    }
}
