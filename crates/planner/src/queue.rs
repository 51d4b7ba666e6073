//! One member as a queue: several classes of commands, several cores, one line, service times of any scatter.
//!
//! Waiting follows Allen and Cunneen's approximation: the mean wait of M/M/c times half the sum of the squared variations
//! of arrivals and service. The tail of the wait is taken as exponential, which holds for M/M/c and, beyond the mean,
//! well enough for service times that are not much more scattered than that.

/// Commands of one kind at a station.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// A second.
    pub rate: f64,
    /// Seconds on one of its cores.
    pub service: f64,
    /// Variance of the service over its squared mean.
    pub scatter: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Station {
    pub cores: usize,
    pub classes: Vec<Class>,
    /// Squared variation of the gaps between arrivals: 1 for Poisson.
    pub gaps: f64,
}

/// The chance that all `cores` are busy under `load` erlangs (Erlang's C).
fn erlang_c(cores: usize, load: f64) -> f64 {
    if load >= cores as f64 {
        return 1.0;
    }
    // Erlang's B, core by core, stays finite for any number of cores.
    let mut b = 1.0;
    for n in 1..=cores {
        b = load * b / (n as f64 + load * b);
    }
    let use_of = load / cores as f64;
    b / (1.0 - use_of * (1.0 - b))
}

impl Station {
    fn rate(&self) -> f64 {
        self.classes.iter().map(|c| c.rate).sum()
    }

    /// Cores that are busy in the mean, if there were enough of them.
    fn busy(&self) -> f64 {
        self.classes.iter().map(|c| c.rate * c.service).sum()
    }

    /// Part of the cores that is busy. At 1 and above the line grows for ever.
    pub fn usage(&self) -> f64 {
        self.busy() / self.cores.max(1) as f64
    }

    /// Mean and squared variation of the service of all classes together.
    fn service(&self) -> (f64, f64) {
        let rate = self.rate().max(1e-12);
        let mean = self.busy() / rate;
        let square: f64 =
            self.classes.iter().map(|c| c.rate * c.service * c.service * (1.0 + c.scatter)).sum();
        (mean, (square / rate / (mean * mean).max(1e-24) - 1.0).max(0.0))
    }

    /// The chance to wait at all, and the mean wait in seconds.
    pub fn wait(&self) -> (f64, f64) {
        let usage = self.usage();
        if usage >= 1.0 {
            return (1.0, f64::INFINITY);
        }
        let (mean, scatter) = self.service();
        let waits = erlang_c(self.cores, self.busy());
        (waits, waits * mean / (self.cores as f64 * (1.0 - usage)) * (self.gaps + scatter) / 2.0)
    }

    /// The chance that a command of this class takes longer than `limit` seconds, waiting and service together. Service
    /// times count as log-normal.
    pub fn later_than(&self, class: &Class, limit: f64) -> f64 {
        let (waits, mean) = self.wait();
        if mean.is_infinite() {
            return 1.0;
        }
        let sigma = (1.0 + class.scatter).ln().sqrt();
        let middle = class.service * (-sigma * sigma / 2.0).exp();
        let tail = if waits > 0.0 { mean / waits } else { 0.0 };
        // Over even parts of the service's distribution.
        const PARTS: usize = 400;
        let late = |i: usize| {
            let z = normal((i as f64 + 0.5) / PARTS as f64);
            let left = limit - middle * (sigma * z).exp();
            match left {
                left if left <= 0.0 => 1.0,
                _ if tail <= 0.0 => 0.0,
                left => waits * (-left / tail).exp(),
            }
        };
        (0..PARTS).map(late).sum::<f64>() / PARTS as f64
    }

    /// The mean time of a command of this class, waiting and service together, in seconds.
    pub fn mean_time(&self, class: &Class) -> f64 {
        self.wait().1 + class.service
    }

    /// The chance that a command finds `room` others in line before it (and none goes in).
    pub fn overflows(&self, room: usize) -> f64 {
        let usage = self.usage();
        if usage >= 1.0 {
            return 1.0 - 1.0 / usage;
        }
        let (waits, mean) = self.wait();
        // The line in the mean, by Little, and geometric beyond the chance to wait.
        let line = self.rate() * mean;
        if waits <= 0.0 || line <= 0.0 {
            return 0.0;
        }
        let ratio = 1.0 - 1.0 / (1.0 + line / waits);
        waits * ratio.powi(room.min(i32::MAX as usize) as i32)
    }
}

/// The value that a standard normal one stays under in this part of all cases.
pub(crate) fn normal(part: f64) -> f64 {
    use statrs::distribution::{ContinuousCDF, Normal};
    Normal::new(0.0, 1.0).map_or(0.0, |n| n.inverse_cdf(part))
}
