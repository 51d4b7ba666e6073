use super::*;
use nanorand::{Rng, WyRand};
use redb::StorageBackend;
use rstest::rstest;
use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

const ALL: Limit = Limit { entries: usize::MAX, bytes: usize::MAX };

const CACHE_BYTES: usize = 1 << 20;

fn temporary_file() -> Box<dyn Medium> {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let name = format!("vetchkeel-store-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(name);
    let _ = std::fs::remove_file(&path);
    Box::new(TemporaryFile(EmbeddedMedium { path, capacity: contract::CAPACITY, cache: CACHE_BYTES }))
}

/// A store file that is removed at the end of its test.
struct TemporaryFile(EmbeddedMedium);

impl Medium for TemporaryFile {
    fn open(&mut self) -> Result<Box<dyn Store>, StoreError> {
        self.0.open()
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0.path);
    }
}

#[rstest]
#[case::memory(&mut || Box::new(MemoryMedium::new(contract::CAPACITY)) as Box<dyn Medium>)]
#[case::embedded(&mut temporary_file)]
fn every_store_passes_the_contract_suite(#[case] new_medium: &mut dyn FnMut() -> Box<dyn Medium>) {
    assert_eq!(contract::check(new_medium), Ok(()));
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    PartialBatch,
    AnyPositionAccepted,
    TrimmedAsEmpty,
    LastBatchLost,
    LimitExceeded,
    ResetToZero,
    TrimIgnored,
}

/// An in-memory medium whose stores violate one clause.
struct FaultyMedium(MemoryMedium, Fault);

struct FaultyStore(Box<dyn Store>, Fault, Option<Batch>);

impl Medium for FaultyMedium {
    fn open(&mut self) -> Result<Box<dyn Store>, StoreError> {
        Ok(Box::new(FaultyStore(self.0.open()?, self.1, None)))
    }
}

impl Store for FaultyStore {
    fn apply(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let each = || batch.operations().iter().cloned();
        let next = |log: &str| self.0.head(log).next;
        match self.1 {
            Fault::PartialBatch => each().try_for_each(|o| {
                let mut one = Batch::new();
                one.push(o);
                self.0.apply(&one)
            }),
            Fault::AnyPositionAccepted if batch.operations().len() == 1 => {
                let mut changed = Batch::new();
                each().for_each(|o| match o {
                    Operation::Append { log, payload, .. } => {
                        changed.push(Operation::Append { at: next(&log), log, payload })
                    }
                    other => changed.push(other),
                });
                self.0.apply(&changed)
            }
            Fault::LastBatchLost => {
                // Applied only when the next batch arrives.
                let previous = self.2.replace(batch.clone());
                previous.map_or(Ok(()), |b| self.0.apply(&b))
            }
            Fault::ResetToZero => {
                let mut changed = Batch::new();
                each().for_each(|o| match o {
                    Operation::Reset { log, .. } => changed.push(Operation::Reset { log, at: 0 }),
                    other => changed.push(other),
                });
                self.0.apply(&changed)
            }
            Fault::TrimIgnored => {
                let mut remaining = Batch::new();
                each().filter(|o| !matches!(o, Operation::Trim { .. })).for_each(|o| remaining.push(o));
                self.0.apply(&remaining)
            }
            _ => self.0.apply(batch),
        }
    }

    fn read(&self, log: &str, from: u64, limit: Limit) -> Result<Page, StoreError> {
        let limit = match self.1 {
            Fault::LimitExceeded => Limit { entries: limit.entries.saturating_add(1), ..limit },
            _ => limit,
        };
        match self.0.read(log, from, limit) {
            Err(StoreError::Trimmed { .. }) if self.1 == Fault::TrimmedAsEmpty => {
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
#[case(Fault::PartialBatch, "a rejected batch")]
#[case(Fault::AnyPositionAccepted, "an append at a wrong position")]
#[case(Fault::TrimmedAsEmpty, "reading a trimmed position")]
#[case(Fault::LastBatchLost, "applied batches survive")]
#[case(Fault::LimitExceeded, "entries are read in order")]
#[case(Fault::ResetToZero, "a log that is reset")]
#[case(Fault::TrimIgnored, "bounds are enforced")]
fn contract_suite_reports_the_clause_a_faulty_store_violates(#[case] fault: Fault, #[case] clause: &str) {
    let failures =
        contract::check(&mut || Box::new(FaultyMedium(MemoryMedium::new(contract::CAPACITY), fault)));
    let failures = failures.expect_err("the fault is found");
    assert!(failures.iter().any(|b| b.starts_with(clause)), "{failures:?}");
}

/// An in-memory disk that fails after a number of writes. Writes since the last sync are lost at random, wholly or in
/// part.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskState>>);

#[derive(Debug, Default)]
struct DiskState {
    synced: Vec<u8>,
    current: Vec<u8>,
    unsynced: Vec<(usize, Vec<u8>)>,
    writes_left: Option<u32>,
}

impl Disk {
    fn with(bytes: Vec<u8>, writes_left: Option<u32>) -> Disk {
        Disk(Arc::new(Mutex::new(DiskState {
            synced: bytes.clone(),
            current: bytes,
            unsynced: Vec::new(),
            writes_left,
        })))
    }

    fn state(&self) -> std::sync::MutexGuard<'_, DiskState> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Contents after a power failure: everything that was synced, and a random part of each write since then.
    fn contents_after_power_failure(&self, rng: &mut WyRand) -> Vec<u8> {
        let state = self.state();
        let mut bytes = state.synced.clone();
        bytes.resize(state.current.len(), 0);
        for (at, data) in &state.unsynced {
            let retained = match rng.generate_range(0..3_u8) {
                0 => 0,
                1 => rng.generate_range(0..=data.len()),
                _ => data.len(),
            };
            if let Some(target) = bytes.get_mut(*at..*at + retained) {
                target.copy_from_slice(&data[..retained]);
            }
        }
        bytes
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.state().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let (state, at) = (self.state(), offset as usize);
        let found = state.current.get(at..at + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(found);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        self.state().current.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        let mut state = self.state();
        if state.writes_left == Some(0) {
            return Err(io::ErrorKind::Other.into());
        }
        state.synced = state.current.clone();
        state.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let (mut state, at) = (self.state(), offset as usize);
        let cut = state.writes_left == Some(0);
        if let Some(writes_left) = state.writes_left.as_mut() {
            *writes_left = writes_left.saturating_sub(1);
        }
        if cut {
            return Err(io::ErrorKind::Other.into());
        }
        state.current.get_mut(at..at + data.len()).ok_or(io::ErrorKind::UnexpectedEof)?.copy_from_slice(data);
        state.unsynced.push((at, data.to_vec()));
        Ok(())
    }
}

/// Batch `n` appends three entries, trims old ones and stores its own number as the cursor.
fn batch(n: u64) -> Batch {
    let appended = (3 * n..3 * n + 3).fold(Batch::new(), |b, at| b.append("feed", at, &[at as u8; 700]));
    appended.trim("feed", (3 * n).saturating_sub(30)).put("cursor", &n.to_le_bytes())
}

/// Number of the last batch in a store; panics where a batch is there in part or an entry was never written.
fn last_batch(store: &dyn Store) -> Result<Option<u64>, StoreError> {
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
fn power_failure_during_writes_keeps_the_last_complete_batch() {
    let mut rng = WyRand::new_seed(7);
    for writes_left in (0..400).step_by(3) {
        let disk = Disk::with(Vec::new(), Some(writes_left));
        let mut stored = None;
        if let Ok(mut store) = EmbeddedStore::with_backend(disk.clone(), contract::CAPACITY, CACHE_BYTES) {
            stored = (0..40).take_while(|n| store.apply(&batch(*n)).is_ok()).last();
        }
        let found = disk.contents_after_power_failure(&mut rng);
        match EmbeddedStore::with_backend(Disk::with(found, None), contract::CAPACITY, CACHE_BYTES) {
            Ok(store) => {
                let last = last_batch(&store).expect("readable");
                let next = Some(stored.map_or(0, |n: u64| n + 1));
                assert!(
                    last == stored || last == next,
                    "failure after {writes_left} writes: found {last:?}, expected {stored:?} or the next"
                );
            }
            // Only a store that had stored no batch may be unreadable.
            Err(e) => assert!(stored.is_none(), "failure after {writes_left} writes: {e}"),
        }
    }
}

/// Guards against wrong data or a panic from a file that was truncated or has flipped bits.
#[rstest]
fn damaged_file_opens_intact_or_is_rejected() {
    let disk = Disk::with(Vec::new(), None);
    let mut store =
        EmbeddedStore::with_backend(disk.clone(), contract::CAPACITY, CACHE_BYTES).expect("opens");
    (0..40).for_each(|n| store.apply(&batch(n)).expect("applies"));
    drop(store);
    let (intact, mut rng) = (disk.state().current.clone(), WyRand::new_seed(11));
    let mut detected = 0;
    for round in 0..600 {
        let mut bytes = intact.clone();
        if round % 6 == 0 {
            bytes.truncate(rng.generate_range(0..bytes.len()));
        }
        // Half of the rounds flip bits in the first pages, which hold the roots.
        for _ in 0..rng.generate_range(1..4_u32) {
            let within = if round % 2 == 0 { bytes.len() } else { bytes.len().min(8 << 10) };
            if within > 0 {
                bytes[rng.generate_range(0..within)] ^= 1 << rng.generate_range(0..8_u8);
            }
        }
        let opened = EmbeddedStore::with_backend(Disk::with(bytes, None), contract::CAPACITY, CACHE_BYTES);
        match opened.and_then(|store| last_batch(&store)) {
            Ok(_) => {}
            Err(_) => detected += 1,
        }
    }
    assert!(detected > 0, "no damage was detected");
}

/// Guards against wrong data from bits that flip while the store is open, where redb does not verify pages on reading.
#[rstest]
fn bits_flipped_in_an_open_store_are_detected() {
    let disk = Disk::with(Vec::new(), None);
    let mut store = EmbeddedStore::with_backend(disk.clone(), contract::CAPACITY, 0).expect("opens");
    (0..40).for_each(|n| store.apply(&batch(n)).expect("applies"));
    let (intact, mut rng, mut detected) = (disk.state().current.clone(), WyRand::new_seed(13), 0);
    for _ in 0..400 {
        let at = rng.generate_range(0..intact.len());
        disk.state().current[at] ^= 1 << rng.generate_range(0..8_u8);
        detected += u32::from(last_batch(&store).is_err());
        disk.state().current[at] = intact[at];
    }
    assert!(detected > 0, "no flipped bit was detected");
}
