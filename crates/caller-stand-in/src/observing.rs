use crate::prelude::*;

/// What the record says when a call is sent, where it says anything.
pub fn observe_sent(call: &CallBody) -> Option<Observation> {
    Some(match call {
        CallBody::SubmitJob(c) => Observation::JobSent { spec: c.spec.clone() },
        CallBody::CancelJob(c) => Observation::CancelSent { name: c.name.clone() },
        CallBody::DrainWorker(c) => Observation::DrainSent { worker: c.name.clone(), on: c.on },
        CallBody::EvacuateZone(c) => Observation::EvacuationSent { zone: c.zone.clone(), on: c.on, order_id: c.order_id.clone() },
        CallBody::PutConfiguration(c) => Observation::ConfigurationSent {
            base: c.base_version,
            change_id: c.change_id.clone(),
            // An invalid tree has none.
            digest: SettingsTree::from_value(&c.tree.0).map(|t| t.digest().to_string()).unwrap_or_default(),
        },
        _ => return None,
    })
}

/// What the record says when a call is answered, where it says anything.
pub fn observe_answer(call: &CallBody, through: &str, asked_at: Millis, result: &CallResult<AnswerBody>) -> Option<Observation> {
    Some(match (call, result) {
        (CallBody::SubmitJob(c), Ok(AnswerBody::SubmitJob(a))) => {
            Observation::JobAnswered { name: c.spec.name.clone(), answer: Ok(a.clone()) }
        }
        (CallBody::SubmitJob(c), Err(e)) => Observation::JobAnswered { name: c.spec.name.clone(), answer: Err(e.clone()) },
        (CallBody::CancelJob(c), Ok(AnswerBody::CancelJob(a))) => Observation::CancelAnswered { name: c.name.clone(), state: a.state },
        (CallBody::GetJob(c), Ok(AnswerBody::GetJob(a))) => {
            Observation::JobSeen { name: c.name.clone(), state: a.summary.state, through: through.to_owned(), asked_at }
        }
        (CallBody::GetJob(c), Err(CallError::NotFound { .. })) => {
            Observation::JobAbsent { name: c.name.clone(), through: through.to_owned(), asked_at }
        }
        (CallBody::DrainWorker(c), Ok(AnswerBody::DrainWorker(a))) => Observation::DrainAnswered { worker: c.name.clone(), on: a.draining },
        (CallBody::EvacuateZone(c), Ok(AnswerBody::EvacuateZone(_))) => {
            Observation::EvacuationAnswered { zone: c.zone.clone(), on: c.on, order_id: c.order_id.clone() }
        }
        (CallBody::PutConfiguration(c), Ok(AnswerBody::PutConfiguration(a))) => {
            Observation::ConfigurationAnswered { change_id: c.change_id.clone(), answer: Ok(a.clone()) }
        }
        (CallBody::PutConfiguration(c), Err(e)) => {
            Observation::ConfigurationAnswered { change_id: c.change_id.clone(), answer: Err(e.clone()) }
        }
        (CallBody::GetConfiguration(_), Ok(AnswerBody::GetConfiguration(a))) => {
            Observation::ConfigurationSeen { through: through.to_owned(), version: a.version, digest: a.digest.clone(), asked_at }
        }
        _ => return None,
    })
}
