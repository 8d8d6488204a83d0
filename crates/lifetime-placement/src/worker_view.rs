use crate::prelude::*;

/// What ranking needs to know of a worker.
pub trait WorkerView {
    /// State of its band.
    fn state(&self) -> WorkerBandState;
    /// Class of its band; of no meaning while empty.
    fn class(&self) -> LifetimeClass;
    /// Latest repredicted exit of its tasks; None while empty.
    fn exit(&self) -> Option<Millis>;
    /// Whole room.
    fn room(&self) -> Room;
    /// Room not charged.
    fn free(&self) -> Room;
}
