//! The loopback driver: the same model behind real sockets, and real router processes. One thread plays members, list
//! and clients; all addresses are on 127.0.0.1. Times in breaches count from the start of the processes, [`LEAD`]
//! before the first command.

mod listing;
mod load;
mod members;
mod processes;
mod wire;

use crate::clients::Wish;
use crate::result::{HappenedFigures, Percentiles, RunResult};
use crate::ring::Ring;
use crate::setup::{Decides, Setup};
use crate::tally::{Tally, histogram, percentiles};
use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use hdrhistogram::Histogram;
use listing::Watch;
use load::{Client, Try};
use members::{Flight, MemberConn, Stand};
use processes::{Birth, Folder, Process};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use vetchkeel_audit::{Auditor, Breach};
use vetchkeel_capture::Recorder;
use vetchkeel_emulated::{Dice, Ended, ListMode, Members, Micros, Report, SECOND, Traffic, dice};

/// From the start of the processes to the first command.
pub const LEAD: Micros = 2 * SECOND;
/// Every limit of the rules is so much longer on sockets.
pub(crate) const SLACK: Micros = 50_000;
/// How long a command is known after its time.
const REMEMBERED: Micros = 5 * SECOND;
/// A run is void if the tool itself was later than this in one of a hundred things, or once by this much.
const LATE_P99_MS: f64 = 5.0;
const LATE_MOST_MS: f64 = 250.0;

/// What becomes readable or writable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SourceKey {
    Place(usize, usize),
    List(usize),
    Conn(u64),
    Watch(u64),
    Client(u64),
}

enum Due {
    Dial(u64),
    Welcome(u64),
    Reach(u64),
    Answer(u64, Box<Ended>),
    Close(usize, u32, Option<u64>),
    ProbeReach(u64),
    ProbeAnswer(u64, Report),
    Beat(u64),
    Herald(usize),
    GiveUp(u64),
    Forget(u64),
    Again(Box<Wish>),
    /// Time to look whether the routers still run.
    Look,
}

struct RouterHost {
    process: Option<Process>,
    listen: SocketAddr,
    list: SocketAddr,
    ready: bool,
    died_at: Micros,
    idle: Vec<u64>,
}

struct Stage<'a> {
    setup: &'a Setup,
    program: &'a Path,
    recorder: Option<&'a mut Recorder>,
    folder: Folder,
    handle: LoopHandle<'static, Vec<SourceKey>>,
    since: Instant,
    unix_us: f64,
    now: Micros,
    members: Members,
    auditor: Auditor,
    tally: Tally,
    agenda: vetchkeel_emulated::Agenda<Due>,
    /// Each address: its listeners' addresses and registrations, by router.
    places: Vec<Vec<(Option<SocketAddr>, Option<RegistrationToken>)>>,
    conns: Ring<MemberConn>,
    flights: Ring<Flight>,
    probes: Ring<u64>,
    watches: Ring<Watch>,
    silent_watches: Vec<u64>,
    list_down: bool,
    clients: Ring<Client>,
    tries: Ring<Try>,
    routers: Vec<RouterHost>,
    lives: Vec<u32>,
    heard: Vec<BTreeSet<usize>>,
    written: BTreeMap<(usize, u32), Micros>,
    sessions: bool,
    strays: u64,
    foreign: Vec<Breach>,
    /// A router that ended by itself.
    crashed: Option<String>,
    lateness: Histogram<u64>,
    listeners: Vec<(SourceKey, Rc<TcpListener>)>,
    dice: Dice,
    scratch: Box<[u8]>,
}

fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    let make = || -> std::io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(512)?;
        Ok(socket.into())
    };
    make().map_err(|e| format!("expected to listen at {address}: {e}"))
}

/// Plays one run with real router processes.
pub fn play(
    setup: &Setup,
    seed: u64,
    program: &Path,
    recorder: Option<&mut Recorder>,
) -> Result<RunResult, String> {
    if setup.decides != Decides::Module {
        return Err(format!("the baseline {} runs simulated only", setup.decides.name()));
    }
    if setup.plan.list.mode == ListMode::Ask {
        return Err("expected a list that is pushed or watched: the router on sockets only watches".into());
    }
    let mut event_loop = EventLoop::<Vec<SourceKey>>::try_new().map_err(|e| e.to_string())?;
    let mut stage = Stage::new(setup, seed, program, recorder, event_loop.handle())?;
    stage.play(&mut event_loop, seed)
}

/// Why a run is not to be believed, by how late the tool was.
pub fn voided(lateness: &Percentiles) -> Option<String> {
    let late = lateness.p99 > LATE_P99_MS || lateness.most > LATE_MOST_MS;
    late.then(|| {
        let Percentiles { p99, most, .. } = lateness;
        format!("the machine was too busy: 1 in 100 things {p99:.1} ms late, the worst {most:.0} ms")
    })
}

impl<'a> Stage<'a> {
    fn new(
        setup: &'a Setup,
        seed: u64,
        program: &'a Path,
        recorder: Option<&'a mut Recorder>,
        handle: LoopHandle<'static, Vec<SourceKey>>,
    ) -> Result<Stage<'a>, String> {
        let plan = &setup.plan;
        let mut troubles = setup.troubles.clone();
        troubles.iter_mut().for_each(|t| (t.from, t.until) = (t.from + LEAD, t.until + LEAD));
        let members = Members::new(plan.clone(), troubles, seed);
        let (count, routers) = (members.count(), plan.routers.len());
        let mut figures = crate::figures(setup);
        figures.answer_slack += SLACK;
        figures.drain_grace += SLACK;
        figures.order_slack = 20_000;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut stage = Stage {
            program,
            recorder,
            folder: Folder::new()?,
            handle,
            since: Instant::now(),
            unix_us: unix.as_secs_f64() * 1e6,
            now: 0,
            auditor: Auditor::new(figures),
            tally: Tally::new(setup),
            agenda: Default::default(),
            places: vec![vec![(None, None); routers]; count],
            conns: Ring::default(),
            flights: Ring::default(),
            probes: Ring::default(),
            watches: Ring::default(),
            silent_watches: Vec::new(),
            list_down: false,
            clients: Ring::default(),
            tries: Ring::default(),
            routers: Vec::new(),
            lives: vec![0; count],
            heard: vec![BTreeSet::new(); routers],
            written: BTreeMap::new(),
            sessions: plan.groups.iter().any(|g| g.access == vetchkeel_emulated::Access::Session),
            strays: 0,
            foreign: Vec::new(),
            crashed: None,
            lateness: histogram(),
            listeners: Vec::new(),
            dice: dice(seed, "routers"),
            scratch: vec![0; 64 * 1024].into(),
            members,
            setup,
        };
        for set in 0..plan.sets.len() {
            stage.members.primary_of(set).into_iter().for_each(|p| stage.auditor.primary(p));
        }
        (0..count).try_for_each(|place| stage.open_place(place))?;
        for router in 0..routers {
            let list = stage.open_list(router)?;
            // A free port, for the router to listen on.
            let free = listen("127.0.0.1:0".parse().map_err(|_| "an address")?)?;
            let address = free.local_addr().map_err(|e| e.to_string())?;
            drop(free);
            let host = RouterHost {
                process: None,
                listen: address,
                list,
                ready: false,
                died_at: Micros::MIN / 2,
                idle: Vec::new(),
            };
            stage.routers.push(host);
        }
        (0..routers).try_for_each(|router| stage.start_router(router, false))?;
        Ok(stage)
    }

    fn start_router(&mut self, router: usize, old_list: bool) -> Result<(), String> {
        let sheet = self.members.first_list(router, old_list);
        let known = self.sheet(router, &sheet);
        let seed = rand::RngExt::random(&mut self.dice);
        let (listen, list) = (self.routers[router].listen, self.routers[router].list);
        let birth = Birth { listen, list, seed, known };
        let process = Process::start(self.program, &self.folder, self.setup, router, birth)?;
        self.routers[router].process = Some(process);
        self.heard[router] = sheet.rows.iter().map(|r| r.node).collect();
        self.agenda.set(self.now + 20_000, Due::Herald(router));
        Ok(())
    }

    /// A time of the run as Unix time in milliseconds, by the members' clocks as a router compares them with its own.
    fn unix_ms(&self, router: usize, at: Micros) -> f64 {
        (self.unix_us + (at - self.members.clock_ahead(router)) as f64) / 1e3
    }

    fn clock(&self) -> Micros {
        self.since.elapsed().as_micros() as Micros
    }

    fn accept_on(&mut self, listener: TcpListener, key: SourceKey) -> Result<RegistrationToken, String> {
        let listener = Rc::new(listener);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let token = self.handle.insert_source(source, move |_, _, ready: &mut Vec<SourceKey>| {
            ready.push(key);
            Ok(PostAction::Continue)
        });
        self.listeners.retain(|(k, _)| *k != key);
        self.listeners.push((key, listener));
        token.map_err(|e| e.to_string())
    }

    fn hear_stream(&self, stream: Rc<TcpStream>, key: SourceKey) -> Result<RegistrationToken, String> {
        let source = Generic::new(stream, Interest::BOTH, Mode::Edge);
        let token = self.handle.insert_source(source, move |_, _, ready: &mut Vec<SourceKey>| {
            ready.push(key);
            Ok(PostAction::Continue)
        });
        token.map_err(|e| e.to_string())
    }

    fn accept(&mut self, key: SourceKey) {
        let Some(listener) = self.listeners.iter().find(|(k, _)| *k == key).map(|(_, l)| l.clone()) else {
            return;
        };
        while let Ok((stream, _)) = listener.accept() {
            let _ = stream.set_nonblocking(true);
            let _ = stream.set_nodelay(true);
            let stream = Rc::new(stream);
            let wire = wire::Wire::new(stream.clone());
            let (key, source) = match key {
                SourceKey::Place(router, place) => {
                    let conn =
                        MemberConn { wire, router, place, by: None, stand: Stand::Opening, fresh: true };
                    let key = self.conns.push(conn);
                    (key, SourceKey::Conn(key))
                }
                SourceKey::List(router) => {
                    let key = self.watches.push(Watch { wire, router, told: false });
                    (key, SourceKey::Watch(key))
                }
                _ => return,
            };
            let token = self.hear_stream(stream, source).ok();
            match source {
                SourceKey::Conn(_) => self.conns.get_mut(key).into_iter().for_each(|c| c.wire.token = token),
                _ => self.watches.get_mut(key).into_iter().for_each(|w| w.wire.token = token),
            }
        }
    }

    /// Whether the list is down by the troubles of now.
    fn look_at_list(&mut self) {
        let down = self.setup.troubles.iter().any(|t| {
            t.kind == vetchkeel_emulated::Kind::ListDown
                && t.from + LEAD <= self.now
                && self.now < t.until + LEAD
        });
        if std::mem::replace(&mut self.list_down, down) && !down {
            self.list_returns();
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Dial(key) => self.dial_reaches(key),
            Due::Welcome(key) => self.welcome(key),
            Due::Reach(n) => self.reach(n),
            Due::Answer(n, ended) => self.answer_goes_out(n, &ended),
            Due::Close(by, life, job) => self.close_reaches(by, life, job),
            Due::ProbeReach(key) => self.probe_reaches(key),
            Due::ProbeAnswer(key, report) => self.probe_answer(key, report),
            Due::Beat(key) => self.beat(key),
            Due::Herald(router) => {
                if self.routers[router].process.is_some() && !self.routers[router].ready {
                    self.herald(router);
                }
            }
            Due::GiveUp(number) => self.give_up(number),
            Due::Forget(number) => _ = self.tries.remove(number),
            Due::Again(wish) => self.try_once(*wish),
            Due::Look => self.look_at_routers(),
        }
    }

    fn look_at_routers(&mut self) {
        for (i, router) in self.routers.iter_mut().enumerate() {
            let ended = router.process.as_mut().and_then(Process::ended);
            self.crashed =
                self.crashed.take().or(ended.map(|why| format!("router {i} ended by itself: {why}")));
        }
        self.agenda.set(self.now + SECOND / 5, Due::Look);
    }

    fn settle(&mut self) -> Result<(), String> {
        while let Some(said) = self.members.next_said(self.now) {
            self.hear(said)?;
        }
        Ok(())
    }

    fn late(&mut self, by: Micros) {
        if self.now >= LEAD {
            self.lateness.saturating_record(by.max(1) as u64);
        }
    }

    fn play(
        &mut self,
        event_loop: &mut EventLoop<'static, Vec<SourceKey>>,
        seed: u64,
    ) -> Result<RunResult, String> {
        let mut traffic =
            Traffic::new(self.setup.traffic.clone(), &self.setup.plan.groups, &self.setup.troubles, seed);
        let mut arrival = traffic.next_arrival();
        let longest = self.setup.plan.groups.iter().map(|g| g.timeout).max().unwrap_or(0);
        let end = LEAD + self.setup.length + longest + SECOND / 2;
        let mut ready = Vec::new();
        let mut begun = false;
        self.look_at_routers();
        loop {
            self.now = self.clock();
            let next = [self.members.wake_at(), self.agenda.first(), arrival.map(|a| a.at + LEAD), Some(end)];
            let next = next.into_iter().flatten().min().unwrap_or(end);
            let wait = Duration::from_micros((next - self.now).max(0) as u64);
            event_loop.dispatch(Some(wait), &mut ready).map_err(|e| e.to_string())?;
            self.now = self.clock();
            if self.now >= end {
                break;
            }
            if !begun && self.now >= LEAD {
                begun = true;
                if let Some(router) = self.routers.iter().position(|r| !r.ready) {
                    let why = self.routers[router].process.as_mut().and_then(Process::ended);
                    return Err(format!(
                        "router {router} is not ready: {}",
                        why.unwrap_or("it still runs".into())
                    ));
                }
            }
            self.look_at_list();
            self.settle()?;
            for key in std::mem::take(&mut ready) {
                match key {
                    SourceKey::Place(..) | SourceKey::List(_) => self.accept(key),
                    SourceKey::Conn(key) => self.conn_ready(key),
                    SourceKey::Watch(key) => self.watch_ready(key),
                    SourceKey::Client(key) => self.client_ready(key),
                }
            }
            while let Some((at, due)) = self.agenda.take(self.now) {
                self.late(self.now - at);
                self.happen(due);
                self.settle()?;
            }
            while let Some(a) = arrival.filter(|a| a.at + LEAD <= self.now) {
                // Counted from when it was due, not from when it could be sent.
                let due = a.at + LEAD;
                self.late(self.now - due);
                let timeout = self.setup.plan.groups[a.group].timeout;
                self.try_once(Wish {
                    asked: due,
                    deadline: due + timeout,
                    router: a.router,
                    group: a.group,
                    set: a.set,
                    customer: a.customer,
                    session: a.session,
                    work: a.work,
                    mutating: self.setup.mutating(a.group),
                    tries: 0,
                });
                arrival = traffic.next_arrival();
            }
            self.settle()?;
            if self.crashed.is_some() {
                break;
            }
        }
        self.auditor.finish(self.now);
        Ok(self.result(seed))
    }

    fn result(&mut self, seed: u64) -> RunResult {
        let (happened, length) = (self.members.happened(), self.setup.length);
        let lateness = percentiles(&self.lateness);
        let mut breach_counts = self.auditor.counts();
        breach_counts[1] += self.foreign.len() as u64;
        let breaches = self.auditor.breaches().iter().chain(&self.foreign).cloned().collect();
        let strays = (self.strays > 0)
            .then(|| format!("{} statements reached members that no client sent", self.strays));
        RunResult {
            driver: "loopback".into(),
            decides: self.setup.decides.name().into(),
            seed,
            point: Vec::new(),
            seconds: length as f64 / 1e6,
            routers: self.routers.len(),
            members: self.setup.plan.members(),
            all: self.tally.all(),
            groups: self.tally.groups(),
            sets: self.tally.sets(),
            every_second: self.tally.seconds(length),
            per_member: self.tally.members(length),
            sends: self.tally.sends,
            happened: HappenedFigures {
                elections: happened.elections,
                commits: happened.commits,
                lost_commits: happened.lost_commits,
                fell: happened.fell,
            },
            breach_counts,
            breaches,
            lateness_ms: Some(lateness),
            void: self.crashed.take().or(strays).or_else(|| voided(&lateness)),
        }
    }
}
