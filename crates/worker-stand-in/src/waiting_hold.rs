use crate::prelude::*;

/// A hold that waits for news.
pub(crate) struct WaitingHold {
    pub(crate) token: Token,
    pub(crate) seen: u64,
    pub(crate) until: Millis,
}
