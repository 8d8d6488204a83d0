use crate::prelude::*;

/// One time that members of a gang run, from the first start until none runs.
pub(crate) struct GangRound {
    pub(crate) since: Millis,
    /// Members that succeeded before or started since.
    pub(crate) came: BTreeSet<u32>,
    /// Nothing more to watch: all came, or it has been told.
    pub(crate) settled: bool,
}
