//! Conformance suite for stores. Each clause starts on an empty medium, opens it, uses it and reopens it. A new
//! implementation needs one line in a test: `check(&mut || Box::new(medium()))`.

use crate::{Batch, ENTRY_BYTES, Head, Limit, Medium, Page, Store, StoreError};

type Clause = fn(&mut dyn Medium) -> Result<(), String>;

/// Names and functions of the clauses.
pub const CLAUSES: [(&str, Clause); 7] = [
    ("entries are read in order and within limits", order),
    ("an append at a wrong position changes nothing", next_position),
    ("a rejected batch is not applied in part", atomic),
    ("reading a trimmed position is an error, not an empty page", trimmed),
    ("applied batches survive reopening", reopened),
    ("a log that is begun again continues at the given position", begun),
    ("bounds are enforced, and trimming frees capacity", bounded),
];

/// Capacity in bytes of the media that the suite runs on.
pub const ROOM: u64 = 1 << 20;
const ALL: Limit = Limit { entries: usize::MAX, bytes: usize::MAX };

/// Runs all clauses, each on a new medium, and returns the names of those that fail with the reasons.
pub fn held(fresh: &mut dyn FnMut() -> Box<dyn Medium>) -> Result<(), Vec<String>> {
    let mut broken = Vec::new();
    for (name, clause) in CLAUSES {
        if let Err(why) = clause(fresh().as_mut()) {
            broken.push(format!("{name}: {why}"));
        }
    }
    if broken.is_empty() { Ok(()) } else { Err(broken) }
}

fn opened(medium: &mut dyn Medium) -> Result<Box<dyn Store>, String> {
    medium.open().map_err(|e| e.to_string())
}

fn done(store: &mut dyn Store, batch: &Batch) -> Result<(), String> {
    store.apply(batch).map_err(|e| e.to_string())
}

fn same<T: PartialEq + std::fmt::Debug>(what: &str, found: T, wanted: T) -> Result<(), String> {
    if found == wanted { Ok(()) } else { Err(format!("{what}: {found:?}, expected {wanted:?}")) }
}

fn numbered(log: &str, from: u64, to: u64) -> Batch {
    (from..to).fold(Batch::new(), |b, at| b.append(log, at, at.to_string().as_bytes()))
}

fn page(from: u64, to: u64) -> Result<Page, StoreError> {
    Ok(Page { from, entries: (from..to).map(|at| at.to_string().into_bytes()).collect() })
}

fn order(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = opened(medium)?;
    // Names that share a prefix, and positions whose order as text differs from their numeric order.
    done(store.as_mut(), &numbered("a", 0, 300))?;
    done(store.as_mut(), &numbered("ab", 0, 3).put("k/2", b"x").put("k/1", b"y").put("l", b"z"))?;
    same("all", store.read("a", 0, ALL), page(0, 300))?;
    same("a log whose name shares a prefix", store.read("ab", 0, ALL), page(0, 3))?;
    same("limited by entries", store.read("a", 250, Limit { entries: 10, ..ALL }), page(250, 260))?;
    same("limited by bytes", store.read("a", 98, Limit { bytes: 7, ..ALL }), page(98, 101))?;
    same("at least one entry", store.read("a", 100, Limit { entries: 0, bytes: 0 }), page(100, 101))?;
    same("at the end", store.read("a", 300, ALL), page(300, 300))?;
    let beyond = StoreError::Beyond { log: "a".to_owned(), next: 300, asked: 301 };
    same("beyond the end", store.read("a", 301, ALL), Err(beyond))?;
    same("a log that does not exist", store.read("none", 0, ALL), page(0, 0))?;
    same("log names", store.logs(), vec!["a".to_owned(), "ab".to_owned()])?;
    let records = vec![("k/1".to_owned(), b"y".to_vec()), ("k/2".to_owned(), b"x".to_vec())];
    same("records by prefix", store.records("k/"), Ok(records))
}

fn next_position(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = opened(medium)?;
    done(store.as_mut(), &numbered("a", 0, 5))?;
    for told in [0, 4, 6] {
        let refused = StoreError::Position { log: "a".to_owned(), next: 5, told };
        same("rejected", store.apply(&Batch::new().append("a", told, b"no")), Err(refused))?;
    }
    same("unchanged", store.read("a", 0, ALL), page(0, 5))
}

fn atomic(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = opened(medium)?;
    done(store.as_mut(), &numbered("a", 0, 5).put("k", b"old"))?;
    let batch = numbered("a", 5, 7).trim("a", 3).put("k", b"new").put("m", b"new").append("b", 0, b"0");
    let refused = batch.remove("k").append("b", 7, b"no");
    same("rejected", store.apply(&refused).is_err(), true)?;
    for _ in 0..2 {
        same("the log", store.read("a", 0, ALL), page(0, 5))?;
        same("the other log", store.head("b"), Head::default())?;
        same("the record", store.record("k"), Ok(Some(b"old".to_vec())))?;
        same("the new record", store.record("m"), Ok(None))?;
        drop(store);
        store = opened(medium)?;
    }
    Ok(())
}

fn trimmed(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = opened(medium)?;
    done(store.as_mut(), &numbered("a", 0, 10))?;
    done(store.as_mut(), &Batch::new().trim("a", 4).trim("a", 2))?;
    let told = || Err(StoreError::Trimmed { log: "a".to_owned(), first: 4, asked: 3 });
    same("below", store.read("a", 3, ALL), told())?;
    same("remaining entries", store.read("a", 4, ALL), page(4, 10))?;
    same("trim above the next position", store.apply(&Batch::new().trim("a", 11)).is_err(), true)?;
    done(store.as_mut(), &Batch::new().trim("a", 10))?;
    drop(store);
    let mut store = opened(medium)?;
    same("head of a log without entries", store.head("a"), Head { first: 10, next: 10 })?;
    done(store.as_mut(), &numbered("a", 10, 11))?;
    same("append to a log without entries", store.read("a", 10, ALL), page(10, 11))
}

fn reopened(medium: &mut dyn Medium) -> Result<(), String> {
    for round in 0..4_u64 {
        let mut store = opened(medium)?;
        same("the head", store.head("a"), Head { first: 0, next: 3 * round })?;
        let epoch = (round > 0).then(|| round.to_le_bytes().to_vec());
        same("the record", store.record("epoch"), Ok(epoch))?;
        let batch = numbered("a", 3 * round, 3 * (round + 1)).put("epoch", &(round + 1).to_le_bytes());
        done(store.as_mut(), &batch)?;
    }
    let mut store = opened(medium)?;
    same("all", store.read("a", 0, ALL), page(0, 12))?;
    done(store.as_mut(), &Batch::new().remove("epoch").drop_log("a"))?;
    drop(store);
    let store = opened(medium)?;
    same("removed", (store.record("epoch"), store.logs()), (Ok(None), Vec::new()))
}

fn begun(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = opened(medium)?;
    done(store.as_mut(), &numbered("a", 0, 5))?;
    done(store.as_mut(), &Batch::new().begin("a", 900).append("a", 900, b"900"))?;
    drop(store);
    let store = opened(medium)?;
    same("the head", store.head("a"), Head { first: 900, next: 901 })?;
    same("new entries", store.read("a", 900, ALL), page(900, 901))?;
    same("old entries", store.read("a", 4, ALL).is_err(), true)
}

fn bounded(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = opened(medium)?;
    let large = vec![7; ENTRY_BYTES];
    same(
        "one byte above the maximum",
        store.apply(&Batch::new().append("a", 0, &[large.as_slice(), &[7]].concat())).is_err(),
        true,
    )?;
    let mut next = 0;
    let full = loop {
        match store.apply(&Batch::new().append("a", next, &large)) {
            Ok(()) if next < 64 => next += 1,
            Ok(()) => return Err(format!("{next} large entries fit into {ROOM} bytes")),
            Err(e) => break e,
        }
    };
    same("the error is Full", matches!(full, StoreError::Full { room: ROOM, .. }), true)?;
    same("number of entries that fit", next, ROOM / (ENTRY_BYTES as u64 + 64))?;
    done(store.as_mut(), &Batch::new().put("cursor", b"7").trim("a", 5))?;
    drop(store);
    let mut store = opened(medium)?;
    for _ in 0..5 {
        done(store.as_mut(), &Batch::new().append("a", next, &large))?;
        next += 1;
    }
    same("full again", store.apply(&Batch::new().append("a", next, &large)).is_err(), true)
}
