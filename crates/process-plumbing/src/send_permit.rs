use crate::prelude::*;

/// Nothing of the body has left.
const WAITING: u8 = 0;
/// The body was handed to the socket.
const LEFT: u8 = 1;
/// The body never leaves.
const REVOKED: u8 = 2;

/// Decides, once, whether a body may leave: either it leaves or it is revoked, never both.
///
/// ```
/// use process_plumbing::SendPermit;
/// let p = SendPermit::default();
/// assert!(p.revoke());
/// assert!(!p.leave());
/// ```
#[derive(Clone, Debug, Default)]
pub struct SendPermit {
    state: Arc<AtomicU8>,
}

impl SendPermit {
    /// True when the body may leave now.
    pub fn leave(&self) -> bool {
        self.step(LEFT)
    }

    /// True when it is certain that the body has not left and never will.
    pub fn revoke(&self) -> bool {
        self.step(REVOKED) || self.state.load(Ordering::SeqCst) == REVOKED
    }

    /// Takes the one step out of waiting.
    fn step(&self, to: u8) -> bool {
        self.state.compare_exchange(WAITING, to, Ordering::SeqCst, Ordering::SeqCst).is_ok()
    }
}
