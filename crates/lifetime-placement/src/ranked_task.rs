use crate::prelude::*;

/// What workers are ranked by for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankedTask {
    /// Its room.
    pub room: Room,
    /// The class of its expected lifetime.
    pub class: LifetimeClass,
    /// When it is expected to end if it starts now.
    pub exit: Millis,
}
