//! Real router processes, which are started, stopped, killed and restarted on the same address, each with a control file of its
//! own for fault injection.

use super::agents::Agent;
use super::common::faults::Faults;
use super::common::{RefusingPort, configuration, resident_memory, with_replacements};
use super::ledger::Ledger;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// A router that has not exited after SIGTERM within the longest client timeout and this slack is killed.
const MAX_CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
const SHUTDOWN_SLACK: Duration = Duration::from_millis(700);
const START_TIMEOUT: Duration = Duration::from_secs(10);

const SETTINGS: &str = r#"{"me":0,"balancers":12,"tick_ms":5.0,"membership_mode":"automatic",
    "family_info":{"class_read":["any","bounded","write","write"],"lag_allowed_ms":[0.0,BOUND.0,0.0,0.0],"server_checks":"none",
        "token_mode":"remembered"},
    "report":{"via":"probe","fields":["x0","x1"]},
    "permissions":{"cancel":true,"may_probe":true,"retry_after":true,"max_attempts":6,"max_retry_after_ms":1000.0,
        "conn_idle_ms":15000.0,"dial_timeout_ms":250.0},
    "rules":{"drain_grace_ms":500.0,"start_capacity":0.15,"tip_multiple":2.0,"warm_after_ms":18000.0,"fall_ms":1000.0},
    "request_classes":[
        {"name":"look","semantics":"pure","hard_limit_ms":1500.0,"aim_ms":600.0,"importance":1.0},
        {"name":"view","semantics":"pure","hard_limit_ms":1500.0,"aim_ms":600.0,"importance":1.0},
        {"name":"order","semantics":"side_effect","hard_limit_ms":1500.0,"aim_ms":600.0,"late_value":0.5,
            "importance":6.0},
        {"name":"save","semantics":"token","group":"all","window_ms":400.0,"hard_limit_ms":1500.0,"aim_ms":600.0,
            "late_value":0.5,"importance":3.0}]}"#;

/// Changes to the settings, chosen by the seed: none; no permission to cancel and few attempts; no permission to probe; and few
/// descriptors without permission to cancel.
const VARIANTS: [&[(&str, &str)]; 4] = [
    &[],
    &[(r#""cancel":true"#, r#""cancel":false"#), (r#""max_attempts":6"#, r#""max_attempts":2"#)],
    &[(r#""may_probe":true"#, r#""may_probe":false"#)],
    &[(r#""cancel":true"#, r#""cancel":false"#), (r#""sockets":1024"#, r#""sockets":56"#)],
];

/// A standstill during which SIGTERM comes: its length before and after the signal.
#[derive(Clone, Copy, Debug)]
pub struct Standstill {
    pub before_signal: Duration,
    pub after_signal: Duration,
}

/// The limits that a router is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub sockets: u32,
    pub memory_mb: u32,
}

impl Limits {
    pub const USUAL: Limits = Limits { sockets: 1024, memory_mb: 192 };
    /// The deployment's range of each limit.
    const SOCKETS: [u32; 3] = [1024, 512, 256];
    const MEMORY_MB: [u32; 5] = [32, 48, 64, 128, 192];

    /// Limits within the deployment's range; seeds that follow one another meet all pairs.
    pub fn drawn(seed: u64) -> Limits {
        let seed = (seed as usize).saturating_sub(1);
        Limits {
            sockets: Limits::SOCKETS[seed % Limits::SOCKETS.len()],
            memory_mb: Limits::MEMORY_MB[seed % Limits::MEMORY_MB.len()],
        }
    }

    /// The changes to the settings that fit: the last one replaces the usual number of descriptors.
    fn variants(self) -> &'static [&'static [(&'static str, &'static str)]] {
        let count = if self == Limits::USUAL { VARIANTS.len() } else { VARIANTS.len() - 1 };
        &VARIANTS[..count]
    }
}

/// A router process and its configuration.
pub struct Router {
    pub number: usize,
    pub address: SocketAddr,
    /// Keeps the address from being assigned to another socket while no process of the router listens on it.
    _reserved: RefusingPort,
    pub agent: Arc<Agent>,
    pub faults: Faults,
    pub limits: Limits,
    /// Its resident memory was over the limit.
    over_memory: AtomicBool,
    variant: &'static [(&'static str, &'static str)],
    /// Counts the processes that were killed or crashed; commands in flight at that time are excused.
    pub killed: AtomicU32,
    process: Mutex<Option<Child>>,
    /// Held while the process is being replaced.
    replacing: Mutex<()>,
    config: PathBuf,
    log: PathBuf,
    reloads: AtomicU32,
    ledger: Arc<Ledger>,
}

impl Router {
    pub fn start(
        number: usize,
        seed: u64,
        limits: Limits,
        agent: Arc<Agent>,
        ledger: Arc<Ledger>,
    ) -> Arc<Router> {
        let reserved = RefusingPort::start();
        // Numbered across runs, because two runs of the soak may share one process.
        static STARTED: AtomicU32 = AtomicU32::new(0);
        let name = format!("vetchkeel-soak-{}-{}", std::process::id(), STARTED.fetch_add(1, Relaxed));
        let router = Arc::new(Router {
            number,
            address: reserved.address(),
            _reserved: reserved,
            agent,
            faults: Faults::new(seed * 1_000 + number as u64),
            limits,
            over_memory: AtomicBool::new(false),
            variant: limits.variants()[seed as usize % limits.variants().len()],
            killed: AtomicU32::new(0),
            process: Mutex::new(None),
            replacing: Mutex::new(()),
            config: std::env::temp_dir().join(format!("{name}.json")),
            log: std::env::temp_dir().join(format!("{name}.log")),
            reloads: AtomicU32::new(0),
            ledger,
        });
        File::create(&router.log).expect("a temporary file");
        router.configure();
        router.run();
        router
    }

    fn configure(&self) {
        let agent = self.agent.addresses[self.reloads.load(Relaxed) as usize % 2];
        let text = configuration(agent, self.limits.sockets, self.limits.memory_mb, "null");
        let (head, _) = text.split_once(r#""settings":"#).expect("settings");
        let head = head.replace("127.0.0.1:0", &self.address.to_string());
        let bound = self.ledger.bound.as_millis().to_string();
        let settings = SETTINGS.replace("BOUND", &bound);
        let text = with_replacements(format!(r#"{head}"settings":{settings}}}"#), self.variant);
        std::fs::write(&self.config, text).expect("a temporary file");
    }

    fn run(&self) {
        let log = OpenOptions::new().append(true).open(&self.log).expect("a temporary file");
        let program = std::env::var("SOAK_PROGRAM");
        let child = Command::new(program.as_deref().unwrap_or(env!("CARGO_BIN_EXE_vetchkeel-router")))
            .env("NODE_CONFIG", &self.config)
            .envs(self.faults.environment())
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        *self.process.lock().expect("no panic") = Some(child);
        let begun = Instant::now();
        while TcpStream::connect(self.address).is_err() {
            if begun.elapsed() > START_TIMEOUT {
                return self.ledger.violation(format!("router {} does not accept connections", self.number));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Suspends the process for this long; it is not replaced meanwhile. The tolerances of the ledger cover a short time, which
    /// excuses nothing.
    pub fn suspend(&self, span: Duration) {
        let _replacing = self.replacing.lock().expect("no panic");
        self.stop_and_continue(span);
    }

    /// Suspends the process for longer than it may be delayed between reading the clock and writing: no standstill begins within an
    /// injected delay there, as nothing could keep the time that is being written from growing old.
    pub fn stand_still(&self, span: Duration) {
        let _replacing = self.replacing.lock().expect("no panic");
        self.faults.suspend_delays(true);
        self.ledger.standstill_begun(self.number);
        self.stop_and_continue(span);
        self.ledger.standstill_ended(self.number);
        self.faults.suspend_delays(false);
    }

    fn stop_and_continue(&self, span: Duration) {
        self.signal(libc::SIGSTOP);
        thread::sleep(span);
        self.signal(libc::SIGCONT);
    }

    pub fn signal(&self, signal: libc::c_int) {
        if let Some(child) = self.process.lock().expect("no panic").as_ref() {
            // SAFETY: only numbers are passed, and the child has not been waited for yet, so its process id is valid.
            unsafe { libc::kill(child.id() as libc::pid_t, signal) };
        }
    }

    /// Stops the process with a series of signals. It must exit successfully before it is killed, while clients continue to send
    /// on open connections.
    pub fn stop(&self) {
        self.stop_during(None);
    }

    /// The same, where the process may stand still when SIGTERM comes.
    fn stop_during(&self, standstill: Option<Standstill>) {
        let Some(mut child) = self.process.lock().expect("no panic").take() else { return };
        // SAFETY: only numbers are passed, and the child has not been waited for yet, so its process id is valid.
        let signal = |signal| unsafe { libc::kill(child.id() as libc::pid_t, signal) };
        if let Some(standstill) = standstill {
            self.faults.suspend_delays(true);
            self.ledger.standstill_begun(self.number);
            signal(libc::SIGSTOP);
            thread::sleep(standstill.before_signal);
        }
        signal(libc::SIGTERM);
        let begun = Instant::now();
        let mut continues_after = standstill.map(|standstill| standstill.after_signal);
        let mut signals = [libc::SIGHUP, libc::SIGTERM, libc::SIGUSR1, libc::SIGTERM].into_iter();
        let status = loop {
            if let Some(status) = child.try_wait().expect("a child") {
                break status;
            }
            if begun.elapsed() > SHUTDOWN_SLACK + MAX_CLIENT_TIMEOUT {
                self.ledger.violation(format!("router {} did not exit in time and was killed", self.number));
                let _ = child.kill();
                break child.wait().expect("a child");
            }
            if continues_after.take_if(|after| begun.elapsed() >= *after).is_some() {
                // SAFETY: as above.
                unsafe { libc::kill(child.id() as libc::pid_t, libc::SIGCONT) };
                self.ledger.standstill_ended(self.number);
                self.faults.suspend_delays(false);
            }
            if let Some(signal) = signals.next() {
                // SAFETY: as above.
                unsafe { libc::kill(child.id() as libc::pid_t, signal) };
            }
            thread::sleep(Duration::from_millis(5));
        };
        if !status.success() {
            self.ledger.violation(format!(
                "router {} exited with {status}: {}",
                self.number,
                self.last_lines()
            ));
        }
    }

    fn kill(&self) {
        let Some(mut child) = self.process.lock().expect("no panic").take() else { return };
        self.killed.fetch_add(1, Relaxed);
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Stops the process and starts it again.
    pub fn restart(&self) {
        let _replacing = self.replacing.lock().expect("no panic");
        self.stop();
        self.run();
    }

    /// The same, where SIGTERM comes during a standstill.
    pub fn restart_during(&self, standstill: Standstill) {
        let _replacing = self.replacing.lock().expect("no panic");
        self.stop_during(Some(standstill));
        self.run();
    }

    /// Kills the process and starts it again after `delay`.
    pub fn crash(&self, delay: Duration) {
        let _replacing = self.replacing.lock().expect("no panic");
        self.kill();
        thread::sleep(delay);
        self.run();
    }

    /// Reloads a configuration with the agent's other address.
    pub fn reload(&self) {
        self.reloads.fetch_add(1, Relaxed);
        self.configure();
        self.signal(libc::SIGHUP);
    }

    /// Records a violation if the process has exited by itself, and restarts it.
    pub fn check(&self) {
        let Ok(_replacing) = self.replacing.try_lock() else { return };
        let mut process = self.process.lock().expect("no panic");
        if let Some(status) = process.as_mut().and_then(|child| child.try_wait().expect("a child")) {
            *process = None;
            drop(process);
            self.ledger.violation(format!("router {} crashed: {status}: {}", self.number, self.last_lines()));
            self.killed.fetch_add(1, Relaxed);
            self.run();
        }
    }

    /// Records a violation if the resident memory of the process is over its limit, where the platform would kill it.
    pub fn check_memory(&self) {
        // While the lock is held, the process is not waited for, so its id is valid.
        let process = self.process.lock().expect("no panic");
        let resident = process.as_ref().map_or(0, |child| resident_memory(child.id())) >> 20;
        if resident >= self.limits.memory_mb as usize && !self.over_memory.swap(true, Relaxed) {
            let (number, limit) = (self.number, self.limits.memory_mb);
            self.ledger.violation(format!("router {number}: {resident} MB resident of {limit}"));
        }
    }

    /// The end of the log.
    fn last_lines(&self) -> String {
        let mut text = String::new();
        let mut log = File::open(&self.log).expect("a log");
        let size = log.seek(SeekFrom::End(0)).unwrap_or(0);
        let _ = log.seek(SeekFrom::Start(size.saturating_sub(1_500)));
        let _ = log.read_to_string(&mut text);
        text
    }

    /// The violations and panics in the router's own log. A command that is late only because the router stood still at its
    /// deadline is none.
    pub fn own_violations(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let is_excused = |line: &&str| {
            let late = ["Late", "WrittenLate"].iter().find_map(|violation| {
                let (_, rest) = line.split_once(&format!("violation: {violation}, command '"))?;
                rest.split_once('\'')
            });
            late.is_some_and(|(id, _)| self.ledger.is_late_by_a_standstill_alone(id))
        };
        let excused = text.lines().filter(is_excused).count();
        let is_violation = |line: &&str| {
            line.contains("violation: ") && !is_excused(line)
                || line.contains("panic")
                // Only a failure of the event loop that ends the process counts, not one that it recovers from.
                || line.contains("vetchkeel-router: the loop failed")
                || line.starts_with("counters violations:")
                    && !line.contains("total=0")
                    && !(excused > 0 && counts_only_late(line))
        };
        text.lines().filter(is_violation).map(|line| format!("router {}: {line}", self.number)).collect()
    }
}

/// Whether a line of counters has late answers and no other violation.
fn counts_only_late(line: &str) -> bool {
    let count = |name| {
        let count = line.split_whitespace().find_map(|pair| pair.strip_prefix(name));
        count.map_or(0, |count| count.parse::<u64>().expect("a number"))
    };
    count("total=") == count("Late=") + count("WrittenLate=")
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
        if std::env::var_os("SOAK_KEEP").is_none() {
            let _ = std::fs::remove_file(&self.log);
        }
        let _ = std::fs::remove_file(&self.config);
    }
}
