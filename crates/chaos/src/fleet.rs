//! A fleet under faults: the handle that a test holds.

use crate::children::{Process, Program};
use crate::course::{Course, Decision};
use crate::harness::{Harness, Order, Programs, tenths};
use crate::relays::Relays;
use crate::schedule::{Act, Schedule};
use mio::Waker;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, SyncSender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use vetchkeel_link::fault::Fault;
use vetchkeel_link::{Name, Tenths};

/// Instances of one fleet: each has an address of its own in one network of the loopback.
pub const NAMES_MOST: usize = 64;
/// Orders that wait for the thread.
const ORDERS: usize = 64;
/// How long an order may take.
const ANSWER: Duration = Duration::from_secs(10);
/// The port on which each instance listens, at its own address.
const PORT: u16 = 7_400;
/// Networks of the loopback that fleets choose from: 127.128.0.0 to 127.255.255.0.
const NETWORKS: u32 = 1 << 15;

/// Where an instance lives, and where it reaches the others: through the relay of its own direction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub name: Name,
    /// 1 at first, one more with each start.
    pub incarnation: u64,
    pub listen: SocketAddr,
    pub peers: BTreeMap<Name, SocketAddr>,
}

/// How a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Never,
    Runs {
        pid: u32,
        stopped: bool,
    },
    /// Without a code: by a signal.
    Over {
        code: Option<i32>,
    },
}

/// Relays and processes under a schedule, until it is dropped: then every process that it started is killed by its pid,
/// and was waited for.
pub struct Fleet {
    places: BTreeMap<Name, Place>,
    orders: SyncSender<Order>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
    began: Instant,
    /// Keeps the addresses from other fleets.
    _network: UdpSocket,
}

fn invalid(why: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, why.into())
}

impl Fleet {
    /// Starts the program once for each name. `arguments` are asked for at every start. What the processes write goes to
    /// `NAME.log` in `logs`, one start after the other.
    pub fn start(
        program: &Path,
        arguments: impl Fn(&Place) -> Vec<String> + Send + 'static,
        names: &[Name],
        schedule: Schedule,
        logs: Option<&Path>,
    ) -> io::Result<Fleet> {
        let (path, logs): (PathBuf, Option<PathBuf>) = (program.to_owned(), logs.map(Path::to_owned));
        let programs = move |place: &Place| Program {
            path: path.clone(),
            arguments: arguments(place),
            log: logs.as_ref().map(|dir| dir.join(format!("{}.log", place.name))),
        };
        Fleet::with(Some(Box::new(programs)), names, schedule)
    }

    /// Relays alone: whoever is in this process listens at [`Fleet::place`]s.
    pub fn relays(names: &[Name], schedule: Schedule) -> io::Result<Fleet> {
        Fleet::with(None, names, schedule)
    }

    fn with(programs: Option<Box<ProgramOf>>, names: &[Name], schedule: Schedule) -> io::Result<Fleet> {
        if names.is_empty() || names.len() > NAMES_MOST {
            return Err(invalid(format!("1 to {NAMES_MOST} names, not {}", names.len())));
        }
        if let Some(unknown) = schedule.names().into_iter().find(|n| !names.contains(n)) {
            return Err(invalid(format!("the schedule speaks of {unknown}, which is none of the names")));
        }
        let (listens, network) = free_addresses(names.len())?;
        let (relays, links, waker) = relays_between(names, &listens, schedule.seed)?;
        let mut places = BTreeMap::new();
        for (name, listen) in names.iter().zip(&listens) {
            let to = |other: &Name| links.get(&(name.clone(), other.clone())).map(|r| relays.address(*r));
            let peers = names.iter().filter_map(|other| Some((other.clone(), to(other)?))).collect();
            let place = Place { name: name.clone(), incarnation: 0, listen: *listen, peers };
            if places.insert(name.clone(), place).is_some() {
                return Err(invalid(format!("{name} twice")));
            }
        }
        let (orders, received) = mpsc::sync_channel(ORDERS);
        let known = places.clone();
        let programs: Option<Programs> = programs.map(|programs| -> Programs {
            Box::new(move |name, incarnation| match known.get(name) {
                Some(place) => programs(&Place { incarnation, ..place.clone() }),
                None => Program { path: PathBuf::new(), arguments: Vec::new(), log: None },
            })
        });
        let began = Instant::now();
        let processes = match programs {
            Some(_) => names.iter().map(|n| (n.clone(), (Process::new(), 0))).collect(),
            None => BTreeMap::new(),
        };
        let mut harness = Harness {
            course: Course::new(schedule, names),
            relays,
            links,
            processes,
            programs,
            orders: received,
            began,
            history: Vec::new(),
        };
        // What is wrong from the start on is so before the first process is there.
        let mut later = Vec::new();
        while let Some(decision) = harness.course.next_decision(0) {
            match decision {
                Decision::Link { .. } => harness.carry_out(0, decision)?,
                Decision::Process { .. } => later.push(decision),
            }
        }
        // If one can't be started, those before it end with the harness.
        let starts: Vec<Name> = harness.processes.keys().cloned().collect();
        for name in starts {
            harness.carry_out(0, Decision::Process { name, act: Act::Start })?;
        }
        for decision in later {
            harness.carry_out(0, decision)?;
        }
        let thread = std::thread::Builder::new().name("chaos".into()).spawn(move || harness.run())?;
        Ok(Fleet { places, orders, waker, thread: Some(thread), began, _network: network })
    }

    /// Since the start, in tenths of a millisecond: the schedule's time.
    pub fn now(&self) -> Tenths {
        tenths(self.began)
    }

    pub fn place(&self, name: &Name) -> Option<&Place> {
        self.places.get(name)
    }

    fn order(&self, order: Order) -> io::Result<()> {
        self.orders.send(order).map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        self.waker.wake()
    }

    fn ask<T>(&self, order: impl FnOnce(SyncSender<T>) -> Order) -> io::Result<T> {
        let (told, answer) = mpsc::sync_channel(1);
        self.order(order(told))?;
        answer.recv_timeout(ANSWER).map_err(|_| io::Error::from(io::ErrorKind::TimedOut))
    }

    /// A fault of one direction beside the schedule, in place of the one set here before; the default takes it back. It
    /// holds when this returns.
    pub fn set(&self, from: &Name, to: &Name, fault: Fault) -> io::Result<()> {
        self.ask(|done| Order::Link { from: from.clone(), to: to.clone(), fault, done })
    }

    /// Done when it returns: a killed process is gone, a started one has begun.
    pub fn act(&self, name: &Name, act: Act) -> io::Result<()> {
        self.ask(|done| Order::Act { name: name.clone(), act, done })?
    }

    pub fn state(&self, name: &Name) -> io::Result<State> {
        self.ask(|told| Order::State { name: name.clone(), told })
    }

    /// All that was done so far, and when.
    pub fn history(&self) -> io::Result<Vec<(Tenths, Decision)>> {
        self.ask(|told| Order::History { told })
    }

    /// Datagrams that passed the relays, and those that did not.
    pub fn datagrams(&self) -> io::Result<(u64, u64)> {
        self.ask(|told| Order::Counts { told })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = self.order(Order::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// What is started at a place.
type ProgramOf = dyn Fn(&Place) -> Program + Send;
type Links = BTreeMap<(Name, Name), usize>;

fn relays_between(names: &[Name], listens: &[SocketAddr], seed: u64) -> io::Result<(Relays, Links, Waker)> {
    let n = names.len();
    let pairs: Vec<(usize, usize)> =
        (0..n).flat_map(|f| (0..n).map(move |t| (f, t))).filter(|(f, t)| f != t).collect();
    let place = |of: (usize, usize)| pairs.iter().position(|p| *p == of).unwrap_or_default();
    let links: Vec<(SocketAddr, u64, usize)> =
        pairs.iter().map(|&(f, t)| (listens[t], line_seed(seed, f, t), place((t, f)))).collect();
    let (relays, waker) = Relays::new(&links)?;
    let named = pairs.iter().enumerate().map(|(i, &(f, t))| ((names[f].clone(), names[t].clone()), i));
    Ok((relays, named.collect(), waker))
}

/// A seed for each directed link: none draws from another's chance.
fn line_seed(seed: u64, from: usize, to: usize) -> u64 {
    seed.rotate_left(17) ^ ((from as u64 + 1) << 32 | (to as u64 + 1)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// An address for each instance, of a network of the loopback that is this fleet's as long as the socket beside them is
/// held. Addresses of its own and not ports of 127.0.0.1: those are handed out to any connection, and a restart would find
/// its port taken.
fn free_addresses(count: usize) -> io::Result<(Vec<SocketAddr>, UdpSocket)> {
    static FLEETS: AtomicU32 = AtomicU32::new(0);
    let mut failed = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..100 {
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let network =
            std::process::id().wrapping_mul(0x9e37_79b9).wrapping_add(fleet << 3) >> 3 & (NETWORKS - 1);
        let at = |host: u8| SocketAddr::from(([127, 128 | (network >> 8) as u8, network as u8, host], PORT));
        let all: Vec<SocketAddr> = (1..=count as u8).map(at).collect();
        let free = |at: &SocketAddr| TcpListener::bind(at).and_then(|_| UdpSocket::bind(at)).map(|_| ());
        match UdpSocket::bind(at(254)).and_then(|held| all.iter().try_for_each(free).map(|()| held)) {
            Ok(held) => return Ok((all, held)),
            Err(e) => failed = e,
        }
    }
    Err(failed)
}
