//! Intersection of the sources' intervals, with a bounded number of faulty sources.

use crate::interval::{Interval, SourceId};

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agreement {
    /// From the first to the last instant that all but at most `max_faulty` sources consider possible.
    pub interval: Interval,
    /// Sources whose interval does not overlap `interval`. If no more than `max_faulty` sources are faulty, each of
    /// these is.
    pub outliers: Vec<SourceId>,
}

/// The true time lies in the interval of every correct source. With at most `max_faulty` of the sources faulty, it
/// therefore lies where at least `intervals.len() - max_faulty` intervals overlap; the result is the hull of all such
/// regions. Marzullo's algorithm takes the smallest region shared by most sources, which is tighter, but two faulty
/// sources that agree can move it. Here the number of faulty sources is fixed in advance, and the result holds whatever
/// they answer. `None` if there are too few sources to outvote the faulty ones, or if no instant lies in enough
/// intervals.
pub fn agree(intervals: &[(SourceId, Interval)], max_faulty: usize) -> Option<Agreement> {
    if intervals.len() < 2 * max_faulty + 1 {
        return None;
    }
    let needed = intervals.len() - max_faulty;
    // Edges sorted by instant. At equal instants the lower bounds come first, since both bounds belong to an interval.
    let mut edges: Vec<(i64, bool)> = Vec::with_capacity(intervals.len() * 2);
    for (_, interval) in intervals {
        if interval.earliest > interval.latest {
            continue;
        }
        edges.push((interval.earliest, false));
        edges.push((interval.latest, true));
    }
    edges.sort_unstable();
    let (mut depth, mut first, mut last) = (0_usize, None, None);
    for (instant, closes) in edges {
        if closes {
            if depth >= needed {
                last = Some(instant);
            }
            depth -= 1;
        } else {
            depth += 1;
            if depth >= needed && first.is_none() {
                first = Some(instant);
            }
        }
    }
    let interval = Interval { earliest: first?, latest: last? };
    let outliers = intervals.iter().filter(|(_, i)| !i.overlaps(&interval)).map(|(id, _)| *id).collect();
    Some(Agreement { interval, outliers })
}
