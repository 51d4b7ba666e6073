//! The settings that control machines hold for all routers. A separate thread receives them, and the event loop applies
//! each version between two turns, completely or not at all.

mod file;
mod host;

use super::worker::{HealthChange, LoopSide, ThreadExit, Watchdog};
use crate::Program;
use calloop::LoopHandle;
use calloop::ping::make_ping;
use calloop::timer::{TimeoutAction, Timer};
use host::{ApplyResult, Host, Status, Update};
use std::path::Path;
use std::time::Duration;
use vetchkeel::SettingValues;
use vetchkeel_configuration::{Name, Version};
use vetchkeel_link::Waker;
use vetchkeel_log::log;

/// Maximum updates queued for the loop, and maximum results queued for the thread. Only one version is applied at a time.
const MAX_UPDATES: usize = 16;
const MAX_RESULTS: usize = 4;
/// How often the loop checks the thread's heartbeat.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

struct ConfigurationThread {
    loop_side: LoopSide<Update, ApplyResult>,
    waker: Waker,
    watchdog: Watchdog,
    exited: bool,
}

/// The control machines' settings. Without an operator file only the settings of the router's own file apply.
#[derive(Default)]
pub struct Configuration {
    thread: Option<ConfigurationThread>,
    serving: bool,
    in_force: Option<Version>,
    status: Status,
    applied: u64,
    hung: u64,
}

impl Configuration {
    /// Enables the control machines' settings if VETCHKEEL_CONFIGURATION names an operator file. An invalid file is an error,
    /// and so is an address that cannot be bound: this router would serve under settings that no control machine knows of.
    pub fn open(
        name: &str,
        seed: u64,
        handle: &LoopHandle<'static, Program>,
    ) -> Result<Configuration, String> {
        let Some(path) = std::env::var_os("VETCHKEEL_CONFIGURATION") else {
            return Ok(Configuration { serving: true, ..Configuration::default() });
        };
        let settings = file::read(Path::new(&path))?;
        let name = Name::new(name).map_err(|why| format!("the router's name: {why}"))?;
        let host = Host::bind(name, settings, seed)?;
        Ok(Configuration {
            thread: Some(ConfigurationThread::start(host, handle)?),
            ..Configuration::default()
        })
    }

    /// Whether control machines hold the settings.
    pub fn is_held_by_control_machines(&self) -> bool {
        self.thread.is_some()
    }

    /// Whether clients may be served. Danger: with settings older than those that it had received before its start, a router
    /// would serve by rules that the fleet no longer uses.
    pub fn may_serve(&self) -> bool {
        self.serving
    }

    /// Logs the end of the thread. Exits the process if clients were not accepted yet.
    fn thread_ended(&mut self, why: &str) {
        log!("configuration: the thread has ended: {why}; the settings in force stay until the next start");
        if !self.serving {
            // No client was accepted yet, and without the thread none ever would be.
            vetchkeel_log::log_always!(
                "vetchkeel-router: expected to reach a control machine, or to find saved settings: {why}"
            );
            std::process::exit(2);
        }
    }

    pub fn print(&self) {
        let Some(thread) = &self.thread else { return };
        let Status { holds, machine, silent_since, refused, why, save_failures } = &self.status;
        let none = || "none".to_owned();
        vetchkeel_log::log_always!(
            "counters configuration: works={} serves={} in_force={} told={holds} machine={} silent_since_ms={} \
             applied={} refused={refused} unkept={save_failures} hung={}",
            u8::from(!thread.exited && !thread.watchdog.is_hung()),
            u8::from(self.serving),
            self.in_force.map_or_else(none, |v| v.to_string()),
            machine.as_ref().map_or_else(none, ToString::to_string),
            silent_since.map_or_else(none, |at| (at / 10).to_string()),
            self.applied,
            self.hung
        );
        if *refused > 0 {
            vetchkeel_log::log_always!("configuration: last refused: {why}");
        }
    }
}

impl Program {
    /// Processes the thread's updates and checks whether it still runs. Never blocks.
    fn poll_configuration(&mut self) {
        let Some(mut thread) = self.configuration.thread.take() else { return };
        // Danger: this is checked before the ring is read. Otherwise the last updates of a thread that ends after the ring
        // was read would be lost.
        let ended = thread.loop_side.ended().cloned();
        for _ in 0..MAX_UPDATES {
            match thread.loop_side.next() {
                None => break,
                Some(Update::Status(status)) => self.configuration.status = status,
                Some(Update::Serve) => {
                    self.configuration.serving = true;
                    self.accept();
                }
                Some(Update::Apply(version, settings)) => {
                    let result = self.apply_version(version, settings);
                    if !thread.loop_side.send((version, result)) {
                        log!("configuration: the thread's result queue is full");
                    }
                    let _ = thread.waker.wake();
                }
            }
        }
        match ended {
            None => thread.check(&mut self.configuration.hung),
            Some(_) if thread.exited => {}
            Some(ended) => {
                thread.exited = true;
                match ended {
                    ThreadExit::Done => self.configuration.thread_ended("it finished unexpectedly"),
                    ThreadExit::Failed(why) => self.configuration.thread_ended(&why),
                    ThreadExit::Panicked => self.configuration.thread_ended("it panicked"),
                }
            }
        }
        self.configuration.thread = Some(thread);
    }

    fn apply_version(&mut self, version: Version, settings: SettingValues) -> Result<(), String> {
        let count = settings.len();
        // Until a version is published, only the file's own settings apply.
        if !settings.is_empty() {
            self.apply_settings(settings)?;
        }
        log!("configuration: version {version} is in force, {count} names");
        self.configuration.in_force = Some(version);
        self.configuration.applied += 1;
        Ok(())
    }
}

impl ConfigurationThread {
    fn start(host: Host, handle: &LoopHandle<'static, Program>) -> Result<ConfigurationThread, String> {
        let (ping, ping_source) =
            make_ping().map_err(|e| format!("cannot create a wake-up for the event loop: {e}"))?;
        let poll = |program: &mut Program| {
            program.guarded("the configuration", Program::poll_configuration, |_| {});
        };
        let source = handle.insert_source(ping_source, move |(), (), program| poll(program));
        source.map_err(|e| e.to_string())?;
        let timer = handle.insert_source(Timer::from_duration(CHECK_INTERVAL), move |_, _, program| {
            poll(program);
            TimeoutAction::ToDuration(CHECK_INTERVAL)
        });
        timer.map_err(|e| e.to_string())?;
        let waker = host.waker();
        let loop_side = LoopSide::start(
            "configuration",
            (MAX_UPDATES, MAX_RESULTS),
            move || ping.ping(),
            move |thread_side, wake| host.run(thread_side, wake),
        );
        let loop_side = loop_side.map_err(|e| format!("cannot start a thread: {e}"))?;
        Ok(ConfigurationThread { loop_side, waker, watchdog: Watchdog::default(), exited: false })
    }

    /// Checks the thread's heartbeat and logs a change.
    fn check(&mut self, count: &mut u64) {
        let (now, age) = self.loop_side.heartbeat.ages();
        match self.watchdog.check(now, age) {
            None => {}
            Some(HealthChange::Resumed) => log!("configuration: the thread responds again"),
            Some(HealthChange::Hung(age)) => {
                *count += 1;
                log!("configuration: the thread has not responded for {age} ms; the settings in force stay");
            }
        }
    }
}
