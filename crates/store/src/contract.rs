//! The suite that every store passes: each clause begins on an empty medium, opens it, uses it, opens it again. A new
//! implementation is one line in a test: `held(&mut || Box::new(medium()))`.

use crate::{Batch, ENTRY_BYTES, Head, Limit, Medium, Page, Store, StoreError};

type Clause = fn(&mut dyn Medium) -> Result<(), String>;

/// The clauses, by name.
pub const CLAUSES: [(&str, Clause); 7] = [
    ("what was appended is read in order, within limits", order),
    ("an append elsewhere than at the next position changes nothing", next_position),
    ("a refused batch leaves no part of itself", atomic),
    ("trimmed is said, never shown as empty", trimmed),
    ("what was applied is there after opening again", reopened),
    ("a log begun anew goes on from where it was told", begun),
    ("bounds refuse, and room comes back by trimming", bounded),
];

/// Bytes of room that the media of the suite are made with.
pub const ROOM: u64 = 1 << 20;
const ALL: Limit = Limit { entries: usize::MAX, bytes: usize::MAX };

/// Plays all clauses, each on a medium of its own; names those that fail.
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
    if found == wanted { Ok(()) } else { Err(format!("{what}: {found:?}, wanted {wanted:?}")) }
}

fn numbered(log: &str, from: u64, to: u64) -> Batch {
    (from..to).fold(Batch::new(), |b, at| b.append(log, at, at.to_string().as_bytes()))
}

fn page(from: u64, to: u64) -> Result<Page, StoreError> {
    Ok(Page { from, entries: (from..to).map(|at| at.to_string().into_bytes()).collect() })
}

fn order(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = opened(medium)?;
    // Names and positions whose order as text or as bytes is not their order as numbers.
    done(store.as_mut(), &numbered("a", 0, 300))?;
    done(store.as_mut(), &numbered("ab", 0, 3).put("k/2", b"x").put("k/1", b"y").put("l", b"z"))?;
    same("all", store.read("a", 0, ALL), page(0, 300))?;
    same("a neighbour's name", store.read("ab", 0, ALL), page(0, 3))?;
    same("by count", store.read("a", 250, Limit { entries: 10, ..ALL }), page(250, 260))?;
    same("by bytes", store.read("a", 98, Limit { bytes: 7, ..ALL }), page(98, 101))?;
    same("one at least", store.read("a", 100, Limit { entries: 0, bytes: 0 }), page(100, 101))?;
    same("at the end", store.read("a", 300, ALL), page(300, 300))?;
    let beyond = StoreError::Beyond { log: "a".to_owned(), next: 300, asked: 301 };
    same("beyond the end", store.read("a", 301, ALL), Err(beyond))?;
    same("nobody's log", store.read("none", 0, ALL), page(0, 0))?;
    same("names", store.logs(), vec!["a".to_owned(), "ab".to_owned()])?;
    let records = vec![("k/1".to_owned(), b"y".to_vec()), ("k/2".to_owned(), b"x".to_vec())];
    same("records by prefix", store.records("k/"), Ok(records))
}

fn next_position(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = opened(medium)?;
    done(store.as_mut(), &numbered("a", 0, 5))?;
    for told in [0, 4, 6] {
        let refused = StoreError::Position { log: "a".to_owned(), next: 5, told };
        same("refused", store.apply(&Batch::new().append("a", told, b"no")), Err(refused))?;
    }
    same("unchanged", store.read("a", 0, ALL), page(0, 5))
}

fn atomic(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = opened(medium)?;
    done(store.as_mut(), &numbered("a", 0, 5).put("k", b"old"))?;
    let batch = numbered("a", 5, 7).trim("a", 3).put("k", b"new").put("m", b"new").append("b", 0, b"0");
    let refused = batch.remove("k").append("b", 7, b"no");
    same("refused", store.apply(&refused).is_err(), true)?;
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
    same("the rest", store.read("a", 4, ALL), page(4, 10))?;
    same("above what is there", store.apply(&Batch::new().trim("a", 11)).is_err(), true)?;
    done(store.as_mut(), &Batch::new().trim("a", 10))?;
    drop(store);
    let mut store = opened(medium)?;
    same("an emptied log keeps its place", store.head("a"), Head { first: 10, next: 10 })?;
    done(store.as_mut(), &numbered("a", 10, 11))?;
    same("and goes on", store.read("a", 10, ALL), page(10, 11))
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
    same("what is new", store.read("a", 900, ALL), page(900, 901))?;
    same("what was old", store.read("a", 4, ALL).is_err(), true)
}

fn bounded(medium: &mut dyn Medium) -> Result<(), String> {
    let mut store = opened(medium)?;
    let large = vec![7; ENTRY_BYTES];
    same(
        "one byte over",
        store.apply(&Batch::new().append("a", 0, &[large.as_slice(), &[7]].concat())).is_err(),
        true,
    )?;
    let mut next = 0;
    let full = loop {
        match store.apply(&Batch::new().append("a", next, &large)) {
            Ok(()) if next < 64 => next += 1,
            Ok(()) => return Err(format!("{next} large entries in {ROOM} bytes")),
            Err(e) => break e,
        }
    };
    same("full is said", matches!(full, StoreError::Full { room: ROOM, .. }), true)?;
    same("it took what has room", next, ROOM / (ENTRY_BYTES as u64 + 64))?;
    done(store.as_mut(), &Batch::new().put("cursor", b"7").trim("a", 5))?;
    drop(store);
    let mut store = opened(medium)?;
    for _ in 0..5 {
        done(store.as_mut(), &Batch::new().append("a", next, &large))?;
        next += 1;
    }
    same("full again", store.apply(&Batch::new().append("a", next, &large)).is_err(), true)
}
