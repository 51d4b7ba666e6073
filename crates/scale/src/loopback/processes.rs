//! The real router processes: configured, started, counted and ended by their numbers.

use serde_json::json;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Descriptors and megabytes that each router is told it may hold.
const SOCKETS: u64 = 1_024;
const MEMORY_MB: u64 = 256;

/// A folder of its own for configurations and logs, gone at the end.
pub(super) struct Folder(PathBuf);

impl Folder {
    pub(super) fn new() -> Result<Folder, String> {
        static PLAYS: AtomicU64 = AtomicU64::new(0);
        let (own, play) = (std::process::id(), PLAYS.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(format!("vetchkeel-scale-{own}-{play}"));
        std::fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What a router starts with.
pub(super) struct Birth {
    pub(super) router: usize,
    pub(super) routers: usize,
    pub(super) agent: SocketAddr,
    pub(super) seed: u64,
}

/// One router's process; killed when it is dropped.
pub(super) struct Process {
    child: Child,
    began: Instant,
    listen: SocketAddr,
    log: PathBuf,
}

impl Process {
    pub(super) fn start(program: &Path, folder: &Folder, birth: &Birth) -> Result<Process, String> {
        let listen = free_address()?;
        let told = crate::told::told(birth.router, birth.routers);
        let configuration = json!({
            "name": format!("router-{:04}", birth.router),
            "listen": listen.to_string(),
            "discovery": birth.agent.to_string(),
            "seed": format!("{:x}", birth.seed),
            "limits": { "cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS },
            "settings": crate::told::settings(&told),
        });
        let path = folder.0.join(format!("{}.json", birth.router));
        // Each life has a log of its own.
        let log = folder.0.join(format!("{}-{}.log", birth.router, listen.port()));
        std::fs::write(&path, configuration.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
        let written = File::options().create(true).append(true).open(&log);
        let written = written.map_err(|e| format!("{}: {e}", log.display()))?;
        let child = Command::new(program)
            .env("NODE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(written)
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        Ok(Process { child, began: Instant::now(), listen, log })
    }

    pub(super) fn pid(&self) -> u32 {
        self.child.id()
    }

    pub(super) fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Processor time that it has used, and how long it has run.
    pub(super) fn spent(&self) -> (Duration, Duration) {
        (processor(self.pid()).unwrap_or_default(), self.began.elapsed())
    }

    /// Lists that it has read by its own count: asks until there are so many, or time is up.
    pub(super) fn count_lists(&self, expected: u64, until: Instant) -> u64 {
        loop {
            if let Some(pid) = rustix::process::Pid::from_raw(self.pid() as i32) {
                let _ = rustix::process::kill_process(pid, rustix::process::Signal::USR1);
            }
            std::thread::sleep(Duration::from_millis(20));
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            let last = log.lines().rev().find(|line| line.starts_with("counters connections:"));
            let count = last.and_then(|line| line.split(" lists=").nth(1)?.split(' ').next()?.parse().ok());
            let count: u64 = count.unwrap_or(0);
            if count >= expected || Instant::now() >= until {
                return count;
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Nanoseconds on a processor, over all threads.
fn processor(pid: u32) -> Option<Duration> {
    let mut nanos = 0;
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).ok()? {
        let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        nanos += text.split(' ').next()?.parse::<u64>().ok()?;
    }
    Some(Duration::from_nanos(nanos))
}

/// An address that was free just now.
fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("a free address: {e}"))?;
    listener.local_addr().map_err(|e| e.to_string())
}
