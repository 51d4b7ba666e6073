//! The bytes that a thread holds: the system's allocator with a count beside it, for every program that links this.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

struct Counted;

thread_local! {
    static HELD: Cell<i64> = const { Cell::new(0) };
}

/// As glibc's malloc rounds a request up: a head of 8 bytes, steps of 16, 32 at least.
fn taken(size: usize) -> i64 {
    ((size + 8 + 15) & !15).max(32) as i64
}

fn add(bytes: i64) {
    // A thread at its end has no count any more.
    let _ = HELD.try_with(|held| held.set(held.get() + bytes));
}

// SAFETY: each call goes to the system's allocator as it came.
unsafe impl GlobalAlloc for Counted {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add(taken(layout.size()));
        // SAFETY: as the caller promises.
        unsafe { System.alloc(layout) }
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        add(taken(layout.size()));
        // SAFETY: as the caller promises.
        unsafe { System.alloc_zeroed(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        add(-taken(layout.size()));
        // SAFETY: as the caller promises.
        unsafe { System.dealloc(at, layout) }
    }

    unsafe fn realloc(&self, at: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        add(taken(size) - taken(layout.size()));
        // SAFETY: as the caller promises.
        unsafe { System.realloc(at, layout, size) }
    }
}

#[global_allocator]
static ALLOCATOR: Counted = Counted;

/// Bytes that this thread has allocated and not freed; below 0 where it has freed what others allocated.
pub fn held() -> i64 {
    HELD.with(Cell::get)
}
