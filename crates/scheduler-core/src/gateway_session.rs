use crate::prelude::*;

/// A report of facts that isn't in the log yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenReport {
    /// Its number.
    pub report: u64,
    /// How many of its facts aren't applied.
    pub open: usize,
    /// When it came.
    pub since: Millis,
}

/// A gateway's channel to the elected scheduler.
#[derive(Clone, Debug)]
pub struct GatewaySession {
    /// Its name.
    pub name: Name,
    /// Its record in the log.
    pub record: GatewayRecord,
    /// The last event whose news of jobs it has been sent: its view number.
    pub view: u64,
    /// The last event whose orders it has been sent.
    pub ordered: u64,
    /// The last event that was looked at for something that can't wait.
    pub scanned: u64,
    /// Configuration version it has been sent.
    pub configuration: u64,
    /// When it was last heard.
    pub heard_at: Millis,
    /// When it was last sent news.
    pub flushed_at: Millis,
    /// Reports not yet in the log.
    pub reports: VecDeque<OpenReport>,
    /// The newest report in an inbox or in the log.
    pub reported: u64,
}

impl GatewaySession {
    /// One more fact of a report is applied.
    pub fn fact_applied(&mut self, report: u64) {
        if let Some(open) = self.reports.iter_mut().find(|open| open.report == report) {
            open.open = open.open.saturating_sub(1);
        }
    }

    /// The newest report that is in the log with all before it, if there is one that nobody was told of.
    pub fn take_done(&mut self) -> Option<u64> {
        let mut done = None;
        while let Some(first) = self.reports.pop_front_if(|first| first.open == 0) {
            done = Some(first.report);
        }
        done
    }
}

/// What of the news a gateway is to get now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flush {
    /// Nothing before the next flush is due.
    Later,
    /// Its orders.
    Orders,
    /// All news.
    All,
}
