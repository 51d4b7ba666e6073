//! One host's view of the time.

use crate::agree::agree;
use crate::interval::{Interval, Moment, Reading, Sample, SourceId, Tenths, widening};
use std::collections::BTreeMap;

/// What the operator vouches for. If one of these does not hold, no bound does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Largest drift of the monotonic clock, parts in a million. Slewing of the wall clock counts into it.
    pub drift_ppm: i64,
    /// How far two readings of wall and monotonic clock may differ from a third for no cause but their not being taken at
    /// once. A larger change is a step or a sleep.
    pub tolerance: Tenths,
    /// Sources that may lie at once.
    pub liars: usize,
    /// Sources at most; more are refused.
    pub sources: usize,
    /// A source not heard for so long is dropped.
    pub heard_within: Tenths,
    /// A wider interval than this counts as none.
    pub widest: Tenths,
}

/// What a host passes on to its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The wall clock ran ahead of the monotonic one: it was set, or the machine slept. Taken as sleep.
    Ahead { by: Tenths },
    /// The wall clock was set back.
    Back { by: Tenths },
    /// A monotonic reading went back: the host is wrong. The reading is not used.
    MonoBack { by: Tenths },
    /// This source disagrees with all that agree.
    Liar { source: SourceId },
    /// This source no longer does.
    Agrees { source: SourceId },
    /// The time can't be bounded any more: too few sources, or no agreement, or too wide.
    Lost,
    /// It can again, to within this width.
    Found { width: Tenths },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The answer's ends are the wrong way round, or further from zero than any time of ours.
    NotAnInterval,
    /// The question left after now: of another process or made up.
    AskedLater,
    /// As many sources as the terms allow are known.
    TooManySources,
    /// The round trip took longer than `heard_within`.
    TooOld,
}

/// No instant that is told lies beyond: leaves room for sums.
const FURTHEST: Tenths = i64::MAX / 8;

/// A source's newest useful interval, as of when it was heard.
#[derive(Clone, Copy, Debug)]
struct Heard {
    mono: Tenths,
    count: Tenths,
    interval: Interval,
    lies: bool,
}

#[derive(Clone, Debug)]
pub struct Clock {
    terms: Terms,
    mono: Tenths,
    /// How far the wall clock has run ahead of the monotonic one, in all.
    ahead: Tenths,
    /// The highest difference of wall and monotonic reading since the wall clock was last set back.
    high: Tenths,
    sources: BTreeMap<SourceId, Heard>,
    time: Option<Interval>,
    told: Vec<Told>,
}

impl Clock {
    pub fn new(terms: Terms, reading: Reading) -> Self {
        let high = reading.wall.saturating_sub(reading.mono);
        Clock {
            terms,
            mono: reading.mono,
            ahead: 0,
            high,
            sources: BTreeMap::new(),
            time: None,
            told: Vec::new(),
        }
    }

    /// Brings the view up to this reading. To be called before each use: after a sleep the old view is wrong.
    pub fn read(&mut self, reading: Reading) -> Moment {
        if reading.mono < self.mono {
            self.tell(Told::MonoBack { by: self.mono - reading.mono });
        } else {
            self.mono = reading.mono;
            self.compare(reading);
        }
        self.settle();
        self.moment()
    }

    /// Danger: a monotonic clock that stands still while the machine sleeps makes a lease that is over look valid. The wall
    /// clock, set from a clock that never sleeps, shows it. A wall clock set forward looks the same and is taken for the
    /// same: it makes the latest possible time later, which closes, and leaves the earliest as it was.
    fn compare(&mut self, reading: Reading) {
        let offset = reading.wall.saturating_sub(reading.mono);
        let by = offset.saturating_sub(self.high);
        if by > 0 {
            self.ahead = self.ahead.saturating_add(by).min(FURTHEST);
            self.high = offset;
            if by > self.terms.tolerance {
                self.tell(Told::Ahead { by });
            }
        } else if -by > self.terms.tolerance {
            // Danger: if the mark stayed up, a sleep as long as the step back would go unseen.
            self.high = offset;
            self.tell(Told::Back { by: -by });
        }
    }

    /// An answer about the time, heard at the last reading. The source answered at some instant of the round trip, so now
    /// is not before what it said, and after it by no more than the whole trip.
    pub fn heard(&mut self, source: SourceId, sample: Sample) -> Result<(), Refused> {
        let theirs = sample.theirs;
        if theirs.earliest > theirs.latest || theirs.earliest < -FURTHEST || theirs.latest > FURTHEST {
            return Err(Refused::NotAnInterval);
        }
        let now = self.moment();
        let trip = now.count - sample.asked_count;
        if sample.asked_mono > now.mono || trip < 0 {
            return Err(Refused::AskedLater);
        }
        if trip > self.terms.heard_within {
            return Err(Refused::TooOld);
        }
        if !self.sources.contains_key(&source) && self.sources.len() >= self.terms.sources {
            return Err(Refused::TooManySources);
        }
        let latest = theirs.latest + trip + widening(trip, self.terms.drift_ppm) + self.slack();
        let fresh = Interval { earliest: theirs.earliest, latest };
        let old = self.sources.get(&source).copied();
        let lies = old.is_some_and(|o| o.lies);
        // The tighter of the two stays, unless they contradict: then the source lied or we slept, and the fresh one counts.
        let aged = old.map(|o| self.aged(&o));
        if aged.is_none_or(|a| fresh.width() <= a.width() || !a.meets(&fresh)) {
            let heard = Heard { mono: now.mono, count: now.count, interval: fresh, lies };
            self.sources.insert(source, heard);
        }
        self.settle();
        Ok(())
    }

    /// A source that left.
    pub fn forget(&mut self, source: SourceId) {
        self.sources.remove(&source);
        self.settle();
    }

    pub fn moment(&self) -> Moment {
        Moment { mono: self.mono, count: self.mono.saturating_add(self.ahead), time: self.time }
    }

    /// What is to be logged since the last call, at most [`Clock::TOLD`] entries: the newest are left out beyond.
    pub fn told(&mut self) -> Vec<Told> {
        std::mem::take(&mut self.told)
    }

    pub const TOLD: usize = 64;

    fn tell(&mut self, told: Told) {
        if self.told.len() < Self::TOLD {
            self.told.push(told);
        }
    }

    /// What a sleep may hide under the tolerance, and a reading's own grain.
    fn slack(&self) -> Tenths {
        self.terms.tolerance + 1
    }

    fn aged(&self, heard: &Heard) -> Interval {
        // A reading is cut down to a tenth: the elapsed time may be one less.
        let least = (self.mono - heard.mono - 1).max(0);
        let most = self.mono.saturating_add(self.ahead) - heard.count;
        let ppm = self.terms.drift_ppm;
        Interval {
            earliest: heard.interval.earliest + least - widening(least, ppm),
            latest: heard.interval.latest.saturating_add(most).saturating_add(widening(most, ppm)),
        }
    }

    fn settle(&mut self) {
        let (mono, within) = (self.mono, self.terms.heard_within);
        self.sources.retain(|_, heard| mono - heard.mono <= within);
        let aged: Vec<(SourceId, Interval)> =
            self.sources.iter().map(|(id, h)| (*id, self.aged(h))).collect();
        let agreement = agree(&aged, self.terms.liars);
        let mut changed = Vec::new();
        if let Some(agreement) = &agreement {
            for (id, heard) in &mut self.sources {
                let lies = agreement.outside.contains(id);
                if lies != heard.lies {
                    heard.lies = lies;
                    changed.push(if lies {
                        Told::Liar { source: *id }
                    } else {
                        Told::Agrees { source: *id }
                    });
                }
            }
        }
        let time = agreement.map(|a| a.interval).filter(|i| i.width() <= self.terms.widest);
        match (self.time, time) {
            (Some(_), None) => changed.push(Told::Lost),
            (None, Some(found)) => changed.push(Told::Found { width: found.width() }),
            _ => {}
        }
        self.time = time;
        changed.into_iter().for_each(|told| self.tell(told));
    }
}
