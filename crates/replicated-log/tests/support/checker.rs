use crate::support::prelude::*;

/// What must never happen, by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Two leaders in one term.
    ElectionSafety,
    /// One place and term, two contents.
    LogMatching,
    /// A new leader without an entry committed in an earlier term than its own.
    /// What counts is the term of the leader that committed it: votes that come
    /// late can still make a leader of an older term, which can commit nothing.
    LeaderCompleteness,
    /// Two members apply different entries at one index, or skip one.
    StateMachineSafety,
    /// An entry handed out as committed that no quorum's disks hold.
    DurableCommit,
    /// The cluster clock falls along the log, or stands still between leaders.
    LogTime,
    /// Two members with a lease at the same true time.
    OneLease,
    /// A counter that only a fault of ours can move.
    Internal,
    /// After healing the log does not go on.
    Liveness,
}

/// A fingerprint of bytes, chained.
pub fn chain(seed: u64, entry: &LogEntry) -> u64 {
    let bytes = StoredRecord::encode(entry);
    bytes.iter().fold(seed ^ 0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3))
}

/// Sees every effect, asks no replica for its opinion of itself.
#[derive(Debug, Default)]
pub struct Checker {
    pub leaders: BTreeMap<Term, NodeId>,
    /// What was appended at each place and term: content and the term before.
    pub appended: BTreeMap<(Index, Term), (u64, Option<Term>)>,
    /// What was applied first at each index, its chained digest and cluster clock.
    pub committed: BTreeMap<Index, (Term, u64, Millis)>,
    /// The term in which each index was first committed.
    pub committed_in: BTreeMap<Index, Term>,
    pub violations: Vec<(Rule, String)>,
    pub leases_seen: u64,
}

impl Checker {
    pub fn report(&mut self, rule: Rule, detail: String) {
        self.violations.push((rule, detail));
    }

    pub fn fired(&self, rule: Rule) -> bool {
        self.violations.iter().any(|(r, _)| *r == rule)
    }

    pub fn became_leader(&mut self, id: NodeId, term: Term, log: &LogTail) {
        let first = *self.leaders.entry(term).or_insert(id);
        if first != id {
            self.report(Rule::ElectionSafety, format!("term {term}: {first} and {id}"));
        }
        for (index, (entry_term, ..)) in self.committed.range(log.base_index() + 1..) {
            if self.committed_in[index] < term && log.term_at(*index) != Some(*entry_term) {
                let detail = format!("leader {id} of {term} lacks {index}/{entry_term}");
                self.violations.push((Rule::LeaderCompleteness, detail));
                break;
            }
        }
    }

    pub fn appended(&mut self, entry: &LogEntry, prev_term: Option<Term>) {
        let seen = (chain(0, entry), prev_term);
        let first = *self.appended.entry((entry.index, entry.term)).or_insert(seen);
        let prev_differs = matches!((first.1, prev_term), (Some(a), Some(b)) if a != b);
        if first.0 != seen.0 || prev_differs {
            self.report(Rule::LogMatching, format!("{}/{}", entry.index, entry.term));
        }
    }

    /// Notes an entry applied in a term; `digest` chains all up to it.
    pub fn applied(&mut self, id: NodeId, term: Term, entry: &LogEntry, digest: u64) -> bool {
        let (index, seen) = (entry.index, (entry.term, digest, entry.log_time));
        let news = !self.committed.contains_key(&index);
        self.committed_in.entry(index).or_insert(term);
        let first = *self.committed.entry(index).or_insert(seen);
        if first != seen {
            let detail = format!("member {id} at {index}: {seen:?}, first {first:?}");
            self.report(Rule::StateMachineSafety, detail);
        }
        if let Some((term, _, log_time)) = index.checked_sub(1).and_then(|i| self.committed.get(&i)) {
            let (before, rises) = (*log_time, entry.term > *term);
            if entry.log_time < before || (rises && entry.log_time == before) {
                let detail = format!("{index}: {} after {before}", entry.log_time);
                self.report(Rule::LogTime, detail);
            }
        }
        news
    }

    pub fn durable_on(&mut self, entry: &LogEntry, holders: usize, quorum: usize) {
        if holders < quorum {
            let detail = format!("{} is on {holders} disks of {quorum}", entry.index);
            self.report(Rule::DurableCommit, detail);
        }
    }

    pub fn installed(&mut self, id: NodeId, index: Index, digest: u64) {
        match self.committed.get(&index) {
            Some((_, known, _)) if *known == digest => {}
            other => {
                let detail = format!("member {id} installed {index}: {digest}, known {other:?}");
                self.report(Rule::StateMachineSafety, detail);
            }
        }
    }

    pub fn leases(&mut self, holders: &[NodeId]) {
        self.leases_seen += holders.len() as u64;
        if holders.len() > 1 {
            self.report(Rule::OneLease, format!("{holders:?}"));
        }
    }
}
