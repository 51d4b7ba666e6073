//! When the input at hand arrived, as far as the polls of the event loop tell. A poll reports all input that has arrived
//! by then, so input that it did not report arrived after it began. Any amount of time may have passed since: the
//! process may stand still (SIGSTOP, a paused machine, a busy one) before it handles what a poll reports.

use std::fmt;
use vetchkeel::Tenths;

/// The longest sleep in one poll. It bounds the time between two polls of an undisturbed event loop, so that a longer
/// time shows a standstill.
pub const MAX_SLEEP: Tenths = 800;
/// A poll that took longer is followed by another one at once.
const MAX_POLL_AGE: Tenths = 500;
/// The work of an undisturbed event loop between two polls.
const MAX_WORK: Tenths = 200;
/// A range of this width or less is what an undisturbed event loop shows. The operators' documentation allows the same
/// time between reading the clock and writing.
pub const MAX_UNDISTURBED: Tenths = MAX_SLEEP + MAX_POLL_AGE + MAX_WORK;
/// A longer time between two polls is counted and logged as a standstill.
const MIN_STANDSTILL: Tenths = 2_000;
/// A poll that reports this many events may have left others for the next one. It reports 1,024 at most, those of the
/// event loop itself among them.
const MAX_EVENTS: usize = 1_000;

/// The time at which something happened, known to within a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeRange {
    pub earliest: Tenths,
    pub latest: Tenths,
}

impl TimeRange {
    pub fn new(earliest: Tenths, latest: Tenths) -> TimeRange {
        TimeRange { earliest: earliest.min(latest), latest }
    }

    /// The time from which a limit counts that must not be exceeded: the earliest possible one after a standstill.
    /// Without a standstill it is the latest one, as a sleep in the poll ends when something happens.
    pub fn limit_start(self) -> Tenths {
        if self.latest - self.earliest > MAX_UNDISTURBED { self.earliest } else { self.latest }
    }
}

/// A long time between two polls, and how much of it the process ran. A process that ran was busy with a round; one that did
/// not was stopped, or had no processor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standstill {
    pub length: Tenths,
    pub ran: Tenths,
}

/// The processor time of this thread so far; 0 if the system does not tell.
pub fn processor_time() -> Tenths {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the system writes one value.
    let failed = unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut time) } != 0;
    if failed { 0 } else { time.tv_sec as Tenths * 10_000 + time.tv_nsec as Tenths / 100_000 }
}

/// The polls of the event loop so far.
#[derive(Debug)]
pub struct Polls {
    /// When the last poll began, or when its sleep ended if that was without an event.
    began: Tenths,
    /// All input that arrived before this time has been reported by a poll that is completely handled.
    handled_until: Tenths,
    /// All input that may forbid a write, if it arrived before this time, has been read.
    checked_until: Tenths,
    /// Events that the last poll has reported so far.
    events: usize,
    /// The processor time when the last poll began.
    ran_until: Tenths,
    /// Standstills so far, the longest one, and those of which the process ran for more than half.
    standstills: u64,
    longest_standstill: Tenths,
    busy: u64,
}

impl Polls {
    /// Nothing that is reported later happened before `now`.
    pub fn new(now: Tenths) -> Polls {
        Polls {
            began: now,
            handled_until: now,
            checked_until: now,
            events: 0,
            ran_until: 0,
            standstills: 0,
            longest_standstill: 0,
            busy: 0,
        }
    }

    /// A poll begins; everything that the last one reported is handled. `processor_time` is that of the thread so far.
    /// Returns how long the event loop stood still since the last poll, if it did.
    pub fn begin(&mut self, now: Tenths, processor_time: Tenths) -> Option<Standstill> {
        let since_last = now - self.began;
        let ran = processor_time - std::mem::replace(&mut self.ran_until, processor_time);
        if self.events < MAX_EVENTS {
            self.handled_until = self.began;
        }
        (self.began, self.checked_until, self.events) = (now, now, 0);
        if since_last <= MIN_STANDSTILL {
            return None;
        }
        self.standstills += 1;
        self.busy += u64::from(2 * ran > since_last);
        self.longest_standstill = self.longest_standstill.max(since_last);
        Some(Standstill { length: since_last, ran })
    }

    /// The last poll has reported an event.
    pub fn count_event(&mut self) {
        self.events += 1;
    }

    /// The last poll has returned, and its sleep was to end at `until`. If it ended then, without an event, nothing had
    /// arrived by then.
    pub fn end(&mut self, until: Tenths, now: Tenths) {
        if self.events == 0 && (until..=until + MAX_WORK).contains(&now) {
            (self.began, self.checked_until) = (until, until);
        }
    }

    /// All input that may forbid a write is being read, without a poll.
    pub fn check_input(&mut self, now: Tenths) {
        self.checked_until = now;
    }

    /// Whether input that forbids a write may have arrived too long ago. The operators' documentation allows 100 ms from
    /// a cancel request, or from an answer, to an attempt that it forbids.
    pub fn is_stale(&self, now: Tenths) -> bool {
        now - self.checked_until > MAX_POLL_AGE
    }

    /// Whether the last poll began long ago.
    pub fn is_long_ago(&self, now: Tenths) -> bool {
        now - self.began > MAX_POLL_AGE
    }

    /// The last poll has failed: events that it should have reported may be lost.
    pub fn fail(&mut self) {
        self.events = MAX_EVENTS;
    }

    /// All input that arrived before this time has been reported and handled.
    pub fn handled_until(&self) -> Tenths {
        self.handled_until
    }

    /// When something happened that the last poll has reported.
    pub fn reported(&self, now: Tenths) -> TimeRange {
        TimeRange::new(self.handled_until, now)
    }
}

impl fmt::Display for Polls {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "count={} longest_ms={} busy={}", self.standstills, self.longest_standstill / 10, self.busy)
    }
}

#[cfg(test)]
mod tests;
