//! Fault injection: makes system calls of the router fail at a set rate, through the library in `examples/faults`.

#[path = "../../examples/faults/layout.rs"]
mod layout;

pub use layout::Fault;
use layout::{DELAYS_OFF, INJECTED, SEED, SYNC_DELAY, WALL_CLOCK, WORDS};
use std::fs::OpenOptions;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The rate, in a million calls, at which every call fails.
pub const ALWAYS: u64 = 1_000_000;

/// Delays of the library are shorter than this.
const MAX_DELAY: Duration = Duration::from_millis(155);

/// The control file of the fault-injection library, shared with one or more processes.
pub struct Faults {
    path: PathBuf,
    words: &'static [AtomicU64; WORDS],
}

impl Faults {
    pub fn new(seed: u64) -> Faults {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("vetchkeel-faults-{}-{}", std::process::id(), COUNT.fetch_add(1, Relaxed));
        let path = std::env::temp_dir().join(name);
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&path);
        let file = file.expect("a temporary file");
        file.set_len(WORDS as u64 * 8).expect("a length");
        // SAFETY: the file is that long, and the mapping lives until the test process ends.
        let words = unsafe {
            let (access, any) = (libc::PROT_READ | libc::PROT_WRITE, std::ptr::null_mut());
            let at = libc::mmap(any, WORDS * 8, access, libc::MAP_SHARED, file.as_raw_fd(), 0);
            assert!(at != libc::MAP_FAILED, "a mapping");
            &*at.cast::<[AtomicU64; WORDS]>()
        };
        words[SEED].store(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1, Relaxed);
        Faults { path, words }
    }

    /// Sets the rate at which calls meet this fault, in a million calls.
    pub fn set(&self, fault: Fault, per_million: u64) {
        self.words[fault as usize].store(per_million, Relaxed);
    }

    pub fn clear(&self) {
        self.words[..INJECTED].iter().for_each(|word| word.store(0, Relaxed));
    }

    /// How often the fault has been injected.
    pub fn injected(&self, fault: Fault) -> u64 {
        self.words[INJECTED + fault as usize].load(Relaxed)
    }

    /// Waits until the fault has been injected at least once.
    pub fn wait_for(&self, fault: Fault) {
        let began = Instant::now();
        while self.injected(fault) == 0 {
            assert!(began.elapsed() < super::WAIT, "{fault:?} was not injected in time");
            sleep(Duration::from_millis(1));
        }
    }

    /// Lets no call be delayed from now on, or lets delays be injected again. Waits for a delay that has begun.
    pub fn suspend_delays(&self, off: bool) {
        self.words[DELAYS_OFF].store(off as u64, Relaxed);
        if off {
            sleep(MAX_DELAY);
        }
    }

    /// Delays each `fsync` from now on.
    pub fn delay_sync(&self, by: Duration) {
        self.words[SYNC_DELAY].store(by.as_millis() as u64, Relaxed);
    }

    /// Sets the offset of the wall clock, in milliseconds.
    pub fn step_wall_clock(&self, by: i64) {
        self.words[WALL_CLOCK].store((by * 1_000) as u64, Relaxed);
    }

    /// The environment variables that load the library into a process.
    pub fn environment(&self) -> [(&'static str, PathBuf); 2] {
        [("LD_PRELOAD", library().clone()), ("FAULT_CONTROL", self.path.clone())]
    }
}

/// The path of the library, next to the program. Cargo builds the examples when it tests the whole package, but not for a
/// single test file, so the library is built here if it is missing.
fn library() -> &'static PathBuf {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let program = Path::new(env!("CARGO_BIN_EXE_vetchkeel-router"));
        let library = program.parent().expect("a folder").join("examples/libfaults.so");
        if !library.exists() {
            build();
        }
        assert!(library.exists(), "the fault-injection library is missing: {}", library.display());
        library
    })
}

fn build() {
    let profile = if cfg!(debug_assertions) { "dev" } else { "release" };
    let built = Command::new(env!("CARGO"))
        .args(["build", "--quiet", "--locked", "--package", "vetchkeel-router", "--example", "faults"])
        .args(["--profile", profile])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status();
    assert!(built.is_ok_and(|status| status.success()), "building the fault-injection library failed");
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
