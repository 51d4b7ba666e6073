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
use vetchkeel_discovery::{Sheet, Watched, ask, sheet};

/// An empty line comes every 2 s; after this long without a byte the connection is given up. The agent answers
/// at once, on this machine.
const SILENCE_MOST: Tenths = 50_000;
const FIRST_BYTE_MOST: Tenths = 10_000;

pub struct Watch {
    address: SocketAddr,
    /// The version of the list held; 0 asks for the whole list.
    version: u64,
    open: Option<Open>,
    /// The watch at the address before a reload. It goes on until the new one has told its list.
    old: Option<Open>,
    /// Counts the connections, so that late news of an earlier one is told apart.
    round: u64,
    /// Every set that a list has named.
    pub sets: BTreeSet<i64>,
}

struct Open {
    round: u64,
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    watched: Watched,
    /// What is still to be written of the request.
    request: Vec<u8>,
    /// It has told a list or a change.
    told: bool,
}

impl Watch {
    /// The list held has this version; 0 where there is none.
    pub fn new(address: SocketAddr, version: u64) -> Watch {
        Watch { address, version, open: None, old: None, round: 0, sets: BTreeSet::new() }
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
        self.deadlines.set(Due::Watch, self.now + FIRST_BYTE_MOST);
        match opened {
            Ok((stream, token)) => {
                let request = ask(&self.watch.address.to_string(), self.watch.version);
                let watched = Watched::default();
                self.watch.open = Some(Open { round, stream, token, watched, request, told: false });
            }
            Err(e) => self.break_watch(&e.to_string()),
        }
    }

    /// A reload names where discovery is. What was told stands, and the watch there goes on until the new one has
    /// told its list, which is asked for as a whole: its versions may be others.
    pub fn move_watch(&mut self, address: SocketAddr) {
        if self.watch.address == address {
            return log!("reload: discovery stays at {address}");
        }
        log!("reload: discovery moves from {} to {address}", self.watch.address);
        self.watch.address = address;
        self.watch.version = 0;
        let before = self.watch.open.take();
        if before.as_ref().is_some_and(|open| open.told) {
            self.end_old_watch();
            self.watch.old = before;
        } else if let Some(open) = before {
            self.handle.remove(open.token);
        }
        self.open_watch();
    }

    fn end_old_watch(&mut self) {
        if let Some(old) = self.watch.old.take() {
            self.handle.remove(old.token);
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

    /// News of the watch in use, or of the one before it, which is never asked again.
    fn watch_ready(&mut self, round: u64) {
        if self.watch.open.as_ref().is_some_and(|o| o.round == round) {
            if let Err(why) = self.read_watch(false) {
                self.break_watch(&why);
            }
        } else if self.watch.old.as_ref().is_some_and(|o| o.round == round) && self.read_watch(true).is_err()
        {
            self.end_old_watch();
        }
    }

    fn read_watch(&mut self, old: bool) -> Result<(), String> {
        loop {
            let watch = if old { &mut self.watch.old } else { &mut self.watch.open };
            let Some(open) = watch else { return Ok(()) };
            while !open.request.is_empty() {
                match (&*open.stream).write(&open.request) {
                    Ok(written) => drop(open.request.drain(..written)),
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                        // Not connected yet, or the dial has failed and says so.
                        let failed = open.stream.take_error().ok().flatten();
                        return failed.map_or(Ok(()), |e| Err(e.to_string()));
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
            let mut values = Vec::new();
            let read_on = open.watched.feed(&self.scratch[..read], &mut values);
            let ended = open.watched.ended();
            if !old {
                self.deadlines.set(Due::Watch, self.now + SILENCE_MOST);
            }
            for value in values {
                let sheet = sheet(&value).map_err(|why| self.ask_for_all(old, why))?;
                if !old {
                    self.watch.version = sheet.version;
                    self.watch.open.iter_mut().for_each(|o| o.told = true);
                    self.end_old_watch();
                }
                self.list_told(sheet);
            }
            read_on.map_err(|why| self.ask_for_all(old, why))?;
            if ended {
                return Err("ended by discovery".into());
            }
        }
    }

    /// What the watch said can't be read and is lost: what is known stands, and the whole list is asked for.
    fn ask_for_all(&mut self, old: bool, why: String) -> String {
        if !old {
            self.watch.version = 0;
        }
        why
    }

    /// A list or a change of it, from the watch or the configuration.
    pub fn list_told(&mut self, sheet: Sheet) {
        for why in &sheet.unread {
            log!("member list: {why}");
        }
        self.counters.lists += 1;
        for row in &sheet.rows {
            self.watch.sets.insert(row.entry.set);
            let gone = row.entry.phase == Phase::Removed;
            self.member_told(&row.entry.node, row.address, row.entry.started, gone);
        }
        let entries: Vec<Entry> = sheet.rows.into_iter().map(|r| r.entry).collect();
        self.members_changed(sheet.whole, &entries);
    }
}
