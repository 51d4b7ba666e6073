//! The log: lines on standard error. Logging never blocks the event loop and never fails. Each log statement is
//! limited to a few lines a second; the number of suppressed lines is added to its next line. Lines that the stream
//! does not accept at once are lost, and counted too. A line ends with its time by this machine's wall clock, in UTC:
//! that clock may be wrong, so the time comes last and lines are sorted and grouped by their beginning.

use std::fmt::Arguments;
use std::io::{ErrorKind, Write, stderr};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The limit for each log statement. Enough to see what happens; no service depends on it.
pub const LINES_PER_SECOND: u32 = 5;
/// The size of a write that a writable pipe accepts atomically (`PIPE_BUF`). Longer lines are truncated.
const MAX_LINE_BYTES: usize = 4_096;
/// The maximum number of `poll` calls when signals interrupt them.
const MAX_POLLS: usize = 8;
/// The first second whose year has more than four digits.
const YEAR_10000: Duration = Duration::from_secs(253_402_300_800);

static START: LazyLock<Instant> = LazyLock::new(Instant::now);
/// The number of lines lost since the last line that was written.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// A rate limiter for one log statement: counts its lines in the current second.
pub struct RateLimiter {
    limit: u32,
    second: AtomicU64,
    lines: AtomicU32,
}

impl RateLimiter {
    /// A limiter that admits `limit` lines a second.
    pub const fn new(limit: u32) -> RateLimiter {
        RateLimiter { limit, second: AtomicU64::new(u64::MAX), lines: AtomicU32::new(0) }
    }

    /// The number of lines suppressed before this one, or None if this one is suppressed too.
    pub fn admit(&self) -> Option<u32> {
        if limits_disabled() {
            return Some(0);
        }
        self.admit_in(START.elapsed().as_secs())
    }

    fn admit_in(&self, second: u64) -> Option<u32> {
        if self.second.swap(second, Relaxed) != second {
            return Some(self.lines.swap(1, Relaxed).saturating_sub(self.limit));
        }
        (self.lines.fetch_add(1, Relaxed) < self.limit).then_some(0)
    }
}

/// Whether `VETCHKEEL_LOG=all` disables the rate limits, to trace single commands.
pub fn limits_disabled() -> bool {
    static DISABLED: LazyLock<bool> =
        LazyLock::new(|| std::env::var_os("VETCHKEEL_LOG").is_some_and(|v| v == "all"));
    *DISABLED
}

/// Whether the stream accepts a line now. Without this check, a pipe that nobody reads would block the process forever.
fn accepts_line() -> bool {
    let mut poll_fd = libc::pollfd { fd: libc::STDERR_FILENO, events: libc::POLLOUT, revents: 0 };
    for _ in 0..MAX_POLLS {
        // SAFETY: the pointer refers to one valid `pollfd`, which matches the count of 1.
        let ready = unsafe { libc::poll(&mut poll_fd, 1, 0) };
        if ready >= 0 || std::io::Error::last_os_error().kind() != ErrorKind::Interrupted {
            return ready == 1 && poll_fd.revents & libc::POLLOUT != 0;
        }
    }
    false
}

/// Writes one or more lines if the stream accepts them at once. `eprintln` is not used because it panics if the stream
/// is closed, full or on a full disk.
pub fn write_line(text: Arguments) {
    let lost = LOST_LINES.load(Relaxed);
    let mut line = match lost {
        0 => text.to_string(),
        lost => format!("{text} ({lost} preceding lines were lost)"),
    };
    if line.len() >= MAX_LINE_BYTES {
        line.truncate(line.floor_char_boundary(MAX_LINE_BYTES - 1));
    }
    line.push('\n');
    let written = accepts_line() && stderr().write_all(line.as_bytes()).is_ok();
    LOST_LINES.store(if written { 0 } else { lost + 1 }, Relaxed);
}

/// Writes a line followed by its time.
pub fn write_with_time(text: Arguments) {
    write_line(format_args!("{text} at {}", format_time(SystemTime::now())));
}

/// Formats a time. A wall clock may be set to a time that has no date text, and formatting must not panic then.
fn format_time(at: SystemTime) -> String {
    match at.duration_since(UNIX_EPOCH) {
        Ok(since) if since < YEAR_10000 => humantime::format_rfc3339_millis(at).to_string(),
        Ok(since) => format!("{} s after 1970", since.as_secs()),
        Err(before) => format!("{} s before 1970", before.duration().as_secs()),
    }
}

/// Installs a panic hook that writes panics to the log.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|panic| write_with_time(format_args!("{panic}"))));
}

/// Logs a line, limited to `LINES_PER_SECOND` for each log statement.
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => { $crate::log_up_to!($crate::LINES_PER_SECOND, $($part)*) };
}

/// Logs a line, limited to `$limit` lines a second for this log statement.
#[macro_export]
macro_rules! log_up_to {
    ($limit:expr, $($part:tt)*) => {{
        static LIMITER: $crate::RateLimiter = $crate::RateLimiter::new($limit);
        match LIMITER.admit() {
            Some(0) => $crate::write_with_time(format_args!($($part)*)),
            Some(suppressed) => $crate::write_with_time(format_args!(
                "{} ({suppressed} similar lines suppressed)",
                format_args!($($part)*)
            )),
            None => {}
        }
    }};
}

/// Logs a line only if the rate limits are disabled, to trace single commands.
#[macro_export]
macro_rules! log_trace {
    ($($part:tt)*) => {
        if $crate::limits_disabled() {
            $crate::write_with_time(format_args!($($part)*));
        }
    };
}

/// Writes a line without limit and without a time, for scripts to read: counters, the address that a program serves on,
/// and why it ends.
#[macro_export]
macro_rules! log_always {
    ($($part:tt)*) => {
        $crate::write_line(format_args!($($part)*))
    };
}

#[cfg(test)]
mod tests;
