//! System calls of the program that fail when a test says so (`examples/faults`).

#[path = "../../examples/faults/layout.rs"]
mod layout;

pub use layout::Fault;
use layout::{INJECTED, SEED, WALL_CLOCK, WORDS};
use std::fs::OpenOptions;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// One in so many calls fails, as the library counts it.
pub const ALWAYS: u64 = 1_000_000;

/// The control file of one or more processes.
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
        // SAFETY: the file is that long, and the mapping stays for as long as the test's process.
        let words = unsafe {
            let (access, any) = (libc::PROT_READ | libc::PROT_WRITE, std::ptr::null_mut());
            let at = libc::mmap(any, WORDS * 8, access, libc::MAP_SHARED, file.as_raw_fd(), 0);
            assert!(at != libc::MAP_FAILED, "a mapping");
            &*at.cast::<[AtomicU64; WORDS]>()
        };
        words[SEED].store(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1, Relaxed);
        Faults { path, words }
    }

    /// From now on so many calls in a million meet this fault.
    pub fn set(&self, fault: Fault, in_a_million: u64) {
        self.words[fault as usize].store(in_a_million, Relaxed);
    }

    pub fn none(&self) {
        self.words[..INJECTED].iter().for_each(|word| word.store(0, Relaxed));
    }

    /// How often it has come.
    pub fn injected(&self, fault: Fault) -> u64 {
        self.words[INJECTED + fault as usize].load(Relaxed)
    }

    /// Waits until it has come.
    pub fn met(&self, fault: Fault) {
        let began = Instant::now();
        while self.injected(fault) == 0 {
            assert!(began.elapsed() < super::WAIT, "{fault:?} has not come");
            sleep(Duration::from_millis(1));
        }
    }

    /// From now on the wall clock is wrong by so much, in milliseconds.
    pub fn step_wall_clock(&self, by: i64) {
        self.words[WALL_CLOCK].store((by * 1_000) as u64, Relaxed);
    }

    /// What the environment of a process must hold.
    pub fn variables(&self) -> [(&'static str, PathBuf); 2] {
        [("LD_PRELOAD", library().clone()), ("FAULT_CONTROL", self.path.clone())]
    }
}

/// The library, beside the program. Cargo builds examples for a test of the whole package, but not for one test file of it.
fn library() -> &'static PathBuf {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let program = Path::new(env!("CARGO_BIN_EXE_vetchkeel-router"));
        let library = program.parent().expect("a folder").join("examples/libfaults.so");
        if !library.exists() {
            build();
        }
        assert!(library.exists(), "built: {}", library.display());
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
    assert!(built.is_ok_and(|status| status.success()), "the library of failing system calls is built");
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
