//! The query router on sockets: one process, one thread, one event loop. Each round reads all that is readable, passes
//! it to the decision module, pulls decisions until there is none, writes, and sleeps until the next deadline.

mod allocator;
mod arrival;
mod capture;
mod catch_up;
mod clients;
mod commands;
mod counters;
mod deadlines;
mod ending;
mod fleet;
mod invariants;
mod keys;
mod leaving;
mod limits;
mod memory;
mod nodes;
mod polls;
mod reasons;
mod signals;
mod startup;
mod stopping;
mod transient;
mod watch;

use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};
use capture::Capture;
use clients::Clients;
use commands::{Commands, NodeResult};
use counters::Counters;
use deadlines::{Deadlines, Due};
use ending::Cause;
use fleet::{Configuration, Fleet};
use invariants::{Invariants, Violation};
use limits::Limits;
use memory::Memory;
use nodes::Nodes;
use polls::{MAX_SLEEP, Polls};
use reasons::{ClientClose, MemberClose};
use socket2::{Domain, Protocol, Socket, Type};
use startup::Start;
use std::collections::{BTreeMap, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use stopping::StopSchedule;
use transient::is_local_failure;
use vetchkeel::{SettingValues, Tenths};
use vetchkeel_log::log;
use watch::Watch;

const BACKLOG: i32 = 1024;
/// How long a start waits for its listen address, which the previous process may still hold, and the retry interval.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(8);
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The process ends if the event loop fails again after this many consecutive failed rounds.
const MAX_FAILED_ROUNDS: u32 = 100;
/// A deadline that is overdue by more than this shows that the process was stalled.
const STALL_THRESHOLD: Tenths = 50;

/// Unix time in tenths of a millisecond that never goes backwards.
struct Clock {
    start: Tenths,
    since: Instant,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: (unix.as_micros() / 100) as Tenths, since: Instant::now() }
    }

    fn now(&self) -> Tenths {
        self.start + (self.since.elapsed().as_micros() / 100) as Tenths
    }
}

pub struct Program {
    clock: Clock,
    now: Tenths,
    polls: Polls,
    handle: LoopHandle<'static, Program>,
    commands: Commands,
    clients: Clients,
    nodes: Nodes,
    watch: Watch,
    deadlines: Deadlines,
    counters: Counters,
    invariants: Invariants,
    capture: Capture,
    fleet: Fleet,
    configuration: Configuration,
    limits: Limits,
    /// The bytes held for clients.
    memory: Memory,
    /// Results that have not been passed to the module yet.
    results: VecDeque<NodeResult>,
    scratch: Box<[u8]>,
    /// Set by SIGTERM.
    stopping: Option<StopSchedule>,
    /// The longest client timeout in the settings.
    longest_client_timeout: Tenths,
    /// The settings in force.
    settings: SettingValues,
    /// Configuration values that take effect at a start only.
    startup_only: BTreeMap<&'static str, serde_json::Value>,
}

fn tenths(settings: &SettingValues, name: &str, or: f64) -> Tenths {
    (settings.get(name).and_then(|v| v.parse().ok()).unwrap_or(or) * 10.0) as Tenths
}

fn longest_client_timeout(settings: &SettingValues) -> Tenths {
    let names = (0..).map(|i| format!("request_classes.{i}.hard_limit_ms"));
    names.take_while(|n| settings.contains_key(n)).map(|n| tenths(settings, &n, 0.0)).max().unwrap_or(0)
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Listens as soon as the address is free and a socket is available. Without the retries, a start that fails because
/// of a transient error would never be repeated.
fn listen_with_retries(address: SocketAddr) -> Result<TcpListener, String> {
    let began = Instant::now();
    loop {
        match listen(address) {
            Ok(listener) => return Ok(listener),
            Err(e)
                if is_local_failure(&e)
                    && e.kind() != ErrorKind::PermissionDenied
                    && began.elapsed() < LISTEN_TIMEOUT =>
            {
                log!("cannot listen on {address} yet: {e}");
                std::thread::sleep(LISTEN_RETRY_INTERVAL);
            }
            Err(e) => return Err(format!("expected to listen on {address}: {e}")),
        }
    }
}

impl Program {
    fn new(
        start: Start,
        listener: TcpListener,
        handle: LoopHandle<'static, Program>,
        (clock, polls): (Clock, Polls),
    ) -> Result<Program, String> {
        let now = clock.now();
        let settings = &start.settings;
        let fleet = Fleet::open(&start.name, start.seed, &handle)?;
        let configuration = Configuration::open(&start.name, start.seed, &handle)?;
        let mut program = Program {
            clock,
            now,
            polls,
            handle,
            commands: Commands::start(settings, start.seed, now)?,
            clients: Clients::new(start.seed),
            nodes: Nodes::new(settings),
            watch: Watch::new(start.discovery, start.known, now),
            deadlines: Deadlines::default(),
            counters: Counters::default(),
            invariants: Invariants::new(settings),
            capture: Capture::open(&start.name)?,
            fleet,
            configuration,
            limits: Limits::new(start.sockets, start.memory),
            memory: Memory::default(),
            results: VecDeque::new(),
            scratch: vec![0; 64 * 1024].into(),
            stopping: None,
            longest_client_timeout: longest_client_timeout(settings),
            settings: start.settings,
            startup_only: start.startup_only,
        };
        program.start_watch();
        let listener = Rc::new(listener);
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Edge);
        let token = program.handle.insert_source(source, |_, _, program: &mut Program| {
            program.polls.count_event();
            program.guarded("accepting", Program::accept_event, |_| {});
            Ok(PostAction::Continue)
        });
        program.clients.listener = Some((listener, token.map_err(|e| e.to_string())?));
        Ok(program)
    }

    /// Reads the clock again. Danger: any amount of time may pass between reading the clock and using the result.
    pub fn read_clock(&mut self) {
        self.now = self.clock.now();
    }

    /// Runs the handler of one connection; if it panics, only that connection is ended, by `end`.
    pub fn guarded(&mut self, what: &str, run: impl FnOnce(&mut Program), end: impl FnOnce(&mut Program)) {
        self.read_clock();
        if catch_unwind(AssertUnwindSafe(|| run(self))).is_err() {
            log!("panic in {what}: it is ended");
            if catch_unwind(AssertUnwindSafe(|| end(self))).is_err() {
                log!("panic while ending {what}");
            }
        }
    }

    /// Checks every connection for readiness. Guards against a round that fails halfway: its remaining events are lost
    /// and, as events are edge-triggered, are not reported again.
    fn check_all_connections(&mut self) {
        self.guarded("accepting", Program::accept_event, |_| {});
        for key in self.clients.keys() {
            self.guarded(
                "a client's connection",
                |p| p.client_event(key, false),
                |p| p.drop_client(key, ClientClose::Panicked),
            );
        }
        for key in self.nodes.keys() {
            let broken = |p: &mut Program| p.break_conn(key, Cause::Garbled);
            self.guarded("a node's connection", |p| p.conn_event(key, false), broken);
        }
        self.guarded("the watch", Program::read_watches, |p| p.break_watches("a panic"));
    }

    /// Runs the steps that follow each poll of the event loop.
    fn run_round(&mut self) {
        self.guarded("a round", Program::round_steps, |_| {});
        if self.memory.is_to_be_given_back(self.now) {
            allocator::give_back();
        }
    }

    fn round_steps(&mut self) {
        self.serve_postponed_clients();
        self.read_postponed_watches();
        let (mut last, now) = (false, self.now);
        while let Some(due) = self.deadlines.take(now) {
            match due {
                Due::Wake | Due::End => {}
                Due::Work(key) => self.give_up_work(key, Cause::Limit),
                Due::Dial(key) => self.handle_dial_timeout(key),
                Due::Idle(key) => self.drop_conn(key, MemberClose::Idle),
                Due::Client(key) => self.close_client(key, ClientClose::Overdue),
                Due::RetryClient(key) => self.client_event(key, true),
                Due::RetryConn(key) => self.conn_event(key, true),
                Due::RetryWatch => self.retry_watch_now(),
                Due::Message(key) => self.end_overdue_client(key),
                Due::Accept => self.accept(),
                Due::Watch => self.handle_watch_timeout(),
                Due::Start => self.finish_startup(),
                Due::Stop => self.stop_accepting(),
                Due::FinalAnswers => last = true,
            }
        }
        self.pass_results();
        self.decide();
        // Danger: before the decisions above, this error would replace an answer that has arrived by now or the
        // module's own decision.
        if last {
            self.end_clients();
            self.decide();
        }
        self.write_nodes();
        // Danger: a member list that arrived meanwhile may lead to decisions for which no deadline is set.
        self.decide();
        // A query buffered behind an answer becomes a command and may be answered at once. Danger: a deadline that
        // passes while writes are stalled is not handled before the end of this round, so the rest is left to the next
        // round.
        while self.clients.has_unsent() {
            self.write_clients();
            self.decide();
            if self.is_behind() {
                break;
            }
        }
    }

    /// Counts and logs a violated invariant, with the command if there is one.
    pub fn report_violation(&mut self, command: &str, violation: Violation) {
        self.invariants.violations.add(violation);
        log!("violation: {violation:?}, command '{command}'");
    }

    /// The time that a command with the client timeout `wait` may still take: while the process is stopping, the
    /// command must be answered before the process may be killed.
    pub fn remaining_time(&self, wait: Tenths) -> Tenths {
        let schedule = self.stopping.as_ref();
        schedule.map_or(wait, |schedule| wait.min(schedule.answer_commands_by - self.now))
    }

    /// How long the event loop may sleep.
    fn poll_timeout(&self) -> Tenths {
        let unfinished = self.nodes.has_writable() || self.clients.has_unsent();
        if !self.results.is_empty() || self.clients.has_postponed() || self.watch.is_postponed() || unfinished
        {
            return 0;
        }
        let until_deadline = self.deadlines.first().map_or(MAX_SLEEP, |at| at - self.clock.now());
        until_deadline.clamp(0, MAX_SLEEP)
    }

    /// True once all clients have closed or the time for it is over. Danger: a client may send something while its
    /// connection is being shut down; if that stays unread, the system resets the connection and the answer is lost.
    fn finished(&self) -> bool {
        let over = self.stopping.is_some_and(|schedule| schedule.exit_at <= self.now);
        self.clients.listener.is_none() && (over || self.clients.count() == 0)
    }
}

fn run() -> Result<(), String> {
    allocator::configure();
    vetchkeel_log::log_panics();
    // Danger: a reload signal that is sent to all processes would end one that has just started and has no handler yet.
    // Danger: a signal may wait for as long as the start takes, and counts from when it may have come.
    let clock = Clock::new();
    let polls = Polls::new(clock.now());
    let signals = signals::block().map_err(|e| e.to_string())?;
    let start = startup::read()?;
    let name = start.name.clone();
    let mut event_loop = EventLoop::<Program>::try_new().map_err(|e| e.to_string())?;
    let handle = event_loop.handle();
    let registered = handle.insert_source(signals, |_, descriptor, program: &mut Program| {
        program.signal_event(descriptor);
        Ok(PostAction::Continue)
    });
    registered.map_err(|e| e.to_string())?;
    let listener = listen_with_retries(start.listen)?;
    let mut program = Program::new(start, listener, handle, (clock, polls))?;
    if let Some((listener, _)) = &program.clients.listener {
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        vetchkeel_log::log_always!("router {name} serves on {address}");
    }
    program.run_round();
    let mut failed_rounds = 0;
    while !program.finished() {
        match catch_up::poll(&mut event_loop, &mut program) {
            Ok(()) => failed_rounds = 0,
            Err(e) if failed_rounds == MAX_FAILED_ROUNDS => return Err(format!("the loop failed: {e}")),
            Err(e) => {
                log!("a round of the loop failed: {e}");
                failed_rounds += 1;
                program.check_all_connections();
            }
        }
        program.run_round();
    }
    for _ in 0..program.open_commands() {
        program.report_violation("", Violation::EndedOwed);
    }
    program.close_clients();
    program.print_counters();
    program.capture.finish();
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            vetchkeel_log::log_always!("vetchkeel-router: {why}");
            ExitCode::from(2)
        }
    }
}
