//! The real router processes: configured, started, killed and started again.

use crate::setup::Setup;
use crate::told::told;
use serde_json::{Map, Value, json};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

/// Descriptors and megabytes that each router is told it may hold.
const SOCKETS: u64 = 1_024;
const MEMORY_MB: u64 = 192;

/// A folder of its own for configurations and logs, gone at the end.
pub(super) struct Folder(PathBuf);

impl Folder {
    pub(super) fn new() -> Result<Folder, String> {
        static RUNS: AtomicU64 = AtomicU64::new(0);
        let name = format!("vetchkeel-lab-{}-{}", std::process::id(), RUNS.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What a router starts with: where it listens, where its list is, its seed, and the list it had.
pub(super) struct Birth {
    pub(super) listen: SocketAddr,
    pub(super) list: SocketAddr,
    pub(super) seed: u64,
    pub(super) known: Value,
}

/// One router's process; killed when it is dropped.
pub(super) struct Process {
    child: Child,
    log: PathBuf,
}

/// Settings as JSON: lists as lists, everything else as its text.
fn settings(setup: &Setup, router: usize) -> Value {
    let value = |text: &str| {
        if text.contains(',') { text.split(',').map(str::to_owned).collect() } else { json!(text) }
    };
    let pairs = told(setup, router).into_iter().map(|(name, text)| (name, value(&text)));
    Value::Object(pairs.collect::<Map<String, Value>>())
}

impl Process {
    /// Starts a router.
    pub(super) fn start(
        program: &Path,
        folder: &Folder,
        setup: &Setup,
        router: usize,
        birth: Birth,
    ) -> Result<Process, String> {
        let config = json!({
            "name": format!("r{router}"),
            "listen": birth.listen.to_string(),
            "discovery": birth.list.to_string(),
            "seed": format!("{:x}", birth.seed),
            "limits": { "cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS },
            "known": birth.known,
            "settings": settings(setup, router),
        });
        let path = folder.0.join(format!("r{router}.json"));
        let log = folder.0.join(format!("r{router}.log"));
        std::fs::write(&path, config.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
        let written = File::options().create(true).append(true).open(&log);
        let written = written.map_err(|e| format!("{}: {e}", log.display()))?;
        let child = Command::new(program)
            .env("NODE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(written)
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        Ok(Process { child, log })
    }

    /// Why it has ended, if it has, with the last line of its log.
    pub(super) fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        Some(format!("{status}: {}", log.lines().last().unwrap_or("no log")))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
