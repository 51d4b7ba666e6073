//! The operator file: which control machines hold this router's settings, and where it keeps what it was told.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use vetchkeel_configuration::{Name, Plan};
use vetchkeel_control::{address, machines, name, plan};
use vetchkeel_operator::{OperatorFile, Wrong};

/// The file, checked.
#[derive(Debug)]
pub struct Held {
    /// Where the machines reach this router.
    pub address: SocketAddr,
    pub machines: BTreeMap<Name, SocketAddr>,
    /// Machines of its own zone or region, which are tried first.
    pub near: Vec<Name>,
    /// The file in which version and document are found again.
    pub keep: PathBuf,
    pub plan: Plan,
}

fn held(file: &OperatorFile) -> Result<Held, Wrong> {
    let root = file.root();
    let section = root.need_block("configuration")?;
    let machines = machines(&section, "machine")?;
    if machines.is_empty() {
        return Err(section.wrong("at least one block machine", "none"));
    }
    let near = match section.value("near") {
        None => Vec::new(),
        Some(list) => list.list()?.iter().map(name).collect::<Result<Vec<Name>, Wrong>>()?,
    };
    let keep = section.need("keep").and_then(|v| v.text().map(PathBuf::from))?;
    let held = Held { address: address(&section)?, machines, near, keep, plan: plan(&section)? };
    section.done()?;
    root.done()?;
    Ok(held)
}

/// Reads and checks it. The error is one line: file, line, what was expected.
pub fn read(path: &Path) -> Result<Held, String> {
    OperatorFile::read(path).and_then(|file| held(&file)).map_err(|wrong| wrong.to_string())
}

#[cfg(test)]
mod tests;
