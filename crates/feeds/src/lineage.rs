//! A feed's epochs: what each one kept of those before it, and what a desk of an older epoch is told.

use crate::words::{Point, Range};

/// Epochs that are remembered; a desk of an older one is told a gap.
pub const ERAS: usize = 16;

/// One primary's time: it took over all before `kept` (a point of an older epoch) and numbers on from `start`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era {
    pub epoch: u64,
    pub start: u64,
    pub kept: Point,
}

/// The eras that are remembered, in order. An empty one knows of no epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lineage {
    eras: Vec<Era>,
}

/// Where a point stands in a lineage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// Goes on there.
    Stands,
    /// Goes on at `next`, in another epoch; what was retracted of what came before the point.
    Turn { retracted: Vec<Range>, next: Point },
    /// Of an epoch that is no longer remembered; the oldest point that is.
    Forgotten { oldest: Point },
    /// Of an epoch that is not known yet.
    Ahead,
}

impl Lineage {
    pub fn new(epoch: u64, start: u64) -> Lineage {
        Lineage { eras: vec![Era { epoch, start, kept: Point::NEW }] }
    }

    /// Eras as they were kept; none unless their epochs ascend.
    pub fn of(eras: impl Iterator<Item = Era>) -> Option<Lineage> {
        let eras: Vec<Era> = eras.collect();
        let ascend = eras.windows(2).all(|w| w[0].epoch < w[1].epoch);
        (ascend && eras.len() <= ERAS).then_some(Lineage { eras })
    }

    /// The newest epoch; 0 where none is known.
    pub fn epoch(&self) -> u64 {
        self.eras.last().map_or(0, |e| e.epoch)
    }

    /// The eras, oldest first.
    pub fn eras(&self) -> &[Era] {
        &self.eras
    }

    /// A new primary's era. Refused (false) unless it is newer than all that are known and keeps a prefix of them.
    pub fn succeed(&mut self, era: Era) -> bool {
        if era.epoch <= self.epoch() || era.kept.epoch > self.epoch() {
            return false;
        }
        self.eras.push(era);
        if self.eras.len() > ERAS {
            self.eras.remove(0);
        }
        true
    }

    /// Takes over what another knows, if that is newer.
    pub fn adopt(&mut self, other: &Lineage) -> bool {
        let newer = other.epoch() > self.epoch();
        if newer {
            self.eras.clone_from(&other.eras);
        }
        newer
    }

    /// What counted of each epoch under the epoch `upto`; the last range is open.
    fn ranges(&self, upto: u64) -> Vec<Range> {
        let mut ranges: Vec<Range> = Vec::with_capacity(self.eras.len());
        for era in self.eras.iter().filter(|e| e.epoch <= upto) {
            for range in &mut ranges {
                let end = match range.epoch.cmp(&era.kept.epoch) {
                    std::cmp::Ordering::Less => continue,
                    std::cmp::Ordering::Equal => era.kept.position.max(range.from),
                    std::cmp::Ordering::Greater => range.from,
                };
                range.to = range.to.min(end);
            }
            ranges.push(Range { epoch: era.epoch, from: era.start, to: u64::MAX });
        }
        ranges
    }

    /// Whether the entry at a point still counts.
    pub fn holds(&self, at: Point) -> bool {
        let ranges = self.ranges(self.epoch());
        ranges.iter().any(|r| r.epoch == at.epoch && (r.from..r.to).contains(&at.position))
    }

    /// The first point that counts at or after the start of the next epoch.
    fn beyond(ranges: &[Range], epoch: u64) -> Point {
        let next = ranges.iter().find(|r| r.epoch > epoch && r.to > r.from);
        next.map_or(Point::NEW, |r| Point::new(r.epoch, r.from))
    }

    /// What a reader that has all before a point goes on with.
    pub fn settle(&self, at: Point) -> Settled {
        // The usual case first: most points are of the newest epoch.
        match self.eras.last() {
            Some(last) if last.epoch == at.epoch && at.position >= last.start => return Settled::Stands,
            Some(last) if at.epoch <= last.epoch => {}
            _ => return Settled::Ahead,
        }
        let now = self.ranges(self.epoch());
        let mut seen = self.ranges(at.epoch);
        match seen.last_mut() {
            Some(last) if last.epoch == at.epoch && at.position >= last.from => last.to = at.position,
            _ => return Settled::Forgotten { oldest: Lineage::beyond(&now, at.epoch) },
        }
        let cut = seen.iter().zip(&now).filter(|(seen, now)| seen.to > now.to);
        let retracted: Vec<Range> = cut
            .map(|(seen, now)| Range { from: now.to.max(seen.from), ..*seen })
            .filter(|r| r.to > r.from)
            .collect();
        if let Some(first) = retracted.first() {
            let next = Lineage::beyond(&now, first.epoch);
            return Settled::Turn { retracted, next };
        }
        match now.get(seen.len() - 1) {
            Some(range) if at.position < range.to => Settled::Stands,
            _ => Settled::Turn { retracted, next: Lineage::beyond(&now, at.epoch) },
        }
    }

    /// A point in its only form: the end of an epoch is the beginning of what follows. None where the point does not
    /// stand on what counts.
    pub fn normal(&self, at: Point) -> Option<Point> {
        match self.settle(at) {
            Settled::Stands => Some(at),
            Settled::Turn { retracted, next } if retracted.is_empty() => Some(next),
            _ => None,
        }
    }

    /// So many entries further on, as far as epochs that are over reach.
    pub fn forward(&self, at: Point, entries: u64) -> Point {
        let (begin, mut at, mut left) = (at.epoch, at, entries);
        for range in self.ranges(self.epoch()).iter().filter(|r| r.epoch >= begin && r.to > r.from) {
            if range.epoch > at.epoch {
                at = Point::new(range.epoch, range.from);
            }
            let here = range.to.saturating_sub(at.position);
            if left < here {
                return at.plus(left);
            }
            left -= here;
        }
        at
    }

    /// How many entries lie between two points, as far as epochs that are over reach.
    pub fn between(&self, from: Point, to: Point) -> u64 {
        if from.epoch == to.epoch {
            return to.position.saturating_sub(from.position);
        }
        let ranges = self.ranges(self.epoch());
        let within = ranges.iter().filter(|r| (from.epoch..=to.epoch).contains(&r.epoch));
        let count = within.map(|r| {
            let first = if r.epoch == from.epoch { from.position.max(r.from) } else { r.from };
            let end = if r.epoch == to.epoch { to.position.min(r.to) } else { r.to };
            end.saturating_sub(first)
        });
        count.fold(0, u64::saturating_add)
    }
}
