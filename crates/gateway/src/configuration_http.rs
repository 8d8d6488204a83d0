use crate::prelude::*;

impl HttpCall for GetConfiguration {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        input.only(&[])?;
        Ok(GetConfiguration {})
    }
}

impl HttpCall for PutConfiguration {
    /// A whole tree has to fit into one frame.
    const MOST_BODY: usize = MAX_FRAME - MAX_FRAME / 8;

    fn read(input: &CallInput) -> Result<Self, CallError> {
        input.only(&[])?.json()
    }
}

impl HttpCall for GetConfigurationHistory {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        Ok(GetConfigurationHistory { limit: input.only(&["limit"])?.number("limit")? })
    }
}

impl HttpCall for GetEffectiveSettings {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        input.only(&["zone", "queue"])?;
        Ok(GetEffectiveSettings { zone: input.wanted("zone")?, queue: input.wanted("queue")? })
    }
}

impl HttpCall for ListQueues {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        input.only(&[])?;
        Ok(ListQueues {})
    }
}
