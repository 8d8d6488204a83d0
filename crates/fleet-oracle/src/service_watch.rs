use crate::prelude::*;

/// Watches for times in which jobs are sent and none is accepted.
#[derive(Default)]
pub(crate) struct ServiceWatch {
    waiting_since: Option<Millis>,
    last_sent: Millis,
    told: bool,
    longest: Millis,
}

impl ServiceWatch {
    /// A job was sent. Returns the length of an outage past the bound, once for each.
    pub(crate) fn sent(&mut self, at: Millis, b: &OracleBounds) -> Option<Millis> {
        if at.saturating_sub(self.last_sent) > b.sending_gap_ms {
            self.waiting_since = None;
        }
        self.last_sent = at;
        if self.waiting_since.is_none() {
            self.waiting_since = Some(at);
            self.told = false;
        }
        self.measure(at, b)
    }

    /// A job was accepted, or its name was found taken: the service is there.
    pub(crate) fn served(&mut self, at: Millis, b: &OracleBounds) -> Option<Millis> {
        // Time after the last send counts only as far as sends may lie apart.
        let upto = at.min(self.last_sent.saturating_add(b.sending_gap_ms));
        let found = self.measure(upto, b);
        self.waiting_since = None;
        found
    }

    fn measure(&mut self, at: Millis, b: &OracleBounds) -> Option<Millis> {
        let ms = at.saturating_sub(self.waiting_since?);
        self.longest = self.longest.max(ms);
        if ms <= b.outage_ms || self.told {
            return None;
        }
        self.told = true;
        Some(ms)
    }

    /// The longest so far.
    pub(crate) fn longest(&self) -> Millis {
        self.longest
    }
}
