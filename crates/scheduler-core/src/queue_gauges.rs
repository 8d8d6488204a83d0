use crate::prelude::*;

/// Lengths and ages of what waits at a scheduler, for the metrics page.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueGauges {
    /// Commands that wait to be put in the log.
    pub inbox: u64,
    /// Age of the oldest of them.
    pub inbox_age_ms: Millis,
    /// Batches in the log that aren't applied.
    pub flights: u64,
    /// Gateways' reports that aren't in the log.
    pub reports: u64,
    /// Age of the oldest of them.
    pub reports_age_ms: Millis,
    /// Attempts that are to be stopped and aren't over.
    pub stops: u64,
    /// Steps with tasks that wait for a worker.
    pub ready_steps: u64,
    /// Events that views can be built from.
    pub journal_events: u64,
}

impl QueueGauges {
    /// Hands each gauge's name and value on.
    ///
    /// ```
    /// let gauges = scheduler_core::QueueGauges { inbox: 3, ..Default::default() };
    /// let mut sum = 0;
    /// gauges.each(|_, value| sum += value);
    /// assert_eq!(sum, 3);
    /// ```
    pub fn each(&self, mut told: impl FnMut(&'static str, u64)) {
        told("scheduler_inbox_commands", self.inbox);
        told("scheduler_inbox_age_ms", self.inbox_age_ms);
        told("scheduler_batches_in_log", self.flights);
        told("scheduler_reports_open", self.reports);
        told("scheduler_reports_age_ms", self.reports_age_ms);
        told("scheduler_stops_open", self.stops);
        told("scheduler_ready_steps", self.ready_steps);
        told("scheduler_journal_events", self.journal_events);
    }
}

impl Scheduler {
    /// Lengths and ages of its queues.
    pub fn queue_gauges(&self, now: Millis) -> QueueGauges {
        let age = |since: Option<Millis>| since.map_or(0, |since| now.saturating_sub(since));
        let state = &self.ledger.state;
        let reports = self.sessions.values().map(|session| &session.reports);
        QueueGauges {
            inbox: self.inbox.len() as u64,
            inbox_age_ms: age(self.inbox.front().map(|queued| queued.origin.since)),
            flights: self.flights.len() as u64,
            reports: reports.clone().map(VecDeque::len).sum::<usize>() as u64,
            reports_age_ms: age(reports.filter_map(|open| open.front()).map(|open| open.since).min()),
            stops: state.tables.attempts.values().filter(|attempt| attempt.stop.is_some()).count() as u64,
            ready_steps: state.ready.groups().map(|(_, steps)| steps.len() as u64).sum(),
            journal_events: self.ledger.journal.len() as u64,
        }
    }
}
