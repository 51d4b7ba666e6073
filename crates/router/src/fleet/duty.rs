//! A background thread that is connected to the router's event loop by two single-producer, single-consumer rings. Neither
//! side ever blocks on the other.

use rtrb::{Consumer, Producer, RingBuffer};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, OnceLock};
use std::time::Instant;

/// How a thread ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Its function returned without an error.
    Done,
    Failed(String),
    Panicked,
}

/// The time of the thread's last heartbeat, in milliseconds since its start.
#[derive(Clone)]
pub struct Beat {
    since: Instant,
    at: Arc<AtomicU64>,
}

impl Beat {
    pub fn new() -> Beat {
        Beat { since: Instant::now(), at: Arc::default() }
    }

    /// Records a heartbeat now.
    pub fn beat(&self) {
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
pub enum Pulse {
    /// There was no heartbeat for this many milliseconds.
    Hung(u64),
    /// Heartbeats have resumed.
    Back,
}

/// Detects a hung thread by the age of its last heartbeat.
#[derive(Debug, Default)]
pub struct Watch {
    /// Time of the first check that found the heartbeat overdue. Milliseconds.
    idle: Option<u64>,
    hung: bool,
}

impl Watch {
    /// Age in milliseconds from which a heartbeat is overdue. The thread sends one every 200 ms.
    pub const HUNG: u64 = 5_000;
    /// How long in milliseconds the heartbeat has to stay overdue before the thread counts as hung.
    pub const SECOND_LOOK: u64 = 1_000;

    pub fn is_hung(&self) -> bool {
        self.hung
    }

    /// Returns the change for a heartbeat of this age. Both are in milliseconds; `now` is from any monotonic clock.
    pub fn look(&mut self, now: u64, age: u64) -> Option<Pulse> {
        if age < Watch::HUNG {
            self.idle = None;
            return std::mem::take(&mut self.hung).then_some(Pulse::Back);
        }
        // Danger: after the whole process was stopped, the last heartbeat is old. So the thread gets time for a new one
        // before a second check.
        let idle = *self.idle.get_or_insert(now);
        let hung = !self.hung && now.saturating_sub(idle) >= Watch::SECOND_LOOK;
        self.hung |= hung;
        hung.then_some(Pulse::Hung(age))
    }
}

/// The thread's ends of the rings.
pub struct Inside<Told, Order> {
    pub told: Producer<Told>,
    /// Abandoned once the loop has ended.
    pub orders: Consumer<Order>,
    pub beat: Beat,
}

/// The loop's ends of the rings.
pub struct Outside<Told, Order> {
    told: Consumer<Told>,
    orders: Producer<Order>,
    pub beat: Beat,
    ended: Arc<OnceLock<Ended>>,
}

impl<Told: Send + 'static, Order: Send + 'static> Outside<Told, Order> {
    /// Starts the thread. `wake` is called on it once more after `run` has returned or panicked.
    pub fn start(
        name: &str,
        (told, orders): (usize, usize),
        wake: impl Fn() + Send + 'static,
        run: impl FnOnce(&mut Inside<Told, Order>, &dyn Fn()) -> Result<(), String> + Send + 'static,
    ) -> std::io::Result<Outside<Told, Order>> {
        let (tell, told) = RingBuffer::new(told);
        let (order, orders) = RingBuffer::new(orders);
        let (beat, ended) = (Beat::new(), Arc::new(OnceLock::new()));
        let (last, mut inside) = (ended.clone(), Inside { told: tell, orders, beat: beat.clone() });
        std::thread::Builder::new().name(name.to_owned()).spawn(move || {
            let end = match catch_unwind(AssertUnwindSafe(|| run(&mut inside, &wake))) {
                Ok(Ok(())) => Ended::Done,
                Ok(Err(why)) => Ended::Failed(why),
                Err(_) => Ended::Panicked,
            };
            let _ = last.set(end);
            wake();
        })?;
        Ok(Outside { told, orders: order, beat, ended })
    }

    /// The next update from the thread.
    pub fn next(&mut self) -> Option<Told> {
        self.told.pop().ok()
    }

    /// Sends a request to the thread. Returns false if the ring is full.
    pub fn order(&mut self, order: Order) -> bool {
        self.orders.push(order).is_ok()
    }

    /// How the thread ended, if it has. Updates that it sent before may still be unread.
    pub fn ended(&self) -> Option<&Ended> {
        self.ended.get()
    }
}

#[cfg(test)]
mod tests;
