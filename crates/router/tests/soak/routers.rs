//! Real routers: started, told to end, killed and started again at their address, each with a control file of its own
//! for system calls that fail.

use super::agents::Agent;
use super::common::faults::Faults;
use super::common::{configuration, with_pieces};
use super::ledger::Ledger;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// SIGKILL follows SIGTERM after the longest wait and this.
const LONGEST_WAIT: Duration = Duration::from_millis(1_500);
const STILL_COMING: Duration = Duration::from_millis(700);
const READY_MOST: Duration = Duration::from_secs(10);

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

/// What a fleet may be told instead, drawn by the seed of its play: nothing, no leave to cancel, none to probe, and
/// few descriptors without leave to cancel.
const VARIANTS: [&[(&str, &str)]; 4] = [
    &[],
    &[(r#""cancel":true"#, r#""cancel":false"#), (r#""max_attempts":6"#, r#""max_attempts":2"#)],
    &[(r#""may_probe":true"#, r#""may_probe":false"#)],
    &[(r#""cancel":true"#, r#""cancel":false"#), (r#""sockets":1024"#, r#""sockets":56"#)],
];

pub struct Router {
    pub number: usize,
    pub address: SocketAddr,
    pub agent: Arc<Agent>,
    pub faults: Faults,
    variant: &'static [(&'static str, &'static str)],
    /// Counts its processes that were killed: what these had in hand is excused.
    pub killed: AtomicU32,
    process: Mutex<Option<Child>>,
    /// Held while its process is replaced.
    replacing: Mutex<()>,
    config: PathBuf,
    log: PathBuf,
    reloads: AtomicU32,
    ledger: Arc<Ledger>,
}

impl Router {
    pub fn start(number: usize, play: u64, agent: Arc<Agent>, ledger: Arc<Ledger>) -> Arc<Router> {
        let free = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
        // Two plays may run in one process.
        static STARTED: AtomicU32 = AtomicU32::new(0);
        let name = format!("vetchkeel-soak-{}-{}", std::process::id(), STARTED.fetch_add(1, Relaxed));
        let router = Arc::new(Router {
            number,
            address: free,
            agent,
            faults: Faults::new(play * 1_000 + number as u64),
            variant: VARIANTS[play as usize % VARIANTS.len()],
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
        let text = configuration(agent, 1024, 192, "null");
        let (head, _) = text.split_once(r#""settings":"#).expect("settings");
        let head = head.replace("127.0.0.1:0", &self.address.to_string());
        let bound = self.ledger.bound.as_millis().to_string();
        let settings = SETTINGS.replace("BOUND", &bound);
        let text = with_pieces(format!(r#"{head}"settings":{settings}}}"#), self.variant);
        std::fs::write(&self.config, text).expect("a temporary file");
    }

    fn run(&self) {
        let log = OpenOptions::new().append(true).open(&self.log).expect("a temporary file");
        let program = std::env::var("SOAK_PROGRAM");
        let child = Command::new(program.as_deref().unwrap_or(env!("CARGO_BIN_EXE_vetchkeel-router")))
            .env("NODE_CONFIG", &self.config)
            .envs(self.faults.variables())
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        *self.process.lock().expect("no panic") = Some(child);
        let begun = Instant::now();
        while TcpStream::connect(self.address).is_err() {
            if begun.elapsed() > READY_MOST {
                return self.ledger.violation(format!("router {} does not start", self.number));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn signal(&self, signal: libc::c_int) {
        if let Some(child) = self.process.lock().expect("no panic").as_ref() {
            // SAFETY: a number is given; the child is not waited for yet.
            unsafe { libc::kill(child.id() as libc::pid_t, signal) };
        }
    }

    /// Told to end, by signals in series; it has to be gone, with nothing owed, before it is killed. Clients go on sending on
    /// open connections until then.
    pub fn stop(&self) {
        let Some(mut child) = self.process.lock().expect("no panic").take() else { return };
        // SAFETY: as above.
        unsafe { libc::kill(child.id() as libc::pid_t, libc::SIGTERM) };
        let begun = Instant::now();
        let mut series = [libc::SIGHUP, libc::SIGTERM, libc::SIGUSR1, libc::SIGTERM].into_iter();
        let status = loop {
            if let Some(status) = child.try_wait().expect("a child") {
                break status;
            }
            if begun.elapsed() > STILL_COMING + LONGEST_WAIT {
                self.ledger.violation(format!("router {} is killed before it ends", self.number));
                let _ = child.kill();
                break child.wait().expect("a child");
            }
            if let Some(signal) = series.next() {
                // SAFETY: as above.
                unsafe { libc::kill(child.id() as libc::pid_t, signal) };
            }
            thread::sleep(Duration::from_millis(5));
        };
        if !status.success() {
            self.ledger.violation(format!(
                "router {} ended with {status}: {}",
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

    /// Told to end, and started again once it has.
    pub fn restart(&self) {
        let _replacing = self.replacing.lock().expect("no panic");
        self.stop();
        self.run();
    }

    /// Killed, and started again so much later.
    pub fn crash(&self, later: Duration) {
        let _replacing = self.replacing.lock().expect("no panic");
        self.kill();
        thread::sleep(later);
        self.run();
    }

    /// Discovery moves to the agent's other address.
    pub fn reload(&self) {
        self.reloads.fetch_add(1, Relaxed);
        self.configure();
        self.signal(libc::SIGHUP);
    }

    /// Has its process ended by itself?
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

    fn last_lines(&self) -> String {
        let mut text = String::new();
        let mut log = File::open(&self.log).expect("a log");
        let size = log.seek(SeekFrom::End(0)).unwrap_or(0);
        let _ = log.seek(SeekFrom::Start(size.saturating_sub(1_500)));
        let _ = log.read_to_string(&mut text);
        text
    }

    /// What the routers themselves counted, and panics.
    pub fn own_violations(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let wrong = |line: &&str| {
            line.contains("violation: ")
                || line.contains("panic")
                // A round that fails and is made good is none.
                || line.contains("vetchkeel-router: the loop failed")
                || line.starts_with("counters violations:") && !line.contains("total=0")
        };
        text.lines().filter(wrong).map(|line| format!("router {}: {line}", self.number)).collect()
    }
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
