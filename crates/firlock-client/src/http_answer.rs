use crate::prelude::*;

/// What a gateway answered, as HTTP carried it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpAnswer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
    /// `x-view-age-ms`: how old the view is that answered, where one did.
    pub view_age_ms: Option<Millis>,
    /// `date`, in Unix milliseconds (whole seconds).
    pub date_unix_ms: Option<u64>,
}
