//! Bounds of the true time, kept by one host.

use crate::agree::agree;
use crate::interval::{Interval, Moment, Reading, Sample, SourceId, Tenths, drift_allowance};
use std::collections::BTreeMap;

/// Assumptions that the operator guarantees. If one of them does not hold, no bound holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assumptions {
    /// Maximum drift of the monotonic clock in parts per million, including slewing of the wall clock.
    pub drift_ppm: i64,
    /// How far the difference between the wall and the monotonic clock may vary merely because the two are not read at
    /// the same instant. A larger change is a clock step or a sleep.
    pub step_tolerance: Tenths,
    /// Maximum number of sources that may be faulty at once.
    pub max_faulty: usize,
    /// Maximum number of sources; samples of further ones are rejected.
    pub max_sources: usize,
    /// A source without a sample for this long is dropped. Also the longest round trip accepted.
    pub max_age: Tenths,
    /// An interval wider than this is treated as unbounded.
    pub max_width: Tenths,
}

/// Events for the host to log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClockEvent {
    /// The wall clock jumped ahead of the monotonic clock: it was set, or the machine slept. Treated as sleep.
    SteppedForward { by: Tenths },
    /// The wall clock was set back.
    SteppedBack { by: Tenths },
    /// A monotonic reading was lower than an earlier one, which is a fault of the host. The reading is ignored.
    MonotonicWentBack { by: Tenths },
    /// The source's interval does not overlap the interval agreed by the other sources.
    Disagrees { source: SourceId },
    /// The source's interval overlaps the agreed interval again.
    Agrees { source: SourceId },
    /// The time is no longer bounded: too few sources, no agreement, or too wide an interval.
    Unbounded,
    /// The time is bounded again, by an interval of this width.
    Bounded { width: Tenths },
}

/// Why a sample is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleError {
    /// The bounds of the interval are reversed, or further from zero than any valid time.
    InvalidInterval,
    /// The request was sent after the present reading: it belongs to another process or is invalid.
    SentInFuture,
    /// The maximum number of sources is already known.
    TooManySources,
    /// The round trip took longer than `max_age`.
    TooOld,
}

/// Limit of the instants accepted from sources; leaves room for sums without overflow.
const MAX_INSTANT: Tenths = i64::MAX / 8;

/// The best known interval of a source and the readings at which it arrived.
#[derive(Clone, Copy, Debug)]
struct SourceState {
    mono: Tenths,
    count: Tenths,
    interval: Interval,
    disagrees: bool,
}

/// Tracks the true time of one host as an interval.
#[derive(Clone, Debug)]
pub struct Clock {
    assumptions: Assumptions,
    mono: Tenths,
    /// Sum of all forward jumps of the wall clock against the monotonic clock.
    forward_jumps: Tenths,
    /// Maximum difference between the wall and the monotonic reading since the wall clock was last set back.
    max_offset: Tenths,
    sources: BTreeMap<SourceId, SourceState>,
    time: Option<Interval>,
    events: Vec<ClockEvent>,
}

impl Clock {
    pub fn new(assumptions: Assumptions, reading: Reading) -> Self {
        let max_offset = reading.wall.saturating_sub(reading.mono);
        Clock {
            assumptions,
            mono: reading.mono,
            forward_jumps: 0,
            max_offset,
            sources: BTreeMap::new(),
            time: None,
            events: Vec::new(),
        }
    }

    /// Updates the bounds to this reading. Must be called before each use, since the bounds are wrong after a sleep.
    pub fn update(&mut self, reading: Reading) -> Moment {
        if reading.mono < self.mono {
            self.record_event(ClockEvent::MonotonicWentBack { by: self.mono - reading.mono });
        } else {
            self.mono = reading.mono;
            self.detect_clock_steps(reading);
        }
        self.recompute();
        self.moment()
    }

    /// Detects steps of the wall clock and sleep of the machine. Danger: a monotonic clock that stops while the machine
    /// sleeps makes an expired lease look valid. The wall clock, which is set from a clock that never sleeps, reveals
    /// the sleep. A wall clock that is set forward cannot be told apart from sleep and is treated as sleep: this makes
    /// the latest possible time later, which is the safe side, and leaves the earliest unchanged.
    fn detect_clock_steps(&mut self, reading: Reading) {
        let offset = reading.wall.saturating_sub(reading.mono);
        let by = offset.saturating_sub(self.max_offset);
        if by > 0 {
            self.forward_jumps = self.forward_jumps.saturating_add(by).min(MAX_INSTANT);
            self.max_offset = offset;
            if by > self.assumptions.step_tolerance {
                self.record_event(ClockEvent::SteppedForward { by });
            }
        } else if -by > self.assumptions.step_tolerance {
            // Danger: if the maximum were kept, a sleep as long as the step back would go undetected.
            self.max_offset = offset;
            self.record_event(ClockEvent::SteppedBack { by: -by });
        }
    }

    /// Adds the answer of a source, received at the last reading. The source answered at some instant within the round
    /// trip, so the present time is not before its answer and at most the whole round trip after it.
    pub fn add_sample(&mut self, source: SourceId, sample: Sample) -> Result<(), SampleError> {
        let answer = sample.answer;
        if answer.earliest > answer.latest || answer.earliest < -MAX_INSTANT || answer.latest > MAX_INSTANT {
            return Err(SampleError::InvalidInterval);
        }
        let now = self.moment();
        let round_trip = now.count - sample.sent_count;
        if sample.sent_mono > now.mono || round_trip < 0 {
            return Err(SampleError::SentInFuture);
        }
        if round_trip > self.assumptions.max_age {
            return Err(SampleError::TooOld);
        }
        if !self.sources.contains_key(&source) && self.sources.len() >= self.assumptions.max_sources {
            return Err(SampleError::TooManySources);
        }
        let latest = answer.latest
            + round_trip
            + drift_allowance(round_trip, self.assumptions.drift_ppm)
            + self.slack();
        let sampled = Interval { earliest: answer.earliest, latest };
        let previous = self.sources.get(&source).copied();
        let disagrees = previous.is_some_and(|o| o.disagrees);
        // Keep the tighter of the two intervals, unless they contradict each other: then the source was wrong or the
        // machine slept, and the new one is used.
        let aged = previous.map(|o| self.extrapolate(&o));
        if aged.is_none_or(|a| sampled.width() <= a.width() || !a.overlaps(&sampled)) {
            let state = SourceState { mono: now.mono, count: now.count, interval: sampled, disagrees };
            self.sources.insert(source, state);
        }
        self.recompute();
        Ok(())
    }

    /// Removes a source that has left.
    pub fn forget(&mut self, source: SourceId) {
        self.sources.remove(&source);
        self.recompute();
    }

    pub fn moment(&self) -> Moment {
        Moment { mono: self.mono, count: self.mono.saturating_add(self.forward_jumps), time: self.time }
    }

    /// Returns the events since the last call, at most [`Clock::MAX_EVENTS`]; later ones are dropped.
    pub fn take_events(&mut self) -> Vec<ClockEvent> {
        std::mem::take(&mut self.events)
    }

    /// Maximum number of events kept between two calls of [`Clock::take_events`].
    pub const MAX_EVENTS: usize = 64;

    fn record_event(&mut self, event: ClockEvent) {
        if self.events.len() < Self::MAX_EVENTS {
            self.events.push(event);
        }
    }

    /// Covers a sleep that stays below the tolerance, and the granularity of a reading.
    fn slack(&self) -> Tenths {
        self.assumptions.step_tolerance + 1
    }

    fn extrapolate(&self, state: &SourceState) -> Interval {
        // Readings are truncated to a tenth, so the elapsed time may be shorter by one.
        let min_elapsed = (self.mono - state.mono - 1).max(0);
        let max_elapsed = self.mono.saturating_add(self.forward_jumps) - state.count;
        let ppm = self.assumptions.drift_ppm;
        Interval {
            earliest: state.interval.earliest + min_elapsed - drift_allowance(min_elapsed, ppm),
            latest: state
                .interval
                .latest
                .saturating_add(max_elapsed)
                .saturating_add(drift_allowance(max_elapsed, ppm)),
        }
    }

    fn recompute(&mut self) {
        let (mono, max_age) = (self.mono, self.assumptions.max_age);
        self.sources.retain(|_, state| mono - state.mono <= max_age);
        let aged: Vec<(SourceId, Interval)> =
            self.sources.iter().map(|(id, h)| (*id, self.extrapolate(h))).collect();
        let agreement = agree(&aged, self.assumptions.max_faulty);
        let mut changed = Vec::new();
        if let Some(agreement) = &agreement {
            for (id, state) in &mut self.sources {
                let disagrees = agreement.outliers.contains(id);
                if disagrees != state.disagrees {
                    state.disagrees = disagrees;
                    changed.push(if disagrees {
                        ClockEvent::Disagrees { source: *id }
                    } else {
                        ClockEvent::Agrees { source: *id }
                    });
                }
            }
        }
        let time = agreement.map(|a| a.interval).filter(|i| i.width() <= self.assumptions.max_width);
        match (self.time, time) {
            (Some(_), None) => changed.push(ClockEvent::Unbounded),
            (None, Some(found)) => changed.push(ClockEvent::Bounded { width: found.width() }),
            _ => {}
        }
        self.time = time;
        changed.into_iter().for_each(|event| self.record_event(event));
    }
}
