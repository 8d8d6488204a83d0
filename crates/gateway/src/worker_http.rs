use crate::prelude::*;

impl HttpCall for RegisterWorker {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        let w: RegisterWorker = input.only(&[])?.json()?;
        let bad = parse_address(&w.address).err().map(|e| vec![Fault::new("address", e.to_string())]);
        bad.map_or(Ok(w), |faults| Err(CallError::Invalid { faults }))
    }
}

impl HttpCall for DrainWorker {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        Ok(DrainWorker { name: input.name.clone(), ..input.only(&[])?.json()? })
    }
}

impl HttpCall for RemoveWorker {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        Ok(RemoveWorker { name: input.name.clone(), ..input.only(&[])?.json_or_empty()? })
    }
}

impl HttpCall for ListWorkers {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        Ok(ListWorkers { zone: input.only(&["zone"])?.text("zone") })
    }
}

impl HttpCall for EvacuateZone {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        Ok(EvacuateZone { zone: input.name.clone(), ..input.only(&[])?.json()? })
    }
}
