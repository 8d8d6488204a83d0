use crate::prelude::*;

/// One reading of both clocks.
static ANCHOR: OnceLock<(Millis, std::time::Instant)> = OnceLock::new();

/// True time: Unix milliseconds from one reading of the wall clock and a monotonic clock since, as the stand-ins'
/// processes tell it too. Jumps of the wall clock don't move it.
pub fn true_now() -> Millis {
    let (unix, since) = ANCHOR.get_or_init(|| {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (unix.as_millis() as Millis, std::time::Instant::now())
    });
    unix + since.elapsed().as_millis() as Millis
}
