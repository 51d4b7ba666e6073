//! Processor time: of this thread, and of a child's process.

use std::time::Duration;

/// This thread's processor time so far.
pub fn of_thread() -> Duration {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the system writes one timespec.
    unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut time) };
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// The processor time of `work`, in seconds.
pub fn spent(work: impl FnOnce()) -> f64 {
    let from = of_thread();
    work();
    (of_thread() - from).as_secs_f64()
}

/// A process's time on a processor, its threads together, by the scheduler's count.
pub fn of_process(pid: u32) -> Result<Duration, String> {
    let folder = format!("/proc/{pid}/task");
    let wrong = |e: std::io::Error| format!("{folder}: {e}");
    let mut nanos = 0;
    for thread in std::fs::read_dir(&folder).map_err(wrong)?.flatten() {
        let path = thread.path().join("schedstat");
        let text = std::fs::read_to_string(&path).map_err(wrong)?;
        let on_processor: Option<u64> = text.split_whitespace().next().and_then(|n| n.parse().ok());
        nanos += on_processor.ok_or_else(|| format!("{}: expected a count", path.display()))?;
    }
    Ok(Duration::from_nanos(nanos))
}

/// Resident memory of a process in bytes.
pub fn resident(pid: u32) -> Result<f64, String> {
    let path = format!("/proc/{pid}/status");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse::<f64>().ok());
    kilobytes.map(|k| k * 1024.0).ok_or_else(|| format!("{path}: expected VmRSS"))
}
