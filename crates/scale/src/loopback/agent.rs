//! Stand-ins for discovery's agents, one a router: they serve the list, tell changes, fall silent, and count.

use super::News;
use crate::list::{HEAD, List, chunk};
use crate::schedule::Speech;
use crate::tally::Traffic;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// An empty line comes this often while nothing changes.
const BEAT: Duration = Duration::from_secs(2);
/// A router that takes nothing for so long has lost its watch.
const TAKES_MOST: Duration = Duration::from_secs(10);
/// How often a connection looks whether its router is still there.
const LOOK: Duration = Duration::from_millis(50);

struct State {
    list: List,
    /// The whole list under its version.
    whole: Option<(u64, Arc<str>)>,
    speech: Vec<Speech>,
    /// Bytes sent to each router since last taken.
    sent: Vec<usize>,
    /// Lists and changes sent in the last connection of each router's agent.
    pieces: Vec<u64>,
    open: usize,
    over: bool,
    counted: Counted,
}

/// What all agents counted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counted {
    pub(super) sent: Traffic,
    pub(super) heard: u64,
    pub(super) asks_all: u64,
    pub(super) asks_since: u64,
    pub(super) opened: u64,
    pub(super) most_open: usize,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub(super) struct Agents {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
}

impl Agents {
    pub(super) fn open(routers: usize, list: List, tell: &Sender<News>) -> Result<Agents, String> {
        let state = State {
            list,
            whole: None,
            speech: vec![Speech::Speaks; routers],
            sent: vec![0; routers],
            pieces: vec![0; routers],
            open: 0,
            over: false,
            counted: Counted::default(),
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let mut addresses = Vec::new();
        for router in 0..routers {
            let listener =
                TcpListener::bind("127.0.0.1:0").map_err(|e| format!("an agent's address: {e}"))?;
            addresses.push(listener.local_addr().map_err(|e| e.to_string())?);
            let (shared, tell) = (shared.clone(), tell.clone());
            thread::spawn(move || accept(&shared, &listener, router, &tell));
        }
        Ok(Agents { shared, addresses })
    }

    pub(super) fn address(&self, router: usize) -> SocketAddr {
        self.addresses[router]
    }

    /// Changes the list; all that listen are told.
    pub(super) fn change(&self, change: impl FnOnce(&mut List) -> u64) -> u64 {
        let version = change(&mut self.shared.lock().list);
        self.shared.changed.notify_all();
        version
    }

    pub(super) fn speak(&self, routers: Range<usize>, speech: Speech) {
        self.shared.lock().speech[routers].fill(speech);
        self.shared.changed.notify_all();
    }

    /// Bytes sent to each router since the last call.
    pub(super) fn take_sent(&self) -> Vec<(usize, usize)> {
        let mut state = self.shared.lock();
        let sent = state.sent.iter_mut().map(std::mem::take).enumerate();
        sent.filter(|(_, bytes)| *bytes > 0).collect()
    }

    pub(super) fn pieces(&self, router: usize) -> u64 {
        self.shared.lock().pieces[router]
    }

    pub(super) fn counted(&self) -> Counted {
        self.shared.lock().counted
    }
}

impl Drop for Agents {
    fn drop(&mut self) {
        self.shared.lock().over = true;
        self.shared.changed.notify_all();
        // Each listener waits for one more connection to see the end.
        self.addresses.iter().for_each(|address| _ = TcpStream::connect(address));
    }
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener, router: usize, tell: &Sender<News>) {
    for stream in listener.incoming() {
        if shared.lock().over {
            return;
        }
        let (Ok(stream), shared, tell) = (stream, shared.clone(), tell.clone()) else { continue };
        thread::spawn(move || {
            {
                let mut state = shared.lock();
                state.open += 1;
                state.counted.opened += 1;
                state.counted.most_open = state.counted.most_open.max(state.open);
            }
            let _ = Watch { shared: &shared, stream, router, tell, told: None }.serve();
            shared.lock().open -= 1;
        });
    }
}

/// One connection of a router.
struct Watch<'a> {
    shared: &'a Shared,
    stream: TcpStream,
    router: usize,
    tell: Sender<News>,
    told: Option<u64>,
}

impl Watch<'_> {
    /// Serves until the router ends it, or all is over.
    fn serve(mut self) -> std::io::Result<()> {
        self.stream.set_nodelay(true)?;
        self.stream.set_write_timeout(Some(TAKES_MOST))?;
        self.stream.set_read_timeout(Some(TAKES_MOST))?;
        let since = self.asked()?;
        self.stream.set_read_timeout(Some(Duration::from_millis(1)))?;
        let mut beat_at = Instant::now();
        loop {
            let Some(line) = self.wait(since, beat_at) else { return Ok(()) };
            let head = if self.told.is_none() { HEAD } else { b"" };
            let version = line.as_ref().map(|(version, _)| *version);
            let text = line.as_ref().map_or("", |(_, line)| line);
            self.send(&[head, &chunk(text)].concat(), version.is_some())?;
            self.told = version.or(self.told).or(Some(since));
            beat_at = Instant::now() + BEAT;
            if let Some(version) = version {
                self.delivered(version)?;
            }
        }
    }

    /// What was asked for: everything (0), or what has changed since a version.
    fn asked(&mut self) -> std::io::Result<u64> {
        let (mut request, mut byte) = (Vec::new(), [0; 1]);
        while !request.ends_with(b"\r\n\r\n") {
            if self.stream.read(&mut byte)? == 0 || request.len() > 16_384 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            request.push(byte[0]);
        }
        let text = String::from_utf8_lossy(&request);
        let since =
            text.split("index=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok()).unwrap_or(0);
        let mut state = self.shared.lock();
        state.counted.heard += request.len() as u64;
        state.pieces[self.router] = 0;
        if since == 0 {
            state.counted.asks_all += 1
        } else {
            state.counted.asks_since += 1
        }
        Ok(since)
    }

    /// The next line with its version, or a beat that is due; none at the end.
    fn wait(&mut self, since: u64, beat_at: Instant) -> Option<Option<(u64, Arc<str>)>> {
        loop {
            if self.is_gone() {
                return None;
            }
            let mut state = self.shared.lock();
            if state.over {
                return None;
            }
            let speech = state.speech[self.router];
            // Whoever answers once has nothing more to say where it has answered.
            if speech == Speech::Speaks || (speech == Speech::AnswersOnce && self.told.is_none()) {
                let version = state.list.version();
                match self.told {
                    None if since == 0 => return Some(Some((version, whole(&mut state)))),
                    None => return Some(state.list.since(since).map(|line| (version, line.into()))),
                    Some(told) if told < version => {
                        return Some(state.list.since(told).map(|line| (version, line.into())));
                    }
                    Some(_) if beat_at <= Instant::now() => return Some(None),
                    Some(_) => {}
                }
            }
            drop(self.shared.changed.wait_timeout(state, LOOK));
        }
    }

    /// Has the router ended it?
    fn is_gone(&mut self) -> bool {
        match self.stream.read(&mut [0; 64]) {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => {
                !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
            }
        }
    }

    fn send(&mut self, bytes: &[u8], is_list: bool) -> std::io::Result<()> {
        {
            let mut state = self.shared.lock();
            state.sent[self.router] += bytes.len();
            state.counted.sent.add(bytes.len() as u64);
            state.pieces[self.router] += u64::from(is_list);
        }
        self.stream.write_all(bytes)
    }

    /// Waits until the router's side has taken all of it.
    fn delivered(&self, version: u64) -> std::io::Result<()> {
        let until = Instant::now() + TAKES_MOST;
        while unsent(&self.stream)? > 0 {
            if Instant::now() > until {
                return Err(ErrorKind::TimedOut.into());
            }
            thread::sleep(Duration::from_millis(1));
        }
        let _ = self.tell.send(News::Delivered { router: self.router, version, at: Instant::now() });
        Ok(())
    }
}

fn whole(state: &mut State) -> Arc<str> {
    let version = state.list.version();
    match &state.whole {
        Some((known, line)) if *known == version => line.clone(),
        _ => {
            let line: Arc<str> = state.list.whole().into();
            state.whole = Some((version, line.clone()));
            line
        }
    }
}

/// Bytes that the other side has not acknowledged.
fn unsent(stream: &TcpStream) -> std::io::Result<usize> {
    let mut left: libc::c_int = 0;
    // SAFETY: the system writes one number.
    match unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &mut left) } {
        0 => Ok(left as usize),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// The address of all members: takes connections, counts them, and ends them.
pub(super) struct Members {
    address: SocketAddr,
    opened: Arc<AtomicU64>,
}

impl Members {
    pub(super) fn open() -> Result<Members, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("the members' address: {e}"))?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let opened = Arc::new(AtomicU64::new(0));
        let counts = opened.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                counts.fetch_add(1, Ordering::Relaxed);
                drop(stream);
            }
        });
        Ok(Members { address, opened })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }
}
