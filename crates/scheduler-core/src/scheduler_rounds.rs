//! From commands and rounds of placement to entries of the log.

use crate::prelude::*;

/// Commands in the inbox at most.
const INBOX_COMMANDS: usize = 8_192;
/// Batches in the log that aren't applied, at most: with two, one is written while the next gathers.
const FLIGHTS: usize = 2;
/// Entries in one hold interval when they come singly.
const LAUNCHES_A_HOLD: u64 = 40;
/// Commands in one batch at most.
const BATCH_COMMANDS: usize = 256;
/// Starts planned in one round at most.
const ROUND_STARTS: usize = 256;
/// Looks of all rounds of placement in one hold interval at most: the leader has other things to do.
const LOOKS_A_HOLD: u64 = 1 << 20;
/// Rounds of placement in one hold interval when nothing changed.
const IDLE_ROUNDS_A_HOLD: u64 = 4;

impl Scheduler {
    /// A batch did not get into the log. Whoever waits may come back; what nobody would ask for again goes back to the head of the inbox,
    /// in its order.
    fn batch_refused(&mut self, RefusedBatch { queued, error }: RefusedBatch) {
        let hint = self.settings.log.election_timeout_ms;
        let error = match error {
            ProposeError::Overloaded { .. } => CallError::Shed { limit: "log".to_owned(), retry_after_ms: hint },
            _ => CallError::NoLeader { retry_after_ms: hint },
        };
        self.counters.batches_shed += 1;
        self.counters.facts_shed += queued.iter().filter(|queued| queued.origin.report.is_some()).count() as u64;
        let (kept, given_up): (Vec<QueuedCommand>, Vec<QueuedCommand>) = queued.into_iter().partition(QueuedCommand::is_kept);
        for queued in given_up {
            match queued.origin.waiter {
                Some(waiter) => self.answer(waiter, Err(error.clone())),
                None => self.counters.commands_dropped += 1,
            }
        }
        self.put_back(kept);
    }

    /// Puts commands back at the head of the inbox.
    fn put_back(&mut self, queued: Vec<QueuedCommand>) {
        for command in queued.into_iter().rev() {
            self.inbox.push_front(command);
        }
    }

    /// A command can never get into the log.
    fn command_too_large(&mut self, queued: QueuedCommand, bytes: usize, limit: usize) {
        self.counters.batches_shed += 1;
        match (queued.origin.waiter, queued.origin.report) {
            (Some(waiter), _) => {
                let error = CallError::TooLarge { what: "command".to_owned(), size: bytes as u64, limit: limit as u64 };
                self.answer(waiter, Err(error));
            }
            (None, Some(part)) => {
                self.counters.facts_shed += 1;
                self.give_session_up(part.channel);
            }
            (None, None) => self.counters.commands_dropped += 1,
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
        self.inbox.push_back(QueuedCommand { command, origin: CommandOrigin { waiter, report: None, until, since: now } });
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
            if !self.launch(now) {
                break;
            }
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

    /// Proposes the next batch: all starts of a round stay in order behind what came before. False when the log takes nothing now.
    pub(crate) fn launch(&mut self, now: Millis) -> bool {
        self.launched_at = now;
        let mut most = BATCH_COMMANDS;
        loop {
            let queued = self.next_commands(now, most);
            if queued.is_empty() {
                return true;
            }
            let Err(refused) = self.propose_batch(now, queued) else { return true };
            match refused {
                // Half as many at a time, until only what is too large by itself is left out.
                RefusedBatch { queued, error: ProposeError::TooLarge { .. } } if queued.len() > 1 => {
                    most = queued.len() / 2;
                    self.put_back(queued);
                }
                RefusedBatch { queued, error: ProposeError::TooLarge { bytes, limit } } => {
                    queued.into_iter().for_each(|alone| self.command_too_large(alone, bytes, limit));
                    return true;
                }
                refused => {
                    self.batch_refused(refused);
                    return false;
                }
            }
        }
    }

    /// Takes so many commands at most from the inbox; those whose caller has gone are answered, and nothing of them is in the log.
    fn next_commands(&mut self, now: Millis, most: usize) -> Vec<QueuedCommand> {
        let first: Vec<QueuedCommand> = self.inbox.drain(..self.inbox.len().min(most)).collect();
        let (spent, due): (Vec<QueuedCommand>, Vec<QueuedCommand>) = first.into_iter().partition(|queued| queued.is_spent(now));
        for waiter in spent.into_iter().filter_map(|queued| queued.origin.waiter) {
            self.answer(waiter, Err(CallError::TimeBudgetSpent { retry_after_ms: self.settings.hold_interval_ms }));
        }
        due
    }

    /// Proposes a batch; gives it back when the log refuses it.
    fn propose_batch(&mut self, now: Millis, queued: Vec<QueuedCommand>) -> Result<(), RefusedBatch> {
        self.batch += 1;
        let token = self.batch;
        let (commands, origins): (Vec<Command>, Vec<CommandOrigin>) =
            queued.into_iter().map(|queued| (queued.command, queued.origin)).unzip();
        let batch = CommandBatch { proposer: self.replica.id(), number: token, commands };
        let starts = batch.commands.iter().any(|command| matches!(command, Command::Start { .. }));
        self.flights.insert(token, BatchInLog { origins, starts });
        self.drive(now, Input::Propose { token, command: batch.to_bytes() });
        let Some(error) = self.refused.take() else { return Ok(()) };
        let origins = self.flights.remove(&token).unwrap_or_default().origins;
        let queued = batch.commands.into_iter().zip(origins).map(|(command, origin)| QueuedCommand { command, origin }).collect();
        Err(RefusedBatch { queued, error })
    }
}
