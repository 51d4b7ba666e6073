//! One router process: configured, started, watched, killed.

use super::stage::Stage;
use crate::{list, module};
use serde_json::{Map, Value, json};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Megabytes that the router is told it may hold: what is allowed for control, as nothing else is played here.
const MEMORY_MB: u64 = 256;

/// A folder of its own for configuration and log, gone when it is dropped.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Killed when it is dropped.
pub(super) struct Process {
    child: Child,
    folder: Folder,
}

fn configuration(stage: &Stage, seed: u64, sockets: u64) -> Value {
    let value = |text: String| {
        if text.contains(',') { text.split(',').map(str::to_owned).collect() } else { json!(text) }
    };
    let settings = module::settings().into_iter().map(|(name, text)| (name, value(text)));
    json!({
        "name": "slopes",
        "listen": "127.0.0.1:0",
        "discovery": stage.agent.to_string(),
        "seed": format!("{seed:x}"),
        "limits": { "cores": 1.0, "memory_mb": MEMORY_MB, "sockets": sockets },
        "known": list::whole(stage.members, 1, &stage.places),
        "settings": settings.collect::<Map<String, Value>>(),
    })
}

impl Process {
    pub(super) fn start(program: &Path, stage: &Stage, seed: u64, sockets: u64) -> Result<Process, String> {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let name = format!("vetchkeel-slopes-{}-{}", std::process::id(), COUNT.fetch_add(1, Relaxed));
        let folder = Folder(std::env::temp_dir().join(name));
        let wrong = |e: std::io::Error| format!("{}: {e}", folder.0.display());
        std::fs::create_dir_all(&folder.0).map_err(wrong)?;
        let config = folder.0.join("router.json");
        std::fs::write(&config, configuration(stage, seed, sockets).to_string()).map_err(wrong)?;
        let child = Command::new(program)
            .env("NODE_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(folder.0.join("log")).map_err(wrong)?)
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        Ok(Process { child, folder })
    }

    pub(super) fn id(&self) -> u32 {
        self.child.id()
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.0.join("log")).unwrap_or_default()
    }

    pub(super) fn heard_clients(&self) -> bool {
        self.log().contains("clients are heard")
    }

    pub(super) fn address(&self) -> Option<SocketAddr> {
        let log = self.log();
        let line = log.lines().find(|l| l.contains("serves on "))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// An error if it has ended by itself.
    pub(super) fn alive(&mut self) -> Result<(), String> {
        match self.child.try_wait() {
            Ok(None) => Ok(()),
            other => Err(format!(
                "the router ended ({other:?}): {}",
                self.log().lines().last().unwrap_or("no log")
            )),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
