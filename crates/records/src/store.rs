//! The store: one redb file. An experiment is begun, each of its runs is one transaction, and then it is finished. A
//! writer that is killed leaves all runs that it was told are kept; the experiment is told as cut short.

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;
use vetchkeel_lab::result::RunResult;

const EXPERIMENTS: TableDefinition<u64, &[u8]> = TableDefinition::new("experiments");
const RUNS: TableDefinition<(u64, u32), &[u8]> = TableDefinition::new("runs");
/// Level of compression: results are small and written seldom.
const LEVEL: i32 = 9;

/// An experiment as it was run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    pub name: String,
    pub about: String,
    /// Text of the file.
    pub text: String,
    pub driver: String,
    /// Unix time in milliseconds.
    pub begun_ms: u64,
    /// Runs that it is to have.
    pub planned: u32,
    pub finished: bool,
    /// Version of the program that ran it.
    pub version: String,
}

/// An experiment out of the store.
#[derive(Clone, Debug)]
pub struct Kept {
    pub id: u64,
    pub summary: Summary,
    pub runs: Vec<RunResult>,
}

/// An experiment as it is listed, with how many of its runs are kept.
#[derive(Debug)]
pub struct Listed {
    pub id: u64,
    pub summary: Result<Summary, StoreError>,
    pub runs: usize,
}

#[derive(Debug)]
pub enum StoreError {
    Store(Box<redb::Error>),
    /// An entry that is not what this version writes.
    Unreadable(u64, String),
    Missing(u64),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Store(e) => write!(f, "the store: {e}"),
            StoreError::Unreadable(id, why) => write!(f, "experiment {id} can't be read: {why}"),
            StoreError::Missing(id) => write!(f, "no experiment has the number {id}"),
        }
    }
}

impl std::error::Error for StoreError {}

impl<E: Into<redb::Error>> From<E> for StoreError {
    fn from(e: E) -> StoreError {
        StoreError::Store(Box::new(e.into()))
    }
}

pub struct Store {
    database: Database,
}

fn packed<T: Serialize>(id: u64, what: &T) -> Result<Vec<u8>, StoreError> {
    let text = serde_json::to_vec(what).map_err(|e| StoreError::Unreadable(id, e.to_string()))?;
    zstd::encode_all(text.as_slice(), LEVEL).map_err(|e| StoreError::Unreadable(id, e.to_string()))
}

fn unpacked<T: for<'a> Deserialize<'a>>(id: u64, bytes: &[u8]) -> Result<T, StoreError> {
    let text = zstd::decode_all(bytes).map_err(|e| StoreError::Unreadable(id, e.to_string()))?;
    serde_json::from_slice(&text).map_err(|e| StoreError::Unreadable(id, e.to_string()))
}

impl Store {
    /// Opens the file, or makes it.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        let database = Database::create(path)?;
        let write = database.begin_write()?;
        write.open_table(EXPERIMENTS)?;
        write.open_table(RUNS)?;
        write.commit()?;
        Ok(Store { database })
    }

    /// Begins an experiment; its number.
    pub fn begin(&self, summary: &Summary) -> Result<u64, StoreError> {
        let write = self.database.begin_write()?;
        let id = {
            let mut table = write.open_table(EXPERIMENTS)?;
            let id = table.last()?.map_or(1, |(id, _)| id.value() + 1);
            table.insert(id, packed(id, summary)?.as_slice())?;
            id
        };
        write.commit()?;
        Ok(id)
    }

    /// Keeps one run. It is there after this returns, whatever happens to the process.
    pub fn keep(&self, id: u64, number: u32, run: &RunResult) -> Result<(), StoreError> {
        let write = self.database.begin_write()?;
        write.open_table(RUNS)?.insert((id, number), packed(id, run)?.as_slice())?;
        write.commit()?;
        Ok(())
    }

    pub fn finish(&self, id: u64) -> Result<(), StoreError> {
        let mut summary = self.summary(id)?;
        summary.finished = true;
        let write = self.database.begin_write()?;
        write.open_table(EXPERIMENTS)?.insert(id, packed(id, &summary)?.as_slice())?;
        write.commit()?;
        Ok(())
    }

    pub fn summary(&self, id: u64) -> Result<Summary, StoreError> {
        let read = self.database.begin_read()?;
        let table = read.open_table(EXPERIMENTS)?;
        let found = table.get(id)?.ok_or(StoreError::Missing(id))?;
        unpacked(id, found.value())
    }

    /// All experiments, with how many runs each has. Those that can't be read are told as such.
    pub fn list(&self) -> Result<Vec<Listed>, StoreError> {
        let read = self.database.begin_read()?;
        let (experiments, runs) = (read.open_table(EXPERIMENTS)?, read.open_table(RUNS)?);
        let mut list = Vec::new();
        for entry in experiments.iter()? {
            let (id, bytes) = entry?;
            let id = id.value();
            let count = runs.range((id, 0)..=(id, u32::MAX))?.count();
            list.push(Listed { id, summary: unpacked(id, bytes.value()), runs: count });
        }
        Ok(list)
    }

    pub fn get(&self, id: u64) -> Result<Kept, StoreError> {
        let summary = self.summary(id)?;
        let read = self.database.begin_read()?;
        let table = read.open_table(RUNS)?;
        let mut runs = Vec::new();
        for entry in table.range((id, 0)..=(id, u32::MAX))? {
            runs.push(unpacked(id, entry?.1.value())?);
        }
        Ok(Kept { id, summary, runs })
    }

    /// The experiment that was begun last.
    pub fn latest(&self) -> Result<Option<u64>, StoreError> {
        let read = self.database.begin_read()?;
        let table = read.open_table(EXPERIMENTS)?;
        Ok(table.last()?.map(|(id, _)| id.value()))
    }
}
