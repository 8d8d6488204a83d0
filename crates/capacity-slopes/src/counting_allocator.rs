use crate::prelude::*;

/// The system's allocator, counting the bytes that are held. A program installs it with `#[global_allocator]`; without
/// that, memory is reported as not measured.
pub struct CountingAllocator;

thread_local! {
    /// Of this thread alone, so that other threads don't disturb what is read.
    static HELD: Cell<i64> = const { Cell::new(0) };
}
static INSTALLED: AtomicBool = AtomicBool::new(false);

impl CountingAllocator {
    /// Bytes that this thread took and did not give back, as asked for: the allocator's own heads and gaps come on top.
    /// `None` when it isn't installed.
    pub fn held_bytes() -> Option<i64> {
        INSTALLED.load(Ordering::Relaxed).then(|| HELD.get())
    }

    /// Counts; a thread that is ending counts no more.
    fn count(bytes: i64) {
        let _ = HELD.try_with(|h| h.set(h.get() + bytes));
    }
}

// SAFETY: every call goes to the system's allocator with the layout as given; the counters touch no memory of it.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, l: Layout) -> *mut u8 {
        INSTALLED.store(true, Ordering::Relaxed);
        Self::count(l.size() as i64);
        // SAFETY: the caller's promise is passed on.
        unsafe { System.alloc(l) }
    }

    unsafe fn dealloc(&self, p: *mut u8, l: Layout) {
        Self::count(-(l.size() as i64));
        // SAFETY: the caller's promise is passed on.
        unsafe { System.dealloc(p, l) }
    }

    unsafe fn realloc(&self, p: *mut u8, l: Layout, size: usize) -> *mut u8 {
        Self::count(size as i64 - l.size() as i64);
        // SAFETY: the caller's promise is passed on.
        unsafe { System.realloc(p, l, size) }
    }
}
