//! A simulated discovery agent for one router, on two addresses, with injectable failures.

use super::common::draw::Rng;
use super::common::{entry_at, list};
use super::ledger::Ledger;
use super::members::{MEMBERS_PER_SET, Member};
use super::proxy;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How often an idle watch gets an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Where the agent is slow, a change counts as known to its router this long after the agent had it.
const KNOWN_AFTER: Duration = Duration::from_secs(6);
/// How long a slow agent takes for the list, in milliseconds; less where it doesn't answer every request.
const LATE_ANSWER: (u64, u64) = (1_100, 2_400);
const LATE_ANSWER_OF_EVERY_OTHER: (u64, u64) = (1_050, 1_250);

/// How the agent answers requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    AtOnce,
    Late,
    /// Every other request is never answered, the rest are answered late.
    EveryOtherNever,
}

pub struct Agent {
    router: usize,
    pub addresses: Vec<SocketAddr>,
    /// While `silent` is set the agent sends nothing; while `resets` is set it closes every watch.
    pub silent: AtomicBool,
    pub resets: AtomicBool,
    pace: Mutex<Pace>,
    /// How many watches were opened; those before this number have fallen silent for good.
    opened: AtomicU64,
    silent_before: AtomicU64,
    version: Arc<AtomicU32>,
    members: Vec<Arc<Member>>,
    /// The addresses of this router's proxies, one for each member.
    proxies: Vec<SocketAddr>,
    ledger: Arc<Ledger>,
}

impl Agent {
    /// Starts the agent; `version` counts the changes of the member list.
    pub fn start(
        router: usize,
        members: &[Arc<Member>],
        version: &Arc<AtomicU32>,
        ledger: &Arc<Ledger>,
    ) -> Arc<Agent> {
        let listeners = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
        let addresses = listeners.iter().map(|l| l.local_addr().expect("bound")).collect();
        let agent = Arc::new(Agent {
            router,
            addresses,
            silent: AtomicBool::new(false),
            resets: AtomicBool::new(false),
            pace: Mutex::new(Pace::AtOnce),
            opened: AtomicU64::new(0),
            silent_before: AtomicU64::new(0),
            version: version.clone(),
            members: members.to_vec(),
            proxies: members.iter().map(|member| proxy::start(router, member)).collect(),
            ledger: ledger.clone(),
        });
        let tracking = agent.clone();
        thread::spawn(move || tracking.track_list());
        for listener in listeners {
            let serving = agent.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let agent = serving.clone();
                    thread::spawn(move || agent.watch(stream));
                }
            });
        }
        agent
    }

    /// Changes how requests are answered from now on.
    pub fn set_pace(&self, pace: Pace) {
        *self.pace.lock().unwrap_or_else(PoisonError::into_inner) = pace;
    }

    fn pace(&self) -> Pace {
        *self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends nothing more on the watches that are open.
    pub fn silence_open_watches(&self) {
        self.silent_before.store(self.opened.load(Relaxed), Relaxed);
    }

    /// How long this watch waits for its list; `None` if it gets none.
    fn answer_time(&self, number: u64) -> Option<Duration> {
        let (least, most) = match self.pace() {
            Pace::AtOnce => return Some(Duration::ZERO),
            Pace::EveryOtherNever if number.is_multiple_of(2) => return None,
            Pace::EveryOtherNever => LATE_ANSWER_OF_EVERY_OTHER,
            Pace::Late => LATE_ANSWER,
        };
        let drawn = Rng::new(self.router as u64 * 1_000 + number).below(most - least);
        Some(Duration::from_millis(least + drawn))
    }

    /// The member list, and which members drain in it.
    fn list(&self, version: u32) -> (String, Vec<bool>) {
        let draining: Vec<bool> = self.members.iter().map(|m| m.faults.draining.load(Relaxed)).collect();
        let entry = |member: &Arc<Member>| {
            let state = if draining[member.number] { "draining" } else { "ready" };
            let role = if member.number.is_multiple_of(MEMBERS_PER_SET) { "primary" } else { "replica" };
            let text = entry_at(&format!("m{}", member.number), self.proxies[member.number], state, role);
            text.replace(r#""cell":2"#, &format!(r#""cell":{}"#, member.number / MEMBERS_PER_SET))
        };
        let entries: Vec<String> = self.members.iter().map(entry).collect();
        (list(version, true, &entries), draining)
    }

    /// Records in the ledger which members drain, from the moment the agent has the list, whether or not a watch is open. While
    /// the agent is silent or closes every watch it receives no new list.
    fn track_list(&self) {
        let mut known = 0;
        loop {
            let version = self.version.load(Relaxed);
            let reachable = !self.silent.load(Relaxed) && !self.resets.load(Relaxed);
            if version != known && reachable {
                let (_, draining) = self.list(version);
                let known_after = if self.pace() == Pace::AtOnce { Duration::ZERO } else { KNOWN_AFTER };
                for (member, draining) in draining.iter().enumerate() {
                    self.ledger.draining_announced(self.router, member, *draining, known_after);
                }
                known = version;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Serves one watch until it is closed.
    fn watch(&self, mut stream: TcpStream) -> Option<()> {
        let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
        while lines.next()?.is_ok_and(|line| !line.is_empty()) {}
        let number = self.opened.fetch_add(1, Relaxed);
        let (requested, answer_time) = (Instant::now(), self.answer_time(number));
        let head_is_late = number.is_multiple_of(3);
        let (mut sent_version, mut last_sent, mut begun) = (0, Instant::now(), false);
        loop {
            let is_silent = number < self.silent_before.load(Relaxed);
            let Some(answer_time) = answer_time.filter(|_| !is_silent) else {
                // Stays open until the router closes it.
                let _ = stream.read(&mut [0]);
                return None;
            };
            if self.resets.load(Relaxed) {
                return None;
            }
            let version = self.version.load(Relaxed);
            if self.silent.load(Relaxed) {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            let is_due = requested.elapsed() >= answer_time;
            if !begun && (is_due || !head_is_late) {
                stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
                begun = true;
            }
            if !is_due {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            if version != sent_version {
                let (text, _) = self.list(version);
                stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).ok()?;
                (sent_version, last_sent) = (version, Instant::now());
            } else if last_sent.elapsed() > HEARTBEAT_INTERVAL {
                stream.write_all(b"1\r\n\n\r\n").ok()?;
                last_sent = Instant::now();
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}
