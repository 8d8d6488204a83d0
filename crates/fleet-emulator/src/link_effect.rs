use crate::prelude::*;

/// What is done to one direction of a link now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LinkEffect {
    /// Nothing passes; what is sent meanwhile waits, as unacknowledged segments would.
    pub cut: bool,
    /// Everything arrives this much later.
    pub delay_ms: u64,
    /// At most this many bytes a second; 0: no limit.
    pub bytes_per_s: u64,
}

impl LinkEffect {
    /// A cut.
    pub const CUT: LinkEffect = LinkEffect { cut: true, delay_ms: 0, bytes_per_s: 0 };

    /// Both together: the worse of each.
    ///
    /// ```
    /// use fleet_emulator::prelude::*;
    /// let slow = LinkEffect { cut: false, delay_ms: 30, bytes_per_s: 1000 };
    /// let slower = LinkEffect { cut: false, delay_ms: 10, bytes_per_s: 500 };
    /// assert_eq!(slow.and(slower), LinkEffect { cut: false, delay_ms: 30, bytes_per_s: 500 });
    /// ```
    pub fn and(self, o: LinkEffect) -> LinkEffect {
        let bytes_per_s = match (self.bytes_per_s, o.bytes_per_s) {
            (0, b) => b,
            (a, 0) => a,
            (a, b) => a.min(b),
        };
        LinkEffect { cut: self.cut || o.cut, delay_ms: self.delay_ms.max(o.delay_ms), bytes_per_s }
    }

    /// Whether it slows what passes.
    pub fn slows(&self) -> bool {
        self.delay_ms > 0 || self.bytes_per_s > 0
    }
}
