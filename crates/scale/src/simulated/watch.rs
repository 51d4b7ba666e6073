//! A hollow router's watch of the list: the rules of `vetchkeel-router`'s own, without a socket.

use crate::{SECOND, Tenths};
use std::cell::OnceCell;
use std::rc::Rc;
use vetchkeel_discovery::{MemberList, WatchParser, parse_list};

/// As in the router: silence that breaks the watch, and the time to the first byte.
const SILENCE_MOST: Tenths = 3 * SECOND;
const FIRST_MOST: Tenths = SECOND;

/// Bytes that an agent sends to many routers, and what they say, read at most once for all that don't read themselves.
pub(super) struct Piece {
    pub(super) bytes: Vec<u8>,
    line: Option<String>,
    list: OnceCell<Result<MemberList, String>>,
}

impl Piece {
    /// What lies in front of the chunk, and the line of the list; none is a beat.
    pub(super) fn new(head: &[u8], line: Option<String>) -> Rc<Piece> {
        let chunk = crate::list::chunk(line.as_deref().unwrap_or(""));
        Rc::new(Piece { bytes: [head, &chunk].concat(), line, list: OnceCell::new() })
    }

    /// The rows, read once.
    pub(super) fn shared(&self) -> Option<&Result<MemberList, String>> {
        let line = self.line.as_ref()?;
        Some(self.list.get_or_init(|| parse_list(line.as_bytes())))
    }
}

/// What is asked of the agent: everything, or what has changed since a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Ask {
    pub(super) round: u64,
    /// 0: everything.
    pub(super) since: u64,
}

pub(super) struct Watch {
    pub(super) version: u64,
    ask_all: bool,
    round: u64,
    watched: WatchParser,
    /// When it counts as silent.
    pub(super) silent_at: Option<Tenths>,
}

impl Watch {
    pub(super) fn new() -> Watch {
        let watched = WatchParser::default();
        Watch { version: 0, ask_all: true, round: 0, watched, silent_at: None }
    }

    /// The module wants the list watched: what is asked.
    pub(super) fn open(&mut self, now: Tenths) -> Ask {
        self.round += 1;
        self.watched = WatchParser::default();
        self.silent_at = Some(now + FIRST_MOST);
        Ask { round: self.round, since: if self.ask_all { 0 } else { self.version } }
    }

    /// Is this the watch in use?
    pub(super) fn is_open(&self, round: u64) -> bool {
        self.round == round && self.silent_at.is_some()
    }

    /// Bytes have come, read by this router.
    pub(super) fn read(&mut self, now: Tenths, bytes: &[u8]) -> Result<Vec<MemberList>, String> {
        self.silent_at = Some(now + SILENCE_MOST);
        let mut values = Vec::new();
        self.watched.feed(bytes, &mut values)?;
        values.iter().map(|value| parse_list(value)).collect()
    }

    /// Bytes have come that were read elsewhere.
    pub(super) fn came(&mut self, now: Tenths) {
        self.silent_at = Some(now + SILENCE_MOST);
    }

    pub(super) fn told(&mut self, list: &MemberList) {
        self.version = list.version;
        self.ask_all &= !list.whole;
    }

    /// It is silent: all will be asked for.
    pub(super) fn broken(&mut self) {
        self.ask_all = true;
        self.silent_at = None;
    }
}
