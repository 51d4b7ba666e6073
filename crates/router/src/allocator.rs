//! Makes the system's allocator give memory back to the system when it is freed. By default it keeps what large
//! allocations have freed for later ones, so the process would stay as large as it once was.

/// Allocations of at least this many bytes get pages of their own, which are given back as soon as they are freed.
const MIN_OWN_PAGES: libc::c_int = 32 * 1024;
/// Free memory at the top of the heap, in bytes, above which it is given back.
const MAX_FREE_TOP: libc::c_int = 256 * 1024;

/// Sets the allocator's thresholds, which also keeps it from raising them by itself.
#[cfg(target_env = "gnu")]
pub fn configure() {
    for (parameter, bytes) in
        [(libc::M_MMAP_THRESHOLD, MIN_OWN_PAGES), (libc::M_TRIM_THRESHOLD, MAX_FREE_TOP)]
    {
        // SAFETY: only numbers are passed. If the allocator refuses one, it keeps its default.
        unsafe { libc::mallopt(parameter, bytes) };
    }
}

/// Gives free memory between allocations back. Without this, one small allocation near the top of the heap keeps all free memory
/// below it.
#[cfg(target_env = "gnu")]
pub fn give_back() {
    // SAFETY: only a number is passed: no free memory is kept at the top.
    unsafe { libc::malloc_trim(0) };
}

/// Other C libraries have no such thresholds.
#[cfg(not(target_env = "gnu"))]
pub fn configure() {}

/// Nor such a call.
#[cfg(not(target_env = "gnu"))]
pub fn give_back() {}
