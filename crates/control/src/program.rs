//! The program: signals on the first thread, the machine on its own.

mod file;
mod host;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use file::Control;
pub use host::{Check, check};
use host::{Host, Order};
use std::path::Path;
use std::process::ExitCode;
use std::sync::mpsc::channel;
use std::time::Duration;

const USE: &str = "expected one operator file: vetchkeel-control FILE.hcl (see deploy/control.hcl)";
/// How often the signals' loop looks whether the machine still runs.
const LOOK: Duration = Duration::from_millis(200);

fn order_of(signal: Signal) -> Order {
    match signal {
        Signal::SIGHUP => Order::Publish,
        Signal::SIGUSR1 => Order::Print,
        _ => Order::End,
    }
}

fn run(check: Check) -> Result<(), String> {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    let [path] = &arguments[..] else { return Err(USE.into()) };
    let control: Control = file::read(Path::new(path))?;
    // Before any thread is there: signals are kept from each.
    let heeded = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP];
    let signals = Signals::new(&heeded).map_err(|e| e.to_string())?;
    let host = Host::start(control, check)?;
    let (orders, taken) = channel();
    let waker = host.waker();
    let thread = std::thread::Builder::new().name("machine".into()).spawn(move || host.run(&taken));
    let thread = thread.map_err(|e| format!("no thread: {e}"))?;
    let mut event_loop = EventLoop::<()>::try_new().map_err(|e| e.to_string())?;
    let heard = event_loop.handle().insert_source(signals, move |event, _, ()| {
        let _ = orders.send(order_of(event.signal()));
        let _ = waker.wake();
    });
    heard.map_err(|e| e.to_string())?;
    while !thread.is_finished() {
        event_loop.dispatch(Some(LOOK), &mut ()).map_err(|e| format!("the loop failed: {e}"))?;
    }
    thread.join().unwrap_or_else(|_| Err("the machine panicked".into()))
}

/// Until SIGTERM, with this check at the source. Exit code 2 and one line: wrong input.
pub fn program(check: Check) -> ExitCode {
    match run(check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            vetchkeel_log::log_always!("vetchkeel-control: {why}");
            ExitCode::from(2)
        }
    }
}
