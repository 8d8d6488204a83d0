use crate::prelude::*;

/// Jobs on a page when the call names no limit.
const USUAL_PAGE: u32 = 100;
/// Most jobs on a page.
const MOST_PAGE: u32 = 1_000;

/// A gateway's read view: folded from updates, shared by copying pointers.
#[derive(Clone, Debug, Default)]
pub struct GatewayView {
    /// The last update folded.
    pub number: u64,
    /// Local time at which it was surely whole; `None` before the first time.
    pub whole_at: Option<Millis>,
    /// Oldest age at which it answers.
    pub age_most: Millis,
    /// The scheduler that this gateway is attached to.
    pub leader: Option<String>,
    /// Jobs.
    pub jobs: JobTable,
    /// Workers by name.
    pub workers: Arc<BTreeMap<Name, Arc<WorkerSummary>>>,
    /// The configuration.
    pub configuration: ConfigurationView,
    /// Which queue jobs go through, by host and path.
    pub ingress: Arc<IngressTable>,
    /// False while a configuration is asked for whole.
    pub configuration_sure: bool,
    /// Zones evacuated now.
    pub evacuated_zones: Arc<BTreeSet<Name>>,
}

impl GatewayView {
    /// How old it is; `None` when it never was whole.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        Some(now.saturating_sub(self.whole_at?))
    }

    /// Folds what changed of jobs, workers and zones; the configuration is folded by its own rule.
    pub fn fold(&mut self, u: &mut ViewUpdate) {
        if u.reset {
            self.jobs = JobTable::default();
            self.workers = Arc::default();
            self.whole_at = None;
        }
        self.number = u.upto;
        for j in std::mem::take(&mut u.jobs) {
            self.jobs.put(j);
        }
        for c in &u.job_changes {
            if let Some(j) = self.jobs.numbered(c.job).map(|j| c.apply(j)) {
                self.jobs.put(j);
            }
        }
        for &n in &u.jobs_forgotten {
            self.jobs.remove(n);
        }
        if !u.workers.is_empty() || !u.workers_removed.is_empty() {
            let m = Arc::make_mut(&mut self.workers);
            for w in &u.workers {
                m.insert(w.name.clone(), Arc::new(w.clone()));
            }
            for n in &u.workers_removed {
                m.remove(n);
            }
        }
        if let Some(z) = &u.evacuated_zones {
            self.evacuated_zones = Arc::new(z.iter().cloned().collect());
        }
    }

    /// Answers a read, with the view's age; `None` when a scheduler has to.
    pub fn answer(&self, now: Millis, body: &CallBody) -> Option<(AnswerBody, Millis)> {
        let age = self.age(now).filter(|a| *a < self.age_most)?;
        let a = match body {
            CallBody::GetJob(c) => {
                let summary = self.jobs.named(&c.name)?.as_ref().clone();
                AnswerBody::GetJob(JobStatus { summary, steps: Vec::new(), attempts: Vec::new() })
            }
            CallBody::ListJobs(c) => AnswerBody::ListJobs(self.list_jobs(c)),
            CallBody::GetConfiguration(_) if self.configuration_sure => {
                let c = &self.configuration;
                AnswerBody::GetConfiguration(Configuration {
                    version: c.version,
                    digest: c.digest.clone(),
                    tree: Payload((*c.tree).clone()),
                    source: None,
                })
            }
            _ => return None,
        };
        Some((a, age))
    }

    /// Whether it is new enough to answer from.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.age(now).is_some_and(|a| a < self.age_most)
    }

    /// How many jobs of a queue wait for their first task to start.
    pub fn waiting(&self, queue: &str) -> u64 {
        self.jobs.from(0).filter(|j| j.state == JobState::Waiting && j.queue == queue).count() as u64
    }

    /// A page of jobs.
    pub fn list_jobs(&self, c: &ListJobs) -> JobList {
        let limit = c.limit.unwrap_or(USUAL_PAGE).clamp(1, MOST_PAGE) as usize;
        let wanted = |j: &&Arc<JobSummary>| c.queue.as_ref().is_none_or(|q| *q == j.queue) && c.state.is_none_or(|s| s == j.state);
        let first = c.after.map_or(0, |n| n.saturating_add(1));
        let mut jobs: Vec<JobSummary> = self.jobs.from(first).filter(wanted).take(limit + 1).map(|j| (**j).clone()).collect();
        let more = jobs.len() > limit;
        jobs.truncate(limit);
        let next = jobs.last().filter(|_| more).map(|j| j.job);
        JobList { jobs, next }
    }

    /// Workers, by name.
    pub fn list_workers(&self, c: &ListWorkers) -> WorkerList {
        let wanted = |w: &&Arc<WorkerSummary>| c.zone.as_ref().is_none_or(|z| *z == w.zone);
        WorkerList { workers: self.workers.values().filter(wanted).map(|w| (**w).clone()).collect() }
    }
}
