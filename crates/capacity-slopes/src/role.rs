use crate::prelude::*;

/// A process's part in the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The elected scheduler.
    Leader,
    /// Any other scheduler.
    Follower,
    /// A gateway.
    Gateway,
}

impl Role {
    /// All of them.
    pub const ALL: [Role; 3] = [Role::Leader, Role::Follower, Role::Gateway];

    /// Its word in tables and file names.
    pub fn word(self) -> &'static str {
        match self {
            Role::Leader => "leader",
            Role::Follower => "follower",
            Role::Gateway => "gateway",
        }
    }
}
