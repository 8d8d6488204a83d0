use crate::prelude::*;

/// A run's start, as observed.
pub(crate) struct Start {
    pub(crate) worker: Name,
    pub(crate) boot: String,
    pub(crate) attempt: AttemptId,
    pub(crate) job_name: Name,
    pub(crate) cpu_millis: u64,
    pub(crate) memory_mb: u64,
    pub(crate) ordered_at: Millis,
}

/// Runs, as workers really ran them.
impl Oracle {
    pub(crate) fn drain_answered(&mut self, at: Millis, worker: Name, on: bool) {
        let w = self.workers.entry(worker).or_default();
        if !w.drain.answered(on, at) {
            return;
        }
        if let Some(t) = w.drain.on_sent {
            self.book.drain.saturating_record(at.saturating_sub(t));
        }
        if w.open == 0 {
            self.book.drain_empty.saturating_record(0);
        } else {
            w.emptying_since = Some(at);
        }
    }

    pub(crate) fn run_started(&mut self, at: Millis, s: Start) {
        self.book.counts.tasks_run += 1;
        let (step, index) = (s.attempt.task.step, s.attempt.task.index);
        let w = self.workers.entry(s.worker.clone()).or_default();
        let unknown = !self.jobs.contains_key(&s.job_name);
        let j = self.jobs.entry(s.job_name.clone()).or_insert_with(|| JobRecord::new(None, at));
        self.book.counts.runs_of_unknown_jobs += u64::from(unknown);
        let about = || format!("attempt {} of {} on {}, ordered at {}", s.attempt, s.job_name, s.worker, s.ordered_at);

        let t = j.task(step, index);
        if let Some(r) = t.open.first() {
            let (other, since) = (&r.worker, r.started);
            self.tally.add(Rule::TaskRanTwiceAtOnce, at, || format!("{}: runs on {other} since {since} as {}", about(), r.attempt));
        }
        if t.succeeded > 0 {
            self.tally.add(Rule::TaskStartedAfterSuccess, at, || format!("{}: it had succeeded", about()));
        }
        if j.ends_together(step) && j.succeeded_in(step) {
            self.tally.add(Rule::TaskStartedAfterSuccess, at, || format!("{}: its gang had ended well", about()));
        }
        let failed = j.failures(step, index).0;
        if let Some(spec) = j.sure_spec() {
            if failed > spec.allowed_failures.unwrap_or(0) {
                let allowed = spec.allowed_failures;
                self.tally.add(Rule::RetriedPastAllowed, at, || format!("{}: failed {failed} times, {allowed:?} allowed", about()));
            }
            if let Some(st) = spec.steps.get(usize::from(step)) {
                if let Some(a) = st.after.iter().find(|a| !step_done(spec, &j.done, a)) {
                    self.tally.add(Rule::StepBeforeDependency, at, || format!("{}: step {a} is not done", about()));
                }
                let misplaced = spec.service != w.service || !(st.kinds.is_empty() || st.kinds.contains(&w.kind));
                let place = (w.zone.as_str(), spec.queue.as_str(), w.kind.as_str());
                if w.known && (misplaced || !self.configuration.allows(s.ordered_at, place, &self.bounds)) {
                    let (kind, service, zone) = (&w.kind, &w.service, &w.zone);
                    self.tally.add(Rule::WrongKindOrService, at, || format!("{}, a {kind} worker of {service} in {zone}", about()));
                }
            }
        }
        let due = j.due(j.first_sent, self.bounds.unix_at_zero_ms);
        if j.sure_spec().is_some() && at.saturating_add(self.bounds.timed_grain_ms) < due {
            self.tally.add(Rule::TimedJobEarly, at, || format!("{}: due at {due}", about()));
        }

        // An order that was on its way before the acknowledgement can be undone only where a stop can reach it.
        let mut forbidden = |since: Option<Millis>, bound: Millis, rule: Rule| {
            let Some(t) = since.filter(|t| at > t.saturating_add(bound)) else { return };
            if w.reached_for(t, at, bound) {
                self.tally.add(rule, at, || format!("{}: acknowledged at {t}", about()));
            } else {
                self.book.counts.starts_out_of_reach += 1;
            }
        };
        forbidden(w.drain.in_force_since, self.bounds.drain_ms, Rule::StartOnDrainingWorker);
        let evacuated = self.zones.get(&w.zone).and_then(|z| z.in_force_since);
        forbidden(evacuated, self.bounds.evacuation_ms, Rule::StartInEvacuatedZone);
        forbidden(j.cancel_answered, self.bounds.cancel_ms, Rule::StartAfterCancel);

        w.open += 1;
        w.used_cpu += s.cpu_millis;
        w.used_memory += s.memory_mb;
        if w.known && (w.used_cpu > w.cpu_millis || w.used_memory > w.memory_mb) {
            let (c, m) = (w.used_cpu, w.used_memory);
            self.tally.add(Rule::RoomExceeded, at, || format!("{}: {c} CPU and {m} MB are given out", about()));
        }
        if j.first_start.is_none() {
            j.first_start = Some(at);
            j.first_zone = w.known.then(|| w.zone.clone());
            if let Some(t) = j.accepted {
                let due = j.due(t, self.bounds.unix_at_zero_ms);
                self.book.started(at.saturating_sub(due), j.is_urgent(&self.bounds), j.first_zone.as_deref());
            }
        }
        j.count_open(step, true);
        j.task(step, index).open.push(OpenRun {
            worker: s.worker,
            boot: s.boot,
            attempt: s.attempt,
            started: at,
            cpu_millis: s.cpu_millis,
            memory_mb: s.memory_mb,
        });
        let gang = j.cancel_sent.is_none() && j.sure_spec().and_then(|p| p.steps.get(usize::from(step))).is_some_and(|p| p.gang);
        if gang {
            self.gang_started(at, &s.job_name, step, index);
        }
    }

    pub(crate) fn run_closed(&mut self, at: Millis, run: (&str, &str, AttemptId), job_name: &str, outcome: Option<Outcome>) {
        let (worker, boot, attempt) = run;
        let (step, index) = (attempt.task.step, attempt.task.index);
        let Some(j) = self.jobs.get_mut(job_name) else { return };
        let t = j.task(step, index);
        let Some(open) = t.take(worker, boot, attempt) else { return };
        let mut newly_done = false;
        match outcome {
            Some(Outcome::Succeeded) => {
                newly_done = !t.succeeded_ever;
                t.succeeded += 1;
                t.succeeded_ever = true;
            }
            Some(Outcome::Failed) => {
                t.failed += 1;
                t.failed_ever += 1;
            }
            Some(Outcome::Stopped | Outcome::Lapsed | Outcome::Broken | Outcome::Alone) | None => {}
        }
        self.book.counts.unneeded += u64::from(outcome != Some(Outcome::Succeeded));
        self.book.counts.runs_lost += u64::from(outcome.is_none());
        j.count_open(step, false);
        if newly_done {
            j.task_done(step, at);
        }
        let failed_ever = j.failures(step, index).1;
        if j.sure_spec().is_some_and(|s| failed_ever > s.allowed_failures.unwrap_or(0)) {
            j.failed = true;
            j.may_be_final(at);
        }
        if j.open.get(usize::from(step)) == Some(&0) {
            j.gangs.remove(&step);
        }
        if j.open_runs() == 0
            && j.cancel_answered.is_some()
            && let Some(t) = j.cancel_sent
        {
            self.book.cancel.saturating_record(at.saturating_sub(t));
        }
        j.compact();
        if let Some(ms) = self.workers.entry(worker.to_owned()).or_default().close(&open, at) {
            self.book.drain_empty.saturating_record(ms);
        }
    }

    /// An outcome that nobody acknowledged is gone: nobody can be blamed for trying again.
    pub(crate) fn result_lost(&mut self, job_name: &str, attempt: AttemptId, outcome: Outcome) {
        let Some(j) = self.jobs.get_mut(job_name) else { return };
        let t = j.task(attempt.task.step, attempt.task.index);
        match outcome {
            Outcome::Succeeded => t.succeeded = t.succeeded.saturating_sub(1),
            Outcome::Failed => t.failed = t.failed.saturating_sub(1),
            Outcome::Stopped | Outcome::Lapsed | Outcome::Broken | Outcome::Alone => {}
        }
        j.compact();
    }
}

/// Whether all tasks of a step have succeeded.
fn step_done(spec: &JobSpec, done: &[u32], name: &str) -> bool {
    spec.steps.iter().zip(done).find(|(s, _)| s.name == name).is_none_or(|(s, &n)| n >= s.tasks)
}
