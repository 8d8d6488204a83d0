//! Reads of the configuration are answered only by a scheduler that surely has the newest.

use cluster_messages::GetConfiguration;
use scheduler_core::prelude::*;

/// What a scheduler with those founders answers to a read of the configuration after so much time.
fn read_after(founders: &[&str], ms: Millis) -> CallResult<AnswerBody> {
    let mut settings = SchedulerSettings::new("c", "a:1", "z1", 1_000);
    settings.founders = founders.iter().map(|f| (*f).to_owned()).collect();
    let mut s = Scheduler::new(settings, 7, RestoredState::joining(), 0, 1).unwrap();
    for now in (25..=ms).step_by(25) {
        step(&mut s, now, SchedulerInput::Tick { wall_ms: now, read_to: now });
    }
    let call = SchedulerInput::Call { call: 5, time_budget_ms: 900, body: Box::new(GetConfiguration {}.into_body()) };
    let answers = step(&mut s, ms, call);
    assert_eq!(answers.len(), 1, "at once");
    answers.into_iter().next().unwrap()
}

/// One step with a disk that is at once; the answers to calls.
fn step(s: &mut Scheduler, now: Millis, input: SchedulerInput) -> Vec<CallResult<AnswerBody>> {
    let mut answers = Vec::new();
    let mut todo = VecDeque::from([input]);
    while let Some(i) = todo.pop_front() {
        for e in s.step(now, i) {
            match e {
                SchedulerEffect::Persist(r) => todo.push_back(SchedulerInput::Persisted(r.ticket)),
                SchedulerEffect::Answer { result, .. } => answers.push(*result),
                _ => {}
            }
        }
    }
    answers
}

#[test]
fn a_leader_answers_a_read_of_the_configuration() {
    assert!(matches!(read_after(&["a:1"], 5_000), Ok(AnswerBody::GetConfiguration(_))));
}

#[test]
fn without_a_quorum_a_read_of_the_configuration_is_told_when_to_come_back() {
    assert!(matches!(read_after(&["a:1", "b:1", "c:1"], 5_000), Err(CallError::NoLeader { retry_after_ms }) if retry_after_ms > 0));
}
