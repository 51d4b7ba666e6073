//! The program: the main thread handles signals, and a second thread runs the control machine.

mod file;
mod host;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use file::Control;
pub use host::{Check, check};
use host::{Host, SignalCommand};
use std::path::Path;
use std::process::ExitCode;
use std::sync::mpsc::channel;
use std::time::Duration;

const USAGE: &str = "expected one operator file: vetchkeel-control FILE.hcl (see deploy/control.hcl)";
/// Interval at which the signal loop checks whether the machine's thread still runs.
const THREAD_CHECK_INTERVAL: Duration = Duration::from_millis(200);

fn command_of(signal: Signal) -> SignalCommand {
    match signal {
        Signal::SIGHUP => SignalCommand::Publish,
        Signal::SIGUSR1 => SignalCommand::LogCounters,
        _ => SignalCommand::End,
    }
}

fn run(check: Check) -> Result<(), String> {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    let [path] = &arguments[..] else { return Err(USAGE.into()) };
    let control: Control = file::read(Path::new(path))?;
    // Before any thread starts, so that the signals are blocked in all threads.
    let handled = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP];
    let signals = Signals::new(&handled).map_err(|e| e.to_string())?;
    let host = Host::start(control, check)?;
    let (commands, received) = channel();
    let waker = host.waker();
    let thread = std::thread::Builder::new().name("machine".into()).spawn(move || host.run(&received));
    let thread = thread.map_err(|e| format!("cannot start a thread: {e}"))?;
    let mut event_loop = EventLoop::<()>::try_new().map_err(|e| e.to_string())?;
    let inserted = event_loop.handle().insert_source(signals, move |event, _, ()| {
        let _ = commands.send(command_of(event.signal()));
        let _ = waker.wake();
    });
    inserted.map_err(|e| e.to_string())?;
    while !thread.is_finished() {
        event_loop
            .dispatch(Some(THREAD_CHECK_INTERVAL), &mut ())
            .map_err(|e| format!("the loop failed: {e}"))?;
    }
    thread.join().unwrap_or_else(|_| Err("the machine panicked".into()))
}

/// Runs until SIGTERM or SIGINT, with this check for documents to be published. An error is logged in one line and gives
/// exit code 2.
pub fn program(check: Check) -> ExitCode {
    match run(check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            vetchkeel_log::log_always!("vetchkeel-control: {why}");
            ExitCode::from(2)
        }
    }
}
