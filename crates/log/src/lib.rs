//! The log: lines on the standard error stream, which never hold up the loop and never fail. Each place that logs may
//! write a few lines a second; what was left out is counted and said with its next line. What the stream doesn't take
//! at once is lost, and counted too. A line ends with its time by this machine's wall clock, in UTC: that clock may be
//! wrong, and whoever sorts or groups lines does so by their beginning.

use std::fmt::Arguments;
use std::io::{ErrorKind, Write, stderr};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Enough to see what happens; no service depends on it.
pub const LINES_A_SECOND: u32 = 5;
/// What a pipe that says it has room takes whole (`PIPE_BUF`). Longer lines are cut.
const LONGEST: usize = 4_096;
/// So often a look at the stream is made again that a signal ended.
const LOOKS_MOST: usize = 8;
/// The first second that has no date of four digits for its year.
const YEAR_10000: Duration = Duration::from_secs(253_402_300_800);

static START: LazyLock<Instant> = LazyLock::new(Instant::now);
/// Lines lost since the last one that was written.
static LOST: AtomicU64 = AtomicU64::new(0);

/// What one place has written in the current second.
pub struct Gate {
    most: u32,
    second: AtomicU64,
    lines: AtomicU32,
}

impl Gate {
    /// Lets so many lines a second through.
    pub const fn new(most: u32) -> Gate {
        Gate { most, second: AtomicU64::new(u64::MAX), lines: AtomicU32::new(0) }
    }

    /// How many lines were left out before this one, or None if this one is left out too.
    pub fn open(&self) -> Option<u32> {
        if is_lifted() {
            return Some(0);
        }
        self.open_in(START.elapsed().as_secs())
    }

    fn open_in(&self, second: u64) -> Option<u32> {
        if self.second.swap(second, Relaxed) != second {
            return Some(self.lines.swap(1, Relaxed).saturating_sub(self.most));
        }
        (self.lines.fetch_add(1, Relaxed) < self.most).then_some(0)
    }
}

/// Whether the limits are lifted, for whoever traces single commands.
pub fn is_lifted() -> bool {
    static LIFTED: LazyLock<bool> =
        LazyLock::new(|| std::env::var_os("VETCHKEEL_LOG").is_some_and(|v| v == "all"));
    *LIFTED
}

/// Whether the stream takes a line now. Danger: a pipe that nobody reads would hold up the process for ever.
fn takes_a_line() -> bool {
    let mut asked = libc::pollfd { fd: libc::STDERR_FILENO, events: libc::POLLOUT, revents: 0 };
    for _ in 0..LOOKS_MOST {
        // SAFETY: the system reads and writes this one value.
        let answered = unsafe { libc::poll(&mut asked, 1, 0) };
        if answered >= 0 || std::io::Error::last_os_error().kind() != ErrorKind::Interrupted {
            return answered == 1 && asked.revents & libc::POLLOUT != 0;
        }
    }
    false
}

/// Writes a line, or several, as far as the stream takes it at once. Danger: `eprintln` panics where the stream is
/// closed, full or on a full disk.
pub fn write_line(text: Arguments) {
    let lost = LOST.load(Relaxed);
    let mut line = match lost {
        0 => text.to_string(),
        lost => format!("{text} ({lost} lines before this were lost)"),
    };
    if line.len() >= LONGEST {
        line.truncate(line.floor_char_boundary(LONGEST - 1));
    }
    line.push('\n');
    let written = takes_a_line() && stderr().write_all(line.as_bytes()).is_ok();
    LOST.store(if written { 0 } else { lost + 1 }, Relaxed);
}

/// Writes a line with its time behind it.
pub fn write_dated(text: Arguments) {
    write_line(format_args!("{text} at {}", date(SystemTime::now())));
}

/// A time as text. Danger: a wall clock may be stepped to where dates have no text, and a line that panics is none.
fn date(at: SystemTime) -> String {
    match at.duration_since(UNIX_EPOCH) {
        Ok(since) if since < YEAR_10000 => humantime::format_rfc3339_millis(at).to_string(),
        Ok(since) => format!("{} s after 1970", since.as_secs()),
        Err(before) => format!("{} s before 1970", before.duration().as_secs()),
    }
}

/// Panics are logged like all else.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|panic| write_dated(format_args!("{panic}"))));
}

/// A line, of which each place writes a few a second.
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => { $crate::log_up_to!($crate::LINES_A_SECOND, $($part)*) };
}

/// A line of which its place writes up to so many a second.
#[macro_export]
macro_rules! log_up_to {
    ($most:expr, $($part:tt)*) => {{
        static GATE: $crate::Gate = $crate::Gate::new($most);
        match GATE.open() {
            Some(0) => $crate::write_dated(format_args!($($part)*)),
            Some(left_out) => $crate::write_dated(format_args!(
                "{} ({left_out} more like this left out)",
                format_args!($($part)*)
            )),
            None => {}
        }
    }};
}

/// A line for whoever traces single commands; else none.
#[macro_export]
macro_rules! log_trace {
    ($($part:tt)*) => {
        if $crate::is_lifted() {
            $crate::write_dated(format_args!($($part)*));
        }
    };
}

/// Writes whatever one place says, however often, without a time, as scripts read it: counters, where a program serves, and
/// why it ends.
#[macro_export]
macro_rules! log_always {
    ($($part:tt)*) => {
        $crate::write_line(format_args!($($part)*))
    };
}

#[cfg(test)]
mod tests;
