use crate::prelude::*;

/// What a gateway learned from one worker since its last report: each line is a proof, and may be told twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(array)]
pub struct WorkerFacts {
    /// The worker.
    #[n(0)]
    pub worker: Name,
    /// The boot that said so.
    #[n(1)]
    pub boot_id: String,
    /// Started, or listed as running.
    #[n(2)]
    pub started: Vec<AttemptId>,
    /// Ended.
    #[n(3)]
    pub ended: Vec<EndedAttempt>,
    /// Answered void, or provably never sent.
    #[n(4)]
    pub voided: Vec<AttemptId>,
    /// Told in the log as running on this boot, yet neither listed as running nor as ended by it.
    #[n(5)]
    pub missing: Vec<AttemptId>,
    /// The worker asks to drain (true), or to be used again (false); absent: as before.
    #[n(6)]
    pub draining: Option<bool>,
    /// Whether it answers; absent: as before.
    #[n(7)]
    pub reachable: Option<bool>,
    /// The boot that the log names, when it is another one than this: only who saw this boot answer after that one may
    /// say that it followed.
    #[n(8)]
    pub follows: Option<String>,
    /// Run nowhere any more, and never will: the lease of the worker has lapsed.
    #[n(9)]
    pub lost: Vec<AttemptId>,
    /// Stand still: they run, but get no further.
    #[n(10)]
    pub stalled: Vec<AttemptId>,
    /// Checkpoints of attempts that are lost or stopped, as last seen.
    #[n(11)]
    pub checkpoints: Vec<AttemptCheckpoint>,
    /// The lease of the worker has lapsed: nothing runs on it, whoever started it.
    #[n(12)]
    pub lapsed: bool,
    /// This life of the worker is over for good.
    #[n(13)]
    pub gone: bool,
    /// It answers neither orders nor looks: what runs there may take until its lease lapses to be proven over.
    #[n(14)]
    #[cbor(default)]
    pub silent: bool,
    /// The assignment under which the gateway holds the worker; 0: it doesn't. What is told of the worker as it is now
    /// counts only while that is the one in force.
    #[n(15)]
    #[cbor(default)]
    pub assignment: u64,
}

impl WorkerFacts {
    /// Whether it tells something of the worker that stays true only while the teller holds it.
    pub fn tells_of_now(&self) -> bool {
        let lists = [&self.missing, &self.lost, &self.stalled];
        let flags = [self.draining.is_some(), self.reachable.is_some(), self.silent, self.lapsed];
        lists.into_iter().any(|l| !l.is_empty()) || flags.contains(&true)
    }
}

/// The last checkpoint of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[cbor(array)]
pub struct AttemptCheckpoint {
    /// The attempt.
    #[n(0)]
    pub attempt: AttemptId,
    /// What its worker made of it.
    #[n(1)]
    pub checkpoint: String,
}

impl WorkerFacts {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.started.is_empty()
            && self.ended.is_empty()
            && self.voided.is_empty()
            && self.missing.is_empty()
            && self.draining.is_none()
            && self.reachable.is_none()
            && self.lost.is_empty()
            && self.stalled.is_empty()
            && !self.lapsed
            && !self.gone
            && !self.silent
    }
}
