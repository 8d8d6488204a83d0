use crate::prelude::*;

/// How long members of a gang wait for the others.
pub const GANG_PATIENCE_MS: Millis = 4_000;

/// A gang, and the number of its run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GangRun {
    /// The step.
    pub step: StepId,
    /// The run.
    pub number: u16,
}

impl GangRun {
    /// The run that an attempt is part of.
    pub fn of(attempt: AttemptId) -> Self {
        GangRun { step: attempt.task.step_id(), number: attempt.number }
    }
}

/// The end of a member that others bring about: at which worker, and how.
pub type MemberEnd = (usize, AttemptId, Outcome);

#[derive(Clone, Debug)]
struct PresentGang {
    /// Each member with its worker.
    members: BTreeMap<AttemptId, (usize, GangMember)>,
    /// When it ends, if all are there, or when those that are there have waited long enough.
    over_at: Option<Millis>,
}

impl PresentGang {
    fn is_whole(&self) -> bool {
        self.members.values().next().is_some_and(|(_, first)| self.members.len() >= first.members as usize)
    }

    /// How long a whole gang works, and the member that fails it: members that fail do so after their own time, else all end with the
    /// slowest one.
    fn work(&self) -> (Option<Millis>, Option<AttemptId>) {
        let failing = self.members.values().filter(|(_, member)| member.outcome == Outcome::Failed);
        match failing.min_by_key(|(_, member)| (member.run_ms, member.attempt)) {
            Some((_, first)) => (first.run_ms, Some(first.attempt)),
            None => (self.members.values().map(|(_, member)| member.run_ms).try_fold(0, |most, ms| ms.map(|ms| ms.max(most))), None),
        }
    }

    fn end(self, outcome: impl Fn(AttemptId) -> Outcome) -> Vec<MemberEnd> {
        self.members.into_iter().map(|(attempt, (worker, _))| (worker, attempt, outcome(attempt))).collect()
    }
}

/// The gangs of which members run: they work while all are there, and end together.
#[derive(Clone, Debug, Default)]
pub struct GangTable {
    gangs: BTreeMap<GangRun, PresentGang>,
}

impl GangTable {
    /// A member has come to a worker; gives when its gang is looked at next.
    pub fn came(&mut self, now: Millis, worker: usize, member: GangMember) -> Option<Millis> {
        let first = PresentGang { members: BTreeMap::new(), over_at: Some(now + GANG_PATIENCE_MS) };
        let gang = self.gangs.entry(GangRun::of(member.attempt)).or_insert(first);
        gang.members.insert(member.attempt, (worker, member));
        if gang.is_whole() {
            gang.over_at = gang.work().0.map(|work| now + work);
        }
        gang.over_at
    }

    /// A member runs no more: so do the others.
    pub fn left(&mut self, attempt: AttemptId) -> Vec<MemberEnd> {
        let run = GangRun::of(attempt);
        let Some(mut gang) = self.gangs.remove(&run) else { return Vec::new() };
        gang.members.remove(&attempt);
        gang.end(|_| Outcome::Broken)
    }

    /// Looks at a gang: the ends of its members, if its time has come.
    pub fn look(&mut self, now: Millis, run: GangRun) -> Vec<MemberEnd> {
        let is_due = |gang: &PresentGang| gang.over_at.is_some_and(|at| at <= now);
        if !self.gangs.get(&run).is_some_and(is_due) {
            return Vec::new();
        }
        let Some(gang) = self.gangs.remove(&run) else { return Vec::new() };
        if !gang.is_whole() {
            return gang.end(|_| Outcome::Alone);
        }
        match gang.work().1 {
            Some(failed) => gang.end(|attempt| if attempt == failed { Outcome::Failed } else { Outcome::Broken }),
            None => gang.end(|_| Outcome::Succeeded),
        }
    }
}
