//! The operator file of a control machine.

use crate::{address, machines, name, plan};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use vetchkeel_configuration::{Name, Plan};
use vetchkeel_operator::{FileError, OperatorFile};

/// The checked settings of the operator file.
#[derive(Debug)]
pub struct Control {
    pub name: Name,
    pub address: SocketAddr,
    /// Addresses of the other machines.
    pub others: BTreeMap<Name, SocketAddr>,
    /// Addresses of routers that are reached at another address than the one they announce.
    pub via: BTreeMap<Name, SocketAddr>,
    pub keepers: Vec<Name>,
    /// The document to publish on SIGHUP: a JSON object, as `settings` in a router's configuration.
    pub document: PathBuf,
    /// File with the state that this machine restores at its next start.
    pub keep: PathBuf,
    pub plan: Plan,
}

fn control(file: &OperatorFile) -> Result<Control, FileError> {
    let root = file.root();
    let section = root.require_block("control")?;
    let me = name(&section.require("name")?)?;
    let mut others = machines(&section, "machine")?;
    others.remove(&me);
    let listed = section.require("keepers")?;
    let keepers = listed.list()?.iter().map(name).collect::<Result<Vec<Name>, FileError>>()?;
    if keepers.len() % 2 == 0 || keepers.iter().any(|k| *k != me && !others.contains_key(k)) {
        return Err(
            listed.wrong("an odd number of this machine and those under 'machine', the same at all machines")
        );
    }
    let path = |name: &str| section.require(name).and_then(|v| v.text().map(PathBuf::from));
    let control = Control {
        address: address(&section)?,
        via: machines(&section, "router")?,
        document: path("document")?,
        keep: path("keep")?,
        plan: plan(&section)?,
        name: me,
        others,
        keepers,
    };
    section.done()?;
    root.done()?;
    Ok(control)
}

/// Reads and checks the operator file. The error is one line with the file, the position and what was expected.
pub fn read(path: &Path) -> Result<Control, String> {
    OperatorFile::read(path).and_then(|file| control(&file)).map_err(|wrong| wrong.to_string())
}

#[cfg(test)]
mod tests;
