use crate::prelude::*;

/// Where a member is reached.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct MemberAddress {
    /// Host and port.
    #[n(0)]
    pub endpoint: String,
    /// Site the machine stands in.
    #[n(1)]
    pub site: String,
}

impl MemberAddress {
    /// An address in a site.
    pub fn new(endpoint: impl Into<String>, site: impl Into<String>) -> Self {
        Self { endpoint: endpoint.into(), site: site.into() }
    }
}
