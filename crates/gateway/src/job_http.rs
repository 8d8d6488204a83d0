use crate::prelude::*;

impl HttpCall for SubmitJob {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        let spec: JobSpec = input.only(&[])?.json()?;
        let faults = spec.faults();
        if faults.is_empty() { Ok(SubmitJob { spec }) } else { Err(CallError::Invalid { faults }) }
    }

    fn status(a: &JobAccepted) -> StatusCode {
        if a.already { StatusCode::OK } else { StatusCode::CREATED }
    }
}

impl HttpCall for CancelJob {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        Ok(CancelJob { name: input.only(&[])?.name.clone() })
    }
}

impl HttpCall for GetJob {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        Ok(GetJob { name: input.only(&["steps"])?.name.clone() })
    }

    fn wants_scheduler(input: &CallInput) -> bool {
        input.text("steps").as_deref() == Some("1")
    }
}

impl HttpCall for ListJobs {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        input.only(&["queue", "state", "after", "limit"])?;
        Ok(ListJobs {
            queue: input.text("queue"),
            state: input.word("state")?,
            after: input.number("after")?,
            limit: input.number("limit")?,
        })
    }
}

impl HttpCall for ExplainJob {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        Ok(ExplainJob { name: input.only(&[])?.name.clone() })
    }
}
