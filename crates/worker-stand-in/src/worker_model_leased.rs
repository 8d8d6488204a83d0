//! What a worker does that runs work only while its lease lasts.

use crate::prelude::*;

impl WorkerModel {
    /// The worker's own clock, where it tells it.
    pub(crate) fn clock(&self, now: Millis) -> Option<Millis> {
        self.lease.as_ref().map(|l| l.clock(now))
    }

    /// A life begins: its lease is over, and it has seen no fence.
    pub(crate) fn boot_lease(&mut self, now: Millis) {
        if let Some(l) = &mut self.lease {
            *l = RunLease::new(now, l.clock_rate());
        }
    }

    /// When its lease is over, while that changes anything.
    pub(crate) fn lapse_due(&self) -> Option<Millis> {
        let lease = self.lease.as_ref()?;
        let unsure = self.ended.values().any(|e| lease.is_newly_unsure(e.sequence));
        (unsure || self.runs.iter().any(Run::runs)).then(|| lease.over_at())
    }

    /// Why an order is not taken at all: it is for another life, or its fence is too low.
    pub(crate) fn refuses(&mut self, order: &WorkerInput) -> Option<WorkerEffect> {
        let lease = self.lease.as_mut()?;
        let (token, worker, fence) = match order {
            WorkerInput::Start { token, order } => (*token, &order.worker, order.fence),
            WorkerInput::Stop { token, order } => (*token, &order.worker, order.fence),
            WorkerInput::Hold { token, order } => (*token, &order.worker, order.fence),
            _ => return None,
        };
        if *worker != self.identity.name {
            return Some(WorkerEffect::OtherLife { token });
        }
        // A start is looked at when it is carried out.
        let admitted = matches!(order, WorkerInput::Start { .. }) || lease.admits(fence);
        (!admitted).then_some(WorkerEffect::Refuse { token })
    }

    /// Whether an ordered run may begin; its lease then counts for all that runs.
    pub(crate) fn may_begin(&mut self, now: Millis, i: usize) -> bool {
        let (terms, attempt) = (self.runs[i].terms, self.runs[i].attempt);
        let Some(lease) = &mut self.lease else { return true };
        let may = lease.admits(terms.fence) && !lease.is_late(now, terms.lease_until) && !lease.is_old(attempt);
        if may {
            lease.extend(now, terms.lease_until);
        }
        may
    }

    /// The number of an end, where ends are counted.
    pub(crate) fn count_end(&mut self, attempt: AttemptId) -> u64 {
        let Some(lease) = &mut self.lease else { return 0 };
        lease.run_over(attempt);
        lease.next_end()
    }

    /// A stop is accepted at once; the lists tell what came of it.
    pub(crate) fn leased_stop(&mut self, now: Millis, token: Token, attempt: AttemptId) {
        let token = self.answerable(token);
        if let Some(l) = &mut self.lease {
            l.run_over(attempt);
        }
        if let Some(i) = self.runs.iter().position(|r| r.attempt == attempt && r.runs()) {
            self.close(now, i, Outcome::Stopped);
        }
        let Some(token) = token else { return };
        let (boot_id, clock_ms) = (self.identity.boot_id.clone(), self.clock(now));
        let answer = StopAnswer { attempt, result: StopResult::Accepted, boot_id, ended: None, clock_ms };
        self.answer(token, WorkerAnswer::Stop(answer));
    }

    /// A hold lengthens the lease and takes note of ends.
    pub(crate) fn leased_hold(&mut self, now: Millis, token: Token, o: &HoldOrder) {
        if let Some(l) = &mut self.lease {
            l.extend(now, o.lease_until_ms);
        }
        self.ended.retain(|_, e| e.sequence > o.observed);
        let (ended, names) = (&self.ended, &mut self.job_names);
        names.retain(|a, _| ended.contains_key(a));
        self.wait(now, token, 0, o.wait_ms);
    }

    /// Answers a hold with both lists.
    pub(crate) fn answer_leased_hold(&mut self, now: Millis, token: Token) {
        let Some(clock) = self.clock(now) else { return };
        let mut ended: Vec<EndedAttempt> = self.ended.values().cloned().collect();
        ended.sort_unstable_by_key(|e| e.sequence);
        ended.truncate(self.most_ends_listed);
        let answer = HoldAnswer {
            worker: self.identity.name.clone(),
            boot_id: self.identity.boot_id.clone(),
            change: clock,
            draining: self.behaviour().draining,
            running: self.running(),
            ended: EndList::limited(ended, self.most_ends_listed),
            clock_ms: Some(clock),
            ..HoldAnswer::default()
        };
        self.answer(token, WorkerAnswer::Hold(answer));
    }

    /// Kills all that runs once the lease is over. Ends that nobody took note of before may be counted as lost.
    pub(crate) fn lapse(&mut self, now: Millis) {
        if self.lapse_due().is_none_or(|due| now < due) {
            return;
        }
        while let Some(i) = self.runs.iter().position(Run::runs) {
            self.close(now, i, Outcome::Lapsed);
        }
        self.lose_unnoted();
    }

    fn lose_unnoted(&mut self) {
        let Some(lease) = &mut self.lease else { return };
        let unsure: Vec<EndedAttempt> = self.ended.values().filter(|e| lease.is_newly_unsure(e.sequence)).cloned().collect();
        lease.lapse();
        let (worker, boot) = (self.identity.name.clone(), self.identity.boot_id.clone());
        for e in unsure {
            let (worker, boot, job_name) = (worker.clone(), boot.clone(), self.job_names.get(&e.attempt).cloned().unwrap_or_default());
            self.observe(Observation::ResultLost { worker, boot, attempt: e.attempt, job_name, outcome: e.outcome });
        }
    }

    fn close(&mut self, now: Millis, i: usize, outcome: Outcome) {
        let r = self.runs.remove(i);
        self.member_left(r.attempt, r.payload);
        if let Phase::Running { started, .. } = r.phase {
            self.end(now, r.attempt, r.job_name, started, outcome);
        }
    }
}
