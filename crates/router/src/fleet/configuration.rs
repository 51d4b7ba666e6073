//! The settings that control machines hold for all routers: heard by a thread of its own, put in force by the loop between
//! two turns, whole or not at all.

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

/// Words that wait for the loop, and answers that wait for the thread: one version is put in force at a time.
const WORDS: usize = 16;
const ANSWERS: usize = 4;
/// How often the loop looks whether the thread is at work.
const LOOK: Duration = Duration::from_secs(1);

struct Joined {
    outside: Outside<Word, Answer>,
    waker: Waker,
    watch: Watch,
    over: bool,
}

/// The control machines' settings; those of the file alone where no operator file asks for them.
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
    /// On where VETCHKEEL_CONFIGURATION names an operator file. A wrong file is an error, and so is an address that can't
    /// be had: this router would serve under what nobody knows.
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

    pub fn is_held_elsewhere(&self) -> bool {
        self.joined.is_some()
    }

    /// Danger: under settings older than those that it had been told before its start, a router would serve what the
    /// fleet has left.
    pub fn may_serve(&self) -> bool {
        self.serves
    }

    fn ended(&mut self, why: &str) {
        log!("configuration: the thread has ended: {why}; what is in force stays until the next start");
        if !self.serves {
            // Nobody was let in yet, and nothing would let anybody in.
            vetchkeel_log::log_always!(
                "vetchkeel-router: expected to hear the control machines, or to find what was kept: {why}"
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
    /// Takes in what the thread told, and whether it still works. Never waits.
    fn look_at_configuration(&mut self) {
        let Some(mut joined) = self.configuration.joined.take() else { return };
        // Danger: asked first. A thread that ends after its ring was read would be taken for one with nothing to say.
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
                        log!("configuration: the thread takes no answers");
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
                    Ended::Done => self.configuration.ended("it had nothing more to do"),
                    Ended::Failed(why) => self.configuration.ended(&why),
                    Ended::Panicked => self.configuration.ended("it panicked"),
                }
            }
        }
        self.configuration.joined = Some(joined);
    }

    fn take_version(&mut self, version: Version, told: Told) -> Result<(), String> {
        let count = told.len();
        // Before anything was published there is nothing to serve under but the file's own settings.
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
        let (ping, pinged) = make_ping().map_err(|e| format!("no way to wake the loop: {e}"))?;
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
        let outside = outside.map_err(|e| format!("no thread: {e}"))?;
        Ok(Joined { outside, waker, watch: Watch::default(), over: false })
    }

    /// Whether the thread is at work.
    fn look(&mut self, count: &mut u64) {
        let (now, age) = self.outside.beat.ages();
        match self.watch.look(now, age) {
            None => {}
            Some(Pulse::Back) => log!("configuration: the thread works again"),
            Some(Pulse::Hung(age)) => {
                *count += 1;
                log!("configuration: the thread has not worked for {age} ms; what is in force stays");
            }
        }
    }
}
