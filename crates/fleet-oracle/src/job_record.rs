use crate::prelude::*;

/// What is known of one job. When all its tasks have succeeded, the large parts are dropped.
pub(crate) struct JobRecord {
    /// Absent for a job that nobody sent, and once it is done.
    pub(crate) spec: Option<Box<JobSpec>>,
    /// Sent with differing content before any acceptance: what was taken can't be told.
    pub(crate) ambiguous: bool,
    pub(crate) first_sent: Millis,
    pub(crate) accepted: Option<Millis>,
    pub(crate) number: Option<JobNumber>,
    pub(crate) first_start: Option<Millis>,
    /// Where that was.
    pub(crate) first_zone: Option<Name>,
    pub(crate) cancel_sent: Option<Millis>,
    pub(crate) cancel_answered: Option<Millis>,
    /// Since when it may be final.
    pub(crate) final_since: Option<Millis>,
    pub(crate) tasks: HashMap<(u16, u32), TaskRecord>,
    /// Tasks that succeeded, by step.
    pub(crate) done: Vec<u32>,
    /// Open runs, by step.
    pub(crate) open: Vec<u32>,
    pub(crate) gangs: BTreeMap<u16, GangRound>,
    pub(crate) failed: bool,
    pub(crate) all_done: bool,
    pub(crate) seen: bool,
    /// Gateways that have shown it, by their number.
    pub(crate) shown_by: u128,
    /// A read sent after the acceptance did not show it.
    pub(crate) missed: bool,
    pub(crate) last_absent: bool,
    /// Rules counted for it, by bit.
    pub(crate) told: u32,
}

impl JobRecord {
    pub(crate) fn new(spec: Option<JobSpec>, at: Millis) -> Self {
        let steps = spec.as_ref().map_or(0, |s| s.steps.len());
        JobRecord {
            spec: spec.map(Box::new),
            ambiguous: false,
            first_sent: at,
            accepted: None,
            number: None,
            first_start: None,
            first_zone: None,
            cancel_sent: None,
            cancel_answered: None,
            final_since: None,
            tasks: HashMap::new(),
            done: vec![0; steps],
            open: vec![0; steps],
            gangs: BTreeMap::new(),
            failed: false,
            all_done: false,
            seen: false,
            shown_by: 0,
            missed: false,
            last_absent: false,
            told: 0,
        }
    }

    /// Whether this rule is counted for this job for the first time.
    pub(crate) fn first_time(&mut self, rule: Rule) -> bool {
        let bit = 1u32 << (rule as u32);
        let first = self.told & bit == 0;
        self.told |= bit;
        first
    }

    /// What is surely asked for.
    pub(crate) fn sure_spec(&self) -> Option<&JobSpec> {
        self.spec.as_deref().filter(|_| !self.ambiguous)
    }

    /// Whether a step is a gang whose members end together: one good end stands for all, and a run fails as a whole.
    pub(crate) fn ends_together(&self, step: u16) -> bool {
        self.sure_spec().and_then(|spec| spec.steps.get(usize::from(step))).is_some_and(StepSpec::is_gang_that_ends_together)
    }

    /// Whether a task of a step has ended well, and its outcome was not lost with its worker.
    pub(crate) fn succeeded_in(&self, step: u16) -> bool {
        self.tasks.iter().any(|((of, _), task)| *of == step && task.succeeded > 0)
    }

    /// Failures of a task, or of the gang that it is a member of: those whose outcome was not lost, and all.
    pub(crate) fn failures(&self, step: u16, index: u32) -> (u32, u32) {
        if !self.ends_together(step) {
            return self.tasks.get(&(step, index)).map_or((0, 0), |task| (task.failed, task.failed_ever));
        }
        let members = self.tasks.iter().filter(|((of, _), _)| *of == step);
        members.fold((0, 0), |sum, (_, member)| (sum.0 + member.failed, sum.1 + member.failed_ever))
    }

    /// It may be final since now.
    pub(crate) fn may_be_final(&mut self, at: Millis) {
        self.final_since.get_or_insert(at);
    }

    /// Whether reads may have forgotten it.
    pub(crate) fn may_be_forgotten(&self, at: Millis, retention: Millis) -> bool {
        self.final_since.is_some_and(|t| at >= t.saturating_add(retention))
    }

    /// Drops what nobody compares any more: payloads and labels can be large.
    pub(crate) fn forget_contents(&mut self) {
        let Some(s) = self.spec.as_deref_mut() else { return };
        s.labels.clear();
        s.steps.iter_mut().for_each(|s| s.payload = Payload::default());
    }

    /// Whether it counts as urgent in the figures.
    pub(crate) fn is_urgent(&self, b: &OracleBounds) -> bool {
        let urgency = |s: &JobSpec| s.urgency.or_else(|| b.queue_urgency.get(&s.queue).copied()).unwrap_or(0);
        self.sure_spec().is_some_and(|s| urgency(s) >= b.urgent_from)
    }

    /// Counts what became of it, if it was accepted.
    pub(crate) fn count_outcome(&self, c: &mut Figures) {
        if self.accepted.is_none() {
            return;
        }
        c.jobs_accepted += 1;
        if self.all_done {
            c.jobs_finished += 1;
        } else if self.failed {
            c.jobs_failed += 1;
        } else if self.cancel_sent.is_some() {
            c.jobs_cancelled += 1;
        } else if self.sure_spec().is_some_and(|s| !s.run_until_cancelled) {
            c.jobs_unfinished += 1;
        }
    }

    /// Open runs of all steps.
    pub(crate) fn open_runs(&self) -> u32 {
        self.open.iter().sum()
    }

    /// When the first start is due: by the wall clock, and after the acceptance at `from`.
    pub(crate) fn due(&self, from: Millis, unix_at_zero_ms: u64) -> Millis {
        let Some(s) = self.sure_spec() else { return from };
        let wall = s.not_before_unix_ms.map_or(0, |u| u.saturating_sub(unix_at_zero_ms));
        from.saturating_add(s.start_after_ms.unwrap_or(0)).max(wall)
    }

    /// A task succeeded for the first time: counts it, and drops the large parts with the last one.
    pub(crate) fn task_done(&mut self, step: u16, at: Millis) -> bool {
        if let Some(n) = self.done.get_mut(usize::from(step)) {
            *n += 1;
        }
        let Some(s) = self.sure_spec() else { return false };
        self.all_done = s.steps.iter().zip(&self.done).all(|(s, &n)| n >= s.tasks);
        if self.all_done {
            self.may_be_final(at);
        }
        self.all_done
    }

    /// One more (`true`) or one less open run of a step.
    pub(crate) fn count_open(&mut self, step: u16, more: bool) {
        let i = usize::from(step);
        if self.open.len() <= i {
            self.open.resize(i + 1, 0);
        }
        self.open[i] = if more { self.open[i] + 1 } else { self.open[i].saturating_sub(1) };
    }

    /// A task's record; a task of a compacted job has succeeded.
    pub(crate) fn task(&mut self, step: u16, index: u32) -> &mut TaskRecord {
        let compacted = self.all_done && self.spec.is_none();
        let succeeded = u32::from(compacted);
        self.tasks.entry((step, index)).or_insert_with(|| TaskRecord { succeeded, succeeded_ever: compacted, ..TaskRecord::default() })
    }

    /// Drops what a done job with no open run no longer needs.
    pub(crate) fn compact(&mut self) {
        if self.all_done && self.open_runs() == 0 {
            self.spec = None;
            self.done = Vec::new();
            self.open = Vec::new();
            self.gangs = BTreeMap::new();
            self.tasks.retain(|_, t| t.succeeded == 0);
            self.tasks.shrink_to_fit();
        }
    }
}
