use crate::prelude::*;

/// Reports on their way at once. A leader that is behind gets larger ones then, not more of them.
const OPEN_REPORTS: usize = 4;

/// What of a worker's facts may be told now, as its boot stands.
fn worth(f: &WorkerFacts, share: &WorkerShare) -> Option<WorkerFacts> {
    match share.standing(&f.worker, &f.boot_id) {
        BootStanding::Newest => Some(WorkerFacts { follows: share.logged_boot(&f.worker).filter(|b| *b != f.boot_id), ..f.clone() }),
        BootStanding::Past if !f.ended.is_empty() => {
            Some(WorkerFacts { worker: f.worker.clone(), boot_id: f.boot_id.clone(), ended: f.ended.clone(), ..WorkerFacts::default() })
        }
        BootStanding::Past | BootStanding::Unknown => None,
    }
}

/// What facts are about, and under which assignment they were learned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FactSource {
    /// The worker.
    pub worker: Name,
    /// Its boot.
    pub boot: String,
    /// The assignment; 0 where the worker isn't in the share.
    pub assignment: u64,
}

/// A report that isn't in the log yet.
#[derive(Clone, Debug)]
struct ToldReport {
    /// How many facts it held when it was made.
    size: usize,
    facts: Vec<WorkerFacts>,
    since: Millis,
}

/// Facts on their way into the log: gathered, numbered, told again until they are done.
#[derive(Clone, Debug, Default)]
pub struct FactBook {
    next: BTreeMap<FactSource, FactLine>,
    told: BTreeMap<u64, ToldReport>,
    reports: u64,
    facts_told: usize,
    told_at: Option<Millis>,
}

impl FactBook {
    /// Where facts about one boot of one worker, held under one assignment, are added.
    pub fn line(&mut self, worker: &str, boot: &str, assignment: u64) -> &mut FactLine {
        self.next.entry(FactSource { worker: worker.to_owned(), boot: boot.to_owned(), assignment }).or_default()
    }

    /// Facts that are not done.
    pub fn len(&self) -> usize {
        self.facts_told + self.gathered()
    }

    /// Since when the oldest report isn't done.
    pub fn oldest(&self) -> Option<Millis> {
        self.told.values().map(|told| told.since).next()
    }

    /// Whether all are done.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Facts not yet in a report.
    fn gathered(&self) -> usize {
        self.next.values().map(FactLine::len).sum()
    }

    /// The next report, when it is due: at once after a pause, else in batches; not while as many as may be are on their way.
    pub fn report(&mut self, now: Millis, s: &GatewaySettings, share: &WorkerShare) -> Option<GatewayFrame> {
        if self.next.is_empty() || self.told.len() >= OPEN_REPORTS {
            return None;
        }
        let size = self.gathered();
        let due = self.told_at.is_none_or(|t| now >= t + s.fact_interval()) || size >= s.fact_batch();
        if !due {
            return None;
        }
        self.told_at = Some(now);
        let facts: Vec<WorkerFacts> =
            std::mem::take(&mut self.next).into_iter().map(|(source, line)| line.into_facts(source)).filter(|f| !f.is_empty()).collect();
        let facts: Vec<WorkerFacts> = facts.iter().filter_map(|f| worth(f, share)).collect();
        if facts.is_empty() {
            return None;
        }
        self.reports += 1;
        self.facts_told += size;
        self.told.insert(self.reports, ToldReport { size, facts: facts.clone(), since: now });
        Some(GatewayFrame::Facts { report: self.reports, facts })
    }

    /// All reports that are not done, for a new channel; only what still counts of them. The rest is forgotten: once the report is done,
    /// only what was told on this channel is sure to be in the log.
    pub fn again(&mut self, share: &WorkerShare) -> Vec<GatewayFrame> {
        let mut frames = Vec::new();
        for (&report, told) in &mut self.told {
            told.facts = told.facts.iter().filter_map(|f| worth(f, share)).collect();
            frames.push(GatewayFrame::Facts { report, facts: told.facts.clone() });
        }
        frames
    }

    /// All reports up to this one are in the log: their facts.
    pub fn done(&mut self, report: u64) -> Vec<WorkerFacts> {
        let later = self.told.split_off(&report.saturating_add(1));
        let done = std::mem::replace(&mut self.told, later);
        self.facts_told -= done.values().map(|told| told.size).sum::<usize>();
        done.into_values().flat_map(|told| told.facts).collect()
    }
}
