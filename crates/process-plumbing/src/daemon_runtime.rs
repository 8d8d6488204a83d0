use crate::prelude::*;

/// Threads of a daemon's runtime when settings say nothing else: its memory stays small.
pub const DEFAULT_WORKER_THREADS: usize = 2;

/// Stack of one runtime thread, in bytes.
const THREAD_STACK: usize = 1 << 20;

/// A multi-thread runtime that keeps little memory; 0 threads: [`DEFAULT_WORKER_THREADS`].
///
/// ```
/// let r = process_plumbing::daemon_runtime(1).unwrap();
/// assert_eq!(r.block_on(async { 4 }), 4);
/// ```
pub fn daemon_runtime(worker_threads: usize) -> Result<Runtime, PlumbingError> {
    RuntimeBuilder::new_multi_thread()
        .worker_threads(if worker_threads == 0 { DEFAULT_WORKER_THREADS } else { worker_threads })
        .thread_stack_size(THREAD_STACK)
        .enable_all()
        .build()
        .context(StartSnafu)
}
