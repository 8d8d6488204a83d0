use crate::prelude::*;

/// One applied change and the patch that it was.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HistoryEntry {
    /// The version it made.
    #[n(0)]
    pub version: u64,
    /// Its id.
    #[n(1)]
    pub change_id: String,
    /// The digest of the tree it made.
    #[n(2)]
    pub digest: TreeDigest,
    /// The JSON patch from the version before, as text; none once the bound on the
    /// bytes of all patches has no room for it.
    #[n(3)]
    pub patch: Option<String>,
}

impl HistoryEntry {
    /// The patch, read from its text; none when it is not kept.
    pub fn read_patch(&self) -> Option<Result<Patch, SettingProblem>> {
        let text = self.patch.as_deref()?;
        Some(serde_json::from_str(text).map_err(|e| SettingProblem::not_json(&e)))
    }
}
