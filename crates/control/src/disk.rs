//! Files that are found again whole, or as they were before.

use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::Path;

/// Puts these bytes in place of what was there: beside it, to the disk, then under its name. Danger: a machine that loses its
/// power in between finds the one or the other, never a half.
pub fn keep(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&beside, path)?;
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

/// What is there; None if nothing was ever kept.
pub fn found(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}
