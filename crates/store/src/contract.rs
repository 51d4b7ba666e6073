//! Conformance suite for stores. Each clause starts on an empty medium, opens it, uses it and reopens it. A new
//! implementation needs one line in a test: `check(&mut || Box::new(medium()))`.

use crate::{Batch, Head, Limit, MAX_ENTRY_BYTES, Medium, Page, Store, StoreError};

type Clause = fn(&mut dyn Medium) -> Result<(), String>;

/// Names and functions of the clauses.
pub const CLAUSES: [(&str, Clause); 7] = [
    ("entries are read in order and within limits", reads_in_order),
    ("an append at a wrong position changes nothing", rejects_wrong_position),
    ("a rejected batch is not applied in part", batches_are_atomic),
    ("reading a trimmed position is an error, not an empty page", trimmed_is_an_error),
    ("applied batches survive reopening", survives_reopening),
    ("a log that is reset continues at the given position", reset_sets_the_position),
    ("bounds are enforced, and trimming frees capacity", enforces_bounds),
];

/// Capacity in bytes of the media that the suite runs on.
pub const CAPACITY: u64 = 1 << 20;
const ALL: Limit = Limit { entries: usize::MAX, bytes: usize::MAX };

/// Runs all clauses, each on a new medium, and returns the names of those that fail with the reasons.
pub fn check(new_medium: &mut dyn FnMut() -> Box<dyn Medium>) -> Result<(), Vec<String>> {
    let mut failures = Vec::new();
    for (name, clause) in CLAUSES {
        if let Err(reason) = clause(new_medium().as_mut()) {
            failures.push(format!("{name}: {reason}"));
        }
    }
    if failures.is_empty() { Ok(()) } else { Err(failures) }
}

fn open(medium: &mut dyn Medium) -> Result<Box<dyn Store>, String> {
    medium.open().map_err(|e| e.to_string())
}

fn apply(store: &mut dyn Store, batch: &Batch) -> Result<(), String> {
    store.apply(batch).map_err(|e| e.to_string())
}

fn expect_eq<T: PartialEq + std::fmt::Debug>(what: &str, found: T, expected: T) -> Result<(), String> {
    if found == expected { Ok(()) } else { Err(format!("{what}: {found:?}, expected {expected:?}")) }
}

fn numbered_entries(log: &str, from: u64, to: u64) -> Batch {
    (from..to).fold(Batch::new(), |b, at| b.append(log, at, at.to_string().as_bytes()))
}

fn expected_page(from: u64, to: u64) -> Result<Page, StoreError> {
    Ok(Page { from, entries: (from..to).map(|at| at.to_string().into_bytes()).collect() })
}

fn reads_in_order(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = open(medium)?;
    // Names that share a prefix, and positions whose order as text differs from their numeric order.
    apply(store.as_mut(), &numbered_entries("a", 0, 300))?;
    apply(store.as_mut(), &numbered_entries("ab", 0, 3).put("k/2", b"x").put("k/1", b"y").put("l", b"z"))?;
    expect_eq("all", store.read("a", 0, ALL), expected_page(0, 300))?;
    expect_eq("a log whose name shares a prefix", store.read("ab", 0, ALL), expected_page(0, 3))?;
    expect_eq(
        "limited by entries",
        store.read("a", 250, Limit { entries: 10, ..ALL }),
        expected_page(250, 260),
    )?;
    expect_eq("limited by bytes", store.read("a", 98, Limit { bytes: 7, ..ALL }), expected_page(98, 101))?;
    expect_eq(
        "at least one entry",
        store.read("a", 100, Limit { entries: 0, bytes: 0 }),
        expected_page(100, 101),
    )?;
    expect_eq("at the end", store.read("a", 300, ALL), expected_page(300, 300))?;
    let beyond = StoreError::Beyond { log: "a".to_owned(), next: 300, requested: 301 };
    expect_eq("beyond the end", store.read("a", 301, ALL), Err(beyond))?;
    expect_eq("a log that does not exist", store.read("none", 0, ALL), expected_page(0, 0))?;
    expect_eq("log names", store.logs(), vec!["a".to_owned(), "ab".to_owned()])?;
    let records = vec![("k/1".to_owned(), b"y".to_vec()), ("k/2".to_owned(), b"x".to_vec())];
    expect_eq("records by prefix", store.records("k/"), Ok(records))
}

fn rejects_wrong_position(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = open(medium)?;
    apply(store.as_mut(), &numbered_entries("a", 0, 5))?;
    for given in [0, 4, 6] {
        let rejected = StoreError::Position { log: "a".to_owned(), next: 5, given };
        expect_eq("rejected", store.apply(&Batch::new().append("a", given, b"no")), Err(rejected))?;
    }
    expect_eq("unchanged", store.read("a", 0, ALL), expected_page(0, 5))
}

fn batches_are_atomic(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = open(medium)?;
    apply(store.as_mut(), &numbered_entries("a", 0, 5).put("k", b"old"))?;
    let batch =
        numbered_entries("a", 5, 7).trim("a", 3).put("k", b"new").put("m", b"new").append("b", 0, b"0");
    let rejected = batch.remove("k").append("b", 7, b"no");
    expect_eq("rejected", store.apply(&rejected).is_err(), true)?;
    for _ in 0..2 {
        expect_eq("the log", store.read("a", 0, ALL), expected_page(0, 5))?;
        expect_eq("the other log", store.head("b"), Head::default())?;
        expect_eq("the record", store.record("k"), Ok(Some(b"old".to_vec())))?;
        expect_eq("the new record", store.record("m"), Ok(None))?;
        drop(store);
        store = open(medium)?;
    }
    Ok(())
}

fn trimmed_is_an_error(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = open(medium)?;
    apply(store.as_mut(), &numbered_entries("a", 0, 10))?;
    apply(store.as_mut(), &Batch::new().trim("a", 4).trim("a", 2))?;
    let trimmed = || Err(StoreError::Trimmed { log: "a".to_owned(), first: 4, requested: 3 });
    expect_eq("below", store.read("a", 3, ALL), trimmed())?;
    expect_eq("remaining entries", store.read("a", 4, ALL), expected_page(4, 10))?;
    expect_eq("trim above the next position", store.apply(&Batch::new().trim("a", 11)).is_err(), true)?;
    apply(store.as_mut(), &Batch::new().trim("a", 10))?;
    drop(store);
    let mut store = open(medium)?;
    expect_eq("head of a log without entries", store.head("a"), Head { first: 10, next: 10 })?;
    apply(store.as_mut(), &numbered_entries("a", 10, 11))?;
    expect_eq("append to a log without entries", store.read("a", 10, ALL), expected_page(10, 11))
}

fn survives_reopening(medium: &mut dyn Medium) -> Result<(), String> {
    for round in 0..4_u64 {
        let mut store = open(medium)?;
        expect_eq("the head", store.head("a"), Head { first: 0, next: 3 * round })?;
        let epoch = (round > 0).then(|| round.to_le_bytes().to_vec());
        expect_eq("the record", store.record("epoch"), Ok(epoch))?;
        let batch =
            numbered_entries("a", 3 * round, 3 * (round + 1)).put("epoch", &(round + 1).to_le_bytes());
        apply(store.as_mut(), &batch)?;
    }
    let mut store = open(medium)?;
    expect_eq("all", store.read("a", 0, ALL), expected_page(0, 12))?;
    apply(store.as_mut(), &Batch::new().remove("epoch").drop_log("a"))?;
    drop(store);
    let store = open(medium)?;
    expect_eq("removed", (store.record("epoch"), store.logs()), (Ok(None), Vec::new()))
}

fn reset_sets_the_position(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = open(medium)?;
    apply(store.as_mut(), &numbered_entries("a", 0, 5))?;
    apply(store.as_mut(), &Batch::new().reset_log("a", 900).append("a", 900, b"900"))?;
    drop(store);
    let store = open(medium)?;
    expect_eq("the head", store.head("a"), Head { first: 900, next: 901 })?;
    expect_eq("new entries", store.read("a", 900, ALL), expected_page(900, 901))?;
    expect_eq("old entries", store.read("a", 4, ALL).is_err(), true)
}

fn enforces_bounds(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = open(medium)?;
    let large = vec![7; MAX_ENTRY_BYTES];
    expect_eq(
        "one byte above the maximum",
        store.apply(&Batch::new().append("a", 0, &[large.as_slice(), &[7]].concat())).is_err(),
        true,
    )?;
    let mut next = 0;
    let full = loop {
        match store.apply(&Batch::new().append("a", next, &large)) {
            Ok(()) if next < 64 => next += 1,
            Ok(()) => return Err(format!("{next} large entries fit into {CAPACITY} bytes")),
            Err(e) => break e,
        }
    };
    expect_eq("the error is Full", matches!(full, StoreError::Full { capacity: CAPACITY, .. }), true)?;
    expect_eq("number of entries that fit", next, CAPACITY / (MAX_ENTRY_BYTES as u64 + 64))?;
    apply(store.as_mut(), &Batch::new().put("cursor", b"7").trim("a", 5))?;
    drop(store);
    let mut store = open(medium)?;
    for _ in 0..5 {
        apply(store.as_mut(), &Batch::new().append("a", next, &large))?;
        next += 1;
    }
    expect_eq("full again", store.apply(&Batch::new().append("a", next, &large)).is_err(), true)
}
