//! Atomic replacement of files.

use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::Path;

/// Replaces the content of a file: writes a temporary file, syncs it to the disk, renames it and syncs the directory.
/// Guards against a partly written file after a power failure: the old or the new content is found in full.
pub fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&beside, path)?;
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

/// Reads a file; `None` if it does not exist.
pub fn read_if_exists(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}
