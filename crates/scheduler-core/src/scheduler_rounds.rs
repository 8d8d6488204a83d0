//! From commands and rounds of placement to entries of the log.

use crate::prelude::*;

/// Commands in the inbox at most.
const INBOX_COMMANDS: usize = 8_192;
/// Batches in the log that aren't applied, at most: with two, one is written while the next gathers.
const FLIGHTS: usize = 2;
/// Entries in one hold interval when they come singly.
const LAUNCHES_A_HOLD: u64 = 40;
/// Commands in one batch at most.
pub(crate) const BATCH_COMMANDS: usize = 256;
/// Starts planned in one round at most.
const ROUND_STARTS: usize = 256;
/// Looks of all rounds of placement in one hold interval at most: the leader has other things to do.
const LOOKS_A_HOLD: u64 = 1 << 20;
/// Rounds of placement in one hold interval when nothing changed.
const IDLE_ROUNDS_A_HOLD: u64 = 4;

impl Scheduler {
    /// A batch did not get into the log: whoever waits may come back.
    pub(crate) fn shed(&mut self, token: u64, error: &ProposeError) {
        let hint = self.settings.log.election_timeout_ms;
        let Some(f) = self.flights.remove(&token) else { return };
        let error = match error {
            ProposeError::Overloaded { .. } => CallError::Shed { limit: "log".to_owned(), retry_after_ms: hint },
            ProposeError::TooLarge { bytes, limit } => {
                CallError::TooLarge { what: "command".to_owned(), size: *bytes as u64, limit: *limit as u64 }
            }
            _ => CallError::NoLeader { retry_after_ms: hint },
        };
        self.counters.batches_shed += 1;
        self.counters.commands_dropped += f.waiters.iter().filter(|waiter| waiter.is_none()).count() as u64;
        for w in f.waiters.into_iter().flatten() {
            self.answer(w, Err(error.clone()));
        }
        for s in self.sessions.values_mut() {
            // The gateway tells its facts again when it attaches again.
            let before = s.reports.len();
            s.reports.retain(|open| open.batch != token);
            self.counters.reports_shed += (before - s.reports.len()) as u64;
        }
    }

    /// Puts a command in the inbox.
    pub(crate) fn propose(&mut self, now: Millis, command: Command, waiter: Waiter, until: Millis) {
        if self.inbox.len() >= INBOX_COMMANDS {
            match waiter {
                Some(w) => {
                    let retry_after_ms = self.settings.hold_interval_ms;
                    self.answer(w, Err(CallError::Shed { limit: "scheduler's inbox".to_owned(), retry_after_ms }));
                }
                None => self.counters.commands_dropped += 1,
            }
            return;
        }
        self.inbox.push_back(QueuedCommand { command, waiter, until, since: now });
    }

    /// What follows from a changed state, after each input.
    pub(crate) fn settle(&mut self, now: Millis) {
        if !self.is_serving(now) {
            return;
        }
        self.release_held(now);
        self.plan(now);
        // After a pause a command leaves at once; under load they gather, since each entry has its price in messages and
        // syncs.
        let due = now >= self.launched_at + self.settings.hold_interval_ms / LAUNCHES_A_HOLD;
        while !self.inbox.is_empty() && self.flights.len() < FLIGHTS && (due || self.inbox.len() >= BATCH_COMMANDS) {
            self.launch(now);
        }
        self.flush(now);
    }

    /// Placement: one round at a time, each over what the last one brought about.
    pub(crate) fn plan(&mut self, now: Millis) {
        let idle = self.settings.hold_interval_ms / IDLE_ROUNDS_A_HOLD;
        let due = now >= self.planned_at + self.planning_pause_ms && (self.dirty || now >= self.planned_at + idle);
        let busy = self.flights.values().any(|f| f.starts) || self.inbox.iter().any(|c| matches!(c.command, Command::Start { .. }));
        if !due || busy || self.ledger.state.ready.is_empty() {
            return;
        }
        self.planned_at = now;
        self.counters.rounds += 1;
        let log_time = self.replica.log_time(now);
        let state = &self.ledger.state;
        let planner = StartPlanner::new(state, log_time, ROUND_STARTS, self.settings.policies, &self.planner_memory);
        let round = planner.plan();
        self.planner_memory.settle(log_time, &round, state.tables.rules.gang_time_budget_ms);
        let PlannedRound { starts, victims, looks, cut, .. } = round;
        self.counters.looks += looks;
        self.counters.rounds_cut += u64::from(cut);
        self.planning_pause_ms = self.settings.hold_interval_ms * looks.total() / LOOKS_A_HOLD;
        // What waits goes on where this round was cut short, also when nothing changes.
        self.dirty = cut;
        if !victims.is_empty() {
            self.counters.preempted += victims.len() as u64;
            self.inbox.push_back(QueuedCommand::own(Command::Preempt(victims), now));
        }
        for (starts, gang) in starts {
            self.counters.planned += starts.len() as u64;
            self.inbox.push_back(QueuedCommand::own(Command::Start { starts, gang }, now));
        }
    }

    /// Proposes the next batch: all starts of a round stay in order behind what came before.
    pub(crate) fn launch(&mut self, now: Millis) {
        self.batch += 1;
        self.launched_at = now;
        let n = self.inbox.len().min(BATCH_COMMANDS);
        let mut flight = BatchInLog::default();
        let mut commands = Vec::with_capacity(n);
        let first: Vec<_> = self.inbox.drain(..n).collect();
        for QueuedCommand { command, waiter, until, .. } in first {
            if let Some(w) = waiter.filter(|_| now >= until) {
                // Its caller has gone: nothing of it is in the log.
                self.answer(w, Err(CallError::TimeBudgetSpent { retry_after_ms: self.settings.hold_interval_ms }));
                continue;
            }
            flight.starts |= matches!(command, Command::Start { .. });
            commands.push(command);
            flight.waiters.push(waiter);
        }
        let batch = CommandBatch { proposer: self.replica.id(), number: self.batch, commands };
        self.flights.insert(self.batch, flight);
        let (token, command) = (self.batch, batch.to_bytes());
        self.drive(now, Input::Propose { token, command });
    }
}
