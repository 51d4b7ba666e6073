//! The settings that control machines hold for all routers. A separate thread receives them, and the event loop applies
//! each version between two turns, completely or not at all.

mod file;
mod host;

use super::duty::{Ended, Outside, Pulse, Watch};
use crate::Program;
use calloop::LoopHandle;
use calloop::ping::make_ping;
use calloop::timer::{TimeoutAction, Timer};
use host::{Answer, Host, Seen, Word};
use std::path::Path;
use std::time::Duration;
use vetchkeel::Told;
use vetchkeel_configuration::{Name, Version};
use vetchkeel_link::Waker;
use vetchkeel_log::log;

/// Maximum updates queued for the loop, and maximum results queued for the thread. Only one version is applied at a time.
const WORDS: usize = 16;
const ANSWERS: usize = 4;
/// How often the loop checks the thread's heartbeat.
const LOOK: Duration = Duration::from_secs(1);

struct Joined {
    outside: Outside<Word, Answer>,
    waker: Waker,
    watch: Watch,
    over: bool,
}

/// The control machines' settings. Without an operator file only the settings of the router's own file apply.
#[derive(Default)]
pub struct Configuration {
    joined: Option<Joined>,
    serves: bool,
    in_force: Option<Version>,
    seen: Seen,
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
            return Ok(Configuration { serves: true, ..Configuration::default() });
        };
        let held = file::read(Path::new(&path))?;
        let name = Name::new(name).map_err(|why| format!("the router's name: {why}"))?;
        let host = Host::bind(name, held, seed)?;
        Ok(Configuration { joined: Some(Joined::start(host, handle)?), ..Configuration::default() })
    }

    /// Whether control machines hold the settings.
    pub fn is_held_elsewhere(&self) -> bool {
        self.joined.is_some()
    }

    /// Whether clients may be served. Danger: with settings older than those that it had received before its start, a router
    /// would serve by rules that the fleet no longer uses.
    pub fn may_serve(&self) -> bool {
        self.serves
    }

    /// Logs the end of the thread. Exits the process if clients were not accepted yet.
    fn ended(&mut self, why: &str) {
        log!("configuration: the thread has ended: {why}; the settings in force stay until the next start");
        if !self.serves {
            // No client was accepted yet, and without the thread none ever would be.
            vetchkeel_log::log_always!(
                "vetchkeel-router: expected to reach a control machine, or to find saved settings: {why}"
            );
            std::process::exit(2);
        }
    }

    pub fn print(&self) {
        let Some(joined) = &self.joined else { return };
        let Seen { holds, machine, silent_since, refused, why, unkept } = &self.seen;
        let none = || "none".to_owned();
        vetchkeel_log::log_always!(
            "counters configuration: works={} serves={} in_force={} told={holds} machine={} silent_since_ms={} \
             applied={} refused={refused} unkept={unkept} hung={}",
            u8::from(!joined.over && !joined.watch.is_hung()),
            u8::from(self.serves),
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
    fn look_at_configuration(&mut self) {
        let Some(mut joined) = self.configuration.joined.take() else { return };
        // Danger: this is checked before the ring is read. Otherwise the last updates of a thread that ends after the ring
        // was read would be lost.
        let ended = joined.outside.ended().cloned();
        for _ in 0..WORDS {
            match joined.outside.next() {
                None => break,
                Some(Word::Seen(seen)) => self.configuration.seen = seen,
                Some(Word::Serve) => {
                    self.configuration.serves = true;
                    self.accept();
                }
                Some(Word::Apply(version, told)) => {
                    let taken = self.take_version(version, told);
                    if !joined.outside.order((version, taken)) {
                        log!("configuration: the thread's result queue is full");
                    }
                    let _ = joined.waker.wake();
                }
            }
        }
        match ended {
            None => joined.look(&mut self.configuration.hung),
            Some(_) if joined.over => {}
            Some(ended) => {
                joined.over = true;
                match ended {
                    Ended::Done => self.configuration.ended("it finished unexpectedly"),
                    Ended::Failed(why) => self.configuration.ended(&why),
                    Ended::Panicked => self.configuration.ended("it panicked"),
                }
            }
        }
        self.configuration.joined = Some(joined);
    }

    fn take_version(&mut self, version: Version, told: Told) -> Result<(), String> {
        let count = told.len();
        // Until a version is published, only the file's own settings apply.
        if !told.is_empty() {
            self.take_settings(told)?;
        }
        log!("configuration: version {version} is in force, {count} names");
        self.configuration.in_force = Some(version);
        self.configuration.applied += 1;
        Ok(())
    }
}

impl Joined {
    fn start(host: Host, handle: &LoopHandle<'static, Program>) -> Result<Joined, String> {
        let (ping, pinged) = make_ping().map_err(|e| format!("cannot create a wake-up for the event loop: {e}"))?;
        let hear = |program: &mut Program| {
            program.guarded("the configuration", Program::look_at_configuration, |_| {});
        };
        let source = handle.insert_source(pinged, move |(), (), program| hear(program));
        source.map_err(|e| e.to_string())?;
        let timer = handle.insert_source(Timer::from_duration(LOOK), move |_, _, program| {
            hear(program);
            TimeoutAction::ToDuration(LOOK)
        });
        timer.map_err(|e| e.to_string())?;
        let waker = host.waker();
        let outside = Outside::start(
            "configuration",
            (WORDS, ANSWERS),
            move || ping.ping(),
            move |inside, wake| host.run(inside, wake),
        );
        let outside = outside.map_err(|e| format!("cannot start a thread: {e}"))?;
        Ok(Joined { outside, waker, watch: Watch::default(), over: false })
    }

    /// Checks the thread's heartbeat and logs a change.
    fn look(&mut self, count: &mut u64) {
        let (now, age) = self.outside.beat.ages();
        match self.watch.look(now, age) {
            None => {}
            Some(Pulse::Back) => log!("configuration: the thread responds again"),
            Some(Pulse::Hung(age)) => {
                *count += 1;
                log!("configuration: the thread has not responded for {age} ms; the settings in force stay");
            }
        }
    }
}
