//! The outcome of a gang that ends together belongs to its run, in whatever order the facts about its members come.

mod ledger;

use ledger::*;
use scheduler_core::prelude::*;

const MEMBERS: u32 = 3;
/// Enough for each member on a worker of its own, and for all of them anew.
const WORKERS: usize = 7;

/// What a gateway tells of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Ended(Outcome),
    Lost,
    Voided,
    Gone,
}

/// All that can be told of a member of a run whose end was good, other than that.
const WITHOUT_A_GOOD_END: [Told; 7] = [
    Told::Lost,
    Told::Voided,
    Told::Gone,
    Told::Ended(Outcome::Stopped),
    Told::Ended(Outcome::Lapsed),
    Told::Ended(Outcome::Broken),
    Told::Ended(Outcome::Alone),
];

const ORDERS: [[u32; 3]; 6] = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];

fn gang_that_ends_together() -> JobSpec {
    job_with("g", MEMBERS, |spec| {
        spec.allowed_failures = Some(1);
        (spec.steps[0].gang, spec.steps[0].ends_together) = (true, true);
        spec.steps[0].cpu_millis = 8_000;
    })
}

/// A gang whose members all run, each on a worker of its own.
struct RunningGang {
    bench: Bench,
    members: Vec<(AttemptId, Name)>,
}

impl RunningGang {
    fn new() -> Self {
        let mut bench = Bench::new(WORKERS);
        bench.submit(gang_that_ends_together());
        let mut gang = RunningGang { bench, members: Vec::new() };
        assert_eq!(gang.start_again(), MEMBERS as usize);
        gang
    }

    /// A round of placement; what starts is then proven to run.
    fn start_again(&mut self) -> usize {
        let out = self.bench.plan();
        for &(task, _) in &out {
            self.bench.started(task);
        }
        if !out.is_empty() {
            self.members = out.iter().map(|(task, worker)| (self.bench.id(*task), self.bench.ledger.state.worker_name(*worker))).collect();
            self.members.sort_unstable();
        }
        out.len()
    }

    fn tell(&mut self, member: u32, told: Told) {
        let (attempt, worker) = self.members[member as usize].clone();
        self.bench.facts(&worker, "b1", |facts| match told {
            Told::Ended(outcome) => facts.ended.push(EndedAttempt::new(attempt, outcome)),
            Told::Lost => (facts.lost, facts.lapsed) = (vec![attempt], true),
            Told::Voided => facts.voided.push(attempt),
            Told::Gone => facts.gone = true,
        });
    }
}

fn assert_done(mut gang: RunningGang, case: &str) {
    assert_eq!(gang.start_again(), 0, "started again: {case}");
    assert_eq!(gang.bench.state("g"), JobState::Succeeded, "{case}");
    assert_eq!(gang.bench.used(), 0, "room is held: {case}");
}

#[test]
fn no_member_starts_again_once_its_gang_is_done_whatever_order_the_ends_come_in() {
    for bad in WITHOUT_A_GOOD_END {
        for well in 1..MEMBERS {
            for order in ORDERS {
                let mut gang = RunningGang::new();
                for member in order {
                    gang.tell(member, if member < well { Told::Ended(Outcome::Succeeded) } else { bad });
                }
                assert_done(gang, &format!("{well} members end well, the others {bad:?}, told in the order {order:?}"));
            }
        }
    }
}

#[test]
fn a_good_end_told_after_all_members_were_lost_stands_for_the_gang() {
    for lost in [Told::Lost, Told::Voided] {
        let mut gang = RunningGang::new();
        (0..MEMBERS).for_each(|member| gang.tell(member, lost));
        gang.tell(1, Told::Ended(Outcome::Succeeded));
        assert_done(gang, &format!("all {lost:?}"));
    }
}

#[test]
fn a_good_end_told_after_the_gang_was_started_anew_ends_it() {
    let mut gang = RunningGang::new();
    let first = gang.members.clone();
    (0..MEMBERS).for_each(|member| gang.tell(member, Told::Lost));
    assert_eq!(gang.start_again(), MEMBERS as usize);
    let (attempt, worker) = first[2].clone();
    gang.bench.facts(&worker, "b1", |facts| facts.ended.push(EndedAttempt::new(attempt, Outcome::Succeeded)));
    let stopped = gang.members.iter().all(|(attempt, _)| gang.bench.attempt(attempt.task).is_some_and(|live| live.stop.is_some()));
    assert!(stopped, "what runs of a gang that is done is stopped");
    (0..MEMBERS).for_each(|member| gang.tell(member, Told::Ended(Outcome::Stopped)));
    assert_done(gang, "started anew meanwhile");
}

#[test]
fn a_gang_that_ends_together_is_never_started_in_part() {
    let mut gang = RunningGang::new();
    (0..MEMBERS).for_each(|member| gang.tell(member, Told::Lost));
    let starts: Vec<_> = (0..MEMBERS - 1).map(|index| (TaskId { index, ..gang.members[0].0.task }, 4 + index)).collect();
    gang.bench.one(Command::Start { starts, gang: true });
    assert!(gang.bench.ledger.state.tables.attempts.is_empty());
}

#[test]
fn members_that_fail_in_one_run_of_a_gang_count_as_one_failure() {
    for order in ORDERS {
        let mut gang = RunningGang::new();
        for member in order {
            gang.tell(member, Told::Ended(Outcome::Failed));
        }
        assert_eq!(gang.start_again(), MEMBERS as usize, "one failure is allowed; told in the order {order:?}");
        for member in order {
            gang.tell(member, Told::Ended(Outcome::Failed));
        }
        assert_eq!(gang.bench.state("g"), JobState::Failed, "a second one isn't");
    }
}

#[test]
fn a_failed_end_told_late_counts_as_the_runs_failure_once() {
    let mut gang = RunningGang::new();
    gang.tell(0, Told::Lost);
    gang.tell(1, Told::Ended(Outcome::Failed));
    gang.tell(2, Told::Ended(Outcome::Broken));
    gang.tell(0, Told::Ended(Outcome::Failed));
    gang.tell(1, Told::Ended(Outcome::Failed));
    assert_eq!(gang.start_again(), MEMBERS as usize, "one failure is allowed");
}

#[test]
fn a_cancelled_gang_stays_cancelled_when_it_turns_out_to_be_done() {
    let mut gang = RunningGang::new();
    gang.tell(1, Told::Lost);
    gang.bench.one(Command::Cancel(CancelJob { name: "g".into() }));
    gang.tell(0, Told::Ended(Outcome::Succeeded));
    gang.tell(2, Told::Ended(Outcome::Succeeded));
    gang.tell(1, Told::Ended(Outcome::Succeeded));
    assert_eq!((gang.start_again(), gang.bench.state("g")), (0, JobState::Cancelled));
    let counts = gang.bench.ledger.state.job("g").unwrap().summary.tasks;
    assert_eq!((counts.succeeded, counts.cancelled, counts.waiting), (2, 1, 0));
}
