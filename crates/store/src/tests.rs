use super::*;
use nanorand::{Rng, WyRand};
use redb::StorageBackend;
use rstest::rstest;
use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

const ALL: Limit = Limit { entries: usize::MAX, bytes: usize::MAX };

const CACHE: usize = 1 << 20;

fn file() -> Box<dyn Medium> {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let name = format!("vetchkeel-store-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(name);
    let _ = std::fs::remove_file(&path);
    Box::new(Removed(EmbeddedMedium { path, room: contract::ROOM, cache: CACHE }))
}

/// A store file that is removed at the end of its test.
struct Removed(EmbeddedMedium);

impl Medium for Removed {
    fn open(&mut self) -> Result<Box<dyn Store>, StoreError> {
        self.0.open()
    }
}

impl Drop for Removed {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0.path);
    }
}

#[rstest]
#[case::memory(&mut || Box::new(MemoryMedium::new(contract::ROOM)) as Box<dyn Medium>)]
#[case::embedded(&mut file)]
fn every_store_holds_the_contract(#[case] fresh: &mut dyn FnMut() -> Box<dyn Medium>) {
    assert_eq!(contract::held(fresh), Ok(()));
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    PartOfABatch,
    AnyPosition,
    HoleAsEmpty,
    LosesTheLast,
    OneTooMany,
    BeginsAtZero,
    RoomNeverBack,
}

/// An in-memory medium whose stores violate one clause.
struct Half(MemoryMedium, Fault);

struct HalfStore(Box<dyn Store>, Fault, Option<Batch>);

impl Medium for Half {
    fn open(&mut self) -> Result<Box<dyn Store>, StoreError> {
        Ok(Box::new(HalfStore(self.0.open()?, self.1, None)))
    }
}

impl Store for HalfStore {
    fn apply(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let each = || batch.operations().iter().cloned();
        let next = |log: &str| self.0.head(log).next;
        match self.1 {
            Fault::PartOfABatch => each().try_for_each(|o| {
                let mut one = Batch::new();
                one.push(o);
                self.0.apply(&one)
            }),
            Fault::AnyPosition if batch.operations().len() == 1 => {
                let mut moved = Batch::new();
                each().for_each(|o| match o {
                    Operation::Append { log, payload, .. } => {
                        moved.push(Operation::Append { at: next(&log), log, payload })
                    }
                    other => moved.push(other),
                });
                self.0.apply(&moved)
            }
            Fault::LosesTheLast => {
                // Applied only when the next batch arrives.
                let held = self.2.replace(batch.clone());
                held.map_or(Ok(()), |b| self.0.apply(&b))
            }
            Fault::BeginsAtZero => {
                let mut moved = Batch::new();
                each().for_each(|o| match o {
                    Operation::Begin { log, .. } => moved.push(Operation::Begin { log, at: 0 }),
                    other => moved.push(other),
                });
                self.0.apply(&moved)
            }
            Fault::RoomNeverBack => {
                let mut kept = Batch::new();
                each().filter(|o| !matches!(o, Operation::Trim { .. })).for_each(|o| kept.push(o));
                self.0.apply(&kept)
            }
            _ => self.0.apply(batch),
        }
    }

    fn read(&self, log: &str, from: u64, limit: Limit) -> Result<Page, StoreError> {
        let limit = match self.1 {
            Fault::OneTooMany => Limit { entries: limit.entries.saturating_add(1), ..limit },
            _ => limit,
        };
        match self.0.read(log, from, limit) {
            Err(StoreError::Trimmed { .. }) if self.1 == Fault::HoleAsEmpty => {
                Ok(Page { from, entries: Vec::new() })
            }
            other => other,
        }
    }

    fn head(&self, log: &str) -> Head {
        self.0.head(log)
    }

    fn logs(&self) -> Vec<String> {
        self.0.logs()
    }

    fn record(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.0.record(key)
    }

    fn records(&self, prefix: &str) -> Result<Vec<(String, Vec<u8>)>, StoreError> {
        self.0.records(prefix)
    }
}

#[rstest]
#[case(Fault::PartOfABatch, "a rejected batch")]
#[case(Fault::AnyPosition, "an append at a wrong position")]
#[case(Fault::HoleAsEmpty, "reading a trimmed position")]
#[case(Fault::LosesTheLast, "applied batches survive")]
#[case(Fault::OneTooMany, "entries are read in order")]
#[case(Fault::BeginsAtZero, "a log that is begun again")]
#[case(Fault::RoomNeverBack, "bounds are enforced")]
fn a_half_broken_store_fails_by_the_clause(#[case] fault: Fault, #[case] clause: &str) {
    let broken = contract::held(&mut || Box::new(Half(MemoryMedium::new(contract::ROOM), fault)));
    let broken = broken.expect_err("the fault is found");
    assert!(broken.iter().any(|b| b.starts_with(clause)), "{broken:?}");
}

/// An in-memory disk that fails after a number of writes. Writes since the last sync are lost at random, wholly or in
/// part.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Platter>>);

#[derive(Debug, Default)]
struct Platter {
    synced: Vec<u8>,
    now: Vec<u8>,
    since: Vec<(usize, Vec<u8>)>,
    left: Option<u32>,
}

impl Disk {
    fn with(bytes: Vec<u8>, left: Option<u32>) -> Disk {
        Disk(Arc::new(Mutex::new(Platter { synced: bytes.clone(), now: bytes, since: Vec::new(), left })))
    }

    fn platter(&self) -> std::sync::MutexGuard<'_, Platter> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Contents after a power failure: everything that was synced, and a random part of each write since then.
    fn after_a_cut(&self, chance: &mut WyRand) -> Vec<u8> {
        let platter = self.platter();
        let mut bytes = platter.synced.clone();
        bytes.resize(platter.now.len(), 0);
        for (at, data) in &platter.since {
            let kept = match chance.generate_range(0..3_u8) {
                0 => 0,
                1 => chance.generate_range(0..=data.len()),
                _ => data.len(),
            };
            if let Some(room) = bytes.get_mut(*at..*at + kept) {
                room.copy_from_slice(&data[..kept]);
            }
        }
        bytes
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.platter().now.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let (platter, at) = (self.platter(), offset as usize);
        let found = platter.now.get(at..at + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(found);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        self.platter().now.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        let mut platter = self.platter();
        if platter.left == Some(0) {
            return Err(io::ErrorKind::Other.into());
        }
        platter.synced = platter.now.clone();
        platter.since.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let (mut platter, at) = (self.platter(), offset as usize);
        let cut = platter.left == Some(0);
        if let Some(left) = platter.left.as_mut() {
            *left = left.saturating_sub(1);
        }
        if cut {
            return Err(io::ErrorKind::Other.into());
        }
        platter.now.get_mut(at..at + data.len()).ok_or(io::ErrorKind::UnexpectedEof)?.copy_from_slice(data);
        platter.since.push((at, data.to_vec()));
        Ok(())
    }
}

/// Batch `n` appends three entries, trims old ones and stores its own number as the cursor.
fn batch(n: u64) -> Batch {
    let appended = (3 * n..3 * n + 3).fold(Batch::new(), |b, at| b.append("feed", at, &[at as u8; 700]));
    appended.trim("feed", (3 * n).saturating_sub(30)).put("cursor", &n.to_le_bytes())
}

/// Number of the last batch in a store; panics where a batch is there in part or an entry was never written.
fn whole(store: &dyn Store) -> Result<Option<u64>, StoreError> {
    let cursor = store.record("cursor")?;
    let n = cursor.map(|c| u64::from_le_bytes(c.try_into().expect("eight bytes")));
    let head = store.head("feed");
    assert_eq!(head.next, n.map_or(0, |n| 3 * n + 3), "log and record come from the same batch");
    let page = store.read("feed", head.first, ALL)?;
    assert_eq!(page.next(), head.next);
    for (at, entry) in (page.from..).zip(&page.entries) {
        assert_eq!(entry, &[at as u8; 700]);
    }
    Ok(n)
}

/// Guards against a batch that is lost after `apply` returned, or stored in part, when power fails between writes.
#[rstest]
fn a_disk_cut_mid_write_holds_the_last_whole_batch() {
    let mut chance = WyRand::new_seed(7);
    for left in (0..400).step_by(3) {
        let disk = Disk::with(Vec::new(), Some(left));
        let mut kept = None;
        if let Ok(mut store) = EmbeddedStore::on(disk.clone(), contract::ROOM, CACHE) {
            kept = (0..40).take_while(|n| store.apply(&batch(*n)).is_ok()).last();
        }
        let found = disk.after_a_cut(&mut chance);
        match EmbeddedStore::on(Disk::with(found, None), contract::ROOM, CACHE) {
            Ok(store) => {
                let stands = whole(&store).expect("readable");
                let next = Some(kept.map_or(0, |n: u64| n + 1));
                assert!(
                    stands == kept || stands == next,
                    "failure after {left} writes: found {stands:?}, expected {kept:?} or the next"
                );
            }
            // Only a store that had stored no batch may be unreadable.
            Err(e) => assert!(kept.is_none(), "failure after {left} writes: {e}"),
        }
    }
}

/// Guards against wrong data or a panic from a file that was truncated or has flipped bits.
#[rstest]
fn a_file_with_flipped_bits_or_cut_short_is_told_or_whole() {
    let disk = Disk::with(Vec::new(), None);
    let mut store = EmbeddedStore::on(disk.clone(), contract::ROOM, CACHE).expect("opens");
    (0..40).for_each(|n| store.apply(&batch(n)).expect("applies"));
    drop(store);
    let (sound, mut chance) = (disk.platter().now.clone(), WyRand::new_seed(11));
    let mut told = 0;
    for round in 0..600 {
        let mut bytes = sound.clone();
        if round % 6 == 0 {
            bytes.truncate(chance.generate_range(0..bytes.len()));
        }
        // Half of the rounds flip bits in the first pages, which hold the roots.
        for _ in 0..chance.generate_range(1..4_u32) {
            let within = if round % 2 == 0 { bytes.len() } else { bytes.len().min(8 << 10) };
            if within > 0 {
                bytes[chance.generate_range(0..within)] ^= 1 << chance.generate_range(0..8_u8);
            }
        }
        let opened = EmbeddedStore::on(Disk::with(bytes, None), contract::ROOM, CACHE);
        match opened.and_then(|store| whole(&store)) {
            Ok(_) => {}
            Err(_) => told += 1,
        }
    }
    assert!(told > 0, "no flipped bit was detected");
}

/// Guards against wrong data from bits that flip while the store is open, where redb does not verify pages on reading.
#[rstest]
fn bits_that_flip_under_an_open_store_are_told() {
    let disk = Disk::with(Vec::new(), None);
    let mut store = EmbeddedStore::on(disk.clone(), contract::ROOM, 0).expect("opens");
    (0..40).for_each(|n| store.apply(&batch(n)).expect("applies"));
    let (sound, mut chance, mut told) = (disk.platter().now.clone(), WyRand::new_seed(13), 0);
    for _ in 0..400 {
        let at = chance.generate_range(0..sound.len());
        disk.platter().now[at] ^= 1 << chance.generate_range(0..8_u8);
        told += u32::from(whole(&store).is_err());
        disk.platter().now[at] = sound[at];
    }
    assert!(told > 0, "no flipped bit was detected");
}
