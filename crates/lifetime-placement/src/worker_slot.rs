use crate::prelude::*;

/// All that is held for one worker.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WorkerSlot {
    #[n(0)]
    pub(crate) room: Room,
    #[n(1)]
    pub(crate) used: Room,
    #[n(2)]
    pub(crate) band: WorkerBand,
    #[n(3)]
    pub(crate) tasks: BTreeMap<TaskKey, RunningTask>,
    /// Cache: the latest exit of its tasks.
    #[n(4)]
    pub(crate) exit: Option<Millis>,
    /// When the exits are due to be repredicted.
    #[n(5)]
    pub(crate) repredict_at: Millis,
}

impl WorkerSlot {
    pub(crate) const fn new(room: Room, state: WorkerBandState) -> Self {
        Self { room, used: Room::new(0, 0), band: WorkerBand::new(state), tasks: BTreeMap::new(), exit: None, repredict_at: FOREVER }
    }

    /// The worker's band.
    pub const fn band(&self) -> &WorkerBand {
        &self.band
    }

    /// Tasks charged to it, by key.
    pub const fn tasks(&self) -> &BTreeMap<TaskKey, RunningTask> {
        &self.tasks
    }

    /// Room charged.
    pub const fn used(&self) -> Room {
        self.used
    }

    /// When something of this worker changes by the passing of time alone.
    pub(crate) fn due(&self) -> Millis {
        self.repredict_at.min(self.band.time_budget_ends)
    }

    pub(crate) fn refresh_exit(&mut self) {
        self.exit = self.tasks.values().map(|t| t.exit).max();
    }
}

impl WorkerView for WorkerSlot {
    fn state(&self) -> WorkerBandState {
        self.band.state
    }

    fn class(&self) -> LifetimeClass {
        self.band.class
    }

    fn exit(&self) -> Option<Millis> {
        self.exit
    }

    fn room(&self) -> Room {
        self.room
    }

    fn free(&self) -> Room {
        self.room.sub(self.used)
    }
}
