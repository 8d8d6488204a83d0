/// Where a boot stands among those of its worker, and so what its word is worth in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BootStanding {
    /// The newest known: all it says counts.
    Newest,
    /// A newer one followed, and the log has met it: its ends still count.
    Past,
    /// Not known, or past without the log ever having met it: told now, it would look like a newer one.
    Unknown,
}
