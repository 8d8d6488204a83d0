/// What came of a call to a worker. The executor gives exactly one for each `Start`, `Stop` and `Hold`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply<T> {
    /// It answered.
    Answer(T),
    /// Provably nothing was written, and nothing will be.
    NotSent,
    /// It may or may not have arrived.
    Unknown,
    /// Another life of the worker answered: the one meant is over for good.
    OtherLife,
}

impl<T> Reply<T> {
    /// The answer, if there is one.
    pub fn answer(self) -> Option<T> {
        match self {
            Reply::Answer(a) => Some(a),
            Reply::NotSent | Reply::Unknown | Reply::OtherLife => None,
        }
    }
}
