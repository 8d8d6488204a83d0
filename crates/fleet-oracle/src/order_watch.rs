use crate::prelude::*;

/// An order that can be on or off: from when on it is surely in force, as far as its sender was told.
#[derive(Default)]
pub(crate) struct OrderWatch {
    last_sent: Option<bool>,
    /// First send of the order that is on.
    pub(crate) on_sent: Option<Millis>,
    /// Acknowledged, and no end of it sent since.
    pub(crate) in_force_since: Option<Millis>,
}

impl OrderWatch {
    /// An order left its sender: an end of it may be in force from now on, told or not.
    pub(crate) fn sent(&mut self, on: bool, at: Millis) {
        if on && self.last_sent != Some(true) {
            self.on_sent = Some(at);
        }
        if !on {
            self.on_sent = None;
            self.in_force_since = None;
        }
        self.last_sent = Some(on);
    }

    /// An order was acknowledged. Returns whether it is newly known to be in force.
    pub(crate) fn answered(&mut self, on: bool, at: Millis) -> bool {
        if !on {
            // With a newer order on the way, which of the two came last can't be told.
            self.in_force_since = None;
            return false;
        }
        let news = self.last_sent != Some(false) && self.in_force_since.is_none();
        if news {
            self.in_force_since = Some(at);
        }
        news
    }
}
