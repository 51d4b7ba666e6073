//! What a gateway keeps, laid out on any store: a log an epoch of a feed, a record a subscription and a feed.

use crate::gateway::Decision;
use crate::lineage::{Era, Lineage, Settled};
use crate::sub::Record;
use crate::words::{FeedId, Point, SubId};
use std::sync::Arc;
use vetchkeel_store::{Batch, Limit, Store, StoreError};

/// Entries and bytes of one read.
const READ: Limit = Limit { entries: 256, bytes: 1 << 20 };

fn log(feed: FeedId, epoch: u64) -> String {
    format!("feed/{}/{epoch}", feed.0)
}

fn epochs(feed: FeedId) -> String {
    format!("epochs/{}", feed.0)
}

fn number(text: Option<&str>) -> Option<u64> {
    text?.parse().ok()
}

/// Logs of a feed with their epochs, oldest first.
fn logs(store: &dyn Store, feed: FeedId) -> Vec<(u64, String)> {
    let prefix = format!("feed/{}/", feed.0);
    let mut logs: Vec<(u64, String)> =
        store.logs().into_iter().filter_map(|l| Some((number(l.strip_prefix(&prefix))?, l))).collect();
    logs.sort();
    logs
}

/// Carries out what is to be kept, all of it or nothing. Sends and reads are left to the host.
pub fn keep(store: &mut dyn Store, decisions: &[Decision]) -> Result<(), StoreError> {
    let mut batch = Batch::new();
    let mut begun: Vec<(String, u64)> = Vec::new();
    for decision in decisions {
        batch = match decision {
            Decision::Keep { feed, entries } => entries.iter().fold(batch, |batch, (at, payload)| {
                let log = log(*feed, at.epoch);
                let next =
                    begun.iter().rev().find(|(l, _)| *l == log).map_or(store.head(&log).next, |(_, n)| *n);
                let batch = if next == at.position { batch } else { batch.reset_log(&log, at.position) };
                begun.retain(|(l, _)| *l != log);
                begun.push((log.clone(), at.position + 1));
                batch.append(&log, at.position, payload)
            }),
            Decision::Anew { feed, at } => {
                begun.clear();
                let dropped = logs(store, *feed).into_iter().fold(batch, |b, (_, l)| b.drop_log(&l));
                begun.push((log(*feed, at.epoch), at.position));
                dropped.reset_log(&log(*feed, at.epoch), at.position)
            }
            Decision::Trim { feed, below } => {
                logs(store, *feed).into_iter().fold(batch, |b, (epoch, l)| match epoch.cmp(&below.epoch) {
                    std::cmp::Ordering::Less => b.drop_log(&l),
                    std::cmp::Ordering::Equal => b.trim(&l, below.position),
                    std::cmp::Ordering::Greater => b,
                })
            }
            Decision::Epochs { feed, lineage } => batch.put(&epochs(*feed), &packed(lineage)),
            Decision::Close { feed } => {
                let dropped = logs(store, *feed).into_iter().fold(batch, |b, (_, l)| b.drop_log(&l));
                dropped.remove(&epochs(*feed))
            }
            Decision::Record { sub, record } => batch.put(&format!("sub/{}", sub.0), &record.bytes()),
            Decision::Forget { sub } => batch.remove(&format!("sub/{}", sub.0)),
            Decision::Send { .. } | Decision::Read { .. } => batch,
        };
    }
    if batch.is_empty() { Ok(()) } else { store.apply(&batch) }
}

/// Payloads from a point on, within its epoch; none where the shelf doesn't hold the point.
pub fn read(store: &dyn Store, feed: FeedId, from: Point) -> Result<Vec<Arc<[u8]>>, StoreError> {
    match store.read(&log(feed, from.epoch), from.position, READ) {
        Ok(page) => Ok(page.entries.into_iter().map(Arc::from).collect()),
        Err(StoreError::Trimmed { .. } | StoreError::Beyond { .. }) => Ok(Vec::new()),
        Err(e) => Err(e),
    }
}

/// Feeds with their lineage and the points `first..next` that the shelf holds without a hole, and all records: what
/// `Gateway::new` is told after a restart.
#[allow(clippy::type_complexity)]
pub fn restore(
    store: &dyn Store,
) -> Result<(Vec<(FeedId, Lineage, Point, Point)>, Vec<(SubId, Record)>), StoreError> {
    let mut shelves = Vec::new();
    for (key, value) in store.records("epochs/")? {
        let feed = number(key.strip_prefix("epochs/")).and_then(|n| u32::try_from(n).ok()).map(FeedId);
        let (Some(feed), Some(lineage)) = (feed, unpacked(&value)) else {
            return Err(StoreError::Damaged(format!("records {key}: not a feed's epochs")));
        };
        if let Some((first, next)) = held(store, feed, &lineage) {
            shelves.push((feed, lineage, first, next));
        }
    }
    let mut records = Vec::new();
    for (key, value) in store.records("sub/")? {
        match (number(key.strip_prefix("sub/")), Record::of(&value)) {
            (Some(sub), Some(record)) => records.push((SubId(sub), record)),
            _ => return Err(StoreError::Damaged(format!("records {key}: not a subscription"))),
        }
    }
    Ok((shelves, records))
}

/// What the newest logs of a feed hold without a hole.
fn held(store: &dyn Store, feed: FeedId, lineage: &Lineage) -> Option<(Point, Point)> {
    let mut span: Option<(Point, Point)> = None;
    for (epoch, log) in logs(store, feed) {
        let head = store.head(&log);
        let (first, end) = (Point::new(epoch, head.first), Point::new(epoch, head.next));
        // A tail that a later epoch didn't keep ends the log there.
        let end = match lineage.settle(end) {
            Settled::Stands => end,
            Settled::Turn { next, .. } => next,
            _ => return None,
        };
        let joined = span.filter(|(_, next)| *next == first || lineage.normal(*next) == Some(first));
        span = Some((joined.map_or(first, |(begin, _)| begin), end));
    }
    span.filter(|(first, _)| lineage.normal(*first).is_some())
}

fn packed(lineage: &Lineage) -> Vec<u8> {
    let numbers = lineage.eras().iter().flat_map(|e| [e.epoch, e.start, e.kept.epoch, e.kept.position]);
    numbers.flat_map(u64::to_le_bytes).collect()
}

fn unpacked(bytes: &[u8]) -> Option<Lineage> {
    let (words, rest) = bytes.as_chunks::<8>();
    let numbers: Vec<u64> = words.iter().copied().map(u64::from_le_bytes).collect();
    let (eras, left) = numbers.as_chunks::<4>();
    if !rest.is_empty() || !left.is_empty() {
        return None;
    }
    Lineage::of(eras.iter().map(|[epoch, start, e, p]| Era {
        epoch: *epoch,
        start: *start,
        kept: Point::new(*e, *p),
    }))
}
