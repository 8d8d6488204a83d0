//! Short builders for [`CallError`], usable with `ensure!`.

use crate::prelude::*;

/// Builds the error it holds.
pub struct Build(CallError);

impl Build {
    /// The error.
    pub fn build(self) -> CallError {
        self.0
    }

    /// What `ensure!` calls.
    pub fn fail<T>(self) -> CallResult<T> {
        Err(self.0)
    }
}

/// Nothing of that name.
pub fn not_found(what: &str, name: &str) -> CallError {
    CallError::NotFound { what: what.to_owned(), name: name.to_owned() }
}

/// The name is taken.
pub fn conflict(what: &str, name: &str) -> Build {
    Build(CallError::Conflict { what: what.to_owned(), name: name.to_owned() })
}

/// Faults.
pub fn invalid(faults: Vec<Fault>) -> Build {
    Build(CallError::Invalid { faults })
}

/// Over a limit.
pub fn shed(limit: &str, retry_after_ms: Millis) -> Build {
    Build(CallError::Shed { limit: limit.to_owned(), retry_after_ms })
}

/// The state forbids it.
pub fn not_allowed(name: &str, reason: impl Into<String>) -> Build {
    Build(CallError::NotAllowed { name: name.to_owned(), reason: reason.into() })
}

/// Why a tree was not put in force.
pub fn of_put(e: PutError) -> CallError {
    match e {
        PutError::RacedBase { current, base } => CallError::RacedBase { base, current },
        PutError::ChangeIdReused { change_id, .. } => CallError::Conflict { what: "change".to_owned(), name: change_id },
        PutError::Invalid { faults } => {
            CallError::Invalid { faults: faults.faults.iter().map(|f| Fault::new(f.path.clone(), f.problem.to_string())).collect() }
        }
        PutError::TooLarge { most, found } => CallError::TooLarge { what: "tree".to_owned(), size: found, limit: most },
        e @ PutError::BadChangeId { .. } => CallError::Invalid { faults: vec![Fault::new("change_id", e.to_string())] },
    }
}
