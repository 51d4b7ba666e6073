//! A background thread that is connected to the router's event loop by two single-producer, single-consumer rings. Neither
//! side ever blocks on the other.

use rtrb::{Consumer, Producer, RingBuffer};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, OnceLock};
use std::time::Instant;

/// How a thread ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ThreadExit {
    /// Its function returned without an error.
    Done,
    Failed(String),
    Panicked,
}

/// The time of the thread's last heartbeat, in milliseconds since its start.
#[derive(Clone)]
pub struct Heartbeat {
    since: Instant,
    at: Arc<AtomicU64>,
}

impl Heartbeat {
    pub fn new() -> Heartbeat {
        Heartbeat { since: Instant::now(), at: Arc::default() }
    }

    /// Records a heartbeat now.
    pub fn record(&self) {
        self.at.store(self.since.elapsed().as_millis() as u64, Relaxed);
    }

    /// Milliseconds since the start, and since the last heartbeat.
    pub fn ages(&self) -> (u64, u64) {
        let now = self.since.elapsed().as_millis() as u64;
        (now, now.saturating_sub(self.at.load(Relaxed)))
    }
}

/// A change in a thread's health that is to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// There was no heartbeat for this many milliseconds.
    Hung(u64),
    /// Heartbeats have resumed.
    Resumed,
}

/// Detects a hung thread by the age of its last heartbeat.
#[derive(Debug, Default)]
pub struct Watchdog {
    /// Time of the first check that found the heartbeat overdue. Milliseconds.
    overdue_since: Option<u64>,
    hung: bool,
}

impl Watchdog {
    /// Age in milliseconds from which a heartbeat is overdue. The thread sends one every 200 ms.
    pub const OVERDUE_AFTER: u64 = 5_000;
    /// How long in milliseconds the heartbeat has to stay overdue before the thread counts as hung.
    pub const CONFIRM_AFTER: u64 = 1_000;

    pub fn is_hung(&self) -> bool {
        self.hung
    }

    /// Returns the change for a heartbeat of this age. Both are in milliseconds; `now` is from any monotonic clock.
    pub fn check(&mut self, now: u64, age: u64) -> Option<HealthChange> {
        if age < Watchdog::OVERDUE_AFTER {
            self.overdue_since = None;
            return std::mem::take(&mut self.hung).then_some(HealthChange::Resumed);
        }
        // Danger: after the whole process was stopped, the last heartbeat is old. So the thread gets time for a new one
        // before a second check.
        let overdue_since = *self.overdue_since.get_or_insert(now);
        let hung = !self.hung && now.saturating_sub(overdue_since) >= Watchdog::CONFIRM_AFTER;
        self.hung |= hung;
        hung.then_some(HealthChange::Hung(age))
    }
}

/// The thread's ends of the rings.
pub struct ThreadSide<Update, Request> {
    pub updates: Producer<Update>,
    /// Abandoned once the loop has ended.
    pub requests: Consumer<Request>,
    pub heartbeat: Heartbeat,
}

/// The loop's ends of the rings.
pub struct LoopSide<Update, Request> {
    updates: Consumer<Update>,
    requests: Producer<Request>,
    pub heartbeat: Heartbeat,
    ended: Arc<OnceLock<ThreadExit>>,
}

impl<Update: Send + 'static, Request: Send + 'static> LoopSide<Update, Request> {
    /// Starts the thread. `wake` is called on it once more after `run` has returned or panicked.
    pub fn start(
        name: &str,
        (updates, requests): (usize, usize),
        wake: impl Fn() + Send + 'static,
        run: impl FnOnce(&mut ThreadSide<Update, Request>, &dyn Fn()) -> Result<(), String> + Send + 'static,
    ) -> std::io::Result<LoopSide<Update, Request>> {
        let (update_sender, updates) = RingBuffer::new(updates);
        let (request_sender, requests) = RingBuffer::new(requests);
        let (heartbeat, ended) = (Heartbeat::new(), Arc::new(OnceLock::new()));
        let (exit, mut thread_side) =
            (ended.clone(), ThreadSide { updates: update_sender, requests, heartbeat: heartbeat.clone() });
        std::thread::Builder::new().name(name.to_owned()).spawn(move || {
            let end = match catch_unwind(AssertUnwindSafe(|| run(&mut thread_side, &wake))) {
                Ok(Ok(())) => ThreadExit::Done,
                Ok(Err(why)) => ThreadExit::Failed(why),
                Err(_) => ThreadExit::Panicked,
            };
            let _ = exit.set(end);
            wake();
        })?;
        Ok(LoopSide { updates, requests: request_sender, heartbeat, ended })
    }

    /// The next update from the thread.
    pub fn next(&mut self) -> Option<Update> {
        self.updates.pop().ok()
    }

    /// Sends a request to the thread. Returns false if the ring is full.
    pub fn send(&mut self, request: Request) -> bool {
        self.requests.push(request).is_ok()
    }

    /// How the thread ended, if it has. Updates that it sent before may still be unread.
    pub fn ended(&self) -> Option<&ThreadExit> {
        self.ended.get()
    }
}

#[cfg(test)]
mod tests;
