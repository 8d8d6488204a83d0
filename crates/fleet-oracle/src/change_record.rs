/// One change of the configuration, as its operator knows it.
#[derive(Default)]
pub(crate) struct ChangeRecord {
    pub(crate) base: u64,
    pub(crate) digest: String,
    /// Version and digest it was acknowledged with.
    pub(crate) accepted: Option<(u64, String)>,
    /// It was answered that another came first.
    pub(crate) raced: bool,
    pub(crate) resend_told: bool,
}
