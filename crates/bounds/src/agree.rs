//! Which instants enough sources agree on.

use crate::interval::{Interval, SourceId};

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agreement {
    /// From the first to the last instant that all but `liars` sources hold possible.
    pub interval: Interval,
    /// Sources that don't meet it. With no more liars than said, each of these lies.
    pub outside: Vec<SourceId>,
}

/// The true time lies in the interval of every honest source. With at most `liars` of `told` lying, it therefore lies where
/// at least `told.len() - liars` intervals overlap; the answer is the hull of all such places. Marzullo's method takes the
/// smallest place that most sources share, which is tighter, but two liars that agree can move it: here the number of
/// liars is fixed beforehand and the answer holds whatever they say. None if there are too few sources to outvote the
/// liars, or no instant has enough of them.
pub fn agree(told: &[(SourceId, Interval)], liars: usize) -> Option<Agreement> {
    if told.len() < 2 * liars + 1 {
        return None;
    }
    let needed = told.len() - liars;
    // Edges in order; at one instant openings come first, since both ends belong to an interval.
    let mut edges: Vec<(i64, bool)> = Vec::with_capacity(told.len() * 2);
    for (_, interval) in told {
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
    let outside = told.iter().filter(|(_, i)| !i.meets(&interval)).map(|(id, _)| *id).collect();
    Some(Agreement { interval, outside })
}
