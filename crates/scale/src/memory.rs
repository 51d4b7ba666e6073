//! Memory of a process, as the system counts it.

/// Resident bytes of a process (`self` or its number); none where the system does not tell.
pub(crate) fn resident(process: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some(kilobytes * 1_024)
}
