use crate::prelude::*;

impl HttpCall for ListMembers {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        input.only(&[])?;
        Ok(ListMembers {})
    }
}

impl HttpCall for RemoveMember {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        Ok(RemoveMember { id: input.only(&[])?.id()? })
    }
}

impl HttpCall for TransferLeadership {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        Ok(TransferLeadership { id: input.only(&[])?.id()? })
    }
}

impl HttpCall for GetClusterStatus {
    fn read(input: &CallInput) -> Result<Self, CallError> {
        input.only(&[])?;
        Ok(GetClusterStatus {})
    }
}
