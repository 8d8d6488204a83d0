use crate::prelude::*;

/// Jobs, as callers know them.
impl Oracle {
    pub(crate) fn job_sent(&mut self, at: Millis, spec: JobSpec) {
        if let Some(ms) = self.service.sent(at, &self.bounds) {
            self.tally.add(Rule::ServiceOutage, at, || format!("jobs were sent for {ms} ms, none was accepted"));
        }
        match self.jobs.get_mut(&spec.name) {
            None => {
                self.jobs.insert(spec.name.clone(), JobRecord::new(Some(spec), at));
            }
            // Past its retention the name is free again; whether it is taken as new can't be told.
            Some(j) if j.may_be_forgotten(at, self.bounds.retention_ms) => {
                j.count_outcome(&mut self.book.counts);
                *j = JobRecord { ambiguous: true, ..JobRecord::new(Some(spec), at) };
            }
            Some(j) if j.accepted.is_none() => j.ambiguous |= j.spec.as_deref().is_some_and(|s| *s != spec),
            Some(_) => {}
        }
    }

    pub(crate) fn job_answered(&mut self, at: Millis, name: &str, answer: CallResult<JobAccepted>) {
        if matches!(answer, Ok(_) | Err(CallError::Conflict { .. }))
            && let Some(ms) = self.service.served(at, &self.bounds)
        {
            self.tally.add(Rule::ServiceOutage, at, || format!("jobs were sent for {ms} ms until one was accepted"));
        }
        let (Ok(a), Some(j)) = (answer, self.jobs.get_mut(name)) else { return };
        if j.number.is_some_and(|n| n != a.job) && !j.may_be_forgotten(at, self.bounds.retention_ms) && j.first_time(Rule::JobDisappeared) {
            self.tally.add(Rule::JobDisappeared, at, || format!("{name} was accepted before, its resend was taken as new job {}", a.job));
        }
        j.number = Some(a.job);
        if j.accepted.is_none() {
            j.accepted = Some(at);
            j.forget_contents();
            if let Some(t) = j.first_start {
                let zone = j.first_zone.clone();
                let due = j.due(at, self.bounds.unix_at_zero_ms);
                self.book.started(t.saturating_sub(due), j.is_urgent(&self.bounds), zone.as_deref());
            }
            if j.seen {
                self.book.visible.saturating_record(0);
            }
        }
        self.judge_state(at, name, a.state);
    }

    pub(crate) fn job_seen(&mut self, at: Millis, name: &str, state: JobState, through: &str, asked_at: Millis) {
        let bit = self.gateway_bit(through);
        let Some(j) = self.jobs.get_mut(name) else { return };
        j.shown_by |= bit;
        j.last_absent = false;
        if let Some(t) = j.accepted.filter(|_| !j.seen) {
            // A read that was sent later could not have shown it earlier, unless one before it did not.
            let since = if j.missed { t } else { t.max(asked_at) };
            self.book.visible.saturating_record(at.saturating_sub(since));
        }
        j.seen = true;
        let late = j.cancel_answered.is_some_and(|t| asked_at > t.saturating_add(self.bounds.visible_ms));
        if late && matches!(state, JobState::Waiting | JobState::Running) && j.first_time(Rule::AcknowledgedLost) {
            self.tally.add(Rule::AcknowledgedLost, at, || {
                format!("the cancellation of {name} was acknowledged, {through} shows it {}", state.word())
            });
        }
        self.judge_state(at, name, state);
    }

    /// A state shown to anyone must have its cause.
    pub(crate) fn judge_state(&mut self, at: Millis, name: &str, state: JobState) {
        let Some(j) = self.jobs.get_mut(name) else { return };
        let caused = match state {
            JobState::Waiting | JobState::Running => true,
            JobState::Cancelling | JobState::Cancelled => j.cancel_sent.is_some(),
            JobState::Failed => j.failed,
            JobState::Succeeded => j.all_done,
        };
        if !caused && j.sure_spec().is_some() && j.first_time(Rule::JobFinalWithoutCause) {
            self.tally.add(Rule::JobFinalWithoutCause, at, || format!("{name} shows as {}, nothing seen explains it", state.word()));
        }
    }

    pub(crate) fn job_absent(&mut self, at: Millis, name: &str, through: &str, asked_at: Millis) {
        let bit = self.gateway_bit(through);
        let Some(j) = self.jobs.get_mut(name) else { return };
        let Some(accepted) = j.accepted else { return };
        j.missed |= asked_at >= accepted;
        if j.may_be_forgotten(at, self.bounds.retention_ms) || asked_at <= accepted.saturating_add(self.bounds.visible_ms) {
            return;
        }
        let rule = if self.final_reads {
            Rule::AcknowledgedLost
        } else if j.shown_by & bit != 0 {
            Rule::JobDisappeared
        } else {
            Rule::JobNotVisible
        };
        j.last_absent = true;
        if j.first_time(rule) {
            self.tally.add(rule, at, || format!("{name} was accepted at {accepted}, {through} asked at {asked_at} does not show it"));
        }
    }

    pub(crate) fn cancel_sent(&mut self, at: Millis, name: &str) {
        let Some(j) = self.jobs.get_mut(name) else { return };
        if j.cancel_sent.is_none() {
            j.cancel_sent = Some(at);
            j.may_be_final(at);
            j.gangs.clear();
        }
    }

    pub(crate) fn cancel_answered(&mut self, at: Millis, name: &str, state: JobState) {
        if let Some(j) = self.jobs.get_mut(name)
            && matches!(state, JobState::Cancelling | JobState::Cancelled)
            && j.cancel_answered.is_none()
        {
            j.cancel_answered = Some(at);
            if j.open_runs() == 0 {
                self.book.cancel.saturating_record(at.saturating_sub(j.cancel_sent.unwrap_or(at)));
            }
        }
        self.judge_state(at, name, state);
    }

    fn gateway_bit(&mut self, through: &str) -> u128 {
        let next = self.gateways.len() as u32;
        let n = *self.gateways.entry(through.to_owned()).or_insert(next);
        1u128.checked_shl(n).unwrap_or(0)
    }
}
