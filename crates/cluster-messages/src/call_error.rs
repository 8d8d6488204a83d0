use crate::prelude::*;

/// One thing wrong with what was sent, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Fault {
    /// Path into what was sent.
    #[n(0)]
    pub path: String,
    /// What is wrong there, in plain words.
    #[n(1)]
    pub problem: String,
}

impl Fault {
    /// A fault at a path.
    pub fn new(path: impl Into<String>, problem: impl Into<String>) -> Self {
        Fault { path: path.into(), problem: problem.into() }
    }
}

/// What a call is answered with.
pub type CallResult<T> = Result<T, CallError>;

/// Why a call was not carried out. JSON: `{"error": "<kind>", ...fields}`.
#[derive(Clone, Debug, PartialEq, Eq, Snafu, Serialize, Deserialize, Encode, Decode)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum CallError {
    /// Nothing of that name is known (404).
    #[snafu(display("no {what} named {name}"))]
    #[n(0)]
    NotFound {
        #[n(0)]
        what: String,
        #[n(1)]
        name: String,
    },
    /// What was sent has faults (400).
    #[snafu(display("{} fault(s): {}", faults.len(), faults.iter().map(|f| format!("{}: {}", f.path, f.problem)).collect::<Vec<_>>().join("; ")))]
    #[n(1)]
    Invalid {
        #[n(0)]
        faults: Vec<Fault>,
    },
    /// The name is taken by other content (409).
    #[snafu(display("{what} {name} exists with other content"))]
    #[n(2)]
    Conflict {
        #[n(0)]
        what: String,
        #[n(1)]
        name: String,
    },
    /// Another change on the same base came first (409).
    #[snafu(display("base version {base} is not the current version {current}"))]
    #[n(3)]
    RacedBase {
        #[n(0)]
        base: u64,
        #[n(1)]
        current: u64,
    },
    /// Over a limit: come back after the hint (429).
    #[snafu(display("shed: {limit} is reached; come back in {retry_after_ms} ms"))]
    #[n(4)]
    Shed {
        #[n(0)]
        limit: String,
        #[n(1)]
        retry_after_ms: u64,
    },
    /// No elected scheduler can be reached now (503).
    #[snafu(display("no elected scheduler; come back in {retry_after_ms} ms"))]
    #[n(5)]
    NoLeader {
        #[n(0)]
        retry_after_ms: u64,
    },
    /// The caller's time budget ended before the outcome was known (504): it may or may not be done; resend the same.
    #[snafu(display("the time budget is spent; the outcome is not known, resend the same call"))]
    #[n(6)]
    TimeBudgetSpent {
        #[n(0)]
        retry_after_ms: u64,
    },
    /// The state forbids it (409).
    #[snafu(display("{name}: {reason}"))]
    #[n(7)]
    NotAllowed {
        #[n(0)]
        name: String,
        #[n(1)]
        reason: String,
    },
    /// The other side speaks another version (426).
    #[snafu(display("wire version {found}, {wanted} wanted"))]
    #[n(8)]
    UnknownVersion {
        #[n(0)]
        found: u32,
        #[n(1)]
        wanted: u32,
    },
    /// Larger than the limit (413).
    #[snafu(display("{what} has {size} bytes, at most {limit} are taken"))]
    #[n(9)]
    TooLarge {
        #[n(0)]
        what: String,
        #[n(1)]
        size: u64,
        #[n(2)]
        limit: u64,
    },
}

impl CallError {
    /// The HTTP status that carries it.
    ///
    /// ```
    /// use cluster_messages::CallError;
    /// assert_eq!(CallError::Shed { limit: "inbox".into(), retry_after_ms: 50 }.http_status(), 429);
    /// ```
    pub fn http_status(&self) -> u16 {
        match self {
            CallError::NotFound { .. } => 404,
            CallError::Invalid { .. } => 400,
            CallError::Conflict { .. } | CallError::RacedBase { .. } | CallError::NotAllowed { .. } => 409,
            CallError::Shed { .. } => 429,
            CallError::NoLeader { .. } => 503,
            CallError::TimeBudgetSpent { .. } => 504,
            CallError::UnknownVersion { .. } => 426,
            CallError::TooLarge { .. } => 413,
        }
    }

    /// When the caller may come back, where it makes sense to.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            CallError::Shed { retry_after_ms, .. }
            | CallError::NoLeader { retry_after_ms }
            | CallError::TimeBudgetSpent { retry_after_ms } => Some(*retry_after_ms),
            _ => None,
        }
    }
}
