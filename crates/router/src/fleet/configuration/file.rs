//! The operator file of the configuration: the control machines that hold this router's settings, and the file in which
//! the router saves the settings it has received.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use vetchkeel_configuration::{Name, Plan};
use vetchkeel_control::{address, machines, name, plan};
use vetchkeel_operator::{FileError, OperatorFile};

/// The validated contents of the file.
#[derive(Debug)]
pub struct ConfigurationSettings {
    /// The address at which the control machines reach this router.
    pub address: SocketAddr,
    pub machines: BTreeMap<Name, SocketAddr>,
    /// Control machines of the router's own zone or region, which are tried first.
    pub near: Vec<Name>,
    /// The file in which the version and its document are saved for a restart.
    pub state_file: PathBuf,
    pub plan: Plan,
}

fn parse(file: &OperatorFile) -> Result<ConfigurationSettings, FileError> {
    let root = file.root();
    let section = root.require_block("configuration")?;
    let machines = machines(&section, "machine")?;
    if machines.is_empty() {
        return Err(section.wrong("at least one block machine", "none"));
    }
    let near = match section.value("near") {
        None => Vec::new(),
        Some(list) => list.list()?.iter().map(name).collect::<Result<Vec<Name>, FileError>>()?,
    };
    let state_file = section.require("keep").and_then(|v| v.text().map(PathBuf::from))?;
    let settings = ConfigurationSettings {
        address: address(&section)?,
        machines,
        near,
        state_file,
        plan: plan(&section)?,
    };
    section.done()?;
    root.done()?;
    Ok(settings)
}

/// Reads and validates the file. The error is one line: file, line, what was expected.
pub fn read(path: &Path) -> Result<ConfigurationSettings, String> {
    OperatorFile::read(path).and_then(|file| parse(&file)).map_err(|wrong| wrong.to_string())
}

#[cfg(test)]
mod tests;
