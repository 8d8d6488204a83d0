use crate::prelude::*;

/// Jobs of one chunk: a change copies the pointers of one chunk, not the table.
const CHUNK: JobNumber = 256;
/// Parts of the index by name.
const NAME_PARTS: usize = 256;

type Chunk = BTreeMap<JobNumber, Arc<JobSummary>>;
type NamePart = BTreeSet<(u64, JobNumber)>;

/// Jobs by number and name, cheap to copy: a copy shares all chunks that don't change.
///
/// ```
/// use gateway_core::prelude::*;
/// let mut t = JobTable::default();
/// let job = JobSummary {
///     job: 7, name: "a".into(), queue: "q".into(), state: JobState::Waiting, urgency: 1,
///     tasks: TaskCounts::default(), failures: 0, accepted_at_ms: 0, ended_at_ms: None,
/// };
/// t.put(job);
/// let before = t.clone();
/// t.remove(7);
/// assert_eq!(before.named("a").unwrap().job, 7);
/// assert!(t.named("a").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    chunks: BTreeMap<u64, Arc<Chunk>>,
    names: BTreeMap<usize, Arc<NamePart>>,
    len: usize,
}

/// Where a name is in the index.
fn name_place(name: &str) -> (usize, u64) {
    let mut h = DefaultHasher::new();
    name.hash(&mut h);
    let n = h.finish();
    (n as usize % NAME_PARTS, n)
}

impl JobTable {
    /// How many.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds or replaces one.
    pub fn put(&mut self, job: JobSummary) {
        let (part, hash) = name_place(&job.name);
        let n = job.job;
        let chunk = Arc::make_mut(self.chunks.entry(n / CHUNK).or_default());
        if chunk.insert(n, Arc::new(job)).is_none() {
            self.len += 1;
            Arc::make_mut(self.names.entry(part).or_default()).insert((hash, n));
        }
    }

    /// Forgets one.
    pub fn remove(&mut self, n: JobNumber) {
        let Some(chunk) = self.chunks.get_mut(&(n / CHUNK)) else { return };
        if let Some(job) = Arc::make_mut(chunk).remove(&n) {
            self.len -= 1;
            let (part, hash) = name_place(&job.name);
            if let Some(p) = self.names.get_mut(&part) {
                Arc::make_mut(p).remove(&(hash, n));
            }
        }
        if chunk.is_empty() {
            self.chunks.remove(&(n / CHUNK));
        }
    }

    /// The newest one of a name.
    pub fn named(&self, name: &str) -> Option<&Arc<JobSummary>> {
        let (part, hash) = name_place(name);
        let p = self.names.get(&part)?;
        p.range((hash, 0)..=(hash, JobNumber::MAX)).rev().filter_map(|(_, n)| self.numbered(*n)).find(|j| j.name == name)
    }

    /// One by its number.
    pub fn numbered(&self, n: JobNumber) -> Option<&Arc<JobSummary>> {
        self.chunks.get(&(n / CHUNK))?.get(&n)
    }

    /// All from a number on, in order.
    pub fn from(&self, first: JobNumber) -> impl Iterator<Item = &Arc<JobSummary>> {
        self.chunks.range(first / CHUNK..).flat_map(move |(_, c)| c.range(first..).map(|(_, j)| j))
    }
}
