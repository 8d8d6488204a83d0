use crate::prelude::*;

/// A wait that doubles with each try up to `most`, half of it at random.
///
/// ```
/// use gateway_core::prelude::*;
/// let mut rng = ChaCha8Rng::seed_from_u64(1);
/// let d = backoff(100, 1_000, 2, &mut rng);
/// assert!((200..=400).contains(&d));
/// assert!(backoff(100, 1_000, 60, &mut rng) <= 1_000);
/// ```
pub fn backoff(first: Millis, most: Millis, tries: u32, rng: &mut impl Rng) -> Millis {
    let whole = first.saturating_mul(1 << tries.min(20)).min(most).max(1);
    whole - rng.random_range(0..=whole / 2)
}
