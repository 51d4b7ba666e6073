//! What the process does on a signal: SIGTERM and SIGINT stop it, SIGHUP reads the configuration again, SIGUSR1 prints
//! the counters.

use crate::deadlines::Due;
use crate::stopping::StopSchedule;
use crate::{Program, longest_client_timeout, startup};
use calloop::generic::Generic;
use calloop::{Interest, Mode};
use nix::sys::signal::{SigSet, Signal};
use nix::sys::signalfd::{SfdFlags, SignalFd};
use vetchkeel::SettingValues;
use vetchkeel_log::log;

/// The signals that the process handles.
const HANDLED: [Signal; 4] = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP];

/// Blocks the signals that the process handles, so that they wait until the event loop reads them.
pub fn block() -> nix::Result<Generic<SignalFd>> {
    let mut signals = SigSet::empty();
    HANDLED.into_iter().for_each(|signal| signals.add(signal));
    signals.thread_block()?;
    let descriptor = SignalFd::with_flags(&signals, SfdFlags::SFD_NONBLOCK | SfdFlags::SFD_CLOEXEC)?;
    // Signals that are left for the next round are reported again.
    Ok(Generic::new(descriptor, Interest::READ, Mode::Level))
}

/// The signals that wait to be handled, each kind once at most. Danger: with signals at full speed another one waits as soon
/// as one is read, and a loop until none is left would never end.
fn waiting_signals(descriptor: &SignalFd) -> Vec<Signal> {
    let next = |_| {
        let info = descriptor.read_signal().ok().flatten()?;
        Signal::try_from(info.ssi_signo as i32).ok()
    };
    let mut waiting: Vec<Signal> = (0..HANDLED.len()).map_while(next).collect();
    waiting.sort();
    waiting.dedup();
    waiting
}

impl Program {
    /// Handles the signals that wait.
    pub fn signal_event(&mut self, descriptor: &SignalFd) {
        self.polls.count_event();
        waiting_signals(descriptor).into_iter().for_each(|signal| self.on_signal(signal));
    }

    fn on_signal(&mut self, signal: Signal) {
        self.read_clock();
        match signal {
            Signal::SIGUSR1 => self.print_counters(),
            Signal::SIGHUP => self.reload(),
            _ if self.stopping.is_some() => {}
            _ => {
                log!("stopping: {} commands open", self.open_commands());
                self.fleet.leave();
                let schedule = StopSchedule::new(self.polls.reported(self.now), self.longest_client_timeout);
                self.deadlines.set(Due::Stop, schedule.stop_accepting_at);
                self.deadlines.set(Due::FinalAnswers, schedule.final_answers_at);
                self.deadlines.set(Due::End, schedule.exit_at);
                self.stopping = Some(schedule);
            }
        }
    }

    /// Reads the configuration again. An invalid one changes nothing.
    fn reload(&mut self) {
        let start = match startup::read() {
            Ok(start) => start,
            Err(why) => return log!("reload: the configuration stays as it is: {why}"),
        };
        if self.configuration.is_held_by_control_machines() {
            log!(
                "reload: the settings come from the control machines; those of the file apply only until a control machine is reached"
            );
        } else if start.settings != self.settings {
            match self.apply_settings(start.settings) {
                Ok(()) => log!("reload: the settings have changed and are in force"),
                Err(why) => return log!("reload: the configuration stays as it is: {why}"),
            }
        }
        self.counters.reloads += 1;
        for (name, _) in
            start.startup_only.iter().filter(|(name, value)| self.startup_only.get(*name) != Some(*value))
        {
            log!("reload: '{name}' has changed, which takes effect at the next start");
        }
        self.change_discovery_address(start.discovery);
    }

    /// Applies new settings from now on, all of them or none; called between two rounds of the event loop. The error is
    /// one line that names what was expected. Open commands keep the settings with which they arrived.
    pub fn apply_settings(&mut self, settings: SettingValues) -> Result<(), String> {
        vetchkeel_settings::check_client_names(&settings)?;
        let refused = |why| format!("expected settings that a router can serve under: {why}");
        self.commands.reconfigure(&settings).map_err(refused)?;
        self.nodes.reconfigure(&settings);
        self.invariants.reconfigure(&settings);
        self.longest_client_timeout = longest_client_timeout(&settings);
        self.settings = settings;
        Ok(())
    }

    pub fn print_counters(&mut self) {
        self.counters.open = self.open_commands();
        self.check_memory();
        vetchkeel_log::log_always!("{}", self.counters);
        vetchkeel_log::log_always!("counters violations: {}", self.invariants.violations);
        vetchkeel_log::log_always!("counters memory: {}", self.memory);
        vetchkeel_log::log_always!("counters standstills: {}", self.polls);
        let (postponed, waiting) = self.clients.turn_counts();
        vetchkeel_log::log_always!("counters turns: postponed={postponed} waiting={waiting}");
        self.fleet.print();
        self.configuration.print();
    }
}
