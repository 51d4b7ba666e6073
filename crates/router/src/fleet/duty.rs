//! A thread for one duty, joined to the router's loop by two rings of one producer and one consumer each. Neither side ever
//! waits for the other.

use rtrb::{Consumer, Producer, RingBuffer};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, OnceLock};
use std::time::Instant;

/// How a thread came to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It had nothing more to do.
    Done,
    Failed(String),
    Panicked,
}

/// When the thread was last seen at work, in milliseconds since its start.
#[derive(Clone)]
pub struct Beat {
    since: Instant,
    at: Arc<AtomicU64>,
}

impl Beat {
    fn new() -> Beat {
        Beat { since: Instant::now(), at: Arc::default() }
    }

    pub fn beat(&self) {
        self.at.store(self.since.elapsed().as_millis() as u64, Relaxed);
    }

    /// Milliseconds since the last one.
    pub fn age(&self) -> u64 {
        (self.since.elapsed().as_millis() as u64).saturating_sub(self.at.load(Relaxed))
    }
}

/// The thread's ends.
pub struct Inside<Told, Order> {
    pub told: Producer<Told>,
    /// Abandoned: the loop has ended.
    pub orders: Consumer<Order>,
    pub beat: Beat,
}

/// The loop's ends.
pub struct Outside<Told, Order> {
    told: Consumer<Told>,
    orders: Producer<Order>,
    pub beat: Beat,
    ended: Arc<OnceLock<Ended>>,
}

impl<Told: Send + 'static, Order: Send + 'static> Outside<Told, Order> {
    /// Starts the thread. `wake` is called on it once more after it has ended, however it did.
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

    /// The next thing that the thread told.
    pub fn next(&mut self) -> Option<Told> {
        self.told.pop().ok()
    }

    /// False: the ring is full.
    pub fn order(&mut self, order: Order) -> bool {
        self.orders.push(order).is_ok()
    }

    /// How the thread ended, if it has. What it told before is still to be read.
    pub fn ended(&self) -> Option<&Ended> {
        self.ended.get()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;
    use std::sync::mpsc::channel;
    use std::time::Duration;

    #[rstest]
    #[case::done(|| Ok(()), Ended::Done)]
    #[case::failed(|| Err("no".to_owned()), Ended::Failed("no".into()))]
    #[case::panicked(|| panic!("as planned"), Ended::Panicked)]
    fn the_loop_is_woken_when_the_thread_has_ended(
        #[case] run: fn() -> Result<(), String>,
        #[case] ended: Ended,
    ) {
        let (woken, wake) = channel();
        let start = Outside::<u32, ()>::start(
            "duty",
            (2, 2),
            move || {
                let _ = woken.send(());
            },
            move |inside, _| {
                inside.told.push(7).map_err(|e| e.to_string())?;
                run()
            },
        );
        let mut outside = start.expect("a thread");
        wake.recv_timeout(Duration::from_secs(10)).expect("woken");
        assert_eq!((outside.next(), outside.ended()), (Some(7), Some(&ended)));
    }
}
